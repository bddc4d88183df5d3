"""The simulation's engine on real time, so that its destinations also serve real sockets."""

import asyncio
import time
from collections.abc import Callable

from pinspread.simulation.engine import SECOND


class RealTimeEngine:
    """Calls functions at their times on the running event loop.

    It has what the simulation's parties use of `simulation.engine.Engine`; times are nanoseconds since the
    scenario began.

    Attributes:
        start_ns: The monotonic clock at the beginning of the scenario.
        events: Always 0: events are not counted here.
    """

    def __init__(self) -> None:
        self.start_ns = time.monotonic_ns()
        self.events = 0

    @property
    def now(self) -> int:
        """The present; negative before the scenario begins."""
        return time.monotonic_ns() - self.start_ns

    def after(self, delay_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Call a function after a while."""
        asyncio.get_running_loop().call_later(max(0, delay_ns) / SECOND, call, *arguments)

    def at(self, when_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Call a function at a time, or now if that is past."""
        self.after(when_ns - self.now, call, *arguments)

    def seconds_until(self, when_ns: int) -> float:
        """How long it is until a time, in seconds; 0 if that is past."""
        return max(0, when_ns - self.now) / SECOND
