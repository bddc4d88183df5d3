"""Stored data: what the files under `tests/data/stored/` were written from, and what they must be read to.

Stored keys and bytes never change; names in the code do. The section "adapter" maps the one to the other, and
is the only part that a rename in the code touches. `tools/stored_data.py` writes the files by the functions
behind it; the tests compare with them.
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
PROGRESS_FIELDS = {  # in records of other kinds than TAKEN
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
    """The code's object for `{"cls": {...}, "max_attempts": n}`, or None."""
    if stored_rules is None:
        return None
    fields = {CLASS_FIELDS[name]: value for name, value in stored_rules["cls"].items()}
    fields[CLASS_FIELDS["effect"]] = Idempotency(stored_rules["cls"]["effect"])
    fields[CLASS_FIELDS["group"]] = DeduplicationScope(stored_rules["cls"]["group"])
    return DeliveryRules(TrafficClass(**fields), stored_rules["max_attempts"])


def rules_as_stored(found):
    """The reverse."""
    if found is None:
        return None
    fields = {name: getattr(found.traffic_class, at) for name, at in CLASS_FIELDS.items()}
    fields |= {"effect": fields["effect"].value, "group": fields["group"].value}
    return {"cls": fields, "max_attempts": found.max_attempts}


def message(number, fields_as_stored, body="", of=None, **progress):
    """The code's object for what a TAKEN record holds, its body and what is known of its attempts."""
    fields = {MESSAGE_FIELDS[name]: value for name, value in fields_as_stored.items()}
    fields |= {PROGRESS_FIELDS[name]: value for name, value in progress.items()}
    return Message(number, body=body.encode("latin-1"), rules=rules(of), **fields)


def message_as_stored(t):
    """The reverse, as the expected content has it."""
    found = {"number": t.number, "body": t.body.decode("latin-1"), "rules": rules_as_stored(t.rules)}
    found["told"] = {name: getattr(t, at) for name, at in MESSAGE_FIELDS.items()}
    found |= {name: getattr(t, at) for name, at in PROGRESS_FIELDS.items()}
    return found | {"final": [int(t.final.state), t.final.retry_after_ms] if t.final else None}


class Steps:
    """The journal's operations, by names that stay; a message is named by its number."""

    def __init__(self, folder, limit_bytes=1 << 20):
        self.journal = Journal(str(folder), limit_bytes)
        self.known = {t.number: t for t in self.journal.recover()}

    def taken(self, number, fields_as_stored, body, of):
        self.known[number] = message(number, fields_as_stored, body, of)
        self.journal.message_accepted(self.known[number])

    def adopted(self, number, fields_as_stored, body, of, progress, final):
        self.known[number] = t = message(number, fields_as_stored, body, of, **progress)
        t.final = FinalResult(FinalState(final[0]), final[1]) if final else None
        self.journal.message_taken_over(t)

    def attempt_started(self, number, attempt, unix_us, zone):
        self.known[number].zone = zone
        self.journal.attempt_started(self.known[number], attempt, unix_us)

    def attempt_ended(self, number, attempt, may_have_run):
        self.journal.attempt_ended(self.known[number], attempt, may_have_run)

    def final(self, number, state, retry_after_ms):
        self.journal.final_result(self.known[number], FinalResult(FinalState(state), retry_after_ms))

    def ended(self, number):
        self.journal.message_ended(self.known[number])

    def banned(self, id_, out):
        self.journal.endpoint_blocked(id_, out)

    def close(self):
        self.journal.close()


def content(folder):
    """What a journal is read to, in neutral words; nothing is written."""
    journal = Journal(str(folder), 1 << 20)
    journal.read()
    return {
        "open": [message_as_stored(t) for t in journal.open_messages.values()],
        "over": list(journal.finished_ids),
        "bans": list(journal.blocked_endpoints),
    }


# --- the journal ------------------------------------------------------------------------------------

JOURNAL_FILES = ("appended", "rewritten", "continued", "torn", "without-rules")


def _write(folder, steps):
    found = Steps(folder)
    for name, *words in steps:
        getattr(found, name)(*words)
    found.close()
    return (Path(folder) / "journal").read_bytes()


def journals(folder):
    """Bytes of each of `JOURNAL_FILES`, as the present code writes them in an empty folder."""
    steps = json.loads((DATA / "journal.json").read_bytes())
    found = {"appended": _write(folder, steps["appended"]), "rewritten": _write(folder, [])}
    found["continued"] = _write(folder, steps["continued"])
    found["torn"] = found["continued"][: -steps["torn_by"]]
    (Path(folder) / "journal").unlink()
    return found | {"without-rules": _write(folder, steps["without-rules"])}


def replica_journals():
    """Three pieces of journals, to be replicated."""
    rewritten, old = ((DATA / "journal" / name).read_bytes() for name in ("rewritten", "without-rules"))
    return rewritten, old, old[:30]


def kinds(data):
    """The kinds of a journal's records, in order; read by the layout alone."""
    found, at = [], 0
    while at + 8 <= len(data):
        size, checksum = struct.unpack_from("<II", data, at)
        payload = data[at + 8 : at + 8 + size]
        if len(payload) < size or zlib.crc32(payload) != checksum:
            break
        found.append(payload[0])
        at += 8 + size
    return found
