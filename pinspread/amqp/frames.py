"""AMQP 0-9-1 frames on a connection: reading, assembling contents, writing. The codec is pamqp's."""

import struct

import anyio
from pamqp import base, body, commands, exceptions, frame, header, heartbeat

from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.sockets import ReadBuffer

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
FRAME_HEAD = struct.Struct(">BHI")
FRAME_END = 0xCE
METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8
MIN_FRAME_MAX = 4096
FRAME_MAX = 65_536


def parse_frame(view, frame_max=FRAME_MAX):
    """The frame that a view starts with: channel, frame and length; None if it is not whole.

    A body frame comes as the slice of its payload, all others as pamqp's objects.
    """
    if len(view) < FRAME_HEAD.size:
        return None
    kind, channel, size = FRAME_HEAD.unpack_from(view)
    if kind not in (METHOD, HEADER, BODY, HEARTBEAT):
        raise AmqpError(ReplyCode.FRAME_ERROR, f"unknown frame type {kind}")
    if size + 8 > frame_max:
        raise AmqpError(ReplyCode.FRAME_ERROR, f"a frame of {size + 8} bytes is over {frame_max}")
    whole = FRAME_HEAD.size + size + 1
    if len(view) < whole:
        return None
    if view[whole - 1] != FRAME_END:
        raise AmqpError(ReplyCode.FRAME_ERROR, "a frame does not end where its length says")
    payload = view[FRAME_HEAD.size : whole - 1]
    if kind == HEARTBEAT:
        return channel, heartbeat.Heartbeat(), whole
    if kind == BODY:
        return channel, payload, whole
    try:
        _, _, found = frame.unmarshal(bytes(view[:whole]))
    except exceptions.UnmarshalingException as error:
        raise AmqpError(ReplyCode.SYNTAX_ERROR, f"a frame that cannot be decoded: {error}") from None
    except Exception as error:  # pamqp lets others through on hostile input
        raise AmqpError(ReplyCode.SYNTAX_ERROR, f"a malformed frame: {type(error).__name__}") from None
    return channel, found, whole


def marshal_content(method, properties, data: bytes, channel: int, frame_max=FRAME_MAX) -> bytes:
    """A method with its content, as frames."""
    parts = [
        frame.marshal(method, channel),
        frame.marshal(header.ContentHeader(0, len(data), properties), channel),
    ]
    step = frame_max - 8
    parts += [
        frame.marshal(body.ContentBody(data[at : at + step]), channel) for at in range(0, len(data), step)
    ]
    return b"".join(parts)


class ContentAssembler:
    """Assembles the contents of one channel; oversized ones are read to their end but not kept."""

    def __init__(self, most=None):
        self.most = most
        self.method = None
        self.header = None
        self.body = bytearray()
        self.size = 0

    def feed(self, found):
        """One frame: a method without content, or a whole (method, properties, body); else None.

        The body is None where it is over the limit.
        """
        if isinstance(found, base.Frame):
            if self.method is not None:
                raise AmqpError(ReplyCode.UNEXPECTED_FRAME, "a method inside a content", found)
            if found.name not in ("Basic.Publish", "Basic.Return", "Basic.Deliver", "Basic.GetOk"):
                return found, None, None
            self.method = found
            return None
        if self.method is None:
            raise AmqpError(ReplyCode.UNEXPECTED_FRAME, "a content without its method")
        if isinstance(found, header.ContentHeader):
            if self.header is not None:
                raise AmqpError(ReplyCode.UNEXPECTED_FRAME, "a second content header", self.method)
            self.header = found
            return self._whole()
        if self.header is None:
            raise AmqpError(ReplyCode.UNEXPECTED_FRAME, "a body before its header", self.method)
        self.size += len(found)
        if self.size > self.header.body_size:
            raise AmqpError(ReplyCode.FRAME_ERROR, "a body longer than its header says", self.method)
        if not self._too_long():
            self.body += found
        return self._whole()

    def _too_long(self):
        return self.most is not None and self.header.body_size > self.most

    def _whole(self):
        if self.size < self.header.body_size:
            return None
        whole = self.method, self.header.properties, None if self._too_long() else bytes(self.body)
        self.__init__(self.most)
        return whole


class FrameStream:
    """Frames on one connection: read by one task, written by any."""

    def __init__(self, connection, clock):
        self.connection = connection
        self.clock = clock
        self.buffer = ReadBuffer()
        self.frame_max = FRAME_MAX
        self.heard_us = clock.now()
        self.lock = anyio.Lock()

    async def greeting(self) -> bytes:
        """The eight bytes that a client starts with; fewer at an early end."""
        while len(self.buffer.view()) < 8:
            if not await self.buffer.fill(self.connection):
                break
        found = bytes(self.buffer.view()[:8])
        self.buffer.consume(len(found))
        return found

    async def frame(self):
        """The next frame as (channel, frame); OSError at the end. A body is good until the next call."""
        while (found := parse_frame(self.buffer.view(), self.frame_max)) is None:
            if not await self.buffer.fill(self.connection):
                raise ConnectionResetError("the other side has closed")
            self.heard_us = self.clock.now()
        channel, what, size = found
        self.buffer.consume(size)
        return channel, what

    async def method(self, *names):
        """The next method on any channel, which must be one of these."""
        while True:
            _, found = await self.frame()
            if isinstance(found, heartbeat.Heartbeat):
                continue
            if getattr(found, "name", "") in names:
                return found
            if isinstance(found, commands.Connection.Close):
                raise ConnectionResetError(f"closed by the other side: {found.reply_text}")
            raise AmqpError(ReplyCode.COMMAND_INVALID, f"expected {' or '.join(names)}", found)

    async def send(self, method, channel=0):
        """Write one method."""
        await self.write(frame.marshal(method, channel))

    async def write(self, data: bytes):
        """Write whole frames, apart from those of other tasks."""
        async with self.lock:
            await self.connection.write(data)

    async def beat(self, interval_s: int):
        """Send heartbeats, and end when the other side has been silent for two intervals."""
        if not interval_s:
            await anyio.sleep_forever()
        while True:
            await anyio.sleep(interval_s / 2)
            if self.clock.now() - self.heard_us > 2 * interval_s * 1_000_000:
                raise ConnectionResetError("no heartbeat")
            await self.write(heartbeat.Heartbeat().marshal())
