"""What replication decides without I/O: placement, acknowledgements, writes to a replica, and takeovers."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pinspread.core import journal_records
from pinspread.replication import fleet, placement
from pinspread.replication.log import CHECKSUM_RANGE_BYTES, ReplicationLog, matching_prefix, range_checksums
from pinspread.replication.replica import Replica, ReplicaRefusedError, WriteTarget
from pinspread.replication.snapshots import (
    ReplicaSnapshot,
    covers_committed_records,
    covers_takeovers,
    newest_of,
    without_torn_tails,
)

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
    assert covers_committed_records(["b"], [["b", "c"]], 2, 2)  # each of both holds every promise
    assert not covers_committed_records(
        ["b"], [["b", "c"]], 2, 1
    )  # the other may hold one that this one lacks
    assert covers_committed_records(["b", "c"], [["b", "c"]], 2, 1)
    assert not covers_committed_records(["x"], [["b", "c"]], 2, 2)
    assert covers_committed_records(["b"], [["b"]], 2, 1)  # there was no second one
    # The owner was choosing "d" for "c", and "d" may hold what "b", which has not heard of that, lacks.
    assert not covers_committed_records(["b", "c"], [["b", "c"], ["b", "d"]], 2, 1)
    assert covers_committed_records(["b", "c", "d"], [["b", "c"], ["b", "d"]], 2, 1)
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
