"""Stored data: the inputs of the files under `tests/data/stored/`, and the content that they must be read to.

Stored keys and bytes never change, but names in the code do. The section "adapter" maps stored names to those
of the code, and is the only part that a rename in the code affects. `tools/stored_data.py` writes the files
with the functions after it; the tests compare the code's results with the files.
"""

import json
import struct
import zlib
from pathlib import Path

from pinspread.core.journal import Journal, JournalFormatError, JournalFullError  # noqa: F401  used by tests
from pinspread.core.messages import DeliveryRules, FinalResult, FinalState, Message
from pinspread.policy.settings import DeduplicationScope, Idempotency, TrafficClass

DATA = Path(__file__).parent / "data" / "stored"

# --- adapter: stored names (left) and those of the code (right) -----------------------------------

MESSAGE_FIELDS = {
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
PROGRESS_FIELDS = {  # in the records that follow an `Accepted` record
    "attempts": "attempts",
    "may_have_run_unix_us": "may_have_run_unix_us",
    "out_since_unix_us": "in_flight_since_unix_us",
    "zone": "zone",
}
CLASS_FIELDS = {
    "aim_ns": "latency_objective_ns",
    "deadline_ns": "deadline_ns",
    "effect": "effect",
    "group": "group",
    "window_ns": "deduplication_window_ns",
    "late_share": "late_value_share",
    "worth": "priority_weight",
    "in_order": "in_order",
}


def rules(stored_rules):
    """Return the delivery rules for `{"cls": {...}, "max_attempts": n}`, or None."""
    if stored_rules is None:
        return None
    fields = {CLASS_FIELDS[name]: value for name, value in stored_rules["cls"].items()}
    fields[CLASS_FIELDS["effect"]] = Idempotency(stored_rules["cls"]["effect"])
    fields[CLASS_FIELDS["group"]] = DeduplicationScope(stored_rules["cls"]["group"])
    return DeliveryRules(TrafficClass(**fields), stored_rules["max_attempts"])


def rules_as_stored(delivery_rules):
    """Return delivery rules in the form that `rules` reads."""
    if delivery_rules is None:
        return None
    fields = {name: getattr(delivery_rules.traffic_class, field) for name, field in CLASS_FIELDS.items()}
    fields |= {"effect": fields["effect"].value, "group": fields["group"].value}
    return {"cls": fields, "max_attempts": delivery_rules.max_attempts}


def make_message(number, fields_as_stored, body="", stored_rules=None, **progress):
    """Return the message for the fields of an `Accepted` record, its body, rules and progress."""
    fields = {MESSAGE_FIELDS[name]: value for name, value in fields_as_stored.items()}
    fields |= {PROGRESS_FIELDS[name]: value for name, value in progress.items()}
    return Message(number, body=body.encode("latin-1"), rules=rules(stored_rules), **fields)


def message_as_stored(message):
    """Return a message in the form of the expected content."""
    stored_message = {
        "number": message.number,
        "body": message.body.decode("latin-1"),
        "rules": rules_as_stored(message.rules),
    }
    stored_message["told"] = {name: getattr(message, field) for name, field in MESSAGE_FIELDS.items()}
    stored_message |= {name: getattr(message, field) for name, field in PROGRESS_FIELDS.items()}
    return stored_message | {
        "final": [int(message.final.state), message.final.retry_after_ms] if message.final else None
    }


class Steps:
    """The journal's operations, under names that do not change; messages are identified by their numbers."""

    def __init__(self, folder, limit_bytes=1 << 20):
        self.journal = Journal(str(folder), limit_bytes)
        self.known = {message.number: message for message in self.journal.recover()}

    def taken(self, number, fields_as_stored, body, stored_rules):
        self.known[number] = make_message(number, fields_as_stored, body, stored_rules)
        self.journal.message_accepted(self.known[number])

    def adopted(self, number, fields_as_stored, body, stored_rules, progress, final):
        self.known[number] = message = make_message(number, fields_as_stored, body, stored_rules, **progress)
        message.final = FinalResult(FinalState(final[0]), final[1]) if final else None
        self.journal.message_taken_over(message)

    def attempt_started(self, number, attempt, unix_us, zone):
        self.known[number].zone = zone
        self.journal.attempt_started(self.known[number], attempt, unix_us)

    def attempt_ended(self, number, attempt, may_have_run):
        self.journal.attempt_ended(self.known[number], attempt, may_have_run)

    def final(self, number, state, retry_after_ms):
        self.journal.final_result(self.known[number], FinalResult(FinalState(state), retry_after_ms))

    def ended(self, number):
        self.journal.message_ended(self.known[number])

    def banned(self, id_, blocked):
        self.journal.endpoint_blocked(id_, blocked)

    def close(self):
        self.journal.close()


def content(folder):
    """Return the content that a journal is read to, under keys that do not change; nothing is written."""
    journal = Journal(str(folder), 1 << 20)
    journal.read()
    return {
        "open": [message_as_stored(message) for message in journal.open_messages.values()],
        "over": list(journal.finished_ids),
        "bans": list(journal.blocked_endpoints),
    }


# --- the journal ------------------------------------------------------------------------------------

JOURNAL_FILES = ("appended", "rewritten", "continued", "torn", "without-rules")


def _write(folder, steps):
    operations = Steps(folder)
    for name, *arguments in steps:
        getattr(operations, name)(*arguments)
    operations.close()
    return (Path(folder) / "journal").read_bytes()


def journals(folder):
    """Return the bytes of each of `JOURNAL_FILES`, as the current code writes them in an empty folder."""
    steps = json.loads((DATA / "journal.json").read_bytes())
    files = {"appended": _write(folder, steps["appended"]), "rewritten": _write(folder, [])}
    files["continued"] = _write(folder, steps["continued"])
    files["torn"] = files["continued"][: -steps["torn_by"]]
    (Path(folder) / "journal").unlink()
    return files | {"without-rules": _write(folder, steps["without-rules"])}


def replica_journals():
    """Return the bytes of three journals, to be replicated."""
    rewritten, old = ((DATA / "journal" / name).read_bytes() for name in ("rewritten", "without-rules"))
    return rewritten, old, old[:30]


def kinds(data):
    """Return the kinds of a journal's records in order, parsed without the code under test."""
    record_kinds, offset = [], 0
    while offset + 8 <= len(data):
        size, checksum = struct.unpack_from("<II", data, offset)
        payload = data[offset + 8 : offset + 8 + size]
        if len(payload) < size or zlib.crc32(payload) != checksum:
            break
        record_kinds.append(payload[0])
        offset += 8 + size
    return record_kinds
