"""Events that the delivery policy takes. Times are integer nanoseconds of the caller's clock.

A request id is any integer, an endpoint id any hashable value of the caller; both come back unchanged.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum

from pinspread.policy.settings import Settings, TrafficClass

EndpointId = Hashable


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    NOT_SENT = 249  # not sent
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMEOUT = 253
    OVERLOADED = 254
    ERROR = 255


class EndpointState(IntEnum):
    """What the list of endpoints says of one; nothing about its health."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class UpdateScope(IntEnum):
    """How much of the list of endpoints an event carries."""

    DELTA = 0
    FULL = 1
    CACHED = 2  # the whole list, possibly out of date
    FAILED = 3  # no entries, the list stays as it was


@dataclass(slots=True)
class EndpointEntry:
    """One endpoint as the list of endpoints shows it."""

    endpoint: EndpointId
    destination: int
    zone: int = 0
    kind: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    cold: bool = False  # it has just been started again


@dataclass(slots=True)
class EndpointsChanged:
    """News of the list of endpoints."""

    scope: UpdateScope
    entries: list[EndpointEntry]


@dataclass(slots=True)
class MessageAccepted:
    """A message was handed in; one final answer is owed."""

    request: int
    class_index: int
    destination: int
    deadline_ns: int  # a time of the clock
    key: int = 0  # 0: none
    tenant: int = 0
    attempts: int = 0  # made before the sender was restarted
    may_have_run_ns: int = 0  # when the first of them was sent that may have run; 0: none
    may_have_run_zone: int = 0  # and to which zone
    traffic_class: TrafficClass | None = None  # accepted under this, where not `class_index` of the settings
    recovered: bool = False  # it was accepted before the sender was restarted
    max_attempts: int = 0  # the same for its attempts; 0: as the settings say


@dataclass(slots=True)
class AttemptCompleted:
    """An attempt has its outcome; `done` says whether the message has ended."""

    request: int
    attempt: int
    endpoint: EndpointId
    outcome: Outcome
    elapsed_ns: int
    done: bool
    retry_after_ns: int = 0  # with OVERLOADED: the told wait, 0 where none is told
    limit_remaining: float = 0.0  # share of the limit that is left just now
    limit_per_s: float = 0.0  # the limit in calls a second; 0: none is known
    opened: bool = False  # its connection was opened for it, as far as the caller knows
    unsent: bool = False  # with NOT_SENT: no byte of it was written, as what barred it came behind the choice


@dataclass(slots=True)
class HealthCheckCompleted:
    """A probe has its result."""

    endpoint: EndpointId
    outcome: Outcome
    elapsed_ns: int
    retry_after_ns: int = 0  # with OVERLOADED: the told wait, 0 where none is told


@dataclass(slots=True)
class ClientCancelled:
    """The client withdrew the message, or its time is over: nothing is owed for it any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that the sender had set has come due."""

    tag: int


@dataclass(slots=True)
class SettingsChanged:
    """Other settings count from now on; what is held keeps the rules that it came under."""

    settings: Settings


Event = (
    EndpointsChanged
    | MessageAccepted
    | AttemptCompleted
    | HealthCheckCompleted
    | ClientCancelled
    | TimerFired
    | SettingsChanged
)
