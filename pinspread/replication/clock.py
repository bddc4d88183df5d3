"""The clocks that replication reads; callers name the module, so that a test can stop both."""

import time

from pinspread.membership.service import machine_us


def monotonic_us() -> int:
    """Return the machine's monotonic time in microseconds."""
    return int(machine_us())


def unix_us() -> int:
    """Return Unix microseconds: the generation of a later start is higher."""
    return time.time_ns() // 1000
