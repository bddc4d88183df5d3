"""Many delivery policies against one destination in virtual time, whose rate limit they have to share.

Simpler than a `Simulation`, whose rate limits are fixed windows: here a rejected call uses up the limit of
any one-second span that contains it, as at destinations whose limit stays exhausted by rejected calls.
"""

import random
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from pinspread.policy.actions import Action, Send, SetTimer
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import (
    AttemptCompleted,
    EndpointEntry,
    EndpointsChanged,
    Event,
    MessageAccepted,
    Outcome,
    TimerFired,
    UpdateScope,
)
from pinspread.policy.settings import DestinationKind, Settings, TrafficClass
from pinspread.simulation.engine import MS, SECOND

OK, OVERLOADED = Outcome.OK, Outcome.OVERLOADED
ENDPOINT = "a"
DESTINATION = 1
DEADLINE_S = 12
CALL_NS = 50 * MS

# Gives the calls per second that a destination admits, by the second of the run.
Limit = Callable[[float], float]


def settings(senders: int) -> Settings:
    """Return the settings of each of several senders: one idempotent class, and an exact listed rate."""
    return Settings(
        classes=[TrafficClass(4 * SECOND, 20 * SECOND, late_value_share=0.3)],
        kinds=[DestinationKind()],
        max_concurrent_calls=5,
        max_held_messages=100,
        max_attempts=6,
        senders=senders,
        weights_known=True,
        weights_exact=True,
        retry_after_allowed=True,
        max_retry_after_ns=2 * SECOND,
        keepalive_ns=15 * SECOND,
        slow_start_fraction=0.2,
        slow_start_ns=9 * SECOND,
        overload_multiple=2.0,
    )


class LimitedDestination:
    """Admits a limited number of calls in any second; rejected calls count too, and carry no Retry-After.

    Attributes:
        outcomes: Time in nanoseconds and outcome of each call.
    """

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.outcomes: list[tuple[int, Outcome]] = []
        self._last_second: deque[int] = deque()

    def call(self, now_ns: int) -> Outcome:
        """Handle a call and return its outcome."""
        while self._last_second and self._last_second[0] <= now_ns - SECOND:
            self._last_second.popleft()
        outcome = OVERLOADED if len(self._last_second) >= self.limit(now_ns / SECOND) else OK
        self._last_second.append(now_ns)
        self.outcomes.append((now_ns, outcome))
        return outcome

    def between(self, start_s: float, end_s: float, outcome: Outcome) -> int:
        """Return how many calls of a time span had an outcome."""
        return sum(
            recorded_outcome is outcome and start_s * SECOND <= at_ns < end_s * SECOND
            for at_ns, recorded_outcome in self.outcomes
        )


class LoadRun:
    """A run of several senders against one destination.

    Attributes:
        delivered: How many messages each sender delivered.
    """

    def __init__(self, senders: int, limit: Limit, seed: int) -> None:
        self.destination = LimitedDestination(limit)
        self.delivered = [0] * senders
        shared_settings = settings(senders)
        self._policies = [DeliveryPolicy(shared_settings, seed=seed * 1000 + n) for n in range(senders)]
        self._heap: list[tuple[int, int, int, Event]] = []
        self._serials = count()
        self._requests = count(1)
        self._attempts: dict[int, int] = {}

    def schedule(self, when_ns: float, sender: int, event: Event) -> None:
        """Schedule an event for a sender."""
        heappush(self._heap, (int(when_ns), next(self._serials), sender, event))

    def schedule_messages(self, sender: int, rate_per_s: float, length_s: float, rng: random.Random) -> None:
        """Schedule messages for a sender at random times, with a mean rate."""
        entry = EndpointEntry(ENDPOINT, DESTINATION, weight=self.destination.limit(0))
        self.schedule(0, sender, EndpointsChanged(UpdateScope.CACHED, [entry]))
        at_s = rng.expovariate(rate_per_s)
        while at_s < length_s:
            deadline_ns = int((at_s + DEADLINE_S) * SECOND)
            message = MessageAccepted(next(self._requests), 0, DESTINATION, deadline_ns)
            self.schedule(at_s * SECOND, sender, message)
            at_s += rng.expovariate(rate_per_s)

    def run(self, until_ns: float) -> None:
        """Pass all events before a time to the senders."""
        while self._heap and self._heap[0][0] < until_ns:
            now_ns, _, sender, event = heappop(self._heap)
            for action in self._policies[sender].handle(now_ns, [event]):
                self._perform(now_ns, sender, action)

    def _perform(self, now_ns: int, sender: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(now_ns + action.delay_ns, sender, TimerFired(action.tag))
        elif isinstance(action, Send):
            request = action.request
            attempt = self._attempts[request] = self._attempts.get(request, -1) + 1
            outcome = self.destination.call(now_ns)
            self.delivered[sender] += outcome is OK
            done = outcome is OK
            completed = AttemptCompleted(request, attempt, ENDPOINT, outcome, CALL_NS, done)
            self.schedule(now_ns + CALL_NS, sender, completed)


def run_traffic(
    limit: Limit, rates_per_s: list[float], length_s: float, seed: int = 1
) -> tuple[LimitedDestination, list[int]]:
    """Run Poisson traffic with one rate for each sender.

    Returns:
        The destination, and how many messages each sender delivered.
    """
    rng = random.Random(seed)
    run = LoadRun(len(rates_per_s), limit, seed)
    for sender, rate_per_s in enumerate(rates_per_s):
        run.schedule_messages(sender, rate_per_s, length_s, rng)
    run.run((length_s + DEADLINE_S) * SECOND)
    return run.destination, run.delivered


def lowered_limit(
    senders: int, limit: float = 40.0, load: float = 0.8, to: float = 0.4, seed: int = 1
) -> LimitedDestination:
    """Return the destination of a 30 s run, whose limit is `to` times as high from 10 s to 19 s."""
    rates_per_s = [load * limit / senders] * senders
    return run_traffic(lambda at_s: to * limit if 10 <= at_s < 19 else limit, rates_per_s, 30, seed)[0]


def burst(senders: int, limit: float = 40.0, load: float = 0.7, seed: int = 2) -> list[int]:
    """Return each sender's deliveries in 10 s; the first receives messages at the rate of the whole limit."""
    rates_per_s = [limit, *[load * limit / senders] * (senders - 1)]
    return run_traffic(lambda at_s: limit, rates_per_s, 10, seed)[1]
