"""Many real senders against one partner in virtual time: what each does has to fit the sum of all.

Smaller than the model's days, whose limits are fixed spans: here a refused call uses up the limit of any second
that it lies in, as seen of partners whose limits jam.
"""

import random
from collections import deque
from heapq import heappop, heappush
from itertools import count

from pinspread.policy.actions import Send, SetTimer
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import (
    AttemptCompleted,
    EndpointEntry,
    EndpointsChanged,
    MessageAccepted,
    Outcome,
    TimerFired,
    UpdateScope,
)
from pinspread.policy.settings import DestinationKind, Settings, TrafficClass
from pinspread.policy.state import MS, SECOND

OK, FULL = Outcome.OK, Outcome.OVERLOADED


def settings(senders):
    """What each of so many senders is told: one repeatable class, an exact listed rate."""
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


class Partner:
    """Takes `limit(s)` calls in any second; refused calls use that up too, and no wait is told."""

    def __init__(self, limit):
        self.limit = limit
        self.lately = deque()
        self.answers = []  # (at, verdict)

    def call(self, now):
        while self.lately and self.lately[0] <= now - SECOND:
            self.lately.popleft()
        verdict = FULL if len(self.lately) >= self.limit(now / SECOND) else OK
        self.lately.append(now)
        self.answers.append((now, verdict))
        return verdict

    def between(self, start, end, verdict):
        return sum(v is verdict and start * SECOND <= at < end * SECOND for at, v in self.answers)


def play(senders, limit, rates, span, seed=1):
    """Poisson traffic of `rates` messages a second at each sender for `span` s; (partner, delivered)."""
    chance = random.Random(seed)
    partner = Partner(limit)
    told = settings(senders)
    entry = EndpointEntry("a", 1, weight=limit(0))
    fleet = [DeliveryPolicy(told, seed=seed * 1000 + n) for n in range(senders)]
    heap, order, ids, attempts = [], count(), count(1), {}
    delivered = [0] * senders

    def at(when, n, event):
        heappush(heap, (int(when), next(order), n, event))

    for n, rate in enumerate(rates):
        at(0, n, EndpointsChanged(UpdateScope.CACHED, [entry]))
        when = chance.expovariate(rate)
        while when < span:
            at(when * SECOND, n, MessageAccepted(next(ids), 0, 1, int((when + 12) * SECOND)))
            when += chance.expovariate(rate)
    while heap and heap[0][0] < (span + 12) * SECOND:
        now, _, n, event = heappop(heap)
        for action in fleet[n].handle(now, [event]):
            if type(action) is SetTimer:
                at(now + action.delay_ns, n, TimerFired(action.tag))
            elif type(action) is Send:
                number = attempts[action.request] = attempts.get(action.request, -1) + 1
                verdict = partner.call(now)
                delivered[n] += verdict is OK
                took = 50 * MS
                ended = AttemptCompleted(action.request, number, "a", verdict, took, verdict is OK)
                at(now + took, n, ended)
    return partner, delivered


def lowered_limit(senders, limit=40.0, load=0.8, to=0.4, seed=1):
    """The partner of a 30 s day whose limit falls to a part of itself from 10 s to 19 s."""
    rates = [load * limit / senders] * senders
    return play(senders, lambda s: to * limit if 10 <= s < 19 else limit, rates, 30, seed)[0]


def burst(senders, limit=40.0, load=0.7, seed=2):
    """Deliveries of each sender of a 10 s day on which the first is handed the whole limit's worth."""
    rates = [limit, *[load * limit / senders] * (senders - 1)]
    return play(senders, lambda s: limit, rates, 10, seed)[1]
