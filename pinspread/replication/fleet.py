"""What replication reads from membership: the nodes, their states and their addresses."""

from typing import TYPE_CHECKING

from pinspread.membership.members import MemberState

if TYPE_CHECKING:
    from pinspread.membership.service import MembershipService


class FleetView:
    """The fleet as this node's membership sees it."""

    def __init__(self, membership: "MembershipService") -> None:
        self._membership = membership
        self.node_id: str = membership.config.id
        self.key: bytes = membership.config.fleet_key

    def live_ids(self) -> list[str]:
        """Return the ids of the other nodes that are alive, including suspects."""
        return [node.id for node in self._membership.member.others(MemberState.ALIVE, MemberState.SUSPECT)]

    def knows(self, node_id: str) -> bool:
        """Return whether membership has a record of the node, in any state."""
        return node_id in self._membership.member.table

    def state(self, node_id: str) -> MemberState | None:
        """Return the node's state, None if it is unknown."""
        node = self._membership.member.table.get(node_id)
        return node.state if node else None

    def address(self, node_id: str) -> str | None:
        """Return the `HOST:PORT` that the node advertises, None if it is unknown."""
        node = self._membership.member.table.get(node_id)
        return node.address if node else None


def is_up(state: MemberState | None) -> bool:
    """Return whether a node in this state is assumed to run."""
    return state in (MemberState.ALIVE, MemberState.SUSPECT)


def is_alive(state: MemberState | None) -> bool:
    """Return whether a node in this state runs and is not a suspect."""
    return state == MemberState.ALIVE


def is_lost(state: MemberState | None, absent_us: int, absence_timeout_us: int) -> bool:
    """Return whether another node must take over a node's work.

    A node learns of no death that happened before its own start, so an unknown node also counts as lost after
    `absence_timeout_us`. Otherwise the work of a lost node would never be taken over from replicas that were
    restarted after its death.
    """
    if state == MemberState.DEAD:
        return True
    return state in (None, MemberState.LEFT) and absent_us >= absence_timeout_us
