"""Data stored by earlier versions is read to the same content, and the same bytes are written."""

import json
import shutil
import time
import zlib
from contextlib import AsyncExitStack

import anyio
import pytest
import stored
import stored_cluster
import stored_courier
from standins import Client, serve_on_loopback, wait_until


def expected(name):
    return json.loads((stored.DATA / f"{name}.expected.json").read_bytes())


# --- the courier's journal --------------------------------------------------------------------------


def test_the_journals_have_records_of_every_kind():
    kinds_by_file = {
        n: stored.kinds((stored.DATA / "journal" / n).read_bytes()) for n in stored.JOURNAL_FILES
    }
    assert set(kinds_by_file["appended"]) | set(kinds_by_file["continued"]) == set(range(1, 12))
    assert set(kinds_by_file["rewritten"]) == {1, 4, 6, 7, 8, 10, 11}
    assert (
        10 not in kinds_by_file["without-rules"] and kinds_by_file["torn"] == kinds_by_file["continued"][:-1]
    )


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


# --- replicas of other nodes ------------------------------------------------------------------------


def test_stored_replicas_are_read_to_the_same_content(tmp_path):
    shutil.copytree(stored.DATA / "copies", tmp_path / "copies")
    for owner, content in expected("copies").items():
        assert stored_cluster.replica_as_stored(tmp_path / "copies", owner) == content
        stored_cluster.rewrite_replica(tmp_path / "copies", owner)
    assert stored_cluster.files(tmp_path / "copies") == stored_cluster.files(stored.DATA / "copies")


def test_replicas_are_written_byte_for_byte_as_before(tmp_path):
    exchange = anyio.run(stored_cluster.replication_exchange, tmp_path, stored.replica_journals())
    assert exchange["files"] == stored_cluster.files(stored.DATA / "copies")
    assert exchange["generation_file"] == (stored.DATA / "copies.generation").read_text()


def test_a_generation_that_was_stored_is_the_one_that_a_restart_goes_by(tmp_path):
    """An older replica must not replace the node's own journal, and a newer one must not be ignored."""
    own = stored.replica_journals()[1]
    stamp = int((stored.DATA / "copies.generation").read_text())
    for generation, restored in ((stamp - 1, False), (stamp, False), (stamp + 1, True)):
        (tmp_path / "journal").write_bytes(own)
        shutil.copy(stored.DATA / "copies.generation", tmp_path / "copies.generation")
        stored_cluster.restore(tmp_path, generation, own[:200])
        assert ((tmp_path / "journal").read_bytes() == own[:200]) == restored, generation


# --- voters -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ["appended", "rewritten"])
def test_a_voters_log_is_read_to_the_same_content(tmp_path, name):
    shutil.copy(stored.DATA / "voters" / name, tmp_path / "log")
    assert stored_cluster.log_as_stored(tmp_path / "log") == expected("voters")[name]


def test_a_voters_log_is_written_byte_for_byte_as_before(tmp_path):
    for name, data in stored_cluster.log_file(tmp_path / "log").items():
        assert data == (stored.DATA / "voters" / name).read_bytes(), name


def test_the_commands_of_leases_stand_in_the_log_as_before(tmp_path):
    data, rows = anyio.run(stored_cluster.agreed_log, tmp_path / "v")
    assert data == (stored.DATA / "voters" / "agreed").read_bytes()
    assert rows == expected("voters")["rows"]


def test_a_voter_makes_the_same_rows_of_a_log_that_was_stored(tmp_path):
    shutil.copy(stored.DATA / "voters" / "agreed", tmp_path / "log")
    (tmp_path / "votes").touch()
    rows, fresh = anyio.run(stored_cluster.replayed_log, tmp_path)
    assert rows == expected("voters")["rows"] and not fresh


def test_the_dump_of_leases_is_the_same_both_ways(tmp_path):
    stored_dump = stored.DATA / "voters" / "dump"
    assert anyio.run(stored_cluster.read_dump, tmp_path / "u", stored_dump) == expected("voters")["dump"]
    assert anyio.run(stored_cluster.dump, tmp_path / "w", tmp_path / "dump") == stored_dump.read_bytes()


# --- other files of the folder ----------------------------------------------------------------------


def test_the_departed_endpoints_are_read_and_written_as_before(tmp_path):
    kept = stored.DATA / "kept" / "list.left"
    assert stored_courier.write_departures(tmp_path) == kept.read_bytes()
    assert stored_courier.departed_endpoints(stored.DATA / "kept").health == {
        "s-2": "gone",
        "s-ü": "gone",
        "s-3": "draining",
    }
    hosts = [{"host": "s-1", "health": "ready"}, {"host": "s-2", "health": "ready"}]
    assert (
        stored_courier.departed_endpoints(stored.DATA / "kept").apply_to({"hosts": hosts})["hosts"][1][
            "health"
        ]
        == "gone"
    )


def test_the_last_good_settings_are_read_and_written_as_before(tmp_path):
    kept = stored.DATA / "kept" / "configuration.good"
    raw = zlib.decompress(kept.read_bytes())
    assert raw == stored_courier.SETTINGS
    assert stored_courier.load_settings(stored.DATA / "kept") == (
        raw,
        {"name": "n0", "seed": 0x1F, "disk_bytes": 3_000_000},
    )
    # The compressed bytes depend on the library.
    stored_courier.save_settings(tmp_path, stored_courier.SETTINGS)
    assert zlib.decompress((tmp_path / "configuration.good").read_bytes()) == raw


# --- logs and traces --------------------------------------------------------------------------------


def rounded(value):
    """Return the value with floats rounded: the last digits of a mean depend on the library."""
    if isinstance(value, dict):
        return {k: rounded(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [rounded(v) for v in value]
    return round(value, 9) if isinstance(value, float) else value


def test_recorded_logs_make_the_same_trace(tmp_path):
    recorded = stored_courier.recorded_trace(stored_courier.logs(), tmp_path / "trace")
    assert rounded(recorded) == rounded(expected("trace"))
    mine, theirs = (json.loads(stored_courier.unpacked_trace(f / "trace")) for f in (tmp_path, stored.DATA))
    assert rounded(mine) == rounded(theirs) and list(mine) == list(theirs)


def test_a_recorded_trace_is_read_to_the_same_content():
    assert stored_courier.read_trace(str(stored.DATA / "trace")) == expected("trace")


def test_recorded_logs_give_the_same_report_of_losses():
    assert (
        stored_courier.losses_text(stored.DATA / "logs") == (stored.DATA / "losses.expected.txt").read_text()
    )


# --- an upgrade from an earlier version -------------------------------------------------------------

SENT_AGAIN = {"unreached", "unreached-keyed", "refused", "out-keyed", "behind-keyed", "out-repeatable"}
FINAL_STATES = {"out-payment": "failed", "failed": "failed", "returned": "returned"}


def test_this_version_recovers_the_folder_of_a_killed_process_of_that_one(tmp_path):
    """No message is lost, and none that may have run and must not run twice is sent again."""
    anyio.run(check_recovery, tmp_path)


async def check_recovery(folder):
    def accept(id_):
        return 200, [], b""

    data = (stored.DATA / "state" / "journal").read_bytes()
    assert stored_courier.open_ids(data) == SENT_AGAIN | set(FINAL_STATES)
    shutil.copytree(stored.DATA / "state", folder / "state")
    after_ms = {"returned": stored_courier.returned_retry_after_ms(data)}  # as decided before the kill
    ends = {(id_, state, after_ms.get(id_, 0)) for id_, state in FINAL_STATES.items()}
    shift_us = time.time_ns() // 1000 - 1_000_000 - stored_courier.first_attempt_unix_us(data)
    (folder / "state" / "journal").write_bytes(stored_courier.shifted(data, shift_us))
    called, called_elsewhere = [], []
    platform = stored_courier.Platform(None, True)
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(
            serve_on_loopback(stored_courier.endpoint_stand_in(called, accept))
        )
        other = await stack.enter_async_context(
            serve_on_loopback(stored_courier.endpoint_stand_in(called_elsewhere, accept))
        )
        platform_address = await stack.enter_async_context(serve_on_loopback(platform))
        hosts = stored_courier.hosts_at({"s-1": address, "s-4": address, "s-5": address}, other)
        with stored_courier.process(folder, hosts, platform_address, folder / "log") as running:
            await stored_courier.listening(running)
            client = Client(running.listen)
            resubmitted = ("answered", *sorted(SENT_AGAIN))  # as from a client that lost its connection
            for id_ in resubmitted:
                cls, key, dest = stored_courier.MESSAGES[id_]
                assert await client.enqueue(cls, id_, key, 20_000, dest=dest) == "+OK\r\n"
            await wait_until(lambda: set(called) >= SENT_AGAIN and platform.ends() >= ends, 8)
            for n in range(8):
                assert await client.enqueue("status-update", f"new-{n}", for_ms=9_000) == "+OK\r\n"
            await wait_until(lambda: len([i for i in called if i.startswith("new-")]) == 8)
            await anyio.sleep(0.3)
            assert "404" not in await stored_courier.call_admin(
                running.admin_address, "PUT /-/endpoints/s-2/enable"
            )
    assert sorted(i for i in called if not i.startswith("new-")) == sorted(SENT_AGAIN)  # each exactly once
    assert called.index("out-keyed") < called.index("behind-keyed")
    assert called_elsewhere == []  # neither the blocked endpoint, nor the removed one
    assert platform.ends() == ends
    assert stored_courier.open_ids((folder / "state" / "journal").read_bytes()) == set()
