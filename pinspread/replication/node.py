"""What all parts of one node's replication share."""

from dataclasses import dataclass

from pinspread.replication.config import ReplicationConfig
from pinspread.replication.events import EventLogger
from pinspread.replication.fleet import FleetView
from pinspread.replication.ownership import WorkLeases


@dataclass
class ReplicationNode:
    """This node, as the parts of its replication use it.

    Attributes:
        config: The node's settings.
        fleet: The fleet, as the node sees it.
        ownership: The work leases that the node holds or contends for.
        events: Writes the node's log events.
    """

    config: ReplicationConfig
    fleet: FleetView
    ownership: WorkLeases
    events: EventLogger

    @property
    def id(self) -> str:
        """The node's id in the fleet."""
        return self.fleet.node_id
