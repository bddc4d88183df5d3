"""Listening sockets: the one that the platform holds for all processes of a node, and the process's own."""

import errno
import os
import socket

import anyio

from pinspread import sockets
from pinspread.core.log import log

LISTEN_RETRY_S = 0.05  # between attempts to listen on an address that another process still uses
LISTEN_ATTEMPTS = 40


async def listen(address: str, leaving: anyio.Event) -> socket.socket:
    """Open a listening socket, retrying for 2 s while the address is in use by a process that is ending.

    Raises:
        OSError: The address cannot be bound, or is still in use after 2 s or once `leaving` is set.
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
    """The listening socket that the platform passed; None if it passed none, or one that is unusable."""
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
        raise OSError("descriptor is not a listening socket")
    sock.setblocking(False)
    return sock
