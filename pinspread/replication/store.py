"""Replication's files: a folder for each owner's replica, and the generation of the node's own journal.

An owner's folder holds `meta` (JSON: the state of the replica beside its data), `journal.N` (the data of
generation N) and `coming` (a generation that is not complete yet). The stored keys of `meta` are defined only
in this module.
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
    """A field of `Replica` that is stored in the `meta` file, and its type there; lists hold node ids."""

    name: str
    type: type


# The keys of the `meta` file, in the order in which they are written.
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
    """One owner's replica on disk. Methods raise OSError if a file cannot be read or written.

    Attributes:
        folder: The owner's folder.
        replica: The state of the replica, which decides what is accepted; the store writes it.
        lock: Held from a decision by `replica` until its result is written.
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
            self._log_damaged_meta(f"invalid values in fields {damaged}")
        for key in known.keys() - damaged:  # readable fields, above all the fencing token, still count
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
        """Write the `meta` file; called before an answer is sent that depends on its fields."""
        stored = {key: getattr(self.replica, field.name) for key, field in STORED_FIELDS.items()}
        _replace(self.folder / META_FILE, orjson.dumps(stored))

    def data(self) -> bytes:
        """Return the newest complete generation."""
        path = self._journal_path(self.replica.generation)
        return path.read_bytes() if path.exists() else b""

    def clear(self) -> None:
        """Remove the data; the fields of the `meta` file are kept.

        The current generation goes last: where a file cannot be removed, it stays with its data.
        """
        current = self._journal_path(self.replica.generation)
        self.replica.forget_incoming()
        for path in [self.folder / INCOMING_FILE, *self.folder.glob("journal.*")]:
            if path != current:
                path.unlink(missing_ok=True)
        current.unlink(missing_ok=True)
        self.replica.clear()
        self.save()

    def write(self, target: WriteTarget, offset: int, data: bytes, sync: bool = False) -> None:
        """Write data at an offset of a file, and truncate the file after it.

        A generation that is complete by then becomes the current one.

        Args:
            target: The file, as `Replica.place` decided.
            offset: Offset of the data in the file, in bytes.
            data: The bytes to write.
            sync: Whether to return only once the data is synced to the disk.
        """
        incoming = target is WriteTarget.INCOMING
        path = self.folder / INCOMING_FILE if incoming else self._journal_path(self.replica.generation)
        _write_at(path, offset, data, sync)
        self.replica.count_written(target, len(data))
        if incoming and self.replica.incoming_is_complete:
            self._promote_incoming(sync)

    def _promote_incoming(self, sync: bool) -> None:
        """Make the incoming generation the current one, once its file has the name of a current one.

        A successor that reads a generation without its data would take the owner's work for finished.
        """
        previous = self.replica.generation
        os.replace(self.folder / INCOMING_FILE, self._journal_path(self.replica.incoming_generation))
        self.replica.promote_incoming()
        self.save()
        if sync:
            _sync_folder(self.folder)
        self._journal_path(previous).unlink(missing_ok=True)

    def _journal_path(self, generation: int) -> Path:
        return self.folder / f"journal.{generation}"


class ReplicaStores:
    """The stores of all owners whose replicas this node stores or has stored."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._stores: dict[str, ReplicaStore] = {}

    def open(self) -> None:
        """Read the stored replicas.

        Raises:
            OSError: The folder cannot be read or made.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.iterdir():
            if path.is_dir():
                self._stores[path.name] = ReplicaStore(self.folder, path.name)

    def get_or_create(self, owner: str) -> ReplicaStore:
        """Return an owner's store, and make it if there is none.

        Raises:
            OSError: The owner's folder cannot be made or read.
        """
        if owner not in self._stores:
            self._stores[owner] = ReplicaStore(self.folder, owner)
        return self._stores[owner]

    def owners(self) -> list[str]:
        """Return the owners in the order in which their stores were added."""
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
    """The file next to the node's own journal that holds the journal's generation."""

    def __init__(self, journal_path: Path) -> None:
        self.path = journal_path.parent / GENERATION_FILE

    def read(self) -> int:
        """Return the generation; 0 if the file does not exist or holds no number."""
        if not self.path.exists():
            return 0
        text = self.path.read_text()
        return int(text) if text.isdigit() else 0

    def write(self, generation: int) -> None:
        """Store the generation.

        Raises:
            OSError: The file cannot be written; it is as before.
        """
        _replace(self.path, str(generation).encode())


def _is_stored_value(value: object, type_: type) -> bool:
    """Return whether a stored value is of its type, a number is 0 or more and a list holds only strings."""
    if isinstance(value, list):
        return type_ is list and all(isinstance(item, str) for item in value)
    if type_ is int:
        return isinstance(value, int) and not isinstance(value, bool) and value >= 0
    return isinstance(value, type_)


def _replace(path: Path, data: bytes) -> None:
    """Replace a file atomically."""
    new_path = path.with_name(f"{path.name}.new")
    new_path.write_bytes(data)
    os.replace(new_path, path)


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
    """Sync the folder's entries, so that a renamed file is found after a crash."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
