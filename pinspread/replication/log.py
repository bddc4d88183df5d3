"""The primary's side of replication: decisions only, with no I/O and no clock.

A journal is only appended to until it is rewritten. The rewrite starts a new *generation*, whose first part
(the *base*) holds all records that are still needed. Offsets and sizes are in bytes, times in microseconds.
"""

from array import array
from bisect import bisect_right
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from pinspread.replication.journal_bytes import record_sizes

CHECKSUM_RANGE_BYTES = 64 * 1024  # covered by one checksum
MAX_CHUNK_BYTES = 256 * 1024  # journal data in one frame


class LogPosition(NamedTuple):
    """A position in a journal.

    Attributes:
        generation: The journal's generation; 0 for none.
        offset: Bytes from the start of that generation.
    """

    generation: int
    offset: int


NO_POSITION = LogPosition(0, 0)


class ReplicaLag(NamedTuple):
    """What a replica lacks of the journal.

    Attributes:
        records: Number of records that it lacks, including one that it has only in part.
        bytes: Number of bytes that it lacks.
        age_us: Microseconds since the first of these records was written.
    """

    records: int
    bytes: int
    age_us: int


def range_checksums(data: bytes | bytearray | memoryview) -> list[int]:
    """Return a checksum for each range of `CHECKSUM_RANGE_BYTES`; the last range may be shorter."""
    starts = range(0, len(data), CHECKSUM_RANGE_BYTES)
    return [xxhash.xxh64_intdigest(bytes(data[start : start + CHECKSUM_RANGE_BYTES])) for start in starts]


def matching_prefix(data: bytes | bytearray, size: int, checksums: Sequence[int]) -> int:
    """Return the offset up to which a replica of `size` bytes with these checksums equals the data."""
    if size > len(data) or len(checksums) != -(-size // CHECKSUM_RANGE_BYTES):
        size = 0
    local_checksums = range_checksums(memoryview(data)[:size])
    for index, (local, remote) in enumerate(zip(local_checksums, checksums, strict=False)):
        if local != remote:
            return index * CHECKSUM_RANGE_BYTES
    return size


def _empty_array() -> "array[int]":
    return array("Q")


@dataclass
class ReplicationLog:
    """The primary's journal in its current state, and what each replica has acknowledged.

    Attributes:
        required_acks: How many replicas must acknowledge a record before it is committed.
        generation: The journal's generation; 0 before it is first written.
        data: The bytes of this generation.
        base: How many bytes at its start hold all records that were still needed when it was rewritten.
        acknowledged: For each replica, the position up to which it has stored the journal.
        record_ends: The offset at which each record ends.
        record_times_us: When each record was written.
        generation_floor: The highest generation that replicas had at the start; new generations are higher.
    """

    required_acks: int
    generation: int = 0
    data: bytearray = field(default_factory=bytearray)
    base: int = 0
    acknowledged: dict[str, LogPosition] = field(default_factory=dict)
    record_ends: "array[int]" = field(default_factory=_empty_array)
    record_times_us: "array[int]" = field(default_factory=_empty_array)
    generation_floor: int = 0

    def next_generation(self, wanted: int) -> int:
        """Return the number of the next generation: `wanted` if that is high enough."""
        # If the clock was set back, the wanted number is lower than before, and replicas would refuse all
        # data as older than what they have.
        return max(wanted, self.generation + 1, self.generation_floor + 1)

    def rewrite(self, data: bytes, generation: int, now_us: int = 0) -> None:
        """Start a new generation with this data; `generation` is its number if that is high enough."""
        self.generation = self.next_generation(generation)
        self.data = bytearray()
        self.base = len(data)
        self.record_ends = _empty_array()
        self.record_times_us = _empty_array()
        self.append(data, now_us)

    def append(self, data: bytes, now_us: int = 0) -> None:
        """Append one or several records."""
        end = len(self.data)
        self.data += data
        for size in record_sizes(data):
            end += size
            self.record_ends.append(end)
            self.record_times_us.append(now_us)

    def end(self) -> LogPosition:
        """Return the position after the last byte."""
        return LogPosition(self.generation, len(self.data))

    def has_acknowledged(self, replica: str, position: LogPosition) -> bool:
        """Return whether a replica has acknowledged all data up to a position.

        The base of a newer generation holds all that is still needed of an older one, so a replica that has
        acknowledged the base has acknowledged every position of the older generation.
        """
        generation, offset = self.acknowledged.get(replica, NO_POSITION)
        if generation == position.generation:
            return offset >= position.offset
        return generation == self.generation and generation > position.generation and offset >= self.base

    def is_replicated(self, replicas: Iterable[str], position: LogPosition) -> bool:
        """Return whether enough of the replicas have acknowledged all data up to a position."""
        return sum(self.has_acknowledged(replica, position) for replica in replicas) >= self.required_acks

    def lag(self, replica: str, now_us: int = 0) -> ReplicaLag:
        """Return what a replica lacks of the journal."""
        generation, offset = self.acknowledged.get(replica, NO_POSITION)
        if generation != self.generation:
            offset = 0
        first_missing = bisect_right(self.record_ends, offset)
        records = len(self.record_ends) - first_missing
        age_us = now_us - self.record_times_us[first_missing] if records else 0
        return ReplicaLag(records, len(self.data) - offset, age_us)

    def may_be_removed(self, replica: str, replicas: Collection[str]) -> bool:
        """Return whether a node may remove its replica of the journal.

        It may if it is not among the chosen replicas any more, and all of these have the complete journal.
        """
        end = self.end()
        complete = bool(replicas) and all(self.has_acknowledged(chosen, end) for chosen in replicas)
        return complete and replica not in replicas

    def resume_offset(self, generation: int, size: int, checksums: Sequence[int]) -> int:
        """Return the offset to send from, for a replica that holds `size` bytes with these checksums."""
        return matching_prefix(self.data, size, checksums) if generation == self.generation else 0
