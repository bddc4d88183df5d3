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
    RETURNED = 2  # not delivered; the client can safely submit it again


@dataclass(slots=True)
class FinalResult:
    """The final result of a message, which its client is notified of.

    Attributes:
        state: How the message ended.
        retry_after_ms: After RETURNED, when the client may submit it again, in milliseconds from now.
    """

    state: FinalState
    retry_after_ms: int = 0


@dataclass(slots=True, frozen=True)
class DeliveryRules:
    """The rules that a message was accepted under: its traffic class and its maximum number of attempts."""

    traffic_class: TrafficClass
    max_attempts: int


@dataclass(slots=True)
class Message:
    """An accepted message, kept until its client has been notified of the final result.

    Attributes:
        number: The number by which the policy identifies it; messages are numbered as they are accepted.
        id: The id that the client gave it.
        class_name: The name of its traffic class.
        tenant: The name of its tenant.
        destination: The number of the destination that it is delivered to.
        key: The ordering key; messages with the same key are delivered in order. 0: no key.
        idempotency_key: The key by which the destination drops duplicates; empty: no key.
        deadline_unix_us: The deadline for delivery, in microseconds of Unix time.
        body: The content to deliver.
        front: The name of the front that accepted it, and that notifies the client.
        reply: Data that the front needs for the notification.
        attempts: The number of attempts started so far, including those before restarts.
        may_have_run_unix_us: When the first attempt that may have run was written, in microseconds of Unix
            time; 0: no attempt may have run.
        in_flight_since_unix_us: When the attempt in flight was written, in microseconds of Unix time; 0: none
            is in flight.
        zone: The zone of the first attempt that may have run; until there is one, that of the latest attempt.
        final: The final result, once it is decided.
        rules: The rules it was accepted under; None if an older version did not record them in the journal.
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
        id: Its id in the endpoint list.
        address: Host and port, separated by a colon.
        destination: The number of the destination that it belongs to.
        usable: Whether it may be called, that is, it is listed as ready and no operator has blocked it.
        scheme: The scheme of the transport that reaches it.
        route: What the transport needs in addition to the address.
        weight: Its share of the destination's capacity, or its own capacity, depending on the settings.
        zone: The number of its zone.
        kind: The index of its kind in the settings.
        listed: Its state in the endpoint list, regardless of whether operators have blocked it.
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

    def is_same_as(self, other: "Endpoint") -> bool:
        """Return whether the other, of the same id, has the same scheme, address, route and destination."""
        same_target = (self.scheme, self.address, self.route) == (other.scheme, other.address, other.route)
        return same_target and self.destination == other.destination

    def update_from(self, other: "Endpoint") -> None:
        """Copy all fields from the other, which a newer list contained."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))


@dataclass(slots=True)
class AttemptResult:
    """How an attempt or a health check ended.

    Attributes:
        outcome: The outcome that is reported to the policy.
        retry_after_us: The endpoint's Retry-After in microseconds; 0: none was given.
        no_longer_wanted: Whether the endpoint reported that the message is no longer to be delivered.
        note: Details for the log.
        idle_us: How long the connection had been idle, in microseconds; -1: the connection was new.
        opened: Whether a connection was opened for the attempt and was established.
        local_port: The local port of the attempt's connection, which the endpoint's records name too; 0 for
            none.
        limit_remaining: The remaining fraction of the endpoint's limit, as the endpoint reported it.
        limit_per_s: The endpoint's limit in calls per second, as the endpoint reported it; 0: not reported.
    """

    outcome: Outcome
    retry_after_us: int = 0
    no_longer_wanted: bool = False
    note: str = ""
    idle_us: int = -1
    opened: bool = False
    local_port: int = 0
    limit_remaining: float = 0.0
    limit_per_s: float = 0.0


# The outcomes which prove that an attempt did not run.
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


def _refuse_write() -> str:
    return "the attempt is detached"


def _ignore_retry_after(retry_after_us: int) -> None:
    pass


@dataclass(slots=True)
class Attempt:
    """One attempt at delivering a message.

    Attributes:
        message: The message to deliver.
        number: The attempt's number within the message, from 0.
        endpoint: The endpoint to deliver it to.
        started_us: When it was started, in microseconds of the monotonic clock.
        timeout_us: The time-out for its outcome, in microseconds.
        check_before_write: Called by the transport right before it writes the first byte. Returns an empty
            string if it may write, and then the attempt is in the journal as started; else the reason
            against it.
        apply_retry_after: Called by the transport with the endpoint's Retry-After in microseconds, as soon as
            that is received, whatever the outcome of the attempt.
        recorded: Whether it was recorded as started in the journal before its transport was called.
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
        """Return when the attempt times out, in microseconds of the monotonic clock."""
        return self.started_us + self.timeout_us

    def detach(self) -> None:
        """Drop the callbacks, which refer back to the attempt: without the cycle it is freed at once."""
        self.check_before_write = _refuse_write
        self.apply_retry_after = _ignore_retry_after
