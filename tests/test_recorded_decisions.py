"""Recorded decisions: senders replay streams of events and must give the same actions, turn by turn.

`tests/decision_recordings.py` describes the files, which `benchmarks/record_decisions.py` makes. They
must not be recorded again just to make a test pass: a difference is a change of what the software decides,
which must be intended and justified.
"""

import pytest
from decision_recordings import RECORDINGS, replay

NAMES = sorted(path.name.removesuffix(".gz") for path in RECORDINGS.glob("*.gz"))


def test_there_are_recordings():
    assert len(NAMES) >= 40


@pytest.mark.parametrize("name", NAMES)
def test_sender_decides_as_recorded(name):
    replay(name)
