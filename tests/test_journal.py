"""The journal: what is owed comes back whatever the file went through, within its bounds."""

import os
import struct

import orjson
import pytest

from pinspread.core.journal import Journal
from pinspread.core.journal_records import frame, payloads
from pinspread.core.messages import DeliveryRules, FinalResult, FinalState, Message
from pinspread.errors import JournalFormatError, JournalFullError
from pinspread.policy.settings import TrafficClass


def message(number, body=b"body", **more):
    return Message(number, f"id{number}", "payment", "north", 1, 7, "ab12", 10**15, body=body, **more)


def opened(folder, limit=100_000):
    journal = Journal(folder, limit)
    return journal, journal.recover()


def used(folder):
    return sum(-(-f.stat().st_size // 512) * 512 for f in folder.iterdir())


def test_open_messages_are_recovered_in_order_with_their_attempts_and_final_results(tmp_path):
    journal, _ = opened(tmp_path)
    held = [message(n, bytes(range(256))) for n in range(1, 6)]
    for t in held:
        journal.message_accepted(t)
    journal.attempt_started(held[0], 0, 111)
    journal.attempt_ended(held[0], 0, True)
    journal.attempt_started(held[1], 0, 222)
    journal.attempt_ended(held[1], 0, False)
    journal.attempt_started(held[1], 1, 333)
    journal.final_result(held[2], FinalResult(FinalState.RETURNED, 500))
    journal.message_ended(held[3])
    for _ in range(2):  # from the appended records, then from the rewritten file
        journal.close()
        journal, back = opened(tmp_path)
        assert [t.number for t in back] == [1, 2, 3, 5] and back[0].body == bytes(range(256))
        assert [(t.attempts, t.may_have_run_unix_us, t.in_flight_since_unix_us) for t in back[:2]] == [
            (1, 111, 0),
            (2, 0, 333),
        ]
        assert list(journal.finished_ids) == ["id4"]
        assert back[2].final == FinalResult(FinalState.RETURNED, 500) and back[0] == held[0]


@pytest.mark.parametrize("cut", range(1, 40))
def test_a_torn_tail_costs_only_the_torn_record(tmp_path, cut):
    journal, _ = opened(tmp_path)
    journal.message_accepted(message(1))
    size = journal.size_bytes
    journal.message_accepted(message(2))
    os.truncate(journal.path, max(size, journal.size_bytes - cut))
    journal.close()
    assert [t.number for t in opened(tmp_path)[1]] == [1]


@pytest.mark.parametrize("data", [b"", b"\0" * 64, b"\xff" * 64, b"\5\0\0\0" + b"x" * 9])
def test_garbage_holds_no_records(data):
    assert list(payloads(data)) == []


def test_a_flipped_bit_ends_the_replay_without_a_crash(tmp_path):
    journal, _ = opened(tmp_path)
    for n in (1, 2):
        journal.message_accepted(message(n))
    data = bytearray(journal.path.read_bytes())
    data[-3] ^= 1
    journal.path.write_bytes(data)
    assert [t.number for t in opened(tmp_path)[1]] == [1]


def test_old_and_new_file_together_stay_within_the_limit_and_full_is_said(tmp_path, monkeypatch):
    limit, most = 60_000, 0
    rename = os.rename

    def measured(*names):
        nonlocal most
        most = max(most, used(tmp_path))  # the moment at which both files are there
        rename(*names)

    monkeypatch.setattr(os, "rename", measured)
    journal, _ = opened(tmp_path, limit)
    held, full = [], 0
    for n in range(1, 3000):
        t = message(n, b"x" * 300)
        try:
            journal.message_accepted(t)
            held.append(t)
        except JournalFullError:
            full += 1
            journal.message_ended(held.pop(0))
        for attempt in range(3):
            journal.attempt_started(held[n % len(held)], attempt, n)
    assert full and 0 < most <= limit and used(tmp_path) <= limit
    journal.close()
    assert [t.number for t in opened(tmp_path, limit)[1]] == [t.number for t in held]


def test_a_short_write_is_taken_back_so_that_later_records_are_not_lost(tmp_path, monkeypatch):
    journal, _ = opened(tmp_path)
    journal.message_accepted(message(1))
    write = os.write
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda fd, data: write(fd, data[:20]))  # the disk is full
        with pytest.raises(JournalFullError):
            journal.message_accepted(message(2))
    journal.message_accepted(message(3))
    journal.close()
    assert [t.number for t in opened(tmp_path)[1]] == [1, 3]


def test_a_journal_of_before_rules_were_kept_is_read_and_one_of_a_newer_version_refused(tmp_path):
    told = {"id": "a", "cls": "payment", "tenant": "north", "dest": 1, "key": 0, "idempotency": ""}
    text = orjson.dumps(told | {"until_unix_us": 10**15, "front": "resp", "reply": {}})
    taken = struct.pack("<BQH", 1, 7, len(text)) + text + b"body"
    path = tmp_path / "journal"
    path.write_bytes(frame(taken))
    old = Journal(str(tmp_path), 3_000_000)
    (found,) = old.recover()
    assert (found.number, found.body, found.rules) == (7, b"body", None)
    old.close()
    path.write_bytes(path.read_bytes() + frame(bytes([99]) + bytes(8)))
    before = path.read_bytes()
    with pytest.raises(JournalFormatError, match="kind 99"):
        Journal(str(tmp_path), 3_000_000).recover()
    assert path.read_bytes() == before  # nothing was written over it


def test_rules_that_the_settings_gave_to_an_older_versions_message_stand_in_the_next_file(tmp_path):
    journal, _ = opened(tmp_path)
    journal.message_accepted(message(1))
    t = journal.open_messages[1]
    t.rules = DeliveryRules(
        TrafficClass(latency_objective_ns=1, deadline_ns=2), 3
    )  # as at the start that recovers it
    journal._rewrite()
    journal.close()
    assert opened(tmp_path)[1][0].rules == t.rules
