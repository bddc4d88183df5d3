"""Load balancing: the order of a destination's endpoints, and when idle connections are closed."""

from pinspread.policy.actions import Disconnect
from pinspread.policy.events import EndpointId
from pinspread.policy.rate_limit import REFUSAL_GAIN, RateLimitPolicy
from pinspread.policy.state import SECOND, TrackedEndpoint

SATURATED_FROM = 0.1  # above this fraction of calls whose connection failed, a kind's tables count as full
SATURATED_TO = 0.015  # below this fraction they no longer count as full
CLOSE_PROBABILITY = 0.1  # fraction of idle connections that very many senders close, to detect full tables
RANDOM_COST_SPREAD = 0.3  # range of a random cost of endpoints with own limits, so that senders spread


class LoadBalancer:
    """Orders endpoints and closes idle connections; estimates whether connection tables are full, by kind."""

    def __init__(self, limits: RateLimitPolicy, endpoints: dict[EndpointId, TrackedEndpoint]) -> None:
        self.context, self.limits, self.endpoints = limits.context, limits, endpoints
        self.saturation: dict[int, float] = {}  # by kind: fraction of calls whose connection failed
        self.saturated: set[int] = set()  # kinds whose connection tables seem full
        self.reports_opened = False  # whether the caller reports which calls opened a connection
        self.unused: dict[TrackedEndpoint, bool] = {}  # their last call in flight ended in this turn

    def preference(self, endpoint: TrackedEndpoint) -> tuple[int, int, float, float]:
        """Sort key: fewest calls in flight, then the call's cost, then a random rank.

        A failed last outcome counts as a call in flight. Of ejected endpoints, the one with the oldest
        outcome comes first. The cost includes a new connection where no idle one is expected.
        """
        settings, zone = self.context.settings, endpoint.zone
        idle = self.context.now_ns - endpoint.last_outcome_ns < settings.keepalive_ns and not endpoint.ejected
        cost = settings.handshake_price * (not idle) + settings.cross_zone_price * (zone != settings.zone)
        if endpoint.limiter is not endpoint.destination.limiter:  # senders must not all prefer the same one
            fee = settings.zone_fees[zone] if zone < len(settings.zone_fees) else 0.0
            cost += RANDOM_COST_SPREAD * endpoint.rank + fee
        calls = len(endpoint.calls) + endpoint.failed
        return calls, endpoint.last_outcome_ns if endpoint.ejected else 0, cost, endpoint.rank

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
