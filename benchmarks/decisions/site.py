"""Streams of a simulated site: one policy with random clients and endpoints.

The site feeds the policy random but plausible outcomes of every kind, and injects one fault after the
other into random destinations. The same scenario gives the same stream, so the order of the random draws must not change.
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
    """Simulates one scenario and records its policy."""

    def __init__(self, scenario: SiteScenario) -> None:
        self.scenario = scenario
        self.settings = scenario.settings
        self.rng = random.Random(scenario.seed)
        name, seed = f"site-{scenario.name}", scenario.seed + 1000
        self.recorder = Recorder(name, scenario.settings, seed, scenario.turns)
        self.now = 1_000 * SECOND
        self.scheduled = 0
        self.heap: list[tuple[int, int, object]] = []
        self.last_request = 0
        self.open_messages: dict[int, MessageAccepted] = {}
        self.attempts: dict[int, int] = {}  # number of attempts by request
        self.calls = SimulatedCalls(scenario, self.rng)
        self.entries: dict[object, EndpointEntry] = {}
        kinds = scenario.kinds
        for n in range(1, 13):
            destination = 1 + (n - 1) // 2 if n < 11 else 1
            self.add_endpoint(n, destination, kinds[(destination - 1) % len(kinds)])
        self.last_endpoint = 12
        self.schedule_initial_events()

    def endpoint_id(self, n: int) -> str | int:
        """Return the id of endpoint `n`."""
        return f"10.0.0.{n}:80" if self.scenario.named else n

    def add_endpoint(self, n: int, destination: int, kind: int) -> EndpointEntry:
        """Add a ready endpoint to the list, and return its entry."""
        weight = round(self.rng.uniform(3, 30), 2)
        entry = EndpointEntry(self.endpoint_id(n), destination, n % 2, kind, EndpointState.READY, weight)
        self.entries[entry.endpoint] = entry
        return entry

    def at(self, when: float, event: object) -> None:
        """Schedule an event, or a function that returns events, at a time in ns."""
        self.scheduled += 1
        heappush(self.heap, (int(when), self.scheduled, event))

    def after(self, seconds: float, event: object) -> None:
        """Schedule an event, or a function that returns events, after a delay in seconds."""
        self.at(self.now + int(seconds * SECOND), event)

    def schedule_initial_events(self) -> None:
        """Schedule the first endpoint list, recovered messages, traffic, faults and changes of the settings."""
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
        """Return a message that was accepted before a restart."""
        rng = self.rng
        message = self.message()
        message.recovered = rng.random() < 0.8
        message.attempts = rng.choice((0, 0, 1, 2, 6))
        message.max_attempts = rng.choice((0, 3, 9))
        if message.attempts and rng.random() < 0.6:
            message.may_have_run_ns = self.now - int(rng.uniform(0.1, 8) * SECOND)
            message.may_have_run_zone = rng.randrange(2)
        if rng.random() < 0.3:
            message.traffic_class = replace(
                self.settings.classes[message.class_index],
                latency_objective_ns=SECOND,
                priority_weight=3.0,
                deduplication_window_ns=4 * SECOND,
            )
        self.attempts[message.request] = message.attempts
        return message

    def message(self) -> MessageAccepted:
        """Return a new message of a random class to a random destination, which may have no endpoints."""
        rng = self.rng
        self.last_request += 1
        classes = self.settings.classes
        class_index = rng.randrange(len(classes))
        destination = min(7, int(rng.paretovariate(self.scenario.skew)))
        in_order = classes[class_index].in_order
        key = rng.randrange(1, self.scenario.keys) if in_order and rng.random() < 0.9 else 0
        key = destination * 1000 + key if key else 0
        time_left = rng.choice((1.0, 1.0, 0.5, 0.1))
        deadline_ns = self.now + int(classes[class_index].deadline_ns * time_left)
        tenant = rng.randrange(3)
        message = MessageAccepted(self.last_request, class_index, destination, deadline_ns, key, tenant)
        self.open_messages[self.last_request] = message
        return message

    # --- recurring events: each function returns the events of now, and schedules its next call -------

    def arrive(self) -> list[MessageAccepted]:
        """Return new messages from clients: one, or at times a burst."""
        burst = self.rng.choice((1, 1, 1, 1, 1, 1, 6))
        self.after(self.rng.expovariate(self.scenario.rate / 1.7), self.arrive)
        return [self.message() for _ in range(burst)]

    def start_fault(self) -> list[object]:
        """Start a fault at a random destination, and schedule its end."""
        scenario = self.scenario
        destination = min(6, int(self.rng.paretovariate(0.7)))
        self.calls.faults[destination] = self.rng.choice(scenario.faults)
        length_s = self.rng.uniform(0.1, 1.0) * scenario.fault_s
        self.after(length_s, lambda: self.calls.faults.pop(destination, None) and [])
        pause_s = length_s * 0.7 + self.rng.uniform(0.2, 1) * scenario.calm_s
        self.after(pause_s, self.start_fault)
        return []

    def cancel(self) -> list[ClientCancelled]:
        """Cancel a random open message, or if there is none the latest one, which has ended."""
        self.after(self.rng.uniform(0.1, 1.0), self.cancel)
        if not self.open_messages:
            return [ClientCancelled(self.last_request)]
        request = self.rng.choice(list(self.open_messages))
        del self.open_messages[request]
        return [ClientCancelled(request)]

    def change_list(self) -> list[EndpointsChanged]:
        """Change the endpoint list: endpoints drain, become ready, are replaced, restart cold or change weight."""
        rng = self.rng
        self.after(rng.uniform(0.2, 2) * self.scenario.list_s, self.change_list)
        entry = self.entries[rng.choice(list(self.entries))]
        change = rng.choice(("drain", "ready", "replace", "cold", "again", "weight", "unknown"))
        changes = {
            "drain": self.drain,
            "ready": self.all_ready,
            "replace": self.replace_endpoint,
            "cold": lambda entry: [replace(entry, cold=True)],
            "again": lambda entry: [],
            "weight": lambda entry: [replace(entry, weight=round(entry.weight * rng.uniform(0.5, 2), 2))],
            "unknown": self.remove_unknown,
        }
        changed = changes[change](entry)
        for changed_entry in changed:
            if changed_entry.endpoint in self.entries:
                self.entries[changed_entry.endpoint] = replace(changed_entry, cold=False)
        if change == "again":
            scope = rng.choice((UpdateScope.FULL, UpdateScope.CACHED))
            return [EndpointsChanged(scope, list(self.entries.values()))]
        if self.settings.polled_discovery or not changed:
            return []  # the next poll returns the change
        return [EndpointsChanged(UpdateScope.DELTA, changed)]

    def drain(self, entry: EndpointEntry) -> list[EndpointEntry]:
        """Return the endpoint as draining, unless too few endpoints are ready."""
        ready = sum(other.state is EndpointState.READY for other in self.entries.values())
        return [replace(entry, state=EndpointState.DRAINING)] if ready > MIN_READY_ENDPOINTS else []

    def all_ready(self, _: EndpointEntry) -> list[EndpointEntry]:
        """Return all endpoints as ready."""
        return [replace(other, state=EndpointState.READY) for other in self.entries.values()]

    def replace_endpoint(self, entry: EndpointEntry) -> list[EndpointEntry]:
        """Return the removal of an endpoint and the addition of another, in random order."""
        self.last_endpoint += 1
        changed = [self.add_endpoint(self.last_endpoint, entry.destination, entry.kind)]
        del self.entries[entry.endpoint]
        changed.append(replace(entry, state=EndpointState.REMOVED))
        if self.rng.random() < 0.5:
            changed.reverse()
        return changed

    def remove_unknown(self, entry: EndpointEntry) -> list[EndpointEntry]:
        """Return the removal of an endpoint that was never listed."""
        unknown = self.endpoint_id(900 + self.rng.randrange(9))
        return [replace(entry, endpoint=unknown, state=EndpointState.REMOVED)]

    # --- the policy's turns ---------------------------------------------------------------------------

    def play(self) -> Recorder:
        """Run until the recorder has all turns of the scenario, and return it."""
        while self.recorder.turns < self.scenario.turns:
            self.now = max(self.now, self.heap[0][0])
            slack_ns = self.rng.choice((0, 0, 0, MS, 5 * MS))
            events = self.due_events(slack_ns)
            if events:
                self.execute(self.recorder.handle(self.now, events))
        return self.recorder

    def due_events(self, slack_ns: int) -> list[object]:
        """Return the due events, each at most the slack after the one before; advance the time to the last."""
        events: list[object] = []
        while self.heap and self.heap[0][0] <= self.now + slack_ns:
            when, _, event = heappop(self.heap)
            self.now = max(self.now, when)
            due = event() if callable(event) else [event]
            events += due or []
        return events

    def execute(self, actions: list[object]) -> None:
        """Execute the policy's actions; messages to the same endpoint share a call."""
        bundles: dict[object, list[Send]] = {}
        for action in actions:
            match action:
                case SetTimer():
                    late_ns = self.rng.choice((0, 0, MS // 2))
                    self.at(self.now + action.delay_ns + late_ns, TimerFired(action.tag))
                case Send():
                    bundles.setdefault(action.endpoint, []).append(action)
                case Reject() | Fail():
                    self.open_messages.pop(action.request, None)
                case CheckHealth():
                    self.check_health(action.endpoint)
                case Subscribe():
                    self.answer_poll()
        for endpoint, sends in bundles.items():
            self.send(endpoint, sends)

    def answer_poll(self) -> None:
        """Schedule the answer to a poll of the endpoint list, or its failure."""
        scope = self.rng.choice((UpdateScope.FAILED, UpdateScope.DELTA, UpdateScope.FULL))
        entries = [] if scope is UpdateScope.FAILED else list(self.entries.values())
        self.after(self.rng.uniform(0.01, 0.2), EndpointsChanged(scope, entries))

    def send(self, endpoint: object, sends: list[Send]) -> None:
        """Make one call with these messages; each gets its outcome when the call ends."""
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
            if retry_after_ns and self.rng.random() < 0.5:
                retry_after_ns += 300 * MS

    def call(self, endpoint: object, timeout_ns: int) -> CallResult:
        """Draw the result of a call to an endpoint."""
        entry = self.entries.get(endpoint)
        return self.calls.call(entry.destination if entry else 0, self.now, timeout_ns)

    def completed(self, send: Send, attempt: int, result: CallResult) -> AttemptCompleted:
        """Return the event of a completed attempt."""
        done = self.is_done(send.request, result.outcome)
        return AttemptCompleted(
            send.request, attempt, send.endpoint, result.outcome, result.elapsed_ns, done, *result[2:]
        )

    def is_done(self, request: int, outcome: Outcome) -> bool:
        """Return whether a message is done after this outcome; a success ends it."""
        if outcome is Outcome.OK:
            self.open_messages.pop(request, None)
        return request not in self.open_messages

    def check_health(self, endpoint: object) -> None:
        """Make a health check, and schedule its completion."""
        rng = self.rng
        outcome, elapsed_ns, retry_after_ns, *_ = self.call(endpoint, HEALTH_CHECK_TIMEOUT_NS)
        if outcome is Outcome.ERROR and rng.random() < self.scenario.healthy_check_share:
            outcome = Outcome.OK  # the check succeeds although calls fail
        elif outcome is Outcome.ERROR and rng.random() < 0.5:
            outcome, retry_after_ns = Outcome.OVERLOADED, rng.choice((0, 700 * MS, 3 * SECOND))
        elif rng.random() < 0.06:
            outcome, elapsed_ns, retry_after_ns = Outcome.NOT_SENT, MS, 0
        event = HealthCheckCompleted(endpoint, outcome, elapsed_ns, retry_after_ns)
        self.after(elapsed_ns / SECOND, event)
