"""Events that the delivery policy takes. Times are integer nanoseconds of the caller's clock.

A request id is any integer, an endpoint id any hashable value of the caller; both come back unchanged.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum

from pinspread.policy.settings import Settings, TrafficClass

EndpointId = Hashable


class Outcome(IntEnum):
    """How an attempt or a health check ended."""

    OK = 0
    NOT_SENT = 249
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMEOUT = 253
    OVERLOADED = 254
    ERROR = 255


class EndpointState(IntEnum):
    """State of an endpoint in the list of endpoints; it says nothing about the endpoint's health."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class UpdateScope(IntEnum):
    """How much of the list of endpoints an event carries."""

    DELTA = 0
    FULL = 1
    CACHED = 2  # the whole list, possibly out of date
    FAILED = 3  # no entries: the list stays as it was


@dataclass(slots=True)
class EndpointEntry:
    """One endpoint as the list of endpoints shows it."""

    endpoint: EndpointId
    destination: int
    zone: int = 0
    kind: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    cold: bool = False  # it has just been restarted


@dataclass(slots=True)
class EndpointsChanged:
    """An update of the list of endpoints."""

    scope: UpdateScope
    entries: list[EndpointEntry]


@dataclass(slots=True)
class MessageAccepted:
    """A message was accepted; it must get exactly one final result."""

    request: int
    class_index: int
    destination: int
    deadline_ns: int  # a time of the clock
    key: int = 0  # 0: none
    tenant: int = 0
    attempts: int = 0  # number made before the sender was restarted
    may_have_run_ns: int = 0  # send time of the first of these that may have run; 0: none
    may_have_run_zone: int = 0  # zone that it was sent to
    traffic_class: TrafficClass | None = None  # accepted under this; None: `class_index` of the settings
    recovered: bool = False  # it was accepted before the sender was restarted
    max_attempts: int = 0  # allowed when it was accepted; 0: as the settings say


@dataclass(slots=True)
class AttemptCompleted:
    """An attempt has its outcome; `done` says whether the message has ended."""

    request: int
    attempt: int
    endpoint: EndpointId
    outcome: Outcome
    elapsed_ns: int
    done: bool
    retry_after_ns: int = 0  # with OVERLOADED: its Retry-After; 0: it has none
    limit_remaining: float = 0.0  # fraction of the limit that is left
    limit_per_s: float = 0.0  # the limit in calls a second; 0: none is known
    opened: bool = False  # a connection was opened for it, as far as the caller knows
    unsent: bool = False  # with NOT_SENT: blocked between the decision and the write; no byte was written


@dataclass(slots=True)
class HealthCheckCompleted:
    """A health check has its result."""

    endpoint: EndpointId
    outcome: Outcome
    elapsed_ns: int
    retry_after_ns: int = 0  # with OVERLOADED: its Retry-After; 0: it has none


@dataclass(slots=True)
class ClientCancelled:
    """The client cancelled the message, or its deadline has passed: it gets no final result any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that the sender set has expired."""

    tag: int


@dataclass(slots=True)
class SettingsChanged:
    """Other settings apply from now on; messages keep the rules that they were accepted under."""

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
