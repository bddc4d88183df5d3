"""Listening sockets, and the loop that accepts connections on them."""

import errno
import socket

import anyio
import anyio.lowlevel

from pinspread.sockets.address import split_address
from pinspread.sockets.connection import Connection
from pinspread.sockets.limiter import ConnectionLimiter, in_room

FULL_S = 0.01


def listen(address: str) -> socket.socket:
    """A listening socket on this address only."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(512)
    sock.setblocking(False)
    return sock


async def accept_forever(sock: socket.socket, tasks, serve, room: ConnectionLimiter | None = None):
    """Start `serve(connection)` for each connection that comes and finds room; with a leg, if it counts."""
    while True:
        if room and not room.make():
            # Danger: callers that take all descriptors leave none for branches, notices and the journal.
            # Closed at once, a newcomer has failed; left with the kernel, it waits for a leg to end.
            await anyio.sleep(FULL_S)
            continue
        try:
            peer, _ = sock.accept()
        except BlockingIOError:
            await anyio.wait_readable(sock)
            continue
        except OSError as error:
            # Danger: accept also tells what befell a newcomer on its way, by any of the network's errors.
            if error.errno in (errno.EBADF, errno.EINVAL, errno.ENOTSOCK):
                raise
            await anyio.sleep(0.05)  # out of descriptors, or memory: those in use must not be lost
            continue
        try:
            connection = Connection(peer)
        except OSError:
            peer.close()  # gone already
            continue
        tasks.start_soon(*((in_room, room, serve) if room else (serve,)), connection)
        await anyio.lowlevel.checkpoint()  # Danger: a flood of newcomers would hold the loop
