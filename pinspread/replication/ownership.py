"""Who may act for whose work: one lease for each node's work, with fencing tokens."""

from typing import TYPE_CHECKING

from pinspread.leases.service import WORK_TASK_PREFIX
from pinspread.leases.state_machine import FIRST_TOKEN

if TYPE_CHECKING:
    from pinspread.leases.service import LeaseService


class WorkLeases:
    """The leases of nodes' work, as this node holds them.

    Attributes:
        confirmed_fencing_token: The token of this node's work lease under which it knows what of its work
            others have taken over; 0 before the first.
    """

    def __init__(self, leases: "LeaseService", node_id: str) -> None:
        self._leases = leases
        self._node_id = node_id
        self.confirmed_fencing_token = 0

    def token(self, owner: str) -> int:
        """Return the fencing token under which this node may act for the owner's work now, else 0."""
        return self._leases.fencing_token(WORK_TASK_PREFIX + owner)

    def local_token(self) -> int:
        """Return the fencing token of this node's own work, 0 without the lease."""
        return self.token(self._node_id)

    def confirmed_local_token(self) -> int:
        """Return the fencing token of this node's own work if it is confirmed, else 0."""
        token = self.local_token()
        return token if token == self.confirmed_fencing_token else 0

    def blocked_reason(self) -> str:
        """Return why this node may not act for its own work now; empty if it may."""
        token = self.local_token()
        if not token:
            return "the lease of its own work is lost"
        if token != self.confirmed_fencing_token:
            return "whether its work was taken over is not known yet"
        return ""

    def request(self, owner: str) -> None:
        """Contend for the lease of the owner's work until it is released."""
        self._leases.contend(WORK_TASK_PREFIX + owner)

    async def release(self, owner: str) -> None:
        """Contend no longer; a lease that is held is given back."""
        await self._leases.withdraw(WORK_TASK_PREFIX + owner)

    async def flush(self) -> None:
        """Let what was given back be agreed on before the process ends."""
        await self._leases.flush_proposals()


def is_first_token(token: int) -> bool:
    """Return whether the lease is granted for the first time: nothing was promised under it before."""
    return token == FIRST_TOKEN
