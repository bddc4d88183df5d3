"""The history of a cluster's test: one JSON line an event, of all processes, in monotonic time."""

import queue
import threading
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

Line = Mapping[str, Any]


def monotonic_us() -> int:
    """The machine's monotonic clock in microseconds, which is one for all its processes."""
    return time.monotonic_ns() // 1000


class History:
    """Collects lines from several threads and writes them to a file from a thread of its own.

    A slow disk would otherwise stall the proxy, and with it all that the couriers say to each other.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[Line] = []
        self._lock = threading.Lock()
        self._unwritten: queue.SimpleQueue[Line | None] = queue.SimpleQueue()
        self._writer = threading.Thread(target=self._write, daemon=True)
        self._writer.start()

    def add(self, who: str, event: str, **fields: object) -> None:
        """Add an event that happens now."""
        self.add_line({"mono_us": monotonic_us(), "who": who, "event": event, **fields})

    def add_line(self, line: Line) -> None:
        """Add a line that has its time and origin."""
        with self._lock:
            self._lines.append(line)
        self._unwritten.put(line)

    def lines(self) -> list[Line]:
        """The lines so far, in order of their addition."""
        with self._lock:
            return list(self._lines)

    def close(self) -> None:
        """Write what is left and close the file."""
        self._unwritten.put(None)
        self._writer.join()

    def _write(self) -> None:
        with open(self._path, "wb") as file:
            while (line := self._unwritten.get()) is not None:
                file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
