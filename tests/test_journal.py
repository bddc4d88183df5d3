"""The journal: pending messages are recovered from damaged, truncated and old files; its size is bounded."""

import os
import struct

import orjson
import pytest

from pinspread.core.journal import Journal
from pinspread.core.journal_records import frame, payloads
from pinspread.core.messages import DeliveryRules, FinalResult, FinalState, Message
from pinspread.errors import JournalFormatError, JournalFullError
from pinspread.policy.settings import TrafficClass


def make_message(number, body=b"body", **fields):
    return Message(number, f"id{number}", "payment", "north", 1, 7, "ab12", 10**15, body=body, **fields)


def open_journal(folder, limit=100_000):
    journal = Journal(folder, limit)
    return journal, journal.recover()


def disk_usage(folder):
    return sum(-(-f.stat().st_size // 512) * 512 for f in folder.iterdir())


def test_open_messages_are_recovered_in_order_with_their_attempts_and_final_results(tmp_path):
    journal, _ = open_journal(tmp_path)
    messages = [make_message(n, bytes(range(256))) for n in range(1, 6)]
    for message in messages:
        journal.message_accepted(message)
    journal.attempt_started(messages[0], 0, 111)
    journal.attempt_ended(messages[0], 0, True)
    journal.attempt_started(messages[1], 0, 222)
    journal.attempt_ended(messages[1], 0, False)
    journal.attempt_started(messages[1], 1, 333)
    journal.final_result(messages[2], FinalResult(FinalState.RETURNED, 500))
    journal.message_ended(messages[3])
    for _ in range(2):  # first from the appended records, then from the rewritten file
        journal.close()
        journal, recovered = open_journal(tmp_path)
        assert [m.number for m in recovered] == [1, 2, 3, 5] and recovered[0].body == bytes(range(256))
        assert [(m.attempts, m.may_have_run_unix_us, m.in_flight_since_unix_us) for m in recovered[:2]] == [
            (1, 111, 0),
            (2, 0, 333),
        ]
        assert list(journal.finished_ids) == ["id4"]
        assert recovered[2].final == FinalResult(FinalState.RETURNED, 500) and recovered[0] == messages[0]


@pytest.mark.parametrize("cut", range(1, 40))
def test_a_torn_tail_costs_only_the_torn_record(tmp_path, cut):
    journal, _ = open_journal(tmp_path)
    journal.message_accepted(make_message(1))
    size = journal.size_bytes
    journal.message_accepted(make_message(2))
    os.truncate(journal.path, max(size, journal.size_bytes - cut))
    journal.close()
    assert [m.number for m in open_journal(tmp_path)[1]] == [1]


@pytest.mark.parametrize("data", [b"", b"\0" * 64, b"\xff" * 64, b"\5\0\0\0" + b"x" * 9])
def test_garbage_holds_no_records(data):
    assert list(payloads(data)) == []


def test_a_flipped_bit_ends_the_replay_without_a_crash(tmp_path):
    journal, _ = open_journal(tmp_path)
    for n in (1, 2):
        journal.message_accepted(make_message(n))
    data = bytearray(journal.path.read_bytes())
    data[-3] ^= 1
    journal.path.write_bytes(data)
    assert [m.number for m in open_journal(tmp_path)[1]] == [1]


def test_old_and_new_file_together_stay_within_the_limit_and_a_full_journal_raises(tmp_path, monkeypatch):
    limit, peak_bytes = 60_000, 0
    rename = os.rename

    def measure_and_rename(*paths):
        nonlocal peak_bytes
        peak_bytes = max(peak_bytes, disk_usage(tmp_path))  # here both files exist
        rename(*paths)

    monkeypatch.setattr(os, "rename", measure_and_rename)
    journal, _ = open_journal(tmp_path, limit)
    messages, full_errors = [], 0
    for n in range(1, 3000):
        message = make_message(n, b"x" * 300)
        try:
            journal.message_accepted(message)
            messages.append(message)
        except JournalFullError:
            full_errors += 1
            journal.message_ended(messages.pop(0))
        for attempt in range(3):
            journal.attempt_started(messages[n % len(messages)], attempt, n)
    assert full_errors and 0 < peak_bytes <= limit and disk_usage(tmp_path) <= limit
    journal.close()
    assert [m.number for m in open_journal(tmp_path, limit)[1]] == [m.number for m in messages]


def test_a_short_write_is_taken_back_so_that_later_records_are_not_lost(tmp_path, monkeypatch):
    journal, _ = open_journal(tmp_path)
    journal.message_accepted(make_message(1))
    write = os.write
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda fd, data: write(fd, data[:20]))  # the disk is full
        with pytest.raises(JournalFullError):
            journal.message_accepted(make_message(2))
    journal.message_accepted(make_message(3))
    journal.close()
    assert [m.number for m in open_journal(tmp_path)[1]] == [1, 3]


def test_a_journal_of_before_rules_were_kept_is_read_and_one_of_a_newer_version_refused(tmp_path):
    stored_fields = {"id": "a", "cls": "payment", "tenant": "north", "dest": 1, "key": 0, "idempotency": ""}
    text = orjson.dumps(stored_fields | {"until_unix_us": 10**15, "front": "resp", "reply": {}})
    payload = struct.pack("<BQH", 1, 7, len(text)) + text + b"body"
    path = tmp_path / "journal"
    path.write_bytes(frame(payload))
    old = Journal(str(tmp_path), 3_000_000)
    (recovered,) = old.recover()
    assert (recovered.number, recovered.body, recovered.rules) == (7, b"body", None)
    old.close()
    path.write_bytes(path.read_bytes() + frame(bytes([99]) + bytes(8)))
    before = path.read_bytes()
    with pytest.raises(JournalFormatError, match="kind 99"):
        Journal(str(tmp_path), 3_000_000).recover()
    assert path.read_bytes() == before  # the file was not changed


def test_rules_that_the_settings_gave_to_an_older_versions_message_stand_in_the_next_file(tmp_path):
    journal, _ = open_journal(tmp_path)
    journal.message_accepted(make_message(1))
    message = journal.open_messages[1]
    # At recovery, a message that an older version accepted gets its rules from the settings.
    message.rules = DeliveryRules(TrafficClass(latency_objective_ns=1, deadline_ns=2), 3)
    journal._rewrite()
    journal.close()
    assert open_journal(tmp_path)[1][0].rules == message.rules


def test_hundreds_of_attempts_that_were_never_written_keep_no_record_from_the_file(tmp_path):
    """Guards against a journal that cannot be written any more, and a process that ends by it."""
    journal, _ = open_journal(tmp_path)
    message = make_message(1, attempts=300)
    journal.message_accepted(message)
    journal.attempt_started(message, 299, 111)
    journal.begin()
    journal.attempt_ended(message, 299, True)
    journal.attempt_started(message, 300, 222)
    journal.begin()
    journal.close()
    _, (recovered,) = open_journal(tmp_path)
    assert (recovered.may_have_run_unix_us, recovered.in_flight_since_unix_us) == (111, 222)
    assert recovered.attempts >= 255
