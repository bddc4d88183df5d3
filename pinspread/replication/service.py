"""The background service that assembles the parts of replication, and its interface to the engine."""

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

CLOSE_TIMEOUT_S = 0.1  # to replicate the last records, within the 3.7 s that a stop by SIGTERM may take


class ReplicationService:
    """Replicates this node's journal, stores replicas of others', and takes over the work of lost nodes.

    Attributes:
        name: The service's name in paths and commands.
        node: What the parts share.
        primary: Sends this node's journal.
        stores: The replicas of other nodes' journals.
        connector: Connects to other nodes.
        server: Answers requests of other nodes.
        peers: Sends requests to other nodes.
        recovery: Restores this node's journal; set by `attach`.
        failover: Takes over the work of lost nodes; set by `attach`.
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

    # --- called by the engine -----------------------------------------------------------------------

    def blocked_reason(self) -> str:
        """Return why no message may be accepted or sent now; empty if both are allowed."""
        return self.primary.blocked_reason()

    async def wait_replicated(self) -> bool:
        """Wait until all that the journal holds is replicated; see `Primary.wait_replicated`."""
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
        """Start to listen, and read the stored replicas.

        Raises:
            OSError: The address cannot be bound, or the folder cannot be read or made.
        """
        self.stores.open()
        host, port = split_address(self.node.config.listen)
        self._listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        self.node.events("copies_up", listen=self.node.config.listen, keeps=len(self.stores))

    async def before_recovery(self) -> None:
        """Return once the engine may read its journal: its lease is held, and the file is up to date."""
        await self.recovery.recover()

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with self._listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self._listener.serve, self.server.serve, tasks)
            tasks.start_soon(self.failover.run)
            tasks.start_soon(self.recovery.run)
            await self.primary.run(tasks)

    async def announce_departure(self) -> None:
        """Do nothing at SIGTERM: attempts in flight may still end, and their outcomes must be replicated."""

    async def close(self) -> None:
        """Wait for the last records to be replicated, then release the lease of this node's own work."""
        if self.node.ownership.local_token():
            with anyio.move_on_after(CLOSE_TIMEOUT_S):
                await self.wait_replicated()
            await self.node.ownership.release(self.node.id)
            await self.node.ownership.flush()
