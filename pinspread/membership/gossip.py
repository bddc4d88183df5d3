"""Dissemination by gossip: which updates are piggybacked on the messages that are sent anyhow."""

import math
from dataclasses import dataclass

from pinspread.membership.messages import Update

# With so many updates of 16 members a datagram stays under 1,400 bytes.
MAX_UPDATES = 12


@dataclass
class _QueuedUpdate:
    update: Update
    sends_left: int


class GossipQueue:
    """The updates that are still to be passed on, at most one for each member.

    Args:
        gossip_lambda: How often an update is sent, as `SwimConfig` has it.
    """

    def __init__(self, gossip_lambda: float):
        self._gossip_lambda = gossip_lambda
        self._queue: dict[str, _QueuedUpdate] = {}

    def __contains__(self, member_id: object) -> bool:
        """Return whether an update about a member is queued."""
        return member_id in self._queue

    def add(self, update: Update, member_count: int) -> None:
        """Queue an update in the place of any other about the same member."""
        sends = math.ceil(self._gossip_lambda * math.log10(member_count + 1))
        self._queue[update.id] = _QueuedUpdate(update, max(1, sends))

    def take(self, first: str | None = None) -> list[Update]:
        """Return the updates for one message: any about `first`, then those that have been sent least."""
        chosen = sorted(self._queue.items(), key=lambda item: (item[0] != first, -item[1].sends_left))[
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
