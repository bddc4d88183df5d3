"""The log: one line of JSON per event on standard output."""

from __future__ import annotations

import os
import select
import time
from typing import TYPE_CHECKING, Any

import orjson

from pinspread.core.time_units import NS_PER_US

if TYPE_CHECKING:
    from pinspread.core.clock import Clock

MAX_LINE_BYTES = 4096  # a pipe that is ready for writing accepts this many bytes in one write
STANDARD_OUTPUT = 1

_dropped = 0  # number of lines dropped since the last line that was written
_clock: Clock | None = None


def use_clock(clock: Clock) -> None:
    """Stamp lines with the time of the event loop's turn from now on, instead of the current time."""
    global _clock
    _clock = clock


def log(event: str, **fields: Any) -> None:
    """Write one event with its Unix time in microseconds and its fields; bytes are decoded as Latin-1.

    Never raises, and never blocks: a line that standard output does not accept at once is dropped, and the
    next line that is written has the number of dropped lines.
    """
    global _dropped
    unix_us = _clock.wall(_clock.now()) if _clock else time.time_ns() // NS_PER_US
    line = {"at_us": unix_us, "event": event, **fields}
    if _dropped:
        line["dropped_before"] = _dropped
    data = orjson.dumps(line, default=_as_text, option=orjson.OPT_APPEND_NEWLINE)
    if len(data) > MAX_LINE_BYTES:
        data = b'{"at_us":%d,"event":"%s","too_long":%d}\n' % (unix_us, event.encode(), len(data))
    try:
        # A stalled reader of the log must not stall the process: its clients wait 400 ms at most.
        if select.select([], [STANDARD_OUTPUT], [], 0)[1]:
            os.write(STANDARD_OUTPUT, data)
            _dropped = 0
        else:
            _dropped += 1
    except (OSError, ValueError):
        pass  # closed standard output must not end the process


def _as_text(value: object) -> str:
    if isinstance(value, bytes | bytearray | memoryview):
        return bytes(value).decode("latin-1")
    return repr(value)
