"""Servers on loopback, and waiting for conditions, for stand-ins and tests."""

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from socket import socket
from typing import Protocol

import anyio

from pinspread import sockets
from pinspread.errors import PinspreadError

POLL_INTERVAL_S = 0.005


class ConditionTimeoutError(PinspreadError):
    """A condition did not hold within its time-out."""


class Server(Protocol):
    """A server that serves a listening socket until it is cancelled."""

    async def run(self, sock: socket) -> None:
        """Serve the socket's connections."""


def listener() -> tuple[socket, str]:
    """Return a listening socket on a free loopback port, and its address."""
    sock = sockets.listen("127.0.0.1:0")
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


async def wait_until(condition: Callable[[], object], timeout_s: float = 5.0) -> None:
    """Wait until a condition holds.

    Raises:
        ConditionTimeoutError: It did not hold within `timeout_s`.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline_s:
            raise ConditionTimeoutError(f"the condition did not hold within {timeout_s} s")
        await anyio.sleep(POLL_INTERVAL_S)


@asynccontextmanager
async def serve_on_loopback(server: Server) -> AsyncIterator[str]:
    """Serve on a free loopback port while the context lasts; yields the address."""
    sock, address = listener()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, sock)
        yield address
        tasks.cancel_scope.cancel()
    sock.close()
