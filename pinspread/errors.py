"""The errors of pinspread that callers are expected to handle."""


class PinspreadError(Exception):
    """Base class of the package's own errors."""


class RejectedError(PinspreadError):
    """A message was not accepted, or an operator's request not carried out; it may be sent again later.

    Attributes:
        retry_after_ms: When to try again, in milliseconds from now; 0 where no time is given.
        reason: What went wrong, in plain words for the log.
    """

    def __init__(self, retry_after_ms: int, reason: str):
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms
        self.reason = reason


class JournalFullError(PinspreadError):
    """The journal has no room for another record, or the file system refused it."""


class JournalFormatError(PinspreadError):
    """The journal was written by a newer version, whose records this one does not know."""
