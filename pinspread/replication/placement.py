"""Which nodes store replicas of whose journal: rendezvous hashing (Thaler and Ravishankar, 1998).

A node that joins or leaves the fleet moves only the replicas that it stores or would store. No I/O, no clock.
"""

from collections.abc import Iterable

import xxhash


def ranked_candidates(owner: str, node_ids: Iterable[str]) -> list[str]:
    """Return the nodes other than the owner, by descending weight for this owner."""
    others = [node_id for node_id in set(node_ids) if node_id != owner]
    return sorted(others, key=lambda node_id: (-_weight(owner, node_id), node_id))


def replicas_of(owner: str, node_ids: Iterable[str], count: int) -> list[str]:
    """Return the nodes that store the owner's replicas; fewer than `count` if the fleet has fewer."""
    return ranked_candidates(owner, node_ids)[:count]


def _weight(owner: str, node_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{owner}\0{node_id}".encode())
