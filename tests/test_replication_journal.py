"""The journal and replication: what a replica replays, and the limit on messages that are taken over."""

import pytest
from replication_helpers import message

from pinspread.core import journal_records
from pinspread.core.journal import Journal
from pinspread.core.messages import FinalResult, FinalState
from pinspread.errors import JournalFullError
from pinspread.replication.journal_bytes import replay


def test_a_replica_replays_to_the_open_messages_and_only_up_to_a_flipped_bit(tmp_path):
    class Recorder(bytearray):
        def appended(self, record):
            self.extend(record)

        def rewritten(self, data):
            self[:] = data

    journal, recorder = Journal(str(tmp_path), 3_000_000), Recorder()
    journal.observer = recorder
    journal.recover()
    for n in range(1, 6):
        journal.message_accepted(message(n))
    journal.attempt_started(journal.open_messages[2], 0, 77)
    journal.message_taken_over(
        message(9, attempts=2, may_have_run_unix_us=55, final=FinalResult(FinalState.FAILED, 3))
    )
    journal.message_ended(journal.open_messages[1])
    assert bytes(recorder) == journal.path.read_bytes()
    replayed = replay(bytes(recorder))
    pending, ended_ids = replayed.open_messages, replayed.finished_ids
    assert [entry.number for entry in pending] == [2, 3, 4, 5, 9] and ended_ids == {"id1"}
    assert pending[0].in_flight_since_unix_us == 77 and pending[-1].final == FinalResult(FinalState.FAILED, 3)
    assert (pending[-1].attempts, pending[-1].may_have_run_unix_us) == (2, 55)
    recorder[200] ^= 1
    assert journal_records.complete_bytes(recorder) < 200 and not journal_records.is_truncated(
        recorder, journal_records.complete_bytes(recorder)
    )
    truncated = journal.path.read_bytes()[:-3]
    assert journal_records.complete_bytes(truncated) < len(truncated) and journal_records.is_truncated(
        truncated, journal_records.complete_bytes(truncated)
    )
    journal.release([journal.open_messages[3]])
    assert "id3" in journal.finished_ids and 3 not in journal.open_messages


def test_what_is_taken_over_stays_within_the_journals_limit(tmp_path):
    journal = Journal(str(tmp_path), 3000)
    journal.recover()
    with pytest.raises(JournalFullError):
        for n in range(1, 100):
            journal.message_taken_over(message(n))
    assert 1 < len(journal.open_messages) < 20 and journal.path.stat().st_size <= 1440
