"""Listening sockets: the one that the platform holds for all processes of a node, and this process's own."""

import errno
import os
import socket

import anyio

from pinspread import sockets
from pinspread.core.log import log

LISTEN_RETRY_S = 0.05  # between attempts to listen where another process still does
LISTEN_ATTEMPTS = 40


async def listen(address: str, leaving: anyio.Event) -> socket.socket:
    """A listening socket; a process that is just ending may still hold the address.

    Raises:
        OSError: The address cannot be had in 2 s, or not before `leaving` is set.
    """
    for _ in range(LISTEN_ATTEMPTS):
        try:
            return sockets.listen(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or leaving.is_set():
                raise
            log("address_in_use", address=address)
            await anyio.sleep(LISTEN_RETRY_S)
    return sockets.listen(address)


def inherited_listener(descriptor: int | None) -> socket.socket | None:
    """The listening socket that the platform holds for all processes of a node; None if there is none."""
    if descriptor is None:
        return None
    try:
        return _listening_copy(descriptor)
    except OSError as error:
        log("no_passed_socket", number=descriptor, error=str(error))
        return None


def _listening_copy(descriptor: int) -> socket.socket:
    sock = socket.socket(fileno=os.dup(descriptor))
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError("it does not listen")
    sock.setblocking(False)
    return sock
