"""Non-blocking TCP connections on anyio's readiness calls.

Streams of higher levels buffer what is written. Here it is known at each moment how many bytes the kernel has
taken, which tells whether a request that broke off can have reached the other side.
"""

import contextlib
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.lowlevel

from pinspread.sockets.address import split_address

READ_SIZE = 1 << 16  # bytes that are read at once
LINGER_S = 3.0  # how long the other side may take to end a connection that was shut down here

_Received = TypeVar("_Received", int, bytes)
_discarded = memoryview(bytearray(READ_SIZE))  # where bytes go that nobody reads


class Connection:
    """One TCP connection, used by one task at a time.

    Attributes:
        sock: The socket.
        unsent_bytes: How many bytes of the current write the kernel has not taken yet.
        idle_since_us: Since when a pool has kept it, in microseconds on the monotonic clock.
        finished: This side has ended the stream: nothing that is read from now on can be answered.
    """

    __slots__ = ("finished", "idle_since_us", "sock", "unsent_bytes")

    def __init__(self, sock: socket.socket) -> None:
        """Take over a connected socket.

        Raises:
            OSError: The other side has reset it already.
        """
        self.sock = sock
        self.unsent_bytes = 0
        self.idle_since_us = 0
        self.finished = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write all of it; `unsent_bytes` tells at each moment how much is still to go.

        Raises:
            OSError: The connection is broken.
        """
        view = memoryview(data)
        self.unsent_bytes = len(view)
        while self.unsent_bytes:
            try:
                self.unsent_bytes -= self.sock.send(view[len(view) - self.unsent_bytes :])
            except BlockingIOError:
                await self._wait(anyio.wait_writable)

    async def _wait(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        try:
            await wait(self.sock)
        except anyio.ClosedResourceError:
            raise ConnectionResetError("closed by another task") from None

    async def read_into(self, target: memoryview) -> int:
        """Read what is there into a writable slice; 0 at the end of the stream.

        Raises:
            OSError: The connection is broken.
        """
        return await self._receive(self.sock.recv_into, target)

    async def read(self) -> bytes:
        """Read what is there; empty at the end of the stream.

        Raises:
            OSError: The connection is broken.
        """
        return await self._receive(self.sock.recv, READ_SIZE)

    async def _receive(self, receive: Callable[..., _Received], argument: memoryview | int) -> _Received:
        waited = False
        while True:
            try:
                received = receive(argument)
            except BlockingIOError:
                await self._wait(anyio.wait_readable)
                waited = True
                continue
            if not waited:
                # A connection that always has data would hold the event loop, so others get their turn here.
                # The checkpoint is shielded: what was read would be lost with a cancelled task, though it may
                # have to go to the next process.
                await anyio.lowlevel.cancel_shielded_checkpoint()
            return received

    def is_idle(self) -> bool:
        """Whether the other side has neither closed nor sent anything that is still unread."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def is_finished(self) -> bool:
        """Whether this side has ended the stream, or the other has and nothing of it is left to read."""
        # Bytes that came in the moment of our own end are read after it. What they ask for could be accepted
        # and never answered, and its client would submit it a second time.
        if self.finished:
            return True
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def send_eof(self) -> None:
        """End the stream in this direction; what the other side still sends can be read as before."""
        self.finished = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def try_write(self, data: bytes) -> None:
        """Write a short last reply if the kernel takes it at once; otherwise it is lost."""
        with contextlib.suppress(OSError):
            self.sock.send(data)

    async def linger(self) -> None:
        """After a last reply: end the stream and discard what still comes, until the other side ends too.

        It takes `LINGER_S` seconds at the most. Closed over unread bytes, a connection is reset, and the last
        reply is lost with it.
        """
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            with anyio.move_on_after(LINGER_S):
                while await self.read_into(_discarded):
                    pass

    def shutdown(self) -> None:
        """End both directions under a task that may be waiting: it sees the end of the stream, and closes."""
        # Closed here, the descriptor's number would go to another socket before that task has left its wait.
        # The task would take the other one's wait away with its own: a call there never saw its response.
        self.finished = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket. No task may be waiting for it."""
        self.sock.close()


async def dial(address: str) -> Connection:
    """Open a connection to `host:port`.

    Raises:
        OSError: The connection could not be opened.
        ValueError: The address is not of the form `host:port`.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        await _connect(sock, split_address(address))
        return Connection(sock)
    except BaseException:
        sock.close()
        raise


async def _connect(sock: socket.socket, host_and_port: tuple[str, int]) -> None:
    code = sock.connect_ex(host_and_port)
    if code == errno.EINPROGRESS:
        await anyio.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, errno.errorcode.get(code, "connect failed"))
