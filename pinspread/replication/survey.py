"""Collecting the replicas of one owner's journal, until they cover all that it promised."""

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from pinspread.core.log import log
from pinspread.replication import clock, snapshots
from pinspread.replication.journal_bytes import replay
from pinspread.replication.protocol import FetchSnapshot, ReadSnapshot
from pinspread.replication.snapshots import Snapshots

if TYPE_CHECKING:
    from pinspread.replication.node import ReplicationNode
    from pinspread.replication.peers import PeerClient


class SurveyPurpose(Enum):
    """What replicas are asked for; waits for each are apart. The values stand in log lines."""

    OWNERS_JOURNAL = "own"
    CANDIDATES_JOURNAL = "taken over by"
    OWN_TAKEOVERS = "whether taken over"


class WaitKey(NamedTuple):
    """What is waited for, so that each wait has a bound of its own.

    Attributes:
        purpose: What the replicas are asked for.
        owner: Whose replicas are waited for.
        token: Of the lease under which they are, where another lease begins another wait; else 0.
    """

    purpose: SurveyPurpose
    owner: str
    token: int = 0


class ReplicaSurvey:
    """Asks all live nodes for replicas, and bounds the wait for those that do not answer."""

    def __init__(self, node: "ReplicationNode", peers: "PeerClient") -> None:
        self._node = node
        self._peers = peers
        self._incomplete_since_us: dict[WaitKey, int] = {}

    async def fetch(self, owner: str, token: int) -> Snapshots:
        """Return every live node's replica of an owner's journal, fenced against all older tokens."""
        answers = await self._peers.call_all(FetchSnapshot(owner, token), exclude=(owner,))
        return _checked(answers)

    def is_complete(
        self, owner: str, found: Snapshots, purpose: SurveyPurpose = SurveyPurpose.OWNERS_JOURNAL
    ) -> bool:
        """Return whether what was promised must be among these replicas, or was waited for long enough."""
        replica_sets = snapshots.replica_sets(found)
        # A replica that the owner has just chosen anew may not answer, and hold what the others lack.
        if snapshots.covers_promises(
            found, replica_sets, self._node.config.replica_count, self._node.config.required_acks
        ):
            self._incomplete_since_us.pop(WaitKey(purpose, owner), None)
            return True
        return self._has_waited_enough(WaitKey(purpose, owner), found)

    def knows_takeovers(self, token: int, found: Snapshots, local_generation: int) -> bool:
        """Return whether a takeover of this node's work is known by these answers, or was waited for long.

        Args:
            token: The fencing token of its work's lease, under which the replicas were asked for. A node that
                is cut off while it waits must not count that time.
            found: The answers. There may be none: who was cut off may take all others for dead.
            local_generation: Of this node's journal.
        """
        key = WaitKey(SurveyPurpose.OWN_TAKEOVERS, self._node.id, token)
        config = self._node.config
        if snapshots.covers_takeovers(found, local_generation, config.replica_count, config.required_acks):
            self._incomplete_since_us.pop(key, None)
            return True
        return self._has_waited_enough(key, found)

    def _has_waited_enough(self, key: WaitKey, found: Snapshots) -> bool:
        is_first = key not in self._incomplete_since_us
        since_us = self._incomplete_since_us.setdefault(key, clock.monotonic_us())
        is_overdue = clock.monotonic_us() - since_us >= self._node.config.incomplete_timeout_us
        if is_first or is_overdue:
            self._node.events(
                "copies_unsure" if is_overdue else "copies_awaited",
                owner=key.owner,
                wanted=key.purpose.value,
                answered=sorted(found),
                of=snapshots.replica_sets(found),
            )
        if is_overdue:
            del self._incomplete_since_us[key]
        return is_overdue

    def forget(self, owner: str) -> None:
        """Forget a wait for replicas of an owner whose work is not due for another any more."""
        self._incomplete_since_us.pop(WaitKey(SurveyPurpose.OWNERS_JOURNAL, owner), None)

    async def ids_in_candidates_journals(self, found: Snapshots, exclude: str) -> tuple[set[str], bool]:
        """Return the ids in the journals of others that have begun to take this work over.

        Args:
            found: The replicas of this work.
            exclude: A node that is left out: this one.

        Returns:
            The ids, and whether these replicas must hold all of them, or were waited for long enough.
        """
        ids: set[str] = set()
        complete = True
        for candidate in snapshots.takeover_candidates(found) - {exclude}:
            journals = _checked(await self._peers.call_all(ReadSnapshot(candidate)))
            # What it took over and has begun to send would be sent from here as well.
            complete = self.is_complete(candidate, journals, SurveyPurpose.CANDIDATES_JOURNAL) and complete
            newest = snapshots.newest_of(journals.values())
            if newest:
                replayed = replay(newest.data)
                ids |= {message.id for message in replayed.open_messages} | replayed.finished_ids
        return ids, complete


def _checked(answers: Snapshots) -> Snapshots:
    """Return the answers up to the last complete record of each; what is cut off is logged."""
    complete = snapshots.without_torn_tails(answers)
    for node_id, snapshot in complete.items():
        place, size = len(snapshot.data), len(answers[node_id].data)
        if place < size:
            log("copies_damaged", at=node_id, place=place, size=size, mono_us=clock.monotonic_us())
    return complete
