"""HTTP stand-ins: endpoints of destinations, and the platform's agent with discovery and notices."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple

HEARTBEAT_S = 2.0  # between the empty lines of a watch
LINE_PIECES = 10  # of a line that is written slowly


class Request(NamedTuple):
    """One request whose last byte has arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, headers, body)


def response(status: int, reason: str, headers: str = "", body: bytes = b"") -> bytes:
    """Encode a response."""
    return f"HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def serve_requests(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answer: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]],
) -> None:
    """Answer the requests of one connection until it ends, or `answer` returns false."""
    with suppress(OSError):
        while (request := await read_request(reader)) is not None:
            if not await answer(request, writer):
                break
            if request.headers.get("connection", "").lower() == "close":
                break
    writer.close()


class Endpoint:
    """One endpoint: it answers each call with 200 after its service time.

    Args:
        name: Its id in discovery's list.
        block: The number of its destination.
        on_call: Called with the endpoint and the request once a call has arrived; returns the response.
    """

    def __init__(
        self, name: str, block: int, on_call: Callable[["Endpoint", Request], Awaitable[bytes]]
    ) -> None:
        self.name = name
        self.block = block
        self._on_call = on_call
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Refuse new connections; calls that run are answered."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_requests(reader, writer, self._answer)

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.target == "/-/healthy":
            writer.write(response(200, "OK"))
            return True
        writer.write(await self._on_call(self, request))
        await writer.drain()
        return True


class Platform:
    """The agent on the courier's machine: the list of endpoints with its watches, and the notices.

    Attributes:
        seq: The version of the list.
        hosts: The present entries by id, without those that are gone.
        silent: Whether discovery is down behind an agent, which is silent then; notices are answered.
        down: Whether discovery is down and asked itself: its calls get 503; notices are answered.
        notices: The notices that were posted, by message id.
        watches: How many watches were answered.
        line_s: How long each line of a watch takes, in `LINE_PIECES` pieces; 0: it is written at once.
    """

    def __init__(self, hosts: list[dict[str, Any]], on_notice: Callable[[str, str], None]) -> None:
        self.seq = 1
        self.hosts = {host["host"]: host for host in hosts}
        self.silent = False
        self.down = False
        self.notices: dict[str, str] = {}
        self.watches = 0
        self.line_s = 0.0
        self._on_notice = on_notice
        self._queues: dict[asyncio.Queue[bytes], asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return int(self._server.sockets[0].getsockname()[1])

    def whole(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, entries: list[dict[str, Any]]) -> None:
        """Change entries of the list, and push the changes to all watches."""
        self.seq += 1
        for entry in entries:
            if entry["health"] == "gone":
                self.hosts.pop(entry["host"], None)
            else:
                self.hosts[entry["host"]] = entry
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": entries}).encode() + b"\n"
        for queue in self._queues:
            queue.put_nowait(line)

    def go_down(self) -> None:
        """End all watches, and answer further calls with 503."""
        self.down = True
        for writer in self._queues.values():
            writer.transport.abort()
        self._queues.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_requests(reader, writer, self._answer)

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.target == "/v2/finals":
            for line in request.body.splitlines():
                notice = json.loads(line)
                self.notices[notice["id"]] = notice["state"]
                self._on_notice(notice["id"], notice["state"])
            writer.write(response(204, "No Content"))
            return True
        if self.silent:
            await asyncio.sleep(3600)
        if self.down:
            writer.write(response(503, "Service Unavailable"))
            return True
        if "watch=1" in request.target:
            await self._watch(writer)
            return False
        writer.write(response(200, "OK", body=json.dumps(self.whole()).encode()))
        return True

    async def _write_slowly(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        size = -(-len(data) // LINE_PIECES) if self.line_s else len(data)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(self.line_s / LINE_PIECES)

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        self.watches += 1
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self._queues[queue] = writer
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.whole()).encode() + b"\n"
        try:
            while True:
                if not self.silent:
                    await self._write_slowly(writer, b"%x\r\n%s\r\n" % (len(line), line))
                try:
                    line = await asyncio.wait_for(queue.get(), HEARTBEAT_S)
                except TimeoutError:
                    line = b"\n"
        except OSError:
            pass  # the courier has ended the watch
        finally:
            self._queues.pop(queue, None)
