"""Stored data of the version before the code was renamed: read to the same content, written to the same bytes."""

import json

import pytest
import stored


def expected(name):
    return json.loads((stored.DATA / f"{name}.expected.json").read_bytes())


# --- the courier's journal --------------------------------------------------------------------------


def test_the_journals_have_records_of_every_kind():
    found = {n: stored.kinds((stored.DATA / "journal" / n).read_bytes()) for n in stored.JOURNAL_FILES}
    assert set(found["appended"]) | set(found["continued"]) == set(range(1, 12))
    assert set(found["rewritten"]) == {1, 4, 6, 7, 8, 10, 11}
    assert 10 not in found["without-rules"] and found["torn"] == found["continued"][:-1]


@pytest.mark.parametrize("name", stored.JOURNAL_FILES)
def test_a_stored_journal_is_read_to_the_same_content(tmp_path, name):
    (tmp_path / "journal").write_bytes((stored.DATA / "journal" / name).read_bytes())
    assert stored.content(tmp_path) == expected("journal")[name]


@pytest.mark.parametrize("name", stored.JOURNAL_FILES)
def test_a_stored_journal_reads_the_same_once_it_was_rewritten(tmp_path, name):
    (tmp_path / "journal").write_bytes((stored.DATA / "journal" / name).read_bytes())
    stored.Steps(tmp_path).close()
    assert stored.content(tmp_path) == expected("journal")[name]


def test_a_journal_is_written_byte_for_byte_as_before(tmp_path):
    for name, data in stored.journals(tmp_path).items():
        assert data == (stored.DATA / "journal" / name).read_bytes(), name
