"""Helpers for the tests of the delivery policy: its settings, and a driver that feeds it events by hand."""

from pinspread.policy.actions import Send, SetTimer, Subscribe
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import (
    AttemptCompleted,
    EndpointEntry,
    EndpointsChanged,
    MessageAccepted,
    Outcome,
    UpdateScope,
)
from pinspread.policy.settings import DeduplicationScope, DestinationKind, Idempotency, Settings, TrafficClass
from pinspread.policy.state import MS, SECOND

OK, OVERLOADED, ERROR = Outcome.OK, Outcome.OVERLOADED, Outcome.ERROR
TIMEOUT, CONNECT_FAILED = Outcome.TIMEOUT, Outcome.CONNECT_FAILED
SAFE, KEYED, UNSAFE, ORDERED, ZONED = range(5)

# Settings in which the second deployment differs: polled discovery, several senders, costs of calls to other
# zones and of new connections, a longer slow start, a drain grace, and priorities that halve.
SECOND_SHAPE = {
    "polled_discovery": True,
    "max_poll_interval_ns": 13 * SECOND,
    "senders": 3,
    "slow_start_ns": 13 * SECOND,
    "drain_grace_ns": 500 * MS,
    "cross_zone_price": 0.05,
    "handshake_price": 0.01,
    "cancellation_allowed": True,
    "value_halves": True,
}

SHAPE = {}  # settings of the deployment under test, set by the fixture policy_shape


def settings(**changes):
    effects = Idempotency
    aim, deadline = 4 * SECOND, 20 * SECOND
    values = {
        "classes": [
            TrafficClass(aim, deadline, effects.IDEMPOTENT, late_value_share=0.3),
            TrafficClass(
                aim, deadline, effects.WITH_KEY, deduplication_window_ns=10 * SECOND, late_value_share=0.3
            ),
            TrafficClass(aim, deadline, effects.NOT_IDEMPOTENT, late_value_share=0.3),
            TrafficClass(aim, deadline, effects.IDEMPOTENT, late_value_share=0.3, in_order=True),
            TrafficClass(aim, deadline, effects.WITH_KEY, DeduplicationScope.ZONE, 10 * SECOND, 0.3),
        ],
        "kinds": [
            DestinationKind(),
            DestinationKind(max_bundle_size=3),
            DestinationKind(limits_per_endpoint=True),
        ],
        "max_concurrent_calls": 8,
        "max_held_messages": 100,
        "max_attempts": 8,
        "retry_after_allowed": True,
        "max_retry_after_ns": 2 * SECOND,
        "keepalive_ns": 10 * SECOND,
        "slow_start_fraction": 0.25,
        "slow_start_ns": 10 * SECOND,
        "overload_multiple": 2.0,
        "ordering_pause_ns": 300 * MS,
    }
    return Settings(**(values | SHAPE | changes))


class PolicyDriver:
    """Drives one sender with events and records the attempts that it makes."""

    def __init__(self, endpoints=(("a", 1),), kind=0, zones=None, **changes):
        polls = SHAPE.get("polled_discovery") and "polled_discovery" not in changes
        self.omitted_types = (SetTimer, Subscribe) if polls else (SetTimer,)  # polls have tests of their own
        self.sender = DeliveryPolicy(settings(**changes), seed=7)
        self.now = 1_000 * SECOND
        self.last_request = 0
        self.attempts = {}
        self.listed = [
            EndpointEntry(name, number, zone=(zones or {}).get(name, 0), kind=kind)
            for name, number in endpoints
        ]
        self.turn(EndpointsChanged(UpdateScope.CACHED, self.listed))

    def turn(self, *events, after=0):
        self.now += int(after)
        actions = self.sender.handle(self.now, list(events))
        for action in actions:
            if type(action) is Send:
                number = self.attempts.get(action.request, (-1,))[0] + 1
                self.attempts[action.request] = (number, action.endpoint)
        return [a for a in actions if type(a) not in self.omitted_types]

    def accept(self, count=1, cls=SAFE, destination=1, after=0, lifetime=20 * SECOND, **fields):
        self.now += int(after)
        events = []
        for _ in range(count):
            self.last_request += 1
            events.append(
                MessageAccepted(self.last_request, cls, destination, int(self.now + lifetime), **fields)
            )
        return self.turn(*events)

    def complete(self, request, outcome=OK, after=50 * MS, done=None, **fields):
        number, endpoint = self.attempts[request]
        done = outcome is OK if done is None else done
        event = AttemptCompleted(request, number, endpoint, outcome, int(after), done, **fields)
        return self.turn(event, after=after)

    def sent(self, actions):
        return [a.request for a in actions if type(a) is Send]

    @property
    def first_destination(self):
        return self.sender.discovery.destinations[1]
