"""The limit on connections to the admin server: a new one is always admitted, the oldest is closed for it."""

from pinspread.sockets import Connection

MAX_CONNECTIONS = 32
MIN_CONNECTIONS = 4
DESCRIPTORS_PER_CONNECTION = 24  # descriptors of the process for each connection that is allowed


class OldestFirstLimiter:
    """Counts connections, and ends the oldest one to make room for a new one.

    Otherwise hundreds of clients that send nothing would keep operators out. A real request arrives right
    after its connection is accepted, and is read many accepts before that connection becomes the oldest.

    Args:
        descriptors: Maximum number of open descriptors of the process.

    Attributes:
        connections: The open connections, oldest first.
        max_connections: Maximum number of open connections.
    """

    def __init__(self, descriptors: int) -> None:
        self.max_connections = max(
            MIN_CONNECTIONS, min(MAX_CONNECTIONS, descriptors // DESCRIPTORS_PER_CONNECTION)
        )
        self.connections: dict[Connection, None] = {}

    def admit(self) -> bool:
        """Make room for another connection; always true."""
        if len(self.connections) >= self.max_connections:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.shutdown()
        return True

    def add(self, connection: Connection) -> Connection:
        """Count a connection."""
        self.connections[connection] = None
        return connection

    def remove(self, connection: Connection) -> None:
        """Stop counting a connection that has ended."""
        self.connections.pop(connection, None)
