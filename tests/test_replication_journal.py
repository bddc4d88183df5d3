"""The journal and replication: what a replica replays, and the limit on what is taken over."""

import pytest
from replication_helpers import message

from pinspread.core import journal_records
from pinspread.core.journal import Journal
from pinspread.core.messages import FinalResult, FinalState
from pinspread.errors import JournalFullError
from pinspread.replication.journal_bytes import replay


def test_a_replica_replays_to_what_was_owed_and_a_flipped_bit_ends_it_there(tmp_path):
    class Tap(bytearray):
        def appended(self, record):
            self.extend(record)

        def rewritten(self, data):
            self[:] = data

    journal, tap = Journal(str(tmp_path), 3_000_000), Tap()
    journal.observer = tap
    journal.recover()
    for n in range(1, 6):
        journal.message_accepted(message(n))
    journal.attempt_started(journal.open_messages[2], 0, 77)
    journal.message_taken_over(
        message(9, attempts=2, may_have_run_unix_us=55, final=FinalResult(FinalState.FAILED, 3))
    )
    journal.message_ended(journal.open_messages[1])
    assert bytes(tap) == journal.path.read_bytes()
    replayed = replay(bytes(tap))
    live, past = replayed.open_messages, replayed.finished_ids
    assert [t.number for t in live] == [2, 3, 4, 5, 9] and past == {"id1"}
    assert live[0].in_flight_since_unix_us == 77 and live[-1].final == FinalResult(FinalState.FAILED, 3)
    assert (live[-1].attempts, live[-1].may_have_run_unix_us) == (2, 55)
    tap[200] ^= 1
    assert journal_records.complete_bytes(tap) < 200 and not journal_records.is_truncated(
        tap, journal_records.complete_bytes(tap)
    )
    cut = journal.path.read_bytes()[:-3]
    assert journal_records.complete_bytes(cut) < len(cut) and journal_records.is_truncated(
        cut, journal_records.complete_bytes(cut)
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
