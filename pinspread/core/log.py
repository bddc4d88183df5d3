"""The log: one JSON line an event on standard output."""

import os
import time

import orjson


def log(event: str, **fields):
    """Write one event; bytes are shown as text."""
    line = {"at_us": time.time_ns() // 1000, "event": event, **fields}
    data = orjson.dumps(line, default=_plain, option=orjson.OPT_APPEND_NEWLINE)
    try:
        os.write(1, data)
    except OSError:
        pass  # a closed log must not end the courier


def _plain(value):
    if isinstance(value, bytes | bytearray | memoryview):
        return bytes(value).decode("latin-1")
    return repr(value)
