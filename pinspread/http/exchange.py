"""One HTTP/1.1 request and its response, on a connection of their own."""

import re
import time
from collections.abc import Iterable
from typing import NamedTuple

import h11

from pinspread.core.time_units import NS_PER_US
from pinspread.sockets import Connection

MAX_HEAD_BYTES = 16 * 1024
MAX_RESPONSE_BYTES = 128 * 1024  # a longer response is malformed
FIRST_FINAL_STATUS = 200  # lower status codes are informational
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-9][0-9]{2})(?: [^\r\n]*)?\r?")
_SHOWN_BYTES = 40  # bytes of a malformed status line that the error shows

Headers = Iterable[tuple[str, str]]


class MalformedResponseError(ValueError):
    """The bytes received are not a valid response, or exceed a size limit."""


class Response(NamedTuple):
    """The head of a response: the status code, and the headers by lower-case name."""

    status: int
    headers: dict[bytes, bytes]


def parse_status(received: bytes | bytearray) -> int | None:
    """Parse the status code of the first final response, after any informational ones; None if incomplete.

    Raises:
        MalformedResponseError: The bytes do not start with a response.
    """
    position = 0
    while True:
        end = received.find(b"\n", position)
        if end < 0:
            if len(received) - position > MAX_HEAD_BYTES:
                raise MalformedResponseError(f"status line exceeds {MAX_HEAD_BYTES} bytes")
            return None
        match = _STATUS_LINE.fullmatch(received, position, end)
        if not match:
            shown = bytes(received[position : min(end, position + _SHOWN_BYTES)])
            raise MalformedResponseError(f"malformed status line: {shown!r}")
        status = int(match[1])
        if status >= FIRST_FINAL_STATUS:
            return status
        end = received.find(b"\r\n\r\n", position)
        if end < 0:
            if len(received) - position > MAX_HEAD_BYTES:
                raise MalformedResponseError(f"informational response exceeds {MAX_HEAD_BYTES} bytes")
            return None
        position = end + 4


class Exchange:
    """One request and its response.

    Args:
        connection: An open connection on which nothing was sent or received.
        max_response_bytes: The maximum length of the response in bytes; None for no limit.

    Attributes:
        received: The bytes read until the status code was known.
        last_read_us: When the last of them arrived, in microseconds on the monotonic clock.
    """

    def __init__(self, connection: Connection, max_response_bytes: int | None = MAX_RESPONSE_BYTES) -> None:
        self.connection = connection
        self.received = bytearray()
        self.last_read_us = 0
        self._protocol = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._remaining_bytes = max_response_bytes
        self._status: int | None = None

    async def send_request(
        self, method: str, target: str, host: str, headers: Headers = (), body: bytes | None = None
    ) -> None:
        """Write a request.

        Raises:
            UnexpectedBytesError: The peer sent something, or ended the connection, before the request was
                written in full.
            OSError: The connection is broken.
        """
        await self.connection.write_to_silent_peer(self._encode(method, target, host, headers, body))

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
            raise ConnectionResetError("connection closed before the end of the response")
        if self._remaining_bytes is not None:
            # An endless response would use up CPU time and memory that all others need.
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                raise MalformedResponseError("response exceeds the maximum length")
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
        """Read until the status code is known; it is valid whatever follows it.

        Raises:
            OSError: The connection ended or broke before.
            MalformedResponseError: The bytes do not start with a response.
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
            MalformedResponseError: The bytes are not a valid response.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = {bytes(name).lower(): bytes(value) for name, value in event.headers}
                return Response(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise MalformedResponseError(f"expected a response, got {type(event).__name__}")

    async def read_data(self) -> bytes | None:
        """Read the next part of the body; None at its end.

        Raises:
            OSError: The connection ended or broke before.
            MalformedResponseError: The body is malformed, or the response too long.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    async def read_to_end(self) -> None:
        """Read the body to its end and discard it; raises the errors of `read_data`."""
        while await self.read_data() is not None:
            pass

    @property
    def trailing_data(self) -> bytes:
        """The bytes that were received after the response."""
        return self._protocol.trailing_data[0]
