"""The process's only clock: monotonic time in whole microseconds, read once per turn of the event loop."""

import asyncio
import time

from pinspread.core.time_units import NS_PER_US


class Clock:
    """Time that is constant during a turn of the event loop; Unix time is this plus a constant offset.

    Attributes:
        offset_us: Unix time minus monotonic time, in microseconds, as the state folder's records have it.
        wall_offset_us: The same by the wall clock at the start of this process, for the log.
    """

    def __init__(self) -> None:
        self._now_us = 0  # 0: not read yet in this turn
        self.wall_offset_us = time.time_ns() // NS_PER_US - time.monotonic_ns() // NS_PER_US
        self.offset_us = self.wall_offset_us

    def now(self) -> int:
        """Return the monotonic time of this turn in microseconds.

        The time is read at its first use and cached until the next turn begins, so that everything in one
        turn happens at the same time and costs one system call.
        """
        if not self._now_us:
            self._now_us = time.monotonic_ns() // NS_PER_US
            asyncio.get_running_loop().call_soon(self._reset)
        return self._now_us

    def _reset(self) -> None:
        self._now_us = 0

    def unix(self, monotonic_us: int) -> int:
        """Return the Unix time of a monotonic time, which itself is meaningless after a reboot."""
        return monotonic_us + self.offset_us

    def wall(self, monotonic_us: int) -> int:
        """Return the wall clock's time at a monotonic time, for the log."""
        return monotonic_us + self.wall_offset_us

    def monotonic(self, unix_us: int) -> int:
        """Return the monotonic time of a Unix time."""
        return unix_us - self.offset_us
