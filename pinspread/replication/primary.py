"""The primary: sends this node's journal to its replicas and waits for their acknowledgements.

It observes the journal, and tells the engine whether it may accept and send messages, and when the journal is
replicated.
"""

from contextlib import suppress
from typing import TYPE_CHECKING

import anyio

from pinspread.replication import clock, placement
from pinspread.replication.log import ReplicationLog
from pinspread.replication.protocol import DatagramError
from pinspread.replication.transfer import JournalTransfer

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from pinspread.replication.node import ReplicationNode
    from pinspread.replication.peers import PeerConnector, PeerSession
    from pinspread.replication.store import GenerationFile

RECONNECT_S = 0.2
CHOOSE_INTERVAL_S = 0.2  # how often the replicas are chosen from the live nodes
MAX_IDLE_S = 1.0  # longest time between two checks of the lease while there is nothing to send
WARNING_INTERVAL_US = 1_000_000  # all tasks that wait at the same time would log the same warning


class Primary:
    """This node's journal, and what its replicas have of it.

    Attributes:
        node: This node.
        log: The journal's bytes and what each replica has acknowledged.
        replicas: The nodes that are chosen to store the journal.
        announced: For each replica, the replica set that was last announced to it.
        connected: The replicas that are connected and have been up to date once on this connection.
        sent_bytes: Bytes of the journal sent to all replicas together since the start.
        generation_file: Where the journal's generation is stored; set before the journal is written.
    """

    generation_file: "GenerationFile"

    def __init__(self, node: "ReplicationNode", connector: "PeerConnector") -> None:
        self.node = node
        self.log = ReplicationLog(node.config.required_acks)
        self.replicas: list[str] = []
        self.announced: dict[str, list[str]] = {}
        self.connected: set[str] = set()
        self.sent_bytes = 0
        self._connector = connector
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._acknowledged = anyio.Event()
        self._grown = anyio.Event()
        self._last_unreplicated_us = 0
        self._last_overdue_us = 0

    # --- called by the journal ----------------------------------------------------------------------

    def appended(self, record: bytes) -> None:
        """Replicate one or several records that the journal has appended."""
        self.log.append(record, clock.monotonic_us())
        self._notify_grown()

    def rewritten(self, data: bytes) -> None:
        """Replicate the journal's new content after a rewrite, as a new generation.

        Raises:
            OSError: The generation cannot be stored; the replicas stay with the one before.
        """
        generation = self.log.next_generation(clock.unix_us())
        self.generation_file.write(generation)
        self.log.rewrite(data, generation, clock.monotonic_us())
        self._notify_grown()

    # --- called by the engine -----------------------------------------------------------------------

    def blocked_reason(self) -> str:
        """Return why no message may be accepted or sent now; empty if both are allowed."""
        return self.node.ownership.blocked_reason() or self._too_few_replicas()

    def _too_few_replicas(self) -> str:
        connected = sum(replica in self.connected for replica in self.replicas)
        if connected < self.node.config.required_acks and not self.node.config.allow_unreplicated:
            return f"{connected} copies, {self.node.config.required_acks} are needed"
        return ""

    async def wait_replicated(self) -> bool:
        """Wait until enough replicas have acknowledged all that the journal holds at the call.

        Returns:
            True if they did within `ack_timeout_us`, or if `allow_unreplicated` is set.
        """
        end = self.log.end()
        with anyio.move_on_after(self.node.config.ack_timeout_us / 1e6):
            while not self.log.is_replicated(self.informed_replicas(), end):
                await self._acknowledged.wait()
            return True
        if self.node.config.allow_unreplicated:
            self._warn_unreplicated()
            return True
        self._warn_overdue()
        return False

    def _warn_unreplicated(self) -> None:
        if clock.monotonic_us() - self._last_unreplicated_us > WARNING_INTERVAL_US:
            self._last_unreplicated_us = clock.monotonic_us()
            self.node.events("copies_alone", warning="acknowledged on one disk: too few copies")

    def _warn_overdue(self) -> None:
        if clock.monotonic_us() - self._last_overdue_us > WARNING_INTERVAL_US:
            self._last_overdue_us = clock.monotonic_us()
            lags = {replica: self.log.lag(replica, self._last_overdue_us) for replica in self.replicas}
            self.node.events("copies_late", behind=lags)

    def informed_replicas(self) -> list[str]:
        """Return the replicas that the current replica set was announced to; only their answers count.

        A successor learns from the replicas which others to ask. From one that has an older replica set, it
        would conclude too soon that it has all committed records.
        """
        return [replica for replica in self.replicas if self.announced.get(replica) == self.replicas]

    def may_be_removed(self, replica: str) -> bool:
        """Return whether a node that was chosen earlier may remove its replica of this node's journal."""
        return not self.blocked_reason() and self.log.may_be_removed(replica, self.replicas)

    # --- sending to the replicas --------------------------------------------------------------------

    async def run(self, tasks: "TaskGroup") -> None:
        """Choose the replicas from the live nodes until cancelled, and send to each in its own task."""
        while True:
            self._choose_replicas(tasks)
            await anyio.sleep(CHOOSE_INTERVAL_S)

    def _choose_replicas(self, tasks: "TaskGroup") -> None:
        chosen = placement.replicas_of(
            self.node.id, self.node.fleet.live_ids(), self.node.config.replica_count
        )
        if chosen == self.replicas:
            return
        self.replicas = chosen
        self._notify_grown()  # wakes the tasks of replicas that stay, to announce the new set to them
        self.node.events("copies_at", keepers=chosen)
        for replica in [replica for replica in self._scopes if replica not in chosen]:
            self._drop_replica(replica)
        for replica in chosen:
            if replica not in self._scopes:
                self._scopes[replica] = anyio.CancelScope()
                tasks.start_soon(self._replicate_to, replica, self._scopes[replica])

    def _drop_replica(self, replica: str) -> None:
        self._scopes.pop(replica).cancel()
        self._disconnected(replica)
        self.log.acknowledged.pop(replica, None)

    def _disconnected(self, replica: str) -> None:
        self.connected.discard(replica)
        self.announced.pop(replica, None)

    async def _replicate_to(self, replica: str, scope: anyio.CancelScope) -> None:
        """Keep one replica up to date until the scope is cancelled."""
        with scope:
            while True:
                try:
                    await self._connect_and_send(replica)
                except DatagramError as error:
                    self.node.events("copies_refused", by=replica, why=str(error))
                self._disconnected(replica)
                await anyio.sleep(RECONNECT_S)

    async def _connect_and_send(self, replica: str) -> None:
        token = self.node.ownership.confirmed_local_token()
        # A replica forgets takeovers when it gets a new generation. So nothing is sent before the token is
        # confirmed, that is, before this node knows what others have taken over.
        if not token or not self.log.generation:
            return
        with suppress(OSError):
            async with self._connector.connect(replica) as session:
                await self.send_journal(replica, session, token)

    async def send_journal(self, replica: str, session: "PeerSession", token: int) -> None:
        """Send the journal on one connection, as long as this node holds its work lease under this token."""
        transfer = JournalTransfer(self, replica, session, token)
        while True:
            if transfer.must_announce():
                await transfer.announce()
            transfer.follow_rewrite()
            if transfer.has_data_to_send():
                await transfer.send_chunk()
                continue
            self.connected.add(replica)
            with anyio.move_on_after(min(MAX_IDLE_S, self.node.config.check_interval_us / 1e6)):
                await self._grown.wait()
            if self.node.ownership.local_token() != token:
                return

    def notify_acknowledged(self) -> None:
        """Wake the tasks that wait for acknowledgements."""
        self._acknowledged.set()
        self._acknowledged = anyio.Event()

    def _notify_grown(self) -> None:
        self._grown.set()
        self._grown = anyio.Event()
