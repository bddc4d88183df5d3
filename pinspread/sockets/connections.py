"""Non-blocking TCP on anyio's readiness calls: it is known at each moment how much has been written."""

import errno
import socket
from dataclasses import dataclass

import anyio
import anyio.lowlevel

from pinspread.core.log import log

READ_SIZE = 1 << 16
LEAST_BUFFER = 1 << 13
FIRST_US = 2_200_000  # for a first command, or the rest of a begun one; a caller leg is owed an end in 3 s
SILENT_US = 100_000  # after which one whose turn it is to speak gives way to newcomers, if it must
IDLE_US = 2_000_000  # before which one that has handed messages in is the last to give way
LONG_IDLE_US = 2_100_000  # after which it is closed though there is room
SWEEP_S = 0.25
FULL_S = 0.01
PART_S = 3.0


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


class ClientConnection:
    """What the room knows of one caller leg."""

    __slots__ = ("asked", "bytes", "connection", "half", "kept", "since_us", "spoke", "word")

    def __init__(self, connection, now_us):
        self.connection = connection
        self.since_us = now_us  # since when it waits for its next command, or that for its rest
        self.spoke = False  # whether a command of it has been answered well
        self.asked = False  # whether it has handed a message in
        self.half = False  # whether a command has begun and is not whole
        self.kept = False  # its protocol tells by itself when the other side is gone
        self.bytes = 0  # held for it beyond what each leg has
        self.word = b""  # the last word if it does not say a whole command in time

    def begun(self, now_us):
        """A command has begun and is not whole; a first one counts from the leg's own begin."""
        if self.spoke and not self.half:
            self.since_us = now_us
        self.half = True

    def spoken(self, now_us):
        """A command was answered well."""
        self.spoke, self.half = True, False
        self.since_us = now_us


class ConnectionLimiter:
    """How many caller legs the fronts may hold together, and how many bytes for them."""

    def __init__(self, clock, most=512, most_bytes=8 << 20):
        self.clock = clock
        self.resize(most, most_bytes)
        self.bytes = 0
        self.legs = {}  # connection -> Leg, in the order in which they came

    def resize(self, most, most_bytes):
        """Other limits count from now on; legs that are over them give way as usual."""
        self.most = most
        self.most_asked = most * 2 // 5  # legs that hand messages in: a quarter of the descriptors
        self.most_bytes = most_bytes

    def enter(self, connection):
        """Another caller leg."""
        leg = self.legs[connection] = ClientConnection(connection, self.clock.now())
        return leg

    def leave(self, leg):
        """It has ended."""
        self.hold(leg, 0)
        self.legs.pop(leg.connection, None)

    def hold(self, leg, size) -> bool:
        """Have that many bytes held for a leg; false if there is no room for more."""
        more = size - leg.bytes
        # Danger: hundreds of commands that are never finished would take all memory.
        if more > 0 and self.bytes + more > self.most_bytes:
            return False
        self.bytes += more
        leg.bytes = size
        return True

    def make(self) -> bool:
        """Whether there is room for another leg; one that serves nobody gives way."""
        legs = self.legs.values()
        if len(legs) < self.most_asked:
            return True
        # Danger: callers that say nothing, or asked once and stay, would keep the usual ones out. Those may
        # hold a third of the descriptors: at that they can open no more, and their requests fail unseen.
        now_us = self.clock.now()
        asked = [leg for leg in legs if leg.asked]
        full = len(legs) >= self.most
        if len(asked) < self.most_asked and not full:
            return True
        spare = asked if len(asked) >= self.most_asked else legs
        idle = [leg for leg in spare if not leg.kept and now_us - leg.since_us > SILENT_US]
        # First those that never handed anything in, then those that have waited longest for their turn.
        while idle:
            leg = min(idle, key=lambda leg: (leg.asked and now_us - leg.since_us < IDLE_US, leg.since_us))
            if leg.connection.quiet():
                self._end(leg, "room for others")
                return True
            idle.remove(leg)
        return not full

    def sweep(self):
        """End the legs that keep what they began waiting, or have been idle for long."""
        now_us = self.clock.now()
        for leg in list(self.legs.values()):
            if leg.kept:
                continue
            idle = leg.spoke and not leg.half
            # Danger: its command is there already, and the loop was late; ended now, it would have no answer.
            # Who always has bytes unread and never a whole command is ended all the same, a little later.
            late = idle or now_us - leg.since_us < FIRST_US + int(2 * SWEEP_S * 1_000_000)
            if late and not leg.connection.quiet():
                continue
            if now_us - leg.since_us > (LONG_IDLE_US if idle else FIRST_US):
                # Danger: a command that was half sent, or never begun, is owed an answer or a close in time.
                if leg.word and not idle:
                    leg.connection.say(leg.word)
                self._end(leg, "idle" if idle else "no command")

    def _end(self, leg, why):
        log("leg_ended", why=why, legs=len(self.legs), spoke=leg.spoke, asked=leg.asked)
        self.legs.pop(leg.connection, None)
        leg.connection.end()

    async def run(self):
        """Sweep until cancelled."""
        while True:
            await anyio.sleep(SWEEP_S)
            self.sweep()


@dataclass(slots=True)
class IdleConnection:
    """A caller leg that goes from one process to the next."""

    connection: "Connection"
    spoke: bool = False
    asked: bool = False
    errors: int = 0
    unread: bytes = b""  # read from it and not answered
    unsent: bytes = b""  # answered and not written


async def in_room(room, serve, connection, *more):
    """Serve a connection that counts as long as it is served."""
    leg = room.enter(connection)
    try:
        await serve(connection, leg, *more)
    finally:
        room.leave(leg)


async def accept_forever(sock: socket.socket, tasks, serve, room: ConnectionLimiter | None = None):
    """Start `serve(connection)` for each connection that comes and finds room; with a leg, if it counts."""
    while True:
        if room and not room.make():
            # Danger: callers that take all descriptors leave none for branches, notices and the journal.
            # Closed at once, a newcomer has failed; left with the kernel, it waits for a leg to end.
            await anyio.sleep(FULL_S)
            continue
        try:
            peer, _ = sock.accept()
        except BlockingIOError:
            await anyio.wait_readable(sock)
            continue
        except OSError as error:
            # Danger: accept also tells what befell a newcomer on its way, by any of the network's errors.
            if error.errno in (errno.EBADF, errno.EINVAL, errno.ENOTSOCK):
                raise
            await anyio.sleep(0.05)  # out of descriptors, or memory: those in use must not be lost
            continue
        try:
            connection = Connection(peer)
        except OSError:
            peer.close()  # gone already
            continue
        tasks.start_soon(*((in_room, room, serve) if room else (serve,)), connection)
        await anyio.lowlevel.checkpoint()  # Danger: a flood of newcomers would hold the loop


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


class ReadBuffer:
    """Bytes read and not yet consumed; slices of it are good until the next read."""

    def __init__(self, hold=None):
        self.data = bytearray(LEAST_BUFFER)
        self.start = self.end = 0
        self.hold = hold or (lambda size: True)  # asked before it grows; ConnectionRefusedError if it may not

    def view(self) -> memoryview:
        """What is to be parsed."""
        return memoryview(self.data)[self.start : self.end]

    def put(self, data: bytes):
        """Have bytes in it that were read elsewhere."""
        self.data = bytearray(max(LEAST_BUFFER, 2 * len(data)))
        self.data[: len(data)] = data
        self.start, self.end = 0, len(data)

    def consume(self, size: int):
        """Done with that much of the view."""
        self.start += size
        if self.start == self.end:
            self.start = self.end = 0

    def room(self) -> memoryview:
        """A writable slice behind what is held, made larger or moved to the front where it is short."""
        if not self.end and len(self.data) > LEAST_BUFFER:
            self.data = bytearray(LEAST_BUFFER)
        if len(self.data) - self.end < LEAST_BUFFER // 4:
            held = bytes(self.view())
            if len(held) > len(self.data) // 2:
                if not self.hold(2 * len(self.data)):
                    raise ConnectionRefusedError("no room for more of it")
                self.data = bytearray(2 * len(self.data))
            self.data[: len(held)] = held
            self.start, self.end = 0, len(held)
        return memoryview(self.data)[self.end :]

    async def fill(self, connection) -> bool:
        """Read once; false at the end."""
        got = await connection.read_into(self.room())
        self.end += got
        return got > 0
