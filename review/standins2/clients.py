"""A RESP2 client that hands in messages as the protocol page says, one at a time."""

import asyncio
import secrets
from dataclasses import dataclass, field

ANSWER_S = 0.4  # a client waits so long for the answer, and then closes the connection


def command(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def new_id() -> str:
    """Return a new message id."""
    return secrets.token_hex(8)


@dataclass
class Message:
    """A message to hand in, with a new id; its idempotency key is that id."""

    class_name: str
    destination: int
    deadline_ms: int
    key: str = "0"
    body: bytes = b"hello"
    tenant: str = "north-circuit"  # empty where a deployment has no tenants
    id: str = field(default_factory=new_id)

    def request(self) -> bytes:
        """Encode the request."""
        tenant = f"t={self.tenant}," if self.tenant else ""
        options = f"c={self.class_name},{tenant}d={self.deadline_ms},k={self.id},dest={self.destination}"
        key = self.key.zfill(16).encode()
        return command(b"ENQUEUE", key, self.id.encode(), options.encode(), self.body)


class Client:
    """One client with one connection, which is opened anew when the courier has closed it.

    Args:
        port: The courier's port on 127.0.0.1.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, request: bytes, timeout_s: float = ANSWER_S) -> str:
        """Send a request and return the first line of the answer; empty if none came in time.

        A request that meets a closed resting connection is sent once more on a new one.
        """
        resting = self._writer is not None
        answer = await self._call_once(request, timeout_s)
        if answer == "closed" and resting:
            answer = await self._call_once(request, timeout_s)
        return "" if answer == "closed" else answer

    async def _call_once(self, request: bytes, timeout_s: float) -> str:
        try:
            if self._reader is None or self._writer is None:
                self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
            self._writer.write(request)
            line = await asyncio.wait_for(self._reader.readline(), timeout_s)
        except TimeoutError:
            self.close()
            return ""
        except OSError:
            line = b""
        if not line:
            self.close()
            return "closed"
        return line.decode("ascii", "replace").strip()

    async def enqueue(self, message: Message) -> str:
        """Hand in a message; return the answer."""
        return await self.call(message.request())

    async def wait_ready(self, timeout_s: float) -> bool:
        """Wait until the courier answers PING with PONG."""
        end = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < end:
            if await self.call(command(b"PING"), 1.0) == "+PONG":
                return True
            self.close()
            await asyncio.sleep(0.05)
        return False

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
