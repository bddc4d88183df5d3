"""Snapshots of replicas, as nodes answer with them: which is the newest, and whether enough have answered.

Decisions only, with no I/O and no clock.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from pinspread.replication.journal_bytes import complete_length


@dataclass(frozen=True)
class ReplicaSnapshot:
    """One node's replica of an owner's journal, at one time.

    Attributes:
        generation: Generation of the data; 0 if the node holds none.
        data: The newest complete generation.
        replicas: The nodes that the owner replicates to, as it last announced to this one.
        takeover_candidates: Nodes that have begun to take over the owner's work.
        takeover_token: The token under which a takeover of the work was completed; 0 if none was.
    """

    generation: int
    data: bytes
    replicas: list[str]
    takeover_candidates: list[str]
    takeover_token: int


Snapshots = Mapping[str, ReplicaSnapshot]  # by the node that answered


def newest_of(snapshots: Iterable[ReplicaSnapshot]) -> ReplicaSnapshot | None:
    """Return the longest snapshot of the newest generation; None if all are empty."""
    with_data = (snapshot for snapshot in snapshots if snapshot.generation)
    return max(with_data, key=lambda snapshot: (snapshot.generation, len(snapshot.data)), default=None)


def is_taken_over(snapshots: Snapshots) -> bool:
    """Return whether any replica of the newest generation shows a completed takeover."""
    newest = newest_of(snapshots.values())
    return newest is not None and any(
        snapshot.takeover_token and snapshot.generation == newest.generation
        for snapshot in snapshots.values()
    )


def takeover_candidates(snapshots: Snapshots) -> set[str]:
    """Return all nodes that have begun to take over the work."""
    return {candidate for snapshot in snapshots.values() for candidate in snapshot.takeover_candidates}


def replica_sets(snapshots: Snapshots) -> list[list[str]]:
    """Return, for each node that holds the newest generation, the owner's replicas as announced to it."""
    newest = newest_of(snapshots.values())
    if newest is None:
        return []
    return [s.replicas for s in snapshots.values() if s.generation == newest.generation]


def covers_committed_records(
    answered: Collection[str],
    announced_sets: Collection[Collection[str]],
    replica_count: int,
    required_acks: int,
) -> bool:
    """Return whether all committed records must be among the replicas that answered.

    A committed record is on `required_acks` or more of the `replica_count` replicas, so any
    `replica_count - required_acks + 1` of them (the read quorum) include one that holds it.

    Args:
        answered: The nodes that answered, including those that hold nothing.
        announced_sets: The owner's replicas as announced to each of these nodes. They differ while the owner
            changes its replicas.
        replica_count: How many replicas the owner wants.
        required_acks: How many of them must acknowledge a record.
    """
    return bool(announced_sets) and all(
        len(set(answered) & set(replicas)) >= _read_quorum(len(replicas), replica_count, required_acks)
        for replicas in announced_sets
    )


def covers_takeovers(
    replica_snapshots: Snapshots, owner_generation: int, replica_count: int, required_acks: int
) -> bool:
    """Return whether at least one of the nodes that answered the owner must know of any takeover of its work.

    A successor has asked at least a read quorum of the replicas (see `covers_committed_records`), and each of
    these remembers it. Of N replicas with a read quorum of R, any N - R + 1 thus include one that knows.
    If the owner has rewritten its journal since, the nodes that store the older generation may not be its
    replicas any more, and all replicas that they name must answer.

    Args:
        replica_snapshots: The answers that the owner has received.
        owner_generation: Generation of the owner's journal.
        replica_count: How many replicas the owner wants.
        required_acks: How many of them must acknowledge a record.
    """
    newest = newest_of(replica_snapshots.values())
    if newest is None:
        return False
    is_current = newest.generation >= owner_generation
    for replicas in replica_sets(replica_snapshots):
        read_quorum = _read_quorum(len(replicas), replica_count, required_acks)
        needed = len(replicas) - read_quorum + 1 if is_current else len(replicas)
        if len(replica_snapshots.keys() & set(replicas)) < needed:
            return False
    return True


def _read_quorum(chosen_count: int, replica_count: int, required_acks: int) -> int:
    """Return how many of the chosen replicas must answer so that one of them holds any committed record."""
    return max(1, min(replica_count, chosen_count) - required_acks + 1)


def without_torn_tails(snapshots: Snapshots) -> dict[str, ReplicaSnapshot]:
    """Return the snapshots with the data of each truncated to its complete records."""
    return {
        node_id: replace(snapshot, data=snapshot.data[: complete_length(snapshot.data)])
        for node_id, snapshot in snapshots.items()
    }
