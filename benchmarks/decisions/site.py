"""Streams of a site of its own: one policy, its clients and its endpoints, all by chance.

The site feeds the policy random yet plausible outcomes of every kind. Faults strike one destination after the
other. The same scenario gives the same stream: the order of the random draws is part of what is recorded.
"""

import random
from dataclasses import replace
from heapq import heappop, heappush

from decisions.recorder import Recorder
from decisions.simulated_calls import CallResult, SimulatedCalls
from decisions.site_scenarios import SiteScenario
from pinspread.policy.actions import CheckHealth, Fail, Reject, Send, SetTimer, Subscribe
from pinspread.policy.events import (
    AttemptCompleted,
    ClientCancelled,
    EndpointEntry,
    EndpointsChanged,
    EndpointState,
    HealthCheckCompleted,
    MessageAccepted,
    Outcome,
    SettingsChanged,
    TimerFired,
    UpdateScope,
)

MS, SECOND = 1_000_000, 1_000_000_000
HEALTH_CHECK_TIMEOUT_NS = 1500 * MS
MIN_READY_ENDPOINTS = 6


class Site:
    """Plays one scenario."""

    def __init__(self, scenario: SiteScenario) -> None:
        self.scenario = scenario
        self.settings = scenario.settings
        self.chance = random.Random(scenario.seed)
        name, seed = f"site-{scenario.name}", scenario.seed + 1000
        self.recorder = Recorder(name, scenario.settings, seed, scenario.turns)
        self.now = 1_000 * SECOND
        self.planned = 0
        self.heap: list[tuple[int, int, object]] = []
        self.serial = 0
        self.live: dict[int, MessageAccepted] = {}
        self.attempts: dict[int, int] = {}  # by request
        self.calls = SimulatedCalls(scenario, self.chance)
        self.entries: dict[object, EndpointEntry] = {}
        kinds = scenario.kinds
        for n in range(1, 13):
            destination = 1 + (n - 1) // 2 if n < 11 else 1
            self.add_endpoint(n, destination, kinds[(destination - 1) % len(kinds)])
        self.last_id = 12
        self.plan()

    def endpoint_id(self, n: int) -> str | int:
        """The id of endpoint `n`."""
        return f"10.0.0.{n}:80" if self.scenario.named else n

    def add_endpoint(self, n: int, destination: int, kind: int) -> EndpointEntry:
        """Put a new endpoint, ready, into the list."""
        weight = round(self.chance.uniform(3, 30), 2)
        entry = EndpointEntry(self.endpoint_id(n), destination, n % 2, kind, EndpointState.READY, weight)
        self.entries[entry.endpoint] = entry
        return entry

    def at(self, when: float, event: object) -> None:
        """Plan an event, or a function that gives events, for a time in ns."""
        self.planned += 1
        heappush(self.heap, (int(when), self.planned, event))

    def after(self, seconds: float, event: object) -> None:
        """Plan an event, or a function that gives events, for so many seconds from now."""
        self.at(self.now + int(seconds * SECOND), event)

    def plan(self) -> None:
        """Plan what starts by itself: the first list, recovered messages, traffic, faults, changes."""
        scenario = self.scenario
        self.at(self.now, EndpointsChanged(UpdateScope.CACHED, list(self.entries.values())))
        for _ in range(scenario.recovered):
            self.at(self.now, self.recovered_message())
        self.after(0.01, self.arrive)
        self.after(scenario.calm_s, self.start_fault)
        self.after(scenario.list_s, self.change_list)
        self.after(5.0, self.cancel)
        for seconds, settings in scenario.changes:
            self.after(seconds, SettingsChanged(settings))

    def recovered_message(self) -> MessageAccepted:
        """A message of before a restart."""
        chance = self.chance
        message = self.message()
        message.recovered = chance.random() < 0.8
        message.attempts = chance.choice((0, 0, 1, 2, 6))
        message.max_attempts = chance.choice((0, 3, 9))
        if message.attempts and chance.random() < 0.6:
            message.may_have_run_ns = self.now - int(chance.uniform(0.1, 8) * SECOND)
            message.may_have_run_zone = chance.randrange(2)
        if chance.random() < 0.3:
            message.traffic_class = replace(
                self.settings.classes[message.class_index],
                latency_objective_ns=SECOND,
                priority_weight=3.0,
                deduplication_window_ns=4 * SECOND,
            )
        self.attempts[message.request] = message.attempts
        return message

    def message(self) -> MessageAccepted:
        """A new message of any class, for any destination; one of them may not exist."""
        chance = self.chance
        self.serial += 1
        classes = self.settings.classes
        class_index = chance.randrange(len(classes))
        destination = min(7, int(chance.paretovariate(self.scenario.skew)))
        in_order = classes[class_index].in_order
        key = chance.randrange(1, self.scenario.keys) if in_order and chance.random() < 0.9 else 0
        key = destination * 1000 + key if key else 0
        time_left = chance.choice((1.0, 1.0, 0.5, 0.1))
        deadline_ns = self.now + int(classes[class_index].deadline_ns * time_left)
        tenant = chance.randrange(3)
        message = MessageAccepted(self.serial, class_index, destination, deadline_ns, key, tenant)
        self.live[self.serial] = message
        return message

    # --- what happens by itself: each gives the events of this moment and plans the next one ---------

    def arrive(self) -> list[MessageAccepted]:
        """Clients submit a message, or now and then a burst."""
        burst = self.chance.choice((1, 1, 1, 1, 1, 1, 6))
        self.after(self.chance.expovariate(self.scenario.rate / 1.7), self.arrive)
        return [self.message() for _ in range(burst)]

    def start_fault(self) -> list[object]:
        """A fault begins at a destination, and ends after a while."""
        scenario = self.scenario
        destination = min(6, int(self.chance.paretovariate(0.7)))
        self.calls.faults[destination] = self.chance.choice(scenario.faults)
        length_s = self.chance.uniform(0.1, 1.0) * scenario.fault_s
        self.after(length_s, lambda: self.calls.faults.pop(destination, None) and [])
        pause_s = length_s * 0.7 + self.chance.uniform(0.2, 1) * scenario.calm_s
        self.after(pause_s, self.start_fault)
        return []

    def cancel(self) -> list[ClientCancelled]:
        """A client cancels a message, or one that is over already."""
        self.after(self.chance.uniform(0.1, 1.0), self.cancel)
        if not self.live:
            return [ClientCancelled(self.serial)]
        request = self.chance.choice(list(self.live))
        del self.live[request]
        return [ClientCancelled(request)]

    def change_list(self) -> list[EndpointsChanged]:
        """Endpoints drain, come back, are replaced, or have just been started again."""
        chance = self.chance
        self.after(chance.uniform(0.2, 2) * self.scenario.list_s, self.change_list)
        entry = self.entries[chance.choice(list(self.entries))]
        change = chance.choice(("drain", "ready", "replace", "cold", "again", "weight", "unknown"))
        changes = {
            "drain": self.drain,
            "ready": self.all_ready,
            "replace": self.replace_endpoint,
            "cold": lambda entry: [replace(entry, cold=True)],
            "again": lambda entry: [],
            "weight": lambda entry: [replace(entry, weight=round(entry.weight * chance.uniform(0.5, 2), 2))],
            "unknown": self.remove_unknown,
        }
        changed = changes[change](entry)
        for one in changed:
            if one.endpoint in self.entries:
                self.entries[one.endpoint] = replace(one, cold=False)
        if change == "again":
            scope = chance.choice((UpdateScope.FULL, UpdateScope.CACHED))
            return [EndpointsChanged(scope, list(self.entries.values()))]
        if self.settings.polled_discovery or not changed:
            return []  # the next poll brings it
        return [EndpointsChanged(UpdateScope.DELTA, changed)]

    def drain(self, entry: EndpointEntry) -> list[EndpointEntry]:
        """The endpoint drains, unless too few others are ready."""
        ready = sum(one.state is EndpointState.READY for one in self.entries.values())
        return [replace(entry, state=EndpointState.DRAINING)] if ready > MIN_READY_ENDPOINTS else []

    def all_ready(self, _: EndpointEntry) -> list[EndpointEntry]:
        """All endpoints are ready."""
        return [replace(one, state=EndpointState.READY) for one in self.entries.values()]

    def replace_endpoint(self, entry: EndpointEntry) -> list[EndpointEntry]:
        """The endpoint goes and another one comes, in either order."""
        self.last_id += 1
        changed = [self.add_endpoint(self.last_id, entry.destination, entry.kind)]
        del self.entries[entry.endpoint]
        changed.append(replace(entry, state=EndpointState.REMOVED))
        if self.chance.random() < 0.5:
            changed.reverse()
        return changed

    def remove_unknown(self, entry: EndpointEntry) -> list[EndpointEntry]:
        """An endpoint that was never listed goes."""
        unknown = self.endpoint_id(900 + self.chance.randrange(9))
        return [replace(entry, endpoint=unknown, state=EndpointState.REMOVED)]

    # --- the policy's turns ---------------------------------------------------------------------------

    def play(self) -> Recorder:
        """Play until the turns are full; the recorder."""
        while self.recorder.turns < self.scenario.turns:
            self.now = max(self.now, self.heap[0][0])
            slack_ns = self.chance.choice((0, 0, 0, MS, 5 * MS))
            events = self.due_events(slack_ns)
            if events:
                self.carry_out(self.recorder.handle(self.now, events))
        return self.recorder

    def due_events(self, slack_ns: int) -> list[object]:
        """The events that are due, each at most so long after the one before; time moves to the last of them."""
        events: list[object] = []
        while self.heap and self.heap[0][0] <= self.now + slack_ns:
            when, _, event = heappop(self.heap)
            self.now = max(self.now, when)
            found = event() if callable(event) else [event]
            events += found or []
        return events

    def carry_out(self, actions: list[object]) -> None:
        """Carry the policy's actions out; what is sent to one endpoint shares a call."""
        bundles: dict[object, list[Send]] = {}
        for action in actions:
            match action:
                case SetTimer():
                    late_ns = self.chance.choice((0, 0, MS // 2))
                    self.at(self.now + action.delay_ns + late_ns, TimerFired(action.tag))
                case Send():
                    bundles.setdefault(action.endpoint, []).append(action)
                case Reject() | Fail():
                    self.live.pop(action.request, None)
                case CheckHealth():
                    self.check_health(action.endpoint)
                case Subscribe():
                    self.answer_poll()
        for endpoint, sends in bundles.items():
            self.send(endpoint, sends)

    def answer_poll(self) -> None:
        """Discovery answers in a while, with the list or without."""
        scope = self.chance.choice((UpdateScope.FAILED, UpdateScope.DELTA, UpdateScope.FULL))
        entries = [] if scope is UpdateScope.FAILED else list(self.entries.values())
        self.after(self.chance.uniform(0.01, 0.2), EndpointsChanged(scope, entries))

    def send(self, endpoint: object, sends: list[Send]) -> None:
        """Make one call for these messages; each has its outcome when the call ends."""
        result = self.call(endpoint, min(send.timeout_ns for send in sends))
        retry_after_ns = result.retry_after_ns
        for send in sends:
            attempt = self.attempts.get(send.request, 0)
            self.attempts[send.request] = attempt + 1
            own = result._replace(retry_after_ns=retry_after_ns)
            self.at(
                self.now + result.elapsed_ns,
                lambda send=send, attempt=attempt, own=own: [self.completed(send, attempt, own)],
            )
            if retry_after_ns and self.chance.random() < 0.5:
                retry_after_ns += 300 * MS

    def call(self, endpoint: object, timeout_ns: int) -> CallResult:
        """How a call to this endpoint ends."""
        entry = self.entries.get(endpoint)
        return self.calls.call(entry.destination if entry else 0, self.now, timeout_ns)

    def completed(self, send: Send, attempt: int, result: CallResult) -> AttemptCompleted:
        """The event of an attempt's end."""
        done = self.is_done(send.request, result.outcome)
        return AttemptCompleted(
            send.request, attempt, send.endpoint, result.outcome, result.elapsed_ns, done, *result[2:]
        )

    def is_done(self, request: int, outcome: Outcome) -> bool:
        """Whether a message has ended with this outcome; it counts as ended from then on."""
        if outcome is Outcome.OK:
            self.live.pop(request, None)
        return request not in self.live

    def check_health(self, endpoint: object) -> None:
        """Make one health check."""
        chance = self.chance
        outcome, elapsed_ns, retry_after_ns, *_ = self.call(endpoint, HEALTH_CHECK_TIMEOUT_NS)
        if outcome is Outcome.ERROR and chance.random() < self.scenario.healthy_check_share:
            outcome = Outcome.OK  # answered where calls fail
        elif outcome is Outcome.ERROR and chance.random() < 0.5:
            outcome, retry_after_ns = Outcome.OVERLOADED, chance.choice((0, 700 * MS, 3 * SECOND))
        elif chance.random() < 0.06:
            outcome, elapsed_ns, retry_after_ns = Outcome.NOT_SENT, MS, 0
        event = HealthCheckCompleted(endpoint, outcome, elapsed_ns, retry_after_ns)
        self.after(elapsed_ns / SECOND, event)
