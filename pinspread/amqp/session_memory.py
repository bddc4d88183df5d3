"""The memory that one client's session holds, which counts towards a limit for all clients together."""

from enum import Enum

from pinspread.sockets import ClientConnection, ConnectionLimiter

CHANNEL_BYTES = 2048  # what an open channel takes
CONSUMER_BYTES = 2048  # what a consumer takes, with its names and its queue


class MemoryUse(Enum):
    """What a session holds memory for."""

    READ_BUFFER = 0
    CONTENTS = 1  # incomplete bodies of publishes
    CHANNELS = 2
    CONSUMERS = 3
    ANSWERS = 4  # that the client has not read


class SessionMemory:
    """Reserves memory for a session, each use by itself.

    Args:
        limiter: The limit for all clients together.
        client: The limiter's record of the session's connection.
    """

    def __init__(self, limiter: ConnectionLimiter, client: ClientConnection) -> None:
        self._limiter = limiter
        self._client = client
        self._sizes = dict.fromkeys(MemoryUse, 0)

    def reserve(self, use: MemoryUse, size: int) -> bool:
        """Set how many bytes are held for a use; false, without a change, if that exceeds the limit."""
        total = self._client.reserved_bytes + size - self._sizes[use]
        if not self._limiter.reserve(self._client, total):
            return False
        self._sizes[use] = size
        return True
