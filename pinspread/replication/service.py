"""The background service that assembles replication's parts, and that the engine asks before it promises."""

from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio

from pinspread.replication.config import ReplicationConfig
from pinspread.replication.events import EventLogger
from pinspread.replication.failover import Failover
from pinspread.replication.fleet import FleetView
from pinspread.replication.node import ReplicationNode
from pinspread.replication.ownership import WorkLeases
from pinspread.replication.peers import PeerClient, PeerConnector
from pinspread.replication.primary import Primary
from pinspread.replication.recovery import JournalRecovery
from pinspread.replication.replica_server import ReplicaServer
from pinspread.replication.retention import ReplicaRetention
from pinspread.replication.status import replication_status
from pinspread.replication.store import GenerationFile, ReplicaStores
from pinspread.replication.survey import ReplicaSurvey
from pinspread.replication.takeover import Takeover
from pinspread.sockets import split_address

if TYPE_CHECKING:
    from anyio.abc import Listener, SocketStream

    from pinspread.core.engine import DeliveryEngine
    from pinspread.leases.service import LeaseService
    from pinspread.membership.service import MembershipService

CLOSE_TIMEOUT_S = 0.1  # for the last records, of the 3.7 s that SIGTERM leaves


class ReplicationService:
    """Replicates this node's journal, stores others', and takes over for nodes that are lost.

    Attributes:
        name: Of the service, in paths and commands.
        node: What the parts share.
        primary: Sends this node's journal.
        stores: The replicas of others' journals.
        connector: Connects to other nodes.
        server: Answers other nodes.
        peers: Asks other nodes.
        recovery: Restores this node's journal; there from `attach` on.
        failover: Takes over for others; there from `attach` on.
    """

    name = "copies"
    recovery: JournalRecovery
    failover: Failover
    _listener: "Listener[SocketStream]"

    def __init__(
        self, config: ReplicationConfig, membership: "MembershipService", leases: "LeaseService"
    ) -> None:
        fleet = FleetView(membership)
        ownership = WorkLeases(leases, fleet.node_id)
        self.node = ReplicationNode(config, fleet, ownership, EventLogger(fleet.node_id))
        self.stores = ReplicaStores(Path(config.folder))
        self.connector = PeerConnector(config, fleet)
        self.primary = Primary(self.node, self.connector)
        self.server = ReplicaServer(self.node, self.stores, self.primary)
        self.peers = PeerClient(self.node, self.connector, self.server)

    # --- what the engine asks -----------------------------------------------------------------------

    def blocked_reason(self) -> str:
        """Return why nothing may be promised or sent just now; empty if all is well."""
        return self.primary.blocked_reason()

    async def wait_replicated(self) -> bool:
        """Wait, within bounds, until all that the journal holds is replicated; return whether it is."""
        return await self.primary.wait_replicated()

    def view(self) -> dict[str, Any]:
        """Return what operators are shown."""
        return replication_status(self.primary, self.stores)

    # --- running ------------------------------------------------------------------------------------

    def attach(self, engine: "DeliveryEngine") -> None:
        """Replicate the engine's journal from now on."""
        engine.replication = self
        engine.journal.observer = self.primary
        self.primary.generation_file = GenerationFile(engine.journal.path)
        survey = ReplicaSurvey(self.node, self.peers)
        takeover = Takeover(self.node, engine, self.primary, self.peers, survey)
        retention = ReplicaRetention(self.node, self.stores, self.peers)
        self.recovery = JournalRecovery(self.node, engine, self.primary, survey)
        self.failover = Failover(self.node, engine, self.stores, takeover, retention)

    async def open(self) -> None:
        """Listen, and read what is stored; OSError if that cannot be done."""
        self.stores.open()
        host, port = split_address(self.node.config.listen)
        self._listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        self.node.events("copies_up", listen=self.node.config.listen, keeps=len(self.stores))

    async def before_recovery(self) -> None:
        """Return once the engine may read its journal: its lease is held, and the file is the newest."""
        await self.recovery.recover()

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with self._listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self._listener.serve, self.server.serve, tasks)
            tasks.start_soon(self.failover.run)
            tasks.start_soon(self.recovery.run)
            await self.primary.run(tasks)

    async def announce_departure(self) -> None:
        """Do nothing at SIGTERM: attempts in flight still end, and their outcomes are replicated."""

    async def close(self) -> None:
        """Have the last records replicated, then release the lease of this node's own work."""
        if self.node.ownership.local_token():
            with anyio.move_on_after(CLOSE_TIMEOUT_S):
                await self.wait_replicated()
            await self.node.ownership.release(self.node.id)
            await self.node.ownership.flush()
