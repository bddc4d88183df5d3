"""Non-blocking TCP on anyio's readiness calls: it is known at each moment how much has been written."""

import errno
import socket

import anyio
import anyio.lowlevel

from pinspread.sockets.address import split_address

READ_SIZE = 1 << 16
PART_S = 3.0


async def dial(address: str) -> "Connection":
    """Open a connection; OSError if that fails."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(split_address(address))
        if code == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        return Connection(sock)
    except BaseException:
        sock.close()
        raise


class Connection:
    """One TCP connection, used by one task at a time."""

    __slots__ = ("idle_us", "left", "over", "sock")

    def __init__(self, sock):
        self.sock = sock
        self.left = 0  # bytes of the current write that the kernel has not taken yet
        self.idle_us = 0  # since when a pool keeps it
        self.over = False  # this side has said its end: nothing that is read from now on can be answered
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def write(self, data):
        """Write it all; `left` tells at each moment how much is still to go."""
        view = memoryview(data)
        self.left = len(view)
        while self.left:
            try:
                self.left -= self.sock.send(view[len(view) - self.left :])
            except BlockingIOError:
                await self._ready(anyio.wait_writable)

    async def _ready(self, wait):
        try:
            await wait(self.sock)
        except anyio.ClosedResourceError:
            raise ConnectionResetError("closed by another task") from None

    async def read_into(self, room) -> int:
        """Read what is there into a writable slice; 0 at the end."""
        return await self._receive(self.sock.recv_into, room)

    async def read(self) -> bytes:
        """Read what is there; empty at the end."""
        return await self._receive(self.sock.recv, READ_SIZE)

    async def _receive(self, receive, what):
        waited = False
        while True:
            try:
                got = receive(what)
            except BlockingIOError:
                await self._ready(anyio.wait_readable)
                waited = True
                continue
            if not waited:
                # Danger: who always finds data would hold the loop, and all others wait for its turn. What
                # has been read must not be lost where the task is cancelled, for it may go to a next process.
                await anyio.lowlevel.cancel_shielded_checkpoint()
            return got

    def quiet(self) -> bool:
        """Whether the other side has neither closed nor sent anything."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def ended(self) -> bool:
        """Whether the other side has closed, and nothing of it is left to read; or this side has."""
        # Danger: bytes that came in the moment of our own end are read behind it. What they ask for could be
        # taken on and never answered, and its client hands it in a second time.
        if self.over:
            return True
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def finish(self):
        """Say that nothing more will come; what the other side still sends is read as before."""
        self.over = True
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def say(self, data):
        """Write a short last word if the other side takes it at once."""
        try:
            self.sock.send(data)
        except OSError:
            pass

    async def part(self):
        """After a last word: read what still comes, until the other side has ended or for a while."""
        # Danger: a connection closed over unread bytes is reset, and the last word is lost with it.
        try:
            self.sock.shutdown(socket.SHUT_WR)
            with anyio.move_on_after(PART_S):
                while await self.read_into(_scratch):
                    pass
        except OSError:
            pass

    def end(self):
        """End it under a task that may be waiting for it: that one sees the other side's end, and closes."""
        # Danger: closed here, its number goes to another socket before that task has left its wait, and the
        # task takes the other one's wait away with its own: a call there would never see its answer.
        self.over = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def close(self):
        self.sock.close()


_scratch = memoryview(bytearray(READ_SIZE))
