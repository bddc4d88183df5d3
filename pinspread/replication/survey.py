"""Collects the replicas of one owner's journal, until they cover all committed records."""

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
    """Why replicas are collected; each purpose has waits of its own. The values appear in log lines."""

    OWNERS_JOURNAL = "own"
    CANDIDATES_JOURNAL = "taken over by"
    OWN_TAKEOVERS = "whether taken over"


class WaitKey(NamedTuple):
    """The key of a wait for replicas; each wait has its own time limit.

    Attributes:
        purpose: Why the replicas are collected.
        owner: The node whose replicas are waited for.
        token: The fencing token under which they are collected, if a new lease starts a new wait; else 0.
    """

    purpose: SurveyPurpose
    owner: str
    token: int = 0


class ReplicaSurvey:
    """Asks all live nodes for replicas, and limits the wait for those that do not answer."""

    def __init__(self, node: "ReplicationNode", peers: "PeerClient") -> None:
        self._node = node
        self._peers = peers
        self._incomplete_since_us: dict[WaitKey, int] = {}

    async def fetch(self, owner: str, token: int) -> Snapshots:
        """Return every live node's replica of an owner's journal, fenced against all older tokens."""
        answers = await self._peers.call_all(FetchSnapshot(owner, token), exclude=(owner,))
        return _drop_torn_tails(answers)

    def is_complete(
        self, owner: str, replica_snapshots: Snapshots, purpose: SurveyPurpose = SurveyPurpose.OWNERS_JOURNAL
    ) -> bool:
        """Return whether these replicas must hold all committed records, or the wait for more is over."""
        replica_sets = snapshots.replica_sets(replica_snapshots)
        # A replica that the owner has only just chosen may hold records that the others lack, and not answer.
        if snapshots.covers_committed_records(
            replica_snapshots, replica_sets, self._node.config.replica_count, self._node.config.required_acks
        ):
            self._incomplete_since_us.pop(WaitKey(purpose, owner), None)
            return True
        return self._has_waited_enough(WaitKey(purpose, owner), replica_snapshots)

    def knows_takeovers(self, token: int, replica_snapshots: Snapshots, local_generation: int) -> bool:
        """Return whether these answers must show any takeover of this node's work, or the wait has timed out.

        Args:
            token: The fencing token of this node's work lease, under which the replicas were collected. Each
                lease starts a new wait, so that the time in which this node is cut off does not count.
            replica_snapshots: The answers. There may be none, as a node that was cut off may take all others
                for dead.
            local_generation: Generation of this node's journal.
        """
        key = WaitKey(SurveyPurpose.OWN_TAKEOVERS, self._node.id, token)
        config = self._node.config
        if snapshots.covers_takeovers(
            replica_snapshots, local_generation, config.replica_count, config.required_acks
        ):
            self._incomplete_since_us.pop(key, None)
            return True
        return self._has_waited_enough(key, replica_snapshots)

    def _has_waited_enough(self, key: WaitKey, replica_snapshots: Snapshots) -> bool:
        is_new_wait = key not in self._incomplete_since_us
        since_us = self._incomplete_since_us.setdefault(key, clock.monotonic_us())
        is_overdue = clock.monotonic_us() - since_us >= self._node.config.incomplete_timeout_us
        if is_new_wait or is_overdue:
            self._node.events(
                "copies_unsure" if is_overdue else "copies_awaited",
                owner=key.owner,
                wanted=key.purpose.value,
                answered=sorted(replica_snapshots),
                of=snapshots.replica_sets(replica_snapshots),
            )
        if is_overdue:
            del self._incomplete_since_us[key]
        return is_overdue

    def forget(self, owner: str) -> None:
        """Forget the wait for replicas of an owner whose work need not be taken over any more."""
        self._incomplete_since_us.pop(WaitKey(SurveyPurpose.OWNERS_JOURNAL, owner), None)

    async def ids_in_candidates_journals(
        self, replica_snapshots: Snapshots, exclude: str
    ) -> tuple[set[str], bool]:
        """Return the message ids in the journals of the nodes that have begun to take over this work.

        Args:
            replica_snapshots: The replicas of this work.
            exclude: The node to leave out, which is this one.

        Returns:
            The ids, and whether they must be complete, or the wait for more replicas has timed out.
        """
        ids: set[str] = set()
        complete = True
        for candidate in snapshots.takeover_candidates(replica_snapshots) - {exclude}:
            journals = _drop_torn_tails(await self._peers.call_all(ReadSnapshot(candidate)))
            # Without these ids, this node would also send what the candidate took over and has begun to send.
            complete = self.is_complete(candidate, journals, SurveyPurpose.CANDIDATES_JOURNAL) and complete
            newest = snapshots.newest_of(journals.values())
            if newest:
                replayed = replay(newest.data)
                ids |= {message.id for message in replayed.open_messages} | replayed.finished_ids
        return ids, complete


def _drop_torn_tails(answers: Snapshots) -> Snapshots:
    """Return the answers, each truncated to its complete records; log those that are truncated."""
    complete = snapshots.without_torn_tails(answers)
    for node_id, snapshot in complete.items():
        complete_size, size = len(snapshot.data), len(answers[node_id].data)
        if complete_size < size:
            log("copies_damaged", at=node_id, place=complete_size, size=size, mono_us=clock.monotonic_us())
    return complete
