"""Rate limits: fair shares, rates that refusals cut and successes raise, health check waits, slow start."""

from math import exp, sqrt

from pinspread.policy.retry_budget import BACKOFF_FACTOR, JITTER, backoff_ns
from pinspread.policy.state import MS, NEVER, SECOND, PolicyContext, RateLimiter, TrackedEndpoint

LONGEST_WAIT_NS = SECOND  # maximum wait of few senders between health checks or after refusals
# Health checks of all senders, as a share of the usual calls. With half this share, the overall score of a
# simulated day was 0.03 lower.
HEALTH_CHECK_SHARE = 0.3
RATE_GAIN = 0.08  # relative growth of a rate with each success
LOW_REMAINING = 0.15  # remaining fraction of a limit below which a sender waits as after a refusal
EXHAUSTED_RATE_FACTOR = 0.6  # factor on the usual rate after a refusal by an exhausted limit
BURST_POWER = 0.2  # power of the fleet's size by which one sender may exceed its fair share
CUT_POWER = 0.3  # power of the fleet's size by which a refusal cuts the rate of one of many senders
MIN_RATE = 1.5  # calls a second that no rate falls below, so that recovery can be seen
MIN_CAPACITY = 0.05  # calls a second that a reported limit leaves at least
RATE_SPAN_S = 8.0  # time constant of the mean of delivered rates
USUAL_RATE_SPAN_S = 60.0  # time constant of the usual rate's decay: longer than outages and throttled times
SMALL_FLEET_SIZE = 4  # up to this number of senders, each behaves as if it were alone
UNAVAILABLE_REFUSALS = 4  # refusals in a row from which a destination may be unavailable
UNAVAILABLE_SPAN_NS = SECOND  # and their minimum duration: a rate limit lets something through in that time
LONG_RETRY_AFTER_NS = 2500 * MS  # longer ones are no rate limit: the destination is unavailable
WEIGHT_TRUST = 0.67  # fraction of a rough listed weight that is used as the limit
EXHAUSTED_FROM = 0.6  # fraction of refusals with a low remaining limit from which a kind's calls exhaust it
REFUSAL_GAIN = 0.12  # weight of the newest refusal in that fraction, and of a connection in LoadBalancer's
RAMP_SAFETY = 0.8  # fraction of the permitted overload that a slow start uses: arrivals vary by chance
MIN_RAMP_RATE = 1.0  # calls a second of all senders to a warming endpoint of which nothing is known


class RateLimitPolicy:
    """Decides how fast this sender calls endpoints; records how often each kind's limits were exhausted."""

    def __init__(self, context: PolicyContext) -> None:
        self.context = context
        self.exhausted: dict[int, float] = {}  # by kind: fraction of refusals with a low remaining limit

    def record_call(self, limiter: RateLimiter) -> None:
        """Delay the limiter's next call by the interval of the rate that this sender may have there."""
        capacity = limiter.limit * max(LOW_REMAINING, limiter.remaining)
        if limiter.limit:  # or one wrong report would hold back all calls, and with them the next report
            capacity = max(MIN_CAPACITY, capacity)
        rate = min(limiter.rate or capacity, capacity or limiter.rate)  # a burst must not exhaust the limit
        if rate:
            limiter.next_call_ns = max(self.context.now_ns, limiter.next_call_ns) + int(SECOND / rate)

    def fair_share(self, endpoint: TrackedEndpoint) -> float:
        """This sender's equal share of the reported or listed limit, in calls a second; 0: not known."""
        settings = self.context.settings
        trust = 1.0 if settings.weights_exact else WEIGHT_TRUST
        weight = endpoint.weight * trust if settings.weights_known else 0.0
        return (endpoint.limiter.limit or weight) / settings.senders

    def max_rate(self, endpoint: TrackedEndpoint) -> float:
        """The maximum rate of one of many senders where limits are listed; else NEVER, which is no bound."""
        fleet_factor = self.context.fleet_factor
        highest_rate = self.fair_share(endpoint) * SMALL_FLEET_SIZE / fleet_factor**BURST_POWER
        return highest_rate if fleet_factor < 1 and self.context.settings.weights_known else NEVER

    def delivered_rate(self, endpoint: TrackedEndpoint) -> float:
        """The calls a second delivered to an endpoint, as of its last success."""
        unobserved = exp((endpoint.first_seen_ns - endpoint.delivered_ns) / (RATE_SPAN_S * SECOND))
        return endpoint.delivered / (RATE_SPAN_S * (1.02 - unobserved))  # 1.02: no division by 0 at first

    def record_delivery(self, endpoint: TrackedEndpoint) -> None:
        """Count a delivery; the older ones fade exponentially."""
        minus_age_s = (endpoint.delivered_ns - self.context.now_ns) / SECOND
        endpoint.delivered = endpoint.delivered * exp(minus_age_s / RATE_SPAN_S) + 1
        endpoint.delivered_ns = self.context.now_ns
        # The usual rate decays slowly, so that a ramp does not aim at a rate that refusals had cut.
        faded = endpoint.usual_rate * exp(minus_age_s / USUAL_RATE_SPAN_S)
        endpoint.usual_rate = max(faded, self.delivered_rate(endpoint))

    def _siblings_rate(self, endpoint: TrackedEndpoint) -> float:
        return sum(self.delivered_rate(e) for e in endpoint.siblings())

    def wait_ns(self, endpoint: TrackedEndpoint, n: int, steps: int = 1, refused: bool = False) -> int:
        """The wait before health check `n`, in nanoseconds.

        It is the backoff, up to the longest wait, if that is at most LONGEST_WAIT_NS. Else it grows by the
        backoff's factor and reaches the longest wait in `steps` steps.
        """
        longest_ns = self.longest_wait_ns(endpoint, refused)
        if longest_ns <= LONGEST_WAIT_NS:
            return min(backoff_ns(self.context.random, n), longest_ns)
        return int(longest_ns * self.context.random.uniform(*JITTER) / BACKOFF_FACTOR ** max(0, steps - n))

    def longest_wait_ns(self, endpoint: TrackedEndpoint, refused: bool = False) -> int:
        """The longest wait between health checks; those of many senders must not overload what recovers."""
        fading = exp((endpoint.last_success_ns - self.context.now_ns) / (RATE_SPAN_S * SECOND))
        usual = max(self._siblings_rate(endpoint) * fading, self.fair_share(endpoint))
        if not (refused and endpoint.limiter.limit):
            usual = max(HEALTH_CHECK_SHARE * usual, SECOND / max(SECOND, self.context.settings.slow_start_ns))
        return int(max(LONGEST_WAIT_NS, SECOND / max(self.context.fleet_factor, usual)))

    def apply_retry_after(self, endpoint: TrackedEndpoint, retry_after_ns: int) -> None:
        """Hold back calls until a Retry-After, received by an attempt or a health check, has passed."""
        limiter, until_ns = endpoint.limiter, self.context.now_ns + retry_after_ns
        limiter.retry_after_until_ns = max(limiter.retry_after_until_ns, until_ns)
        if retry_after_ns > LONG_RETRY_AFTER_NS:
            # All senders come back at that instant: the ramp keeps them from overloading the destination.
            for sibling in endpoint.siblings():
                self.start_ramp(sibling, limiter.retry_after_until_ns)

    def record_refusal(self, endpoint: TrackedEndpoint, retry_after_ns: int) -> None:
        """Lower the rate, so that a fleet does not keep a limit exhausted; back off beyond a Retry-After."""
        limiter, now_ns = endpoint.limiter, self.context.now_ns
        exhausted = self._exhausts_limit(endpoint)
        self._cut_rate(endpoint, exhausted)
        if self.context.fleet_factor < 1 and retry_after_ns <= LONG_RETRY_AFTER_NS:  # spread their return
            wait_ns = int(SECOND / limiter.rate * self.context.random.random())
            limiter.backoff_until_ns = now_ns + retry_after_ns + wait_ns
        elif exhausted or not retry_after_ns:
            steps = 1 if exhausted and not retry_after_ns else 3
            wait_ns = self.wait_ns(endpoint, limiter.refusals + 1, steps, refused=True)
            limiter.backoff_until_ns = now_ns + retry_after_ns + wait_ns
        if exhausted:  # a burst that goes on to the next endpoint at once exhausts one limit after the other
            for other in endpoint.destination.endpoints.values():
                if other.limiter is not limiter and now_ns - other.last_success_ns > UNAVAILABLE_SPAN_NS:
                    self._back_off(other)
        limiter.last_refusal_ns, limiter.refusals = now_ns, limiter.refusals + 1

    def _exhausts_limit(self, endpoint: TrackedEndpoint) -> bool:
        """Whether calls exhaust the endpoint's limit: in some kinds, refused calls count against it too."""
        limiter = endpoint.limiter
        low = bool(limiter.limit) and limiter.remaining < LOW_REMAINING
        fraction = self.exhausted.get(endpoint.kind, 0.8)
        fraction = self.exhausted[endpoint.kind] = fraction + REFUSAL_GAIN * (low - fraction)
        return low and fraction > EXHAUSTED_FROM

    def _cut_rate(self, endpoint: TrackedEndpoint, exhausted: bool) -> None:
        limiter, fleet_factor = endpoint.limiter, self.context.fleet_factor
        fleet_weight = 1 - fleet_factor  # 0 with few senders, towards 1 with many
        check_rate = SECOND / self.longest_wait_ns(endpoint, refused=True)
        share = self.fair_share(endpoint) or MIN_RATE * fleet_factor
        usual = max(share, check_rate, self._siblings_rate(endpoint))
        if not limiter.refusals:
            limiter.refusals_since_ns = self.context.now_ns
            limiter.rate = usual - fleet_weight * max(0.0, usual - (limiter.rate or usual))
        if fleet_weight or not limiter.refusals:
            cut = EXHAUSTED_RATE_FACTOR if exhausted else fleet_factor**CUT_POWER
            limiter.rate = max(fleet_weight * fleet_factor * MIN_RATE, limiter.rate * cut)

    def _back_off(self, endpoint: TrackedEndpoint) -> None:
        until_ns = self.context.now_ns + self.wait_ns(endpoint, 1, 3, refused=True)
        endpoint.limiter.backoff_until_ns = max(endpoint.limiter.backoff_until_ns, until_ns)

    def record_success(self, endpoint: TrackedEndpoint) -> bool:
        """Raise the rate after a success; true if the destination had seemed unavailable, not limited."""
        limiter, now_ns = endpoint.limiter, self.context.now_ns
        unavailable = (
            limiter.refusals >= UNAVAILABLE_REFUSALS
            and now_ns - limiter.refusals_since_ns > UNAVAILABLE_SPAN_NS
        )
        limiter.refusals = 0
        if limiter.limit and limiter.remaining < LOW_REMAINING:
            self._back_off(endpoint)  # the next call would be refused, which exhausts some limits further
            return unavailable
        fleet_factor = self.context.fleet_factor
        spans_since_success = (now_ns - endpoint.last_success_ns) / (RATE_SPAN_S * SECOND)
        gain = max(RATE_GAIN, spans_since_success, limiter.remaining / 4 if limiter.limit else 0.0)
        gain *= fleet_factor if limiter.rate > self.fair_share(endpoint) else fleet_factor ** (-2 * CUT_POWER)
        limiter.rate = min(limiter.rate * (1 + min(fleet_factor**-CUT_POWER, gain)), self.max_rate(endpoint))
        return unavailable

    def start_ramp(self, endpoint: TrackedEndpoint, since_ns: int) -> None:
        """Begin a slow start; the first call of each sender comes at a random time."""
        endpoint.warming_since_ns = since_ns
        endpoint.next_call_ns = self.ramp_next_ns(endpoint, self.context.random.random())

    def ramp_next_ns(self, endpoint: TrackedEndpoint, calls: float) -> int:
        """When the slow start permits this many more calls of this sender.

        The ramps of all senders together do not overload a destination or endpoint that is warming up.
        """
        settings, start = self.context.settings, self.context.settings.slow_start_fraction
        share = self.fair_share(endpoint) / max(1, sum(e.usable for e in endpoint.siblings()))
        usual = max(endpoint.usual_rate, share, MIN_RAMP_RATE / settings.senders)
        ramp_s = max(1, settings.slow_start_ns) / SECOND
        elapsed_s = min(ramp_s, max(0, self.context.now_ns - endpoint.warming_since_ns) / SECOND)
        rise = max(1e-9, (1 - start) / (2 * ramp_s))
        demand = calls / (RAMP_SAFETY * settings.overload_multiple * usual)
        # The capacity rises linearly, from `start` to 1.
        capacity_needed = start * elapsed_s + rise * elapsed_s**2 + demand
        reached_s = (sqrt(start**2 + 4 * rise * capacity_needed) - start) / (2 * rise)
        return endpoint.warming_since_ns + int(min(reached_s, ramp_s) * SECOND)
