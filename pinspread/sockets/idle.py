"""Client connections that one process hands to the next."""

from dataclasses import dataclass

from pinspread.sockets.connection import Connection


@dataclass(slots=True)
class IdleConnection:
    """A caller leg that goes from one process to the next."""

    connection: Connection
    spoke: bool = False
    asked: bool = False
    errors: int = 0
    unread: bytes = b""  # read from it and not answered
    unsent: bytes = b""  # answered and not written
