"""Log events of replication, each with the node's id and the machine's monotonic time in microseconds."""

from pinspread.core.log import log
from pinspread.replication import clock


class EventLogger:
    """Writes the log events of one node."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id

    def __call__(self, event: str, **fields: object) -> None:
        """Write one event with its fields, in the order given."""
        log(event, id=self._node_id, **fields, mono_us=clock.monotonic_us())
