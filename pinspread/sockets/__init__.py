"""Non-blocking TCP: listeners, connections, read buffers and the limit on client connections."""

from pinspread.sockets.address import split_address
from pinspread.sockets.connection import Connection, dial
from pinspread.sockets.idle import IdleConnection
from pinspread.sockets.limiter import ClientConnection, ConnectionLimiter, in_room
from pinspread.sockets.listener import accept_forever, listen
from pinspread.sockets.read_buffer import ReadBuffer

__all__ = [
    "ClientConnection",
    "Connection",
    "ConnectionLimiter",
    "IdleConnection",
    "ReadBuffer",
    "accept_forever",
    "dial",
    "in_room",
    "listen",
    "split_address",
]
