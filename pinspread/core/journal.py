"""The journal: an append-only file of what is owed, in the folder that outlasts the process.

`journal_records` has the form of its records. Nothing is synced to the disk: written data outlasts the
process, which is what it has to survive.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

from pinspread.core.journal_records import (
    HEADER_BYTES,
    PROGRESS_BYTES,
    Accepted,
    AttemptEnded,
    AttemptStarted,
    AttemptZone,
    EndpointBlocked,
    FinalResultDecided,
    FinishedId,
    MessageEnded,
    Progress,
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
from pinspread.core.messages import DeliveryRules, FinalResult, FinalState, Message
from pinspread.core.ports import JournalObserver
from pinspread.errors import JournalFormatError, JournalFullError

NO_FILE = -1  # in place of a descriptor
# While the file is rewritten the old one and the new one both count, each in whole blocks of the disk: their
# sum must stay under the limit. Of one file's share, accepted messages may fill so much and finished ids so
# much; the rest is for attempts and ends, which are never refused.
FILE_PERCENT = 48
OPEN_PERCENT = 85
FINISHED_PERCENT = 5


class Journal:
    """One file, rewritten with what is still owed when it has grown; old and new together stay in bounds.

    Attributes:
        path: The file.
        limit_bytes: How large the file may grow before it is rewritten.
        size_bytes: How large it is.
        observer: Is given every byte that is written, if there is one.
        open_messages: The messages that are owed, by number, in the order in which they were accepted.
        finished_ids: Ids of messages that have ended, oldest first, with the sizes of their records.
        blocked_endpoints: Ids of endpoints that operators have taken out of use; the values mean nothing.
    """

    def __init__(self, folder: str, limit_bytes: int) -> None:
        self.path = Path(folder) / "journal"
        self.observer: JournalObserver | None = None
        self.limit_bytes = 0
        self._new_path = Path(folder) / "journal.new"
        self._fd = NO_FILE
        self.resize(limit_bytes)
        self._forget()

    def _forget(self) -> None:
        self.size_bytes = 0
        self.open_messages: dict[int, Message] = {}
        self.finished_ids: dict[str, int] = {}
        self.blocked_endpoints: dict[str, None] = {}
        self._reserved_bytes: dict[int, int] = {}  # of each open message, its progress included
        self._open_bytes = 0
        self._finished_bytes = 0
        self._rules_numbers: dict[DeliveryRules, int] = {}  # of the rules that records name
        self._latest_rules: DeliveryRules | None = None
        self._rules_read: dict[int, DeliveryRules] = {}  # by number, while the file is read

    def resize(self, limit_bytes: int) -> None:
        """Have another limit count from now on; a file that is over it is rewritten at its next record.

        Args:
            limit_bytes: What the journal may take of the disk.
        """
        self.limit_bytes = limit_bytes * FILE_PERCENT // 100
        self._max_open_bytes = self.limit_bytes * OPEN_PERCENT // 100
        self._max_finished_bytes = self.limit_bytes * FINISHED_PERCENT // 100

    def recover(self) -> list[Message]:
        """Return what is owed, in the order in which it was accepted, and start a new file with it.

        Raises:
            JournalFormatError: A newer version wrote the file.
            JournalFullError: The file can't be written.
        """
        self.read()
        self.begin()
        return list(self.open_messages.values())

    def read(self) -> None:
        """Read what is owed; nothing is written.

        Raises:
            JournalFormatError: A newer version wrote the file.
        """
        data = self.path.read_bytes() if self.path.exists() else b""
        self._forget()
        for payload in payloads(data):
            try:
                record = decode(payload)
            except JournalFormatError as error:
                raise JournalFormatError(f"{self.path}: {error}") from None
            if record is not None:
                self._replay(record, HEADER_BYTES + len(payload))

    def begin(self) -> None:
        """Start a new file with what is owed; from now on this process is the one that writes.

        Raises:
            JournalFullError: The file can't be written; the old one is still whole.
        """
        self._new_path.unlink(missing_ok=True)  # it was never renamed: the old file is still whole
        self._rewrite()

    def close(self) -> None:
        """Write nothing any more."""
        os.close(self._fd)
        self._fd = NO_FILE

    # --- records: all raise JournalFullError where nothing was written ----------------------------

    def message_accepted(self, message: Message) -> None:
        """Record a message before its client is answered that it was accepted."""
        record = self._accepted_record(message)
        reserved_bytes = self._reservation(record)
        self._append(record)
        self._hold(message, reserved_bytes)

    def message_taken_over(self, message: Message) -> None:
        """Record a message that another node accepted, with what is known of its attempts."""
        record = self._accepted_record(message)
        reserved_bytes = self._reservation(record)
        known = message.attempts or message.may_have_run_unix_us
        self._append(record + (encode_progress(message) if known else b""))
        self._hold(message, reserved_bytes)
        if message.final:
            self.final_result(message, message.final)

    def release(self, messages: Iterable[Message]) -> None:
        """Drop these: another node took them over. Their ids are finished; the next rewrite has it so."""
        for message in messages:
            del self.open_messages[message.number]
            self._free(message)
            self._add_finished_id(message.id)

    def attempt_started(self, message: Message, attempt: int, unix_us: int) -> None:
        """Record an attempt before the last byte of its call is written, at this Unix time."""
        message.in_flight_since_unix_us = unix_us
        message.attempts = max(message.attempts, attempt + 1)
        if zone := encode_zone(message):
            self._append(zone)
        self._append(encode_attempt_started(message, attempt, unix_us))

    def attempt_ended(self, message: Message, attempt: int, may_have_run: bool) -> None:
        """Record that an attempt which was written has ended without ending its message."""
        _end_attempt(message, may_have_run)
        self._append(encode_attempt_ended(message, attempt, may_have_run))

    def final_result(self, message: Message, result: FinalResult) -> None:
        """Record a final result that is decided, and of which the client is still to be notified."""
        message.final = result
        self._append(encode_final_result(message, result))

    def message_ended(self, message: Message) -> None:
        """Record that nothing is owed for a message any more."""
        if self.open_messages.pop(message.number, None) is None:
            return
        self._free(message)
        self._remember(message)
        self._append(encode_message_ended(message))

    def endpoint_blocked(self, endpoint_id: str, blocked: bool) -> None:
        """Record that an endpoint is taken out of use, or back, before the operator is answered."""
        self._append(encode_endpoint_blocked(endpoint_id, blocked))
        self._set_blocked(endpoint_id, blocked)

    # --- what is owed -----------------------------------------------------------------------------

    def _reservation(self, record: bytes) -> int:
        """How many bytes a message needs in a rewritten file, whatever becomes of its attempts."""
        reserved_bytes = len(record) + PROGRESS_BYTES
        if self._open_bytes + reserved_bytes > self._max_open_bytes:
            raise JournalFullError("what is owed fills the journal")
        return reserved_bytes

    def _hold(self, message: Message, reserved_bytes: int) -> None:
        self.open_messages[message.number] = message
        self._reserved_bytes[message.number] = reserved_bytes
        self._open_bytes += reserved_bytes

    def _free(self, message: Message) -> None:
        self._open_bytes -= self._reserved_bytes.pop(message.number)

    def _remember(self, message: Message) -> None:
        # A publisher that lost its connection before the confirm publishes the same id again, and without
        # this a payment that had ended by then would go a second time, after a restart too. A message that
        # was returned may come again under its id: it must not be taken for such a duplicate.
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
        """The number of these rules, whose record stands in the file before the number is used."""
        self._latest_rules = rules
        if rules not in self._rules_numbers:
            number = self._next_rules_number()
            self._append(encode_rules(number, rules))
            self._rules_numbers[rules] = number
        return self._rules_numbers[rules]

    def _next_rules_number(self) -> int:
        return max(self._rules_numbers.values(), default=0) + 1

    # --- the file ---------------------------------------------------------------------------------

    def _append(self, record: bytes) -> None:
        if self.size_bytes + len(record) > self.limit_bytes:
            self._rewrite()
        try:
            written = os.write(self._fd, record)
        except OSError as error:
            raise JournalFullError(str(error)) from None
        if written < len(record):
            # Replay ends at a torn record: all that would be appended after it would be lost.
            os.ftruncate(self._fd, self.size_bytes)
            raise JournalFullError("a record was cut short")
        self.size_bytes += written
        if self.observer is not None:
            self.observer.appended(record)

    def _rewrite(self) -> None:
        self._renumber_rules()
        data = b"".join(self._snapshot())
        fd = self._write_new_file(data)
        os.rename(self._new_path, self.path)
        if self._fd != NO_FILE:
            os.close(self._fd)
        self._fd = fd
        self.size_bytes = len(data)
        if self.observer is not None:
            self.observer.rewritten(data)

    def _renumber_rules(self) -> None:
        """Have numbers for the rules that the new file needs, and no others."""
        # Settings change all day: rules that nothing goes by any more would fill the file. The latest stay,
        # for the record that is about to name them may be what made the file too long.
        used = {message.rules for message in self.open_messages.values()} | {self._latest_rules}
        self._rules_numbers = {
            rules: number for rules, number in self._rules_numbers.items() if rules in used
        }
        # What an older version accepted has its rules from the settings: a number given only while the new
        # file is being written would be named in it and explained nowhere.
        for rules in used - self._rules_numbers.keys():
            if rules is not None:
                self._rules_numbers[rules] = self._next_rules_number()

    def _snapshot(self) -> Iterator[bytes]:
        """Yield the records of a file that holds what is owed and nothing else."""
        for message_id in self.finished_ids:
            yield encode_finished_id(message_id)
        for endpoint_id in self.blocked_endpoints:
            yield encode_endpoint_blocked(endpoint_id, True)
        for rules, number in self._rules_numbers.items():
            yield encode_rules(number, rules)
        for message in self.open_messages.values():
            yield self._accepted_record(message)
            if message.attempts:
                yield encode_progress(message)
            if message.final:
                yield encode_final_result(message, message.final)

    def _write_new_file(self, data: bytes) -> int:
        """Write the file that is to replace the present one, and return its descriptor."""
        fd = NO_FILE
        try:
            fd = os.open(self._new_path, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_APPEND, 0o600)
            written = os.write(fd, data)
        except OSError as error:
            self._discard_new_file(fd)
            raise JournalFullError(str(error)) from None
        if written < len(data):
            self._discard_new_file(fd)
            raise JournalFullError("the journal could not be rewritten")
        return fd

    def _discard_new_file(self, fd: int) -> None:
        if fd != NO_FILE:
            os.close(fd)
        self._new_path.unlink(missing_ok=True)

    # --- replay -----------------------------------------------------------------------------------

    def _replay(self, record: Record, record_bytes: int) -> None:
        match record:
            case Accepted(message, rules_number):
                message.rules = self._rules_read.get(rules_number)
                self._hold(message, record_bytes + PROGRESS_BYTES)
            case FinishedId(message_id):
                self._add_finished_id(message_id)
            case EndpointBlocked(endpoint_id, blocked):
                self._set_blocked(endpoint_id, blocked)
            case RulesNumbered(rules_number, rules):
                self._rules_read[rules_number] = rules
                self._rules_numbers[rules] = rules_number
            case _:
                known = self.open_messages.get(record.number)
                if known is not None:
                    self._replay_progress(known, record)

    def _replay_progress(self, message: Message, record: ProgressRecord) -> None:
        match record:
            case AttemptStarted(_, attempt, unix_us):
                # One that was in flight when the process was killed has no end here; without this, the next
                # attempt would hide that it may have run.
                message.may_have_run_unix_us = message.may_have_run_unix_us or message.in_flight_since_unix_us
                message.attempts = max(message.attempts, attempt + 1)
                message.in_flight_since_unix_us = unix_us
            case AttemptEnded(_, _, may_have_run):
                _end_attempt(message, may_have_run)
            case FinalResultDecided(_, result):
                message.final = result
            case Progress(_, attempts, may_have_run_unix_us, in_flight_since_unix_us):
                message.attempts = attempts
                message.may_have_run_unix_us = may_have_run_unix_us
                message.in_flight_since_unix_us = in_flight_since_unix_us
            case AttemptZone(_, zone):
                message.zone = zone
            case MessageEnded():
                del self.open_messages[message.number]
                self._free(message)
                self._remember(message)


def _end_attempt(message: Message, may_have_run: bool) -> None:
    if may_have_run and not message.may_have_run_unix_us:
        message.may_have_run_unix_us = message.in_flight_since_unix_us
    message.in_flight_since_unix_us = 0
