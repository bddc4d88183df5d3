"""A voter's log on disk, behind the interface of the Raft library (`pysyncobj.journal.Journal`).

The file is append-only and checksummed. A record is a header and a payload. The header is the length of the
payload, the payload's CRC-32 and the CRC-32 of these two fields, each a little-endian u32. The payload is one
byte for the kind of record, then:

    ENTRY         index u64, term u64, the command's bytes
    TRUNCATE      u64: the number of entries that stay, counted from the front
    VOTE          term u64, the id of the voter that got the vote in UTF-8 (empty: none)
    COMMIT_INDEX  u64: the entries up to this index are committed; not written at each change

An incomplete record at the end of the file was never acknowledged, and is removed. Any other malformed data
raises a `RaftLogFormatError`, since a voter must not vote on the basis of such a file.
"""

import os
import struct
import zlib
from contextlib import suppress
from enum import IntEnum
from pathlib import Path
from typing import Any

from pysyncobj.journal import Journal

from pinspread.core.log import log
from pinspread.errors import PinspreadError

_LENGTH_AND_CHECKSUM = struct.Struct("<II")
_HEAD_CHECKSUM = struct.Struct("<I")
HEAD_BYTES = _LENGTH_AND_CHECKSUM.size + _HEAD_CHECKSUM.size
_ENTRY = struct.Struct("<BQQ")
_NUMBER = struct.Struct("<BQ")  # TRUNCATE, COMMIT_INDEX, and the start of VOTE
_FIRST_INDEX = 1
_FILE_MODE = 0o600

Entry = tuple[bytes, int, int]  # in the library's form: command, index, term


class RecordKind(IntEnum):
    """The kinds of records in the file."""

    ENTRY = 1
    TRUNCATE = 2
    VOTE = 3
    COMMIT_INDEX = 4


class RaftLogFormatError(PinspreadError):
    """The file holds data that is not in the format of this module; the text says where."""


class RaftLog(Journal):  # type: ignore[misc]  # the library comes without types
    """The entries, the term and the vote of a voter.

    Each change is written before its call returns, except the commit index (see `setRaftCommitIndex`).

    Args:
        path: The file; it is created if it does not exist.
        sync: Whether each change is flushed to the disk, not only handed to the operating system, before its
            call returns.

    Attributes:
        entries: The entries that were not compacted away.
        term: The Raft term.
        voted_for: The id of the voter that got this voter's vote in that term, if any.
        commit_index: The index up to which entries are known to be committed.
        write_failed: Whether a write has failed. Memory and disk may then differ, so the values here must no
            longer be used.

    Raises:
        RaftLogFormatError: The file is damaged.
        OSError: The file cannot be read or written.
    """

    def __init__(self, path: str | Path, sync: bool = False):
        self.path = Path(path)
        self.sync = sync
        self.entries: list[Entry] = []
        self.term = 0
        self.voted_for: str | None = None
        self.commit_index = _FIRST_INDEX
        self.write_failed = False
        self._new_path = self.path.with_name(self.path.name + ".new")
        self._new_path.unlink(missing_ok=True)  # an unfinished rewrite; the old file is complete
        data = self.path.read_bytes() if self.path.exists() else b""
        size = self._read(data)
        self._stored_commit_index = self.commit_index
        self.fd = os.open(self.path, os.O_CREAT | os.O_WRONLY | os.O_APPEND, _FILE_MODE)
        os.ftruncate(self.fd, size)

    def _read(self, data: bytes) -> int:
        """Replay the records of the file, and return the offset at which the last complete record ends."""
        start = 0
        while start + HEAD_BYTES <= len(data):
            length, checksum = _LENGTH_AND_CHECKSUM.unpack_from(data, start)
            (head_checksum,) = _HEAD_CHECKSUM.unpack_from(data, start + _LENGTH_AND_CHECKSUM.size)
            # The header has a checksum of its own. Otherwise a flipped bit in the length could make all later
            # records look like a single incomplete one.
            if head_checksum != zlib.crc32(data[start : start + _LENGTH_AND_CHECKSUM.size]):
                raise RaftLogFormatError(
                    f"{self.path}: wrong checksum of the header of the record at byte {start}"
                )
            payload = data[start + HEAD_BYTES : start + HEAD_BYTES + length]
            if len(payload) < length:
                break  # an incomplete record at the end
            if zlib.crc32(payload) != checksum:
                raise RaftLogFormatError(f"{self.path}: wrong checksum of the record at byte {start}")
            self._replay(payload, start)
            start += HEAD_BYTES + length
        return start

    def _replay(self, payload: bytes, start: int) -> None:
        """Apply the record that starts at byte `start` of the file."""
        kind = payload[0]
        try:
            if kind == RecordKind.ENTRY:
                _, index, term = _ENTRY.unpack_from(payload)
                self.entries.append((payload[_ENTRY.size :], index, term))
            elif kind == RecordKind.TRUNCATE:
                del self.entries[_NUMBER.unpack(payload)[1] :]
            elif kind == RecordKind.COMMIT_INDEX:
                self.commit_index = _NUMBER.unpack(payload)[1]
            elif kind == RecordKind.VOTE:
                _, self.term = _NUMBER.unpack_from(payload)
                self.voted_for = payload[_NUMBER.size :].decode() or None
            else:
                raise RaftLogFormatError(f"{self.path}: unknown kind {kind} of the record at byte {start}")
        except (struct.error, UnicodeDecodeError) as error:
            raise RaftLogFormatError(f"{self.path}: malformed record at byte {start}: {error}") from None

    def _append(self, payload: bytes) -> None:
        self._write(_record(payload))

    def _write(self, data: bytes) -> None:
        # After a failed write, memory may hold a vote or an entry that the file lacks. If the log stayed in
        # use, the voter would report that vote or entry to others and lose it on a restart. So all later
        # writes are refused.
        if self.write_failed:
            raise OSError(f"{self.path}: not written, because an earlier write failed")
        self.write_failed = True
        _write_all(self.fd, data, self.sync)
        self.write_failed = False

    def _rewrite(self, entries: list[Entry]) -> None:
        """Write the complete state, with these entries, to a new file that replaces the old one atomically.

        Raises:
            OSError: The new file cannot be written, and the old one stays in use; or it is in use but may not
                last (`write_failed`).
        """
        state = _record(_vote_payload(self.term, self.voted_for))
        state += _record(_NUMBER.pack(RecordKind.COMMIT_INDEX, self.commit_index))
        fd = self._replace_file(state + b"".join(_record(_entry_payload(*entry)) for entry in entries))
        with suppress(OSError):
            os.close(self.fd)
        self.fd = fd
        if self.sync:
            self.write_failed = True
            _sync_folder(self.path.parent)
            self.write_failed = False

    def _replace_file(self, data: bytes) -> int:
        """Replace the file and return the descriptor of the new one; on an error the old one stays."""
        fd = os.open(self._new_path, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_APPEND, _FILE_MODE)
        try:
            _write_all(fd, data, self.sync)
            os.rename(self._new_path, self.path)
        except OSError:
            with suppress(OSError):
                os.close(fd)
            raise
        return fd

    def discard_before(self, entry: Entry) -> None:
        """Remove the entries before this one, if the log has it: what an interrupted compaction has left.

        The library removes the whole log if it does not begin with the last two entries of the dump, with
        entries behind them that this voter has acknowledged.
        """
        if entry in self.entries:
            self.deleteEntriesTo(self.entries.index(entry))

    # --- the library's interface, under its names -----------------------------------------------------

    def add(self, command: bytes, idx: int, term: int) -> None:
        """Append an entry."""
        entry = bytes(command), idx, term
        self._append(_entry_payload(*entry))
        self.entries.append(entry)

    def clear(self) -> None:
        """Remove all entries, and keep the term and the vote."""
        self.deleteEntriesFrom(0)

    def deleteEntriesFrom(self, entryFrom: int) -> None:  # noqa: N802, N803  the library's names, here and below
        """Remove the entry at a position and all later ones."""
        self._append(_NUMBER.pack(RecordKind.TRUNCATE, entryFrom))
        del self.entries[entryFrom:]

    def deleteEntriesTo(self, entryTo: int) -> None:  # noqa: N802, N803
        """Remove the entries before a position."""
        # This writes a new file. If the old one were changed in place, a kill halfway would lose acknowledged
        # entries.
        kept = self.entries[entryTo:]
        try:
            self._rewrite(kept)
        except OSError as error:
            if self.write_failed:
                raise
            # Nothing is lost: the next compaction tries again. Positions in later records refer to the file.
            log("quorum_log_not_compacted", error=str(error))
        else:
            self.entries = kept

    def __getitem__(self, item: Any) -> Any:
        """Return an entry, or a slice of them."""
        return self.entries[item]

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self.entries)

    def setCurrentTerm(self, term: int, votedForNodeId: str | None) -> None:  # noqa: N802, N803
        """Set the term and the vote; called before any message that depends on them is sent."""
        self.term = term
        self.voted_for = votedForNodeId
        self._append(_vote_payload(term, votedForNodeId))

    def getCurrentTerm(self) -> int:  # noqa: N802
        """Return the term."""
        return self.term

    def getVotedForNodeId(self) -> str | None:  # noqa: N802
        """Return the id of the voter that got this voter's vote, if any."""
        return self.voted_for

    def setRaftCommitIndex(self, raftCommitIndex: int) -> None:  # noqa: N802, N803
        """Set the commit index.

        It is written within a second, not at once: a leader sends it again anyway.
        """
        self.commit_index = raftCommitIndex

    def getRaftCommitIndex(self) -> int:  # noqa: N802
        """Return the commit index."""
        return self.commit_index

    def onOneSecondTimer(self) -> None:  # noqa: N802
        """Write the commit index if it has changed."""
        if self._stored_commit_index != self.commit_index:
            self._stored_commit_index = self.commit_index
            self._append(_NUMBER.pack(RecordKind.COMMIT_INDEX, self.commit_index))

    def _destroy(self) -> None:
        """Close the file."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1


def _write_all(fd: int, data: bytes, sync: bool) -> None:
    while data:
        data = data[os.write(fd, data) :]
    if sync:
        os.fdatasync(fd)


def _sync_folder(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        with suppress(OSError):  # of a close, which is no write
            os.close(fd)


def _record(payload: bytes) -> bytes:
    head = _LENGTH_AND_CHECKSUM.pack(len(payload), zlib.crc32(payload))
    return head + _HEAD_CHECKSUM.pack(zlib.crc32(head)) + payload


def _entry_payload(command: bytes, index: int, term: int) -> bytes:
    return _ENTRY.pack(RecordKind.ENTRY, index, term) + command


def _vote_payload(term: int, voted_for: str | None) -> bytes:
    return _NUMBER.pack(RecordKind.VOTE, term) + (voted_for or "").encode()
