"""The limits on open client connections and their memory, and the choice of connections to close."""

from collections.abc import Collection
from enum import Enum

import anyio

from pinspread.core.clock import Clock
from pinspread.core.log import log
from pinspread.core.time_units import US_PER_S
from pinspread.sockets.connection import Connection

# For the first command of a connection, or the rest of an incomplete one. Clients must get a reply or a close
# within 3 s.
COMMAND_TIMEOUT_US = 2_200_000
SILENCE_US = 100_000  # minimum time without a command before a connection may be closed for a new one
SUBMITTER_GRACE_US = 2_000_000  # a client that submitted messages and is idle for less is closed last
IDLE_TIMEOUT_US = 2_100_000  # an idle connection is closed after this time even below the limit
STALLED_TIMEOUT_US = 5_000_000  # a client that does not read its replies is closed after this time
SWEEP_INTERVAL_S = 0.25


class StreamEnd(Enum):
    """When a client's session is to end the stream."""

    NOT_REQUESTED = 0
    ONCE_IDLE = 1  # as soon as nothing that the client sent is unanswered
    AFTER_COMMAND = 2  # behind the command that was read last, though the client has sent more


class ClientConnection:
    """A client connection as the limiter counts it.

    Attributes:
        connection: The connection.
        waiting_since_us: Since when its next command, or the rest of an incomplete one, is awaited, in
            microseconds on the monotonic clock.
        answered: At least one of its commands was answered without an error.
        submitted: The client has submitted a message.
        mid_command: A command was received in part.
        has_heartbeat: Its protocol detects lost clients by heartbeats, so it is never closed for being idle,
            only for an incomplete command.
        reserved_bytes: Memory reserved for it beyond the initial buffer that each connection has.
        timeout_reply: The reply before the close if the client does not send a complete command in time.
        requested_end: When its session is to end the stream.
    """

    __slots__ = (
        "answered",
        "connection",
        "has_heartbeat",
        "mid_command",
        "requested_end",
        "reserved_bytes",
        "submitted",
        "timeout_reply",
        "waiting_since_us",
    )

    def __init__(self, connection: Connection, now_us: int) -> None:
        self.connection = connection
        self.waiting_since_us = now_us
        self.answered = False
        self.submitted = False
        self.mid_command = False
        self.has_heartbeat = False
        self.reserved_bytes = 0
        self.timeout_reply = b""
        self.requested_end = StreamEnd.NOT_REQUESTED

    def is_idle(self) -> bool:
        """Return whether nothing that the client sent is unanswered, apart from a part of a command.

        Unanswered commands may be unread in the kernel. They may also be read already: a session that has
        more of them in its buffer, or replies to write, does not wait for input.
        """
        return self.connection.awaiting_input and self.connection.is_idle()

    @property
    def between_commands(self) -> bool:
        """Whether its last command was answered and no part of another has arrived."""
        return self.answered and not self.mid_command

    def command_begun(self, now_us: int) -> None:
        """Note that a command was received in part.

        The time for it counts from now, and for the first command from the start of the connection.
        """
        if self.between_commands:
            self.waiting_since_us = now_us
        self.mid_command = True

    def command_answered(self, now_us: int) -> None:
        """Note that a command was answered without an error."""
        self.answered, self.mid_command = True, False
        self.waiting_since_us = now_us


class ConnectionLimiter:
    """The limits that all client listeners share.

    Args:
        clock: The clock of the process.
        max_clients: Maximum number of open client connections.
        max_bytes: Maximum number of bytes reserved for all of them together.
    """

    def __init__(self, clock: Clock, max_clients: int = 512, max_bytes: int = 8 << 20) -> None:
        self.clock = clock
        self.reserved_bytes = 0
        self.clients: dict[Connection, ClientConnection] = {}  # in order of arrival
        self.resize(max_clients, max_bytes)

    def resize(self, max_clients: int, max_bytes: int) -> None:
        """Apply other limits; connections above them are closed only as new ones arrive."""
        self.max_clients = max_clients
        self.max_submitters = max_clients * 2 // 5  # clients that submitted: a quarter of the descriptors
        self.max_bytes = max_bytes

    def add(self, connection: Connection) -> ClientConnection:
        """Count another client connection."""
        client = self.clients[connection] = ClientConnection(connection, self.clock.now())
        return client

    def remove(self, client: ClientConnection) -> None:
        """Stop counting a connection that has ended, and free the memory reserved for it."""
        self.reserve(client, 0)
        self.clients.pop(client.connection, None)

    def reserve(self, client: ClientConnection, size: int) -> bool:
        """Set how many bytes are reserved for a client; false, without a change, if that exceeds the limit.

        Without a common limit, hundreds of commands that are never completed would use up all memory.
        """
        additional = size - client.reserved_bytes
        if additional > 0 and self.reserved_bytes + additional > self.max_bytes:
            return False
        self.reserved_bytes += additional
        client.reserved_bytes = size
        return True

    def admit(self) -> bool:
        """Return whether another connection may be accepted, after closing an idle one for it if needed."""
        clients = self.clients.values()
        if len(clients) < self.max_submitters:
            return True
        # Clients that send nothing, or that submitted once and stay connected, would keep regular clients
        # out. Regular clients may hold a third of the descriptors: at that they can open no more connections,
        # and their requests fail without the courier seeing them.
        submitters = [client for client in clients if client.submitted]
        full = len(clients) >= self.max_clients
        if len(submitters) < self.max_submitters and not full:
            return True
        candidates = submitters if len(submitters) >= self.max_submitters else clients
        return self._close_one(candidates) or not full

    def _close_one(self, candidates: Collection[ClientConnection]) -> bool:
        """Close the least useful idle connection; false if there is none that may be closed.

        Connections that submitted nothing, or were idle for `SUBMITTER_GRACE_US`, are closed first; among
        equals the one that has been idle longest.
        """
        now_us = self.clock.now()

        def rank(client: ClientConnection) -> tuple[bool, int]:
            in_use = client.submitted and now_us - client.waiting_since_us < SUBMITTER_GRACE_US
            return in_use, client.waiting_since_us

        idle = [c for c in candidates if not c.has_heartbeat and now_us - c.waiting_since_us > SILENCE_US]
        while idle:
            client = min(idle, key=rank)
            if client.is_idle():
                self._close(client, "limit reached")
                return True
            idle.remove(client)
        return False

    def close_overdue(self) -> None:
        """Close connections whose command has been incomplete, or that have been idle, for too long."""
        now_us = self.clock.now()
        for client in list(self.clients.values()):
            if client.has_heartbeat and not client.mid_command:
                continue
            if not self._is_overdue(client, now_us):
                continue
            # A client that sent part of a command, or none yet, must get a reply or a close in time. A
            # session that does not wait for input may have written a part of another reply.
            in_reply = bool(client.connection.unsent_bytes) or not client.connection.awaiting_input
            if client.timeout_reply and not client.between_commands and not in_reply:
                client.connection.try_write(client.timeout_reply)
            self._close(client, "idle" if client.between_commands else "no command in time")

    def _is_overdue(self, client: ClientConnection, now_us: int) -> bool:
        waited_us = now_us - client.waiting_since_us
        limit_us = IDLE_TIMEOUT_US if client.between_commands else COMMAND_TIMEOUT_US
        if waited_us <= limit_us or client.is_idle():
            return waited_us > limit_us
        # If the event loop was late, unread bytes may hold the awaited command, and a close now would leave
        # it without a reply. A client that always has unread bytes but never a complete command is still
        # closed, two sweeps later.
        if not client.between_commands:
            return waited_us >= COMMAND_TIMEOUT_US + int(2 * SWEEP_INTERVAL_S * US_PER_S)
        # The same holds for commands that its session has read, whose replies may wait for the client.
        return not client.connection.awaiting_input and waited_us > STALLED_TIMEOUT_US

    def _close(self, client: ClientConnection, reason: str) -> None:
        log(
            "client_connection_closed",
            reason=reason,
            open=len(self.clients),
            answered=client.answered,
            submitted=client.submitted,
        )
        self.clients.pop(client.connection, None)
        client.connection.shutdown()

    async def run(self) -> None:
        """Close overdue connections until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.close_overdue()
