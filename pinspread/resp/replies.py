"""The replies of the RESP front, encoded as sent to clients."""

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
NO_COMMAND_IN_TIME = b"-ERR no whole command in time\r\n"
OUT_OF_MEMORY_RETRY_MS = 1000


def busy(retry_after_ms: int) -> bytes:
    """Encode a rejection; the client may retry after this many milliseconds."""
    return b"-BUSY %d\r\n" % retry_after_ms


def error(reason: Exception) -> bytes:
    """Encode an error; non-ASCII characters become question marks, line breaks become spaces."""
    text = str(reason).encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")
    return b"-ERR " + text + b"\r\n"


def bulk(view: memoryview) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n" % len(view) + bytes(view) + b"\r\n"
