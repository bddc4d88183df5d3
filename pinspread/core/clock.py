"""The one clock: whole microseconds on the monotonic clock, read once a turn of the event loop."""

import asyncio
import time


class Clock:
    """`now()` is the time of this turn of the loop; Unix time is it plus an offset taken at the start."""

    def __init__(self):
        self._now = 0
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """The time of this turn: read at its first use, forgotten when the next turn begins."""
        if not self._now:
            self._now = time.monotonic_ns() // 1000
            asyncio.get_running_loop().call_soon(self._forget)
        return self._now

    def _forget(self):
        self._now = 0

    def unix(self, monotonic_us: int) -> int:
        """The Unix time of a monotonic time, for the journal: monotonic time dies with the boot."""
        return monotonic_us + self.offset_us

    def monotonic(self, unix_us: int) -> int:
        """The monotonic time of a Unix time."""
        return unix_us - self.offset_us
