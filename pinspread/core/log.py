"""The log: one JSON line an event on standard output."""

from __future__ import annotations

import os
import select
import time
from typing import TYPE_CHECKING, Any

import orjson

from pinspread.core.time_units import NS_PER_US

if TYPE_CHECKING:
    from pinspread.core.clock import Clock

MAX_LINE_BYTES = 4096  # what a pipe that is ready takes whole
STANDARD_OUTPUT = 1

_dropped = 0  # lines since the last one that was written
_clock: Clock | None = None


def use_clock(clock: Clock) -> None:
    """Have lines bear the time of the event loop's turn from now on, rather than one of their own."""
    global _clock
    _clock = clock


def log(event: str, **fields: Any) -> None:
    """Write one event with its fields, the Unix time in microseconds before them; bytes are shown as text.

    Nothing is raised, and nothing waits: a line that standard output does not take at once is dropped, and
    the next one that is written says how many were.
    """
    global _dropped
    at_us = _clock.unix(_clock.now()) if _clock else time.time_ns() // NS_PER_US
    line = {"at_us": at_us, "event": event, **fields}
    if _dropped:
        line["dropped_before"] = _dropped
    data = orjson.dumps(line, default=_as_text, option=orjson.OPT_APPEND_NEWLINE)
    if len(data) > MAX_LINE_BYTES:
        data = b'{"at_us":%d,"event":"%s","too_long":%d}\n' % (at_us, event.encode(), len(data))
    try:
        # A reader of the log that stalls would stall the process, whose clients wait 400 ms at most.
        if select.select([], [STANDARD_OUTPUT], [], 0)[1]:
            os.write(STANDARD_OUTPUT, data)
            _dropped = 0
        else:
            _dropped += 1
    except (OSError, ValueError):
        pass  # a closed log must not end the process


def _as_text(value: object) -> str:
    if isinstance(value, bytes | bytearray | memoryview):
        return bytes(value).decode("latin-1")
    return repr(value)
