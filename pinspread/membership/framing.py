"""Frames on streams between members: length-prefixed and with a checksum, as `codec` encodes them."""

from typing import Any

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from pinspread.errors import PinspreadError
from pinspread.membership import codec

# What anyio raises if a stream has ended or is broken.
_DISCONNECT_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ConnectionClosedError(PinspreadError, ConnectionError):
    """The stream has ended or is broken; the frames received before that were valid."""


class FrameStream:
    """A stream of messages in both directions.

    Args:
        stream: The connected byte stream; the caller has to close it.
        key: The fleet's key, which the checksum of each frame covers.
        magic: The three bytes that identify the protocol of the frames.
        max_frame_bytes: The maximum length of a frame's body, in bytes.
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
            ConnectionClosedError: The stream has ended or broken before a complete frame was received.
        """
        length, checksum = codec.parse_header(await self._read(codec.HEADER.size), self.magic)
        if length > self.max_frame_bytes:
            raise codec.DatagramError(
                f"frame of {length} bytes exceeds the limit of {self.max_frame_bytes} bytes"
            )
        return codec.parse_body(await self._read(length), checksum, self.key)

    async def send(self, message: dict[str, Any]) -> None:
        """Send one message.

        Raises:
            ConnectionClosedError: The stream has ended or is broken.
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
