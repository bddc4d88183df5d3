"""Frames that wait to be written to a client, so that whoever sends them need not wait."""

import anyio
from pamqp import base, commands, frame

from pinspread.amqp.frame_stream import FrameStream
from pinspread.amqp.frames import marshal_content
from pinspread.core.log import log

MAX_UNSENT_BYTES = 4 << 20  # that a client may leave unread before its connection is ended


class FrameWriter:
    """The frames to be written to one client, in their order.

    Args:
        stream: The client's connection.
    """

    def __init__(self, stream: FrameStream) -> None:
        self._stream = stream
        self._unsent = bytearray()
        self._wake = anyio.Event()

    def send(self, channel: int, method: base.Frame) -> None:
        """Have a method written."""
        self._append(frame.marshal(method, channel))

    def send_content(
        self, channel: int, method: base.Frame, properties: commands.Basic.Properties, body: bytes
    ) -> None:
        """Have a method with its content written."""
        self._append(marshal_content(method, properties, body, channel, self._stream.frame_max))

    def _append(self, data: bytes) -> None:
        self._unsent += data
        self._wake.set()
        if len(self._unsent) > MAX_UNSENT_BYTES:
            # Without a limit, all that a client does not read would be kept in memory.
            log("amqp_connection_closed", error="the client does not read")
            self._stream.connection.shutdown()

    async def run(self) -> None:
        """Write what waits until cancelled, or until the connection fails with OSError."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._unsent:
                await self._stream.write(self._take())

    async def flush(self) -> None:
        """Write what waits now, before the last words of the connection."""
        await self._stream.write(self._take())

    def _take(self) -> bytes:
        """What waits, which whoever takes it must write: left here meanwhile, it would be written twice."""
        data, self._unsent = bytes(self._unsent), bytearray()
        return data
