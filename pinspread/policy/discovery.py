"""Discovery: the endpoints as the list has them, what new ones start with, and when to poll for changes."""

from pinspread.policy.events import EndpointId, EndpointsChanged, EndpointState, UpdateScope
from pinspread.policy.rate_limit import RateLimitPolicy
from pinspread.policy.retry_budget import JITTER, RetryBudget
from pinspread.policy.state import NEVER, SECOND, Destination, RateLimiter, TrackedEndpoint

FIRST_POLL_SPREAD = 0.3  # share of the longest poll interval over which first polls spread
POLL_BACKOFF = 0.05  # share that is the first backoff after a failed poll; it doubles up to the above
REMOVED_KEPT_NS = 10 * SECOND  # least time that a removed endpoint's record is kept, for its successor


class Discovery:
    """Keeps up with the endpoint list; owns the records of destinations and endpoints."""

    def __init__(self, limits: RateLimitPolicy) -> None:
        self.context, self.limits = limits.context, limits
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[EndpointId, TrackedEndpoint] = {}
        self.next_poll_ns, self.failed_polls = NEVER, 0  # failed ones since the last good answer

    def destination(self, number: int) -> Destination:
        """The record of a destination, made at first sight."""
        if number not in self.destinations:
            self.destinations[number] = Destination(number, RetryBudget())
        return self.destinations[number]

    def update(self, event: EndpointsChanged) -> None:
        """Take over an update; what drains or is removed gets nothing more from this turn on."""
        now_ns = self.context.now_ns
        if self.context.settings.polled_discovery:
            self._plan_poll(event.scope)
        if event.scope in (UpdateScope.FULL, UpdateScope.CACHED):
            for endpoint in self.endpoints.values():
                endpoint.usable = False
                endpoint.removed_since_ns = endpoint.removed_since_ns or now_ns
        for entry in event.entries:
            known, removed = self.endpoints.get(entry.endpoint), entry.state is EndpointState.REMOVED
            if known:
                known.update(entry)
                known.removed_since_ns = (known.removed_since_ns or now_ns) if removed else 0
                if entry.cold:
                    self.limits.start_ramp(known, now_ns)
            elif not removed:
                destination, rank = self.destination(entry.destination), self.context.random.random()
                apart = self.context.settings.kind(entry.kind).limits_per_endpoint
                limiter = RateLimiter() if apart else destination.limiter
                endpoint = TrackedEndpoint(entry, destination, limiter, now_ns, rank)
                self._seed_from_siblings(endpoint)
                limiter.rate = limiter.rate or self.limits.max_rate(endpoint) % NEVER
                self.endpoints[entry.endpoint] = destination.endpoints[entry.endpoint] = endpoint
        self._forget_removed()

    def _forget_removed(self) -> None:  # else each event would pass over all endpoints there ever were
        now_ns, kept_ns = self.context.now_ns, max(self.context.settings.slow_start_ns, REMOVED_KEPT_NS)
        removed = [e for e in self.endpoints.values() if 0 < e.removed_since_ns < now_ns - kept_ns]
        for endpoint in removed:
            listed, limiter = endpoint.destination.endpoints, endpoint.limiter
            busy = endpoint.calls or endpoint.health_check_out or limiter.retry_after_until_ns > now_ns
            if not busy and any(e.usable for e in listed.values()):
                del self.endpoints[endpoint.id], listed[endpoint.id]

    def _seed_from_siblings(self, endpoint: TrackedEndpoint) -> None:
        for other in endpoint.destination.endpoints.values():  # else each sender sends all it held (rule 4)
            endpoint.latency_mean_ns = max(endpoint.latency_mean_ns, other.latency_mean_ns)
            endpoint.latency_deviation_ns = max(endpoint.latency_deviation_ns, other.latency_deviation_ns)
            endpoint.limiter.limit = endpoint.limiter.limit or other.limiter.limit
            if not other.usable:
                endpoint.usual_rate = max(endpoint.usual_rate, other.usual_rate)
        siblings = endpoint.siblings()
        if siblings and not any(e.usable and not e.ejected for e in siblings):
            for other in siblings:
                recent = self.context.now_ns - other.last_outcome_ns < self.context.settings.slow_start_ns
                if other.ejected and (other.usable or recent):
                    endpoint.ejected, endpoint.failure_rate = True, other.failure_rate
                    endpoint.health_checks = max(endpoint.health_checks, other.health_checks)
                    next_ns = other.next_health_check_ns
                    endpoint.next_health_check_ns = max(endpoint.next_health_check_ns, next_ns)
        if warming_since_ns := max((e.warming_since_ns for e in siblings), default=0):
            self.limits.start_ramp(endpoint, warming_since_ns)

    def _plan_poll(self, scope: UpdateScope) -> None:
        random = self.context.random  # discovery takes few calls, so all senders must not poll at one instant
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
