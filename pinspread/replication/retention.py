"""Removes replicas that their owners do not need any more, with the owners' consent."""

from typing import TYPE_CHECKING

from pinspread.replication import clock, placement
from pinspread.replication.protocol import Consent, RequestRemoval

if TYPE_CHECKING:
    from pinspread.replication.node import ReplicationNode
    from pinspread.replication.peers import PeerClient
    from pinspread.replication.store import ReplicaStores


class ReplicaRetention:
    """Asks live owners that have chosen other nodes whether the replicas here may be removed."""

    def __init__(self, node: "ReplicationNode", stores: "ReplicaStores", peers: "PeerClient") -> None:
        self._node = node
        self._stores = stores
        self._peers = peers
        self._next_request_us: dict[str, int] = {}  # by owner

    async def remove_if_unneeded(self, owner: str) -> None:
        """Remove a live owner's replica if the owner consents; it is asked every `check_interval_us`."""
        if not self._is_surplus(owner):
            self._next_request_us.pop(owner, None)
            return
        interval_us = self._node.config.check_interval_us
        due_us = self._next_request_us.setdefault(owner, clock.monotonic_us() + interval_us)
        if clock.monotonic_us() < due_us:
            return
        self._next_request_us[owner] = clock.monotonic_us() + interval_us
        answer = await self._peers.call(owner, RequestRemoval(owner))
        if isinstance(answer, Consent):
            store = self._stores[owner]
            async with store.lock:
                store.clear()
            self._node.events("copies_let_go", owner=owner)

    def _is_surplus(self, owner: str) -> bool:
        """Return whether a replica is stored here although the owner would choose other nodes."""
        node_ids = [*self._node.fleet.live_ids(), self._node.id]
        chosen = placement.replicas_of(owner, node_ids, self._node.config.replica_count)
        return self._node.id not in chosen and self._stores[owner].replica.generation != 0
