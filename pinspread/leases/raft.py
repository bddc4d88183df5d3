"""Replicates the lease records among the voters with Raft, as implemented by the library pysyncobj.

`RaftNode` runs the library on this event loop. The library's log is `raft_log.RaftLog`, its transport is
`raft_transport.VoterTransport`, and the replicated state is `lease_table.LeaseTable`.
"""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import pysyncobj
import pysyncobj.syncobj
from pysyncobj.config import FAIL_REASON
from pysyncobj.node import Node

from pinspread.core.log import log
from pinspread.leases import lease_table
from pinspread.leases.learner import LearnerStatus
from pinspread.leases.lease_table import LeaseDump, LeaseTable, OnRecord
from pinspread.leases.raft_log import RaftLog, RaftLogFormatError
from pinspread.leases.raft_transport import TransportConfig, VoterTransport
from pinspread.leases.state_machine import Command, LeaseRecord
from pinspread.membership.codec import DatagramError
from pinspread.sockets import split_address

_TICK_S = 0.02  # the library runs at least this often
_MAX_BATCH_BYTES = 1 << 20  # of entries in one message; a log that is compacted in time holds less than this
_COMPACT_ENTRIES = 2000  # the log is compacted after this many entries
_NEVER_S = 10**9
_MIN_CONNECTION_TIMEOUT_S = 3.5
# Files in a voter's folder.
_LOG_FILE = "log"
_DUMP_FILE = "dump"  # the records after the entries that were compacted away
_VOTED_FILE = "votes"  # exists once this voter may vote (see `learner`)
_DAMAGED_PREFIX = "damaged-"

# What the library dumps along with the records: the last two entries, the newer one first, and the members.
LibraryDump = tuple[tuple[Any, ...], tuple[Any, ...], list[Any]]


@dataclass(frozen=True)
class RaftConfig:
    """The settings of a voter.

    Attributes:
        id: This voter's id.
        listen: `host:port` at which this voter accepts streams.
        voters: The address of each voter by its id, this one included.
        key: The fleet's key.
        folder: The folder that holds the log and the dump over restarts.
        election_s: The minimum election time-out, in seconds; the maximum is twice that.
        sync: Whether each change of the log is flushed to the disk before any message that depends on it is
            sent.
    """

    id: str
    listen: str
    voters: Mapping[str, str]
    key: bytes
    folder: Path
    election_s: float
    sync: bool = False


class RaftNode:
    """This voter's Raft node.

    Args:
        config: The voter's settings.
        on_change: Called with a task and its record whenever this voter applies a change.

    Attributes:
        sync_object: The library's Raft object.
        raft_log: This voter's log.
        transport: The streams to and from the other voters.
        learner: Tracks whether this voter may vote.
    """

    def __init__(self, config: RaftConfig, on_change: OnRecord):
        self.id = config.id
        self.folder = config.folder
        self.folder.mkdir(parents=True, exist_ok=True)
        host, _ = split_address(config.listen)
        others = {id_: split_address(at) for id_, at in config.voters.items() if id_ != config.id}
        self._others = list(others)
        self.table = LeaseTable(on_change)
        self.learner = LearnerStatus(config.id, self.folder / _VOTED_FILE, len(others))
        transport_config = TransportConfig(config.id, host, others, config.key)
        self.transport = VoterTransport(self, transport_config, self.learner)
        self._wake_event = anyio.Event()
        self._logged_leader: str | None = None
        self.raft_log = self._open_log(config.sync)
        with _library_journal_replaced_by(self.raft_log):
            self.sync_object = pysyncobj.SyncObj(
                Node(config.id),
                [Node(id_) for id_ in others],
                self._library_config(config.election_s),
                consumers=[self.table],
                nodeClass=Node,
                transport=self.transport,
            )

    def _library_config(self, election_s: float) -> pysyncobj.SyncObjConf:
        return pysyncobj.SyncObjConf(
            autoTick=False,
            appendEntriesPeriod=election_s / 5,
            raftMinTimeout=election_s,
            raftMaxTimeout=2 * election_s,
            connectionTimeout=max(_MIN_CONNECTION_TIMEOUT_S, 4 * election_s),
            leaderFallbackTimeout=2 * election_s,
            appendEntriesUseBatch=False,
            appendEntriesBatchSizeBytes=_MAX_BATCH_BYTES,
            fullDumpFile=str(self.folder / _DUMP_FILE),
            useFork=False,
            serializer=self._write_dump,
            deserializer=self._read_dump,
            logCompactionMinEntries=_COMPACT_ENTRIES,
            logCompactionMinTime=_NEVER_S,
        )

    # --- state ----------------------------------------------------------------------------------------

    @property
    def records(self) -> Mapping[str, LeaseRecord]:
        """The record of each task, as this voter has applied it."""
        return self.table.records

    @property
    def term(self) -> int:
        """The Raft term."""
        return int(self.sync_object.raftCurrentTerm)

    @property
    def last_applied(self) -> int:
        """The index of the last entry that this voter has applied."""
        return int(self.sync_object.raftLastApplied)

    @property
    def log_is_empty(self) -> bool:
        """Whether the log holds at most the library's own first entry."""
        return bool(self.sync_object.getStatus()["log_len"] <= 1)

    @property
    def write_failed(self) -> bool:
        """Whether a write to the log failed; this voter then takes no part until it is restarted."""
        return self.raft_log.write_failed

    @property
    def sent_counts(self) -> Mapping[str, int]:
        """How many messages of each kind were sent to other voters."""
        return self.transport.sent_counts

    def is_leader(self) -> bool:
        """Return whether this voter believes that it is the leader; another voter may believe the same."""
        # The library documents this method for its users, but gives it no public name.
        return bool(self.sync_object._isLeader()) and not self.write_failed  # noqa: SLF001

    def leader_id(self) -> str:
        """Return the id of the leader as far as this voter knows, or an empty string."""
        # As above: documented for users, without a public name.
        node = self.sync_object._getLeader()  # noqa: SLF001
        return str(node.id) if node and not self.write_failed else ""

    def propose(self, task: str, command: Command, on_applied: Callable[[LeaseRecord, str], None]) -> None:
        """Append a command to the log.

        Args:
            task: The task that the command is for.
            command: The command.
            on_applied: Called once this voter has applied the command, with the record and `OK` or the reason
                for refusing the command. It is never called if the library does not know the result.
        """

        def on_result(result: tuple[LeaseRecord, str] | None, error: int) -> None:
            if error == FAIL_REASON.SUCCESS and result is not None:
                on_applied(*result)

        # The log holds a pickle of the arguments, which must be plain values (see `raft_messages`).
        kind, holder, expected, request_id = command
        self.table.change(task, kind.value, holder, expected, request_id, callback=on_result)
        self.wake()

    def wake(self) -> None:
        """Run the library now instead of at its next tick."""
        self._wake_event.set()

    # --- storage --------------------------------------------------------------------------------------

    def _write_dump(self, path: str, data: LibraryDump) -> None:
        """Write a dump; called by the library."""
        last_entry, entry_before, _ = data
        dump = LeaseDump(self.records, last_entry, entry_before)
        Path(path).write_bytes(lease_table.encode_dump(dump))

    def _read_dump(self, path: str) -> LibraryDump:
        """Restore the records from a dump, and return the rest of it; called by the library."""
        dump = lease_table.decode_dump(Path(path).read_bytes())
        self.table.restore(dump.records)
        return dump.last_entry, dump.entry_before, []

    def _open_log(self, sync: bool) -> RaftLog:
        """Open the log; if it or the dump is damaged, rename all files and start this voter as a learner."""
        dump_path = self.folder / _DUMP_FILE
        try:
            dump = lease_table.decode_dump(dump_path.read_bytes()) if dump_path.exists() else None
            raft_log = RaftLog(self.folder / _LOG_FILE, sync)
        except (DatagramError, RaftLogFormatError) as error:
            # If the files stayed in use, the entries after a lost dump would be applied to the wrong records.
            # A log with a flipped bit may hold a vote that was never given, or lack one that was.
            log("quorum_damaged", id=self.id, why=str(error))
            for path in list(self.folder.iterdir()):
                path.rename(path.with_name(_DAMAGED_PREFIX + path.name))
            self.learner.is_learner = True
            return RaftLog(self.folder / _LOG_FILE, sync)
        if dump is not None:
            raft_log.discard_before(dump.entry_before)
        return raft_log

    # --- running --------------------------------------------------------------------------------------

    async def run(self, listener: anyio.abc.Listener[anyio.abc.SocketStream]) -> None:
        """Run this voter until cancelled or until its log cannot be written.

        Args:
            listener: The open listener on which the other voters connect.
        """
        voters = sorted([self.id, *self._others])
        log("quorum_up", id=self.id, voters=voters, fresh=self.learner.is_learner)
        try:
            async with anyio.create_task_group() as tasks:
                for voter in self._others:
                    tasks.start_soon(self.transport.stay_connected, voter)
                tasks.start_soon(listener.serve, self.transport.serve, tasks)
                await self._run_library()
                tasks.cancel_scope.cancel()
        finally:
            self.sync_object.destroy()

    async def _run_library(self) -> None:
        """Run the library until its log cannot be written; the instance then continues without voting."""
        while True:
            try:
                self.sync_object.doTick(0.0)
            except OSError as error:
                if not self.write_failed:
                    raise
                log("quorum_failed", id=self.id, error=str(error))
                return
            if self.write_failed:  # while a received message was handled
                log("quorum_failed", id=self.id, error="its log cannot be written")
                return
            self.transport.promote_if_safe()
            self._log_leader()
            with anyio.move_on_after(_TICK_S):
                await self._wake_event.wait()
            self._wake_event = anyio.Event()

    def _log_leader(self) -> None:
        leader = self.leader_id()
        if leader != self._logged_leader:
            self._logged_leader = leader
            log("quorum_leader", id=self.id, leader=leader, term=self.term)


@contextmanager
def _library_journal_replaced_by(raft_log: RaftLog) -> Iterator[None]:
    """Make the library use `raft_log` instead of creating its own journal; it has no parameter for this."""
    create_journal = pysyncobj.syncobj.createJournal
    pysyncobj.syncobj.createJournal = lambda _path: raft_log
    try:
        yield
    finally:
        pysyncobj.syncobj.createJournal = create_journal
