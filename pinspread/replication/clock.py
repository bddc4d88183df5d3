"""The clocks that replication reads.

Callers use `clock.monotonic_us()` and `clock.unix_us()`, so that a test can replace both in this module.
"""

import time

from pinspread.membership.clock import monotonic_us as monotonic_us


def unix_us() -> int:
    """Return the Unix time in microseconds; generations are numbered by it, so a later start's is higher."""
    return time.time_ns() // 1000
