"""Frames on one connection: one task reads them, and any task may write."""

from collections.abc import Callable

import anyio
from pamqp import base, commands, frame, heartbeat

from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.amqp.frames import FRAME_MAX, PROTOCOL_HEADER, ParsedFrame, Payload, parse_frame
from pinspread.core.clock import Clock
from pinspread.core.time_units import US_PER_S
from pinspread.sockets import Connection, ReadBuffer

MISSED_HEARTBEATS = 2  # intervals of silence after which the connection counts as lost


class FrameStream:
    """The frames of one connection.

    Args:
        connection: The TCP connection, which the caller closes.
        clock: Measures how long the other side has been silent.
        reserve: As for `ReadBuffer`.
        partly_received: Called when a part of a frame has been received, and the rest is awaited.

    Attributes:
        frame_max: Bytes of the largest frame that the two sides have agreed on.
        received_us: When bytes last arrived, in microseconds of the monotonic clock.
        lock: Held by the task that writes.
    """

    def __init__(
        self,
        connection: Connection,
        clock: Clock,
        reserve: Callable[[int], bool] | None = None,
        partly_received: Callable[[], None] | None = None,
    ) -> None:
        self.connection = connection
        self.clock = clock
        self.buffer = ReadBuffer(reserve)
        self._partly_received = partly_received
        self.frame_max = FRAME_MAX
        self.received_us = clock.now()
        self.lock = anyio.Lock()

    async def read_protocol_header(self) -> bytes:
        """Read the eight bytes that a client sends first; fewer if the connection ends before that."""
        size = len(PROTOCOL_HEADER)
        while len(self.buffer.view()) < size:
            if not await self.buffer.fill(self.connection):
                break
        received = bytes(self.buffer.view()[:size])
        self.buffer.consume(len(received))
        return received

    async def read_frame(self) -> tuple[int, Payload]:
        """Read the next frame.

        Returns:
            Its channel and its payload; the bytes of a body are valid until the next call.

        Raises:
            OSError: The connection has ended.
            AmqpError: The received bytes are not a valid frame.
        """
        while (parsed := self._parse()) is None:
            if not await self.buffer.fill(self.connection):
                raise ConnectionResetError("the other side has closed")
            self.received_us = self.clock.now()
            if self._partly_received is not None and self.buffer.start < self.buffer.end:
                self._partly_received()
        self.buffer.consume(parsed.size)
        return parsed.channel, parsed.payload

    def _parse(self) -> ParsedFrame | None:
        return parse_frame(self.buffer.view(), self.frame_max)

    async def read_method(self, *names: str) -> base.Frame:
        """Read the next method on any channel, skipping heartbeats; it must have one of the given names.

        Raises:
            OSError: The connection has ended, or the other side closes it.
            AmqpError: A different method or frame was received.
        """
        while True:
            _, payload = await self.read_frame()
            if isinstance(payload, heartbeat.Heartbeat):
                continue
            if isinstance(payload, base.Frame) and payload.name in names:
                return payload
            if isinstance(payload, commands.Connection.Close):
                raise ConnectionResetError(f"closed by the other side: {payload.reply_text}")
            raise AmqpError(ReplyCode.COMMAND_INVALID, f"expected {' or '.join(names)}", payload)

    def is_silent(self) -> bool:
        """Return whether the reader waits for the other side, and nothing that it sent is unread."""
        return self.connection.awaiting_input and self.connection.is_idle()

    def is_handled(self) -> bool:
        """Return whether all that the other side has sent was read, and taken from the buffer as frames."""
        return self.buffer.start == self.buffer.end and self.connection.is_idle()

    async def send(self, method: base.Frame, channel: int = 0) -> None:
        """Write one method."""
        await self.write(frame.marshal(method, channel))

    async def write(self, data: bytes) -> None:
        """Write whole frames, which are not mixed with those of other tasks."""
        async with self.lock:
            await self.connection.write(data)

    async def exchange_heartbeats(self, interval_s: int) -> None:
        """Send heartbeats until the other side has been silent for too long.

        Args:
            interval_s: The interval that was agreed on, in seconds; 0 for no heartbeats.

        Raises:
            OSError: The other side is silent, or the connection has ended.
        """
        if not interval_s:
            await anyio.sleep_forever()
        while True:
            await anyio.sleep(interval_s / 2)
            silent_us = self.clock.now() - self.received_us
            if silent_us > MISSED_HEARTBEATS * interval_s * US_PER_S and self.is_silent():
                raise ConnectionResetError(
                    f"no heartbeat in {silent_us / US_PER_S:.1f} s, at an interval of {interval_s} s"
                )
            await self.write(heartbeat.Heartbeat().marshal())
