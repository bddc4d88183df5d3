"""Dispatch: queues messages, fills free slots, retries after failures, ends messages that are out of time."""

from collections import deque
from heapq import heappop, heappush

from pinspread.policy.actions import CheckHealth, Fail, Reject, Send
from pinspread.policy.events import AttemptCompleted, MessageAccepted, Outcome
from pinspread.policy.outlier_detection import NOT_SENT_BACKOFF_STEP, SUSPECT_FROM, OutlierDetector
from pinspread.policy.retry_budget import JITTER, backoff_ns
from pinspread.policy.settings import DeduplicationScope, Idempotency
from pinspread.policy.state import NEVER, Call, Destination, PendingAttempt, QueuedMessage, TrackedEndpoint

MAY_HAVE_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.ERROR)
PAUSE_CLEANUP_THRESHOLD = 256  # number of ordering pauses above which the expired ones are dropped
RECOVERED_WAIT = 0.5  # fraction of its time left after which only Retry-After holds back a recovered message
RESERVED_QUEUE_SHARE = 0.05  # fraction of `max_held_messages` that is kept free for new messages
MIN_PRIORITY = 0.25  # fraction of its priority weight below which a refused message is ended, for newer ones


class Dispatcher:
    """Sends, retries and ends messages; owns those that have not ended, and the slots for calls."""

    def __init__(self, outliers: OutlierDetector) -> None:
        self.context, self.limits, self.outliers = outliers.context, outliers.limits, outliers
        self.messages: dict[int, QueuedMessage] = {}  # by request
        self.waiting: dict[int, Destination] = {}  # destinations with a queue, by number
        self.expiry: list[tuple[int, int]] = []  # heap of (deadline or end of deduplication, request)
        self.keys: dict[int, deque[QueuedMessage]] = {}  # by ordering key, in the order accepted
        self.ordering_pauses: dict[int, int] = {}  # by ordering key: end of its pause
        self.attempts: dict[tuple[int, int], PendingAttempt] = {}  # by request and attempt
        self.calls_in_flight = self.calls_made = 0
        self.wake_ns = NEVER  # when the next waiting message or endpoint may be ready

    def accept(self, event: MessageAccepted, destination: Destination) -> None:
        """Queue a message for its destination, behind earlier ones with the same ordering key."""
        now_ns = self.context.now_ns
        message = QueuedMessage(event, self.context.settings, destination, now_ns)
        if event.recovered:
            message.overdue_from_ns = now_ns + int(RECOVERED_WAIT * (message.deadline_ns - now_ns))
        self.messages[message.request] = message
        heappush(self.expiry, (message.deadline_ns, message.request))
        if message.key:
            self.keys.setdefault(message.key, deque()).append(message)
        if event.may_have_run_ns:  # in an attempt before a restart: a repeat could run it twice
            self._mark_may_have_run(message, event.may_have_run_ns, event.may_have_run_zone)
        self._enqueue(message)
        if event.attempts and not self.may_repeat(message, now_ns):
            self.reject_or_fail(message)

    def _enqueue(self, message: QueuedMessage) -> None:
        message.destination.queue.add(message)
        self.waiting[message.destination.number] = message.destination

    def end(self, message: QueuedMessage) -> None:
        """Forget an ended message.

        Messages with one ordering key go one at a time, in order: the next one with its key may go once no
        attempt of this one is in flight.
        """
        self.messages.pop(message.request, None)
        message.destination.queue.remove(message.request)
        if message.key and not message.in_flight:
            same_key = self.keys[message.key]
            same_key.remove(message)
            if not same_key:
                del self.keys[message.key]

    def complete(self, event: AttemptCompleted) -> None:
        """Account for an attempt's outcome; then end the message, or retry it."""
        attempt = self.attempts.pop((event.request, event.attempt))
        message, call = attempt.message, attempt.call
        message.in_flight = False
        call.remaining -= 1
        if call.remaining == 0:
            self.calls_in_flight -= 1
            message.destination.calls_in_flight -= 1
            del call.endpoint.calls[call]
            if not call.endpoint.calls:
                self.outliers.balancer.unused[call.endpoint] = True
        message.destination.retry_budget.record(event.outcome, attempt.is_retry)
        self.outliers.record_attempt(call, event)
        if event.outcome in MAY_HAVE_RUN:
            self._record_possible_run(message, call, event.outcome)
        if event.done or message.request not in self.messages:
            self.end(message)
        else:
            self._enqueue(message)
            self._retry_or_give_up(message, call, event)

    def _record_possible_run(self, message: QueuedMessage, call: Call, outcome: Outcome) -> None:
        if message.key and outcome is not Outcome.ERROR:
            # The attempt may still be running: the next message with its key must not overtake it.
            now_ns = self.context.now_ns
            if len(self.ordering_pauses) > PAUSE_CLEANUP_THRESHOLD:
                self.ordering_pauses = {k: ends for k, ends in self.ordering_pauses.items() if ends > now_ns}
            self.ordering_pauses[message.key] = now_ns + self.context.settings.ordering_pause_ns
        if not message.may_have_run_ns:
            self._mark_may_have_run(message, call.sent_ns, call.endpoint.zone)

    def _mark_may_have_run(self, message: QueuedMessage, sent_ns: int, zone: int) -> None:
        message.may_have_run_ns, message.may_have_run_zone = sent_ns, zone
        if message.traffic_class.effect is Idempotency.WITH_KEY:
            heappush(self.expiry, (message.may_repeat_until_ns(), message.request))

    def _retry_or_give_up(self, message: QueuedMessage, call: Call, event: AttemptCompleted) -> None:
        sent = event.outcome is not Outcome.NOT_SENT
        # Blocked attempts would use up all attempts within milliseconds, so each allows one more.
        message.max_attempts += event.unsent
        if event.unsent or sent:
            step = NOT_SENT_BACKOFF_STEP if event.unsent else message.failures
            message.ready_ns = self.context.now_ns + backoff_ns(self.context.random, step)
        message.failures += sent
        at_ns = max(self.context.now_ns, message.ready_ns, call.endpoint.limiter.available_from_ns())
        # At a rate limit, newer messages go before those that have lost most of their priority.
        min_priority = MIN_PRIORITY * message.traffic_class.priority_weight
        stale = event.outcome is Outcome.OVERLOADED and self._priority(message, at_ns) < min_priority
        if stale or not self.may_repeat(message, at_ns):
            self.reject_or_fail(message)

    def may_repeat(self, message: QueuedMessage, at_ns: int) -> bool:
        """Whether an attempt at `at_ns` is in time, within the number allowed, and harmless.

        A message whose repeat is not harmless is never run twice: once it may have run, it is not repeated.
        """
        if at_ns >= message.deadline_ns or message.attempts >= message.max_attempts:
            return False
        effect = message.traffic_class.effect
        if not message.may_have_run_ns or effect is Idempotency.IDEMPOTENT:
            return True
        return effect is Idempotency.WITH_KEY and at_ns < message.may_repeat_until_ns()

    def reject_or_fail(self, message: QueuedMessage) -> None:
        """End a message at once, with its only final result.

        It is rejected where submitting it again is harmless; else it fails, as it must never run twice.
        """
        settings, rules, now_ns = self.context.settings, message.traffic_class, self.context.now_ns
        harmless = not message.may_have_run_ns or rules.effect is Idempotency.IDEMPOTENT
        if not harmless and rules.effect is Idempotency.WITH_KEY and rules.group is DeduplicationScope.ALL:
            harmless = now_ns + settings.max_retry_after_ns < message.may_repeat_until_ns()
        if harmless:
            available_from_ns = self.outliers.destination_available_from_ns(message.destination)
            wait_ns = min(max(available_from_ns - now_ns, 0), settings.max_retry_after_ns)
            self.context.actions.append(Reject(message.request, wait_ns * settings.retry_after_allowed))
        else:
            self.context.actions.append(Fail(message.request))
        self.end(message)

    def dispatch(self) -> int:
        """End messages that are out of time, fill free slots; return when to dispatch again at the latest."""
        while self.expiry and self.expiry[0][0] <= self.context.now_ns:
            message = self.messages.get(heappop(self.expiry)[1])
            if message and not message.in_flight and not self.may_repeat(message, self.context.now_ns):
                self.reject_or_fail(message)
        self._shed_load()
        self.waiting = {number: d for number, d in self.waiting.items() if d.queue}
        self.wake_ns = NEVER
        self._fill_slots()
        for destination in self.waiting.values():
            self._schedule_wake(destination)
        return self.wake_ns

    def _shed_load(self) -> None:
        """End messages of the longest queue (that of a destination in an outage) while too many are held."""
        now_ns, capacity = self.context.now_ns, self.context.settings.max_held_messages
        capacity -= max(1, int(capacity * RESERVED_QUEUE_SHARE))
        while len(self.messages) > capacity:
            longest = max(self.waiting.values(), key=lambda d: len(d.queue), default=None)
            queued = longest.queue.messages.values() if longest else ()
            safe = [m for m in queued if not m.may_have_run_ns and (m.attempts or m.overdue_from_ns == NEVER)]
            if not safe:
                break
            self.reject_or_fail(min(safe, key=lambda m: (self._priority(m, now_ns), m.accepted_ns)))

    def _fill_slots(self) -> None:
        slots = self.context.settings.max_concurrent_calls
        waiting = self.waiting.values() if self.calls_in_flight < slots else ()
        ready = [destination for destination in waiting if self._is_ready(destination)]
        urgencies: dict[int, float] = {}
        if slots - self.calls_in_flight > 1:  # before calls change the queues; for one call, as far as needed
            urgencies = {destination.number: self._urgency(destination) for destination in ready}
        while ready and self.calls_in_flight < slots:
            destination = self._next_destination(ready, urgencies)
            if destination.calls_in_flight >= max(1, slots - self.calls_in_flight):
                break  # a hung destination or a burst may hold at most as many slots as it leaves free
            if not self._call_one_endpoint(destination):
                ready.remove(destination)

    def _is_ready(self, destination: Destination) -> bool:
        """Whether one of a destination's endpoints may be called now."""
        overdue = any(map(self._is_overdue, destination.queue.conditional.values()))
        return self.outliers.destination_available_from_ns(destination, overdue) <= self.context.now_ns

    def _urgency(self, destination: Destination) -> float:
        """The first part of the dispatch order of a destination's most urgent message; the least goes first.

        The latest messages are looked at first: one that is not late yet is as urgent as any.
        """
        now_ns, most = self.context.now_ns, max(c.priority_weight for c in self.context.settings.classes)
        highest = 0.0
        for message in reversed(destination.queue.messages.values()):
            highest = max(highest, self._priority(message, now_ns))
            if highest >= most:
                break
        return -highest

    def _next_destination(self, ready: list[Destination], urgencies: dict[int, float]) -> Destination:
        """Fewest calls in flight first, then the most urgent, then the longest since its last call.

        Urgencies by destination that are not known yet are added where they decide.
        """
        fewest = min(destination.calls_in_flight for destination in ready)
        candidates = [destination for destination in ready if destination.calls_in_flight == fewest]
        if len(candidates) == 1:
            return candidates[0]
        for destination in candidates:
            if destination.number not in urgencies:
                urgencies[destination.number] = self._urgency(destination)
        return min(candidates, key=lambda destination: (urgencies[destination.number], destination.last_call))

    def _is_overdue(self, message: QueuedMessage) -> bool:
        return message.overdue_from_ns <= self.context.now_ns and not message.attempts

    def _schedule_wake(self, destination: Destination) -> None:
        now_ns, endpoints = self.context.now_ns, destination.endpoints.values()
        available_from_ns = self.outliers.destination_available_from_ns(destination)
        self._wake_by(available_from_ns)  # a suspect endpoint needs no timer: its next outcome brings a turn
        earliest_deadline_ns = destination.queue.earliest_deadline_ns()
        if earliest_deadline_ns <= available_from_ns < NEVER:
            affected = destination.queue.messages
        else:
            affected = destination.queue.conditional
            self.wake_ns = min(self.wake_ns, earliest_deadline_ns)
        for message in list(affected.values()):
            at_ns = available_from_ns
            if message.overdue_from_ns < NEVER and not message.attempts:
                # After a whole fleet was killed, the rates would not let all recovered messages out in time.
                at_ns = min((e.limiter.retry_after_until_ns for e in endpoints), default=NEVER)
                overdue_ns = self.outliers.destination_available_from_ns(destination, True)
                self._wake_by(max(message.overdue_from_ns, overdue_ns))
            if at_ns < NEVER and not self.may_repeat(message, at_ns):
                self.reject_or_fail(message)  # its waits end too late for another attempt
                continue
            at_ns = self._ready_from_ns(message)
            at_ns = at_ns if now_ns < at_ns < message.deadline_ns else message.deadline_ns
            self.wake_ns = at_ns if at_ns < self.wake_ns else self.wake_ns

    def _wake_by(self, at_ns: int) -> None:
        if at_ns > self.context.now_ns:
            self.wake_ns = min(self.wake_ns, at_ns)

    def _call_one_endpoint(self, destination: Destination) -> bool:
        now_ns, available_from_ns = self.context.now_ns, self.outliers.available_from_ns
        endpoints = [e for e in destination.endpoints.values() if available_from_ns(e, True) <= now_ns]
        for endpoint in sorted(endpoints, key=self.outliers.balancer.preference):
            if messages := self._sendable(destination, endpoint):
                self._call(endpoint, messages)
                return True
        return False

    def _sendable(self, destination: Destination, endpoint: TrackedEndpoint) -> list[QueuedMessage]:
        ready = [m for m in destination.queue.messages.values() if self.may_send(m, endpoint)]
        ready.sort(key=self._dispatch_order)
        if ready and endpoint.failure_rate > SUSPECT_FROM:
            ready = self._probing_messages(endpoint, ready)
        single = endpoint.ejected or endpoint.warming_since_ns
        return ready[: 1 if single else self.context.settings.kind(endpoint.kind).max_bundle_size]

    def _probing_messages(self, endpoint: TrackedEndpoint, ready: list[QueuedMessage]) -> list[QueuedMessage]:
        # A failed call loses messages that must not be repeated. Others go first; if there are none, a health
        # check goes first, where allowed; then single messages.
        if repeatable := [m for m in ready if m.traffic_class.effect is not Idempotency.NOT_IDEMPOTENT]:
            return repeatable
        if endpoint.calls or endpoint.health_check_out or endpoint.next_health_check_ns > self.context.now_ns:
            self._wake_by(endpoint.next_health_check_ns)  # if past, an outcome brings the turn
            return []
        if self.context.settings.health_checks_allowed and not endpoint.health_check_passed:
            endpoint.health_check_out = True
            if endpoint.warming_since_ns:  # a health check counts as a call, against overload by all senders
                endpoint.next_call_ns = self.limits.ramp_next_ns(endpoint, 1.0)
            self.context.actions.append(CheckHealth(endpoint.id))
            return []
        return ready[:1]

    def _call(self, endpoint: TrackedEndpoint, messages: list[QueuedMessage]) -> None:
        destination, budget = endpoint.destination, endpoint.destination.retry_budget
        call = Call(endpoint, self.context.now_ns, len(messages))
        endpoint.calls[call] = True
        self.calls_in_flight += 1
        destination.calls_in_flight += 1
        self.calls_made = destination.last_call = self.calls_made + 1
        self.limits.record_call(endpoint.limiter)
        if endpoint.warming_since_ns:
            endpoint.next_call_ns = self.limits.ramp_next_ns(endpoint, self.context.random.uniform(*JITTER))
        for message in messages:
            retry = message.attempts > 0
            if retry and not budget.allows_retry():
                call.remaining -= 1
                continue
            budget.retries_in_flight += retry
            self.attempts[message.request, message.attempts] = PendingAttempt(message, call, retry)
            message.attempts, message.in_flight = message.attempts + 1, True
            destination.queue.remove(message.request)
            timeout_ns = self.outliers.timeout_ns(message, endpoint, self.calls_in_flight)
            self.context.actions.append(Send(message.request, endpoint.id, timeout_ns))

    def may_send(self, message: QueuedMessage, endpoint: TrackedEndpoint) -> bool:
        """Whether all rules and waits let this message go to this endpoint now; each send is checked here."""
        now_ns, rules = self.context.now_ns, message.traffic_class
        zoned = rules.effect is Idempotency.WITH_KEY and rules.group is DeduplicationScope.ZONE
        if zoned and message.may_have_run_ns and endpoint.zone != message.may_have_run_zone:
            return False
        if message.in_flight or not self.may_repeat(message, now_ns) or self._ready_from_ns(message) > now_ns:
            return False
        return self.outliers.available_from_ns(endpoint, self._is_overdue(message)) <= now_ns

    def _ready_from_ns(self, message: QueuedMessage) -> int:
        if message.attempts and not message.destination.retry_budget.allows_retry():
            return NEVER
        if not message.key:
            return message.ready_ns
        pause_ns = 0 if message.attempts else self.ordering_pauses.get(message.key, 0)
        # Messages with one ordering key go one at a time, in order.
        return max(message.ready_ns, pause_ns) if self.keys[message.key][0] is message else NEVER

    def _priority(self, message: QueuedMessage, at_ns: int) -> float:
        rules, objective_ns = message.traffic_class, message.traffic_class.latency_objective_ns
        delay_ns = at_ns - (message.deadline_ns - rules.deadline_ns) - objective_ns
        if delay_ns <= 0:
            return rules.priority_weight
        if self.context.settings.value_halves:
            share: float = 0.5 ** (delay_ns / objective_ns)
        else:
            share = 1 - (1 - rules.late_value_share) * delay_ns / max(1, rules.deadline_ns - objective_ns)
        return rules.priority_weight * max(share, rules.late_value_share)

    def _dispatch_order(self, message: QueuedMessage) -> tuple[float, int]:
        return (-self._priority(message, self.context.now_ns), message.accepted_ns)
