"""A stand-in for the resource that a task's holder acts on; it refuses outdated fencing tokens.

Actions are HTTP requests. Each goes to the history as `act`, with the task, the holder, the token and whether
it was accepted (`taken`): one with a token older than the newest of its task is refused with 409 (Kleppmann's
fencing).
"""

import asyncio
from typing import NamedTuple, Protocol

REQUEST_TIMEOUT_S = 2.0
HEAD_END = b"\r\n\r\n"


class EventRecorder(Protocol):
    """Records events."""

    def add(self, who: str, event: str, **fields: object) -> None:
        """Add an event that happens now."""


class Action(NamedTuple):
    """A request of `holder` to act on a task, with its fencing token."""

    task: str
    holder: str
    token: int


class Resource:
    """The HTTP server of the resource.

    Attributes:
        address: Host and port where it listens.
        fenced: Whether it refuses outdated tokens.
        newest: The newest token accepted for each task.
        server: The listening server; None while closed.
    """

    def __init__(self, history: EventRecorder, address: tuple[str, int], fenced: bool = True) -> None:
        self.history = history
        self.address = address
        self.fenced = fenced
        self.newest: dict[str, int] = {}
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start to listen.

        Raises:
            OSError: The address is in use.
        """
        self.server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        """Stop listening."""
        if self.server:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await asyncio.wait_for(reader.readuntil(HEAD_END), REQUEST_TIMEOUT_S)
            status = self._respond(head.decode("latin-1"))
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError, OSError):
            pass
        finally:
            writer.close()

    def _respond(self, head: str) -> str:
        """Accept or refuse a request, record it, and return the status code and reason of the response."""
        action = parse_action(head)
        if action is None:
            return "400 Bad Request"
        accepted = action.token >= self.newest.get(action.task, 0) or not self.fenced
        if accepted:
            self.newest[action.task] = action.token
        task, holder, token = action
        self.history.add("resource", "act", task=task, token=token, holder=holder, taken=accepted)
        return "200 OK" if accepted else "409 Conflict"


def parse_action(head: str) -> Action | None:
    """Decode the head of a request as an action; None if it is not a POST with a numeric fencing token."""
    first, *lines = head.split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    words = first.split(" ")
    token = fields.get("fencing-token", "")
    if len(words) != 3 or words[0] != "POST" or not token.isdigit():
        return None
    return Action(words[1].removeprefix("/"), fields.get("holder", ""), int(token))
