"""Non-blocking TCP on anyio's readiness calls: it is known at each moment how much has been written."""

import errno
import socket

import anyio
import anyio.lowlevel

READ_SIZE = 1 << 16


def split_address(address: str) -> tuple[str, int]:
    """host:port as a pair."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not host:port: {address!r}")
    return host, int(port)


def listen(address: str) -> socket.socket:
    """A listening socket on this address only."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(512)
    sock.setblocking(False)
    return sock


class Room:
    """How many caller legs the fronts may hold together."""

    def __init__(self, most=512):
        self.most = most
        self.used = 0


async def accept_forever(sock: socket.socket, tasks, serve, room: Room | None = None):
    """Start `serve(connection)` for each connection that comes and finds room."""
    room = room or Room()

    async def held(connection):
        room.used += 1
        try:
            await serve(connection)
        finally:
            room.used -= 1

    while True:
        try:
            peer, _ = sock.accept()
        except BlockingIOError:
            await anyio.wait_readable(sock)
            continue
        except OSError as error:
            if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED):
                raise
            await anyio.sleep(0.05)  # out of descriptors: those in use must not be lost
            continue
        if room.used >= room.most:
            # Danger: callers that take all descriptors leave none for branches, notices and the journal.
            peer.close()
            await anyio.sleep(0)
            continue
        tasks.start_soon(held, Connection(peer))


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

    __slots__ = ("idle_us", "left", "sock")

    def __init__(self, sock):
        self.sock = sock
        self.left = 0  # bytes of the current write that the kernel has not taken yet
        self.idle_us = 0  # since when a pool keeps it
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
                # Danger: who always finds data would hold the loop, and all others wait for its turn.
                await anyio.lowlevel.checkpoint()
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
        """Whether the other side has closed, and nothing of it is left to read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self):
        self.sock.close()


class ReadBuffer:
    """Bytes read and not yet consumed; slices of it are good until the next read."""

    def __init__(self, size=1 << 14):
        self.data = bytearray(size)
        self.start = self.end = 0

    def view(self) -> memoryview:
        """What is to be parsed."""
        return memoryview(self.data)[self.start : self.end]

    def consume(self, size: int):
        """Done with that much of the view."""
        self.start += size
        if self.start == self.end:
            self.start = self.end = 0

    def room(self) -> memoryview:
        """A writable slice behind what is held, made larger or moved to the front where it is short."""
        if len(self.data) - self.end < 4096:
            held = bytes(self.view())
            if len(held) > len(self.data) // 2:
                self.data = bytearray(2 * len(self.data))
            self.data[: len(held)] = held
            self.start, self.end = 0, len(held)
        return memoryview(self.data)[self.end :]

    async def fill(self, connection) -> bool:
        """Read once; false at the end."""
        got = await connection.read_into(self.room())
        self.end += got
        return got > 0
