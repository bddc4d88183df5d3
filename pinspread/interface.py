"""The interface of the decision module: settings, events and actions. Types only, no decisions.

All times are integer nanoseconds. A request id is any integer, an endpoint id any hashable value that
the caller chooses; both come back as they were given.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

EndpointId = Hashable


class Effect(Enum):
    """What a repeat of a message may do at its destination."""

    REPEATABLE = "repeatable"  # safe to repeat
    BY_KEY = "by_key"  # repeats are dropped, inside a group of endpoints and for a time
    ONCE = "once"  # must never run twice


class Group(Enum):
    """Which endpoints of a destination drop repeats of a keyed message."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"  # the endpoints of one destination


class Verdict(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    MOOT = 249  # not sent
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMEOUT = 253
    FULL = 254
    ERROR = 255


class ListState(IntEnum):
    """What the list of endpoints says of one; nothing about its health."""

    GONE = 0
    DRAINING = 1
    READY = 2


class ListScope(IntEnum):
    """How much of the list of endpoints an event carries."""

    DELTA = 0
    FULL = 1
    CACHED = 2  # the whole list, possibly out of date
    FAILED = 3  # no entries, the list stays as it was


# --- settings -------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class TrafficClass:
    """A class of message."""

    aim_ns: int  # delivered within this time it earns its full worth
    deadline_ns: int
    effect: Effect = Effect.REPEATABLE
    group: Group = Group.ALL
    window_ns: int = 0  # for keyed messages: how long repeats are dropped
    late_share: float = 0.0  # share of the worth that is left at the deadline
    worth: float = 1.0
    in_order: bool = False  # messages with one key go one at a time


@dataclass(slots=True)
class Tenant:
    """A tenant and the rate, summed over all senders, that is within its share."""

    quota_per_s: float
    share: float


@dataclass(slots=True)
class Kind:
    """A kind of destination."""

    routes_apart: bool = False  # its endpoints have limits, pace and outages of their own
    bundle_max: int = 1  # messages that one call may carry


@dataclass(slots=True)
class Settings:
    """What a sender is told at its start."""

    classes: list[TrafficClass]
    kinds: list[Kind]
    calls_out: int  # calls that this sender may have out at once
    most_held: int  # messages that it may hold, sent or not
    max_attempts: int  # for one message
    tenants: list[Tenant] = field(default_factory=list)
    senders: int = 1  # how many senders there are
    zone: int = 0
    over_share_worth: float = 1.0
    halves: bool = False  # worth falls by half with each further aim, otherwise evenly
    weights_known: bool = False  # listed weights tell the calls a second that a destination takes
    weights_exact: bool = False  # and they are exact, not rough
    may_probe: bool = False
    may_cancel: bool = False
    may_tell_wait: bool = False  # a come-back time reaches the client
    max_come_back_ns: int = 0
    streams_per_connection: int = 1
    keepalive_ns: int = 0
    drain_grace_ns: int = 0
    cold_from: float = 1.0  # share of capacity that a destination has right after an outage
    cold_ns: int = 0  # all of it after this
    tip_multiple: float = 1.0  # of its present capacity: sent more, a cold destination falls over
    order_pause_ns: int = 0  # a key rests this long after an attempt that may still be running
    list_on_request: bool = False  # changes of the list come only to a subscriber
    must_ask_in_ns: int = 0  # who has not asked for this long is held to know what was listed then
    handshake_price: float = 0.0  # what a new connection costs, against one message's mean worth
    crossing_price: float = 0.0  # the same for a call to another zone
    zone_fees: list[float] = field(default_factory=list)  # for each zone, where routes are apart

    def kind(self, n: int) -> Kind:
        """The kind of that place; what the settings do not name is a plain one."""
        return self.kinds[n] if 0 <= n < len(self.kinds) else Kind()

    def __post_init__(self):
        """Refuse figures that no sender can work with, naming the field."""
        for name in ("calls_out", "most_held", "max_attempts", "senders"):
            if getattr(self, name) < 1:
                raise ValueError(f"settings: {name} must be at least 1, not {getattr(self, name)}")
        for name in (
            "max_come_back_ns",
            "keepalive_ns",
            "drain_grace_ns",
            "cold_ns",
            "order_pause_ns",
            "must_ask_in_ns",
        ):
            if getattr(self, name) < 0:
                raise ValueError(f"settings: {name} must not be negative, not {getattr(self, name)}")
        if not self.classes:
            raise ValueError("settings: classes must name at least one class")
        if not self.kinds:
            raise ValueError("settings: kinds must name at least one kind")
        for n, kind in enumerate(self.kinds):
            if kind.bundle_max < 1:
                raise ValueError(f"settings: kinds[{n}].bundle_max must be at least 1, not {kind.bundle_max}")
        for n, cls in enumerate(self.classes):
            for name in ("aim_ns", "deadline_ns"):
                if getattr(cls, name) <= 0:
                    raise ValueError(
                        f"settings: classes[{n}].{name} must be above 0, not {getattr(cls, name)}"
                    )
            if cls.effect is Effect.BY_KEY and cls.window_ns <= 0:
                raise ValueError(f"settings: classes[{n}].window_ns must be above 0 for a keyed class")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"settings: cold_from must be above 0 and at most 1, not {self.cold_from}")
        if self.tip_multiple <= 0:
            raise ValueError(f"settings: tip_multiple must be above 0, not {self.tip_multiple}")


# --- events ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class ListEntry:
    """One endpoint as the list of endpoints shows it."""

    endpoint: EndpointId
    destination: int
    zone: int = 0
    kind: int = 0
    state: ListState = ListState.READY
    weight: float = 1.0
    cold: bool = False  # it has just been started again


@dataclass(slots=True)
class ListChanged:
    """News of the list of endpoints."""

    scope: ListScope
    entries: list[ListEntry]


@dataclass(slots=True)
class MessageTaken:
    """A message was handed in; one final answer is owed."""

    request: int
    cls: int
    destination: int
    deadline_ns: int  # a time of the clock
    key: int = 0  # 0: none
    tenant: int = 0
    attempts: int = 0  # made before the sender was restarted
    may_run_ns: int = 0  # when the first of them was sent that may have run; 0: none
    may_run_zone: int = 0  # and to which zone
    rule: TrafficClass | None = None  # what it was taken on under, where that is not `cls` of the settings
    owed: bool = False  # it was taken on before the sender was restarted
    max_attempts: int = 0  # the same for its attempts; 0: as the settings say


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has its outcome; `done` says whether the message has ended."""

    request: int
    attempt: int
    endpoint: EndpointId
    verdict: Verdict
    elapsed_ns: int
    done: bool
    wait_ns: int = 0  # with FULL: the told wait, 0 where none is told
    allowance_left: float = 0.0  # share of the limit that is left just now
    limit_per_s: float = 0.0  # the limit in calls a second; 0: none is known
    opened: bool = False  # its connection was opened for it, as far as the caller knows
    unsent: bool = False  # with MOOT: no byte of it was written, as what barred it came behind the choice


@dataclass(slots=True)
class ProbeEnded:
    """A probe has its result."""

    endpoint: EndpointId
    verdict: Verdict
    elapsed_ns: int
    wait_ns: int = 0  # with FULL: the told wait, 0 where none is told


@dataclass(slots=True)
class ClientGone:
    """The client withdrew the message, or its time is over: nothing is owed for it any more."""

    request: int


@dataclass(slots=True)
class TimerDue:
    """A timer that the sender had set has come due."""

    tag: int


@dataclass(slots=True)
class SettingsChanged:
    """Other settings count from now on; what is held keeps the rules that it came under."""

    settings: Settings


Event = ListChanged | MessageTaken | AttemptEnded | ProbeEnded | ClientGone | TimerDue | SettingsChanged

# --- actions --------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Call an endpoint with a message; sends of one turn to one endpoint may share a call."""

    request: int
    endpoint: EndpointId
    timeout_ns: int


@dataclass(slots=True)
class Refuse:
    """Final answer: handing the message in again is harmless, after `come_back_ns`."""

    request: int
    come_back_ns: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; nothing is said about its effect."""

    request: int


@dataclass(slots=True)
class Probe:
    """Send a check to an endpoint."""

    endpoint: EndpointId


@dataclass(slots=True)
class Disconnect:
    """Close the idle connections to an endpoint."""

    endpoint: EndpointId


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerDue after a while."""

    tag: int
    delay_ns: int


@dataclass(slots=True)
class Subscribe:
    """Ask for the changes of the list, missed ones first; one ListChanged answers."""


Action = Send | Refuse | Fail | Probe | Disconnect | SetTimer | Subscribe
