"""Dissemination by gossip: the updates that are piggybacked on messages which are sent in any case."""

import math
from dataclasses import dataclass

from pinspread.membership.messages import Update

# With this many updates, in a cluster of 16 members, a datagram stays under 1,400 bytes.
MAX_UPDATES = 12


@dataclass
class _QueuedUpdate:
    update: Update
    sends_left: int


class GossipQueue:
    """The updates that are still to be passed on, at most one for each member.

    Args:
        gossip_lambda: The factor of how often an update is sent; see `SwimConfig`.
    """

    def __init__(self, gossip_lambda: float):
        self._gossip_lambda = gossip_lambda
        self._queue: dict[str, _QueuedUpdate] = {}

    def __contains__(self, member_id: object) -> bool:
        """Return whether an update about a member is queued."""
        return member_id in self._queue

    def add(self, update: Update, member_count: int) -> None:
        """Queue an update; it replaces any earlier one about the same member."""
        sends = math.ceil(self._gossip_lambda * math.log10(member_count + 1))
        self._queue[update.id] = _QueuedUpdate(update, max(1, sends))

    def take(self, first_id: str | None = None) -> list[Update]:
        """Return the updates for one message: any about `first_id`, then those with the most sends left."""
        chosen = sorted(self._queue.items(), key=lambda item: (item[0] != first_id, -item[1].sends_left))[
            :MAX_UPDATES
        ]
        for id_, queued in chosen:
            queued.sends_left -= 1
            if queued.sends_left <= 0:
                del self._queue[id_]
        return [queued.update for _, queued in chosen]

    def discard(self, member_id: str) -> None:
        """Drop any update about a member."""
        self._queue.pop(member_id, None)

    def clear(self) -> None:
        """Drop all updates."""
        self._queue.clear()
