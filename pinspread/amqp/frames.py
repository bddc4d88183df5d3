"""AMQP 0-9-1 frames as bytes: decoding them from a buffer and encoding them, by the codec of pamqp."""

import struct
from typing import NamedTuple

from pamqp import base, body, commands, exceptions, frame, header, heartbeat

from pinspread.amqp.errors import AmqpError, ReplyCode

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"  # the first bytes that a client sends
FRAME_HEAD = struct.Struct(">BHI")  # type, channel, size of the payload
FRAME_END = 0xCE
FRAME_OVERHEAD = FRAME_HEAD.size + 1  # bytes around a payload
METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8  # frame types
FRAME_TYPES = frozenset((METHOD, HEADER, BODY, HEARTBEAT))
MIN_FRAME_MAX = 4096  # bytes: the smallest limit that the specification allows
# Bytes of the largest method or header that is decoded: tens of thousands of short fields in a table would
# take long. Bodies may be larger.
MAX_DECODED = 16_384
FRAME_MAX = 65_536  # bytes: the largest frame that this program accepts, and the limit that it offers

Payload = base.Frame | header.ContentHeader | heartbeat.Heartbeat | memoryview
"""The payload of a frame: a method, a content header, a heartbeat, or the bytes of a body."""


class ParsedFrame(NamedTuple):
    """One frame at the start of a buffer.

    Attributes:
        channel: Number of the channel; 0 is the connection.
        payload: Its payload; the bytes of a body are a slice of the buffer.
        size: Size of the whole frame in bytes, which the caller consumes from the buffer.
    """

    channel: int
    payload: Payload
    size: int


def parse_frame(view: memoryview, frame_max: int = FRAME_MAX) -> ParsedFrame | None:
    """Read the frame at the start of a buffer.

    Args:
        view: The bytes that have been received and not consumed.
        frame_max: Size of the largest frame that was agreed on, in bytes.

    Returns:
        The frame, or None where it is not complete yet.

    Raises:
        AmqpError: The bytes are not a valid frame, or the frame is over the limit or cannot be decoded.
    """
    if len(view) < FRAME_HEAD.size:
        return None
    kind, channel, payload_size = FRAME_HEAD.unpack_from(view)
    size = payload_size + FRAME_OVERHEAD
    if kind not in FRAME_TYPES:
        raise AmqpError(ReplyCode.FRAME_ERROR, f"unknown frame type {kind}")
    if size > frame_max:
        raise AmqpError(ReplyCode.FRAME_ERROR, f"a frame of {size} bytes is over {frame_max}")
    if kind in (METHOD, HEADER) and size > MAX_DECODED:
        raise AmqpError(ReplyCode.FRAME_ERROR, f"a method or header of {size} bytes is over {MAX_DECODED}")
    if len(view) < size:
        return None
    if view[size - 1] != FRAME_END:
        raise AmqpError(ReplyCode.FRAME_ERROR, "a frame does not end where its length says")
    if kind == HEARTBEAT:
        return ParsedFrame(channel, heartbeat.Heartbeat(), size)
    if kind == BODY:
        return ParsedFrame(channel, view[FRAME_HEAD.size : size - 1], size)
    return ParsedFrame(channel, _decode(bytes(view[:size])), size)


def _decode(data: bytes) -> base.Frame | header.ContentHeader:
    """Decode a whole method or header frame."""
    try:
        _, _, decoded = frame.unmarshal(data)
    except exceptions.UnmarshalingException as error:
        broken, reason = error.args  # str(error) may contain the memory address of the method
        name = broken.name if isinstance(broken, base.Frame) else broken
        text = f"a frame that cannot be decoded: Could not unmarshal {name} frame: {reason}"
        raise AmqpError(ReplyCode.SYNTAX_ERROR, text) from None
    except Exception as error:  # malformed input can raise other exceptions in pamqp
        raise AmqpError(ReplyCode.SYNTAX_ERROR, f"a malformed frame: {type(error).__name__}") from None
    return decoded  # type: ignore[return-value]  # the frame's type was checked by the caller


def marshal_content(
    method: base.Frame,
    properties: commands.Basic.Properties,
    data: bytes,
    channel: int,
    frame_max: int = FRAME_MAX,
) -> bytes:
    """Encode a method with its content: a method frame, a header frame, and body frames as needed."""
    content_header = header.ContentHeader(0, len(data), properties)
    frames = [frame.marshal(method, channel), frame.marshal(content_header, channel)]
    step = frame_max - FRAME_OVERHEAD
    for start in range(0, len(data), step):
        frames.append(frame.marshal(body.ContentBody(data[start : start + step]), channel))
    return b"".join(frames)
