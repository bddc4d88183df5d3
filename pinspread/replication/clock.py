"""The clocks that replication reads; callers name the module, so that a test can stop both."""

import time

from pinspread.membership.clock import monotonic_us as monotonic_us


def unix_us() -> int:
    """Return Unix microseconds: the generation of a later start is higher."""
    return time.time_ns() // 1000
