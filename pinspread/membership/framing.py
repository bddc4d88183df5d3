"""Frames on streams between couriers: read whole and checked, as `wire` seals them."""

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from pinspread.membership import codec as wire

# What a stream that ends or breaks raises; none of it is a fault of what was said on it.
GONE = (
    OSError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Frames:
    """A stream of frames both ways, with the fleet's key and a bound on their size."""

    def __init__(self, stream, key: bytes, magic: bytes, most: int):
        self.stream, self.key, self.magic, self.most = stream, key, magic, most
        self.reader = BufferedByteReceiveStream(stream)

    async def get(self) -> dict:
        """The next message; `wire.Dropped` if it is not well-formed, GONE if there is none."""
        length, sum_ = wire.head(await self.reader.receive_exactly(wire.HEAD.size), self.magic)
        if length > self.most:
            raise wire.DatagramError(f"a frame of {length} bytes")
        return wire.body_of(await self.reader.receive_exactly(length), sum_, self.key)

    async def put(self, message: dict):
        """Send one message."""
        await self.stream.send(wire.pack(message, self.key, self.magic))
