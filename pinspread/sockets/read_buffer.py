"""A buffer of what has been read from a connection and is not consumed yet."""

LEAST_BUFFER = 1 << 13


class ReadBuffer:
    """Bytes read and not yet consumed; slices of it are good until the next read."""

    def __init__(self, hold=None):
        self.data = bytearray(LEAST_BUFFER)
        self.start = self.end = 0
        self.hold = hold or (lambda size: True)  # asked before it grows; ConnectionRefusedError if it may not

    def view(self) -> memoryview:
        """What is to be parsed."""
        return memoryview(self.data)[self.start : self.end]

    def put(self, data: bytes):
        """Have bytes in it that were read elsewhere."""
        self.data = bytearray(max(LEAST_BUFFER, 2 * len(data)))
        self.data[: len(data)] = data
        self.start, self.end = 0, len(data)

    def consume(self, size: int):
        """Done with that much of the view."""
        self.start += size
        if self.start == self.end:
            self.start = self.end = 0

    def room(self) -> memoryview:
        """A writable slice behind what is held, made larger or moved to the front where it is short."""
        if not self.end and len(self.data) > LEAST_BUFFER:
            self.data = bytearray(LEAST_BUFFER)
        if len(self.data) - self.end < LEAST_BUFFER // 4:
            held = bytes(self.view())
            if len(held) > len(self.data) // 2:
                if not self.hold(2 * len(self.data)):
                    raise ConnectionRefusedError("no room for more of it")
                self.data = bytearray(2 * len(self.data))
            self.data[: len(held)] = held
            self.start, self.end = 0, len(held)
        return memoryview(self.data)[self.end :]

    async def fill(self, connection) -> bool:
        """Read once; false at the end."""
        got = await connection.read_into(self.room())
        self.end += got
        return got > 0
