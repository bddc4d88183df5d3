"""The log: one JSON line an event on standard output."""

import os
import select
import time

import orjson

MOST_LINE = 4096  # what a pipe that is ready takes whole
_dropped = 0
_clock = None


def use(clock):
    """From now on lines bear the time of the loop's turn, not one of their own."""
    global _clock
    _clock = clock


def log(event: str, **fields):
    """Write one event; bytes are shown as text."""
    global _dropped
    at_us = _clock.unix(_clock.now()) if _clock else time.time_ns() // 1000
    line = {"at_us": at_us, "event": event, **fields}
    if _dropped:
        line["dropped_before"] = _dropped
    data = orjson.dumps(line, default=_plain, option=orjson.OPT_APPEND_NEWLINE)
    if len(data) > MOST_LINE:
        data = b'{"at_us":%d,"event":"%s","too_long":%d}\n' % (at_us, event.encode(), len(data))
    try:
        # Danger: a reader of the log that stalls would stall the courier, whose clients wait 400 ms.
        if select.select([], [1], [], 0)[1]:
            os.write(1, data)
            _dropped = 0
        else:
            _dropped += 1
    except (OSError, ValueError):
        pass  # a closed log must not end the courier


def _plain(value):
    if isinstance(value, bytes | bytearray | memoryview):
        return bytes(value).decode("latin-1")
    return repr(value)
