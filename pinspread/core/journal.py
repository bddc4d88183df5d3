"""The journal: an append-only file of the pending messages, in the state folder.

`journal_records` defines the format of the records. Nothing is synced to the disk, because the data only has
to survive the end of the process, and written data does.
"""

import os
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path

from pinspread.core.journal_records import (
    HEADER_BYTES,
    PROGRESS_BYTES,
    Accepted,
    EndpointBlocked,
    FinishedId,
    MessageEnded,
    ProgressRecord,
    Record,
    RulesNumbered,
    decode,
    encode_accepted,
    encode_attempt_ended,
    encode_attempt_started,
    encode_endpoint_blocked,
    encode_final_result,
    encode_finished_id,
    encode_message_ended,
    encode_progress,
    encode_rules,
    encode_zone,
    payloads,
)
from pinspread.core.journal_replay import apply_progress, end_attempt
from pinspread.core.messages import DeliveryRules, FinalResult, FinalState, Message
from pinspread.core.ports import JournalObserver
from pinspread.core.rules_numbers import RulesNumbers
from pinspread.errors import JournalFormatError, JournalFullError

NO_FILE = -1  # value of a descriptor while no file is open
# During a rewrite the old and the new file exist together, each in whole blocks of the disk, and their sum
# must stay under the limit. The rest of a file is for records of attempts and ends, which are never refused.
FILE_PERCENT = 47  # maximum size of one file, of the limit
OPEN_PERCENT = 85  # of this size, the maximum for pending messages
FINISHED_PERCENT = 5  # of this size, the maximum for finished ids


class Journal:
    """One file, rewritten with only its current content when it has grown to its limit.

    The old and the new file together stay within the limit on disk space.

    Attributes:
        path: The path of the file.
        limit_bytes: The size at which the file is rewritten.
        size_bytes: The current size of the file.
        incomplete: A record could not be written, so the file lacks it or ends in the middle of it. The file
            is written anew before the next record.
        observer: Receives every byte that is written, if set.
        open_messages: The pending messages by number, in the order in which they were accepted; a message is
            pending until its client has acknowledged the final result.
        finished_ids: The ids of ended messages, oldest first, with the sizes of their records.
        blocked_endpoints: The ids of endpoints that operators have disabled; the values are unused.
    """

    def __init__(self, folder: str, limit_bytes: int) -> None:
        self.path = Path(folder) / "journal"
        self.observer: JournalObserver | None = None
        self.limit_bytes = 0
        self._new_path = Path(folder) / "journal.new"
        self._fd = NO_FILE
        self.resize(limit_bytes)
        self._reset()

    def _reset(self) -> None:
        self.size_bytes = 0
        self.incomplete = False
        self.open_messages: dict[int, Message] = {}
        self.finished_ids: dict[str, int] = {}
        self.blocked_endpoints: dict[str, None] = {}
        self._reserved_bytes: dict[int, int] = {}  # of each pending message, including its progress
        self._open_bytes = 0
        self._finished_bytes = 0
        self._rules = RulesNumbers()

    def resize(self, limit_bytes: int) -> None:
        """Change the limit; a file that exceeds the new limit is rewritten with its next record.

        Args:
            limit_bytes: The disk space that the journal may take.
        """
        self.limit_bytes = limit_bytes * FILE_PERCENT // 100
        self._max_open_bytes = self.limit_bytes * OPEN_PERCENT // 100
        self._max_finished_bytes = self.limit_bytes * FINISHED_PERCENT // 100

    def recover(self) -> list[Message]:
        """Return the pending messages in the order in which they were accepted, and rewrite the file.

        Raises:
            JournalFormatError: A newer version wrote the file.
            JournalFullError: The file can't be written.
        """
        self.read()
        self.begin()
        return list(self.open_messages.values())

    def read(self) -> None:
        """Read the file without writing to it.

        Raises:
            JournalFormatError: A newer version wrote the file.
        """
        data = self.path.read_bytes() if self.path.exists() else b""
        self._reset()
        for payload in payloads(data):
            try:
                record = decode(payload)
            except JournalFormatError as error:
                raise JournalFormatError(f"{self.path}: {error}") from None
            if record is not None:
                self._replay(record, HEADER_BYTES + len(payload))

    def begin(self) -> None:
        """Replace the file by one with the current state; from now on, only this process may write to it.

        Raises:
            JournalFullError: The new file can't be written; the old one is intact.
        """
        with suppress(OSError):
            self._new_path.unlink(missing_ok=True)  # from an unfinished rewrite; the old file is intact
        self._rewrite()

    def close(self) -> None:
        """Close the file; nothing can be recorded until `begin` is called."""
        self._close_descriptor()
        self._fd = NO_FILE

    def _close_descriptor(self) -> None:
        if self._fd != NO_FILE:
            with suppress(OSError):  # the descriptor is closed all the same, and nothing is synced
                os.close(self._fd)

    # --- records: all raise JournalFullError if the record was not written ------------------------

    def message_accepted(self, message: Message) -> None:
        """Record a message before its acceptance is acknowledged to the client."""
        record = self._accepted_record(message)
        reserved_bytes = self._reserved_size(record)
        self._append(record)
        self._add_open_message(message, reserved_bytes)

    def message_taken_over(self, message: Message) -> None:
        """Record a message that another node accepted, with the known state of its attempts."""
        record = self._accepted_record(message)
        reserved_bytes = self._reserved_size(record)
        known = message.attempts or message.may_have_run_unix_us
        self._append(record + (encode_progress(message) if known else b""))
        self._add_open_message(message, reserved_bytes)
        if message.final:
            self.final_result(message, message.final)

    def release(self, messages: Iterable[Message]) -> None:
        """Drop messages that another node took over, and mark their ids as finished, for the next rewrite."""
        for message in messages:
            del self.open_messages[message.number]
            self._free_reservation(message)
            self._add_finished_id(message.id)

    def attempt_started(self, message: Message, attempt: int, unix_us: int) -> None:
        """Record an attempt as written at this Unix time, before the last byte of its call is written."""
        if zone := encode_zone(message):
            self._append(zone)
        self._append(encode_attempt_started(message, attempt, unix_us))
        message.in_flight_since_unix_us = unix_us
        message.attempts = max(message.attempts, attempt + 1)

    def attempt_ended(self, message: Message, attempt: int, may_have_run: bool) -> None:
        """Record that an attempt that was written has ended, and that its message has not."""
        try:
            self._append(encode_attempt_ended(message, attempt, may_have_run))
        finally:  # it has happened; a rewrite before the record must not hold it already
            end_attempt(message, may_have_run)

    def final_result(self, message: Message, result: FinalResult) -> None:
        """Record a final result, which the client has not been notified of yet."""
        try:
            self._append(encode_final_result(message, result))
        finally:
            message.final = result

    def message_ended(self, message: Message) -> None:
        """Record that a message has ended and no notification of it is pending."""
        if self.open_messages.pop(message.number, None) is None:
            return
        self._free_reservation(message)
        self._keep_id_unless_returned(message)
        self._append(encode_message_ended(message))

    def endpoint_blocked(self, endpoint_id: str, blocked: bool) -> None:
        """Record that an endpoint is disabled or enabled, before the operator gets the reply."""
        self._append(encode_endpoint_blocked(endpoint_id, blocked))
        self._set_blocked(endpoint_id, blocked)

    # --- state ------------------------------------------------------------------------------------

    def _reserved_size(self, record: bytes) -> int:
        """Return the bytes to reserve for a message in a rewritten file, whatever its progress will be.

        Raises:
            JournalFullError: The space for pending messages is used up.
        """
        reserved_bytes = len(record) + PROGRESS_BYTES
        if self._open_bytes + reserved_bytes > self._max_open_bytes:
            raise JournalFullError("the journal has no room for another pending message")
        return reserved_bytes

    def _add_open_message(self, message: Message, reserved_bytes: int) -> None:
        self.open_messages[message.number] = message
        self._reserved_bytes[message.number] = reserved_bytes
        self._open_bytes += reserved_bytes

    def _free_reservation(self, message: Message) -> None:
        self._open_bytes -= self._reserved_bytes.pop(message.number)

    def _keep_id_unless_returned(self, message: Message) -> None:
        # A publisher that lost its connection before the confirm publishes the same id again. Without the ids
        # of finished messages, a payment that had ended by then would be sent a second time, after a restart
        # too. A returned message may be submitted again under its id, and must not be taken for a duplicate.
        if message.final is None or message.final.state is not FinalState.RETURNED:
            self._add_finished_id(message.id)

    def _add_finished_id(self, message_id: str) -> None:
        self.finished_ids[message_id] = size = len(encode_finished_id(message_id))
        self._finished_bytes += size
        while self._finished_bytes > self._max_finished_bytes:
            self._finished_bytes -= self.finished_ids.pop(next(iter(self.finished_ids)))

    def _set_blocked(self, endpoint_id: str, blocked: bool) -> None:
        if blocked:
            self.blocked_endpoints[endpoint_id] = None
        else:
            self.blocked_endpoints.pop(endpoint_id, None)

    def _accepted_record(self, message: Message) -> bytes:
        number = self._written_rules_number(message.rules) if message.rules else None
        return encode_accepted(message, number)

    def _written_rules_number(self, rules: DeliveryRules) -> int:
        """Return the number of these rules, and write their record first if the file does not have it."""
        self._rules.latest = rules
        if rules not in self._rules.numbers:
            number = self._rules.next_number()
            self._append(encode_rules(number, rules))
            self._rules.numbers[rules] = number
        return self._rules.numbers[rules]

    # --- the file ---------------------------------------------------------------------------------

    def _append(self, record: bytes) -> None:
        if self.incomplete:
            self._repair()
        elif self.size_bytes + len(record) > self.limit_bytes:
            self._rewrite()
        was_incomplete, self.incomplete = self.incomplete, True
        try:
            written = os.write(self._fd, record)
        except OSError as error:
            raise JournalFullError(f"write to {self.path}: {error}") from None
        if written < len(record):
            raise JournalFullError(f"write to {self.path}: {written} of {len(record)} bytes were written")
        self.incomplete = was_incomplete
        self.size_bytes += written
        if self.observer is not None:
            self.observer.appended(record)

    def _repair(self) -> None:
        """Write the file anew after a failed write, or at least cut off the part of a record at its end.

        Replay ends at a record that was cut short, so everything appended behind it would be lost.

        Raises:
            JournalFullError: Neither is possible now.
        """
        try:
            self._rewrite()
        except JournalFullError:
            try:
                os.ftruncate(self._fd, self.size_bytes)
            except OSError as error:
                raise JournalFullError(f"ftruncate of {self.path}: {error}") from None

    def _rewrite(self) -> None:
        numbers_in_file = self._rules.numbers
        self._rules.keep({message.rules for message in self.open_messages.values()})
        data = b"".join(self._snapshot())
        try:
            fd = self._replace_file(data)
        except JournalFullError:
            self._rules.numbers = numbers_in_file
            raise
        self._close_descriptor()
        self._fd = fd
        self.size_bytes = len(data)
        self.incomplete = False
        if self.observer is not None:
            self._report_rewrite(self.observer, data)

    def _report_rewrite(self, observer: JournalObserver, data: bytes) -> None:
        try:
            observer.rewritten(data)
        except OSError as error:
            self.incomplete = True  # the next record is preceded by another rewrite, which is reported
            raise JournalFullError(f"the rewrite of {self.path} cannot be replicated: {error}") from None

    def _replace_file(self, data: bytes) -> int:
        """Replace the file by one with this content; return its descriptor. On an error the old one stays."""
        fd = self._write_new_file(data)
        try:
            os.rename(self._new_path, self.path)
        except OSError as error:
            self._discard_new_file(fd)
            raise JournalFullError(f"rename to {self.path}: {error}") from None
        return fd

    def _snapshot(self) -> Iterator[bytes]:
        """Yield the records of a file that holds only the current state."""
        for message_id in self.finished_ids:
            yield encode_finished_id(message_id)
        for endpoint_id in self.blocked_endpoints:
            yield encode_endpoint_blocked(endpoint_id, True)
        for rules, number in self._rules.numbers.items():
            yield encode_rules(number, rules)
        for message in self.open_messages.values():
            yield self._accepted_record(message)
            if message.attempts:
                yield encode_progress(message)
            if message.final:
                yield encode_final_result(message, message.final)

    def _write_new_file(self, data: bytes) -> int:
        """Write the file that is to replace the current one, and return its descriptor."""
        fd = NO_FILE
        try:
            fd = os.open(self._new_path, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_APPEND, 0o600)
            written = os.write(fd, data)
        except OSError as error:
            self._discard_new_file(fd)
            raise JournalFullError(f"write to {self._new_path}: {error}") from None
        if written < len(data):
            self._discard_new_file(fd)
            raise JournalFullError(f"write to {self._new_path}: {written} of {len(data)} bytes were written")
        return fd

    def _discard_new_file(self, fd: int) -> None:
        with suppress(OSError):
            if fd != NO_FILE:
                os.close(fd)
        with suppress(OSError):
            self._new_path.unlink(missing_ok=True)

    # --- replay -----------------------------------------------------------------------------------

    def _replay(self, record: Record, record_bytes: int) -> None:
        match record:
            case Accepted(message, rules_number):
                message.rules = self._rules.find(rules_number)
                self._add_open_message(message, record_bytes + PROGRESS_BYTES)
            case FinishedId(message_id):
                self._add_finished_id(message_id)
            case EndpointBlocked(endpoint_id, blocked):
                self._set_blocked(endpoint_id, blocked)
            case RulesNumbered(rules_number, rules):
                self._rules.define(rules_number, rules)
            case _:
                known = self.open_messages.get(record.number)
                if known is not None:
                    self._replay_progress(known, record)

    def _replay_progress(self, message: Message, record: ProgressRecord) -> None:
        if isinstance(record, MessageEnded):
            del self.open_messages[message.number]
            self._free_reservation(message)
            self._keep_id_unless_returned(message)
        else:
            apply_progress(message, record)
