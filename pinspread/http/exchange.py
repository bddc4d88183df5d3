"""One HTTP/1.1 request and its response on an open connection."""

import re
import time
from collections.abc import Iterable
from typing import NamedTuple

import h11

from pinspread.core.time_units import NS_PER_US
from pinspread.sockets import Connection

MAX_HEAD_BYTES = 16 * 1024
MAX_RESPONSE_BYTES = 128 * 1024  # that are read of a response at all
FIRST_FINAL_STATUS = 200  # what is below is an informational response
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-9][0-9]{2})(?: [^\r\n]*)?\r?")
_SHOWN_BYTES = 40  # of a malformed status line, in the error

Headers = Iterable[tuple[str, str]]


class MalformedResponseError(ValueError):
    """What came cannot be read as a response, or does not end."""


class Response(NamedTuple):
    """The head of a response: its status code, and its headers by lower-case name."""

    status: int
    headers: dict[bytes, bytes]


def parse_status(received: bytes | bytearray) -> int | None:
    """Read the status code of the first final response, past informational ones; None if it is not there yet.

    Raises:
        MalformedResponseError: The bytes do not start with a response.
    """
    position = 0
    while True:
        end = received.find(b"\n", position)
        if end < 0:
            if len(received) - position > MAX_HEAD_BYTES:
                raise MalformedResponseError("a first line without an end")
            return None
        found = _STATUS_LINE.fullmatch(received, position, end)
        if not found:
            shown = bytes(received[position : min(end, position + _SHOWN_BYTES)])
            raise MalformedResponseError(f"not a first line: {shown!r}")
        status = int(found[1])
        if status >= FIRST_FINAL_STATUS:
            return status
        end = received.find(b"\r\n\r\n", position)
        if end < 0:
            if len(received) - position > MAX_HEAD_BYTES:
                raise MalformedResponseError("a 1xx answer without an end")
            return None
        position = end + 4


class Exchange:
    """One request and its response.

    Args:
        connection: An open connection on which no other exchange is running.
        max_response_bytes: How many bytes of the response are read at the most; None for no limit.

    Attributes:
        received: What has come until the status was known.
        last_read_us: When the last of it came, in microseconds on the monotonic clock.
    """

    def __init__(self, connection: Connection, max_response_bytes: int | None = MAX_RESPONSE_BYTES) -> None:
        self.connection = connection
        self.received = bytearray()
        self.last_read_us = 0
        self._protocol = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._complete = False
        self._remaining_bytes = max_response_bytes
        self._status: int | None = None

    async def send_request(
        self, method: str, target: str, host: str, headers: Headers = (), body: bytes | None = None
    ) -> None:
        """Write a request.

        Raises:
            OSError: The connection is broken.
        """
        await self.connection.write(self._encode(method, target, host, headers, body))

    def _encode(self, method: str, target: str, host: str, headers: Headers, body: bytes | None) -> bytes:
        head = [("Host", host), *headers]
        if body is not None:
            head.append(("Content-Length", str(len(body))))
        data = self._protocol.send(h11.Request(method=method, target=target, headers=head)) or b""
        if body:
            data += self._protocol.send(h11.Data(data=body)) or b""
        return data + (self._protocol.send(h11.EndOfMessage()) or b"")

    async def _read(self) -> bytes:
        data = await self.connection.read()
        if not data:
            raise ConnectionResetError("closed before the answer's end")
        if self._remaining_bytes is not None:
            # A response that keeps coming would take the CPU and the memory of all others.
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                raise MalformedResponseError("an answer without an end")
        self._protocol.receive_data(data)
        return data

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedResponseError(str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            await self._read()

    async def read_status(self) -> int:
        """Read until the status code is known, which stands whatever comes behind it.

        Raises:
            OSError: The connection ended or broke before.
            MalformedResponseError: What came is not the begin of a response.
        """
        while self._status is None:
            self.received += await self._read()
            self.last_read_us = time.monotonic_ns() // NS_PER_US
            self._status = parse_status(self.received)
        return self._status

    async def read_response(self) -> Response:
        """Read the head of the response.

        Raises:
            OSError: The connection ended or broke before.
            MalformedResponseError: What came is not a response.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = {bytes(name).lower(): bytes(value) for name, value in event.headers}
                return Response(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise MalformedResponseError(f"no response but {type(event).__name__}")

    async def read_data(self) -> bytes | None:
        """Read the next part of the body; None at its end.

        Raises:
            OSError: The connection ended or broke before.
            MalformedResponseError: The body is malformed, or does not end.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self._complete = isinstance(event, h11.EndOfMessage)
        return None

    async def read_to_end(self) -> None:
        """Read the body to its end and drop it; raises as `read_data` does."""
        while await self.read_data() is not None:
            pass

    @property
    def trailing_data(self) -> bytes:
        """What came behind the response."""
        return self._protocol.trailing_data[0]

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        # What came behind this response, or the rest of it, would pass for the response to the next request.
        protocol = self._protocol
        done = protocol.their_state is h11.DONE and protocol.our_state is h11.DONE
        return self._complete and done and not self.trailing_data
