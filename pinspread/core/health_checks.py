"""Health checks, which query an endpoint's health when the policy asks for it."""

import anyio

from pinspread.core.context import EngineContext
from pinspread.core.endpoint_registry import EndpointRegistry
from pinspread.core.log import log
from pinspread.core.messages import AttemptResult, Endpoint
from pinspread.core.time_units import NS_PER_US, US_PER_S
from pinspread.policy.events import HealthCheckCompleted, Outcome

TIMEOUT_US = 1_500_000


class HealthChecks:
    """Runs health checks and reports their results to the policy.

    Attributes:
        in_flight: When each check in flight was started, by the endpoint's id, in microseconds of the
            monotonic clock; those of a predecessor process are included.
    """

    def __init__(self, context: EngineContext, registry: EndpointRegistry) -> None:
        self.in_flight: dict[str, int] = {}
        self._context = context
        self._registry = registry

    def start(self, endpoint_id: str, now_us: int) -> None:
        """Check an endpoint, in a task of its own."""
        self._context.tasks.start_soon(self._check, self._registry.endpoints[endpoint_id], now_us)

    async def _check(self, endpoint: Endpoint, started_us: int) -> None:
        self.in_flight[endpoint.id] = started_us
        result = AttemptResult(Outcome.TIMEOUT)
        with anyio.move_on_after(TIMEOUT_US / US_PER_S):
            result = await self._context.transports[endpoint.scheme].check_health(
                endpoint, lambda: self._registry.blocked_reason(endpoint)
            )
        self.complete(endpoint, started_us, result)

    def complete(self, endpoint: Endpoint, started_us: int, result: AttemptResult) -> None:
        """Handle the end of a check."""
        self.in_flight.pop(endpoint.id, None)
        elapsed_us = self._context.clock.now() - started_us
        self._registry.apply_retry_after(endpoint, result.retry_after_us)
        if self._context.successor:
            self._context.successor.health_check_ended(endpoint.id, result)
        log("health_check", endpoint=endpoint.id, outcome=result.outcome.name, note=result.note)
        self._context.events.post(
            HealthCheckCompleted(
                endpoint.id, result.outcome, elapsed_us * NS_PER_US, result.retry_after_us * NS_PER_US
            )
        )

    def complete_from_predecessor(self, endpoint_id: str, result: AttemptResult) -> None:
        """Handle the end of a check that the predecessor process had in flight."""
        if endpoint_id in self.in_flight and endpoint_id in self._registry.endpoints:
            self.complete(self._registry.endpoints[endpoint_id], self.in_flight[endpoint_id], result)
