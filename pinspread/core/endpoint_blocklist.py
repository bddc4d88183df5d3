"""Endpoints that operators have taken out: which, and how the list reads under it. No I/O, no clock."""

from pinspread.policy.events import EndpointState

MOST_ID = 512  # characters of an id that may be taken out; the list's own are far shorter


class EndpointBlocklist:
    """The ids that are out; one call back undoes any number of calls out."""

    def __init__(self, ids=()):
        self.ids = dict.fromkeys(ids)

    def out(self, id_: str) -> bool:
        """Take one out; false if it was out already."""
        if id_ in self.ids:
            return False
        self.ids[id_] = None
        return True

    def back(self, id_: str) -> bool:
        """Have one back; false if it was not out."""
        if id_ not in self.ids:
            return False
        del self.ids[id_]
        return True

    def seen(self, id_: str, listed: EndpointState) -> EndpointState:
        """What the module is to hear of an endpoint that the list shows so."""
        # Danger: a list that names it as ready, late or anew, would have it called while it is restarted.
        return EndpointState.DRAINING if listed is EndpointState.READY and id_ in self.ids else listed
