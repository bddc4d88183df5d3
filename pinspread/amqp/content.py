"""Received methods, each together with the content that may follow it in further frames."""

from typing import NamedTuple

from pamqp import base, commands, header, heartbeat

from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.amqp.frames import Payload

METHODS_WITH_CONTENT = frozenset(("Basic.Publish", "Basic.Return", "Basic.Deliver", "Basic.GetOk"))


class ReceivedMethod(NamedTuple):
    """A method, complete with its content.

    Attributes:
        method: The method.
        properties: Properties of its content; None if it has no content.
        body: Body of its content; None if it has no content, or if the body was over the limit.
    """

    method: base.Frame
    properties: commands.Basic.Properties | None
    body: bytes | None


class ContentAssembler:
    """Joins the frames of one channel into methods with their content.

    Args:
        max_body: The longest body that is kept, in bytes; a longer one is read and dropped. None: no limit.
    """

    def __init__(self, max_body: int | None = None) -> None:
        self.max_body = max_body
        self.method: base.Frame | None = None  # the method whose content is being received
        self._reset()

    def _reset(self) -> None:
        self.method = None
        self._header: header.ContentHeader | None = None
        self._body = bytearray()
        self._received = 0  # bytes of the body received so far, kept or not

    @property
    def buffered(self) -> int:
        """Bytes of an incomplete body that are held in memory."""
        return len(self._body)

    def feed(self, payload: Payload) -> ReceivedMethod | None:
        """Add the payload of one frame.

        Returns:
            The method if the frame completes it; None if more of its content is to come.

        Raises:
            AmqpError: The frame is not allowed at this point, or the body is longer than announced.
        """
        if isinstance(payload, heartbeat.Heartbeat):
            raise AmqpError(ReplyCode.FRAME_ERROR, "a heartbeat on a channel other than 0")
        if isinstance(payload, base.Frame):
            return self._feed_method(payload)
        if self.method is None:
            raise AmqpError(ReplyCode.UNEXPECTED_FRAME, "a content without its method")
        if isinstance(payload, header.ContentHeader):
            return self._feed_header(self.method, payload)
        return self._feed_body(self.method, payload)

    def _feed_method(self, method: base.Frame) -> ReceivedMethod | None:
        if self.method is not None:
            raise AmqpError(ReplyCode.UNEXPECTED_FRAME, "a method inside a content", method)
        if method.name not in METHODS_WITH_CONTENT:
            return ReceivedMethod(method, None, None)
        self.method = method
        return None

    def _feed_header(self, method: base.Frame, content_header: header.ContentHeader) -> ReceivedMethod | None:
        if self._header is not None:
            raise AmqpError(ReplyCode.UNEXPECTED_FRAME, "a second content header", method)
        self._header = content_header
        return self._complete(method, content_header)

    def _feed_body(self, method: base.Frame, data: memoryview) -> ReceivedMethod | None:
        content_header = self._header
        if content_header is None:
            raise AmqpError(ReplyCode.UNEXPECTED_FRAME, "a body before its header", method)
        self._received += len(data)
        if self._received > content_header.body_size:
            raise AmqpError(ReplyCode.FRAME_ERROR, "a body longer than its header says", method)
        if not self._over_limit(content_header):
            self._body += data
        return self._complete(method, content_header)

    def _over_limit(self, content_header: header.ContentHeader) -> bool:
        return self.max_body is not None and content_header.body_size > self.max_body

    def _complete(self, method: base.Frame, content_header: header.ContentHeader) -> ReceivedMethod | None:
        """Return the method once its content is complete, and reset for the next method; None before."""
        if self._received < content_header.body_size:
            return None
        body = None if self._over_limit(content_header) else bytes(self._body)
        self._reset()
        return ReceivedMethod(method, content_header.properties, body)
