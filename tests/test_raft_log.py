"""A voter's log over restarts, incomplete writes and damage, and its use by the Raft library."""

import os
from unittest import mock

import anyio
import pytest
from failing_os import FailingOs
from hypothesis import given, settings
from hypothesis import strategies as st
from pysyncobj.journal import MemoryJournal

from pinspread.leases import learner, lease_table, raft, raft_log, raft_transport
from pinspread.leases.state_machine import Command, CommandKind

OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["add", "front", "back", "vote", "clear", "again", "torn"]), st.integers(0, 5)),
    max_size=25,
)


def state(log):
    return log[:], log.getCurrentTerm(), log.getVotedForNodeId()


@settings(max_examples=60, deadline=None)
@given(OPERATIONS)
def test_the_log_holds_over_restarts_what_the_librarys_own_holds_in_memory(tmp_path_factory, operations):
    path = tmp_path_factory.mktemp("log") / "log"
    log, model = raft_log.RaftLog(path), MemoryJournal()
    for n, (operation, arg) in enumerate(operations):
        position = min(arg, len(model))
        for journal in (log, model):
            if operation == "add":
                journal.add(b"c%d" % n, n, arg)
            elif operation == "front":
                journal.deleteEntriesTo(position)
            elif operation == "back":
                journal.deleteEntriesFrom(position)
            elif operation == "vote":
                journal.setCurrentTerm(n, f"m{arg}" if arg else None)
            elif operation == "clear":
                journal.clear()
        if operation in ("again", "torn"):
            log._destroy()
            if operation == "torn":  # an incomplete record of any length, as a power cut leaves it
                with open(path, "ab") as file:
                    file.write(raft_log._record(b"x" * 9)[: 1 + arg * 3])
            log = raft_log.RaftLog(path)
        assert state(log) == state(model)
    log._destroy()


def test_any_flipped_bit_is_detected(tmp_path):
    path = tmp_path / "log"
    log = raft_log.RaftLog(path)
    log.setCurrentTerm(3, "m1")
    log.add(b"one", 1, 3)
    log.add(b"two", 2, 3)
    log.setRaftCommitIndex(2)
    log.onOneSecondTimer()
    log._destroy()
    intact = path.read_bytes()
    for bit in range(len(intact) * 8):
        data = bytearray(intact)
        data[bit // 8] ^= 1 << bit % 8
        path.write_bytes(data)
        with pytest.raises(raft_log.RaftLogFormatError):
            raft_log.RaftLog(path)
    path.write_bytes(intact)
    assert raft_log.RaftLog(path).getRaftCommitIndex() == 2


def fail_writes_to(log, monkeypatch):
    write = os.write

    def write_or_fail(fd, data):
        if fd == log.fd:
            raise OSError("no space")
        return write(fd, data)

    monkeypatch.setattr(os, "write", write_or_fail)


def test_after_a_failed_write_later_writes_are_refused(tmp_path, monkeypatch):
    log = raft_log.RaftLog(tmp_path / "log")
    fail_writes_to(log, monkeypatch)
    with pytest.raises(OSError, match="no space"):
        log.setCurrentTerm(4, "m2")
    monkeypatch.undo()
    with pytest.raises(OSError, match="earlier write failed"):
        log.add(b"x", 1, 4)
    assert log.write_failed


@pytest.mark.parametrize("call", ["open", "write", "fdatasync", "rename", "close"])
def test_a_compaction_that_fails_leaves_the_log_whole_and_in_use(tmp_path, monkeypatch, call):
    """Guards against an error of the disk in a compaction that ended the process."""
    path = tmp_path / "log"
    log = raft_log.RaftLog(path, sync=True)
    for index in range(6):
        log.add(b"c%d" % index, index, 1)
    failing_os = FailingOs((call,))
    monkeypatch.setattr(raft_log, "os", failing_os)
    failing_os.failing = True
    log.deleteEntriesTo(2)
    failing_os.failing = False
    log.deleteEntriesFrom(len(log) - 1)
    log.add(b"last", 5, 2)
    assert not log.write_failed and log[-2:] == [(b"c4", 4, 1), (b"last", 5, 2)]
    log.deleteEntriesTo(1)
    kept = state(log)
    log._destroy()
    assert state(raft_log.RaftLog(path)) == kept


def test_a_rename_that_may_not_last_counts_as_a_failed_write(tmp_path, monkeypatch):
    log = raft_log.RaftLog(tmp_path / "log", sync=True)
    log.add(b"x", 1, 1)
    monkeypatch.setattr(raft_log.os, "fsync", mock.Mock(side_effect=OSError("injected")))
    with pytest.raises(OSError, match="injected"):
        log.deleteEntriesTo(1)
    assert log.write_failed


async def wait_until_leader(node):
    with anyio.fail_after(5):
        while not node.is_leader():
            await anyio.sleep(0.01)


def voter_runner(folder, records):
    """Return a coroutine function that runs the only voter of a fleet while it awaits `scenario`."""

    async def run(scenario):
        config = raft.RaftConfig("a", "127.0.0.1:9", {"a": "127.0.0.1:9"}, b"key", folder, 0.1)
        raft_node = raft.RaftNode(config, lambda task, record: records.append(record))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(raft_node._run_library)
            await scenario(raft_node)
            tasks.cancel_scope.cancel()
        raft_node.sync_object.destroy()

    return run


def test_a_voter_keeps_its_entries_in_the_log_and_is_a_learner_when_they_are_damaged(tmp_path, monkeypatch):
    monkeypatch.setattr(learner, "FIRST_VOTE_DELAY_S", 0)

    async def grant(node):
        await wait_until_leader(node)
        with anyio.fail_after(5):
            applied = anyio.Event()
            node.propose(
                "t",
                Command(CommandKind.GRANT, "m", 0, 7),
                lambda record, outcome: applied.set(),
            )
            await applied.wait()

    records = []
    anyio.run(voter_runner(tmp_path, records), grant)
    assert records[-1].holder == "m"

    async def wait_for_replay(node):
        assert not node.learner.is_learner
        with anyio.fail_after(5):
            while not records or records[-1].holder != "m":
                await anyio.sleep(0.01)

    records.clear()
    anyio.run(voter_runner(tmp_path, records), wait_for_replay)  # replayed from the log alone
    data = bytearray((tmp_path / "log").read_bytes())
    data[len(data) // 2] ^= 4
    (tmp_path / "log").write_bytes(data)

    async def check_damage_handling(node):
        assert (
            node.learner.is_learner
            and (tmp_path / "damaged-log").exists()
            and not (tmp_path / "votes").exists()
        )

    monkeypatch.setattr(raft_transport.VoterTransport, "promote_if_safe", lambda self: None)
    anyio.run(voter_runner(tmp_path, []), check_damage_handling)


def test_a_log_that_a_kill_left_uncompacted_keeps_the_entries_behind_the_dump(tmp_path, monkeypatch):
    """Guards against acknowledged entries that are removed if the log does not begin where the dump ends."""
    monkeypatch.setattr(learner, "FIRST_VOTE_DELAY_S", 0)

    async def grant_two(node):
        await wait_until_leader(node)
        for task in ("t", "u"):
            applied = anyio.Event()
            command = Command(CommandKind.GRANT, "m", 0, 7)
            node.propose(task, command, lambda record, outcome, applied=applied: applied.set())
            with anyio.fail_after(5):
                await applied.wait()

    anyio.run(voter_runner(tmp_path, []), grant_two)
    log = raft_log.RaftLog(tmp_path / "log")
    entries = log[:]
    log._destroy()
    dump = lease_table.LeaseDump({}, entries[-2], entries[-3])
    (tmp_path / raft._DUMP_FILE).write_bytes(lease_table.encode_dump(dump))

    async def wait_for_second(node):
        with anyio.fail_after(5):
            while "u" not in node.records:
                await anyio.sleep(0.01)
        assert node.raft_log[:3] == entries[-3:]

    anyio.run(voter_runner(tmp_path, []), wait_for_second)


def test_a_voter_whose_log_cannot_be_written_stays_silent_and_the_courier_goes_on(tmp_path, monkeypatch):
    monkeypatch.setattr(learner, "FIRST_VOTE_DELAY_S", 0)

    async def fail_a_write(node):
        await wait_until_leader(node)
        with anyio.fail_after(5):
            fail_writes_to(node.raft_log, monkeypatch)
            node.propose("t", Command(CommandKind.GRANT, "m", 0, 7), lambda record, outcome: None)
            while not node.raft_log.write_failed:
                await anyio.sleep(0.01)
            monkeypatch.undo()
        assert (
            not node.is_leader()
            and node.leader_id() == ""
            and not node.transport.send(raft_transport.Node("b"), {})
        )

    anyio.run(voter_runner(tmp_path, []), fail_a_write)
