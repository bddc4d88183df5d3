"""Settings of the delivery policy. Times are integer nanoseconds."""

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a message may be repeated at its destination."""

    IDEMPOTENT = "repeatable"  # a repeat is harmless
    WITH_KEY = "by_key"  # the destination drops repeats, in a group of endpoints and for a time
    NOT_IDEMPOTENT = "once"  # must never run twice


class DeduplicationScope(Enum):
    """Which endpoints of a destination drop repeats of a keyed message."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"  # the endpoints of one destination


@dataclass(slots=True, frozen=True)
class TrafficClass:
    """A class of message."""

    latency_objective_ns: int  # a message delivered within this time has its full priority weight
    deadline_ns: int
    effect: Idempotency = Idempotency.IDEMPOTENT
    group: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0  # for keyed messages: how long repeats are dropped
    late_value_share: float = 0.0  # fraction of the priority weight that is left at the deadline
    priority_weight: float = 1.0
    in_order: bool = False  # messages with one ordering key go one at a time


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota: a rate, summed over all senders."""

    quota_per_s: float
    share: float


@dataclass(slots=True)
class DestinationKind:
    """A kind of destination."""

    limits_per_endpoint: bool = False  # each endpoint has its own limits, rate and outages
    max_bundle_size: int = 1  # messages that one call may carry


@dataclass(slots=True)
class Settings:
    """Settings of one sender."""

    classes: list[TrafficClass]
    kinds: list[DestinationKind]
    max_concurrent_calls: int  # maximum number of calls in flight
    max_held_messages: int  # maximum number of messages queued or in flight
    max_attempts: int  # for one message
    tenants: list[Tenant] = field(default_factory=list)
    senders: int = 1  # how many senders there are
    zone: int = 0
    over_quota_weight: float = 1.0
    value_halves: bool = False  # priority halves with each further latency objective, else falls linearly
    weights_known: bool = False  # listed weights are the calls a second that a destination takes
    weights_exact: bool = False  # the listed weights are exact, not rough
    health_checks_allowed: bool = False
    cancellation_allowed: bool = False
    retry_after_allowed: bool = False  # a Retry-After may be passed on to the client
    max_retry_after_ns: int = 0
    streams_per_connection: int = 1
    keepalive_ns: int = 0
    drain_grace_ns: int = 0
    slow_start_fraction: float = 1.0  # fraction of its capacity that a destination has after an outage
    slow_start_ns: int = 0  # time until it has its whole capacity again
    overload_multiple: float = 1.0  # multiple of its present capacity above which a warming destination fails
    ordering_pause_ns: int = 0  # pause of an ordering key after an attempt that may still be running
    polled_discovery: bool = False  # changes of the endpoint list come only in answer to polls
    # A drain counts as notified this long after the last poll, with or without a next one.
    max_poll_interval_ns: int = 0
    handshake_price: float = 0.0  # cost of a new connection, in units of a message's mean priority weight
    cross_zone_price: float = 0.0  # cost of a call to another zone, in the same units
    zone_fees: list[float] = field(default_factory=list)  # cost by zone, for endpoints with their own limits

    def kind(self, n: int) -> DestinationKind:
        """The destination kind of that number; one that the settings do not list has the defaults."""
        return self.kinds[n] if 0 <= n < len(self.kinds) else DestinationKind()

    def __post_init__(self) -> None:
        """Check the values, naming each setting as configuration files do.

        Raises:
            ValueError: A value is one that no policy can work with.
        """
        _check_bounds(self)
        if not self.classes:
            raise ValueError("settings: classes must name at least one class")
        if not self.kinds:
            raise ValueError("settings: kinds must name at least one kind")
        for n, kind in enumerate(self.kinds):
            if kind.max_bundle_size < 1:
                raise ValueError(
                    f"settings: kinds[{n}].bundle_max must be at least 1, not {kind.max_bundle_size}"
                )
        for n, traffic_class in enumerate(self.classes):
            _check_class(n, traffic_class)
        if not MIN_SLOW_START_FRACTION <= self.slow_start_fraction <= 1:
            raise ValueError(
                f"settings: cold_from must be from {MIN_SLOW_START_FRACTION} to 1, "
                f"not {self.slow_start_fraction}"
            )
        if not MIN_OVERLOAD_MULTIPLE <= self.overload_multiple <= MAX_OVERLOAD_MULTIPLE:
            raise ValueError(
                f"settings: tip_multiple must be from {MIN_OVERLOAD_MULTIPLE} to {MAX_OVERLOAD_MULTIPLE}, "
                f"not {self.overload_multiple}"
            )


MIN_SLOW_START_FRACTION = 1e-6
MIN_OVERLOAD_MULTIPLE, MAX_OVERLOAD_MULTIPLE = 0.01, 1e6

# Fields with a bound, and the names by which configuration files know them.
_POSITIVE = {
    "max_concurrent_calls": "calls_out",
    "max_held_messages": "most_held",
    "max_attempts": "max_attempts",
    "senders": "senders",
}
_NOT_NEGATIVE = {
    "max_retry_after_ns": "max_come_back_ns",
    "keepalive_ns": "keepalive_ns",
    "drain_grace_ns": "drain_grace_ns",
    "slow_start_ns": "cold_ns",
    "ordering_pause_ns": "order_pause_ns",
    "max_poll_interval_ns": "must_ask_in_ns",
}


def _check_bounds(settings: Settings) -> None:
    for field_name, setting in _POSITIVE.items():
        if getattr(settings, field_name) < 1:
            raise ValueError(f"settings: {setting} must be at least 1, not {getattr(settings, field_name)}")
    for field_name, setting in _NOT_NEGATIVE.items():
        if getattr(settings, field_name) < 0:
            raise ValueError(f"settings: {setting} must not be negative, not {getattr(settings, field_name)}")


def _check_class(n: int, traffic_class: TrafficClass) -> None:
    durations = {"aim_ns": traffic_class.latency_objective_ns, "deadline_ns": traffic_class.deadline_ns}
    for setting, duration_ns in durations.items():
        if duration_ns <= 0:
            raise ValueError(f"settings: classes[{n}].{setting} must be above 0, not {duration_ns}")
    if traffic_class.effect is Idempotency.WITH_KEY and traffic_class.deduplication_window_ns <= 0:
        raise ValueError(f"settings: classes[{n}].window_ns must be above 0 for a keyed class")
