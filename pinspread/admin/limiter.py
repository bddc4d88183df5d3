"""The limit on the operators' connections: a new one is always admitted, and the oldest gives way."""

from pinspread.sockets import Connection

MAX_CONNECTIONS = 32
MIN_CONNECTIONS = 4
DESCRIPTORS_PER_CONNECTION = 24  # one connection for so many descriptors of the process


class OldestFirstLimiter:
    """Counts connections, and ends the oldest where there are too many.

    Hundreds of clients that send nothing would keep the operators out. A true request is there to be read at
    once, many accepts before its connection's turn to give way.

    Args:
        descriptors: How many descriptors the process may have open.

    Attributes:
        connections: Those that are open, oldest first.
        max_connections: How many may be open together.
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
        """Stop counting a connection, which has ended."""
        self.connections.pop(connection, None)
