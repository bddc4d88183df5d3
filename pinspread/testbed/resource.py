"""The stage's stand-in for what a fleet-wide task acts on: it takes acts by HTTP and fences old tokens.

Every act goes to the history as `act` with the machine's monotonic time, the task, the holder, the token
and whether it was taken: a token older than the newest seen of that task is refused with 409 (Kleppmann's
fencing).
"""

import asyncio

MOST_HEAD = 4096
CALL_S = 2.0


class Resource:
    """Listens at `address` (host, port); `seen` is the newest token of each task."""

    def __init__(self, history, address, fenced=True):
        self.history, self.address, self.fenced = history, address, fenced
        self.seen = {}
        self.server = None

    async def open(self):
        """Listen; OSError if the address is taken."""
        self.server = await asyncio.start_server(self._serve, *self.address)

    def close(self):
        if self.server:
            self.server.close()

    async def _serve(self, reader, writer):
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), CALL_S)
            status = self._act(head.decode("latin-1"))
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError, OSError):
            pass
        finally:
            writer.close()

    def _act(self, head):
        first, *lines = head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
        words = first.split(" ")
        token = fields.get("fencing-token", "")
        if len(words) != 3 or words[0] != "POST" or not token.isdigit():
            return "400 Bad Request"
        task, token = words[1].removeprefix("/"), int(token)
        taken = token >= self.seen.get(task, 0) or not self.fenced
        if taken:
            self.seen[task] = token
        holder = fields.get("holder", "")
        self.history.add("resource", "act", task=task, token=token, holder=holder, taken=taken)
        return "200 OK" if taken else "409 Conflict"
