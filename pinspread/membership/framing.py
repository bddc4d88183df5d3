"""Frames on streams between members: length-prefixed and checked, as `codec` encodes them."""

from typing import Any

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from pinspread.errors import PinspreadError
from pinspread.membership import codec

# What anyio raises on a stream that ends or breaks.
_DISCONNECT_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ConnectionClosedError(PinspreadError, ConnectionError):
    """The stream has ended or is broken; nothing is wrong with what was received on it."""


class FrameStream:
    """A stream of messages in both directions.

    Args:
        stream: The connected byte stream; it stays the caller's to close.
        key: The fleet's key, which enters the checksum of each frame.
        magic: The three bytes that tell which protocol the frames are of.
        max_frame_bytes: The longest body that is accepted.
    """

    def __init__(self, stream: anyio.abc.ByteStream, key: bytes, magic: bytes, max_frame_bytes: int):
        self.stream = stream
        self.key = key
        self.magic = magic
        self.max_frame_bytes = max_frame_bytes
        self._reader = BufferedByteReceiveStream(stream)

    async def receive(self) -> dict[str, Any]:
        """Return the next message.

        Raises:
            DatagramError: The frame is too long, of another fleet or protocol, or damaged.
            ConnectionClosedError: The stream ended before a complete frame.
        """
        length, checksum = codec.parse_head(await self._read(codec.HEAD.size), self.magic)
        if length > self.max_frame_bytes:
            raise codec.DatagramError(f"a frame of {length} bytes")
        return codec.parse_body(await self._read(length), checksum, self.key)

    async def send(self, message: dict[str, Any]) -> None:
        """Send one message.

        Raises:
            ConnectionClosedError: The stream has ended.
        """
        try:
            await self.stream.send(codec.encode(message, self.key, self.magic))
        except _DISCONNECT_ERRORS as error:
            raise ConnectionClosedError(str(error)) from error

    async def _read(self, count: int) -> bytes:
        try:
            return await self._reader.receive_exactly(count)
        except _DISCONNECT_ERRORS as error:
            raise ConnectionClosedError(str(error)) from error
