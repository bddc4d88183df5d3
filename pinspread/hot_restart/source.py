"""The old process's side: it waits for the new one, hands everything over, and then reports until it ends.

`core/handover.py` (`HandoverSource`) decides what each step of an exchange leads to; this carries it out.
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
    LOCK_RETRY_S,
    STEP_TIMEOUT_S,
    HandoverFormatError,
    Link,
    PacketKind,
    socket_path,
)
from pinspread.hot_restart.packet_codec import EndpointDisabledAnswer
from pinspread.hot_restart.state_codec import shape
from pinspread.sockets import IdleConnection

ADMIN_ANSWER_S = 0.8  # time limit for the new process's answer; the operator's own answer is due within 1 s
_BACKLOG = 4  # connections that may wait to be accepted


@dataclass(slots=True)
class HandoverPayload:
    """Everything that is transferred to the next process.

    Attributes:
        packed_state: The state, as `state_codec.pack_state` encodes it.
        attempts_in_flight: How many attempts are still running in this process; for the log.
        client_connections: Clients' connections, with the input that was received but not processed.
        listeners: Listening sockets, by the name of their front.
        lock_descriptor: The descriptor of the folder's lock.
    """

    packed_state: bytes
    attempts_in_flight: int
    client_connections: list[IdleConnection]
    listeners: dict[str, socket.socket]
    lock_descriptor: int

    def close_connections(self) -> None:
        """Close this process's copies of the connections."""
        for client in self.client_connections:
            client.connection.close()


class TransferableService(Protocol):
    """What the handover needs from the service of this process."""

    engine: DeliveryEngine
    lock: FolderLock

    async def pause_for_handover(self, successor: "Successor") -> HandoverPayload:
        """Stop all activity, and return everything that is to be transferred."""

    def resume_after_handover(self, payload: HandoverPayload) -> None:
        """Continue to serve, since the next process did not take over."""

    def finish_handover(self, payload: HandoverPayload) -> None:
        """Release what this process still holds; the next process now owns everything."""

    def shut_down_for_successor(self) -> None:
        """Finish and end, since another process is waiting for the folder."""


class Successor:
    """The next process, as this one's engine sees it (`core.ports.Successor`); reports to it are queued."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.queue: deque[tuple[PacketKind, bytes]] = deque()
        self._packet_queued = anyio.Event()
        self._pending_requests: dict[int, _PendingRequest] = {}  # by request number

    def _enqueue(self, kind: PacketKind, *fields: object) -> None:
        self.queue.append((kind, orjson.dumps(fields)))
        self._packet_queued.set()

    def attempt_ended(self, number: int, attempt_number: int, result: AttemptResult) -> None:
        """Report the result of an attempt that was in flight here."""
        self._enqueue(
            PacketKind.ATTEMPT_COMPLETED, number, attempt_number, packet_codec.result_to_json(result)
        )

    def apply_retry_after(self, endpoint_id: str, retry_after_us: int) -> None:
        """Report that an endpoint sent a Retry-After, in microseconds."""
        self._enqueue(PacketKind.RETRY_AFTER, endpoint_id, retry_after_us)

    def health_check_ended(self, endpoint_id: str, result: AttemptResult) -> None:
        """Report the result of a health check that was in flight here."""
        self._enqueue(PacketKind.HEALTH_CHECK_COMPLETED, endpoint_id, packet_codec.result_to_json(result))

    async def set_blocked(self, endpoint_id: str, blocked: bool) -> bool:
        """Pass on an operator's request to disable or enable an endpoint; return whether it is known.

        Raises:
            TimeoutError: The next process did not answer within `ADMIN_ANSWER_S`.
        """
        number = len(self._pending_requests)
        pending = self._pending_requests[number] = _PendingRequest()
        self._enqueue(PacketKind.SET_ENDPOINT_DISABLED, endpoint_id, blocked, number)
        with anyio.fail_after(ADMIN_ANSWER_S):
            await pending.answered.wait()
        return pending.known

    async def run(self) -> None:
        """Send reports and receive answers until the next process has ended."""
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
        """Receive answers until the new process has ended.

        A malformed answer must not end this: once the link closes, the new process assumes that this one has
        ended.
        """
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
        pending = self._pending_requests.get(answer.request_number)
        if pending is None:
            raise HandoverFormatError(f"answer to unknown request {answer.request_number}")
        pending.answer(answer.known)


class _PendingRequest:
    """An operator's request that was passed on; its answer is whether the next process knows the endpoint."""

    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.known = False

    def answer(self, known: bool) -> None:
        """Set the answer; any after the first is ignored."""
        if not self.answered.is_set():
            self.known = known
            self.answered.set()


class HandoverListener:
    """Listens for the next process on a socket in the state folder, and hands over to it."""

    def __init__(self, service: TransferableService, folder: str) -> None:
        self.service = service
        self.folder = folder
        self.source = HandoverSource("")

    async def run(self) -> None:
        """Serve the processes that connect, one after the other, until cancelled."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock, socket_path(self.folder) as path:
            try:
                _bind(sock, path)
                await self._serve_all(sock)
            except OSError as error:
                log("no_handover", error=str(error))  # it still serves; an upgrade then has to end it first

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
        """Carry out one exchange with a process that has connected."""
        self.source.shape = shape(self.service.engine.policy)
        if not await self._negotiate(link):
            return
        successor = Successor(link)
        payload = await self.service.pause_for_handover(successor)
        step = await self._transfer(link, payload)
        if step is HandoverStep.REACQUIRE_LOCK:
            link.close()
            step = self.source.lock_result(await self._reacquire_lock())
        if step is HandoverStep.RESUME:
            self.service.resume_after_handover(payload)
            return
        clients = len(payload.client_connections)
        log("handed_over", client_connections=clients, in_flight=payload.attempts_in_flight)
        self.service.finish_handover(payload)
        await successor.run()

    async def _negotiate(self, link: Link) -> bool:
        """Handle the other process's request; return whether everything is to be transferred."""
        try:
            with anyio.fail_after(STEP_TIMEOUT_S):
                packet = await link.receive()
                packet.discard_descriptor()
                step = HandoverStep.DECLINE
                if packet.kind == PacketKind.HELLO:
                    step = await self._answer_hello(link, packet.data.decode())
            if packet.kind == PacketKind.LEAVE and self.source.shutdown_requested() is HandoverStep.SHUT_DOWN:
                log("asked_to_leave")
                self.service.shut_down_for_successor()
        except (OSError, ValueError, TimeoutError) as error:
            self._log_failure(error)
            return False
        return step is HandoverStep.TRANSFER

    async def _answer_hello(self, link: Link, other_shape: str) -> HandoverStep:
        step = self.source.requested(other_shape)
        if step is HandoverStep.DECLINE:
            busy = self.source.state is not SourceState.SERVING
            await link.send(
                PacketKind.DECLINED, packet_codec.encode_refusal(self.source.decline_reason, busy=busy)
            )
        return step

    async def _transfer(self, link: Link, payload: HandoverPayload) -> HandoverStep:
        """Send everything, wait for the answer, and return the next step."""
        try:
            with anyio.fail_after(2 * STEP_TIMEOUT_S):
                await self._send(link, payload)
                packet = await link.receive()
                packet.discard_descriptor()
            if packet.kind == PacketKind.DECLINED:
                reason, _ = packet_codec.decode_refusal(packet.data)
                log("handover_declined", why=reason)
        except (OSError, ValueError, TimeoutError, KeyError) as error:
            self._log_failure(error)
            return self.source.exchange_failed()
        return (
            self.source.taken_over()
            if packet.kind == PacketKind.TAKEN_OVER
            else self.source.exchange_failed()
        )

    async def _reacquire_lock(self) -> bool:
        """Release the lock and try to acquire it again; return whether that succeeded.

        The other process keeps the lock only if it owns everything.
        """
        lock = self.service.lock
        lock.release()
        with anyio.move_on_after(STEP_TIMEOUT_S):
            while not lock.acquire():
                await anyio.sleep(LOCK_RETRY_S)
            return True
        return False

    async def _send(self, link: Link, payload: HandoverPayload) -> None:
        await link.send(PacketKind.STATE, payload.packed_state)
        for client in payload.client_connections:
            data = packet_codec.encode_client_connection(client)
            await link.send(PacketKind.CLIENT_CONNECTION, data, client.connection.sock.fileno())
        for name, listener in payload.listeners.items():
            await link.send(PacketKind.LISTENER, name.encode(), listener.fileno())
        await link.send(PacketKind.LOCK, b"", payload.lock_descriptor)

    def _log_failure(self, error: Exception) -> None:
        log("handover_broke", error=str(error) or type(error).__name__, state=self.source.state.value)


def _bind(sock: socket.socket, path: str) -> None:
    with suppress(FileNotFoundError):
        os.unlink(path)  # the socket of an earlier process
    sock.bind(path)
    os.chmod(path, 0o600)
    sock.listen(_BACKLOG)
    sock.setblocking(False)
