"""Replicas as nodes answer with them: which is the newest, and whether all that matters has answered.

Decisions alone, with no I/O and no clock.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from pinspread.replication.journal_bytes import complete_length


@dataclass(frozen=True)
class ReplicaSnapshot:
    """One node's replica of an owner's journal, at one time.

    Attributes:
        generation: Of the data; 0 if the node holds nothing.
        data: The newest complete generation.
        replicas: The nodes that the owner replicates to, as it last announced to this one.
        takeover_candidates: Nodes that have begun to take the owner's work over.
        takeover_token: The token under which the work was taken over for good; 0 if it was not.
    """

    generation: int
    data: bytes
    replicas: list[str]
    takeover_candidates: list[str]
    takeover_token: int


Snapshots = Mapping[str, ReplicaSnapshot]  # by the node that answered


def newest_of(snapshots: Iterable[ReplicaSnapshot]) -> ReplicaSnapshot | None:
    """Return the longest of the newest generation; None if none holds anything."""
    with_data = (snapshot for snapshot in snapshots if snapshot.generation)
    return max(with_data, key=lambda snapshot: (snapshot.generation, len(snapshot.data)), default=None)


def is_taken_over(snapshots: Snapshots) -> bool:
    """Return whether the newest generation was taken over for good, as one of the replicas says."""
    newest = newest_of(snapshots.values())
    return newest is not None and any(
        snapshot.takeover_token and snapshot.generation == newest.generation
        for snapshot in snapshots.values()
    )


def takeover_candidates(snapshots: Snapshots) -> set[str]:
    """Return all nodes that have begun to take the work over."""
    return {candidate for snapshot in snapshots.values() for candidate in snapshot.takeover_candidates}


def replica_sets(snapshots: Snapshots) -> list[list[str]]:
    """Return the owner's replicas as announced to each node that holds the newest generation."""
    newest = newest_of(snapshots.values())
    if newest is None:
        return []
    return [s.replicas for s in snapshots.values() if s.generation == newest.generation]


def covers_promises(
    answered: Collection[str], chosen: Collection[Collection[str]], replica_count: int, required_acks: int
) -> bool:
    """Return whether all that was promised must be among the replicas that answered.

    A promise is on `required_acks` of the `replica_count` replicas, so `replica_count - required_acks + 1` of
    them have one that holds it.

    Args:
        answered: The nodes that answered, those that hold nothing among them.
        chosen: The owner's replicas as announced to each of them, which differ while the owner changes them.
        replica_count: How many replicas the owner wants.
        required_acks: How many it waits for.
    """
    return bool(chosen) and all(
        len(set(answered) & set(replicas)) >= _covering_count(len(replicas), replica_count, required_acks)
        for replicas in chosen
    )


def covers_takeovers(found: Snapshots, owner_generation: int, replica_count: int, required_acks: int) -> bool:
    """Return whether a takeover of the owner's work must be known to one of the nodes that answered it.

    A successor has asked as many replicas as `covers_promises` wants, and each of them remembers it. So one
    of them is among the others and one more. Where the owner has rewritten its journal since, those that
    store the older generation may be replicas no longer, and all that they name have to answer.

    Args:
        found: The answers that the owner has got.
        owner_generation: Of the owner's journal.
        replica_count: How many replicas the owner wants.
        required_acks: How many it waits for.
    """
    newest = newest_of(found.values())
    if newest is None:
        return False
    is_current = newest.generation >= owner_generation
    for replicas in replica_sets(found):
        covering = _covering_count(len(replicas), replica_count, required_acks)
        needed = len(replicas) - covering + 1 if is_current else len(replicas)
        if len(found.keys() & set(replicas)) < needed:
            return False
    return True


def _covering_count(chosen_count: int, replica_count: int, required_acks: int) -> int:
    """Return how many of the chosen replicas have one that holds any one promise among them."""
    return max(1, min(replica_count, chosen_count) - required_acks + 1)


def without_torn_tails(snapshots: Snapshots) -> dict[str, ReplicaSnapshot]:
    """Return the snapshots, the data of each up to its last complete record."""
    return {
        node_id: replace(snapshot, data=snapshot.data[: complete_length(snapshot.data)])
        for node_id, snapshot in snapshots.items()
    }
