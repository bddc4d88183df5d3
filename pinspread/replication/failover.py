"""Watches the owners of the replicas stored here: which are lost, and when this node may take over."""

from typing import TYPE_CHECKING

import anyio

from pinspread.replication import clock, fleet, placement
from pinspread.replication.journal_bytes import STORAGE_ERRORS
from pinspread.replication.takeover import TakeoverResult

if TYPE_CHECKING:
    from pinspread.core.engine import DeliveryEngine
    from pinspread.membership.members import MemberState
    from pinspread.replication.node import ReplicationNode
    from pinspread.replication.retention import ReplicaRetention
    from pinspread.replication.store import ReplicaStores
    from pinspread.replication.takeover import Takeover

WATCH_INTERVAL_S = 0.2


class Failover:
    """Takes over the work of lost owners, one after the other, and removes replicas that are not needed."""

    def __init__(
        self,
        node: "ReplicationNode",
        engine: "DeliveryEngine",
        stores: "ReplicaStores",
        takeover: "Takeover",
        retention: "ReplicaRetention",
    ) -> None:
        self._node = node
        self._engine = engine
        self._stores = stores
        self._takeover = takeover
        self._retention = retention
        self._absent_since_us: dict[str, int] = {}  # by owner that is not up
        self._due_since_us: dict[str, int] = {}  # by owner whose work must be taken over

    async def run(self) -> None:
        """Check all owners at intervals until cancelled."""
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            if not self._engine.serving or self._engine.stopping:
                continue
            for owner in self._stores.owners():
                await self._check_owner_or_log(owner)

    async def _check_owner_or_log(self, owner: str) -> None:
        """Check an owner; where a file cannot be written or read now, the next check tries again."""
        try:
            await self.check_owner(owner)
        except STORAGE_ERRORS as error:
            self._node.events("copies_check_failed", owner=owner, error=str(error))

    async def check_owner(self, owner: str) -> None:
        """Take over an owner's work, release its lease or remove its replica, depending on its state."""
        state = self._node.fleet.state(owner)
        if fleet.is_up(state):
            self._absent_since_us.pop(owner, None)
        if fleet.is_alive(state) and owner != self._node.id:
            await self._retention.remove_if_unneeded(owner)
        if not self._is_due(owner, state):
            self._due_since_us.pop(owner, None)
            await self._takeover.stand_down(owner)
        elif self._is_our_turn(owner):
            await self._try_to_take_over(owner)

    def _is_due(self, owner: str, state: "MemberState | None") -> bool:
        """Return whether an owner is lost, and its work is stored here and was not taken over yet."""
        now_us = clock.monotonic_us()
        absent_us = now_us - self._absent_since_us.setdefault(owner, now_us)
        if owner == self._node.id:
            return False
        if not fleet.is_lost(state, absent_us, self._node.config.absence_timeout_us):
            return False
        replica = self._stores[owner].replica
        return replica.generation != 0 and not replica.takeover_token

    def _is_our_turn(self, owner: str) -> bool:
        """Return whether the candidates ranked before this node have had their time to take over."""
        since_us = self._due_since_us.setdefault(owner, clock.monotonic_us())
        candidates = placement.ranked_candidates(owner, [*self._node.fleet.live_ids(), self._node.id])
        turn_us = self._node.config.takeover_stagger_us * candidates.index(self._node.id)
        return clock.monotonic_us() - since_us >= turn_us

    async def _try_to_take_over(self, owner: str) -> None:
        self._node.ownership.request(owner)
        token = self._node.ownership.token(owner)
        if not token:
            return
        try:
            result = await self._takeover.attempt(owner, token)
            if result is TakeoverResult.ALREADY_DONE:
                self._mark_taken_over(owner, token)
        except STORAGE_ERRORS as error:
            self._node.events("copies_not_taken_over", owner=owner, error=str(error))

    def _mark_taken_over(self, owner: str, token: int) -> None:
        store = self._stores[owner]
        store.replica.takeover_token = token
        store.save()
