"""AMQP 0-9-1 frames as bytes: reading them from a buffer and writing them. The codec is pamqp's."""

import struct
from typing import NamedTuple

from pamqp import base, body, commands, exceptions, frame, header, heartbeat

from pinspread.amqp.errors import AmqpError, ReplyCode

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"  # with which a client opens the connection
FRAME_HEAD = struct.Struct(">BHI")  # type, channel, size of the payload
FRAME_END = 0xCE
FRAME_OVERHEAD = FRAME_HEAD.size + 1  # bytes around a payload
METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8  # frame types
FRAME_TYPES = frozenset((METHOD, HEADER, BODY, HEARTBEAT))
MIN_FRAME_MAX = 4096  # bytes: the least that the specification lets the sides agree on
FRAME_MAX = 65_536  # bytes of the largest frame that this program takes or offers

Payload = base.Frame | header.ContentHeader | heartbeat.Heartbeat | memoryview
"""What a frame holds: a method, a content header, a heartbeat, or the bytes of a body."""


class ParsedFrame(NamedTuple):
    """One frame at the start of a buffer.

    Attributes:
        channel: Number of the channel; 0 is the connection.
        payload: What it holds; a body's bytes are a slice of the buffer.
        size: Bytes that the frame takes, to be consumed once it is handled.
    """

    channel: int
    payload: Payload
    size: int


def parse_frame(view: memoryview, frame_max: int = FRAME_MAX) -> ParsedFrame | None:
    """Read the frame at the start of a buffer.

    Args:
        view: What has been received and not consumed.
        frame_max: Bytes of the largest frame that was agreed on.

    Returns:
        The frame, or None where it is not complete yet.

    Raises:
        AmqpError: The bytes are no frame, are over the limit, or cannot be decoded.
    """
    if len(view) < FRAME_HEAD.size:
        return None
    kind, channel, payload_size = FRAME_HEAD.unpack_from(view)
    size = payload_size + FRAME_OVERHEAD
    if kind not in FRAME_TYPES:
        raise AmqpError(ReplyCode.FRAME_ERROR, f"unknown frame type {kind}")
    if size > frame_max:
        raise AmqpError(ReplyCode.FRAME_ERROR, f"a frame of {size} bytes is over {frame_max}")
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
        broken, reason = error.args  # the error's own text may show the method object's address
        name = broken.name if isinstance(broken, base.Frame) else broken
        text = f"a frame that cannot be decoded: Could not unmarshal {name} frame: {reason}"
        raise AmqpError(ReplyCode.SYNTAX_ERROR, text) from None
    except Exception as error:  # pamqp lets others through on hostile input
        raise AmqpError(ReplyCode.SYNTAX_ERROR, f"a malformed frame: {type(error).__name__}") from None
    return decoded  # type: ignore[return-value]  # the frame's type was checked by the caller


def marshal_content(
    method: base.Frame,
    properties: commands.Basic.Properties,
    data: bytes,
    channel: int,
    frame_max: int = FRAME_MAX,
) -> bytes:
    """Write a method with its content: the method's frame, a header, and as many bodies as it takes."""
    content_header = header.ContentHeader(0, len(data), properties)
    frames = [frame.marshal(method, channel), frame.marshal(content_header, channel)]
    step = frame_max - FRAME_OVERHEAD
    for start in range(0, len(data), step):
        frames.append(frame.marshal(body.ContentBody(data[start : start + step]), channel))
    return b"".join(frames)
