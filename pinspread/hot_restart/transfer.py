"""Upgrades on sockets: one process takes everything over from the one before, by a local socket.

`core/handover.py` decides; this carries it out. A packet is its kind, whether more of it follows, and data;
descriptors ride with the packet that speaks of them.
"""

import array
import io
import os
import pickle
import socket
import struct
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field, fields, is_dataclass
from hashlib import blake2b
from random import Random

import anyio
import anyio.lowlevel
import orjson

from pinspread.core.handover import (
    HandoverSource,
    HandoverStep,
    HandoverTarget,
    SourceState,
    TargetState,
)
from pinspread.core.log import log
from pinspread.core.messages import AttemptResult, Endpoint
from pinspread.errors import JournalFormatError
from pinspread.policy import actions, events, settings, state
from pinspread.policy import delivery_policy as decide
from pinspread.policy.events import Outcome
from pinspread.sockets import Connection, IdleConnection

NAME = "handover"  # of the socket, in the folder that lasts
# What the packet between processes calls the fields of an IdleConnection.
CONNECTION_FIELDS = {"spoke": "answered", "asked": "submitted", "errors": "errors"}
HELLO, NO, LEAVE, STATE, LEG, IDLE, SOCKET, YOURS, TAKEN, ENDED, HEED, PROBED, BAN, BANNED = range(14)
PACKET = 32 * 1024
MOST_PIECES = 2048  # of one message: 64 MB
STEP_S = 2.0  # how long the other side may take for its next word
AGAIN_S = 0.03
BROKEN_S = 0.3  # after an exchange that broke: the old process has the lock back first
BAN_S = 0.8  # an operator's answer is due in a second
REST_S = 10.0  # how long a process that has handed over waits for its SIGTERM
GRACE_US = 200_000  # past a branch's time, for the report of its end


class HandoverFormatError(ValueError):
    """What came is no packet, or no state that can be read."""


class Link:
    """One local connection between two processes."""

    def __init__(self, sock):
        self.sock = sock
        sock.setblocking(False)

    async def send(self, kind: int, data: bytes = b"", fd: int | None = None):
        """One message; a descriptor goes with its first packet."""
        view = memoryview(data)
        at = 0
        while True:
            piece = view[at : at + PACKET]
            at += PACKET
            head = bytes((kind, at < len(view)))
            more = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))] if fd is not None else []
            while True:
                try:
                    self.sock.sendmsg([head, piece], more)
                    break
                except BlockingIOError:
                    await anyio.wait_writable(self.sock)
            fd = None
            if at >= len(view):
                return

    async def receive(self):
        """The next message: kind, data and a descriptor or None; ConnectionResetError at the end."""
        whole, fd, first = bytearray(), None, None
        try:
            for _ in range(MOST_PIECES):
                packet, fds = await self._packet()
                fd = fds.pop(0) if fds and fd is None else fd
                for spare in fds:
                    os.close(spare)
                if len(packet) < 2 or packet[1] > 1 or first not in (None, packet[0]):
                    raise HandoverFormatError("not a packet of the exchange")
                first = packet[0]
                whole += memoryview(packet)[2:]
                if not packet[1]:
                    return first, bytes(whole), fd
            raise HandoverFormatError("a message without an end")
        except BaseException:
            if fd is not None:
                os.close(fd)
            raise

    async def _packet(self):
        while True:
            try:
                packet, more, _, _ = self.sock.recvmsg(PACKET + 2, socket.CMSG_SPACE(4 * 4))
                break
            except BlockingIOError:
                await anyio.wait_readable(self.sock)
        fds = array.array("i")
        for level, kind, data in more:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                fds.frombytes(data[: len(data) - len(data) % fds.itemsize])
        if not packet:
            for fd in fds:
                os.close(fd)
            raise ConnectionResetError("the other process has ended the exchange")
        return packet, list(fds)

    def close(self):
        self.sock.close()


# --- the state -----------------------------------------------------------------------------------


def _classes(module):
    return [c for c in vars(module).values() if isinstance(c, type) and c.__module__ == module.__name__]


SENT = {cls: cls for module in (state, settings, events, actions) for cls in _classes(module)} | {
    cls: cls for cls in (decide.DeliveryPolicy, Endpoint, deque, Random)
}
_BY_NAME = {(c.__module__, c.__name__): c for c in SENT}
_BY_NAME["collections", "deque"] = deque


class _Reader(pickle.Unpickler):
    """Reads nothing but what a courier's state is made of."""

    def find_class(self, module, name):
        # Danger: whatever else is named would be called, with arguments of the sender's choice.
        if (module, name) not in _BY_NAME:
            raise HandoverFormatError(f"{module}.{name} is no part of a courier's state")
        return _BY_NAME[module, name]


def shape(sender) -> str:
    """What a state of this version looks like: the parts of each class that goes over."""
    parts = [sorted(vars(sender))]
    for cls in SENT:
        names = [f.name for f in fields(cls)] if is_dataclass(cls) else list(getattr(cls, "__slots__", ()))
        parts.append([cls.__name__, *map(str, names)])
    return blake2b(orjson.dumps(parts), digest_size=16).hexdigest()


def read_state(data: bytes) -> dict:
    """The state that the process before has sent; Garbled if it is none."""
    try:
        found = _Reader(io.BytesIO(data)).load()
        if not isinstance(found, dict) or type(found["sender"]) is not decide.DeliveryPolicy:
            raise HandoverFormatError("no state")
        return found
    except HandoverFormatError:
        raise
    except Exception as error:  # whatever the bytes make of a reader
        raise HandoverFormatError(f"the state cannot be read: {error!r}") from None


# --- the new process -----------------------------------------------------------------------------


@dataclass
class TransferredState:
    """What a new process starts with; without a state it is alone, and recovers from the journal."""

    state: dict | None = None
    legs: list = field(default_factory=list)  # Kept
    idle: list = field(default_factory=list)  # (next hop's id, address, since when, Connection)
    sockets: dict = field(default_factory=dict)  # name -> listening socket
    link: Link | None = None

    def close(self):
        """It came to nothing."""
        for connection in [kept.connection for kept in self.legs] + [idle[3] for idle in self.idle]:
            connection.close()
        for sock in self.sockets.values():
            sock.close()


def _path(folder):
    """The socket's path, however deep the folder lies, and a descriptor to close."""
    fd = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    return f"/proc/self/fd/{fd}/{NAME}", fd


def _connect(folder):
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    path, fd = _path(folder)
    try:
        sock.connect(path)
        own = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[1]
        if own != os.getuid():
            raise PermissionError("another user's process is there")
        return Link(sock)
    except BaseException:
        sock.close()
        raise
    finally:
        os.close(fd)


async def inherit(folder, owner, journal, sender) -> TransferredState:
    """Take over from the process that owns the folder, or find that nobody does.

    This one owns it on return. Raises JournalUnreadable; the old process serves on then.
    """
    taker = HandoverTarget()
    while not owner.acquire():
        if taker.state is not TargetState.WAITING_FOR_LOCK:
            try:
                link = _connect(folder)
            except OSError:
                await anyio.sleep(AGAIN_S)  # it starts or ends, or its socket was left behind
                continue
            found = await _collect(link, taker, owner, journal, shape(sender))
            if found is not None:
                return found
        await anyio.sleep(AGAIN_S)
    return TransferredState()


async def _collect(link, taker, owner, journal, own_shape):
    """One exchange; None if nothing came of it."""
    found, lock, again_s = TransferredState(link=link), None, 0.0
    try:
        with anyio.fail_after(STEP_S):
            await link.send(HELLO, own_shape.encode())
        taker.request_sent()
        while True:
            with anyio.fail_after(STEP_S):
                kind, data, fd = await link.receive()
            if kind == NO:
                told = orjson.loads(data)
                log("handover_declined", why=told["why"])
                taker.declined(told["busy"])
                break
            if kind == YOURS:
                lock = fd
                break
            _gather(found, kind, data, fd)
        if lock is not None and taker.received(found.state is not None) is HandoverStep.TAKE_OVER:
            journal.read()
            taker.lock_received(True)
            owner.adopt_descriptor(lock)
            lock = None
            await link.send(TAKEN)
            taken, found = found, TransferredState()
            return taken
    except JournalFormatError as error:
        taker.lock_received(False)
        with suppress(OSError):
            await link.send(NO, orjson.dumps({"why": str(error), "busy": False}))
        raise
    except (OSError, ValueError, TimeoutError, KeyError) as error:
        log("handover_broke", error=str(error) or type(error).__name__, state=taker.state.value)
        # Danger: without its *taken* heard, the old process serves on, or is gone and the lock free.
        owner.release()
        if isinstance(error, ValueError):
            taker.received(False)  # garbled: it would be garbled again
        taker.exchange_failed()
        again_s = BROKEN_S
    finally:
        if lock is not None:
            os.close(lock)
        if found.link is not None:
            found.close()
            link.close()
    await anyio.sleep(again_s)
    if taker.state is TargetState.WAITING_FOR_LOCK:
        await _ask_to_leave(owner.folder)
    return None


async def _ask_to_leave(folder):
    """Have the process before end; it hears on a connection of its own, once the exchange is over."""
    try:
        link = _connect(folder)
        with anyio.fail_after(STEP_S):
            await link.send(LEAVE)
        link.close()
    except (OSError, TimeoutError) as error:
        log("handover_broke", error=str(error), state="asking it to leave")


def _gather(found, kind, data, fd):
    """One message of what is handed over."""
    if kind == STATE:
        found.state = read_state(data)
    elif kind == LEG and fd is not None:
        head, _, rest = data.partition(b"\n")
        told = orjson.loads(head)
        size = told.pop("unread")
        fields = {CONNECTION_FIELDS[name]: value for name, value in told.items()}
        found.legs.append(IdleConnection(_adopted(fd), unread=rest[:size], unsent=rest[size:], **fields))
    elif kind == IDLE and fd is not None:
        found.idle.append((*orjson.loads(data), _adopted(fd)))
    elif kind == SOCKET and fd is not None:
        found.sockets[data.decode()] = socket.socket(fileno=fd)
    else:
        if fd is not None:
            os.close(fd)
        raise HandoverFormatError(f"message {kind} is out of place")


def _adopted(fd):
    sock = socket.socket(fileno=fd)
    try:
        return Connection(sock)
    except OSError:  # its other side has reset it: that shows at the first use
        connection = Connection.__new__(Connection)
        connection.sock, connection.unsent_bytes = sock, 0
        connection.idle_since_us, connection.finished = 0, False
        return connection


async def follow(link, engine, clock):
    """Hear how what the process before still has out ends, and pass on what its door is asked."""
    left = list(engine.attempts)
    probes = list(engine.health_checks)

    async def late(key, attempt):
        # Danger: a process that hangs would tell nothing, and a message would never have its answer.
        await anyio.sleep(max(0, attempt.ends_us() + GRACE_US - clock.now()) / 1e6)
        engine.predecessor_attempt_ended(
            *key, AttemptResult(Outcome.TIMEOUT, note="its process did not tell")
        )

    async with anyio.create_task_group() as tasks:
        for key in left:
            tasks.start_soon(late, key, engine.attempts[key])
        try:
            while True:
                kind, data, fd = await link.receive()
                if fd is not None:
                    os.close(fd)
                await _report(link, engine, kind, orjson.loads(data))
        except (OSError, ValueError, KeyError, TypeError) as error:
            log("predecessor_gone", why=str(error) or type(error).__name__)
            engine.predecessor_lost(left, probes)
        tasks.cancel_scope.cancel()
    link.close()


async def _report(link, engine, kind, told):
    if kind == ENDED:
        number, n, outcome = told
        engine.predecessor_attempt_ended(number, n, _outcome(outcome))
    elif kind == HEED:
        engine.predecessor_retry_after(*told)
    elif kind == PROBED:
        id_, outcome = told
        engine.predecessor_health_check_ended(id_, _outcome(outcome))
    elif kind == BAN:
        id_, out, n = told
        known = await (engine.disable(id_) if out else engine.enable(id_))
        await link.send(BANNED, orjson.dumps([n, known]))
    else:
        raise HandoverFormatError(f"message {kind} is out of place")


# The keys of an attempt's result in a packet, and the fields of `AttemptResult` that hold them.
RESULT_FIELDS = {
    "verdict": "outcome",
    "wait_us": "retry_after_us",
    "over": "no_longer_wanted",
    "note": "note",
    "idle_us": "idle_us",
    "opened": "opened",
    "left": "limit_remaining",
    "limit": "limit_per_s",
}


def _packed_result(result):
    return {key: getattr(result, field) for key, field in RESULT_FIELDS.items()}


def _outcome(told):
    found = AttemptResult(**{RESULT_FIELDS[key]: value for key, value in told.items()})
    found.outcome = Outcome(found.outcome)
    return found


# --- the old process -----------------------------------------------------------------------------


class Successor:
    """The process after this one, for this one's core."""

    def __init__(self, link):
        self.link = link
        self.queue = deque()
        self.wake = anyio.Event()
        self.asked = {}  # number of a question -> (event, answers)
        self.gone = False

    def _put(self, kind, *told):
        self.queue.append((kind, orjson.dumps(told)))
        self.wake.set()

    def attempt_ended(self, number, attempt, outcome):
        """A branch that was out here has ended."""
        self._put(ENDED, number, attempt, _packed_result(outcome))

    def apply_retry_after(self, id_, retry_after_us):
        """A next hop told to wait."""
        self._put(HEED, id_, retry_after_us)

    def health_check_ended(self, id_, outcome):
        """A probe that was out here has ended."""
        self._put(PROBED, id_, _packed_result(outcome))

    async def set_blocked(self, id_, out):
        """Pass on what an operator asks here; TimeoutError without an answer in time."""
        n, heard, answers = len(self.asked), anyio.Event(), []
        self.asked[n] = heard, answers
        self._put(BAN, id_, out, n)
        with anyio.fail_after(BAN_S):
            await heard.wait()
        return answers[0]

    async def run(self):
        """Tell it all until the exchange ends."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._hear, tasks.cancel_scope)
            with suppress(OSError):
                while True:
                    await self.wake.wait()
                    self.wake = anyio.Event()
                    while self.queue:
                        await self.link.send(*self.queue[0])
                        self.queue.popleft()
            self.gone = True
            tasks.cancel_scope.cancel()

    async def _hear(self, scope):
        try:
            while True:
                kind, data, _ = await self.link.receive()
                if kind == BANNED:
                    n, known = orjson.loads(data)
                    heard, answers = self.asked[n]
                    answers.append(known)
                    heard.set()
        except (OSError, ValueError, KeyError) as error:
            log("successor_gone", why=str(error) or type(error).__name__)
        self.gone = True
        scope.cancel()


class Succession:
    """The socket on which the next process asks, as long as this one serves."""

    def __init__(self, service, folder):
        self.service = service
        self.folder = folder
        self.giver = HandoverSource("")

    async def run(self):
        """Answer whoever asks, one after the other, until cancelled."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        path, fd = _path(self.folder)
        try:
            with suppress(FileNotFoundError):
                os.unlink(path)  # one that was left behind, or the process before's
            sock.bind(path)
            os.chmod(path, 0o600)
            sock.listen(4)
            sock.setblocking(False)
            while True:
                try:
                    peer, _ = sock.accept()
                except BlockingIOError:
                    await anyio.wait_readable(sock)
                    continue
                link = Link(peer)
                try:
                    await self._serve(link)
                finally:
                    link.close()
        except OSError as error:
            log("no_handover", error=str(error))  # it serves all the same; an upgrade ends it first
        finally:
            sock.close()
            os.close(fd)

    async def _serve(self, link):
        self.giver.shape = shape(self.service.engine.policy)
        try:
            with anyio.fail_after(STEP_S):
                kind, data, _ = await link.receive()
                do = self.giver.requested(data.decode()) if kind == HELLO else HandoverStep.DECLINE
                if kind == HELLO and do is HandoverStep.DECLINE:
                    busy = self.giver.state is not SourceState.SERVING
                    await link.send(NO, orjson.dumps({"why": self.giver.decline_reason, "busy": busy}))
            if kind == LEAVE and self.giver.shutdown_requested() is HandoverStep.SHUT_DOWN:
                log("asked_to_leave")
                self.service.leave()
            if do is not HandoverStep.TRANSFER:
                return
        except (OSError, ValueError, TimeoutError) as error:
            log("handover_broke", error=str(error) or type(error).__name__, state=self.giver.state.value)
            return
        successor = Successor(link)
        given = await self.service.rest(successor)
        try:
            with anyio.fail_after(2 * STEP_S):
                await self._give(link, given)
                kind, data, _ = await link.receive()
            if kind == NO:
                log("handover_declined", why=orjson.loads(data)["why"])
            do = self.giver.taken_over() if kind == TAKEN else self.giver.exchange_failed()
        except (OSError, ValueError, TimeoutError, KeyError) as error:
            log("handover_broke", error=str(error) or type(error).__name__, state=self.giver.state.value)
            do = self.giver.exchange_failed()
        if do is HandoverStep.REACQUIRE_LOCK:
            link.close()
            do = self.giver.lock_result(await self._retaken())
        if do is HandoverStep.RESUME:
            self.service.resume(given)
            return
        log("handed_over", legs=len(given["legs"]), out=len(given["state"]["out"]))
        self.service.given(given)
        await successor.run()

    async def _retaken(self):
        """Whether the lock is this process's again: the other lets it go at once if it does not own all."""
        owner = self.service.owner
        owner.release()
        with anyio.move_on_after(STEP_S):
            while not owner.acquire():
                await anyio.sleep(AGAIN_S)
            return True
        return False

    async def _give(self, link, given):
        await link.send(STATE, given["blob"])
        for kept in given["legs"]:
            told = {name: getattr(kept, field) for name, field in CONNECTION_FIELDS.items()}
            told["unread"] = len(kept.unread)
            data = orjson.dumps(told) + b"\n" + kept.unread + kept.unsent
            await link.send(LEG, data, kept.connection.sock.fileno())
        for id_, address, idle_us, connection in given["idle"]:
            await link.send(IDLE, orjson.dumps([id_, address, idle_us]), connection.sock.fileno())
        for name, sock in given["sockets"].items():
            await link.send(SOCKET, name.encode(), sock.fileno())
        await link.send(YOURS, b"", given["lock"])


def packed(told: dict) -> bytes:
    """A state as it goes over."""
    return pickle.dumps(told, protocol=5)
