"""Replication's files: a folder for each owner's replica, and the generation of the node's own journal.

An owner's folder holds `meta` (JSON, what is known beside the data), `journal.N` (the data of generation N)
and `coming` (a generation that is not complete yet). The stored keys of `meta` are named only here.
"""

import os
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import anyio
import orjson

from pinspread.core.log import log
from pinspread.replication.replica import Replica, WriteTarget


class StoredField(NamedTuple):
    """A field of `Replica` that the `meta` file holds, and its type there; lists are of node ids."""

    name: str
    type: type


# The keys of the `meta` file, in the order that they are written.
STORED_FIELDS = {
    "owner": StoredField("owner", str),
    "token": StoredField("fencing_token", int),
    "keepers": StoredField("replicas", list),
    "tried": StoredField("takeover_candidates", list),
    "adopted": StoredField("takeover_token", int),
}
META_FILE = "meta"
INCOMING_FILE = "coming"
GENERATION_FILE = "copies.generation"


class ReplicaStore:
    """One owner's replica on disk. Methods raise OSError if the disk does not take what they write.

    Attributes:
        replica: Decides; the store writes.
        lock: Held by whoever decides by `replica` and writes.
    """

    def __init__(self, folder: Path, owner: str) -> None:
        self.folder = folder / owner
        self.folder.mkdir(parents=True, exist_ok=True)
        self.replica = Replica(owner)
        self.lock = anyio.Lock()
        self._read_meta()
        self._find_newest_generation()

    def _read_meta(self) -> None:
        try:
            stored = orjson.loads((self.folder / META_FILE).read_bytes())
        except FileNotFoundError:
            return
        except orjson.JSONDecodeError as error:
            self._log_damaged_meta(str(error))
            return
        if not isinstance(stored, dict):
            self._log_damaged_meta("not a JSON object")
            return
        known = {key: field for key, field in STORED_FIELDS.items() if key in stored}
        damaged = [key for key, field in known.items() if not _is_stored_value(stored[key], field.type)]
        if damaged:
            self._log_damaged_meta(f"fields {damaged}")
        for key in known.keys() - damaged:  # a fencing token that can be read still holds
            setattr(self.replica, STORED_FIELDS[key].name, stored[key])

    def _log_damaged_meta(self, error: str) -> None:
        log("copies_meta_damaged", owner=self.replica.owner, error=error)

    def _find_newest_generation(self) -> None:
        for path in self.folder.glob("journal.*"):
            suffix = path.suffix[1:]
            if suffix.isdigit() and int(suffix) > self.replica.generation:
                self.replica.generation = int(suffix)
                self.replica.size = path.stat().st_size

    def save(self) -> None:
        """Write what is known beside the data; called before an answer speaks of it."""
        new_path = self.folder / f"{META_FILE}.new"
        stored = {key: getattr(self.replica, field.name) for key, field in STORED_FIELDS.items()}
        new_path.write_bytes(orjson.dumps(stored))
        os.replace(new_path, self.folder / META_FILE)

    def data(self) -> bytes:
        """Return the newest complete generation."""
        path = self._journal_path(self.replica.generation)
        return path.read_bytes() if path.exists() else b""

    def clear(self) -> None:
        """Remove the data; what is known of tokens stays."""
        for path in [*self.folder.glob("journal.*"), *self.folder.glob(INCOMING_FILE)]:
            path.unlink()
        self.replica.clear()
        self.save()

    def write(self, target: WriteTarget, offset: int, data: bytes, sync: bool = False) -> None:
        """Write data at an offset of a file, and cut what is behind it.

        Args:
            target: The file, as `Replica.place` decided.
            offset: In bytes.
            data: What to write.
            sync: Return only once it is on the disk.
        """
        incoming = target is WriteTarget.INCOMING
        path = self.folder / INCOMING_FILE if incoming else self._journal_path(self.replica.generation)
        _write_at(path, offset, data, sync)
        previous = self.replica.generation
        if incoming and self.replica.promote_incoming():
            os.replace(path, self._journal_path(self.replica.generation))
            self.save()
            if sync:
                _sync_folder(self.folder)
            self._journal_path(previous).unlink(missing_ok=True)

    def _journal_path(self, generation: int) -> Path:
        return self.folder / f"journal.{generation}"


class ReplicaStores:
    """The stores of all owners that this node has, or had, a replica of."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._stores: dict[str, ReplicaStore] = {}

    def open(self) -> None:
        """Read what the folder holds; OSError if that cannot be done."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.iterdir():
            if path.is_dir():
                self._stores[path.name] = ReplicaStore(self.folder, path.name)

    def get_or_create(self, owner: str) -> ReplicaStore:
        """Return an owner's store, made if there is none; OSError if its folder cannot be had."""
        if owner not in self._stores:
            self._stores[owner] = ReplicaStore(self.folder, owner)
        return self._stores[owner]

    def owners(self) -> list[str]:
        """Return the owners, in the order that they came."""
        return list(self._stores)

    def __getitem__(self, owner: str) -> ReplicaStore:
        """Return an owner's store; KeyError if there is none."""
        return self._stores[owner]

    def __contains__(self, owner: str) -> bool:
        """Return whether there is a store of the owner."""
        return owner in self._stores

    def __iter__(self) -> Iterator[str]:
        """Iterate over the owners."""
        return iter(self._stores)

    def __len__(self) -> int:
        """Return how many owners there are."""
        return len(self._stores)


class GenerationFile:
    """The file beside the node's own journal that says which generation the journal is."""

    def __init__(self, journal_path: Path) -> None:
        self.path = journal_path.parent / GENERATION_FILE

    def read(self) -> int:
        """Return the generation, 0 if the file does not say."""
        if not self.path.exists():
            return 0
        text = self.path.read_text()
        return int(text) if text.isdigit() else 0

    def write(self, generation: int) -> None:
        """Store the generation; OSError if the disk does not take it."""
        self.path.write_text(str(generation))


def _is_stored_value(value: object, type_: type) -> bool:
    """Return whether a value is of its type: numbers are not below 0, lists hold node ids."""
    if isinstance(value, list):
        return type_ is list and all(isinstance(item, str) for item in value)
    if type_ is int:
        return isinstance(value, int) and not isinstance(value, bool) and value >= 0
    return isinstance(value, type_)


def _write_at(path: Path, offset: int, data: bytes, sync: bool) -> None:
    fd = os.open(path, os.O_CREAT | os.O_WRONLY, 0o600)
    try:
        os.ftruncate(fd, offset)
        while data:
            written = os.pwrite(fd, data, offset)
            data = data[written:]
            offset += written
        if sync:
            os.fdatasync(fd)
    finally:
        os.close(fd)


def _sync_folder(folder: Path) -> None:
    """Have the names of its files on the disk."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
