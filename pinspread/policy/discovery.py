"""Discovery: the listed endpoints, what new ones take over from others, and when to poll for changes."""

from pinspread.policy.events import EndpointEntry, EndpointId, EndpointsChanged, EndpointState, UpdateScope
from pinspread.policy.rate_limit import RateLimitPolicy
from pinspread.policy.retry_budget import JITTER, RetryBudget
from pinspread.policy.state import NEVER, SECOND, Destination, RateLimiter, TrackedEndpoint

FIRST_POLL_SPREAD = 0.3  # fraction of the maximum poll interval over which first polls spread
POLL_BACKOFF = 0.05  # fraction of it waited after the first failed poll; doubles up to FIRST_POLL_SPREAD
REMOVED_KEPT_NS = 10 * SECOND  # minimum time that a removed endpoint's record is kept, for its replacement


class Discovery:
    """Keeps up with the endpoint list; owns the records of destinations and endpoints."""

    def __init__(self, limits: RateLimitPolicy) -> None:
        self.context, self.limits = limits.context, limits
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[EndpointId, TrackedEndpoint] = {}
        self.next_poll_ns, self.failed_polls = NEVER, 0  # failed polls since the last good answer

    def destination(self, number: int) -> Destination:
        """The record of a destination, created when it is first needed."""
        if number not in self.destinations:
            self.destinations[number] = Destination(number, RetryBudget())
        return self.destinations[number]

    def update(self, event: EndpointsChanged) -> None:
        """Apply an update; from this turn on, nothing is sent to endpoints that drain or are removed."""
        now_ns = self.context.now_ns
        if self.context.settings.polled_discovery:
            self._schedule_poll(event.scope)
        if event.scope in (UpdateScope.FULL, UpdateScope.CACHED):
            for endpoint in self.endpoints.values():
                endpoint.mark_removed(now_ns)
        for entry in event.entries:
            known = self.endpoints.get(entry.endpoint)
            if known and known.destination.number != entry.destination:
                self._drop(known)
                known = None
            if known:
                known.update(entry, now_ns)
                if entry.cold:
                    self.limits.start_ramp(known, now_ns)
            elif entry.state is not EndpointState.REMOVED:
                self._add(entry)
        self._forget_removed()

    def _add(self, entry: EndpointEntry) -> None:
        destination, rank = self.destination(entry.destination), self.context.random.random()
        has_own_limiter = self.context.settings.kind(entry.kind).limits_per_endpoint
        limiter = RateLimiter() if has_own_limiter else destination.limiter
        endpoint = TrackedEndpoint(entry, destination, limiter, self.context.now_ns, rank)
        self._seed_from_siblings(endpoint)
        limiter.rate = limiter.rate or self.limits.max_rate(endpoint) % NEVER  # NEVER: no bound, rate 0
        self.endpoints[entry.endpoint] = destination.endpoints[entry.endpoint] = endpoint

    def _drop(self, endpoint: TrackedEndpoint) -> None:
        """Drop the record of an endpoint whose id now stands for one of another destination."""
        endpoint.mark_removed(self.context.now_ns)  # its calls in flight still refer to it
        del self.endpoints[endpoint.id], endpoint.destination.endpoints[endpoint.id]

    def _forget_removed(self) -> None:
        """Drop old records; else each event would go over all endpoints that were ever listed."""
        now_ns = self.context.now_ns
        expired_ns = now_ns - max(self.context.settings.slow_start_ns, REMOVED_KEPT_NS)
        for endpoint in [e for e in self.endpoints.values() if 0 < e.removed_since_ns < expired_ns]:
            siblings, limiter = endpoint.destination.endpoints, endpoint.limiter
            needed = endpoint.calls or endpoint.health_check_out or limiter.retry_after_until_ns > now_ns
            if not needed and any(e.usable for e in siblings.values()):
                del self.endpoints[endpoint.id], siblings[endpoint.id]

    def _seed_from_siblings(self, endpoint: TrackedEndpoint) -> None:
        # Without these values, all senders together would overload the new endpoint with what they hold.
        for other in endpoint.destination.endpoints.values():
            endpoint.latency_mean_ns = max(endpoint.latency_mean_ns, other.latency_mean_ns)
            endpoint.latency_deviation_ns = max(endpoint.latency_deviation_ns, other.latency_deviation_ns)
            endpoint.limiter.limit = endpoint.limiter.limit or other.limiter.limit
            if not other.usable:
                endpoint.usual_rate = max(endpoint.usual_rate, other.usual_rate)
        siblings = endpoint.siblings()
        if not any(e.usable and not e.ejected for e in siblings):
            self._seed_ejection(endpoint, siblings)
        if warming_since_ns := max((e.warming_since_ns for e in siblings), default=0):
            self.limits.start_ramp(endpoint, warming_since_ns)

    def _seed_ejection(self, endpoint: TrackedEndpoint, siblings: list[TrackedEndpoint]) -> None:
        for other in siblings:
            recent = self.context.now_ns - other.last_outcome_ns < self.context.settings.slow_start_ns
            if other.ejected and (other.usable or recent):
                endpoint.ejected, endpoint.failure_rate = True, other.failure_rate
                endpoint.health_checks = max(endpoint.health_checks, other.health_checks)
                endpoint.delay_health_check(other.next_health_check_ns)

    def _schedule_poll(self, scope: UpdateScope) -> None:
        # The discovery service serves few calls, so senders must not all poll at the same instant.
        random = self.context.random
        interval = self.context.settings.max_poll_interval_ns or SECOND / POLL_BACKOFF
        if scope is UpdateScope.FAILED:
            wait = min(POLL_BACKOFF * 2**self.failed_polls, FIRST_POLL_SPREAD) * random.uniform(*JITTER)
            self.failed_polls = min(self.failed_polls + 1, 20)
        elif scope is UpdateScope.CACHED:
            wait = FIRST_POLL_SPREAD * random.random()
        else:
            self.failed_polls = 0
            return
        self.next_poll_ns = self.context.now_ns + int(interval * wait)
