"""Who keeps copies of whose work: rendezvous hashing over the live members (Thaler and Ravishankar, 1998).

A member that comes or goes moves only what it keeps or would keep. No I/O, no clock.
"""

import xxhash


def order(owner: str, members) -> list[str]:
    """The other members, the one with the highest weight for this owner first."""
    others = [m for m in set(members) if m != owner]
    return sorted(others, key=lambda m: (-xxhash.xxh64_intdigest(f"{owner}\0{m}".encode()), m))


def keepers(owner: str, members, count: int) -> list[str]:
    """The members that keep copies of the owner's work; fewer if there are fewer."""
    return order(owner, members)[:count]
