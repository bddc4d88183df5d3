"""Exceptions of the package that callers are expected to handle."""


class PinspreadError(Exception):
    """Base class of the package's own exceptions."""


class RejectedError(PinspreadError):
    """A message was not accepted, or an operator's request was not carried out; it may be sent again later.

    Attributes:
        retry_after_ms: How long to wait before trying again, in milliseconds; 0 if no time is given.
        reason: What went wrong, as text for the log.
    """

    def __init__(self, retry_after_ms: int, reason: str):
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms
        self.reason = reason


class JournalFullError(PinspreadError):
    """The journal has no room for another record, or the file system refused it."""


class JournalFormatError(PinspreadError):
    """The journal was written by a newer version, and has records that this version does not know."""
