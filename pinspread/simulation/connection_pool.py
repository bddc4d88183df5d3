"""The connections of one instance to one endpoint."""

from typing import TYPE_CHECKING

from pinspread.simulation.endpoint import Endpoint
from pinspread.simulation.engine import Engine

if TYPE_CHECKING:
    from pinspread.simulation.outgoing_call import OutgoingCall

MAX_IDLE_FRACTION = 0.8  # of the time after which endpoints close idle connections; used only within it


class ConnectionPool:
    """Keeps idle connections for further calls, and tracks the calls that hold a connection.

    Args:
        engine: The engine of the simulation.
        endpoint: The endpoint that the connections lead to; it counts them.
        idle_timeout_ns: Connections are closed after they have been idle for this long.
    """

    __slots__ = ("_calls", "_endpoint", "_engine", "_idle_since_ns", "_idle_timeout_ns")

    def __init__(self, engine: Engine, endpoint: Endpoint, idle_timeout_ns: int) -> None:
        self._engine = engine
        self._endpoint = endpoint
        self._idle_timeout_ns = idle_timeout_ns
        self._idle_since_ns: list[int] = []  # when each connection became idle, oldest first
        self._calls: dict[OutgoingCall, None] = {}  # calls that hold a connection, in order of their start
        endpoint.connection_owners.append(self)

    def take_idle(self) -> bool:
        """Take the most recently used idle connection; return whether there was one."""
        self.close_expired()
        if not self._idle_since_ns:
            return False
        self._idle_since_ns.pop()
        return True

    def open(self, call: "OutgoingCall") -> None:
        """Open a connection for a call."""
        self._endpoint.connections += 1
        self._calls[call] = None

    def use(self, call: "OutgoingCall") -> None:
        """Note that a call holds a connection."""
        self._calls[call] = None

    def release(self, call: "OutgoingCall", reusable: bool) -> None:
        """End a call's use of its connection, if it holds one.

        A reusable connection is kept for further calls, any other is closed.
        """
        if call not in self._calls:
            return
        del self._calls[call]
        if reusable:
            self._idle_since_ns.append(self._engine.now)
        else:
            self._endpoint.connections -= 1

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        expired_ns = self._engine.now - self._idle_timeout_ns
        while self._idle_since_ns and self._idle_since_ns[0] <= expired_ns:
            del self._idle_since_ns[0]
            self._endpoint.connections -= 1

    def close_idle(self) -> None:
        """Close all idle connections."""
        self._endpoint.connections -= len(self._idle_since_ns)
        self._idle_since_ns.clear()

    def close(self) -> None:
        """Close all connections when the process of the instance ends."""
        self._endpoint.connections -= len(self._idle_since_ns) + len(self._calls)
        self._endpoint.connection_owners.remove(self)

    def connection_lost(self, reset: bool) -> None:
        """Handle the loss of the endpoint: a reset ends all connections, else they stay open and silent."""
        if not reset:
            return
        self.close_idle()
        for call in list(self._calls):
            call.reset()
