"""Listening sockets, and the loop that accepts connections on them."""

import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from pinspread.sockets.address import split_address
from pinspread.sockets.connection import Connection

BACKLOG = 512
LIMIT_PAUSE_S = 0.01  # before the limiter is asked again
ERROR_PAUSE_S = 0.05  # after accept failed for want of descriptors or memory
LISTENER_ERRORS = (
    errno.EBADF,
    errno.EINVAL,
    errno.ENOTSOCK,
)  # of the listening socket, not of a new connection


class Limiter(Protocol):
    """What decides whether another connection may be accepted, and counts those that are open."""

    def admit(self) -> bool:
        """Whether another connection may be accepted now."""
        ...

    def add(self, connection: Connection) -> Any:
        """Count a connection; gives what stands for it from now on."""
        ...

    def remove(self, client: Any) -> None:
        """Stop counting what `add` gave."""
        ...


def listen(address: str) -> socket.socket:
    """Open a non-blocking listening socket on this address only.

    Raises:
        OSError: The address cannot be bound.
        ValueError: The address is not of the form `host:port`.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


async def serve_counted(
    limiter: Limiter,
    serve: Callable[..., Coroutine[Any, Any, None]],
    connection: Connection,
    *arguments: object,
) -> None:
    """Run `serve(connection, client, *arguments)`; the connection counts as long as that runs."""
    client = limiter.add(connection)
    try:
        await serve(connection, client, *arguments)
    finally:
        limiter.remove(client)


async def accept_forever(
    sock: socket.socket,
    tasks: TaskGroup,
    serve: Callable[..., Coroutine[Any, Any, None]],
    limiter: Limiter | None = None,
) -> None:
    """Accept connections until cancelled, and start a task for each.

    Args:
        sock: The listening socket, which stays the caller's.
        tasks: Where the tasks run.
        serve: Called as `serve(connection)`, or as `serve(connection, client)` where there is a limiter.
        limiter: Asked before each accept.

    Raises:
        OSError: The listening socket itself is unusable.
    """
    while True:
        if limiter is not None and not limiter.admit():
            # Clients that take all descriptors leave none for calls, notifications and the journal. Closed at
            # once, a new connection has failed; left with the kernel, it waits for another one to end.
            await anyio.sleep(LIMIT_PAUSE_S)
            continue
        connection = await _accept(sock)
        if connection is None:
            continue
        if limiter is None:
            tasks.start_soon(serve, connection)
        else:
            tasks.start_soon(serve_counted, limiter, serve, connection)
        await anyio.lowlevel.checkpoint()  # a flood of new connections must not hold the event loop


async def _accept(sock: socket.socket) -> Connection | None:
    """Accept one connection; None after a wait where there is none yet, or if it has failed already."""
    try:
        peer, _ = sock.accept()
    except BlockingIOError:
        await anyio.wait_readable(sock)
        return None
    except OSError as error:
        # Any other error of the network may be that of the new connection: the listener goes on.
        if error.errno in LISTENER_ERRORS:
            raise
        await anyio.sleep(ERROR_PAUSE_S)  # out of descriptors, or memory: those in use must not be lost
        return None
    try:
        return Connection(peer)
    except OSError:
        peer.close()  # reset already
        return None
