"""The old process's side: it waits for the next one, hands everything over, and reports until its end.

`core/handover.py` (`HandoverSource`) decides what an exchange leads to; this carries it out.
"""

import os
import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

import anyio
import orjson

from pinspread.core.engine import DeliveryEngine
from pinspread.core.folder_lock import FolderLock
from pinspread.core.handover import HandoverSource, HandoverStep, SourceState
from pinspread.core.log import log
from pinspread.core.messages import AttemptResult
from pinspread.hot_restart import packet_codec
from pinspread.hot_restart.link import (
    RETRY_S,
    STEP_S,
    HandoverFormatError,
    Link,
    PacketKind,
    socket_path,
)
from pinspread.hot_restart.packet_codec import EndpointDisabledAnswer
from pinspread.hot_restart.state_codec import shape
from pinspread.hot_restart.target import IdleEndpointConnection
from pinspread.sockets import IdleConnection

ADMIN_ANSWER_S = 0.8  # for the new process's answer: an operator's is due in a second
_BACKLOG = 4  # connections that wait to be accepted


@dataclass(slots=True)
class HandoverPayload:
    """All that goes over to the next process.

    Attributes:
        packed_state: What `state_codec.pack_state` gives.
        attempts_in_flight: How many attempts go on here, for the log.
        client_connections: Connections of clients, with what was read and not answered.
        idle_connections: Open connections to endpoints that no attempt uses.
        listeners: Listening sockets by the name of their front.
        lock_descriptor: The folder's lock.
    """

    packed_state: bytes
    attempts_in_flight: int
    client_connections: list[IdleConnection]
    idle_connections: list[IdleEndpointConnection]
    listeners: dict[str, socket.socket]
    lock_descriptor: int

    def close_connections(self) -> None:
        """Close this process's copies of the connections."""
        for client in self.client_connections:
            client.connection.close()
        for idle in self.idle_connections:
            idle.connection.close()


class TransferableService(Protocol):
    """What a hand-over asks of the process that it belongs to."""

    engine: DeliveryEngine
    lock: FolderLock

    async def pause_for_handover(self, successor: "Successor") -> HandoverPayload:
        """Stop acting, and give all that goes over."""

    def resume_after_handover(self, payload: HandoverPayload) -> None:
        """The next process did not take over: serve on."""

    def finish_handover(self, payload: HandoverPayload) -> None:
        """The next process owns everything."""

    def leave_to_successor(self) -> None:
        """Another process waits for the folder: finish and end."""


class Successor:
    """The process after this one, as this one's engine reaches it (`core.ports.Successor`)."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.queue: deque[tuple[PacketKind, bytes]] = deque()
        self._packet_queued = anyio.Event()
        self._questions: dict[int, _Question] = {}  # by their numbers

    def _put(self, kind: PacketKind, *fields: object) -> None:
        self.queue.append((kind, orjson.dumps(fields)))
        self._packet_queued.set()

    def attempt_ended(self, number: int, attempt: int, outcome: AttemptResult) -> None:
        """Report how an attempt ended that was in flight here."""
        self._put(PacketKind.ATTEMPT_COMPLETED, number, attempt, packet_codec.result_to_json(outcome))

    def apply_retry_after(self, id_: str, retry_after_us: int) -> None:
        """Report that an endpoint gave a Retry-After, in microseconds."""
        self._put(PacketKind.RETRY_AFTER, id_, retry_after_us)

    def health_check_ended(self, id_: str, outcome: AttemptResult) -> None:
        """Report how a health check ended that was in flight here."""
        self._put(PacketKind.HEALTH_CHECK_COMPLETED, id_, packet_codec.result_to_json(outcome))

    async def set_blocked(self, id_: str, blocked: bool) -> bool:
        """Pass on what an operator asks here; TimeoutError without an answer in time."""
        number = len(self._questions)
        question = self._questions[number] = _Question()
        self._put(PacketKind.SET_ENDPOINT_DISABLED, id_, blocked, number)
        with anyio.fail_after(ADMIN_ANSWER_S):
            await question.answered.wait()
        return question.known

    async def run(self) -> None:
        """Send the reports until the exchange ends."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_answers, tasks.cancel_scope)
            with suppress(OSError):
                await self._send_reports()
            tasks.cancel_scope.cancel()

    async def _send_reports(self) -> None:
        while True:
            await self._packet_queued.wait()
            self._packet_queued = anyio.Event()
            while self.queue:
                await self.link.send(*self.queue[0])
                self.queue.popleft()

    async def _read_answers(self, scope: anyio.CancelScope) -> None:
        """Read until the new process has ended: if the link ended earlier, this one would seem to have."""
        while True:
            try:
                packet = await self.link.receive()
                packet.discard_descriptor()
                if packet.kind == PacketKind.ENDPOINT_DISABLED:
                    self._answer(packet_codec.decode_endpoint_disabled(packet.data))
            except HandoverFormatError as error:
                log("successor_answer_malformed", error=str(error))
            except OSError as error:
                log("successor_gone", why=str(error) or type(error).__name__)
                break
        scope.cancel()

    def _answer(self, answer: EndpointDisabledAnswer) -> None:
        question = self._questions.get(answer.request_number)
        if question is None:
            raise HandoverFormatError("an answer to no request")
        question.answer(answer.known)


class _Question:
    """An operator's request that was passed on, and whether the next process knows the endpoint."""

    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.known = False

    def answer(self, known: bool) -> None:
        """The first answer counts."""
        if not self.answered.is_set():
            self.known = known
            self.answered.set()


class HandoverListener:
    """The socket on which the next process asks, as long as this one serves."""

    def __init__(self, service: TransferableService, folder: str) -> None:
        self.service = service
        self.folder = folder
        self.source = HandoverSource("")

    async def run(self) -> None:
        """Serve whoever asks, one after the other, until cancelled."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock, socket_path(self.folder) as path:
            try:
                _bind(sock, path)
                await self._serve_all(sock)
            except OSError as error:
                log("no_handover", error=str(error))  # it serves all the same; an upgrade ends it first

    async def _serve_all(self, sock: socket.socket) -> None:
        while True:
            try:
                peer, _ = sock.accept()
            except BlockingIOError:
                await anyio.wait_readable(sock)
                continue
            link = Link(peer)
            try:
                await self._serve(link)
            finally:
                link.close()

    async def _serve(self, link: Link) -> None:
        """One exchange."""
        self.source.shape = shape(self.service.engine.policy)
        if not await self._agree(link):
            return
        successor = Successor(link)
        payload = await self.service.pause_for_handover(successor)
        step = await self._transfer(link, payload)
        if step is HandoverStep.REACQUIRE_LOCK:
            link.close()
            step = self.source.lock_result(await self._retake_lock())
        if step is HandoverStep.RESUME:
            self.service.resume_after_handover(payload)
            return
        clients = len(payload.client_connections)
        log("handed_over", client_connections=clients, in_flight=payload.attempts_in_flight)
        self.service.finish_handover(payload)
        await successor.run()

    async def _agree(self, link: Link) -> bool:
        """Read what the other process asks for; whether everything is to be transferred."""
        try:
            with anyio.fail_after(STEP_S):
                packet = await link.receive()
                packet.discard_descriptor()
                step = HandoverStep.DECLINE
                if packet.kind == PacketKind.HELLO:
                    step = await self._greet(link, packet.data.decode())
            if packet.kind == PacketKind.LEAVE and self.source.shutdown_requested() is HandoverStep.SHUT_DOWN:
                log("asked_to_leave")
                self.service.leave_to_successor()
        except (OSError, ValueError, TimeoutError) as error:
            self._log_broken(error)
            return False
        return step is HandoverStep.TRANSFER

    async def _greet(self, link: Link, other_shape: str) -> HandoverStep:
        step = self.source.requested(other_shape)
        if step is HandoverStep.DECLINE:
            busy = self.source.state is not SourceState.SERVING
            await link.send(
                PacketKind.DECLINED, packet_codec.encode_refusal(self.source.decline_reason, busy=busy)
            )
        return step

    async def _transfer(self, link: Link, payload: HandoverPayload) -> HandoverStep:
        """Send everything and wait for the answer."""
        try:
            with anyio.fail_after(2 * STEP_S):
                await self._send(link, payload)
                packet = await link.receive()
                packet.discard_descriptor()
            if packet.kind == PacketKind.DECLINED:
                reason, _ = packet_codec.decode_refusal(packet.data)
                log("handover_declined", why=reason)
        except (OSError, ValueError, TimeoutError, KeyError) as error:
            self._log_broken(error)
            return self.source.exchange_failed()
        return (
            self.source.taken_over()
            if packet.kind == PacketKind.TAKEN_OVER
            else self.source.exchange_failed()
        )

    async def _retake_lock(self) -> bool:
        """Whether the lock is this process's again: the other keeps it only if it owns everything."""
        lock = self.service.lock
        lock.release()
        with anyio.move_on_after(STEP_S):
            while not lock.acquire():
                await anyio.sleep(RETRY_S)
            return True
        return False

    async def _send(self, link: Link, payload: HandoverPayload) -> None:
        await link.send(PacketKind.STATE, payload.packed_state)
        for client in payload.client_connections:
            data = packet_codec.encode_client_connection(client)
            await link.send(PacketKind.CLIENT_CONNECTION, data, client.connection.sock.fileno())
        for endpoint_id, address, idle_since_us, connection in payload.idle_connections:
            data = orjson.dumps([endpoint_id, address, idle_since_us])
            await link.send(PacketKind.IDLE_CONNECTION, data, connection.sock.fileno())
        for name, listener in payload.listeners.items():
            await link.send(PacketKind.LISTENER, name.encode(), listener.fileno())
        await link.send(PacketKind.LOCK, b"", payload.lock_descriptor)

    def _log_broken(self, error: Exception) -> None:
        log("handover_broke", error=str(error) or type(error).__name__, state=self.source.state.value)


def _bind(sock: socket.socket, path: str) -> None:
    with suppress(FileNotFoundError):
        os.unlink(path)  # one that was left behind, or the process before's
    sock.bind(path)
    os.chmod(path, 0o600)
    sock.listen(_BACKLOG)
    sock.setblocking(False)
