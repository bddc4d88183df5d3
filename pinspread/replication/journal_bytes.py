"""Operations on the bytes of a journal: finding complete records, replaying, and dropping messages."""

import tempfile
from collections.abc import Iterator, Set
from dataclasses import dataclass
from pathlib import Path

from pinspread.core import journal_records
from pinspread.core.journal import Journal
from pinspread.core.messages import Message
from pinspread.errors import JournalFormatError, JournalFullError

# Why a journal or a replica cannot be read or written now.
STORAGE_ERRORS = (JournalFormatError, JournalFullError, OSError)
_NO_LIMIT_BYTES = 1 << 30


@dataclass(frozen=True)
class ReplayedJournal:
    """The messages of a journal after all its records are applied.

    Attributes:
        open_messages: Messages that have not ended, in the order in which they were accepted.
        finished_ids: Ids of messages that have ended.
    """

    open_messages: list[Message]
    finished_ids: set[str]


def record_sizes(data: bytes) -> Iterator[int]:
    """Yield the size in bytes of each complete record at the start of the data."""
    for payload in journal_records.payloads(data):
        yield journal_records.HEADER_BYTES + len(payload)


def record_count(data: bytes) -> int:
    """Return how many complete records the data starts with."""
    return sum(1 for _ in record_sizes(data))


def complete_length(data: bytes) -> int:
    """Return how many bytes at the start of the data are complete records."""
    return journal_records.complete_bytes(data)


def is_intact(data: bytes) -> bool:
    """Return whether the data is complete records, at most followed by one whose write was cut short."""
    length = complete_length(data)
    return length == len(data) or journal_records.is_truncated(data, length)


def replay(data: bytes) -> ReplayedJournal:
    """Apply the records of a journal, given as bytes.

    Raises:
        JournalFormatError: A record is of a form that this version does not know.
        OSError: The temporary folder cannot be written.
    """
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(folder, _NO_LIMIT_BYTES)
        journal.path.write_bytes(data)
        journal.read()
        return ReplayedJournal(list(journal.open_messages.values()), set(journal.finished_ids))


def drop_messages(folder: Path, limit_bytes: int, ids: Set[str]) -> int:
    """Rewrite the journal in a folder without the messages that other nodes have taken over.

    Args:
        folder: The journal's folder.
        limit_bytes: The limit of the journal's size on disk.
        ids: Ids of the messages that were taken over.

    Returns:
        How many of them were open in the journal.

    Raises:
        JournalFormatError: A record is of a form that this version does not know.
        JournalFullError: The new file cannot be written.
    """
    journal = Journal(str(folder), limit_bytes)
    journal.read()
    dropped = [message for message in journal.open_messages.values() if message.id in ids]
    journal.release(dropped)
    journal.begin()
    journal.close()
    return len(dropped)
