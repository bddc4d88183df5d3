"""The endpoints of destinations, and what they have to do with: calls, and those that hold connections."""

from collections import deque
from collections.abc import Sequence
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

from pinspread.policy.events import Outcome

if TYPE_CHECKING:
    from pinspread.simulation.destination import Destination


class ServingState(Enum):
    """How an endpoint treats what reaches it."""

    UP = auto()
    CRASHED = auto()  # its process is down: connections are refused
    SILENT = auto()  # it never answers
    FAILING = auto()  # it answers with errors at once, all or a share
    REJECTING = auto()  # it rejects all, and may say until when
    COLLAPSED = auto()  # it was overloaded while it warmed up, and stays down


class ConnectResult(Enum):
    """What becomes of an attempt to open a connection."""

    ACCEPTED = auto()
    OVER_LIMIT = auto()  # accepted, and closed after a 503 to its first call
    REFUSED = auto()
    NO_ANSWER = auto()


class IncomingCall(Protocol):
    """A call as the destination sees it."""

    @property
    def instance(self) -> int:
        """Number of the calling instance."""
        ...

    @property
    def draws(self) -> Sequence[float]:
        """The call's uniform random numbers, by the indices that `scenario` names."""
        ...

    def work_started(self) -> None:
        """The endpoint begins to work on the call: from here on it takes effect."""
        ...

    def respond(self, outcome: Outcome, retry_after_ns: int) -> None:
        """The endpoint answers; `retry_after_ns` is 0 where no Retry-After is given."""
        ...

    def reset(self) -> None:
        """The connection is reset."""
        ...


class ConnectionOwner(Protocol):
    """One that holds connections to an endpoint."""

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        ...

    def connection_lost(self, reset: bool) -> None:
        """The endpoint is gone; without a reset its connections stay open and silent."""
        ...


class Endpoint:
    """One endpoint of a destination: its calls in work, its queue, its connections.

    Attributes:
        busy: Cores in use.
        connection_limit: Connections that it accepts; 0: any number.
        connections: Connections that are open.
        connection_owners: Those that hold them.
        incarnation: Grows whenever what is in work is lost.
    """

    __slots__ = (
        "busy",
        "connection_limit",
        "connection_owners",
        "connections",
        "cores",
        "destination",
        "id",
        "incarnation",
        "queue",
        "queue_limit",
        "state",
    )

    def __init__(
        self, id_: int, destination: "Destination", cores: int, queue_limit: int, connection_limit: int
    ) -> None:
        self.id = id_
        self.destination = destination
        self.cores = cores
        self.queue_limit = queue_limit
        self.connection_limit = connection_limit
        self.queue: deque[tuple[IncomingCall, int]] = deque()
        self.busy = 0
        self.connections = 0
        self.connection_owners: list[ConnectionOwner] = []
        self.state = ServingState.UP
        self.incarnation = 0
