"""The replicated state of the voters: the lease record of each task, and its dump on disk.

The library dumps the state when it compacts the log. A dump is encoded as a frame (`membership.codec`) whose
checksum uses an empty key.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import pysyncobj

from pinspread.leases.raft_messages import MAGIC
from pinspread.leases.state_machine import Command, CommandKind, LeaseRecord, apply_command
from pinspread.membership import codec

_NO_KEY = b""
_DUMP_FIELDS = {"rows": dict, "after": list, "before": list}

OnRecord = Callable[[str, LeaseRecord], None]


class LeaseTable(pysyncobj.SyncObjConsumer):  # type: ignore[misc]  # the library comes without types
    """The replicated state: the lease record of each task.

    The library numbers replicated methods in the order of their names, and the log holds these numbers. There
    must be only one such method, since another one could change the numbers.

    Args:
        on_change: Called with a task and its record whenever the record changes.
    """

    def __init__(self, on_change: OnRecord):
        super().__init__()
        self.records: dict[str, LeaseRecord] = {}
        self._on_change = on_change

    @pysyncobj.replicated  # type: ignore[untyped-decorator]
    def change(
        self, task: str, kind: str, holder: str, expected: int, request_id: int
    ) -> tuple[LeaseRecord, str]:
        """Apply a command to a task's record; the result is the same on every voter.

        Returns:
            The record afterwards, and `OK` or the reason for refusing the command.
        """
        command = Command(_command_kind(kind), holder, expected, request_id)
        record, outcome = apply_command(self.records.get(task, LeaseRecord()), command)
        if self.records.get(task) != record:
            self.records[task] = record
            self._on_change(task, record)
        return record, outcome

    def restore(self, records: Mapping[str, LeaseRecord]) -> None:
        """Replace all records by these."""
        self.records.clear()
        for task, record in records.items():
            self.records[task] = record
            self._on_change(task, record)


def _command_kind(kind: str) -> CommandKind:
    """Return the kind of a command in the log; any unknown kind counts as a release."""
    return next((known for known in CommandKind if known == kind), CommandKind.RELEASE)


@dataclass(frozen=True)
class LeaseDump:
    """The state after the entries that were compacted away.

    Attributes:
        records: The record of each task.
        last_entry: The last entry that was compacted away, in the library's form.
        entry_before: The entry before `last_entry`.
    """

    records: Mapping[str, LeaseRecord]
    last_entry: tuple[Any, ...]
    entry_before: tuple[Any, ...]


def encode_dump(dump: LeaseDump) -> bytes:
    """Encode a dump."""
    rows = {task: list(record) for task, record in dump.records.items()}
    fields = {"rows": rows, "after": list(dump.last_entry), "before": list(dump.entry_before)}
    return codec.encode(fields, _NO_KEY, MAGIC)


def decode_dump(data: bytes) -> LeaseDump:
    """Decode a dump.

    Raises:
        DatagramError: The dump is damaged.
    """
    fields = codec.decode(data, _NO_KEY, MAGIC)
    codec.require_fields(fields, _DUMP_FIELDS)
    records = {task: LeaseRecord(*row) for task, row in fields["rows"].items()}
    return LeaseDump(records, tuple(fields["after"]), tuple(fields["before"]))
