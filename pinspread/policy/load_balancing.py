"""Load balancing: the order of a destination's endpoints, and when idle connections are closed."""

from pinspread.policy.actions import Disconnect
from pinspread.policy.events import EndpointId
from pinspread.policy.rate_limit import REFUSAL_GAIN, RateLimitPolicy
from pinspread.policy.state import SECOND, TrackedEndpoint

SATURATED_FROM = 0.1  # above this fraction of calls whose connection failed, a kind's tables count as full
SATURATED_TO = 0.015  # below this fraction they no longer count as full
CLOSE_PROBABILITY = 0.1  # fraction of idle connections that very many senders close, to detect full tables
LATENCY_HALF_LIFE_NS = 5 * SECOND  # in which a mean latency without new outcomes halves
QUEUE_EXPONENT = 2  # of the calls in flight at an endpoint, while there are slots to spare
RANDOM_COST_SPREAD = 0.3  # range of a random cost of endpoints with own limits, so that senders spread


class LoadBalancer:
    """Orders endpoints and closes idle connections; estimates whether connection tables are full, by kind."""

    def __init__(self, limits: RateLimitPolicy, endpoints: dict[EndpointId, TrackedEndpoint]) -> None:
        self.context, self.limits, self.endpoints = limits.context, limits, endpoints
        self.saturation: dict[int, float] = {}  # by kind: fraction of calls whose connection failed
        self.saturated: set[int] = set()  # kinds whose connection tables seem full
        self.reports_opened = False  # whether the caller reports which calls opened a connection
        self.unused: dict[TrackedEndpoint, bool] = {}  # their last call in flight ended in this turn

    def in_order(self, endpoints: list[TrackedEndpoint], slots_scarce: bool) -> list[TrackedEndpoint]:
        """Return a destination's endpoints in the order in which they are tried.

        Args:
            endpoints: The endpoints.
            slots_scarce: Whether short calls matter more than few calls at one endpoint.
        """
        exponent = 1 if slots_scarce else QUEUE_EXPONENT
        least_ns = min((e.latency_mean_ns for e in endpoints if e.latency_mean_ns), default=1.0)

        def preference(endpoint: TrackedEndpoint) -> tuple[float, int, float, float]:
            calls = len(endpoint.calls) + endpoint.failed + 1
            load = calls**exponent * self._expected_latency_ns(endpoint, least_ns)
            oldest_ns = endpoint.last_outcome_ns if endpoint.ejected else 0
            return load, oldest_ns, self._cost(endpoint), endpoint.rank

        return sorted(endpoints, key=preference)

    def _cost(self, endpoint: TrackedEndpoint) -> float:
        """The cost of a call, with that of a new connection where no idle one is expected."""
        settings, zone = self.context.settings, endpoint.zone
        idle = self.context.now_ns - endpoint.last_outcome_ns < settings.keepalive_ns and not endpoint.ejected
        cost = settings.handshake_price * (not idle) + settings.cross_zone_price * (zone != settings.zone)
        if endpoint.limiter is not endpoint.destination.limiter:  # senders must not all prefer the same one
            fee = settings.zone_fees[zone] if zone < len(settings.zone_fees) else 0.0
            cost += RANDOM_COST_SPREAD * endpoint.rank + fee
        return cost

    def _expected_latency_ns(self, endpoint: TrackedEndpoint, least_ns: float) -> float:
        """The mean latency; the longer ago it was measured, the closer to the least of all endpoints.

        So an endpoint that was slow is tried again, and a new one counts as fast as the fastest.
        """
        age_ns = self.context.now_ns - endpoint.last_outcome_ns
        weight: float = 0.5 ** (age_ns / LATENCY_HALF_LIFE_NS)
        return max(least_ns, weight * endpoint.latency_mean_ns)

    def record_connection(self, kind: int, refused: bool, weight: float) -> None:
        """Account for whether a new connection was refused."""
        rate = self.saturation.get(kind, 0.0)
        rate = self.saturation[kind] = rate + REFUSAL_GAIN * weight * (refused - rate)
        if rate > SATURATED_FROM and kind not in self.saturated:
            self.saturated.add(kind)
            self.unused |= {e: True for e in self.endpoints.values() if e.kind == kind}
        elif rate < SATURATED_TO:
            self.saturated.discard(kind)

    def keeps_connections(self, endpoint: TrackedEndpoint) -> bool:
        """Whether idle connections may stay open; those of many senders fill small connection tables."""
        fleet_factor, keepalive_ns = self.context.fleet_factor, self.context.settings.keepalive_ns
        if fleet_factor == 1:
            return True
        if endpoint.kind not in self.saturated:  # only opening a new connection can show a full table
            return self.context.random.random() > CLOSE_PROBABILITY * (1 - fleet_factor)
        return self.limits.delivered_rate(endpoint) * fleet_factor**2 * keepalive_ns >= SECOND

    def close_unused(self) -> None:
        """Close the connections that became idle in this turn and may not stay open."""
        for endpoint in self.unused:
            if not endpoint.calls and not self.keeps_connections(endpoint):
                self.context.actions.append(Disconnect(endpoint.id))
        self.unused = {}
