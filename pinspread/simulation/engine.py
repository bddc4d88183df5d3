"""Virtual time: a heap of events, whole nanoseconds, first come first served among equals."""

from heapq import heappop, heappush

MS = 1_000_000
SECOND = 1_000_000_000
SPAN_NS = 10 * MS
MOST_IN_SPAN = 5_000  # events in such a span, and 100 for each party, that are no spinning


class SimulationStalledError(RuntimeError):
    """Something asks to be woken again and again, and virtual time hardly moves."""


class Engine:
    """Calls functions at their times. `now` is the present in nanoseconds; it moves only in `run`.

    `parties` bounds how much may happen in 10 ms of virtual time; over it, `run` raises `Stuck`.
    """

    __slots__ = ("_heap", "_most", "_serial", "events", "now")

    def __init__(self, parties=10):
        self.now = 0
        self.events = 0  # how many were called
        self._heap = []
        self._serial = 0
        self._most = MOST_IN_SPAN + 100 * parties

    def at(self, when_ns, call, *what):
        """Have `call(*what)` called then, or now if that is past."""
        self._serial += 1
        # The serial number keeps equal times in order and functions from being compared.
        heappush(self._heap, (when_ns if when_ns > self.now else self.now, self._serial, call, what))

    def after(self, delay_ns, call, *what):
        """Have `call(*what)` called after a while."""
        self.at(self.now + delay_ns, call, *what)

    def run(self, until_ns):
        """Call all that is due up to then, and leave `now` there."""
        heap = self._heap
        began, counted = self.now, self.events
        while heap and heap[0][0] <= until_ns:
            self.now, _, call, what = heappop(heap)
            self.events += 1
            if self.now - began > SPAN_NS:
                began, counted = self.now, self.events
            elif self.events - counted > self._most:
                # Danger: a module that wakes itself at once, always, would keep a run from ever ending.
                raise SimulationStalledError(
                    f"{self._most} events within 10 ms at {self.now / SECOND:.3f} s, lately {call!r}"
                )
            call(*what)
        self.now = until_ns
