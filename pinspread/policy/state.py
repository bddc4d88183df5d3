"""State of a sender: messages, calls, rate limiters, endpoints, destinations; units of time. No decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from pinspread.policy.actions import Action
from pinspread.policy.events import EndpointEntry, EndpointId, EndpointState, MessageAccepted
from pinspread.policy.settings import Settings

if TYPE_CHECKING:
    from pinspread.policy.retry_budget import RetryBudget

MS = 1_000_000  # a millisecond, in the clock's nanoseconds
SECOND = 1_000 * MS
NEVER = 1 << 62  # later than any time of the clock
MIN_KNOWN_RATE, MAX_KNOWN_RATE = 1e-3, 1e9  # calls a second: what an endpoint can mean by a limit


def known_rate(per_s: float) -> float:
    """A reported or listed rate in calls a second; 0, which means not known, if it is out of range."""
    return per_s if MIN_KNOWN_RATE <= per_s <= MAX_KNOWN_RATE else 0.0


class PolicyContext:
    """What all parts of one policy share: the turn's time and actions, settings, random numbers.

    Attributes:
        now_ns: The time of the current turn, in nanoseconds of the caller's clock.
        actions: The actions of the current turn, in order.
        fleet_factor: 1 with few senders, inversely proportional to their number above that.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        """Share these settings and this source of random numbers."""
        self.settings = settings
        self.random = random
        self.now_ns = 0
        self.actions: list[Action] = []
        self.fleet_factor = 1.0


class QueuedMessage:
    """A message that is queued or in flight."""

    __slots__ = (
        "accepted_ns",
        "attempts",
        "class_index",
        "deadline_ns",
        "destination",
        "failures",
        "in_flight",
        "key",
        "max_attempts",
        "may_have_run_ns",
        "may_have_run_zone",
        "overdue_from_ns",
        "ready_ns",
        "request",
        "tenant",
        "traffic_class",
    )

    def __init__(
        self,
        event: MessageAccepted,
        settings: Settings,
        destination: Destination,
        now_ns: int,
    ) -> None:
        """Record a message accepted at `now_ns`, under the rules of the event or else of `settings`."""
        traffic_class = event.traffic_class or settings.classes[event.class_index]
        self.request = event.request
        self.class_index = event.class_index
        self.traffic_class = traffic_class
        self.destination = destination
        self.tenant = event.tenant
        self.key = event.key if traffic_class.in_order else 0
        self.deadline_ns = event.deadline_ns
        self.accepted_ns = now_ns
        self.ready_ns = now_ns  # end of its backoff
        self.overdue_from_ns = NEVER  # if recovered at a restart: from then on only Retry-After holds it back
        self.max_attempts = event.max_attempts or settings.max_attempts
        self.attempts = event.attempts
        self.failures = event.attempts
        self.in_flight = False
        self.may_have_run_ns = 0  # send time of the earliest attempt that may have run; 0: none
        self.may_have_run_zone = 0

    def may_repeat_until_ns(self) -> int:
        """When the destination stops dropping repeats of a keyed message that may have run."""
        return self.may_have_run_ns + self.traffic_class.deduplication_window_ns


class MessageQueue:
    """The messages that wait for a call to one destination.

    Most of them wait for nothing but a call, until their deadline: the first is found without a look at each.

    Attributes:
        messages: The messages by request, in order of arrival.
        conditional: Those of them that wait for something else as well: messages with an ordering key, those
            with an attempt, and those that a restart has recovered.
    """

    __slots__ = ("_deadlines", "conditional", "messages")

    def __init__(self) -> None:
        self.messages: dict[int, QueuedMessage] = {}
        self.conditional: dict[int, QueuedMessage] = {}
        self._deadlines: list[tuple[int, int]] = []  # heap of (deadline, request), of removed messages too

    def __len__(self) -> int:
        """Return how many messages wait."""
        return len(self.messages)

    def add(self, message: QueuedMessage) -> None:
        """Append a message."""
        self.messages[message.request] = message
        recovered = message.overdue_from_ns < NEVER
        if message.key or message.attempts or message.may_have_run_ns or recovered:
            self.conditional[message.request] = message
        else:
            heappush(self._deadlines, (message.deadline_ns, message.request))

    def remove(self, request: int) -> None:
        """Remove a message, if it is there."""
        self.messages.pop(request, None)
        self.conditional.pop(request, None)

    def earliest_deadline_ns(self) -> int:
        """Return the earliest deadline of the messages that are not conditional; `NEVER` for none."""
        while self._deadlines:
            deadline_ns, request = self._deadlines[0]
            message = self.messages.get(request)
            if message and message.deadline_ns == deadline_ns and request not in self.conditional:
                return deadline_ns
            heappop(self._deadlines)
        return NEVER


class Call:
    """One call in flight: it holds one slot, carries one message or a bundle, and has one outcome."""

    __slots__ = ("endpoint", "outcome_pending", "remaining", "sent_ns")

    def __init__(self, endpoint: TrackedEndpoint, now_ns: int, messages: int) -> None:
        """Record a call with this number of messages, sent at `now_ns`."""
        self.endpoint = endpoint
        self.sent_ns = now_ns
        self.remaining = messages  # messages without an outcome yet
        self.outcome_pending = True


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt of a message that has no outcome yet."""

    message: QueuedMessage
    call: Call
    is_retry: bool


@dataclass(slots=True, eq=False)
class RateLimiter:
    """A limit that endpoints share, one per destination or one per endpoint."""

    retry_after_until_ns: int = 0  # end of the wait that the destination asked for
    backoff_until_ns: int = 0  # end of the wait that this sender chose after refusals
    refusals: int = 0  # in a row
    refusals_since_ns: int = 0
    last_refusal_ns: int = 0
    rate: float = 0.0  # calls a second; 0: no refusal has set one
    limit: float = 0.0  # calls a second for all senders together, as reported in answers; 0: not reported
    remaining: float = 1.0  # the fraction of the limit that was left at the last report
    next_call_ns: int = 0

    def available_from_ns(self) -> int:
        """When the last of its waits is over and the next call may be sent."""
        return max(self.retry_after_until_ns, self.backoff_until_ns, self.next_call_ns)


class TrackedEndpoint:
    """What is known of one endpoint: list state, outcomes, latencies, delivered rate."""

    __slots__ = (
        "answered_ns",
        "calls",
        "delivered",
        "delivered_ns",
        "destination",
        "ejected",
        "failed",
        "failure_rate",
        "first_seen_ns",
        "hard_failures",
        "health_check_out",
        "health_check_passed",
        "health_checks",
        "id",
        "kind",
        "last_outcome_ns",
        "last_success_ns",
        "latency_deviation_ns",
        "latency_mean_ns",
        "limiter",
        "next_call_ns",
        "next_health_check_ns",
        "rank",
        "removed_since_ns",
        "timeout_factor",
        "usable",
        "usual_rate",
        "warming_since_ns",
        "weight",
        "zone",
    )

    def __init__(
        self, entry: EndpointEntry, destination: Destination, limiter: RateLimiter, now_ns: int, rank: float
    ) -> None:
        """Record an endpoint that was listed for the first time at `now_ns`."""
        self.id: EndpointId = entry.endpoint
        self.destination = destination
        self.limiter = limiter
        self.calls: dict[Call, bool] = {}  # in flight, oldest first
        self.latency_mean_ns = 0.0
        self.latency_deviation_ns = 0.0
        self.timeout_factor = 1.0
        self.last_outcome_ns = now_ns
        self.first_seen_ns = now_ns
        self.last_success_ns = 0
        self.answered_ns = 0  # send time of the newest call that succeeded
        self.delivered = 0.0  # number of successes, where older ones fade exponentially
        self.delivered_ns = now_ns  # when the last of them was counted
        self.failure_rate = 0.0
        self.ejected = False
        self.hard_failures = 0  # failures since its last success, other than time-outs and resets
        self.failed = False  # whether its latest outcome was a failure
        self.health_checks = 0
        self.next_health_check_ns = 0
        self.health_check_out = False
        self.health_check_passed = False
        self.warming_since_ns = 0  # 0: it is not warming up
        self.usual_rate = 0.0  # highest rate delivered there lately, calls a second
        self.next_call_ns = 0  # used while it warms up
        self.removed_since_ns = 0  # time since which it is not listed; 0: it is listed
        self.rank = rank  # orders endpoints that are equally good, for this sender
        self.update(entry, now_ns)

    def update(self, entry: EndpointEntry, now_ns: int) -> None:
        """Apply its entry of the endpoint list."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.weight = known_rate(entry.weight)
        self.usable = entry.state is EndpointState.READY
        if entry.state is EndpointState.REMOVED:
            self.mark_removed(now_ns)
        else:
            self.removed_since_ns = 0

    def mark_removed(self, now_ns: int) -> None:
        """Mark it as not listed, since `now_ns` unless it was not listed before."""
        self.usable = False
        self.removed_since_ns = self.removed_since_ns or now_ns

    def delay_health_check(self, until_ns: int) -> None:
        """Send it no health check before that time."""
        self.next_health_check_ns = max(self.next_health_check_ns, until_ns)

    def siblings(self) -> list[TrackedEndpoint]:
        """The endpoints of its destination, itself included, that share its limiter."""
        limiter = self.limiter
        return [e for e in self.destination.endpoints.values() if e.limiter is limiter]


@dataclass(slots=True, eq=False)
class Destination:
    """A destination: its retry budget, its endpoints, its queue."""

    number: int
    retry_budget: RetryBudget
    endpoints: dict[EndpointId, TrackedEndpoint] = field(default_factory=dict)
    limiter: RateLimiter = field(default_factory=RateLimiter)
    queue: MessageQueue = field(default_factory=MessageQueue)
    calls_in_flight: int = 0
    last_call: int = 0  # the sender's count of calls made, at the last call to it
