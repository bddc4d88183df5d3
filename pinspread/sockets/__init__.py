"""Non-blocking TCP: listeners, connections, read buffers and the limit on client connections."""

from pinspread.core.address import split_address
from pinspread.sockets.connection import SHOWN_BYTES, Connection, UnexpectedBytesError, dial
from pinspread.sockets.idle import IdleConnection
from pinspread.sockets.limiter import ClientConnection, ConnectionLimiter, StreamEnd
from pinspread.sockets.listener import Limiter, accept_forever, accept_waiting, listen, serve_counted
from pinspread.sockets.read_buffer import ReadBuffer

__all__ = [
    "SHOWN_BYTES",
    "ClientConnection",
    "Connection",
    "ConnectionLimiter",
    "IdleConnection",
    "Limiter",
    "ReadBuffer",
    "StreamEnd",
    "UnexpectedBytesError",
    "accept_forever",
    "accept_waiting",
    "dial",
    "listen",
    "serve_counted",
    "split_address",
]
