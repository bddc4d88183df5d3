"""What background services have in common that need nothing of the delivery engine (`core.ports`)."""


class IndependentService:
    """A `BackgroundService` and the engine that do not depend on each other: these steps do nothing."""

    def attach(self, engine: object) -> None:
        """Do nothing: the service needs nothing of the delivery engine."""

    async def before_recovery(self) -> None:
        """Do nothing: no recovered message depends on the service."""

    async def close(self) -> None:
        """Do nothing: the service has nothing left to do once the engine has ended."""
