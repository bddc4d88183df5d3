"""Endpoints that were reported as draining or removed, stored across restarts in the file `list.left`."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from pinspread.core.log import log
from pinspread.discovery.endpoint_list import HEALTH_WORDS, STATES
from pinspread.policy.events import EndpointState

FILE_NAME = "list.left"  # in the state folder
DISK_FRACTION = 0.002  # of the state folder's maximum size, for each of the file and its replacement


class DepartedEndpoints:
    """The last reported state of each endpoint that is not ready, in discovery's terms.

    Args:
        folder: The state folder.
        disk_bytes: Maximum size of the state folder in bytes.

    Attributes:
        health: Endpoint id -> `draining` or `gone`, the most recently reported last.
    """

    def __init__(self, folder: str | Path, disk_bytes: int) -> None:
        self.path = Path(folder) / FILE_NAME
        self.max_bytes = int(disk_bytes * DISK_FRACTION)
        self.health: dict[str, str] = {}
        self.load()

    def load(self) -> None:
        """Read the file, which another process may have written in the meantime."""
        try:
            saved = orjson.loads(self.path.read_bytes())
            self.health = {id_: health for id_, health in saved.items() if health in STATES}
        except (OSError, ValueError, AttributeError, TypeError):
            self.health = {}  # there is no file, or it is damaged: the next full list has the states

    def apply_to(self, cached: Mapping[str, Any]) -> dict[str, Any]:
        """Return a cached list with the states that were reported since."""
        return {**cached, "hosts": [self._current(entry) for entry in cached["hosts"]]}

    def _current(self, entry: object) -> object:
        if not isinstance(entry, dict):
            return entry
        id_ = entry.get("host")
        if not isinstance(id_, str) or id_ not in self.health:
            return entry
        return entry | {"health": self.health[id_]}

    def record(self, states: Mapping[str, EndpointState]) -> None:
        """Record the states that an update reports, by endpoint id; a failure to write the file is logged."""
        before = dict(self.health)
        for id_, state in states.items():
            self.health.pop(id_, None)
            if state is not EndpointState.READY:
                self.health[id_] = HEALTH_WORDS[state]
        if self.health == before:
            return
        while len(data := orjson.dumps(self.health)) > self.max_bytes:
            # The oldest, which was removed from other instances' lists long ago as well.
            del self.health[next(iter(self.health))]
        try:
            replacement = self.path.with_suffix(".new")
            replacement.write_bytes(data)
            replacement.rename(self.path)
        except OSError as error:
            log("endpoint_list_not_saved", error=str(error))
