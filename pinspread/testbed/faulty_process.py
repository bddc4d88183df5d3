"""Runs `python -m pinspread` with a wall clock that is stepped and with system calls that fail, by a seed.

`PINSPREAD_TESTBED_FAULTS` in the environment holds a `ProcessFaults` as JSON. The calls are patched in this
process only: sockets of IPv4, and the calls of the journal. A process started without this module has none.
"""

import errno
import os
import random
import runpy
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import orjson

VARIABLE = "PINSPREAD_TESTBED_FAULTS"
NS_PER_S = 1_000_000_000
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
UNCONNECTED = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED)
UNACCEPTED = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
UNOPENED = (errno.ENFILE, errno.ENOBUFS)
UNWRITTEN = (errno.ENOSPC, errno.EIO)
Call = Callable[..., Any]
START_S = 1.0  # calls fail only after this time, so that the process starts


@dataclass(frozen=True)
class ProcessFaults:
    """What is wrong with the process's clock and system calls.

    Attributes:
        seed: The seed of which calls fail and how.
        clock_step_s: By how many seconds the wall clock is wrong.
        clock_after_s: From when on, in seconds since the start.
        socket_failures: The share of calls on sockets that fail; as many again read or write less than asked.
        folder_fails_s: When the journal's writes fail, in seconds since the start: begin and end.
    """

    seed: int = 0
    clock_step_s: float = 0.0
    clock_after_s: float = 0.0
    socket_failures: float = 0.0
    folder_fails_s: tuple[float, float] = (0.0, 0.0)

    def environment(self) -> dict[str, str]:
        """Return the environment of a process with these faults."""
        return os.environ | {VARIABLE: orjson.dumps(asdict(self)).decode()}


def command(*arguments: str) -> list[str]:
    """Return the command that runs pinspread with the faults of its environment."""
    return [sys.executable, "-m", "pinspread.testbed.faulty_process", *arguments]


class FaultInjector:
    """Patches the clock and the system calls of this process."""

    def __init__(self, faults: ProcessFaults) -> None:
        self._faults = faults
        self._random = random.Random(faults.seed)
        self._start_s = time.monotonic()

    def install(self) -> None:
        """Patch the calls for which there are faults."""
        if self._faults.clock_step_s:
            self._patch_clock()
        if self._faults.socket_failures:
            self._patch_sockets()
        if self._faults.folder_fails_s[1]:
            self._patch_journal()

    def _running_s(self) -> float:
        return time.monotonic() - self._start_s

    def _patch_clock(self) -> None:
        true_time_ns = time.time_ns

        def time_ns() -> int:
            stepped = self._running_s() >= self._faults.clock_after_s
            return true_time_ns() + (int(self._faults.clock_step_s * NS_PER_S) if stepped else 0)

        time.time_ns = time_ns
        time.time = lambda: time_ns() / NS_PER_S

    # --- sockets ------------------------------------------------------------------------------------

    def _draw(self, sock: socket.socket) -> str:
        """Return what happens to a call: "fails", "short" or "" for nothing."""
        if sock.family != socket.AF_INET or self._running_s() < START_S:
            return ""
        draw = self._random.random() / self._faults.socket_failures
        return "fails" if draw < 1 else "short" if draw < 2 else ""

    def _error(self, numbers: tuple[int, ...]) -> OSError:
        number = self._random.choice(numbers)
        return OSError(number, f"injected {errno.errorcode[number]}")

    def _patch_sockets(self) -> None:
        replacements = {
            "send": self._faulty_send(socket.socket.send),
            "recv": self._faulty_recv(socket.socket.recv),
            "recv_into": self._faulty_recv_into(socket.socket.recv_into),
            "connect_ex": self._faulty_connect(socket.socket.connect_ex),
            "accept": self._faulty_accept(socket.socket.accept),
            "__init__": self._faulty_init(socket.socket.__init__),
        }
        for name, call in replacements.items():
            setattr(socket.socket, name, call)

    def _fails_or_short(self, sock: socket.socket) -> bool:
        """Return whether a call is short.

        Raises:
            OSError: The call fails.
        """
        fate = self._draw(sock)
        if fate == "fails":
            raise self._error(BROKEN)
        return bool(fate)

    def _faulty_send(self, true_call: Call) -> Call:
        def send(sock: socket.socket, data: Any, *flags: int) -> Any:
            view = memoryview(data)
            return true_call(
                sock, view[: max(1, len(view) // 2)] if self._fails_or_short(sock) else view, *flags
            )

        return send

    def _faulty_recv(self, true_call: Call) -> Call:
        def recv(sock: socket.socket, size: int, *flags: int) -> Any:
            return true_call(sock, max(1, size // 4096) if self._fails_or_short(sock) else size, *flags)

        return recv

    def _faulty_recv_into(self, true_call: Call) -> Call:
        def recv_into(sock: socket.socket, target: Any, *more: int) -> Any:
            view = memoryview(target)
            return true_call(
                sock, view[: max(1, len(view) // 512)] if self._fails_or_short(sock) else view, *more
            )

        return recv_into

    def _faulty_connect(self, true_call: Call) -> Call:
        def connect_ex(sock: socket.socket, address: Any) -> Any:
            if self._draw(sock) == "fails":
                return self._random.choice(UNCONNECTED)
            return true_call(sock, address)

        return connect_ex

    def _faulty_accept(self, true_call: Call) -> Call:
        def accept(sock: socket.socket) -> Any:
            if self._draw(sock) == "fails":
                raise self._error(UNACCEPTED)
            return true_call(sock)

        return accept

    def _faulty_init(self, true_call: Call) -> Call:
        def init(sock: socket.socket, *arguments: Any, **options: Any) -> None:
            true_call(sock, *arguments, **options)
            if options.get("fileno") is None and len(arguments) == 2 and self._draw(sock) == "fails":
                sock.close()
                raise self._error(UNOPENED)

        return init

    # --- the journal --------------------------------------------------------------------------------

    def _patch_journal(self) -> None:
        from pinspread.core import journal

        journal.os = FailingFiles(self)  # type: ignore[assignment,attr-defined]  # stands in for the module

    def folder_fails(self) -> bool:
        """Return whether the journal's writes fail now."""
        begin_s, end_s = self._faults.folder_fails_s
        return begin_s <= self._running_s() < end_s

    def write_failure(self) -> OSError | None:
        """Return the error of a write that fails; None if half of it is written."""
        return self._error(UNWRITTEN) if self._random.random() < 0.5 else None


class FailingFiles:
    """Stands in for the module `os`: calls that write fail while the folder does."""

    FAILING = ("write", "ftruncate", "rename", "open")

    def __init__(self, injector: FaultInjector) -> None:
        self._injector = injector

    def __getattr__(self, name: str) -> Any:
        """Return the call of `os`, which fails while the folder does."""
        call = getattr(os, name)
        if name not in self.FAILING:
            return call

        def maybe_failing(*arguments: Any) -> Any:
            if not self._injector.folder_fails():
                return call(*arguments)
            error = self._injector.write_failure()
            if name == "write" and error is None:
                descriptor, data = arguments
                return call(descriptor, data[: len(data) // 2])
            raise error or OSError(errno.EIO, "injected EIO")

        return maybe_failing


def main() -> None:
    """Inject the faults of the environment, and run pinspread."""
    faults = orjson.loads(os.environ[VARIABLE])
    faults["folder_fails_s"] = tuple(faults["folder_fails_s"])
    FaultInjector(ProcessFaults(**faults)).install()
    sys.argv[0] = "pinspread"
    runpy.run_module("pinspread", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
