"""Outlier detection: failure rates, ejection, health checks, time-outs, and when endpoints may be called."""

from pinspread.policy.events import AttemptCompleted, HealthCheckCompleted, Outcome
from pinspread.policy.load_balancing import LoadBalancer
from pinspread.policy.retry_budget import JITTER, backoff_ns
from pinspread.policy.settings import Idempotency
from pinspread.policy.state import (
    MS,
    NEVER,
    SECOND,
    Call,
    Destination,
    QueuedMessage,
    TrackedEndpoint,
    known_rate,
)

EJECTED_FROM = 0.5  # failure rate above which an endpoint is ejected
SUSPECT_FROM = 0.25  # failure rate above which messages that must not be repeated are sent after others
FAILURE_WEIGHT = 0.3  # weight of the newest outcome in the failure rate: two failures in a row eject
RECENT_SUCCESS_NS = 2 * SECOND  # success within which an endpoint with overdue calls may be tried again
MIN_OUTAGE_FAILURES = 3  # hard failures from which a short silence counts as an outage
SHORT_OUTAGE_FRACTION = 0.33  # fraction of the slow start's time below which a silence is short
LATENCY_GAIN = 0.125  # weight of the newest latency in the mean and in the deviation
TIMEOUT_DEVIATIONS = 4  # a time-out is twice (mean + this many deviations)
MIN_TIMEOUT_NS = SECOND  # shorter time-outs would turn congestion into lost calls
MAX_TIMEOUT_NS = 3 * SECOND  # unless the mean latency is over half of it
# Time-outs in a row make the next time-out longer by at most this factor: hung calls must not hold the slots.
MAX_TIMEOUT_FACTOR = 2.0
UNSAFE_FACTOR = 2.5  # on the time-out of messages that are not idempotent, which a time-out loses
UNSAFE_CROWDED_FACTOR = 1.5  # the same where half the slots are taken
# While slots are scarce and lost calls take more than this fraction of the slot time of answered calls,
# SILENCE_NS replaces MIN_TIMEOUT_NS.
LOST_SHARE = 0.15
LOST_GAIN = 0.05  # weight of the newest call in the fraction of lost calls
SILENCE_NS = 300 * MS  # minimum silence, with calls in flight, that makes an endpoint suspect
NOT_SENT_BACKOFF_STEP = 2  # backoff step after a health check or call that could not be sent: 160 ms median


class OutlierDetector:
    """Judges endpoints by their outcomes; owns the fraction of calls lost while later ones are answered."""

    def __init__(self, balancer: LoadBalancer) -> None:
        self.context, self.limits, self.balancer = balancer.context, balancer.limits, balancer
        self.lost_call_rate = 0.0

    def available_from_ns(self, endpoint: TrackedEndpoint, overdue: bool = False) -> int:
        """When an endpoint may be called next; for `overdue` messages, backoff and rate do not count."""
        if not endpoint.usable:
            return NEVER  # nothing is sent to an endpoint that drains or is removed
        # Nothing is sent to a destination before its Retry-After has passed, overdue or not.
        at_ns = endpoint.limiter.retry_after_until_ns if overdue else endpoint.limiter.available_from_ns()
        if endpoint.ejected:
            checked_ns = max((self._check_ends_ns(e) for e in endpoint.siblings() if e.ejected), default=0)
            return max(at_ns, endpoint.next_health_check_ns, checked_ns)
        if endpoint.warming_since_ns:
            at_ns = max(at_ns, endpoint.next_call_ns)
        # One silent call may be a lost call; with several, a hung endpoint must not take all slots.
        if len(endpoint.calls) > 1:
            since_ns = max(endpoint.last_outcome_ns, next(iter(endpoint.calls)).sent_ns)
            if self.context.now_ns - since_ns > self._expected_answer_ns(endpoint):
                at_ns = max(at_ns, self._check_ends_ns(endpoint))
        return at_ns

    def destination_available_from_ns(self, destination: Destination, overdue: bool = False) -> int:
        """When the first of a destination's endpoints may be called."""
        return min(
            (self.available_from_ns(e, overdue) for e in destination.endpoints.values()), default=NEVER
        )

    def _check_ends_ns(self, endpoint: TrackedEndpoint) -> int:
        """When what is in flight no longer keeps other calls from an ejected or silent endpoint.

        A lost call must not block the endpoint: after a recent success, the newest call blocks it only for
        the time in which an answer is expected, not until it has an outcome.
        """
        if not (endpoint.calls or endpoint.health_check_out):
            return 0
        if endpoint.health_check_out or self.context.now_ns - endpoint.last_success_ns > RECENT_SUCCESS_NS:
            return NEVER
        return next(reversed(endpoint.calls)).sent_ns + int(self._expected_answer_ns(endpoint))

    def _record_refusal(self, endpoint: TrackedEndpoint, retry_after_ns: int, sent_ns: int) -> None:
        if sent_ns < endpoint.limiter.last_refusal_ns:
            return  # sent before the last refusal was known: counts as the same one
        if endpoint.ejected:
            self._schedule_health_check(endpoint)
        self.limits.record_refusal(endpoint, retry_after_ns)

    def record_attempt(self, call: Call, event: AttemptCompleted) -> None:
        """Account for an attempt's outcome; the outcome of a call with several attempts counts once."""
        endpoint, limiter, retry_after_ns = call.endpoint, call.endpoint.limiter, event.retry_after_ns
        if limit_per_s := known_rate(event.limit_per_s):
            limiter.limit, limiter.remaining = limit_per_s, event.limit_remaining
        if retry_after_ns:  # the messages of a bundle may have different waits
            self.limits.apply_retry_after(endpoint, retry_after_ns)
        if not call.outcome_pending:
            return
        call.outcome_pending = False
        endpoint.last_outcome_ns = self.context.now_ns
        self.balancer.reports_opened |= event.opened
        if event.outcome is Outcome.OVERLOADED:
            if event.opened and not retry_after_ns and not limiter.refusals:  # its table may be full
                self.balancer.record_connection(endpoint.kind, True, 1 - self.context.fleet_factor)
            self._record_refusal(endpoint, retry_after_ns, call.sent_ns)
        elif event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self._record_outcome(call, event.outcome, event.elapsed_ns)

    def _record_outcome(self, call: Call, outcome: Outcome, elapsed_ns: int) -> None:
        endpoint, sent_ns, failed = call.endpoint, call.sent_ns, outcome is not Outcome.OK
        # Without reports of opened connections, an outage may be taken for a full connection table.
        reported = self.balancer.reports_opened
        unanswered = outcome is not Outcome.ERROR and endpoint.failure_rate < SUSPECT_FROM and not reported
        if unanswered or not failed:
            weight = self.context.fleet_factor if reported else 1.0
            self.balancer.record_connection(endpoint.kind, failed, weight)
        if not failed:
            endpoint.answered_ns = max(endpoint.answered_ns, sent_ns)
        if not failed or outcome is Outcome.TIMEOUT:
            # A timed-out call counts as lost if a later call was answered, or the next outcome is a success.
            earlier_call_lost = endpoint.failed and not endpoint.hard_failures
            lost = endpoint.answered_ns > sent_ns if failed else earlier_call_lost
            self.lost_call_rate += LOST_GAIN * (lost - self.lost_call_rate)
        # A time-out or reset is at first taken for the loss of one call or one connection.
        isolated = outcome in (Outcome.TIMEOUT, Outcome.RESET)
        if isolated and endpoint.last_success_ns > sent_ns and not endpoint.ejected:
            return  # a single lost call while others are answered means no outage and no slowness
        endpoint.failure_rate += FAILURE_WEIGHT * (failed - endpoint.failure_rate)
        endpoint.failed = failed
        endpoint.hard_failures += failed and not isolated
        if failed:
            self._record_failure(endpoint, outcome, sent_ns)
        else:
            self._record_success(endpoint, elapsed_ns)

    def _record_failure(self, endpoint: TrackedEndpoint, outcome: Outcome, sent_ns: int) -> None:
        # An outage usually affects all siblings; a reset may affect one connection only.
        for sibling in endpoint.siblings() if outcome is not Outcome.RESET else ():
            if sibling is not endpoint and sibling.last_success_ns < sent_ns:
                sibling.failure_rate += FAILURE_WEIGHT * (1 - sibling.failure_rate)
                if sibling.failure_rate > EJECTED_FROM and not sibling.ejected:
                    sibling.ejected = True  # single, spaced calls from now on: no overload by all senders
                    self._schedule_health_check(sibling)
        if outcome is Outcome.TIMEOUT:
            endpoint.timeout_factor = min(endpoint.timeout_factor * 2, MAX_TIMEOUT_FACTOR)
        endpoint.ejected |= endpoint.failure_rate > EJECTED_FROM
        self._schedule_health_check(endpoint)

    def _record_success(self, endpoint: TrackedEndpoint, elapsed_ns: int) -> None:
        now_ns, slow_start_ns = self.context.now_ns, self.context.settings.slow_start_ns
        unavailable = self.limits.record_success(endpoint)
        # Lost calls within a short silence are no outage.
        brief = now_ns - endpoint.last_success_ns < SHORT_OUTAGE_FRACTION * slow_start_ns
        lossy = endpoint.hard_failures < MIN_OUTAGE_FAILURES and brief
        endpoint.hard_failures, endpoint.last_success_ns = 0, now_ns
        error = elapsed_ns - endpoint.latency_mean_ns
        if not endpoint.latency_mean_ns:
            endpoint.latency_mean_ns, endpoint.latency_deviation_ns = float(elapsed_ns), elapsed_ns / 2
        else:
            endpoint.latency_mean_ns += LATENCY_GAIN * error
            endpoint.latency_deviation_ns += LATENCY_GAIN * (abs(error) - endpoint.latency_deviation_ns)
        endpoint.timeout_factor = max(1.0, endpoint.timeout_factor / 2)
        if (endpoint.ejected or unavailable) and not lossy:
            # Decided at the first success: at the second one, the silence before it looks short.
            endpoint.warming_since_ns = now_ns
        if endpoint.failure_rate > EJECTED_FROM and (endpoint.ejected or unavailable):
            endpoint.next_health_check_ns = now_ns  # one success after many failures: check again at once
            self._ramp_siblings(endpoint)
        else:
            endpoint.ejected, endpoint.health_checks = False, 0
        if endpoint.warming_since_ns and now_ns - endpoint.warming_since_ns > slow_start_ns:
            endpoint.warming_since_ns = 0
        self.limits.record_delivery(endpoint)

    def _ramp_siblings(self, endpoint: TrackedEndpoint) -> None:
        # The health checks of many senders together would overload a destination that warms up.
        many_senders = self.context.fleet_factor < 1
        for sibling in endpoint.siblings() if many_senders and endpoint.warming_since_ns else ():
            if sibling.ejected:
                sibling.warming_since_ns = endpoint.warming_since_ns
                jitter = self.context.random.uniform(*JITTER)
                sibling.delay_health_check(self.limits.ramp_next_ns(sibling, jitter))

    def _schedule_health_check(self, endpoint: TrackedEndpoint) -> None:
        endpoint.health_check_passed = False
        wait_ns = self.limits.wait_ns(endpoint, endpoint.health_checks)
        endpoint.next_health_check_ns = self.context.now_ns + wait_ns
        endpoint.health_checks += 1
        for sibling in endpoint.siblings() if endpoint.ejected else ():
            sibling.delay_health_check(endpoint.next_health_check_ns)

    def on_health_check(self, endpoint: TrackedEndpoint, event: HealthCheckCompleted) -> None:
        """Account for a health check; after a success, one message may be sent as a trial."""
        now_ns = self.context.now_ns
        endpoint.health_check_out = False
        if event.outcome is Outcome.OK:
            endpoint.health_check_passed = True  # calls may still fail, so the failure rate stays
            endpoint.next_health_check_ns = now_ns
        elif event.outcome is Outcome.OVERLOADED:
            if event.retry_after_ns:
                self.limits.apply_retry_after(endpoint, event.retry_after_ns)
            self._record_refusal(endpoint, event.retry_after_ns, now_ns)
        elif event.outcome is Outcome.NOT_SENT:  # sent again at once, it would be blocked again
            endpoint.delay_health_check(now_ns + backoff_ns(self.context.random, NOT_SENT_BACKOFF_STEP))
        else:
            endpoint.failure_rate += FAILURE_WEIGHT * (1 - endpoint.failure_rate)
            endpoint.ejected = True
            self._schedule_health_check(endpoint)

    def _expected_answer_ns(self, endpoint: TrackedEndpoint) -> float:
        return max(SILENCE_NS, endpoint.latency_mean_ns + TIMEOUT_DEVIATIONS * endpoint.latency_deviation_ns)

    def timeout_ns(self, message: QueuedMessage, endpoint: TrackedEndpoint, calls_in_flight: int) -> int:
        """How long an attempt may wait for its answer."""
        slots_scarce = 2 * calls_in_flight >= self.context.settings.max_concurrent_calls
        unsafe, mean_ns = message.traffic_class.effect is Idempotency.NOT_IDEMPOTENT, endpoint.latency_mean_ns
        factor = (UNSAFE_CROWDED_FACTOR if slots_scarce else UNSAFE_FACTOR) if unsafe else 1.0
        slow_ns = mean_ns + TIMEOUT_DEVIATIONS * endpoint.latency_deviation_ns
        learned_ns = 2 * slow_ns or message.traffic_class.latency_objective_ns
        # Where single calls get lost, they would hold all slots until their time-outs.
        lossy = slots_scarce and self.lost_call_rate * MIN_TIMEOUT_NS > LOST_SHARE * mean_ns
        min_ns = SILENCE_NS if lossy else MIN_TIMEOUT_NS
        wait_ns = int(max(min_ns, learned_ns) * factor * endpoint.timeout_factor)
        left_ns = message.deadline_ns - self.context.now_ns
        return max(1, min(wait_ns, max(MAX_TIMEOUT_NS, int(2 * mean_ns)), left_ns))
