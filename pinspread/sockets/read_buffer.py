"""The read buffer between a connection and the parser of its protocol."""

from collections.abc import Callable

from pinspread.sockets.connection import Connection

MIN_SIZE = 1 << 13  # bytes; an empty buffer shrinks to this size
MIN_FREE = MIN_SIZE // 4  # bytes; with less free space at the end, the data is moved or the buffer grown


class ReadBuffer:
    """Bytes that were read and are not consumed yet. Slices of it are valid until the next read.

    Args:
        reserve: Called with the new size in bytes before the buffer grows; returns false if it may not. It is
            called with 0 once the buffer has its smallest size again.

    Attributes:
        data: The buffer.
        start: Position of the first unconsumed byte in `data`.
        end: Position after the last one.
    """

    def __init__(self, reserve: Callable[[int], bool] | None = None) -> None:
        self.data = bytearray(MIN_SIZE)
        self.start = self.end = 0
        self.reserve = reserve or (lambda size: True)

    def view(self) -> memoryview:
        """Return the unconsumed bytes."""
        return memoryview(self.data)[self.start : self.end]

    def preload(self, data: bytes) -> None:
        """Fill the buffer with bytes that another process read, also above the limit on memory."""
        self.data = bytearray(max(MIN_SIZE, 2 * len(data)))
        if len(self.data) > MIN_SIZE:
            self.reserve(len(self.data))
        self.data[: len(data)] = data
        self.start, self.end = 0, len(data)

    def consume(self, size: int) -> None:
        """Drop this many bytes from the start of the view."""
        self.start += size
        if self.start == self.end:
            self.start = self.end = 0

    def writable(self) -> memoryview:
        """Return the free space after the unconsumed bytes; if it is short, move them or grow the buffer.

        Raises:
            ConnectionRefusedError: The buffer would have to grow but must not.
        """
        if not self.end and len(self.data) > MIN_SIZE:
            self.data = bytearray(MIN_SIZE)
            self.reserve(0)
        if len(self.data) - self.end < MIN_FREE:
            size = len(self.data)
            if self.end - self.start > size // 2:
                size *= 2
                if not self.reserve(size):
                    raise ConnectionRefusedError(
                        f"read buffer must not grow to {size} bytes: memory limit reached"
                    )
            self._move(size)
        return memoryview(self.data)[self.end :]

    def _move(self, size: int) -> None:
        """Move the unconsumed bytes to the start, of a new buffer if the size differs."""
        unconsumed = bytes(self.view())
        if size != len(self.data):
            self.data = bytearray(size)
        self.data[: len(unconsumed)] = unconsumed
        self.start, self.end = 0, len(unconsumed)

    def clear(self) -> None:
        """Drop all unconsumed bytes, and the memory that they take."""
        self.start = self.end = 0
        if len(self.data) > MIN_SIZE:
            self.data = bytearray(MIN_SIZE)
            self.reserve(0)

    async def fill(self, connection: Connection, max_bytes: int | None = None) -> bool:
        """Read once from the connection, at most `max_bytes`; false at the end of the stream.

        Raises:
            ConnectionRefusedError: The buffer would have to grow but must not.
            OSError: The connection is broken.
        """
        size = await connection.read_into(self.writable()[:max_bytes])
        self.end += size
        return size > 0
