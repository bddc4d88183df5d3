"""The new process's side: it takes everything over from the owner of the folder.

`core/handover.py` (`HandoverTarget`) decides what an exchange leads to; this carries it out. What it follows
of the old process afterwards is in `predecessor.py`.
"""

import os
import socket
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import anyio
import orjson

from pinspread.core.folder_lock import FolderLock
from pinspread.core.handover import HandoverStep, HandoverTarget, TargetState
from pinspread.core.journal import Journal
from pinspread.core.log import log
from pinspread.errors import JournalFormatError
from pinspread.hot_restart import packet_codec
from pinspread.hot_restart.link import (
    RETRY_S,
    STEP_S,
    HandoverFormatError,
    Link,
    Packet,
    PacketKind,
    connect,
)
from pinspread.hot_restart.state_codec import read_state, shape
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.sockets import Connection, IdleConnection

BROKEN_S = 0.3  # after an exchange that broke: the old process has the lock back first


class IdleEndpointConnection(NamedTuple):
    """An open connection to an endpoint that no attempt uses; `idle_since_us` is on the monotonic clock."""

    endpoint_id: str
    address: str
    idle_since_us: int
    connection: Connection


@dataclass
class TransferredState:
    """What a new process starts with; without a state it is alone, and recovers from the journal."""

    state: dict[str, Any] | None = None
    client_connections: list[IdleConnection] = field(default_factory=list)
    idle_connections: list[IdleEndpointConnection] = field(default_factory=list)
    listeners: dict[str, socket.socket] = field(default_factory=dict)  # by the name of their front
    link: Link | None = None

    def add(self, packet: Packet) -> None:
        """Take in one packet of what is handed over; HandoverFormatError if it is none of these."""
        if packet.descriptor is not None:
            self._add_socket(packet.kind, packet.data, packet.descriptor)
        elif packet.kind == PacketKind.STATE:
            self.state = read_state(packet.data)
        else:
            raise _out_of_place(packet.kind)

    def _add_socket(self, kind: int, data: bytes, descriptor: int) -> None:
        """Take in the socket of a descriptor; it is closed if the packet is malformed."""
        with ExitStack() as on_error:
            sock = _socket_of(descriptor)
            on_error.callback(sock.close)
            if kind == PacketKind.CLIENT_CONNECTION:
                connection = _connection(sock)
                self.client_connections.append(packet_codec.decode_client_connection(data, connection))
            elif kind == PacketKind.IDLE_CONNECTION:
                endpoint_id, address, idle_since_us = orjson.loads(data)
                connection = _connection(sock)
                self.idle_connections.append(
                    IdleEndpointConnection(endpoint_id, address, idle_since_us, connection)
                )
            elif kind == PacketKind.LISTENER:
                self.listeners[data.decode()] = sock
            else:
                raise _out_of_place(kind)
            on_error.pop_all()

    def close(self) -> None:
        """Close all that came, for the exchange came to nothing."""
        for client in self.client_connections:
            client.connection.close()
        for idle in self.idle_connections:
            idle.connection.close()
        for listener in self.listeners.values():
            listener.close()


def _out_of_place(kind: int) -> HandoverFormatError:
    return HandoverFormatError(f"message {int(kind)} is out of place")


def _socket_of(descriptor: int) -> socket.socket:
    """The socket of a descriptor, which is closed if it is no socket's."""
    try:
        return socket.socket(fileno=descriptor)
    except OSError:
        os.close(descriptor)
        raise


def _connection(sock: socket.socket) -> Connection:
    try:
        return Connection(sock)
    except OSError:  # its other side has reset it: that shows at the first use
        connection = Connection.__new__(Connection)
        connection.sock, connection.unsent_bytes = sock, 0
        connection.idle_since_us, connection.finished = 0, False
        return connection


async def take_over(
    folder: str, lock: FolderLock, journal: Journal, policy: DeliveryPolicy
) -> TransferredState:
    """Take over from the process that owns the folder, or find that no process does.

    This process holds the lock on return. Without a state in the result, it recovers from the journal.

    Raises:
        JournalFormatError: The journal is of a newer version; the old process goes on serving.
        OSError: The folder cannot be locked.
    """
    return await _Takeover(folder, lock, journal, policy).run()


class _Takeover:
    """The exchanges of one start, one after the other, until this process holds the lock."""

    def __init__(self, folder: str, lock: FolderLock, journal: Journal, policy: DeliveryPolicy) -> None:
        self.folder = folder
        self.lock = lock
        self.journal = journal
        self.policy = policy
        self.target = HandoverTarget()

    async def run(self) -> TransferredState:
        while not self.lock.acquire():
            if self.target.state is not TargetState.WAITING_FOR_LOCK:
                try:
                    link = connect(self.folder)
                except OSError:
                    await anyio.sleep(RETRY_S)  # it starts or ends, or its socket was left behind
                    continue
                transferred = await self._exchange(link)
                if transferred is not None:
                    return transferred
            await anyio.sleep(RETRY_S)
        return TransferredState()

    async def _exchange(self, link: Link) -> TransferredState | None:
        """One exchange; None if nothing came of it."""
        transferred = TransferredState(link=link)
        expected_shape = shape(self.policy)
        delay_s = 0.0
        with ExitStack() as on_failure:
            on_failure.callback(link.close)
            on_failure.callback(transferred.close)
            try:
                lock_descriptor = await self._collect(link, transferred, expected_shape)
                if lock_descriptor is not None:
                    complete = transferred.state is not None
                    if await self._accept(link, lock_descriptor, complete):
                        on_failure.pop_all()
                        return transferred
            except (OSError, ValueError, TimeoutError, KeyError) as error:
                self._broken(error)
                delay_s = BROKEN_S
        await anyio.sleep(delay_s)
        if self.target.state is TargetState.WAITING_FOR_LOCK:
            await _request_departure(self.folder)
        return None

    async def _collect(self, link: Link, transferred: TransferredState, expected_shape: str) -> int | None:
        """Receive all that is handed over; gives the descriptor of the lock, None where it was declined."""
        with anyio.fail_after(STEP_S):
            await link.send(PacketKind.HELLO, expected_shape.encode())
        self.target.request_sent()
        while True:
            with anyio.fail_after(STEP_S):
                packet = await link.receive()
            if packet.kind == PacketKind.DECLINED:
                packet.discard_descriptor()
                reason, busy = packet_codec.decode_refusal(packet.data)
                log("handover_declined", why=reason)
                self.target.declined(busy)
                return None
            if packet.kind == PacketKind.LOCK:
                return packet.descriptor
            transferred.add(packet)

    async def _accept(self, link: Link, lock_descriptor: int, complete: bool) -> bool:
        """Own everything, if it is complete and the journal can be read, and say so."""
        with ExitStack() as on_failure:
            on_failure.callback(os.close, lock_descriptor)
            if self.target.received(complete) is not HandoverStep.TAKE_OVER:
                return False
            try:
                self.journal.read()
            except JournalFormatError as error:
                self.target.lock_received(False)
                with suppress(OSError):
                    await link.send(PacketKind.DECLINED, packet_codec.encode_refusal(str(error), busy=False))
                raise
            self.target.lock_received(True)
            self.lock.adopt_descriptor(lock_descriptor)
            on_failure.pop_all()
        await link.send(PacketKind.TAKEN_OVER)
        return True

    def _broken(self, error: Exception) -> None:
        log("handover_broke", error=str(error) or type(error).__name__, state=self.target.state.value)
        # A process that got no answer that everything was taken over serves on, or has ended and the lock is
        # free: with the lock held here as well, there would be two owners.
        self.lock.release()
        if isinstance(error, ValueError):
            self.target.received(False)  # it cannot be read: it would be no better the next time
        self.target.exchange_failed()


async def _request_departure(folder: str) -> None:
    """Ask the old process to end, on a connection of its own, once the exchange is over."""
    try:
        link = connect(folder)
        with anyio.fail_after(STEP_S):
            await link.send(PacketKind.LEAVE)
        link.close()
    except (OSError, TimeoutError) as error:
        log("handover_broke", error=str(error), state="asking it to leave")
