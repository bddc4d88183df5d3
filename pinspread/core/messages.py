"""Transactions and their branches: what a caller handed in, and one attempt at delivering it."""

from dataclasses import dataclass, field
from enum import IntEnum

from pinspread.policy.events import EndpointState, Outcome
from pinspread.policy.settings import TrafficClass


class FinalState(IntEnum):
    """How a transaction ended."""

    DELIVERED = 0
    FAILED = 1
    RETURNED = 2  # undelivered; handing it in again is harmless


@dataclass(slots=True)
class FinalResult:
    """A final answer; `retry_after_ms` tells when to come back after RETURNED."""

    state: FinalState
    retry_after_ms: int = 0


@dataclass(slots=True, frozen=True)
class DeliveryRules:
    """What a transaction was taken on under: its class as the settings had it then, and its attempts."""

    traffic_class: TrafficClass
    max_attempts: int


@dataclass(slots=True)
class Message:
    """One message that was taken on, until its final answer has been heard."""

    number: int  # the module's name for it: the order in which it was taken
    id: str
    class_name: str
    tenant: str
    destination: int
    key: int  # 0: none
    idempotency_key: str
    deadline_unix_us: int
    body: bytes = b""
    front: str = ""  # the front that took it, which also hears its end
    reply: dict = field(default_factory=dict)  # what that front needs for it
    attempts: int = 0  # started so far, over restarts
    may_have_run_unix_us: int = 0  # Unix time of the first branch that may have run; 0: none
    in_flight_since_unix_us: int = 0  # Unix time at which the branch that is out was written; 0: none is
    zone: int = 0  # of its latest branch, and from the first on that may have run, of that one
    final: FinalResult | None = None
    rules: DeliveryRules | None = None  # None: the journal of an older version does not say


@dataclass(slots=True)
class Endpoint:
    """One endpoint of a partner, as discovery tells of it."""

    id: str
    address: str  # host:port
    destination: int
    usable: bool = True
    scheme: str = "http"  # the transport that reaches it
    route: dict = field(default_factory=dict)  # what that transport needs beyond the address
    weight: float = 1.0
    zone: int = 0
    kind: int = 0
    listed: EndpointState = EndpointState.READY  # as the list has it; `usable` heeds bans too

    def same_address_as(self, other) -> bool:
        """Whether the other is the same endpoint at the same place."""
        return (self.scheme, self.address, self.route) == (other.scheme, other.address, other.route)

    def update_from(self, other):
        """Read as the other does, which the list has named since."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))


@dataclass(slots=True)
class AttemptResult:
    """How a branch or a probe ended; the verdicts are the module's."""

    outcome: Outcome
    retry_after_us: int = 0  # told with a busy answer
    no_longer_wanted: bool = False  # the next hop says that nothing is owed any more
    note: str = ""
    idle_us: int = -1  # how long its connection had been idle; -1: it was new
    opened: bool = False  # a connection was opened for it, and came up
    limit_remaining: float = 0.0  # told share of the limit that is left
    limit_per_s: float = 0.0  # the told limit in calls a second; 0: not told


NEVER_RAN = (
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.NOT_SENT,
)  # what proves that a branch never ran


@dataclass(slots=True)
class Attempt:
    """One attempt. Its transport asks `check_before_write` right before the first byte and obeys it."""

    message: Message
    number: int
    endpoint: Endpoint
    started_us: int
    timeout_us: int
    check_before_write: object = None  # () -> str: empty, or why nothing may be written any more
    recorded: bool = False  # it is in the journal as started before its transport was called
    apply_retry_after: object = None  # (wait_us): a wait was told, whatever else becomes of the branch

    def ends_us(self):
        """When the courier stops waiting."""
        return self.started_us + self.timeout_us
