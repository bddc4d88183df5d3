"""The new process's side: it takes over everything from the process that owns the folder.

`core/handover.py` (`HandoverTarget`) decides what each step of an exchange leads to; this carries it out.
`predecessor.py` follows the old process afterwards.
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
    LOCK_RETRY_S,
    STEP_TIMEOUT_S,
    HandoverFormatError,
    Link,
    Packet,
    PacketKind,
    connect,
)
from pinspread.hot_restart.state_codec import read_state, shape
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.sockets import Connection, IdleConnection

FAILED_EXCHANGE_DELAY_S = 0.3  # after a failed exchange, so that the old process can reacquire the lock first


class IdleEndpointConnection(NamedTuple):
    """A connection to an endpoint kept by an older version; `idle_since_us` is monotonic."""

    endpoint_id: str
    address: str
    idle_since_us: int
    connection: Connection


@dataclass
class TransferredState:
    """What a new process has received; if `state` is None, it recovers from the journal instead."""

    state: dict[str, Any] | None = None
    client_connections: list[IdleConnection] = field(default_factory=list)
    idle_connections: list[IdleEndpointConnection] = field(default_factory=list)
    listeners: dict[str, socket.socket] = field(default_factory=dict)  # by the name of the front
    link: Link | None = None

    def add(self, packet: Packet) -> None:
        """Add the contents of one packet of the transfer; HandoverFormatError if it is of another kind."""
        if packet.descriptor is not None:
            self._add_socket(packet.kind, packet.data, packet.descriptor)
        elif packet.kind == PacketKind.STATE:
            self.state = read_state(packet.data)
        else:
            raise _unexpected_packet(packet.kind)

    def _add_socket(self, kind: int, data: bytes, descriptor: int) -> None:
        """Add the socket of a descriptor; it is closed if the packet is malformed."""
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
                raise _unexpected_packet(kind)
            on_error.pop_all()

    def close_idle_connections(self) -> None:
        """Close the connections to endpoints: what is read on one belongs to no call of this process."""
        for idle in self.idle_connections:
            idle.connection.close()

    def close(self) -> None:
        """Close all received sockets, after an exchange that failed."""
        for client in self.client_connections:
            client.connection.close()
        self.close_idle_connections()
        for listener in self.listeners.values():
            listener.close()


def _unexpected_packet(kind: int) -> HandoverFormatError:
    return HandoverFormatError(f"unexpected packet of kind {int(kind)} in a transfer")


def _socket_of(descriptor: int) -> socket.socket:
    """The socket of a descriptor. If it is not a socket, the descriptor is closed and OSError raised."""
    try:
        return socket.socket(fileno=descriptor)
    except OSError:
        os.close(descriptor)
        raise


def _connection(sock: socket.socket) -> Connection:
    try:
        return Connection(sock)
    except OSError:  # reset by the peer; the first use of the connection will report it
        connection = Connection.__new__(Connection)
        connection.sock, connection.unsent_bytes = sock, 0
        connection.finished = connection.awaiting_input = False
        return connection


async def take_over(
    folder: str, lock: FolderLock, journal: Journal, policy: DeliveryPolicy
) -> TransferredState:
    """Take over from the process that owns the folder, or acquire the folder if no process owns it.

    This process holds the lock on return. If the result has no state, it must recover from the journal.

    Raises:
        JournalFormatError: The journal is of a newer version; the old process continues to serve.
        OSError: The folder cannot be locked.
    """
    return await _Takeover(folder, lock, journal, policy).run()


class _Takeover:
    """Repeats the exchange with the old process until this process holds the lock."""

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
                    await anyio.sleep(LOCK_RETRY_S)  # it is starting or ending, or its socket was left behind
                    continue
                transferred = await self._exchange(link)
                if transferred is not None:
                    return transferred
            await anyio.sleep(LOCK_RETRY_S)
        return TransferredState()

    async def _exchange(self, link: Link) -> TransferredState | None:
        """Carry out one exchange; return None if it did not transfer everything."""
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
                self._exchange_failed(error)
                delay_s = FAILED_EXCHANGE_DELAY_S
        await anyio.sleep(delay_s)
        if self.target.state is TargetState.WAITING_FOR_LOCK:
            await _request_departure(self.folder)
        return None

    async def _collect(self, link: Link, transferred: TransferredState, expected_shape: str) -> int | None:
        """Receive the transfer; return the descriptor of the lock, or None if the exchange was declined."""
        with anyio.fail_after(STEP_TIMEOUT_S):
            await link.send(PacketKind.HELLO, expected_shape.encode())
        self.target.request_sent()
        while True:
            with anyio.fail_after(STEP_TIMEOUT_S):
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
        """Take ownership and tell the old process, if the transfer is complete; return whether it was.

        Raises:
            JournalFormatError: The journal is of a newer version; the old process has been notified.
        """
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

    def _exchange_failed(self, error: Exception) -> None:
        log("handover_broke", error=str(error) or type(error).__name__, state=self.target.state.value)
        # An old process that received no confirmation of the takeover continues to serve, or it has ended and
        # the lock is free. If this process kept the lock, there could be two owners.
        self.lock.release()
        if isinstance(error, ValueError):
            self.target.received(False)  # unreadable data; another exchange would give the same
        self.target.exchange_failed()


async def _request_departure(folder: str) -> None:
    """Ask the old process to end; this takes a new connection, since the exchange is over."""
    try:
        link = connect(folder)
        with anyio.fail_after(STEP_TIMEOUT_S):
            await link.send(PacketKind.LEAVE)
        link.close()
    except (OSError, TimeoutError) as error:
        log("handover_broke", error=str(error), state="asking it to leave")
