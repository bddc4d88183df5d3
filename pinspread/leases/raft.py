"""The voters' agreement on the rows of leases: Raft by pysyncobj, over streams of our own.

One simplex TCP stream for each directed pair of voters, opened by the sender from its own address: a hello,
then frames as `wire` seals them. Order within a stream matters to the library, which cuts a follower's log
at what a message says; so a stream that is opened anew ends the one before it. What is not well-formed, not
from a voter, or holds a command that could call something is logged and refused, and ends its stream.

A voter whose folder is empty may have forgotten votes and entries. It is *fresh* until all other voters have
said that their logs are empty too (the fleet's first start), or until it has applied an entry of a leader's
own term, which it got without a vote of its own; until then it neither votes nor stands.
"""

import pickletools
import random
from collections import Counter
from contextlib import contextmanager
from pathlib import Path

import anyio
import msgpack
import pysyncobj
import pysyncobj.syncobj
from anyio.streams.buffered import BufferedByteReceiveStream
from pysyncobj.config import FAIL_REASON
from pysyncobj.node import Node
from pysyncobj.transport import Transport

from pinspread.core.log import log
from pinspread.leases import raft_log as raftlog
from pinspread.leases import state_machine as lease
from pinspread.membership import codec as wire
from pinspread.sockets import split_address

MAGIC = b"PSQ"
TICK_S = 0.02  # the library's turn, at least this often
DIAL_S = 1.0
AGAIN_S = (0.1, 0.3)  # between dials of one voter, drawn at random
HELLO_S = 2.0
FIRST_S = 1.0  # from a fresh voter's start to its first vote: votes of before the wipe are over by then
MOST_FRAME = 1 << 21
MOST_BATCH = 1 << 20  # bytes of entries in one message: more than a log holds that is cut in time
MOST_BACKLOG = 1 << 22  # bytes that wait for one stream before it is ended
MOST_INCOMING = 64
COMPACT_ENTRIES = 2000  # the log is cut after that many
# Opcodes of a pickle that hold or build plain values; any other could import or call.
PLAIN = set(
    "PROTO FRAME STOP MARK NONE NEWTRUE NEWFALSE INT BININT BININT1 BININT2 LONG1 UNICODE BINUNICODE"
    " SHORT_BINUNICODE BINUNICODE8 EMPTY_TUPLE TUPLE TUPLE1 TUPLE2 TUPLE3 EMPTY_LIST LIST APPEND APPENDS"
    " MEMOIZE PUT BINPUT LONG_BINPUT GET BINGET LONG_BINGET".split()
)
NEEDS = {
    "request_vote": {"term": int, "last_log_index": int, "last_log_term": int},
    "response_vote": {"term": int},
    "append_entries": {"term": int, "commit_index": int},
    "next_node_idx": {"next_node_idx": int, "reset": bool, "success": bool},
    "apply_command": {"command": bytes},
    "apply_command_response": {"request_id": int},
    "timeout_now": {"term": int},
}


class Table(pysyncobj.SyncObjConsumer):
    """The replicated part: the row of each task. `on_change(task, row)` is told of every row applied."""

    def __init__(self, on_change):
        super().__init__()
        self.rows = {}
        self.on_change = on_change

    @pysyncobj.replicated
    def change(self, task, kind, holder, arg, number):
        """Apply a command; (row, OK or why not), the same on every voter."""
        command = lease.Command(kind, holder, arg, number)
        row, why = lease.apply_command(self.rows.get(task, lease.LeaseRecord()), command)
        if self.rows.get(task) != row:
            self.rows[task] = row
            self.on_change(task, row)
        return row, why


class Quorum:
    """This voter's part of the agreement; `run` while the courier runs."""

    def __init__(self, id_, listen, voters, key, folder, election_s, on_change, sync=False):
        """`voters`: {id: where its streams are taken}, this one included; `folder`: a Path that lasts.

        With `sync`, each change of the log is on the disk before a message speaks of it.
        """
        self.id, self.key, self.folder = id_, key, folder
        self.host, self.port = split_address(listen)
        self.others = {v: split_address(a) for v, a in voters.items() if v != id_}
        folder.mkdir(parents=True, exist_ok=True)
        self.mark = folder / "votes"
        self.table = Table(on_change)
        self.streams = Streams(self)
        self.woken = anyio.Event()
        self.leader = None
        conf = pysyncobj.SyncObjConf(
            autoTick=False,
            appendEntriesPeriod=election_s / 5,
            raftMinTimeout=election_s,
            raftMaxTimeout=2 * election_s,
            connectionTimeout=max(3.5, 4 * election_s),
            leaderFallbackTimeout=2 * election_s,
            appendEntriesUseBatch=False,
            appendEntriesBatchSizeBytes=MOST_BATCH,
            fullDumpFile=str(folder / "dump"),
            useFork=False,
            serializer=self._dump,
            deserializer=self._undump,
            logCompactionMinEntries=COMPACT_ENTRIES,
            logCompactionMinTime=10**9,
        )
        self.raft_log = self._read_whole(sync)
        nodes = [Node(v) for v in self.others]
        with _its_log(self.raft_log):
            self.sync = pysyncobj.SyncObj(
                Node(id_), nodes, conf, consumers=[self.table], nodeClass=Node, transport=self.streams
            )

    # --- asking ---------------------------------------------------------------------------------------

    def is_leader(self) -> bool:
        """Whether this voter takes itself for the leader; there may be another."""
        return self.sync._isLeader() and not self.raft_log.broken

    def leader_id(self) -> str:
        """The leader as far as this voter knows, or empty."""
        node = self.sync._getLeader()
        return node.id if node and not self.raft_log.broken else ""

    def propose(self, task: str, command: lease.Command, done):
        """Append a command; `done(row, why)` once it is applied here, never if that cannot be told."""

        def called(result, error):
            if error == FAIL_REASON.SUCCESS and result is not None:
                done(*result)

        # The log holds a pickle of the call: of plain values, as `plain` asks.
        kind, holder, arg, number = command
        self.table.change(task, kind.value, holder, arg, number, callback=called)
        self.wake()

    def wake(self):
        """Have the library's turn now."""
        self.woken.set()

    # --- what lasts -----------------------------------------------------------------------------------

    def _dump(self, path, data):
        after, before, _ = data
        rows = {task: list(row) for task, row in self.table.rows.items()}
        body = msgpack.packb({"rows": rows, "after": list(after), "before": list(before)}, use_bin_type=True)
        Path(path).write_bytes(wire.add_head(body, b"", MAGIC))

    def _undump(self, path):
        found = wire.decode(Path(path).read_bytes(), b"", MAGIC)
        self.table.rows.clear()
        for task, row in found["rows"].items():
            self.table.rows[task] = lease.LeaseRecord(*row)
            self.table.on_change(task, self.table.rows[task])
        return tuple(found["after"]), tuple(found["before"]), []

    def _read_whole(self, sync):
        """The log; where it or the dump is damaged, all goes aside, and this voter is fresh."""
        dump = self.folder / "dump"
        try:
            if dump.exists():
                wire.decode(dump.read_bytes(), b"", MAGIC)
            return raftlog.RaftLog(self.folder / "log", sync)
        except (wire.DatagramError, raftlog.RaftLogFormatError) as why:
            # Danger: entries behind a dump that is lost would be applied to rows that are not theirs, and a
            # log with a flipped bit may hold a vote that was never given, or not hold one that was.
            log("quorum_damaged", id=self.id, why=str(why))
            for path in list(self.folder.iterdir()):
                path.rename(path.with_name(f"damaged-{path.name}"))
            self.streams.fresh = True
            return raftlog.RaftLog(self.folder / "log", sync)

    # --- running --------------------------------------------------------------------------------------

    async def run(self, listener):
        """Take part until cancelled; `listener` is an open anyio TCP listener."""
        log("quorum_up", id=self.id, voters=sorted([self.id, *self.others]), fresh=self.streams.fresh)
        try:
            async with anyio.create_task_group() as tasks:
                for id_, (host, port) in self.others.items():
                    tasks.start_soon(self.streams.keep_open, id_, host, port)
                tasks.start_soon(listener.serve, self.streams.take, tasks)
                await self._ticks()
                tasks.cancel_scope.cancel()
        finally:
            self.sync.destroy()

    async def _ticks(self):
        """The library's turns, until its log cannot be written: this courier serves on without a vote."""
        while True:
            try:
                self.sync.doTick(0.0)
            except OSError as error:
                if not self.raft_log.broken:
                    raise
                log("quorum_failed", id=self.id, error=str(error))
                return
            if self.raft_log.broken:  # by a message that was heard
                log("quorum_failed", id=self.id, error="its log cannot be written")
                return
            self.streams.grow_up()
            leader = self.leader_id()
            if leader != self.leader:
                self.leader = leader
                log("quorum_leader", id=self.id, leader=leader, term=self.sync.raftCurrentTerm)
            with anyio.move_on_after(TICK_S):
                await self.woken.wait()
            self.woken = anyio.Event()


class Streams(Transport):
    """The library's transport: what it sends goes into the stream to that voter, if one is open."""

    def __init__(self, quorum):
        super().__init__(None, None, [])
        self.quorum = quorum
        self.out = {}  # voter -> _Out
        self.incoming = {}  # voter -> the cancel scope of the stream from it
        self.taken = 0
        self.said_empty = {}  # voter -> whether its last hello said that its log is empty
        self.began = anyio.current_time()
        self.sent = Counter()  # kind of message -> how many; `entries` are append_entries that hold some
        self.fresh = not quorum.mark.exists()
        self.own_term_idx = 0  # of the newest entry from a leader in that leader's own term

    # --- freshness ------------------------------------------------------------------------------------

    def grow_up(self):
        """Vote and stand from now on, if it is safe."""
        q = self.quorum
        if not self.fresh:
            return
        waited = anyio.current_time() - self.began >= FIRST_S
        first_start = waited and len(self.said_empty) == len(q.others) and all(self.said_empty.values())
        caught_up = 0 < self.own_term_idx <= q.sync.raftLastApplied
        if not first_start and not caught_up:
            return
        q.mark.touch()
        self.fresh = False
        log("quorum_votes", id=q.id, why="first start" if first_start else "caught up")
        for id_, out in self.out.items():
            if out.up:
                self._onNodeConnected(Node(id_))

    def _note(self, message):
        """Remember up to where the leader's log is known to hold all that was agreed before."""
        if message["type"] == "append_entries":
            if message.get("prevLogTerm") == message["term"]:
                self.own_term_idx = max(self.own_term_idx, message["prevLogIdx"])
            for _, idx, term in message.get("entries", ()):
                if term == message["term"]:
                    self.own_term_idx = max(self.own_term_idx, idx)

    # --- sending --------------------------------------------------------------------------------------

    def send(self, node, message):
        """Into the stream to that voter; whether one is open."""
        out = self.out.get(node.id)
        # Danger: what could not be written must not be said.
        broken = self.quorum.raft_log.broken
        if out is None or not out.up or broken or (self.fresh and message["type"] == "request_vote"):
            return False
        body = {"term": self.quorum.sync.raftCurrentTerm, "message": message}
        out.put(wire.encode(body, self.quorum.key, MAGIC))
        self.sent["entries" if message.get("entries") else message["type"]] += 1
        return True

    async def keep_open(self, id_, host, port):
        """Dial a voter again and again until cancelled."""
        q = self.quorum
        while True:
            out = self.out[id_] = _Out()
            try:
                with anyio.fail_after(DIAL_S):
                    stream = await anyio.connect_tcp(host, port, local_host=q.host)
                async with stream:
                    hello = {"from": q.id, "to": id_, "empty": q.sync.getStatus()["log_len"] <= 1}
                    await stream.send(wire.encode(hello, q.key, MAGIC))
                    out.up = True
                    if not self.fresh:
                        self._onNodeConnected(Node(id_))
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(_until_closed, stream, tasks.cancel_scope)
                        tasks.start_soon(out.drain, stream, tasks.cancel_scope)
            except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass
            out.up = False
            self._onNodeDisconnected(Node(id_))
            await anyio.sleep(random.uniform(*AGAIN_S))

    # --- receiving ------------------------------------------------------------------------------------

    async def take(self, stream):
        """A stream that somebody opened: a hello, then messages until it ends or is refused."""
        q = self.quorum
        self.taken += 1
        id_ = None
        try:
            async with stream:
                if self.taken > MOST_INCOMING:
                    raise wire.DatagramError("too many streams")
                frames = BufferedByteReceiveStream(stream)
                with anyio.fail_after(HELLO_S):
                    hello = await self._frame(frames)
                wire.require_fields(hello, {"from": str, "to": str, "empty": bool})
                if hello["from"] not in q.others or hello["to"] != q.id:
                    raise wire.DatagramError(
                        f"{hello['from'][:64]!r} to {hello['to'][:64]!r} is no stream of voters"
                    )
                id_ = hello["from"]
                self.said_empty[id_] = hello["empty"]
                if id_ in self.incoming:
                    self.incoming[id_].cancel()  # what is still under way in the older stream is too late
                with anyio.CancelScope() as scope:
                    self.incoming[id_] = scope
                    await self._hear(Node(id_), frames)
        except (wire.DatagramError, TimeoutError) as why:
            log("quorum_refused", id=q.id, source=id_ or "", why=str(why) or "no hello in time")
        except (OSError, anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
            pass
        finally:
            self.taken -= 1

    async def _hear(self, node, frames):
        q = self.quorum
        while True:
            body = await self._frame(frames)
            wire.require_fields(body, {"term": int, "message": dict})
            message = beyond(checked(body["message"]), q.sync.raftLastApplied)
            if message is None:
                continue
            kind = message["type"]
            if self.fresh:
                self._note(message)
                if kind in ("request_vote", "timeout_now"):
                    continue
            if kind == "next_node_idx" and body["term"] != q.sync.raftCurrentTerm:
                continue  # Danger: it says what a log held in another term, which counts no longer
            try:
                self._onMessageReceived(node, message)
            except Exception as error:  # noqa: BLE001  whatever the library makes of it must not end the courier
                raise wire.DatagramError(f"{kind}: {error!r}"[:200]) from None
            q.wake()

    async def _frame(self, frames):
        length, sum_ = wire.parse_head(await frames.receive_exactly(wire.HEAD.size), MAGIC)
        if length > MOST_FRAME:
            raise wire.DatagramError(f"a frame of {length} bytes")
        return wire.parse_body(await frames.receive_exactly(length), sum_, self.quorum.key)


class _Out:
    """What waits for one stream."""

    def __init__(self):
        self.up = False
        self.waiting, self.size = [], 0
        self.more = anyio.Event()

    def put(self, data):
        self.waiting.append(data)
        self.size += len(data)
        self.more.set()

    async def drain(self, stream, scope):
        """Send until the stream fails or too much waits; then end the scope."""
        try:
            while self.size <= MOST_BACKLOG:
                await self.more.wait()
                self.more = anyio.Event()
                data, self.waiting, self.size = b"".join(self.waiting), [], 0
                await stream.send(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        scope.cancel()


async def _until_closed(stream, scope):
    """End the scope once the other side closes; it never says anything."""
    try:
        await stream.receive(1)
    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        pass
    scope.cancel()


@contextmanager
def _its_log(raft_log):
    """Have the library take our log where it would make one of its own: it cannot be given one."""
    kept = pysyncobj.syncobj.createJournal
    pysyncobj.syncobj.createJournal = lambda path: raft_log
    try:
        yield
    finally:
        pysyncobj.syncobj.createJournal = kept


def plain(command: bytes) -> bool:
    """Whether a command is a pickle of plain values, or one that the library sends without any."""
    if not command:
        return False
    if command[0] != 0:  # the library's kinds: 0 is a call of a replicated method, 1 is empty
        return command == b"\x01"
    try:
        return all(op.name in PLAIN for op, _, _ in pickletools.genops(command[1:]))
    except Exception:  # noqa: BLE001  of bytes that are no pickle
        return False


def checked(message: dict) -> dict:
    """A message in the shape that the library takes; `Dropped` with the reason otherwise."""
    kind = message.get("type")
    if kind not in NEEDS:
        raise wire.DatagramError(f"message {str(kind)[:64]!r}")
    for name, type_ in NEEDS[kind].items():
        if not wire.is_of_type(message.get(name), type_):
            raise wire.DatagramError(f"{kind}: field {name!r}")
    commands = [message["command"]] if kind == "apply_command" else []
    if kind == "append_entries":
        if "prevLogIdx" in message:
            if not all(wire.is_of_type(message.get(n), int) for n in ("prevLogIdx", "prevLogTerm")):
                raise wire.DatagramError("append_entries: what goes before")
        elif not _serialized(message.get("serialized")):
            raise wire.DatagramError("append_entries: neither entries nor a dump")
        if "transmission" in message:
            raise wire.DatagramError("append_entries: an entry in parts")
        entries = message.get("entries", [])
        if not isinstance(entries, list) or not all(_entry(e) for e in entries):
            raise wire.DatagramError("append_entries: an entry is not well-formed")
        message = message | {"entries": [tuple(e) for e in entries]}
        commands = [e[0] for e in entries]
    # Danger: the library unpickles commands; one that imports or calls would run in this process.
    if not all(plain(c) for c in commands):
        raise wire.DatagramError(f"{kind}: a command that is not plain")
    return message


def beyond(message: dict, applied: int):
    """Append_entries without what is applied here already; None if it says nothing else.

    Danger: the library cuts its log behind the place that a message begins at, though a repeated message may
    begin before what this voter has said that it holds. What is applied is agreed on and the leader's too.
    """
    if message["type"] != "append_entries" or message.get("prevLogIdx", applied) >= applied:
        return message
    known = applied - message["prevLogIdx"]
    if known > len(message["entries"]):
        return None
    _, idx, term = message["entries"][known - 1]
    return message | {"prevLogIdx": idx, "prevLogTerm": term, "entries": message["entries"][known:]}


def _entry(e):
    return (
        isinstance(e, list)
        and len(e) == 3
        and isinstance(e[0], bytes)
        and wire.is_of_type(e[1], int)
        and wire.is_of_type(e[2], int)
    )


def _serialized(part):
    return part is None or (
        isinstance(part, list)
        and len(part) == 3
        and isinstance(part[0], bytes)
        and len(part[0]) <= MOST_FRAME
    )
