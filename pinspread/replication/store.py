"""A keeper's files: one folder an owner, with the copy's bytes and what is known of it."""

import os
from dataclasses import asdict
from pathlib import Path

import anyio
import orjson

from pinspread.core.log import log
from pinspread.replication import log as copies

LASTS = ("owner", "token", "keepers", "tried", "adopted")


class ReplicaStore:
    """One owner's copy on disk; `kept` decides, this writes. OSError if the disk does not take it."""

    def __init__(self, folder: Path, owner: str):
        self.folder = folder / owner
        self.folder.mkdir(parents=True, exist_ok=True)
        self.kept = copies.Replica(owner)
        self.lock = anyio.Lock()  # whoever decides by `kept` and writes
        try:
            for name, value in orjson.loads((self.folder / "meta").read_bytes()).items():
                setattr(self.kept, name, value)
        except FileNotFoundError:
            pass
        except (orjson.JSONDecodeError, AttributeError) as error:
            log("copies_meta_damaged", owner=owner, error=str(error))
        for path in self.folder.glob("journal.*"):
            if path.suffix[1:].isdigit() and int(path.suffix[1:]) > self.kept.generation:
                self.kept.generation, self.kept.size = int(path.suffix[1:]), path.stat().st_size

    def save(self):
        """Write what is known beside the bytes; before it is said."""
        fresh = self.folder / "meta.new"
        found = asdict(self.kept)
        fresh.write_bytes(orjson.dumps({name: found[name] for name in LASTS}))
        os.replace(fresh, self.folder / "meta")

    def _path(self, generation):
        return self.folder / f"journal.{generation}"

    def data(self) -> bytes:
        """The newest whole generation."""
        path = self._path(self.kept.generation)
        return path.read_bytes() if path.exists() else b""

    def clear(self):
        """Let the bytes go; what is known of tokens stays."""
        for path in [*self.folder.glob("journal.*"), *self.folder.glob("coming")]:
            path.unlink()
        kept = self.kept
        kept.generation = kept.size = kept.coming = kept.coming_size = kept.coming_base = 0
        self.save()

    def write(self, where: str, at: int, data: bytes, sync: bool = False):
        """Put bytes at a place of the old or the new file, and cut what is behind them."""
        path = self.folder / "coming" if where == "new" else self._path(self.kept.generation)
        fd = os.open(path, os.O_CREAT | os.O_WRONLY, 0o600)
        try:
            os.ftruncate(fd, at)
            while data:
                done = os.pwrite(fd, data, at)
                data, at = data[done:], at + done
            if sync:
                os.fdatasync(fd)
        finally:
            os.close(fd)
        before = self.kept.generation
        if where == "new" and self.kept.whole():
            os.replace(path, self._path(self.kept.generation))
            self.save()
            if sync:
                _sync_folder(self.folder)
            self._path(before).unlink(missing_ok=True)


def _sync_folder(folder):
    """Have the names of its files on the disk."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
