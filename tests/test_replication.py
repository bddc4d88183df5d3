"""Replication: placement, what the primary and the replica decide, and what a replica refuses."""

import os
import random
from dataclasses import replace

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pinspread.core import journal_records
from pinspread.core.journal import Journal
from pinspread.core.messages import FinalResult, FinalState, Message
from pinspread.errors import JournalFullError
from pinspread.membership import codec
from pinspread.membership.members import MemberState
from pinspread.membership.messages import Update
from pinspread.membership.service import MembershipConfig, MembershipService
from pinspread.membership.swim import SwimConfig
from pinspread.replication import fleet, placement, protocol
from pinspread.replication.config import ReplicationConfig
from pinspread.replication.journal_bytes import replay
from pinspread.replication.log import (
    CHECKSUM_RANGE_BYTES,
    ReplicationLog,
    matching_prefix,
    range_checksums,
)
from pinspread.replication.replica import Replica, ReplicaRefusedError, WriteTarget
from pinspread.replication.service import ReplicationService
from pinspread.replication.snapshots import (
    ReplicaSnapshot,
    covers_promises,
    covers_takeovers,
    newest_of,
    without_torn_tails,
)
from pinspread.replication.store import ReplicaStore

MEMBERS = [f"c{n}" for n in range(12)]


def test_a_node_that_goes_moves_only_the_replicas_that_it_stored():
    before = {m: placement.replicas_of(m, MEMBERS, 2) for m in MEMBERS}
    assert all(m not in found and len(found) == 2 for m, found in before.items())
    left = [m for m in MEMBERS if m != "c3"]
    for m in left:
        after = placement.replicas_of(m, left, 2)
        assert after == before[m] if "c3" not in before[m] else set(before[m]) - {"c3"} < set(after)
    counts = [sum(m in found for found in before.values()) for m in MEMBERS]
    assert max(counts) <= 6  # nobody stores most of the fleet's


def test_a_promise_is_replicated_once_enough_replicas_have_all_up_to_it():
    log = ReplicationLog(required_acks=2)
    log.rewrite(b"base", 10)
    log.append(b"one")
    mark = log.end()
    log.acknowledged = {"a": (10, 7), "b": (10, 6)}
    assert log.has_acknowledged("a", mark) and not log.is_replicated("ab", mark)
    log.acknowledged["b"] = (10, 7)
    assert log.is_replicated("ab", mark) and not log.is_replicated("a", mark)
    log.rewrite(b"base and one", 5)  # a clock that went back makes no older generation
    assert log.generation == 11
    started = ReplicationLog(required_acks=2, generation_floor=11)
    started.rewrite(b"base", 3)  # nor in another process, where copies have one
    assert started.generation == 12
    assert log.is_replicated("ab", mark)  # what they hold still counts for what was promised by it
    log.acknowledged = {"a": (11, 11), "b": (11, 12)}
    assert not log.has_acknowledged("a", mark) and log.has_acknowledged(
        "b", mark
    )  # half of the new file holds nothing for sure
    assert log.lag("a")[1] == 1 and log.lag("c")[1] == 12


def test_lag_counts_the_records_that_a_replica_lacks_and_since_when():
    log, record = ReplicationLog(required_acks=1), journal_records.frame(b"x" * 12)
    log.rewrite(record * 3, 10, 1000)
    log.append(record, 5000)
    log.acknowledged = {"a": (10, 80), "b": (10, 59), "c": (9, 80)}
    assert log.lag("a", 9000) == (0, 0, 0)
    assert log.lag("b", 9000) == (2, 21, 8000)  # one of them in part
    assert log.lag("c", 9000) == log.lag("d", 9000) == (4, 80, 8000)


def test_a_replica_may_be_removed_only_once_all_that_are_chosen_hold_all():
    log = ReplicationLog(required_acks=1)
    log.rewrite(b"four", 10)
    log.acknowledged = {"a": (10, 4), "b": (10, 3)}
    assert log.may_be_removed("z", ["a"]) and not log.may_be_removed("z", ["a", "b"])
    assert not log.may_be_removed("a", ["a"]) and not log.may_be_removed("z", [])


@pytest.mark.parametrize(
    ("state", "for_us", "lost"),
    [
        ("alive", 99, 0),
        ("suspect", 99, 0),
        ("dead", 0, 1),
        ("left", 9, 0),
        ("left", 10, 1),
        (None, 9, 0),
        (None, 10, 1),
    ],
)
def test_whose_work_is_due_for_takeover(state, for_us, lost):
    assert fleet.is_lost(state, for_us, 10) == bool(lost)


@given(st.integers(0, 3 * CHECKSUM_RANGE_BYTES), st.data())
def test_sending_goes_on_where_the_replica_first_differs(size, data):
    mine = random.Random(size).randbytes(3 * CHECKSUM_RANGE_BYTES)
    theirs = bytearray(mine[:size])
    assert matching_prefix(mine, size, range_checksums(theirs)) == size
    if size:
        at = data.draw(st.integers(0, size - 1))
        theirs[at] ^= 1
        assert (
            matching_prefix(mine, size, range_checksums(theirs))
            == at // CHECKSUM_RANGE_BYTES * CHECKSUM_RANGE_BYTES
        )
    assert matching_prefix(b"", size, range_checksums(theirs)) == 0  # more than there is


def outcome(decide, *words):
    """What a replica decides, or the reason why it refuses."""
    try:
        return decide(*words)
    except ReplicaRefusedError as error:
        return str(error)


@pytest.mark.parametrize(
    ("token", "generation", "at", "said"),
    [
        (4, 7, 10, "fenced"),
        (5, 7, 10, WriteTarget.CURRENT),
        (5, 7, 4, WriteTarget.CURRENT),  # a range that differed is sent anew
        (5, 7, 11, "out of order"),
        (5, 6, 0, "out of order"),  # an older generation
        (5, 8, 3, "out of order"),  # a newer one from its middle
        (5, 8, 0, WriteTarget.INCOMING),
    ],
)
def test_where_a_replica_puts_data(token, generation, at, said):
    replica = Replica("a", fencing_token=5, generation=7, size=10)
    found = outcome(replica.place, token, generation, 6, at, 2)
    assert found is said if isinstance(said, WriteTarget) else found.startswith(said)


def test_a_new_generation_takes_the_old_ones_place_only_when_it_is_complete():
    replica = Replica(
        "a", fencing_token=5, generation=7, size=10, takeover_token=3, takeover_candidates=["b"]
    )
    assert replica.place(5, 8, 6, 0, 4) is WriteTarget.INCOMING and not replica.promote_incoming()
    assert (replica.generation, replica.size) == (7, 10)
    assert replica.place(5, 8, 6, 4, 2) is WriteTarget.INCOMING and replica.promote_incoming()
    assert (replica.generation, replica.size) == (8, 6)
    assert (replica.takeover_token, replica.takeover_candidates) == (0, [])
    replica.fence(9, "c")
    assert replica.takeover_candidates == ["c"]
    assert outcome(replica.place, 5, 8, 6, 6, 1).startswith("fenced")
    assert outcome(replica.accept_owner, 8).startswith("fenced")


def snapshot(generation, data):
    return ReplicaSnapshot(generation, data, ["b"], [], 0)


def test_how_many_replicas_must_answer_before_work_is_taken_over():
    assert covers_promises(["b"], [["b", "c"]], 2, 2)  # each of both holds every promise
    assert not covers_promises(["b"], [["b", "c"]], 2, 1)  # the other may hold one that this one lacks
    assert covers_promises(["b", "c"], [["b", "c"]], 2, 1)
    assert not covers_promises(["x"], [["b", "c"]], 2, 2)
    assert covers_promises(["b"], [["b"]], 2, 1)  # there was no second one
    # The owner was choosing "d" for "c", and "d" may hold what "b", which has not heard of that, lacks.
    assert not covers_promises(["b", "c"], [["b", "c"], ["b", "d"]], 2, 1)
    assert covers_promises(["b", "c", "d"], [["b", "c"], ["b", "d"]], 2, 1)
    empty = {"b": snapshot(0, b"")}  # has said that it holds nothing, which is an answer too
    assert without_torn_tails(empty) == empty
    found = [snapshot(0, b""), snapshot(3, b"a"), snapshot(3, b"ab"), snapshot(2, b"abc")]
    assert newest_of(found) == snapshot(3, b"ab") and not newest_of([snapshot(0, b"")])


def test_which_replicas_must_answer_before_their_owner_goes_by_what_they_know_of_a_successor():
    def told(replicas, generation=3):
        return ReplicaSnapshot(generation, b"a", replicas, [], 0)

    one = {"b": told(["b", "c"])}
    assert covers_takeovers(one, 3, 2, 1)  # a successor has asked both
    assert not covers_takeovers(one, 3, 2, 2)  # it may have asked the other alone
    assert covers_takeovers(one | {"c": told(["b", "c"], 2)}, 3, 2, 2)
    assert not covers_takeovers(one, 4, 2, 1)  # has missed a rewrite: others may be replicas since
    assert not covers_takeovers(one | {"x": snapshot(0, b"")}, 4, 2, 1)
    assert covers_takeovers(one | {"c": snapshot(0, b"")}, 4, 2, 1)  # the rewrite has reached none of them
    assert not covers_takeovers({}, 0, 2, 1)
    assert not covers_takeovers({"x": snapshot(0, b"")}, 0, 2, 1)
    # "d" was chosen for "c" by then, and a successor may have asked "b" and "d", or "c" and another.
    moved = {"c": told(["b", "c"]), "d": told(["d", "e"])}
    assert covers_takeovers(moved, 3, 2, 1)
    assert not covers_takeovers({"c": told(["d", "e"])}, 3, 2, 1)


def message(number, **more):
    return Message(number, f"id{number}", "payment", "all", 1, 0, "", 10**18, b"body", "resp", **more)


def test_a_replica_replays_to_what_was_owed_and_a_flipped_bit_ends_it_there(tmp_path):
    class Tap(bytearray):
        def appended(self, record):
            self.extend(record)

        def rewritten(self, data):
            self[:] = data

    journal, tap = Journal(str(tmp_path), 3_000_000), Tap()
    journal.observer = tap
    journal.recover()
    for n in range(1, 6):
        journal.message_accepted(message(n))
    journal.attempt_started(journal.open_messages[2], 0, 77)
    journal.message_taken_over(
        message(9, attempts=2, may_have_run_unix_us=55, final=FinalResult(FinalState.FAILED, 3))
    )
    journal.message_ended(journal.open_messages[1])
    assert bytes(tap) == journal.path.read_bytes()
    replayed = replay(bytes(tap))
    live, past = replayed.open_messages, replayed.finished_ids
    assert [t.number for t in live] == [2, 3, 4, 5, 9] and past == {"id1"}
    assert live[0].in_flight_since_unix_us == 77 and live[-1].final == FinalResult(FinalState.FAILED, 3)
    assert (live[-1].attempts, live[-1].may_have_run_unix_us) == (2, 55)
    tap[200] ^= 1
    assert journal_records.complete_bytes(tap) < 200 and not journal_records.is_truncated(
        tap, journal_records.complete_bytes(tap)
    )
    cut = journal.path.read_bytes()[:-3]
    assert journal_records.complete_bytes(cut) < len(cut) and journal_records.is_truncated(
        cut, journal_records.complete_bytes(cut)
    )
    journal.release([journal.open_messages[3]])
    assert "id3" in journal.finished_ids and 3 not in journal.open_messages


def test_what_is_taken_over_stays_within_the_journals_limit(tmp_path):
    journal = Journal(str(tmp_path), 3000)
    journal.recover()
    with pytest.raises(JournalFullError):
        for n in range(1, 100):
            journal.message_taken_over(message(n))
    assert 1 < len(journal.open_messages) < 20 and journal.path.stat().st_size <= 1440


class Held:
    def fencing_token(self, task):
        return 5


@pytest.fixture
def service(tmp_path):
    membership = MembershipService(
        MembershipConfig("k", "127.0.0.1:1", "127.0.0.1:1", (), b"fleet", SwimConfig())
    )
    membership.member.apply(Update("a", "127.0.0.2:1", 0, MemberState.ALIVE, "a"), 0)
    membership.member.apply(Update("b", "127.0.0.3:1", 0, MemberState.ALIVE, "b"), 0)
    return ReplicationService(ReplicationConfig("127.0.0.1:0", str(tmp_path)), membership, Held())


def answer(service, message):
    return anyio.run(service.server.handle, message)


SEND = {"t": "send", "from": "a", "to": "k", "owner": "a", "token": 5, "keepers": ["k"]}
DATA = {"t": "data", "from": "a", "to": "k", "owner": "a", "token": 5, "generation": 7, "base": 4, "at": 0}


def test_a_replica_outlasts_a_restart_and_fences(service, tmp_path):
    assert answer(service, SEND)["generation"] == 0
    assert answer(service, DATA | {"bytes": b"base"}) == {"t": "ack", "generation": 7, "size": 4}
    assert answer(service, DATA | {"bytes": b"more", "at": 4})["size"] == 8
    again = ReplicaStore(tmp_path, "a")
    assert again.data() == b"basemore" and (again.replica.generation, again.replica.fencing_token) == (7, 5)
    copy = answer(service, {"t": "fetch", "from": "b", "to": "k", "owner": "a", "token": 6})
    assert copy["bytes"] == b"basemore" and copy["tried"] == ["b"]
    assert answer(service, DATA | {"bytes": b"late", "at": 8})["why"].startswith("fenced")
    assert answer(service, SEND)["why"].startswith("fenced")
    assert answer(service, {"t": "done", "from": "b", "to": "k", "owner": "a", "token": 6})["t"] == "ack"
    assert ReplicaStore(tmp_path, "a").replica.takeover_token == 6


@pytest.mark.parametrize(
    ("meta", "read"),
    [
        (b"{", {}),
        (b"[1]", {}),
        (b'{"token": "6", "tried": ["b"]}', {"takeover_candidates": ["b"]}),
        (b'{"token": -1}', {}),
        (b'{"token": 4, "keepers": 5}', {"fencing_token": 4}),
        (b'{"token": 4, "tried": [1]}', {"fencing_token": 4}),
        (b'{"token": 4, "adopted": true}', {"fencing_token": 4}),
    ],
)
def test_of_a_damaged_meta_file_what_can_be_read_counts(service, tmp_path, capfd, meta, read):
    (tmp_path / "a").mkdir()
    (tmp_path / "a" / "meta").write_bytes(meta)
    service.stores.open()
    assert service.stores["a"].replica == Replica("a", **read)
    assert capfd.readouterr().out.count('"event":"copies_meta_damaged"') == 1
    assert answer(service, SEND)["t"] == "have"


def test_a_replica_removes_its_data_but_not_the_token_when_the_owner_says_so(service, tmp_path):
    answer(service, SEND)
    answer(service, DATA | {"bytes": b"base"})
    service.stores.get_or_create("a").clear()
    assert ReplicaStore(tmp_path, "a").replica.fencing_token == 5 and not list(
        (tmp_path / "a").glob("journal*")
    )
    assert answer(service, DATA | {"bytes": b"more", "at": 4})["why"].startswith("out of order")
    assert answer(service, SEND)["size"] == 0  # chosen anew, it gets all again
    ask = {"t": "spare", "from": "b", "to": "k", "owner": "k"}
    assert answer(service, ask)["why"] == "not yet"
    service.node.ownership.confirmed_fencing_token = 5
    service.primary.replicas, service.primary.connected = ["a"], {"a"}
    service.primary.log.rewrite(b"x", 1)
    service.primary.log.acknowledged = {"a": (1, 1)}
    assert answer(service, ask)["t"] == "ack" and answer(service, ask | {"from": "a"})["t"] == "no"


def test_what_is_acknowledged_is_on_the_disk_where_the_file_asks_for_that(service, monkeypatch):
    synced = []
    monkeypatch.setattr(os, "fdatasync", lambda fd: synced.append(os.fstat(fd).st_size))
    answer(service, SEND)
    answer(service, DATA | {"bytes": b"base"})
    assert synced == []
    monkeypatch.setattr(service.node, "config", replace(service.node.config, sync_to_disk=True))
    assert answer(service, DATA | {"bytes": b"more", "at": 4})["t"] == "ack" and synced == [8]


@pytest.mark.parametrize(
    ("message", "why"),
    [
        (SEND | {"from": "x", "owner": "x"}, "not a member"),
        (SEND | {"to": "z"}, "not a member"),
        (SEND | {"from": "b"}, "does not own"),
        (DATA | {"bytes": b"x", "at": 3}, "out of order"),
        (DATA | {"bytes": b"x", "base": -1}, "below 0"),
    ],
)
def test_a_replica_refuses_with_a_reason_and_applies_nothing(service, message, why):
    answer(service, SEND)
    assert why in answer(service, message)["why"]
    assert (
        service.stores.get_or_create("a").data() == b"" and not service.stores.get_or_create("a").replica.size
    )


@pytest.mark.parametrize(
    "message",
    [
        {},
        {"t": "steal"},
        {"t": []},
        SEND | {"t": {"send": 1}},
        SEND | {"token": "5"},
        DATA | {"bytes": "text"},
    ],
)
def test_a_message_that_is_not_well_formed_ends_its_stream(service, message):
    with pytest.raises(codec.DatagramError):
        answer(service, message)


HAVE = {"t": "have", "generation": 7, "size": 4, "sums": [1]}
COPY = {"t": "copy", "generation": 7, "bytes": b"x", "keepers": ["k"], "tried": [], "adopted": 0}


@pytest.mark.parametrize(
    ("request_", "message"),
    [
        *(
            (protocol.FetchSnapshot("a", 5), {k: v for k, v in COPY.items() if k != key})
            for key in COPY
            if key != "t"
        ),
        (protocol.FetchSnapshot("a", 5), COPY | {"bytes": "text"}),
        (protocol.FetchSnapshot("a", 5), COPY | {"keepers": [["k"]]}),
        (protocol.ReadSnapshot("a"), COPY | {"tried": [1]}),
        (protocol.ReadSnapshot("a"), COPY | {"generation": -1}),
        (protocol.ReadSnapshot("a"), COPY | {"adopted": True}),
        (protocol.AnnounceReplicas("a", 5, ["k"]), HAVE | {"sums": ["1"]}),
        (protocol.AnnounceReplicas("a", 5, ["k"]), HAVE | {"size": -1}),
        (protocol.AppendData("a", 5, 7, 4, 0, b"x"), {"t": "ack", "generation": 7, "size": -1}),
        (protocol.AppendData("a", 5, 7, 4, 0, b"x"), {"t": "ack", "generation": 7}),
    ],
)
def test_an_answer_that_is_not_well_formed_is_refused(request_, message):
    with pytest.raises(codec.DatagramError):
        protocol.decode_answer(request_, message)


def test_waiting_for_replicas_is_bounded_and_one_disk_is_enough_only_where_allowed(service, monkeypatch):
    service.primary.replicas = ["a", "b"]
    service.primary.announced = {"a": ["a", "b"], "b": ["a", "c"]}
    service.primary.log.rewrite(b"x", 1)

    async def play():
        assert not await service.wait_replicated()
        service.primary.log.acknowledged = {"b": (1, 1)}
        assert not await service.wait_replicated()  # it has not been told who else keeps copies
        service.primary.log.acknowledged = {"a": (1, 1)}
        assert await service.wait_replicated()
        service.primary.log.append(b"y")
        impatient = ReplicationConfig("127.0.0.1:0", "", ack_timeout_us=1000, allow_unreplicated=True)
        monkeypatch.setattr(service.node, "config", impatient)
        assert await service.wait_replicated()

    anyio.run(play)
    assert "not known yet" in service.blocked_reason()
    service.node.ownership.confirmed_fencing_token = 5
    assert service.blocked_reason() == ""
    monkeypatch.setattr(service.node, "config", ReplicationConfig("127.0.0.1:0", ""))
    assert "copies" in service.blocked_reason()
    monkeypatch.setattr(Held, "fencing_token", lambda self, task: 0)
    assert "lease" in service.blocked_reason()


def test_the_commands_show_leases_and_copies_as_aligned_text(service):
    from pinspread.admin import status_client

    service.primary.replicas = ["a"]
    service.primary.log.rewrite(b"four", 9)
    shown = status_client.FORMATTERS["copies"](service.view(), 0)
    assert shown[0].startswith("k: 0 records, 4 bytes, generation 9, 1 copies needed; ")
    assert shown[2].split() == ["a", "no", "0", "4", "0"]
    view = {"id": "k", "voter": True, "leader": "a", "term": 3, "tasks": [{"task": "t", "mine": 0}]}
    view["tasks"].append(
        {"task": "u", "mine": 7, "acts_for_ms": 1500, "holder": "k", "token": 7, "binds_for_ms": 2000}
    )
    shown = status_client.FORMATTERS["leases"](view, 0)
    assert shown[0] == "k: a voter, leader a, term 3"
    assert shown[2].split() == ["t", "-", "?", "?", "-"] and shown[3].split() == [
        "u",
        "k",
        "7",
        "2.0",
        "7,",
        "1.5",
    ]
