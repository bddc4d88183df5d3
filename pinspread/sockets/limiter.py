"""How many client connections may be open, how much memory they may use, and which have to give way."""

from collections.abc import Collection

import anyio

from pinspread.core.clock import Clock
from pinspread.core.log import log
from pinspread.core.time_units import US_PER_S
from pinspread.sockets.connection import Connection

COMMAND_TIMEOUT_US = (
    2_200_000  # for a first command, or the rest of a begun one: clients are owed an end in 3 s
)
SILENCE_US = 100_000  # after which a connection whose turn it is gives way to new ones, if one must
SUBMITTER_GRACE_US = (
    2_000_000  # idle time before which one that has submitted messages is the last to give way
)
IDLE_TIMEOUT_US = 2_100_000  # after which an idle connection is closed though the limit is not reached
SWEEP_INTERVAL_S = 0.25


class ClientConnection:
    """What the limiter knows of one client connection.

    Attributes:
        connection: The connection itself.
        waiting_since_us: Since when the limiter waits for its next command, or for the rest of a begun one.
        answered: A command of it has been answered without an error.
        submitted: It has submitted a message.
        mid_command: A command has begun and is not complete.
        has_heartbeat: Its protocol detects a lost client: it is never closed for being idle.
        reserved_bytes: Memory reserved for it beyond what each connection has.
        timeout_reply: The last reply to a client that does not send a complete command in time.
    """

    __slots__ = (
        "answered",
        "connection",
        "has_heartbeat",
        "mid_command",
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

    @property
    def between_commands(self) -> bool:
        """Whether its last command was answered and no other has begun."""
        return self.answered and not self.mid_command

    def command_begun(self, now_us: int) -> None:
        """Note that a command has begun and is not complete; a first one counts from the start."""
        if self.between_commands:
            self.waiting_since_us = now_us
        self.mid_command = True

    def command_answered(self, now_us: int) -> None:
        """Note that a command was answered without an error."""
        self.answered, self.mid_command = True, False
        self.waiting_since_us = now_us


class ConnectionLimiter:
    """The limit that all listeners for clients share.

    Args:
        clock: The clock of the process.
        max_clients: How many client connections may be open together.
        max_bytes: How many bytes may be reserved for them together.
    """

    def __init__(self, clock: Clock, max_clients: int = 512, max_bytes: int = 8 << 20) -> None:
        self.clock = clock
        self.reserved_bytes = 0
        self.clients: dict[Connection, ClientConnection] = {}  # in the order in which they came
        self.resize(max_clients, max_bytes)

    def resize(self, max_clients: int, max_bytes: int) -> None:
        """Apply other limits from now on; connections beyond them give way as usual."""
        self.max_clients = max_clients
        self.max_submitters = max_clients * 2 // 5  # that submit messages: a quarter of the descriptors
        self.max_bytes = max_bytes

    def add(self, connection: Connection) -> ClientConnection:
        """Count another client connection."""
        client = self.clients[connection] = ClientConnection(connection, self.clock.now())
        return client

    def remove(self, client: ClientConnection) -> None:
        """Stop counting a connection, which has ended, and free what was reserved for it."""
        self.reserve(client, 0)
        self.clients.pop(client.connection, None)

    def reserve(self, client: ClientConnection, size: int) -> bool:
        """Set how many bytes are reserved for a client; false, and no change, if that is beyond the limit.

        Without a common limit, hundreds of commands that are never finished would take all memory.
        """
        additional = size - client.reserved_bytes
        if additional > 0 and self.reserved_bytes + additional > self.max_bytes:
            return False
        self.reserved_bytes += additional
        client.reserved_bytes = size
        return True

    def admit(self) -> bool:
        """Whether another connection may be accepted; an idle one is closed for it where that is needed."""
        clients = self.clients.values()
        if len(clients) < self.max_submitters:
            return True
        # Clients that send nothing, or submitted once and stay, would keep the usual ones out. The usual ones
        # may hold a third of the descriptors: at that they can open no more, and their requests fail unseen.
        submitters = [client for client in clients if client.submitted]
        full = len(clients) >= self.max_clients
        if len(submitters) < self.max_submitters and not full:
            return True
        candidates = submitters if len(submitters) >= self.max_submitters else clients
        return self._close_one(candidates) or not full

    def _close_one(self, candidates: Collection[ClientConnection]) -> bool:
        """Close the connection that can best be spared; false if none can.

        Connections that never submitted anything go first, then those that have waited longest.
        """
        now_us = self.clock.now()

        def rank(client: ClientConnection) -> tuple[bool, int]:
            in_use = client.submitted and now_us - client.waiting_since_us < SUBMITTER_GRACE_US
            return in_use, client.waiting_since_us

        idle = [c for c in candidates if not c.has_heartbeat and now_us - c.waiting_since_us > SILENCE_US]
        while idle:
            client = min(idle, key=rank)
            if client.connection.is_idle():
                self._close(client, "limit reached")
                return True
            idle.remove(client)
        return False

    def close_overdue(self) -> None:
        """Close connections that leave a command unfinished, or have been idle, for too long."""
        now_us = self.clock.now()
        for client in list(self.clients.values()):
            if client.has_heartbeat or not self._is_overdue(client, now_us):
                continue
            # A command that was sent in part, or never begun, is owed a reply or a close in time.
            if client.timeout_reply and not client.between_commands:
                client.connection.try_write(client.timeout_reply)
            self._close(client, "idle" if client.between_commands else "no command in time")

    def _is_overdue(self, client: ClientConnection, now_us: int) -> bool:
        waited_us = now_us - client.waiting_since_us
        idle = client.between_commands
        # Bytes that are there unread may be its command, where the event loop was late: closed now, it would
        # have no answer. A client that always has bytes unread and never a complete command is closed all the
        # same, two sweeps later.
        excused = idle or waited_us < COMMAND_TIMEOUT_US + int(2 * SWEEP_INTERVAL_S * US_PER_S)
        if excused and not client.connection.is_idle():
            return False
        return waited_us > (IDLE_TIMEOUT_US if idle else COMMAND_TIMEOUT_US)

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
