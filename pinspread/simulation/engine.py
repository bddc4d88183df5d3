"""Discrete-event engine: virtual time in integer nanoseconds, first come first served among equal times."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol

from pinspread.errors import PinspreadError

MS = 1_000_000
SECOND = 1_000_000_000
STALL_WINDOW_NS = 10 * MS
BASE_EVENTS_PER_WINDOW = 5_000
EVENTS_PER_PARTY = 100  # that each party adds to what is allowed in a window


class SimulationStalledError(PinspreadError, RuntimeError):
    """Events follow one another so closely that virtual time hardly moves."""


class Scheduler(Protocol):
    """The part of an engine that destinations use; the testbed has one on real time."""

    @property
    def now(self) -> int:
        """The present, in nanoseconds."""
        ...

    def after(self, delay_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Call a function after a while."""
        ...


class Engine:
    """Calls functions at their times.

    Args:
        parties: How many instances and destinations there are. It bounds how many events may fall into 10 ms
            of virtual time.

    Attributes:
        now: The present in nanoseconds; it moves only in `run`.
        events: How many functions were called.
    """

    __slots__ = ("_events_allowed", "_heap", "_serial", "events", "now")

    def __init__(self, parties: int = 10) -> None:
        self.now = 0
        self.events = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[object, ...]]] = []
        self._serial = 0
        self._events_allowed = BASE_EVENTS_PER_WINDOW + EVENTS_PER_PARTY * parties

    def at(self, when_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Have a function called at a time, or now if that is past."""
        self._serial += 1
        # The serial number keeps equal times in order and functions from being compared.
        heappush(self._heap, (when_ns if when_ns > self.now else self.now, self._serial, call, arguments))

    def after(self, delay_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Have a function called after a while."""
        self.at(self.now + delay_ns, call, *arguments)

    def run(self, until_ns: int) -> None:
        """Call all that is due up to a time, and leave `now` there.

        Raises:
            SimulationStalledError: Too many events fell into 10 ms of virtual time.
        """
        heap = self._heap
        window_start_ns, events_before = self.now, self.events
        while heap and heap[0][0] <= until_ns:
            self.now, _, call, arguments = heappop(heap)
            self.events += 1
            if self.now - window_start_ns > STALL_WINDOW_NS:
                window_start_ns, events_before = self.now, self.events
            elif self.events - events_before > self._events_allowed:
                # A policy that always wakes itself at once would keep a run from ever ending.
                raise SimulationStalledError(
                    f"{self._events_allowed} events within 10 ms"
                    f" at {self.now / SECOND:.3f} s, lately {call!r}"
                )
            call(*arguments)
        self.now = until_ns
