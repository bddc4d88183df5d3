"""The simulation's engine in real time, so that its destinations can serve real sockets."""

import asyncio
import time
from collections.abc import Callable

from pinspread.simulation.engine import SECOND


class RealTimeEngine:
    """Calls functions at scheduled times on the running event loop.

    It has the part of the interface of `simulation.engine.Engine` that the simulation's parties use. Times
    are nanoseconds since the scenario began.

    Attributes:
        start_ns: The monotonic time at which the scenario begins.
        events: Always 0; the real-time engine does not count events.
    """

    def __init__(self) -> None:
        self.start_ns = time.monotonic_ns()
        self.events = 0

    @property
    def now(self) -> int:
        """The current time of the scenario; negative before it begins."""
        return time.monotonic_ns() - self.start_ns

    def after(self, delay_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Call a function after a delay."""
        asyncio.get_running_loop().call_later(max(0, delay_ns) / SECOND, call, *arguments)

    def at(self, when_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Call a function at a time of the scenario, or as soon as possible if that is past."""
        self.after(when_ns - self.now, call, *arguments)

    def seconds_until(self, when_ns: int) -> float:
        """The seconds until a time of the scenario; 0 if that is past."""
        return max(0, when_ns - self.now) / SECOND
