"""Messages and the attempts at delivering them: what a client submitted, and how each call ended."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from pinspread.policy.events import EndpointState, Outcome
from pinspread.policy.settings import TrafficClass


class FinalState(IntEnum):
    """How a message ended; the numbers are stored."""

    DELIVERED = 0
    FAILED = 1
    RETURNED = 2  # undelivered; sending it again is harmless


@dataclass(slots=True)
class FinalResult:
    """What the client is notified of at the end of a message.

    Attributes:
        state: How it ended.
        retry_after_ms: When the client may send it again after RETURNED, in milliseconds from now.
    """

    state: FinalState
    retry_after_ms: int = 0


@dataclass(slots=True, frozen=True)
class DeliveryRules:
    """What a message was accepted under: its traffic class as the settings had it then, and its attempts."""

    traffic_class: TrafficClass
    max_attempts: int


@dataclass(slots=True)
class Message:
    """One message that was accepted, until its client has been notified of the final result.

    Attributes:
        number: The policy's name for it: the order in which messages were accepted.
        id: The client's name for it.
        class_name: The name of its traffic class.
        tenant: The name of its tenant.
        destination: The destination that is to get it.
        key: Messages of one key go in order; 0: none.
        idempotency_key: By which the destination drops duplicates; empty: none.
        deadline_unix_us: Until when it may be delivered, in microseconds of Unix time.
        body: What is delivered.
        front: The front that accepted it, which also notifies the client.
        reply: What that front needs for the notification.
        attempts: How many have been started so far, over restarts.
        may_have_run_unix_us: When the first attempt that may have run was written; 0: none may have.
        in_flight_since_unix_us: When the attempt that is in flight was written; 0: none is.
        zone: The zone of the latest attempt, and of the first that may have run once there is one.
        final: The final result, once it is decided.
        rules: What it was accepted under; None where the journal of an older version does not say.
    """

    number: int
    id: str
    class_name: str
    tenant: str
    destination: int
    key: int
    idempotency_key: str
    deadline_unix_us: int
    body: bytes = b""
    front: str = ""
    reply: dict[str, Any] = field(default_factory=dict)
    attempts: int = 0
    may_have_run_unix_us: int = 0
    in_flight_since_unix_us: int = 0
    zone: int = 0
    final: FinalResult | None = None
    rules: DeliveryRules | None = None


@dataclass(slots=True)
class Endpoint:
    """One endpoint of a destination, as discovery reports it.

    Attributes:
        id: The list's name for it.
        address: Host and port, with a colon between them.
        destination: The destination that it belongs to.
        usable: Whether it may be called: it is listed as ready, and no operator has blocked it.
        scheme: Which transport reaches it.
        route: What that transport needs beyond the address.
        weight: Its share of the destination's capacity, or that capacity, as the settings say.
        zone: The zone that it is in.
        kind: The place of its kind in the settings.
        listed: Its state in the list, whatever operators have blocked.
    """

    id: str
    address: str
    destination: int
    usable: bool = True
    scheme: str = "http"
    route: dict[str, str] = field(default_factory=dict)
    weight: float = 1.0
    zone: int = 0
    kind: int = 0
    listed: EndpointState = EndpointState.READY

    def same_address_as(self, other: "Endpoint") -> bool:
        """Return whether the other is the same endpoint at the same place."""
        return (self.scheme, self.address, self.route) == (other.scheme, other.address, other.route)

    def update_from(self, other: "Endpoint") -> None:
        """Become equal to the other, which the list has named since."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))


@dataclass(slots=True)
class AttemptResult:
    """How an attempt or a health check ended.

    Attributes:
        outcome: What the policy goes by.
        retry_after_us: For how long the endpoint said to wait; 0: it did not say.
        no_longer_wanted: The endpoint says that nothing is owed for the message any more.
        note: Details for the log.
        idle_us: How long the connection had been idle; -1: it was new.
        opened: A connection was opened for it, and came up.
        limit_remaining: The share of the endpoint's limit that is left, as it reported.
        limit_per_s: The endpoint's limit in calls a second, as it reported; 0: it did not.
    """

    outcome: Outcome
    retry_after_us: int = 0
    no_longer_wanted: bool = False
    note: str = ""
    idle_us: int = -1
    opened: bool = False
    limit_remaining: float = 0.0
    limit_per_s: float = 0.0


# The outcomes that prove that an attempt never ran.
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


def _refuse_write() -> str:
    return "nothing waits for this attempt"


def _ignore_retry_after(retry_after_us: int) -> None:
    pass


@dataclass(slots=True)
class Attempt:
    """One attempt at delivering a message.

    Attributes:
        message: What is delivered.
        number: The attempt's number within the message, from 0.
        endpoint: Where it goes.
        started_us: When it was started, in microseconds of the monotonic clock.
        timeout_us: How long its outcome is waited for.
        check_before_write: The transport asks this right before the first byte: empty if it may write, else
            why it must not. If it may, the attempt is in the journal as started when this returns.
        apply_retry_after: The transport reports by this, at once, for how many microseconds the endpoint said
            to wait, whatever else becomes of the attempt.
        recorded: It is in the journal as started before its transport was called.
    """

    message: Message
    number: int
    endpoint: Endpoint
    started_us: int
    timeout_us: int
    check_before_write: Callable[[], str] = _refuse_write
    recorded: bool = False
    apply_retry_after: Callable[[int], None] = _ignore_retry_after

    def ends_us(self) -> int:
        """Return when its outcome is no longer waited for, in microseconds of the monotonic clock."""
        return self.started_us + self.timeout_us

    def detach(self) -> None:
        """Break the references to whatever started it, which name it: without them it is freed at once."""
        self.check_before_write = _refuse_write
        self.apply_retry_after = _ignore_retry_after
