"""Client connections that one process passes to the next."""

from dataclasses import dataclass

from pinspread.sockets.connection import Connection


@dataclass(slots=True)
class IdleConnection:
    """A client connection that no task serves at present, with the state that is needed to go on serving it.

    Attributes:
        connection: The connection.
        answered: At least one of its commands was answered without an error.
        submitted: The client has submitted a message.
        errors: Number of malformed commands that the client has sent.
        unread: Bytes that were read from it and are not answered yet.
        unsent: Bytes of replies that are not written yet.
    """

    connection: Connection
    answered: bool = False
    submitted: bool = False
    errors: int = 0
    unread: bytes = b""
    unsent: bytes = b""

    def is_answered(self) -> bool:
        """Return whether nothing that the client sent is unanswered, here or unread in the kernel."""
        return not self.unread and not self.unsent and self.connection.is_idle()
