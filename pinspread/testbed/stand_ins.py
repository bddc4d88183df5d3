"""An HTTP server that stands in for an endpoint or for the platform."""

import time
from collections.abc import Awaitable, Callable, Sequence
from socket import socket
from typing import Any, NamedTuple

import anyio
import h11
import orjson

from pinspread import sockets

Headers = Sequence[tuple[str, str]]
# Status, headers and body; bytes are sent unchanged and leave the connection open; None closes it unanswered.
Response = tuple[int, Headers, bytes] | bytes | None
Answer = Response | Awaitable[Response]


class ReceivedRequest(NamedTuple):
    """A request that a stand-in received; `received_s` is in seconds of the monotonic clock."""

    received_s: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def _no_content(request: ReceivedRequest) -> Answer:
    """The default answer of a stand-in: 200 without a body."""
    return 200, [], b""


class HttpStandIn:
    """A server that answers each request with the result of a function.

    Attributes:
        answer: Gives the answer to a request.
        requests: The requests received, in order.
        connections: How many connections were accepted.
        open: The connections that are open.
    """

    def __init__(self, answer: Callable[[ReceivedRequest], Answer] = _no_content) -> None:
        self.answer = answer
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.open: set[sockets.Connection] = set()

    async def run(self, sock: socket) -> None:
        """Accept connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            await sockets.accept_forever(sock, tasks, self.serve)

    async def serve(self, connection: sockets.Connection) -> None:
        """Answer the requests of a connection until it ends, then close it."""
        self.connections += 1
        self.open.add(connection)
        first = True
        try:
            while (received := await read_request(connection)) is not None:
                wire, request = received
                self.requests.append(request)
                answer = self.reply(request, connection, first)
                first = False
                response = await answer if isinstance(answer, Awaitable) else answer
                if response is None:
                    return
                await connection.write(encode_response(wire, response))
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            self.open.discard(connection)
            connection.close()

    def reply(self, request: ReceivedRequest, connection: sockets.Connection, first: bool) -> Answer:
        """Return the answer to a request.

        Args:
            request: The request.
            connection: The connection on which it came.
            first: Whether it is the first request of the connection.
        """
        return self.answer(request)

    @property
    def lines(self) -> list[dict[str, Any]]:
        """The received notifications, decoded: one from each line of the request bodies."""
        return [orjson.loads(line) for request in self.requests for line in request.body.splitlines()]


async def read_request(connection: sockets.Connection) -> tuple[h11.Connection, ReceivedRequest] | None:
    """Read one request; return it with what encodes its response, or None if the peer has closed.

    Raises:
        OSError: The connection ended.
        h11.RemoteProtocolError: The received bytes are not valid HTTP/1.1.
    """
    wire = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body = b""
    while not isinstance(event := wire.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            wire.receive_data(await connection.read())
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            return None
    if head is None:
        return None
    headers = {name.decode(): value.decode() for name, value in head.headers}
    method, target = head.method.decode(), head.target.decode()
    return wire, ReceivedRequest(time.monotonic(), method, target, headers, body)


def encode_response(wire: h11.Connection, response: tuple[int, Headers, bytes] | bytes) -> bytes:
    """Encode a response."""
    if isinstance(response, bytes):
        return response
    status, headers, body = response
    head = h11.Response(
        status_code=status, headers=[*headers, ("Content-Length", str(len(body)))], reason=b""
    )
    parts = (wire.send(head), wire.send(h11.Data(data=body)), wire.send(h11.EndOfMessage()))
    return b"".join(part or b"" for part in parts)
