"""Discrete-event engine: virtual time in integer nanoseconds; equal times run in the order of scheduling."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol

from pinspread.errors import PinspreadError

MS = 1_000_000
SECOND = 1_000_000_000
STALL_WINDOW_NS = 10 * MS
BASE_EVENTS_PER_WINDOW = 5_000
EVENTS_PER_PARTY = 100  # added to the limit of a window for each instance and destination


class SimulationStalledError(PinspreadError, RuntimeError):
    """Events follow one another so closely that virtual time hardly advances."""


class Scheduler(Protocol):
    """The part of an engine that destinations use; the test bed implements it on real time."""

    @property
    def now(self) -> int:
        """The current time, in nanoseconds."""
        ...

    def after(self, delay_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Call a function after a delay."""
        ...


class Engine:
    """Calls functions at their scheduled times.

    Args:
        parties: Number of instances and destinations. It bounds how many events may fall into 10 ms of
            virtual time.

    Attributes:
        now: The current time in nanoseconds; it advances only in `run`.
        events: Number of functions called.
    """

    __slots__ = ("_events_allowed", "_heap", "_serial", "events", "now")

    def __init__(self, parties: int = 10) -> None:
        self.now = 0
        self.events = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[object, ...]]] = []
        self._serial = 0
        self._events_allowed = BASE_EVENTS_PER_WINDOW + EVENTS_PER_PARTY * parties

    def at(self, when_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Schedule a function at a time, or now if that time is past."""
        self._serial += 1
        # The serial number keeps events of equal time in order, and functions from being compared.
        heappush(self._heap, (when_ns if when_ns > self.now else self.now, self._serial, call, arguments))

    def after(self, delay_ns: int, call: Callable[..., object], *arguments: object) -> None:
        """Schedule a function after a delay."""
        self.at(self.now + delay_ns, call, *arguments)

    def run(self, until_ns: int) -> None:
        """Call all functions due up to a time, and leave `now` at that time.

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
                # A policy that keeps setting immediate timers would otherwise keep the run from ending.
                raise SimulationStalledError(
                    f"{self._events_allowed} events within 10 ms"
                    f" at {self.now / SECOND:.3f} s, lately {call!r}"
                )
            call(*arguments)
        self.now = until_ns
