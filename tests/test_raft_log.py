"""A voter's log: what it holds over restarts, cuts and damage, and that the library keeps entries in it."""

import os

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pysyncobj.journal import MemoryJournal

from pinspread.leases import learner, raft, raft_log, raft_transport
from pinspread.leases.state_machine import Command, CommandKind

STEPS = st.lists(
    st.tuples(st.sampled_from(["add", "front", "back", "vote", "clear", "again", "torn"]), st.integers(0, 5)),
    max_size=25,
)


def state(log):
    return log[:], log.getCurrentTerm(), log.getVotedForNodeId()


@settings(max_examples=60, deadline=None)
@given(STEPS)
def test_the_log_holds_over_restarts_what_the_librarys_own_holds_in_memory(tmp_path_factory, steps):
    path = tmp_path_factory.mktemp("log") / "log"
    log, model = raft_log.RaftLog(path), MemoryJournal()
    for n, (do, arg) in enumerate(steps):
        at = min(arg, len(model))
        for one in (log, model):
            if do == "add":
                one.add(b"c%d" % n, n, arg)
            elif do == "front":
                one.deleteEntriesTo(at)
            elif do == "back":
                one.deleteEntriesFrom(at)
            elif do == "vote":
                one.setCurrentTerm(n, f"m{arg}" if arg else None)
            elif do == "clear":
                one.clear()
        if do in ("again", "torn"):
            log._destroy()
            if do == "torn":  # a record that was cut short by a power cut, of any length
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
    sound = path.read_bytes()
    for bit in range(len(sound) * 8):
        data = bytearray(sound)
        data[bit // 8] ^= 1 << bit % 8
        path.write_bytes(data)
        with pytest.raises(raft_log.RaftLogFormatError):
            raft_log.RaftLog(path)
    path.write_bytes(sound)
    assert raft_log.RaftLog(path).getRaftCommitIndex() == 2


def no_space_for(log, monkeypatch):
    write = os.write

    def full(fd, data):
        if fd == log.fd:
            raise OSError("no space")
        return write(fd, data)

    monkeypatch.setattr(os, "write", full)


def test_after_a_write_that_failed_nothing_counts_any_more(tmp_path, monkeypatch):
    log = raft_log.RaftLog(tmp_path / "log")
    no_space_for(log, monkeypatch)
    with pytest.raises(OSError, match="no space"):
        log.setCurrentTerm(4, "m2")
    monkeypatch.undo()
    with pytest.raises(OSError, match="earlier write"):
        log.add(b"x", 1, 4)
    assert log.write_failed


async def leads(q):
    with anyio.fail_after(5):
        while not q.is_leader():
            await anyio.sleep(0.01)


def voter(folder, rows):
    async def run(use):
        config = raft.RaftConfig("a", "127.0.0.1:9", {"a": "127.0.0.1:9"}, b"key", folder, 0.1)
        found = raft.RaftNode(config, lambda task, row: rows.append(row))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(found._run_library)
            await use(found)
            tasks.cancel_scope.cancel()
        found.sync_object.destroy()

    return run


def test_a_voter_keeps_its_entries_in_the_log_and_is_a_learner_when_they_are_damaged(tmp_path, monkeypatch):
    monkeypatch.setattr(learner, "FIRST_VOTE_DELAY_S", 0)

    async def grant(q):
        await leads(q)
        with anyio.fail_after(5):
            answered = anyio.Event()
            q.propose(
                "t",
                Command(CommandKind.GRANT, "m", 0, 7),
                lambda row, why: answered.set(),
            )
            await answered.wait()

    rows = []
    anyio.run(voter(tmp_path, rows), grant)
    assert rows[-1].holder == "m"

    async def look(q):
        assert not q.learner.is_learner
        with anyio.fail_after(5):
            while not rows or rows[-1].holder != "m":
                await anyio.sleep(0.01)

    rows.clear()
    anyio.run(voter(tmp_path, rows), look)  # replayed from the log alone
    data = bytearray((tmp_path / "log").read_bytes())
    data[len(data) // 2] ^= 4
    (tmp_path / "log").write_bytes(data)

    async def damaged(q):
        assert (
            q.learner.is_learner and (tmp_path / "damaged-log").exists() and not (tmp_path / "votes").exists()
        )

    monkeypatch.setattr(raft_transport.VoterTransport, "promote_if_safe", lambda self: None)
    anyio.run(voter(tmp_path, []), damaged)


def test_a_voter_whose_log_cannot_be_written_stays_silent_and_the_courier_goes_on(tmp_path, monkeypatch):
    monkeypatch.setattr(learner, "FIRST_VOTE_DELAY_S", 0)

    async def fail(q):
        await leads(q)
        with anyio.fail_after(5):
            no_space_for(q.raft_log, monkeypatch)
            q.propose("t", Command(CommandKind.GRANT, "m", 0, 7), lambda row, why: None)
            while not q.raft_log.write_failed:
                await anyio.sleep(0.01)
            monkeypatch.undo()
        assert (
            not q.is_leader() and q.leader_id() == "" and not q.transport.send(raft_transport.Node("b"), {})
        )

    anyio.run(voter(tmp_path, []), fail)
