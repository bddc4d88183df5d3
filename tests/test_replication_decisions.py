"""The decisions of replication, without I/O: placement, acknowledgements, writes to a replica, takeovers."""

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
    before = {owner: placement.replicas_of(owner, MEMBERS, 2) for owner in MEMBERS}
    assert all(owner not in nodes and len(nodes) == 2 for owner, nodes in before.items())
    remaining = [owner for owner in MEMBERS if owner != "c3"]
    for owner in remaining:
        after = placement.replicas_of(owner, remaining, 2)
        assert (
            after == before[owner] if "c3" not in before[owner] else set(before[owner]) - {"c3"} < set(after)
        )
    counts = [sum(owner in nodes for nodes in before.values()) for owner in MEMBERS]
    assert max(counts) <= 6  # no node stores the replicas of most of the fleet


def test_a_record_is_committed_once_enough_replicas_have_acknowledged_it():
    log = ReplicationLog(required_acks=2)
    log.rewrite(b"base", 10)
    log.append(b"one")
    position = log.end()
    log.acknowledged = {"a": (10, 7), "b": (10, 6)}
    assert log.has_acknowledged("a", position) and not log.is_replicated("ab", position)
    log.acknowledged["b"] = (10, 7)
    assert log.is_replicated("ab", position) and not log.is_replicated("a", position)
    log.rewrite(b"base and one", 5)  # a clock that was set back does not lead to a lower generation
    assert log.generation == 11
    restarted = ReplicationLog(required_acks=2, generation_floor=11)
    restarted.rewrite(b"base", 3)  # nor does it after a restart, if replicas have a higher generation
    assert restarted.generation == 12
    assert log.is_replicated("ab", position)  # what they acknowledged of the old generation still counts
    log.acknowledged = {"a": (11, 11), "b": (11, 12)}
    # An incomplete base need not hold what the old generation held.
    assert not log.has_acknowledged("a", position) and log.has_acknowledged("b", position)
    assert log.lag("a")[1] == 1 and log.lag("c")[1] == 12


def test_lag_counts_the_records_that_a_replica_lacks_and_since_when():
    log, record = ReplicationLog(required_acks=1), journal_records.frame(b"x" * 12)
    log.rewrite(record * 3, 10, 1000)
    log.append(record, 5000)
    log.acknowledged = {"a": (10, 80), "b": (10, 59), "c": (9, 80)}
    assert log.lag("a", 9000) == (0, 0, 0)
    assert log.lag("b", 9000) == (2, 21, 8000)  # one of them only in part
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
    local = random.Random(size).randbytes(3 * CHECKSUM_RANGE_BYTES)
    remote = bytearray(local[:size])
    assert matching_prefix(local, size, range_checksums(remote)) == size
    if size:
        offset = data.draw(st.integers(0, size - 1))
        remote[offset] ^= 1
        assert (
            matching_prefix(local, size, range_checksums(remote))
            == offset // CHECKSUM_RANGE_BYTES * CHECKSUM_RANGE_BYTES
        )
    assert matching_prefix(b"", size, range_checksums(remote)) == 0  # the replica is longer than the journal


def result_or_refusal(decide, *arguments):
    """Return what a replica decides, or the reason if it refuses."""
    try:
        return decide(*arguments)
    except ReplicaRefusedError as error:
        return str(error)


@pytest.mark.parametrize(
    ("token", "generation", "at", "said"),
    [
        (4, 7, 10, "fenced"),
        (5, 7, 10, WriteTarget.CURRENT),
        (5, 7, 4, WriteTarget.CURRENT),  # a range that differed is sent again
        (5, 7, 11, "out of order"),
        (5, 6, 0, "out of order"),  # an older generation
        (5, 8, 3, "out of order"),  # a newer generation, but not from its start
        (5, 8, 0, WriteTarget.INCOMING),
    ],
)
def test_where_a_replica_puts_data(token, generation, at, said):
    replica = Replica("a", fencing_token=5, generation=7, size=10)
    result = result_or_refusal(replica.place, token, generation, 6, at)
    assert result is said if isinstance(said, WriteTarget) else result.startswith(said)


def test_a_new_generation_takes_the_old_ones_place_only_when_it_is_complete():
    replica = Replica(
        "a", fencing_token=5, generation=7, size=10, takeover_token=3, takeover_candidates=["b"]
    )
    assert replica.place(5, 8, 6, 0) is WriteTarget.INCOMING
    replica.count_written(WriteTarget.INCOMING, 4)
    assert (replica.generation, replica.size, replica.incoming_is_complete) == (7, 10, False)
    assert replica.place(5, 8, 6, 4) is WriteTarget.INCOMING and not replica.incoming_is_complete
    replica.count_written(WriteTarget.INCOMING, 2)
    assert replica.incoming_is_complete
    replica.promote_incoming()
    assert (replica.generation, replica.size) == (8, 6)
    assert (replica.takeover_token, replica.takeover_candidates) == (0, [])
    replica.fence(9, "c")
    assert replica.takeover_candidates == ["c"]
    assert result_or_refusal(replica.place, 5, 8, 6, 6).startswith("fenced")
    assert result_or_refusal(replica.accept_owner, 8).startswith("fenced")


def snapshot(generation, data):
    return ReplicaSnapshot(generation, data, ["b"], [], 0)


def test_how_many_replicas_must_answer_before_work_is_taken_over():
    assert covers_committed_records(["b"], [["b", "c"]], 2, 2)  # each of the two holds every committed record
    assert not covers_committed_records(["b"], [["b", "c"]], 2, 1)  # "c" may hold a record that "b" lacks
    assert covers_committed_records(["b", "c"], [["b", "c"]], 2, 1)
    assert not covers_committed_records(["x"], [["b", "c"]], 2, 2)
    assert covers_committed_records(["b"], [["b"]], 2, 1)  # the owner had no second replica
    # The owner was replacing "c" by "d". "d" may hold what "b" lacks, which the new set was not announced to.
    assert not covers_committed_records(["b", "c"], [["b", "c"], ["b", "d"]], 2, 1)
    assert covers_committed_records(["b", "c", "d"], [["b", "c"], ["b", "d"]], 2, 1)
    empty = {"b": snapshot(0, b"")}  # an answer of a node that holds nothing counts as well
    assert without_torn_tails(empty) == empty
    answers = [snapshot(0, b""), snapshot(3, b"a"), snapshot(3, b"ab"), snapshot(2, b"abc")]
    assert newest_of(answers) == snapshot(3, b"ab") and not newest_of([snapshot(0, b"")])


def test_which_replicas_must_answer_so_that_their_owner_learns_of_any_takeover():
    def announced(replicas, generation=3):
        return ReplicaSnapshot(generation, b"a", replicas, [], 0)

    only_b = {"b": announced(["b", "c"])}
    assert covers_takeovers(only_b, 3, 2, 1)  # a successor has asked both
    assert not covers_takeovers(only_b, 3, 2, 2)  # a successor may have asked "c" alone
    assert covers_takeovers(only_b | {"c": announced(["b", "c"], 2)}, 3, 2, 2)
    assert not covers_takeovers(only_b, 4, 2, 1)  # "b" missed a rewrite; the replicas may have changed since
    assert not covers_takeovers(only_b | {"x": snapshot(0, b"")}, 4, 2, 1)
    assert covers_takeovers(only_b | {"c": snapshot(0, b"")}, 4, 2, 1)  # the rewrite has reached neither
    assert not covers_takeovers({}, 0, 2, 1)
    assert not covers_takeovers({"x": snapshot(0, b"")}, 0, 2, 1)
    # By then "d" was chosen for "c", and a successor may have asked "b" and "d", or "c" and another node.
    changed = {"c": announced(["b", "c"]), "d": announced(["d", "e"])}
    assert covers_takeovers(changed, 3, 2, 1)
    assert not covers_takeovers({"c": announced(["d", "e"])}, 3, 2, 1)
