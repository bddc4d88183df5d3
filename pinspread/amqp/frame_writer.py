"""A queue of frames to a client, so that a sender need not wait until they are written."""

import anyio
from pamqp import base, commands, frame

from pinspread.amqp.frame_stream import FrameStream
from pinspread.amqp.frames import marshal_content
from pinspread.core.log import log

MAX_UNSENT_BYTES = 4 << 20  # queued for a client that does not read; above this its connection is closed
PAUSE_BYTES = 1 << 16  # queued bytes above which no more requests of the client are handled
PAUSE_TIMEOUT_S = 30.0  # for a client that sends requests to read their answers


class FrameWriter:
    """The queue of frames to be written to one client.

    Args:
        stream: The client's connection.
    """

    def __init__(self, stream: FrameStream) -> None:
        self._stream = stream
        self._unsent = bytearray()
        self._writing = 0  # bytes that were taken from the queue and are not written yet
        self._wake = anyio.Event()
        self._written = anyio.Event()

    @property
    def queued_bytes(self) -> int:
        """How many bytes are held for the client."""
        return len(self._unsent) + self._writing

    async def wait_until_read(self) -> None:
        """Wait until the client has read what it was sent, up to `PAUSE_BYTES`.

        Without this wait, the answers to a client that only sends would take up ever more memory.

        Raises:
            TimeoutError: The client does not read.
        """
        with anyio.fail_after(PAUSE_TIMEOUT_S):
            while self.queued_bytes > PAUSE_BYTES:
                await self._written.wait()

    def send(self, channel: int, method: base.Frame) -> None:
        """Queue a method."""
        self._append(frame.marshal(method, channel))

    def send_content(
        self, channel: int, method: base.Frame, properties: commands.Basic.Properties, body: bytes
    ) -> None:
        """Queue a method with its content."""
        self._append(marshal_content(method, properties, body, channel, self._stream.frame_max))

    def _append(self, data: bytes) -> None:
        self._unsent += data
        self._wake.set()
        if len(self._unsent) > MAX_UNSENT_BYTES:
            # Without a limit, the frames for a client that does not read would take up ever more memory.
            log("amqp_connection_closed", error="the client does not read")
            self._stream.connection.shutdown()

    async def run(self) -> None:
        """Write queued frames until cancelled, or until the connection fails with OSError."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._unsent:
                await self.flush()

    async def flush(self) -> None:
        """Write the frames queued so far."""
        data = self._take()
        self._writing += len(data)
        try:
            await self._stream.write(data)
        finally:
            self._writing -= len(data)
            self._written.set()
            self._written = anyio.Event()

    def _take(self) -> bytes:
        """Empty the queue and return its bytes, which the caller must write.

        If they stayed in the queue during the write, another task could write them a second time.
        """
        data, self._unsent = bytes(self._unsent), bytearray()
        return data
