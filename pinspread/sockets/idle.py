"""Client connections on their way from one process to the next."""

from dataclasses import dataclass

from pinspread.sockets.connection import Connection


@dataclass(slots=True)
class IdleConnection:
    """A client connection that nobody serves just now, with all that the next server of it needs.

    Attributes:
        connection: The connection itself.
        answered: A command of it has been answered without an error.
        submitted: It has submitted a message.
        errors: How many malformed commands it has sent.
        unread: Bytes that were read from it and not answered yet.
        unsent: Bytes of replies that were not written yet.
    """

    connection: Connection
    answered: bool = False
    submitted: bool = False
    errors: int = 0
    unread: bytes = b""
    unsent: bytes = b""
