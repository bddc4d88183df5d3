"""Listening sockets, and the loop that accepts connections on them."""

import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from pinspread.core.address import split_address
from pinspread.sockets.connection import Connection

BACKLOG = 512
LIMIT_PAUSE_S = 0.01  # before the limiter is asked again
ERROR_PAUSE_S = 0.05  # after accept failed, for example for lack of descriptors or memory
# Errors of accept that concern the listening socket itself, not a new connection.
LISTENER_ERRORS = (
    errno.EBADF,
    errno.EINVAL,
    errno.ENOTSOCK,
)


class Limiter(Protocol):
    """Decides whether another connection may be accepted, and counts the open ones."""

    def admit(self) -> bool:
        """Return whether another connection may be accepted now."""
        ...

    def add(self, connection: Connection) -> Any:
        """Count a connection; return the object that represents it in `remove`."""
        ...

    def remove(self, client: Any) -> None:
        """Stop counting a connection, given by the object that `add` returned."""
        ...


def listen(address: str) -> socket.socket:
    """Open a non-blocking listening socket on one address.

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
    """Run `serve(connection, client, *arguments)`, and count the connection while it runs."""
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
        sock: The listening socket; the caller closes it.
        tasks: The task group of the new tasks.
        serve: Called as `serve(connection)`, or as `serve(connection, client)` if there is a limiter.
        limiter: Asked before each accept.

    Raises:
        OSError: The listening socket itself is unusable.
    """
    while True:
        if limiter is not None and not limiter.admit():
            # Clients that took all descriptors would leave none for calls, notifications and the journal. A
            # new connection that is closed at once has failed for its client; left in the kernel's backlog,
            # it is accepted when another one has ended.
            await anyio.sleep(LIMIT_PAUSE_S)
            continue
        connection = await _accept(sock)
        if connection is None:
            continue
        if limiter is None:
            tasks.start_soon(serve, connection)
        else:
            tasks.start_soon(serve_counted, limiter, serve, connection)
        await anyio.lowlevel.checkpoint()  # a flood of new connections must not block the event loop


def accept_waiting(
    sock: socket.socket,
    tasks: TaskGroup,
    serve: Callable[..., Coroutine[Any, Any, None]],
    limiter: Limiter,
) -> None:
    """Accept the connections that wait in the backlog, as `accept_forever` does, before it is closed.

    What their clients have sent would be lost with the listening socket.
    """
    for _ in range(BACKLOG):
        if not limiter.admit():
            return
        try:
            connection = Connection(sock.accept()[0])
        except BlockingIOError:
            return
        except OSError:
            continue  # of a connection that has failed already
        tasks.start_soon(serve_counted, limiter, serve, connection)


async def _accept(sock: socket.socket) -> Connection | None:
    """Accept one connection; None after waiting for one, or if the connection or its accept failed."""
    try:
        peer, _ = sock.accept()
    except BlockingIOError:
        await anyio.wait_readable(sock)
        return None
    except OSError as error:
        # Any other error may concern only the new connection, so the listener goes on.
        if error.errno in LISTENER_ERRORS:
            raise
        # Without descriptors or memory for another connection, the open ones must still be served.
        await anyio.sleep(ERROR_PAUSE_S)
        return None
    try:
        return Connection(peer)
    except OSError:
        peer.close()  # the peer has reset the connection already
        return None
