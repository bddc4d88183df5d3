"""Which node may act on whose work: one lease for each node's work, with fencing tokens."""

from typing import TYPE_CHECKING

from pinspread.leases.service import WORK_TASK_PREFIX
from pinspread.leases.state_machine import FIRST_TOKEN

if TYPE_CHECKING:
    from pinspread.leases.service import LeaseService


class WorkLeases:
    """The work leases that this node holds or contends for.

    Attributes:
        confirmed_fencing_token: The token of this node's own work lease under which it last learned which
            part of its work others have taken over; 0 before the first time. The node may act on its work
            only while its current token is this one.
    """

    def __init__(self, leases: "LeaseService", node_id: str) -> None:
        self._leases = leases
        self._node_id = node_id
        self.confirmed_fencing_token = 0

    def token(self, owner: str) -> int:
        """Return the fencing token under which this node may now act on the owner's work, 0 if it may not."""
        return self._leases.fencing_token(WORK_TASK_PREFIX + owner)

    def local_token(self) -> int:
        """Return the fencing token of this node's own work, 0 without the lease."""
        return self.token(self._node_id)

    def confirmed_local_token(self) -> int:
        """Return the fencing token of this node's own work if it is confirmed, else 0."""
        token = self.local_token()
        return token if token == self.confirmed_fencing_token else 0

    def blocked_reason(self) -> str:
        """Return why this node may not act on its own work now; empty if it may."""
        token = self.local_token()
        if not token:
            return "the lease of its own work is lost"
        if token != self.confirmed_fencing_token:
            return "whether its work was taken over is not known yet"
        return ""

    def request(self, owner: str) -> None:
        """Contend for the lease of the owner's work until `release` is called."""
        self._leases.contend(WORK_TASK_PREFIX + owner)

    async def release(self, owner: str) -> None:
        """Stop contending for the lease of the owner's work; if this node holds it, give it back."""
        await self._leases.withdraw(WORK_TASK_PREFIX + owner)

    async def flush(self) -> None:
        """Give the voters time to agree on released leases, before the process ends."""
        await self._leases.flush_proposals()


def is_first_token(token: int) -> bool:
    """Return whether the token is that of the lease's first grant: no work was done under it before."""
    return token == FIRST_TOKEN
