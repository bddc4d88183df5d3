"""The history of a cluster test: the events of all its processes, one JSON line each, in monotonic time."""

import queue
import threading
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

Line = Mapping[str, Any]


def monotonic_us() -> int:
    """The monotonic clock in microseconds, which all processes of the machine share."""
    return time.monotonic_ns() // 1000


class History:
    """Collects events from several threads and writes them to a file in a separate thread.

    In the caller's thread, a slow disk would stall the proxy, and with it all traffic between the couriers.
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
        """Add a line that already has its time (`mono_us`) and origin (`who`)."""
        with self._lock:
            self._lines.append(line)
        self._unwritten.put(line)

    def lines(self) -> list[Line]:
        """The lines so far, in the order in which they were added."""
        with self._lock:
            return list(self._lines)

    def close(self) -> None:
        """Write the remaining lines and close the file."""
        self._unwritten.put(None)
        self._writer.join()

    def _write(self) -> None:
        with open(self._path, "wb") as file:
            while (line := self._unwritten.get()) is not None:
                file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
