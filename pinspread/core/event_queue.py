"""Events for the delivery policy's next turn, and the timers that the policy has set."""

from heapq import heappop, heappush

import anyio

from pinspread.policy.events import Event, TimerFired


class EventQueue:
    """Queues events for the next turn of the engine, and wakes the engine to run it.

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
        """Queue an event for the policy's next turn, and start that turn."""
        self.inbox.append(event)
        self._wake.set()

    def wake(self) -> None:
        """Start a turn even if there are no events."""
        self._wake.set()

    def set_timer(self, due_us: int, tag: int) -> None:
        """Set a timer of the policy, which fires in the first turn at or after its due time.

        Args:
            due_us: When it is due, in microseconds of the monotonic clock.
            tag: What the policy recognizes the timer by.
        """
        heappush(self.timers, (due_us, tag))

    def next_due_us(self) -> int | None:
        """Return when the next timer is due, in microseconds of the monotonic clock; None without timers."""
        return self.timers[0][0] if self.timers else None

    async def wait(self, timeout_s: float | None) -> None:
        """Wait until the engine is woken, at most this many seconds."""
        with anyio.move_on_after(timeout_s):
            await self._wake.wait()
        self._wake = anyio.Event()

    def take(self, now_us: int) -> list[Event]:
        """Remove and return all events, followed by those of the timers that are due."""
        events, self.inbox = self.inbox, []
        while self.timers and self.timers[0][0] <= now_us:
            events.append(TimerFired(heappop(self.timers)[1]))
        return events
