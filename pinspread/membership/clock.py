"""The machine's monotonic clock, as log lines and timers of the cluster read it."""

import time


def monotonic_us() -> int:
    """Return the machine's monotonic time in microseconds.

    It is the same clock for all processes of a machine, whatever clock offsets they are configured with, so
    that the log lines of several processes (`mono_us`) can be put in one order.
    """
    return time.monotonic_ns() // 1000
