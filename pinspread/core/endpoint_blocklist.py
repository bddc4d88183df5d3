"""The endpoints that operators have disabled, and the state that results from it. No I/O, no clock."""

from collections.abc import Iterable

from pinspread.policy.events import EndpointState

MAX_ID_LENGTH = 512  # characters of an id that can be blocked; ids in the endpoint list are far shorter


class EndpointBlocklist:
    """The ids of blocked endpoints; one call to unblock undoes any number of calls to block.

    Attributes:
        ids: The blocked ids, in the order in which they were blocked; the values are unused.
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
        """Return the state that the policy is to use for an endpoint that is listed as `reported`."""
        # A delayed or repeated list entry that shows a blocked endpoint as ready must not cause calls to it
        # while it is restarted.
        blocked = reported is EndpointState.READY and endpoint_id in self.ids
        return EndpointState.DRAINING if blocked else reported
