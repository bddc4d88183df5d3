"""The machine's monotonic clock, for the timers and log lines of the cluster."""

import time


def monotonic_us() -> int:
    """Return the machine's monotonic time in microseconds.

    All processes of a machine read the same clock, regardless of the clock offsets in their configuration, so
    that the log lines of several processes can be sorted by it (`mono_us`).
    """
    return time.monotonic_ns() // 1000
