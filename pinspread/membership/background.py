"""The base class of background services (`core.ports`) that are independent of the delivery engine."""


class IndependentService:
    """A `BackgroundService` that is independent of the engine in both directions: these steps do nothing."""

    def attach(self, engine: object) -> None:
        """Do nothing: the service does not use the delivery engine."""

    async def before_recovery(self) -> None:
        """Do nothing: no recovered message depends on the service."""

    async def close(self) -> None:
        """Do nothing: the service has nothing left to do once the engine has ended."""
