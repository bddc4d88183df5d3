"""Which endpoints operators have taken out of use, and how their state reads then. No I/O, no clock."""

from collections.abc import Iterable

from pinspread.policy.events import EndpointState

MAX_ID_LENGTH = 512  # characters of an id that may be blocked; the list's own are far shorter


class EndpointBlocklist:
    """The ids that are blocked; one call to unblock undoes any number of calls to block.

    Attributes:
        ids: The blocked ids, in the order in which they were blocked; the values mean nothing.
    """

    def __init__(self, ids: Iterable[str] = ()) -> None:
        self.ids: dict[str, None] = dict.fromkeys(ids)

    def block(self, endpoint_id: str) -> bool:
        """Block an id; return false if it was blocked already."""
        if endpoint_id in self.ids:
            return False
        self.ids[endpoint_id] = None
        return True

    def unblock(self, endpoint_id: str) -> bool:
        """Unblock an id; return false if it was not blocked."""
        if endpoint_id not in self.ids:
            return False
        del self.ids[endpoint_id]
        return True

    def effective_state(self, endpoint_id: str, reported: EndpointState) -> EndpointState:
        """Return the state by which the policy is to go for an endpoint that the list shows as `reported`."""
        # A list that names a blocked endpoint as ready, late or anew, would have it called while it is
        # restarted.
        blocked = reported is EndpointState.READY and endpoint_id in self.ids
        return EndpointState.DRAINING if blocked else reported
