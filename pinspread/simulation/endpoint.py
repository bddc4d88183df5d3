"""Endpoints of destinations, and the interfaces of their incoming calls and connection owners."""

from collections import deque
from collections.abc import Sequence
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

from pinspread.policy.events import Outcome

if TYPE_CHECKING:
    from pinspread.simulation.destination import Destination


class ServingState(Enum):
    """How an endpoint treats connections and calls."""

    UP = auto()
    CRASHED = auto()  # the process is down: connections are refused
    SILENT = auto()  # never answers
    FAILING = auto()  # answers all or a share of the calls with an error at once
    REJECTING = auto()  # rejects all calls, and may give the time left as Retry-After
    COLLAPSED = auto()  # was overloaded while it warmed up, and stays down


class ConnectResult(Enum):
    """The result of an attempt to open a connection."""

    ACCEPTED = auto()
    OVER_LIMIT = auto()  # accepted, but closed after a 503 to its first call
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
        """The call's uniform random numbers; `scenario_types` names their indices."""
        ...

    def work_started(self) -> None:
        """Note that the endpoint begins to work on the call, which takes effect from here on."""
        ...

    def respond(self, outcome: Outcome, retry_after_ns: int) -> None:
        """Receive the endpoint's answer; `retry_after_ns` is 0 if it has no Retry-After."""
        ...

    def reset(self) -> None:
        """Note that the connection is reset."""
        ...


class ConnectionOwner(Protocol):
    """Holds connections to an endpoint."""

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        ...

    def connection_lost(self, reset: bool) -> None:
        """Handle the loss of the endpoint; without a reset its connections stay open and silent."""
        ...


class Endpoint:
    """One endpoint of a destination: its running calls, its queue and its connections.

    Attributes:
        busy: Number of cores in use.
        queue: Waiting calls, each with its work in nanoseconds.
        connection_limit: Connections that it accepts; 0 for any number.
        connections: Number of open connections.
        connection_owners: The owners of these connections.
        incarnation: Grows whenever running calls are lost.
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
