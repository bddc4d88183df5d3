"""Events for the delivery policy's next turn, and the timers that it has set."""

from heapq import heappop, heappush

import anyio

from pinspread.policy.events import Event, TimerFired


class EventQueue:
    """Events that wait for the next turn of the engine, and what starts that turn.

    Attributes:
        inbox: The events, in the order in which they happened.
        timers: A heap of the timers: when they are due, in microseconds of the monotonic clock, and their
            tags.
    """

    def __init__(self) -> None:
        self.inbox: list[Event] = []
        self.timers: list[tuple[int, int]] = []
        self._wake = anyio.Event()

    def post(self, event: Event) -> None:
        """Have the policy take an event in the next turn."""
        self.inbox.append(event)
        self._wake.set()

    def wake(self) -> None:
        """Start a turn, whether something has happened or not."""
        self._wake.set()

    def set_timer(self, due_us: int, tag: int) -> None:
        """Have the policy's timer of this tag fire in the first turn from that time on."""
        heappush(self.timers, (due_us, tag))

    def next_due_us(self) -> int | None:
        """Return when the next timer is due; None if there is none."""
        return self.timers[0][0] if self.timers else None

    async def wait(self, timeout_s: float | None) -> None:
        """Wait until something wakes the engine, for so long at most."""
        with anyio.move_on_after(timeout_s):
            await self._wake.wait()
        self._wake = anyio.Event()

    def take(self, now_us: int) -> list[Event]:
        """Return all events, those of the timers that are due behind the others, and forget them."""
        events, self.inbox = self.inbox, []
        while self.timers and self.timers[0][0] <= now_us:
            events.append(TimerFired(heappop(self.timers)[1]))
        return events
