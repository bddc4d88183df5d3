"""The journal: append-only checksummed records of what is owed, in the folder that lasts.

A record is its payload's length and CRC-32 (little-endian u32 each), then the payload: a type byte, the
transaction's number (u64) and the type's fields. Nothing is synced: written data outlasts the process.
"""

import os
import struct
from pathlib import Path

import orjson

from pinspread.core.journal_records import HEADER_BYTES, frame, payloads
from pinspread.core.messages import DeliveryRules, FinalResult, FinalState, Message
from pinspread.errors import JournalFormatError, JournalFullError
from pinspread.policy.settings import DeduplicationScope, Idempotency, TrafficClass

_NUMBER = struct.Struct("<BQ")
_BRANCH = struct.Struct("<BQBQ")  # number, when it was written (Unix microseconds)
_BRANCH_END = struct.Struct("<BQBB")  # number, whether it may have run
_FINAL = struct.Struct("<BQBI")  # state, after_ms
_SUMMARY = struct.Struct("<BQBQQ")  # branches, first that may have run, the one that is out
_ZONE = struct.Struct("<BQB")  # where its branch went, for those whose repeats are dropped by zone
_TAKEN = struct.Struct("<BQH")  # length of the JSON that comes before the body
TAKEN, BRANCH, BRANCH_END, FINAL, ENDED, SUMMARY, PAST, BAN, UNBAN, RULES, ZONE = range(1, 12)

# What a live transaction adds to its TAKEN record.
SMALL = 3 * HEADER_BYTES + _SUMMARY.size + _FINAL.size + _ZONE.size
# The stored keys of an accepted message, and the fields of `Message` that hold them.
STORED_FIELDS = {
    "id": "id",
    "cls": "class_name",
    "tenant": "tenant",
    "dest": "destination",
    "key": "key",
    "idempotency": "idempotency_key",
    "until_unix_us": "deadline_unix_us",
    "front": "front",
    "reply": "reply",
}
# The same for a traffic class among the stored delivery rules.
STORED_CLASS_FIELDS = {
    "aim_ns": "latency_objective_ns",
    "deadline_ns": "deadline_ns",
    "effect": "effect",
    "group": "group",
    "window_ns": "deduplication_window_ns",
    "late_share": "late_value_share",
    "worth": "priority_weight",
    "in_order": "in_order",
}


class Journal:
    """One file, rewritten with what is still owed when it has grown; old and new together stay in bounds."""

    def __init__(self, folder: str, limit_bytes: int):
        self.path = Path(folder) / "journal"
        self.fresh = Path(folder) / "journal.new"
        self.resize(limit_bytes)
        self.fd = -1
        self.observer = None  # hears every byte that is written: `appended(record)`, `rewritten(data)`
        self._forget()

    def _forget(self):
        self.size_bytes = 0
        self.live_bytes = 0
        self.open_messages: dict[int, Message] = {}
        self.sizes: dict[int, int] = {}
        self.finished_ids: dict[
            str, int
        ] = {}  # ids that are over, oldest first, and the sizes of their records
        self.past_bytes = 0
        self.blocked_endpoints: dict[str, None] = {}  # endpoints that operators have taken out
        self.rules: dict[DeliveryRules, int] = {}  # those that records name, and their numbers
        self.latest: DeliveryRules | None = None
        self.numbered: dict[int, DeliveryRules] = {}  # number -> rules, while the file is read

    def resize(self, limit_bytes: int):
        """Another bound counts from now on; a file that is over it is rewritten at its next record."""
        # Danger: while it is rewritten both files count, each in whole blocks; the sum must stay under.
        self.limit_bytes = limit_bytes * 48 // 100
        self.most_live = self.limit_bytes * 85 // 100
        self.most_past = (
            self.limit_bytes * 5 // 100
        )  # the rest is for branches and ends, which are never refused

    def recover(self) -> list[Message]:
        """Recover what is owed, in the order taken, and start a fresh file with it."""
        self.read()
        self.begin()
        return list(self.open_messages.values())

    def read(self):
        """Recover what is owed; nothing is written."""
        data = self.path.read_bytes() if self.path.exists() else b""
        self._forget()
        for payload in payloads(data):
            self._replay(payload)

    def begin(self):
        """Start a fresh file with what is owed; from now on this process is the one that writes."""
        self.fresh.unlink(missing_ok=True)  # never renamed: the old file is still whole
        self._rewrite()

    def close(self):
        """Write nothing any more."""
        os.close(self.fd)
        self.fd = -1

    # --- records ----------------------------------------------------------------------------------

    def message_accepted(self, message: Message):
        """Before the caller is told that it was taken on."""
        record = self._taken(message)
        need = len(record) + SMALL
        if self.live_bytes + need > self.most_live:
            raise JournalFullError("what is owed fills the journal")
        self._append(record)
        self._hold(message, need)

    def message_taken_over(self, message: Message):
        """What another courier took on and this one takes over, with what is known of its branches."""
        t, record = message, self._taken(message)
        need = len(record) + SMALL
        if self.live_bytes + need > self.most_live:
            raise JournalFullError("what is owed fills the journal")
        self._append(record + (_summary(t) if t.attempts or t.may_have_run_unix_us else b""))
        self._hold(t, need)
        if t.final:
            self.final_result(t, t.final)

    def release(self, messages):
        """Owe these no longer: another courier does. Their ids are over; the next rewrite has it so."""
        for t in messages:
            self.live_bytes -= self.sizes.pop(t.number)
            del self.open_messages[t.number]
            self._past_id(t.id)

    def attempt_started(self, message: Message, number: int, unix_us: int):
        """Before the last byte of its call is written."""
        message.in_flight_since_unix_us = unix_us
        message.attempts = max(message.attempts, number + 1)
        if _by_zone(message):
            self._append(_zone(message))
        self._append(frame(_BRANCH.pack(BRANCH, message.number, number, unix_us)))

    def attempt_ended(self, message: Message, number: int, may_have_run: bool):
        """When a branch that was written has an outcome that does not end its transaction."""
        _end_branch(message, may_have_run)
        self._append(frame(_BRANCH_END.pack(BRANCH_END, message.number, number, may_have_run)))

    def final_result(self, message: Message, final: FinalResult):
        """When the final answer is decided and still has to be heard."""
        message.final = final
        self._append(frame(_FINAL.pack(FINAL, message.number, final.state, final.retry_after_ms)))

    def message_ended(self, message: Message):
        """When nothing is owed any more."""
        if self.open_messages.pop(message.number, None) is None:
            return
        self.live_bytes -= self.sizes.pop(message.number)
        self._remember(message)
        self._append(frame(_NUMBER.pack(ENDED, message.number)))

    def endpoint_blocked(self, id_: str, out: bool):
        """Before an operator is told that an endpoint is out, or back."""
        self._append(_named(BAN if out else UNBAN, id_))
        self._ban(id_, out)

    def _ban(self, id_, out):
        if out:
            self.blocked_endpoints[id_] = None
        else:
            self.blocked_endpoints.pop(id_, None)

    def _taken(self, t):
        told = {key: getattr(t, field) for key, field in STORED_FIELDS.items()}
        if t.rules:
            told["rules"] = self._number(t.rules)
        text = orjson.dumps(told)
        return frame(_TAKEN.pack(TAKEN, t.number, len(text)) + text + t.body)

    def _number(self, rules):
        """The number of these rules, which stand in the file before it is used."""
        self.latest = rules
        if rules not in self.rules:
            number = max(self.rules.values(), default=0) + 1
            self._append(_rules(number, rules))
            self.rules[rules] = number
        return self.rules[rules]

    # --- the file ---------------------------------------------------------------------------------

    def _hold(self, message, need):
        self.open_messages[message.number] = message
        self.sizes[message.number] = need
        self.live_bytes += need

    def _remember(self, message):
        # Danger: a publisher that lost its connection before the confirm publishes the same id again, and
        # a payment that was over by then would go a second time, after a restart too. What was returned
        # may come again under its id: it must not be taken for such a repeat.
        if message.final is None or message.final.state is not FinalState.RETURNED:
            self._past_id(message.id)

    def _past_id(self, id_):
        self.finished_ids[id_] = size = len(_past(id_))
        self.past_bytes += size
        while self.past_bytes > self.most_past:
            self.past_bytes -= self.finished_ids.pop(next(iter(self.finished_ids)))

    def _append(self, record):
        if self.size_bytes + len(record) > self.limit_bytes:
            self._rewrite()
        try:
            written = os.write(self.fd, record)
        except OSError as error:
            raise JournalFullError(str(error)) from None
        if written < len(record):
            # Danger: replay ends at a torn record, and all that was appended behind it would be lost.
            os.ftruncate(self.fd, self.size_bytes)
            raise JournalFullError("a record was cut short")
        self.size_bytes += written
        if self.observer is not None:
            self.observer.appended(record)

    def _rewrite(self):
        parts = [_past(id_) for id_ in self.finished_ids] + [
            _named(BAN, id_) for id_ in self.blocked_endpoints
        ]
        # Danger: settings change all day; rules that nothing goes by any more would fill the file.
        # The latest stay, for the record that is about to name them may be what made the file too long.
        used = {t.rules for t in self.open_messages.values()} | {self.latest}
        self.rules = {rules: n for rules, n in self.rules.items() if rules in used}
        # Danger: what an older version took has its rules from the settings; a number given only while
        # this file is being written would be named in it and told nowhere.
        for rules in used - self.rules.keys() - {None}:
            self.rules[rules] = max(self.rules.values(), default=0) + 1
        parts += [_rules(n, rules) for rules, n in self.rules.items()]
        for t in self.open_messages.values():
            parts.append(self._taken(t))
            if t.attempts:
                parts.append(_summary(t))
            if t.final:
                parts.append(frame(_FINAL.pack(FINAL, t.number, t.final.state, t.final.retry_after_ms)))
        data = b"".join(parts)
        fd = -1
        try:
            fd = os.open(self.fresh, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_APPEND, 0o600)
            if os.write(fd, data) < len(data):
                raise OSError("the journal could not be rewritten")
        except OSError as error:
            if fd >= 0:
                os.close(fd)
            self.fresh.unlink(missing_ok=True)
            raise JournalFullError(str(error)) from None
        os.rename(self.fresh, self.path)
        if self.fd >= 0:
            os.close(self.fd)
        self.fd = fd
        self.size_bytes = len(data)
        if self.observer is not None:
            self.observer.rewritten(data)

    def _replay(self, payload):
        kind = payload[0]
        if kind > ZONE:
            # Danger: passed over, what a newer version recorded would be done again, or never.
            raise JournalFormatError(
                f"{self.path}: a record of kind {kind} of a newer version: start that one"
            )
        if kind == TAKEN:
            _, number, size = _TAKEN.unpack_from(payload)
            at = _TAKEN.size
            told = orjson.loads(payload[at : at + size])
            message = Message(number, body=bytes(payload[at + size :]), **_message_fields(told))
            message.rules = self.numbered.get(told.get("rules", 0))
            self._hold(message, HEADER_BYTES + len(payload) + SMALL)
            return
        _, number = _NUMBER.unpack_from(payload)
        if kind == PAST:
            self._past_id(str(payload[_NUMBER.size :], "utf-8"))
            return
        if kind == RULES:
            self.numbered[number] = rules = _read_rules(bytes(payload[_NUMBER.size :]))
            self.rules[rules] = number
            return
        if kind in (BAN, UNBAN):
            self._ban(str(payload[_NUMBER.size :], "utf-8"), kind == BAN)
            return
        message = self.open_messages.get(number)
        if message is None:
            return
        if kind == BRANCH:
            *_, n, unix_us = _BRANCH.unpack(payload)
            # Danger: one that was out at a kill has no end here; the next would hide that it may have run.
            message.may_have_run_unix_us = message.may_have_run_unix_us or message.in_flight_since_unix_us
            message.attempts = max(message.attempts, n + 1)
            message.in_flight_since_unix_us = unix_us
        elif kind == BRANCH_END:
            _end_branch(message, _BRANCH_END.unpack(payload)[3])
        elif kind == FINAL:
            *_, state, retry_after_ms = _FINAL.unpack(payload)
            message.final = FinalResult(FinalState(state), retry_after_ms)
        elif kind == SUMMARY:
            (
                *_,
                message.attempts,
                message.may_have_run_unix_us,
                message.in_flight_since_unix_us,
            ) = _SUMMARY.unpack(payload)
        elif kind == ZONE:
            *_, message.zone = _ZONE.unpack(payload)
        elif kind == ENDED:
            del self.open_messages[number]
            self.live_bytes -= self.sizes.pop(number)
            self._remember(message)


def _summary(t):
    told = frame(
        _SUMMARY.pack(SUMMARY, t.number, t.attempts, t.may_have_run_unix_us, t.in_flight_since_unix_us)
    )
    return told + (_zone(t) if _by_zone(t) else b"")


def _zone(t):
    return frame(_ZONE.pack(ZONE, t.number, t.zone))


def _by_zone(t):
    return (
        t.rules is not None
        and t.rules.traffic_class.effect is Idempotency.WITH_KEY
        and t.rules.traffic_class.group is DeduplicationScope.ZONE
    )


def _message_fields(stored):
    return {field: stored[key] for key, field in STORED_FIELDS.items() if key in stored}


def _rules(number, rules):
    cls = {key: getattr(rules.traffic_class, field) for key, field in STORED_CLASS_FIELDS.items()}
    return frame(_NUMBER.pack(RULES, number) + orjson.dumps({"cls": cls, "max_attempts": rules.max_attempts}))


def _read_rules(payload):
    stored = orjson.loads(payload)
    cls = {field: stored["cls"][key] for key, field in STORED_CLASS_FIELDS.items() if key in stored["cls"]}
    cls |= {"effect": Idempotency(cls["effect"]), "group": DeduplicationScope(cls["group"])}
    return DeliveryRules(TrafficClass(**cls), stored["max_attempts"])


def _past(id_):
    return _named(PAST, id_)


def _named(kind, id_):
    return frame(_NUMBER.pack(kind, 0) + id_.encode())


def _end_branch(message, may_have_run):
    if may_have_run and not message.may_have_run_unix_us:
        message.may_have_run_unix_us = message.in_flight_since_unix_us
    message.in_flight_since_unix_us = 0
