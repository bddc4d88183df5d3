"""Stored data of the version before the code was renamed: the same content read, the same bytes written."""

import json
import shutil

import anyio
import pytest
import stored
import stored_cluster as cluster


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


# --- copies kept for others -------------------------------------------------------------------------


def test_copies_that_lie_in_a_folder_are_read_to_the_same_content(tmp_path):
    shutil.copytree(stored.DATA / "copies", tmp_path / "copies")
    for owner, told in expected("copies").items():
        assert cluster.told_copy(tmp_path / "copies", owner) == told
        cluster.rewrite_copy(tmp_path / "copies", owner)
    assert cluster.files(tmp_path / "copies") == cluster.files(stored.DATA / "copies")


def test_copies_are_written_byte_for_byte_as_before(tmp_path):
    found = anyio.run(cluster.copy_exchange, tmp_path, stored.copied())
    assert found["files"] == cluster.files(stored.DATA / "copies")
    assert found["generation_file"] == (stored.DATA / "copies.generation").read_text()


def test_a_generation_that_was_stored_is_the_one_that_a_restart_goes_by(tmp_path):
    """An older copy elsewhere must not take the place of the own journal, nor a newer one be passed over."""
    own = stored.copied()[1]
    stamp = int((stored.DATA / "copies.generation").read_text())
    for generation, restored in ((stamp - 1, False), (stamp, False), (stamp + 1, True)):
        (tmp_path / "journal").write_bytes(own)
        shutil.copy(stored.DATA / "copies.generation", tmp_path / "copies.generation")
        cluster.restore(tmp_path, generation, own[:200])
        assert ((tmp_path / "journal").read_bytes() == own[:200]) == restored, generation


# --- voters -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ["appended", "rewritten"])
def test_a_voters_log_is_read_to_the_same_content(tmp_path, name):
    shutil.copy(stored.DATA / "voters" / name, tmp_path / "log")
    assert cluster.told_log(tmp_path / "log") == expected("voters")[name]


def test_a_voters_log_is_written_byte_for_byte_as_before(tmp_path):
    for name, data in cluster.log_file(tmp_path / "log").items():
        assert data == (stored.DATA / "voters" / name).read_bytes(), name


def test_the_commands_of_leases_stand_in_the_log_as_before(tmp_path):
    data, rows = anyio.run(cluster.agreed_log, tmp_path / "v")
    assert data == (stored.DATA / "voters" / "agreed").read_bytes()
    assert rows == expected("voters")["rows"]


def test_a_voter_makes_the_same_rows_of_a_log_that_was_stored(tmp_path):
    shutil.copy(stored.DATA / "voters" / "agreed", tmp_path / "log")
    (tmp_path / "votes").touch()
    rows, fresh = anyio.run(cluster.replayed_log, tmp_path)
    assert rows == expected("voters")["rows"] and not fresh


def test_the_dump_of_leases_is_the_same_both_ways(tmp_path):
    stored_dump = stored.DATA / "voters" / "dump"
    assert anyio.run(cluster.undumped, tmp_path / "u", stored_dump) == expected("voters")["dump"]
    assert anyio.run(cluster.dump, tmp_path / "w", tmp_path / "dump") == stored_dump.read_bytes()
