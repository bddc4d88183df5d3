"""Errors of AMQP 0-9-1, with the reply codes of the specification."""

from enum import IntEnum

from pamqp import base

from pinspread.errors import PinspreadError

MAX_REPLY_TEXT = 200  # characters: a short string on the wire holds 255 bytes
FIRST_CONNECTION_ERROR = 500  # codes from this on close the connection, lower ones only the channel


class ReplyCode(IntEnum):
    """Why a channel or a connection is closed, or a message returned, by the names of the specification."""

    CONTENT_TOO_LARGE = 311
    CONNECTION_FORCED = 320
    NOT_FOUND = 404
    PRECONDITION_FAILED = 406
    FRAME_ERROR = 501
    SYNTAX_ERROR = 502
    COMMAND_INVALID = 503
    CHANNEL_ERROR = 504
    UNEXPECTED_FRAME = 505
    RESOURCE_ERROR = 506
    NOT_ALLOWED = 530
    NOT_IMPLEMENTED = 540


class AmqpError(PinspreadError):
    """A violation of the protocol, or a request that cannot be met.

    Attributes:
        code: The reply code that is sent to the other side.
        text: What went wrong, short enough for the wire.
        class_id: Class id of the method that caused the error; 0 if none did.
        method_id: Id of that method within its class; 0 if none did.

    Args:
        code: The reply code that is sent to the other side.
        text: What went wrong.
        cause: The payload of the frame that caused the error; only a method sets the two ids.
    """

    def __init__(self, code: ReplyCode, text: str, cause: object = None) -> None:
        super().__init__(text)
        self.code = code
        self.text = text[:MAX_REPLY_TEXT]
        index = cause.index if isinstance(cause, base.Frame) else 0
        self.class_id = index >> 16
        self.method_id = index & 0xFFFF

    @property
    def closes_connection(self) -> bool:
        """Whether the error closes the whole connection, and not only the channel."""
        return self.code == ReplyCode.CONNECTION_FORCED or self.code >= FIRST_CONNECTION_ERROR
