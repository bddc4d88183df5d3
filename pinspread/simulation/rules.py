"""Checks a run against six rules by its decisions and outcomes; shares no state with the policy.

| rule   | meaning                                                                                      |
| ------ | -------------------------------------------------------------------------------------------- |
| final  | an accepted message gets exactly one final result, in time                                   |
| repeat | a message that may have taken effect is sent again only as its class permits; one attempt in |
|        | flight at a time; at most 6 attempts                                                         |
| drain  | nothing is sent to an endpoint 250 ms after it was listed as draining or removed, nor to an  |
|        | endpoint of another destination                                                              |
| cold   | a destination that warms up is not overloaded by instances that saw it fail                  |
| wait   | nothing is sent to a destination before the end of the Retry-After that this instance got    |
| order  | messages of an ordering key are sent one at a time, in the order of their acceptance         |
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import NamedTuple, TypedDict

from pinspread.policy.events import EndpointId, Outcome
from pinspread.policy.settings import Idempotency, TrafficClass
from pinspread.simulation.engine import MS, SECOND

RULES = ("final", "repeat", "drain", "cold", "wait", "order")
ANSWER_SLACK_NS = 300 * MS
READY_SLACK_NS = 1500 * MS
DRAIN_GRACE_NS = 250 * MS
BLAMED_SHARE = 2 / 3  # a collapse breaks a rule if informed instances sent this share of its calls
MAX_LISTED = 200  # maximum number of listed violations; all are counted
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
NO_INSTANCE = -1


class Violation(TypedDict):
    """One violation, as an item of a result's `breaks`."""

    rule: str
    at_s: float
    courier: int
    why: str


@dataclass(slots=True, eq=False)
class MessageRecord:
    """The checker's record of a message at one instance.

    Attributes:
        ordering_key: 0 for none.
        attempts: Number of attempts started.
        attempt_in_flight: Whether one of them has no outcome yet.
        may_have_run_ns: When the first attempt that may have taken effect was sent; 0 if there is none.
        ended: Whether it has its final result.
    """

    class_index: int
    destination: int
    ordering_key: int
    deadline_ns: int
    attempts: int = 0
    attempt_in_flight: bool = False
    may_have_run_ns: int = 0
    ended: bool = False


class AttemptReport(NamedTuple):
    """The outcome of an attempt as the policy receives it; `done` says whether its message has ended."""

    request: int
    destination: int
    outcome: Outcome
    sent_ns: int
    retry_after_ns: int
    done: bool


class RuleChecker:
    """Records each violation with its rule, time and reason.

    Args:
        classes: The traffic classes, in their order.
        max_attempts: Attempts that are allowed for a message.

    Attributes:
        counts: Violations of each rule.
        violations: The first `MAX_LISTED` of them.
    """

    def __init__(self, classes: Sequence[TrafficClass], max_attempts: int) -> None:
        self.classes = classes
        self.max_attempts = max_attempts
        self.counts = dict.fromkeys(RULES, 0)
        self.violations: list[Violation] = []
        # Keyed by (instance, ...): messages that are not over; messages of an ordering key, in the order
        # of their acceptance; when a destination's Retry-After ends; since when an endpoint is unusable.
        self._messages: dict[tuple[int, int], MessageRecord] = {}
        self._keys: dict[tuple[int, int], list[MessageRecord]] = {}
        self._retry_after_until_ns: dict[tuple[int, int], int] = {}
        self._unusable_since_ns: dict[tuple[int, EndpointId], int] = {}
        self._started_ns: dict[int, int] = {}  # when an instance was last started

    def record_violation(self, rule: str, now_ns: int, instance: int, why: str) -> None:
        """Record a violation."""
        self.counts[rule] += 1
        if len(self.violations) < MAX_LISTED:
            at_s = round(now_ns / SECOND, 3)
            self.violations.append({"rule": rule, "at_s": at_s, "courier": instance, "why": why})

    # --- events of the run ------------------------------------------------------------------------

    def message_accepted(self, instance: int, request: int, message: MessageRecord) -> None:
        """Note that an instance has accepted a message."""
        if not self.classes[message.class_index].in_order:
            message.ordering_key = 0
        self._messages[instance, request] = message
        if message.ordering_key:
            self._keys.setdefault((instance, message.ordering_key), []).append(message)

    def endpoint_listed(self, instance: int, now_ns: int, endpoint: EndpointId, usable: bool) -> None:
        """Note that an instance has received the listed state of an endpoint."""
        if usable:
            self._unusable_since_ns.pop((instance, endpoint), None)
        else:
            self._unusable_since_ns.setdefault((instance, endpoint), now_ns)

    def instance_started(self, instance: int, now_ns: int) -> None:
        """Note that an instance is ready again; Retry-After times and attempts ended with its process."""
        self._started_ns[instance] = now_ns
        self._retry_after_until_ns = {
            key: until_ns for key, until_ns in self._retry_after_until_ns.items() if key[0] != instance
        }
        for (owner, _), message in self._messages.items():
            if owner == instance:
                message.attempt_in_flight = False

    def attempt_started(
        self, instance: int, now_ns: int, request: int, endpoint: EndpointId, destination: int
    ) -> None:
        """Check a message that the policy sends to an endpoint of `destination`."""
        message = self._messages.get((instance, request))
        if message is None:
            self.record_violation("final", now_ns, instance, f"sends message {request}, which has ended")
            return
        problems = [
            *self._repeat_problems(message, now_ns, request),
            *self._drain_problems(message, now_ns, request, (instance, endpoint), destination),
        ]
        if self._must_wait(instance, message.destination, now_ns):
            problems.append(("wait", f"to partner {message.destination} while its wait runs"))
        if self._overtakes(instance, message):
            problems.append(("order", f"message {request} ahead of an earlier one of its key"))
        for rule, why in problems:
            self.record_violation(rule, now_ns, instance, why)
        message.attempts += 1
        message.attempt_in_flight = True

    def attempt_interrupted(self, instance: int, request: int, sent_ns: int) -> None:
        """Note that a process ended with a written attempt in flight, which may have taken effect."""
        message = self._messages[instance, request]
        message.may_have_run_ns = message.may_have_run_ns or sent_ns

    def attempt_completed(self, instance: int, now_ns: int, report: AttemptReport) -> None:
        """Note the outcome of an attempt as the policy receives it."""
        if report.retry_after_ns:
            key = (instance, report.destination)
            until_ns = now_ns + report.retry_after_ns
            self._retry_after_until_ns[key] = max(self._retry_after_until_ns.get(key, 0), until_ns)
        message = self._messages.get((instance, report.request))
        if message is None:
            return
        message.attempt_in_flight = False
        if report.outcome not in NEVER_RAN and not message.may_have_run_ns:
            message.may_have_run_ns = report.sent_ns
        if report.done or message.ended:
            self._forget(instance, report.request, message)

    def health_check_started(self, instance: int, now_ns: int, destination: int) -> None:
        """Check a health check that the policy sends to an endpoint of a destination."""
        if self._must_wait(instance, destination, now_ns):
            why = f"a probe to partner {destination} while its wait runs"
            self.record_violation("wait", now_ns, instance, why)

    def message_ended(self, instance: int, now_ns: int, request: int, rejected: bool) -> None:
        """Check a final result of the policy: rejected or failed."""
        message = self._messages.get((instance, request))
        if message is None or message.ended:
            why = f"a second final answer for message {request}"
            self.record_violation("final", now_ns, instance, why)
            return
        if rejected and message.may_have_run_ns and self._effect(message) is Idempotency.NOT_IDEMPOTENT:
            why = f"message {request} refused though it may have run"
            self.record_violation("repeat", now_ns, instance, why)
        message.ended = True
        self._check_lateness(instance, now_ns, request, message)
        if not message.attempt_in_flight:
            self._forget(instance, request, message)

    def message_delivered(self, instance: int, now_ns: int, request: int) -> None:
        """Note the delivery of a message, which is its final result if it has none yet."""
        message = self._messages.get((instance, request))
        if message is not None and not message.ended:
            message.ended = True
            self._check_lateness(instance, now_ns, request, message)

    def destination_collapsed(self, destination: int, now_ns: int, informed: int, total: int) -> None:
        """Check an overload during warm-up; `informed` of the `total` calls are to blame."""
        if informed >= BLAMED_SHARE * total:
            why = f"partner {destination} fell over: {informed} of {total} calls from couriers that knew"
            self.record_violation("cold", now_ns, NO_INSTANCE, why)

    def run_ended(self, now_ns: int, running: Collection[int]) -> None:
        """Check the end of the run: messages overdue at the `running` instances were lost."""
        for (instance, request), message in sorted(self._messages.items(), key=lambda item: item[0]):
            if message.ended or instance not in running:
                continue
            due_ns = max(message.deadline_ns, self._started_ns.get(instance, 0)) + READY_SLACK_NS
            if now_ns > due_ns:
                why = f"message {request} never had a final answer"
                self.record_violation("final", message.deadline_ns, instance, why)

    # --- checks -----------------------------------------------------------------------------------

    def _effect(self, message: MessageRecord) -> Idempotency:
        return self.classes[message.class_index].effect

    def _must_wait(self, instance: int, destination: int, now_ns: int) -> bool:
        return self._retry_after_until_ns.get((instance, destination), 0) > now_ns

    def _repeat_problems(self, message: MessageRecord, now_ns: int, request: int) -> list[tuple[str, str]]:
        problems = []
        if message.attempt_in_flight:
            problems.append(f"a second live attempt for message {request}")
        if message.attempts >= self.max_attempts:
            problems.append(f"attempt {message.attempts + 1} for message {request}")
        if message.may_have_run_ns:
            effect = self._effect(message)
            window_ns = self.classes[message.class_index].deduplication_window_ns
            if effect is Idempotency.NOT_IDEMPOTENT:
                problems.append(f"message {request} may have run, and must not twice")
            elif effect is Idempotency.WITH_KEY and now_ns >= message.may_have_run_ns + window_ns:
                problems.append(f"message {request} again after its window")
        return [("repeat", why) for why in problems]

    def _drain_problems(
        self,
        message: MessageRecord,
        now_ns: int,
        request: int,
        target: tuple[int, EndpointId],
        destination: int,
    ) -> list[tuple[str, str]]:
        """Return the problems of sending a message; `target` is the sending instance and the endpoint."""
        problems = []
        if destination != message.destination:
            problems.append(f"message {request} to an endpoint of partner {destination}")
        since_ns = self._unusable_since_ns.get(target)
        if since_ns is not None and now_ns > since_ns + DRAIN_GRACE_NS:
            late_ms = (now_ns - since_ns) // MS
            problems.append(f"to endpoint {target[1]}, {late_ms} ms after its drain or removal was reported")
        return [("drain", why) for why in problems]

    def _overtakes(self, instance: int, message: MessageRecord) -> bool:
        """Return whether an earlier message of the same key has not ended."""
        if not message.ordering_key:
            return False
        for other in self._keys[instance, message.ordering_key]:
            if other is message:
                return False
            if other.attempt_in_flight or not other.ended:
                return True
        return False

    def _check_lateness(self, instance: int, now_ns: int, request: int, message: MessageRecord) -> None:
        due_ns = message.deadline_ns + ANSWER_SLACK_NS
        started_ns = self._started_ns.get(instance)
        if started_ns is not None:
            due_ns = max(due_ns, started_ns + READY_SLACK_NS)
        if now_ns > due_ns:
            late_ms = (now_ns - message.deadline_ns) // MS
            why = f"message {request} answered {late_ms} ms after its time"
            self.record_violation("final", now_ns, instance, why)

    def _forget(self, instance: int, request: int, message: MessageRecord) -> None:
        message.ended = True
        self._messages.pop((instance, request), None)
        if not message.ordering_key:
            return
        same_key = self._keys[instance, message.ordering_key]
        same_key.remove(message)
        if not same_key:
            del self._keys[instance, message.ordering_key]
