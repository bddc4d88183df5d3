"""Non-blocking TCP connections, which wait with anyio for sockets to become readable or writable.

Higher-level streams buffer what is written. Here it is always known how many bytes the kernel has taken, and
so whether an interrupted request can have reached the peer.
"""

import contextlib
import errno
import select
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.lowlevel

from pinspread.core.address import split_address

READ_SIZE = 1 << 16  # maximum bytes of one read
SHOWN_BYTES = 64  # unread bytes that the log shows
LINGER_S = 3.0  # how long `linger` waits for the peer to end its stream

_Received = TypeVar("_Received", int, bytes)
_discarded = memoryview(bytearray(READ_SIZE))  # receives the bytes that `linger` discards


class UnexpectedBytesError(OSError):
    """A peer sent something, or ended the connection, before a request was written in full.

    Attributes:
        found: What was there to be read, as text for the log.
    """

    def __init__(self, found: str) -> None:
        super().__init__(f"expected silence before the request, found {found}")
        self.found = found


class Connection:
    """One TCP connection, used by one task at a time.

    Attributes:
        sock: The socket.
        unsent_bytes: How many bytes of the current write the kernel has not taken yet.
        finished: This side has ended the stream: what is read from now on cannot be answered.
        awaiting_input: A task waits for the peer to send something, and holds nothing that was read before.
    """

    __slots__ = ("awaiting_input", "finished", "sock", "unsent_bytes")

    def __init__(self, sock: socket.socket) -> None:
        """Take over a connected socket.

        Raises:
            OSError: The peer has reset the connection already.
        """
        self.sock = sock
        self.unsent_bytes = 0
        self.finished = False
        self.awaiting_input = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def write_to_silent_peer(self, data: bytes) -> None:
        """Write all of a request to a peer that has nothing to say before it has the last byte.

        Nothing is awaited between a check and the write behind it.

        Raises:
            UnexpectedBytesError: The peer sent something, or ended the connection, before the last byte was
                written. It would be taken for the response.
            OSError: The connection is broken.
        """
        view = memoryview(data)
        self.unsent_bytes = len(view)
        while self.unsent_bytes:
            found = self.unread()
            if found is not None:
                raise UnexpectedBytesError(found)
            try:
                self.unsent_bytes -= self.sock.send(view[len(view) - self.unsent_bytes :])
            except BlockingIOError:
                await self._wait(anyio.wait_writable)

    async def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write all of the data; meanwhile `unsent_bytes` is what the kernel has not taken yet.

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
            raise ConnectionResetError("connection closed by another task") from None

    async def read_into(self, target: memoryview) -> int:
        """Read available bytes into a writable slice, waiting for some; return 0 at the end of the stream.

        Raises:
            OSError: The connection is broken.
        """
        return await self._receive(self.sock.recv_into, target)

    async def read(self) -> bytes:
        """Read available bytes, waiting for some; return no bytes at the end of the stream.

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
                await self._wait_for_input()
                waited = True
                continue
            if not waited:
                # A connection that always has data would block the event loop: other tasks get a turn here.
                # The checkpoint is shielded from cancellation, which would lose the bytes that were just
                # read. They may have to be passed to the next process.
                await anyio.lowlevel.cancel_shielded_checkpoint()
            return received

    async def _wait_for_input(self) -> None:
        self.awaiting_input = True
        try:
            await self._wait(anyio.wait_readable)
        finally:
            self.awaiting_input = False

    @property
    def local_port(self) -> int:
        """The port of this side."""
        port: int = self.sock.getsockname()[1]
        return port

    def is_idle(self) -> bool:
        """Return whether the peer has neither closed the connection nor sent bytes that are still unread."""
        return self.unread() is None

    def unread(self) -> str | None:
        """Return what is there to be read, as text for the log; None if nothing is."""
        try:
            data = self.sock.recv(SHOWN_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as error:
            return errno.errorcode.get(error.errno or 0, str(error))
        return repr(data) if data else "end of the stream"

    def is_finished(self) -> bool:
        """Return whether this side has ended the stream, or the peer has and all its bytes are read."""
        # Bytes that arrive while this side ends the stream are read afterwards. A message in them could be
        # accepted but not answered, and its client would submit it a second time.
        if self.finished:
            return True
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def peer_has_left(self) -> bool:
        """Return whether the peer has ended its stream or reset the connection, though bytes may be unread.

        A read shows the end only behind all bytes that arrived before it.
        """
        if self.sock.fileno() < 0:
            return True  # closed here
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        # Besides the end of the stream, poll always reports a reset and an error.
        return bool(poll.poll(0)) or self.is_finished()

    def send_eof(self) -> None:
        """End the outgoing stream; what the peer still sends can be read as before."""
        self.finished = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def try_write(self, data: bytes) -> None:
        """Write a short last reply without waiting; it is lost if the kernel does not take it at once."""
        with contextlib.suppress(OSError):
            self.sock.send(data)

    async def linger(self) -> None:
        """End the stream after a last reply, and discard incoming bytes until the peer ends its stream too.

        It takes at most `LINGER_S` seconds. The kernel resets a connection that is closed with bytes unread,
        and the last reply would be lost.
        """
        self.send_eof()
        with contextlib.suppress(OSError), anyio.move_on_after(LINGER_S):
            while await self.read_into(_discarded):
                pass

    def shutdown(self) -> None:
        """End both directions; a task that waits for the socket sees the end of the stream and closes it.

        The descriptor stays open until then. If it were closed here, another socket could get its number
        before the waiting task has left its wait, and the end of that wait would remove the wait of the other
        socket: a call on that one never saw its response.
        """
        self.finished = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket, for which no task may be waiting."""
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
