"""Takes over one lost node's work, under the lease of that work."""

from enum import Enum, auto
from typing import TYPE_CHECKING

from pinspread.replication import snapshots
from pinspread.replication.journal_bytes import replay
from pinspread.replication.protocol import CompleteTakeover

if TYPE_CHECKING:
    from pinspread.core.engine import DeliveryEngine
    from pinspread.core.messages import Message
    from pinspread.replication.node import ReplicationNode
    from pinspread.replication.peers import PeerClient
    from pinspread.replication.primary import Primary
    from pinspread.replication.survey import ReplicaSurvey


class TakeoverResult(Enum):
    """The result of one try to take over an owner's work."""

    DEFERRED = auto()  # too few replicas have answered, or the lease was lost; it is tried again
    ALREADY_DONE = auto()  # another node has completed the takeover
    TAKEN_OVER = auto()


class Takeover:
    """Collects a lost owner's replicas and has the engine take over the messages in them."""

    def __init__(
        self,
        node: "ReplicationNode",
        engine: "DeliveryEngine",
        primary: "Primary",
        peers: "PeerClient",
        survey: "ReplicaSurvey",
    ) -> None:
        self._node = node
        self._engine = engine
        self._primary = primary
        self._peers = peers
        self._survey = survey
        self._accepted_ids: dict[str, set[str]] = {}  # by owner

    async def attempt(self, owner: str, token: int) -> TakeoverResult:
        """Take over an owner's work, if all its committed records are among the replicas that answer.

        Args:
            owner: The lost node.
            token: The fencing token of the owner's work lease, which this node holds.

        Raises:
            JournalFullError: The work does not fit into this node's journal; part of it may be taken over.
            JournalFormatError: The owner's journal is of a form that this version does not know.
            OSError: A file cannot be written.
        """
        replica_snapshots = await self._survey.fetch(owner, token)
        newest = snapshots.newest_of(replica_snapshots.values())
        if newest is None or not self._survey.is_complete(owner, replica_snapshots):
            return TakeoverResult.DEFERRED
        if snapshots.is_taken_over(replica_snapshots):
            return TakeoverResult.ALREADY_DONE
        ids_elsewhere, complete = await self._survey.ids_in_candidates_journals(
            replica_snapshots, exclude=self._node.id
        )
        if not complete:
            return TakeoverResult.DEFERRED
        messages = replay(newest.data).open_messages
        # The lease may have ended while the others were asked. The owner or another node may hold it by now.
        if self._node.ownership.token(owner) != token or self._primary.blocked_reason():
            return TakeoverResult.DEFERRED
        self._accept(owner, token, messages, ids_elsewhere)
        return await self._complete(owner, token)

    def _accept(self, owner: str, token: int, messages: "list[Message]", ids_elsewhere: set[str]) -> None:
        """Have the engine take over the messages that no other node has taken over before."""
        accepted = [message for message in messages if message.id not in ids_elsewhere]
        count = self._engine.take_over(accepted)
        self._accepted_ids[owner] = {message.id for message in accepted}
        self._node.events("copies_taken_over", owner=owner, token=token, count=count, held=len(messages))

    async def _complete(self, owner: str, token: int) -> TakeoverResult:
        """Announce the takeover to all nodes, once the work is on this node's own replicas."""
        while not await self._primary.wait_replicated():
            if self._node.ownership.token(owner) != token:
                return TakeoverResult.DEFERRED
        await self._peers.call_all(CompleteTakeover(owner, token))
        return TakeoverResult.TAKEN_OVER

    async def stand_down(self, owner: str) -> None:
        """Release the lease of an owner's work, once all messages taken over from it have ended."""
        self._survey.forget(owner)
        # If the lease were released earlier, the owner would send its next message of an ordering key before
        # this node has sent its last one.
        still_open = self._accepted_ids.get(owner, set()) & self._engine.messages_by_id.keys()
        if owner != self._node.id and not still_open:
            self._accepted_ids.pop(owner, None)
            await self._node.ownership.release(owner)
