"""The endpoints that discovery last listed as ready, stored across restarts in the file `list.ready`.

The file has a short fingerprint of each, so that it stays small for thousands of endpoints.
"""

from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path

from pinspread.core.log import log
from pinspread.core.messages import Endpoint
from pinspread.discovery.endpoint_list import EndpointUpdate, ListedEndpoint
from pinspread.policy.events import EndpointState

FILE_NAME = "list.ready"  # in the state folder
MAGIC = b"PSR1"  # at the start of the file; the fingerprints follow
FINGERPRINT_BYTES = 6
DISK_FRACTION = 0.009  # of the state folder's maximum size, for each of the file and its replacement


def fingerprint(endpoint: Endpoint) -> bytes:
    """Return a digest of what makes an endpoint the same one: its id, address and destination."""
    identity = f"{endpoint.id}\0{endpoint.address}\0{endpoint.destination}"
    return blake2b(identity.encode("utf-8", "surrogatepass"), digest_size=FINGERPRINT_BYTES).digest()


class ReadyEndpoints:
    """Which endpoints were ready when discovery last reported any.

    The list in the configuration may be old: it may have endpoints as ready that have left since, and whose
    addresses others have taken. A start uses only those of its endpoints that the file confirms. A file that
    is full or damaged confirms too few endpoints, never one that has left.

    Args:
        folder: The state folder.
        disk_bytes: Maximum size of the state folder in bytes.

    Attributes:
        path: The path of the file.
        max_count: How many fingerprints fit into the file.
        unsaved: The file does not have the latest report yet, because writing it failed.
    """

    def __init__(self, folder: str | Path, disk_bytes: int) -> None:
        self.path = Path(folder) / FILE_NAME
        self.max_count = (int(disk_bytes * DISK_FRACTION) - len(MAGIC)) // FINGERPRINT_BYTES
        self.unsaved = False
        self._ready: dict[str, bytes] = {}  # endpoint id -> fingerprint

    def confirmed(self, cached: Iterable[ListedEndpoint]) -> list[ListedEndpoint]:
        """Return a cached list in which ready endpoints that the file does not confirm are removed.

        Without a file nothing was ever reported, and the list is returned as it is.
        """
        stored = self._read()
        if stored is None:
            return list(cached)
        return [
            (endpoint, EndpointState.REMOVED)
            if state is EndpointState.READY and fingerprint(endpoint) not in stored
            else (endpoint, state)
            for endpoint, state in cached
        ]

    def _read(self) -> frozenset[bytes] | None:
        """Return the fingerprints in the file; none of them if it is damaged, None if there is no file."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            log("endpoint_list_not_read", error=str(error))
            return frozenset()
        if not data.startswith(MAGIC):
            log("endpoint_list_not_read", error=f"expected {MAGIC!r}, found {data[: len(MAGIC)]!r}")
            return frozenset()
        starts = range(len(MAGIC), len(data), FINGERPRINT_BYTES)
        return frozenset(data[start : start + FINGERPRINT_BYTES] for start in starts)

    def start_from(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Continue from this list, without recording it: it was not reported by discovery."""
        self._ready = {}
        self._merge(endpoints)

    def record(self, update: EndpointUpdate, endpoints: Iterable[ListedEndpoint]) -> None:
        """Record the endpoints of an update that discovery has reported."""
        before = dict(self._ready)
        if update.full:
            self._ready = {}
        self._merge(endpoints)
        if self._ready != before or not self.path.exists():
            self.save()

    def _merge(self, endpoints: Iterable[ListedEndpoint]) -> None:
        for endpoint, state in endpoints:
            if state is EndpointState.READY:
                self._ready[endpoint.id] = fingerprint(endpoint)
            else:
                self._ready.pop(endpoint.id, None)

    def save(self) -> None:
        """Write the file; a failure is logged, and leaves `unsaved` set."""
        fingerprints = list(self._ready.values())[: self.max_count]
        replacement = self.path.with_suffix(".ready.new")
        self.unsaved = True
        try:
            replacement.write_bytes(MAGIC + b"".join(fingerprints))
            replacement.rename(self.path)
        except OSError as error:
            log("endpoint_list_not_saved", error=str(error))
        else:
            self.unsaved = False
