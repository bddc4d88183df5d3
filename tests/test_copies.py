"""Copies: placement, what the owner and the keeper decide, and what a keeper refuses."""

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
from pinspread.membership import codec as wire
from pinspread.membership.members import MemberState
from pinspread.membership.service import MembershipConfig, MembershipService
from pinspread.membership.swim import SwimConfig
from pinspread.replication import log as copies
from pinspread.replication import placement
from pinspread.replication import service as copying
from pinspread.replication.log import RANGE, Replica, ReplicationLog

MEMBERS = [f"c{n}" for n in range(12)]


def test_a_member_that_goes_moves_only_what_it_kept():
    before = {m: placement.keepers(m, MEMBERS, 2) for m in MEMBERS}
    assert all(m not in found and len(found) == 2 for m, found in before.items())
    left = [m for m in MEMBERS if m != "c3"]
    for m in left:
        after = placement.keepers(m, left, 2)
        assert after == before[m] if "c3" not in before[m] else set(before[m]) - {"c3"} < set(after)
    counts = [sum(m in found for found in before.values()) for m in MEMBERS]
    assert max(counts) <= 6  # nobody keeps most of the fleet's


def test_a_promise_is_copied_once_enough_copies_hold_all_up_to_it():
    source = ReplicationLog(need=2)
    source.rewritten(b"base", 10)
    source.appended(b"one")
    mark = source.mark()
    source.held = {"a": (10, 7), "b": (10, 6)}
    assert source.has("a", mark) and not source.copied("ab", mark)
    source.held["b"] = (10, 7)
    assert source.copied("ab", mark) and not source.copied("a", mark)
    source.rewritten(b"base and one", 5)  # a clock that went back makes no older generation
    assert source.generation == 11
    started = ReplicationLog(need=2, floor=11)
    started.rewritten(b"base", 3)  # nor in another process, where copies have one
    assert started.generation == 12
    assert source.copied("ab", mark)  # what they hold still counts for what was promised by it
    source.held = {"a": (11, 11), "b": (11, 12)}
    assert not source.has("a", mark) and source.has("b", mark)  # half of the new file holds nothing for sure
    assert source.behind("a")[1] == 1 and source.behind("c")[1] == 12


def test_lag_counts_the_records_that_a_copy_lacks_and_since_when():
    source, record = ReplicationLog(need=1), journal_records.frame(b"x" * 12)
    source.rewritten(record * 3, 10, 1000)
    source.appended(record, 5000)
    source.held = {"a": (10, 80), "b": (10, 59), "c": (9, 80)}
    assert source.behind("a", 9000) == (0, 0, 0)
    assert source.behind("b", 9000) == (2, 21, 8000)  # one of them in part
    assert source.behind("c", 9000) == source.behind("d", 9000) == (4, 80, 8000)


def test_a_copy_may_go_only_once_all_that_are_chosen_hold_all():
    source = ReplicationLog(need=1)
    source.rewritten(b"four", 10)
    source.held = {"a": (10, 4), "b": (10, 3)}
    assert source.spared("z", ["a"]) and not source.spared("z", ["a", "b"])
    assert not source.spared("a", ["a"]) and not source.spared("z", [])


@pytest.mark.parametrize(
    ("state", "for_us", "lost"),
    [
        ("alive", 99, 0),
        ("suspect", 99, 0),
        ("dead", 0, 1),
        ("left", 9, 0),
        ("left", 10, 1),
        ("", 9, 0),
        ("", 10, 1),
    ],
)
def test_whose_work_is_due_for_another(state, for_us, lost):
    assert copies.absent(state, for_us, 10) == bool(lost)


@given(st.integers(0, 3 * RANGE), st.data())
def test_sending_goes_on_where_the_copy_first_differs(size, data):
    mine = random.Random(size).randbytes(3 * RANGE)
    theirs = bytearray(mine[:size])
    assert copies.common(mine, size, copies.sums(theirs)) == size
    if size:
        at = data.draw(st.integers(0, size - 1))
        theirs[at] ^= 1
        assert copies.common(mine, size, copies.sums(theirs)) == at // RANGE * RANGE
    assert copies.common(b"", size, copies.sums(theirs)) == 0  # more than there is


@pytest.mark.parametrize(
    ("token", "generation", "at", "said"),
    [
        (4, 7, 10, "fenced"),
        (5, 7, 10, "old"),
        (5, 7, 4, "old"),  # a range that differed is sent anew
        (5, 7, 11, "out of order"),
        (5, 6, 0, "out of order"),  # an older generation
        (5, 8, 3, "out of order"),  # a newer one from its middle
        (5, 8, 0, "new"),
    ],
)
def test_where_a_keeper_puts_bytes(token, generation, at, said):
    kept = Replica("a", token=5, generation=7, size=10)
    assert kept.place(token, generation, 6, at, 2).startswith(said)


def test_a_new_generation_takes_the_old_ones_place_only_when_it_is_whole():
    kept = Replica("a", token=5, generation=7, size=10, adopted=3, tried=["b"])
    assert kept.place(5, 8, 6, 0, 4) == "new" and not kept.whole()
    assert (kept.generation, kept.size) == (7, 10)
    assert kept.place(5, 8, 6, 4, 2) == "new" and kept.whole()
    assert (kept.generation, kept.size, kept.adopted, kept.tried) == (8, 6, 0, [])
    assert kept.fence(9, "c") == "" and kept.tried == ["c"]
    assert kept.place(5, 8, 6, 6, 1).startswith("fenced") and kept.greet(8).startswith("fenced")


def test_how_many_copies_must_answer_before_work_is_taken_over():
    assert copies.enough(["b"], [["b", "c"]], 2, 2)  # each of both holds every promise
    assert not copies.enough(["b"], [["b", "c"]], 2, 1)  # the other may hold one that this one lacks
    assert copies.enough(["b", "c"], [["b", "c"]], 2, 1)
    assert not copies.enough(["x"], [["b", "c"]], 2, 2)
    assert copies.enough(["b"], [["b"]], 2, 1)  # there was no second one
    # The owner was choosing "d" for "c", and "d" may hold what "b", which has not heard of that, lacks.
    assert not copies.enough(["b", "c"], [["b", "c"], ["b", "d"]], 2, 1)
    assert copies.enough(["b", "c", "d"], [["b", "c"], ["b", "d"]], 2, 1)
    empty = {"b": {"generation": 0, "bytes": b""}}  # has said that it holds nothing, which is an answer too
    assert copying.whole_ones(empty) == empty
    assert copies.best([(0, b""), (3, b"a"), (3, b"ab"), (2, b"abc")]) == (3, b"ab") and not copies.best(
        [(0, b"")]
    )


def message(number, **more):
    return Message(number, f"id{number}", "payment", "all", 1, 0, "", 10**18, b"body", "resp", **more)


def test_a_copy_replays_to_what_was_owed_and_a_flipped_bit_ends_it_there(tmp_path):
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
    live, past = copying.replayed(bytes(tap))
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


def test_what_is_taken_over_stays_within_the_journals_room(tmp_path):
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
def keeper(tmp_path):
    membership = MembershipService(
        MembershipConfig("k", "127.0.0.1:1", "127.0.0.1:1", (), b"fleet", SwimConfig())
    )
    membership.member.apply(["a", "127.0.0.2:1", 0, MemberState.ALIVE, "a"], 0)
    membership.member.apply(["b", "127.0.0.3:1", 0, MemberState.ALIVE, "b"], 0)
    return copying.ReplicationService(
        copying.ReplicationConfig("127.0.0.1:0", str(tmp_path)), membership, Held()
    )


def answer(keeper, message):
    return anyio.run(keeper._answer, message)


SEND = {"t": "send", "from": "a", "to": "k", "owner": "a", "token": 5, "keepers": ["k"]}
DATA = {"t": "data", "from": "a", "to": "k", "owner": "a", "token": 5, "generation": 7, "base": 4, "at": 0}


def test_a_keeper_keeps_over_a_restart_and_fences(keeper, tmp_path):
    assert answer(keeper, SEND)["generation"] == 0
    assert answer(keeper, DATA | {"bytes": b"base"}) == {"t": "ack", "generation": 7, "size": 4}
    assert answer(keeper, DATA | {"bytes": b"more", "at": 4})["size"] == 8
    again = copying.ReplicaStore(tmp_path, "a")
    assert again.data() == b"basemore" and (again.kept.generation, again.kept.token) == (7, 5)
    copy = answer(keeper, {"t": "fetch", "from": "b", "to": "k", "owner": "a", "token": 6})
    assert copy["bytes"] == b"basemore" and copy["tried"] == ["b"]
    assert answer(keeper, DATA | {"bytes": b"late", "at": 8})["why"].startswith("fenced")
    assert answer(keeper, SEND)["why"].startswith("fenced")
    assert answer(keeper, {"t": "done", "from": "b", "to": "k", "owner": "a", "token": 6})["t"] == "ack"
    assert copying.ReplicaStore(tmp_path, "a").kept.adopted == 6


def test_a_keeper_lets_go_of_its_copy_but_not_of_the_token_when_the_owner_says_so(keeper, tmp_path):
    answer(keeper, SEND)
    answer(keeper, DATA | {"bytes": b"base"})
    keeper._shelf("a").clear()
    assert copying.ReplicaStore(tmp_path, "a").kept.token == 5 and not list((tmp_path / "a").glob("journal*"))
    assert answer(keeper, DATA | {"bytes": b"more", "at": 4})["why"].startswith("out of order")
    assert answer(keeper, SEND)["size"] == 0  # chosen anew, it gets all again
    ask = {"t": "spare", "from": "b", "to": "k", "owner": "k"}
    assert answer(keeper, ask)["why"] == "not yet"
    keeper.sure, keeper.targets, keeper.streams = 5, ["a"], {"a"}
    keeper.source.rewritten(b"x", 1)
    keeper.source.held = {"a": (1, 1)}
    assert answer(keeper, ask)["t"] == "ack" and answer(keeper, ask | {"from": "a"})["t"] == "no"


def test_what_is_acknowledged_is_on_the_disk_where_the_file_asks_for_that(keeper, monkeypatch):
    synced = []
    monkeypatch.setattr(os, "fdatasync", lambda fd: synced.append(os.fstat(fd).st_size))
    answer(keeper, SEND)
    answer(keeper, DATA | {"bytes": b"base"})
    assert synced == []
    monkeypatch.setattr(keeper, "plan", replace(keeper.plan, sync=True))
    assert answer(keeper, DATA | {"bytes": b"more", "at": 4})["t"] == "ack" and synced == [8]


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
def test_a_keeper_refuses_with_a_reason_and_applies_nothing(keeper, message, why):
    answer(keeper, SEND)
    assert why in answer(keeper, message)["why"]
    assert keeper._shelf("a").data() == b"" and not keeper._shelf("a").kept.size


@pytest.mark.parametrize("message", [{}, {"t": "steal"}, SEND | {"token": "5"}, DATA | {"bytes": "text"}])
def test_a_message_that_is_not_well_formed_ends_its_stream(keeper, message):
    with pytest.raises(wire.DatagramError):
        answer(keeper, message)


def test_waiting_for_copies_is_bounded_and_promises_on_one_disk_only_where_allowed(keeper, monkeypatch):
    keeper.targets = ["a", "b"]
    keeper.told = {"a": ["a", "b"], "b": ["a", "c"]}
    keeper.source.rewritten(b"x", 1)

    async def play():
        assert not await keeper.wait_replicated()
        keeper.source.held = {"b": (1, 1)}
        assert not await keeper.wait_replicated()  # it has not been told who else keeps copies
        keeper.source.held = {"a": (1, 1)}
        assert await keeper.wait_replicated()
        keeper.source.appended(b"y")
        monkeypatch.setattr(
            keeper, "plan", copying.ReplicationConfig("127.0.0.1:0", "", ack_us=1000, alone=True)
        )
        assert await keeper.wait_replicated()

    anyio.run(play)
    assert "not known yet" in keeper.blocked_reason()
    keeper.sure = 5
    assert keeper.blocked_reason() == ""
    monkeypatch.setattr(keeper, "plan", copying.ReplicationConfig("127.0.0.1:0", ""))
    assert "copies" in keeper.blocked_reason()
    monkeypatch.setattr(Held, "fencing_token", lambda self, task: 0)
    assert "lease" in keeper.blocked_reason()


def test_the_commands_show_leases_and_copies_as_aligned_text(keeper):
    from pinspread.admin import status_client as show

    keeper.targets = ["a"]
    keeper.source.rewritten(b"four", 9)
    shown = show.FORMATTERS["copies"](keeper.view(), 0)
    assert shown[0].startswith("k: 0 records, 4 bytes, generation 9, 1 copies needed; ")
    assert shown[2].split() == ["a", "no", "0", "4", "0"]
    view = {"id": "k", "voter": True, "leader": "a", "term": 3, "tasks": [{"task": "t", "mine": 0}]}
    view["tasks"].append(
        {"task": "u", "mine": 7, "acts_for_ms": 1500, "holder": "k", "token": 7, "binds_for_ms": 2000}
    )
    shown = show.FORMATTERS["leases"](view, 0)
    assert shown[0] == "k: a voter, leader a, term 3"
    assert shown[2].split() == ["t", "-", "?", "?", "-"] and shown[3].split() == [
        "u",
        "k",
        "7",
        "2.0",
        "7,",
        "1.5",
    ]
