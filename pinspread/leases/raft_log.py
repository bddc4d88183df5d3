"""A voter's log on disk, behind the library's interface (`pysyncobj.journal.Journal`).

Append-only and checksummed.

A record is its payload's length and CRC-32 and the CRC-32 of these two (little-endian u32 each), then the
payload: a kind byte and
    ENTRY  index u64, term u64, the command's bytes
    CUT    u64: how many entries stay, from the front
    VOTE   term u64, the id of who was voted for in UTF-8 (empty: nobody)
    AGREED u64: the entries up to that index are agreed on; noted now and then
A record that is cut short at the file's end was never acknowledged and is cut off. Anything else that does
not fit is `Damaged`: whoever reads it must not vote by it.
"""

import os
import struct
import zlib
from pathlib import Path

from pysyncobj.journal import Journal

_HEAD = struct.Struct("<II")
_SUM = struct.Struct("<I")
HEAD_BYTES = _HEAD.size + _SUM.size
_ENTRY = struct.Struct("<BQQ")
_CUT = struct.Struct("<BQ")
_VOTE = struct.Struct("<BQ")
ENTRY, CUT, VOTE, AGREED = 1, 2, 3, 4


class RaftLogFormatError(Exception):
    """The file holds something that was not written so; the text says where."""


class RaftLog(Journal):
    """Entries (command, index, term), the term and the vote; a change is written before its call returns."""

    def __init__(self, path: str, sync: bool = False):
        """Read what is there; `Damaged` if it cannot be trusted, OSError if it cannot be read or written."""
        self.path, self.sync = Path(path), sync
        self.entries, self.term, self.voted = [], 0, None
        self.agreed = self.noted = 1
        self.broken = False  # a write has failed: what is in memory may not be on the disk, so nothing counts
        self.path.with_name(self.path.name + ".new").unlink(
            missing_ok=True
        )  # never renamed: the old one is whole
        data = self.path.read_bytes() if self.path.exists() else b""
        size = self._read(data)
        self.noted = self.agreed
        self.fd = os.open(self.path, os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o600)
        os.ftruncate(self.fd, size)

    def _read(self, data):
        at = 0
        while at + HEAD_BYTES <= len(data):
            size, checksum = _HEAD.unpack_from(data, at)
            # Danger: a flipped bit in a length would make all that is behind it look like a record cut short.
            if _SUM.unpack_from(data, at + _HEAD.size)[0] != zlib.crc32(data[at : at + _HEAD.size]):
                raise RaftLogFormatError(f"{self.path}: the head of the record at byte {at}")
            payload = data[at + HEAD_BYTES : at + HEAD_BYTES + size]
            if len(payload) < size:
                break  # cut short
            if zlib.crc32(payload) != checksum:
                raise RaftLogFormatError(f"{self.path}: the record at byte {at}")
            self._replay(payload, at)
            at += HEAD_BYTES + size
        return at

    def _replay(self, payload, at):
        kind = payload[0]
        try:
            if kind == ENTRY:
                _, idx, term = _ENTRY.unpack_from(payload)
                self.entries.append((payload[_ENTRY.size :], idx, term))
            elif kind == CUT:
                del self.entries[_CUT.unpack(payload)[1] :]
            elif kind == AGREED:
                self.agreed = _CUT.unpack(payload)[1]
            elif kind == VOTE:
                _, self.term = _VOTE.unpack_from(payload)
                self.voted = payload[_VOTE.size :].decode() or None
            else:
                raise RaftLogFormatError(f"{self.path}: a record of kind {kind} at byte {at}")
        except (struct.error, UnicodeDecodeError) as error:
            raise RaftLogFormatError(f"{self.path}: the record at byte {at}: {error}") from None

    def _append(self, payload):
        self._write(self.fd, _record(payload))

    def _write(self, fd, data):
        # Danger: a vote or entry that is in memory alone would be spoken of, and be forgotten by a restart.
        if self.broken:
            raise OSError(f"{self.path}: an earlier write has failed")
        self.broken = True
        while data:
            data = data[os.write(fd, data) :]
        if self.sync:
            os.fdatasync(fd)
        self.broken = False

    def _rewrite(self):
        """All anew in another file, which takes the old one's place at once."""
        fresh = self.path.with_name(self.path.name + ".new")
        fd = os.open(fresh, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_APPEND, 0o600)
        state = _record(_vote(self.term, self.voted)) + _record(_CUT.pack(AGREED, self.agreed))
        self._write(fd, state + b"".join(_record(_entry(*e)) for e in self.entries))
        os.rename(fresh, self.path)
        if self.sync:
            folder = os.open(self.path.parent, os.O_RDONLY)
            os.fsync(folder)
            os.close(folder)
        os.close(self.fd)
        self.fd = fd

    # --- the library's interface ----------------------------------------------------------------------

    def add(self, command, idx, term):
        """Append an entry."""
        entry = bytes(command), idx, term
        self._append(_entry(*entry))
        self.entries.append(entry)

    def clear(self):
        """No entries; the term and the vote stay."""
        self.deleteEntriesFrom(0)

    def deleteEntriesFrom(self, entryFrom):  # noqa: N802, N803  the library's names, here and below
        """Cut the back of the log: the entry at that place and all behind it."""
        self._append(_CUT.pack(CUT, entryFrom))
        del self.entries[entryFrom:]

    def deleteEntriesTo(self, entryTo):  # noqa: N802, N803
        """Cut the front of the log, up to that place."""
        # Danger: cut in place, a kill between the two steps would forget what was acknowledged.
        self.entries = self.entries[entryTo:]
        self._rewrite()

    def __getitem__(self, item):
        return self.entries[item]

    def __len__(self):
        return len(self.entries)

    def setCurrentTerm(self, term, votedForNodeId):  # noqa: N802, N803
        """Before any message speaks of them."""
        self.term, self.voted = term, votedForNodeId
        self._append(_vote(term, votedForNodeId))

    def getCurrentTerm(self):  # noqa: N802
        return self.term

    def getVotedForNodeId(self):  # noqa: N802
        return self.voted

    def setRaftCommitIndex(self, raftCommitIndex):  # noqa: N802, N803
        """Written at the next second: a leader says it anew anyhow."""
        self.agreed = raftCommitIndex

    def getRaftCommitIndex(self):  # noqa: N802
        return self.agreed

    def onOneSecondTimer(self):  # noqa: N802
        """The library's turn for what may wait."""
        if self.noted != self.agreed:
            self.noted = self.agreed
            self._append(_CUT.pack(AGREED, self.agreed))

    def _destroy(self):
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1


def _record(payload):
    head = _HEAD.pack(len(payload), zlib.crc32(payload))
    return head + _SUM.pack(zlib.crc32(head)) + payload


def _entry(command, idx, term):
    return _ENTRY.pack(ENTRY, idx, term) + command


def _vote(term, voted):
    return _VOTE.pack(VOTE, term) + (voted or "").encode()
