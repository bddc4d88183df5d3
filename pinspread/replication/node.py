"""What all parts of one node's replication share."""

from dataclasses import dataclass

from pinspread.replication.config import ReplicationConfig
from pinspread.replication.events import EventLogger
from pinspread.replication.fleet import FleetView
from pinspread.replication.ownership import WorkLeases


@dataclass
class ReplicationNode:
    """This node, to its own parts.

    Attributes:
        config: Its settings.
        fleet: The other nodes, as it sees them.
        ownership: The leases of nodes' work, as it holds them.
        events: Its log events.
    """

    config: ReplicationConfig
    fleet: FleetView
    ownership: WorkLeases
    events: EventLogger

    @property
    def id(self) -> str:
        """The node's id in the fleet."""
        return self.fleet.node_id
