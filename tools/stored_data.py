"""Write the stored data that tests compare with: `python tools/stored_data.py NAME...`, from the root.

It was run before names in the code changed, so the files have the bytes that those versions wrote. Run it for
new formats only. Existing files are not changed, because the tests compare the code with them. NAME is a key
of `WRITERS`. The inputs, and the adapter to the names in the code, are in `tests/stored.py`.
"""

import json
import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1]), str(Path(__file__).parents[1] / "tests")]

import anyio  # noqa: E402
import stored  # noqa: E402
import stored_cluster  # noqa: E402
import stored_courier  # noqa: E402


def put(path: Path, data: bytes):
    """Write a file, unless it exists."""
    if path.exists():
        print(f"{path}: exists, not changed")
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)
    print(f"{path}: {len(data)} bytes")


def put_json(path: Path, value):
    """Write a value as JSON, unless the file exists."""
    put(path, json.dumps(value, indent=1, ensure_ascii=False, sort_keys=True).encode() + b"\n")


def journal():
    """Write the courier's journals, and the content that each is read to."""
    with tempfile.TemporaryDirectory() as folder:
        expected = {}
        for name, data in stored.journals(folder).items():
            put(stored.DATA / "journal" / name, data)
            (Path(folder) / "journal").write_bytes(data)
            expected[name] = stored.content(folder)
        put_json(stored.DATA / "journal.expected.json", expected)


def members():
    """Write the datagrams of membership, and the view of the admin server."""
    put_json(stored.DATA / "wire" / "members.json", stored_cluster.members())


def leases():
    """Write the datagrams of leases, and the view of the admin server."""
    put_json(stored.DATA / "wire" / "leases.json", anyio.run(stored_cluster.lease_exchange))


def copies():
    """Write the frames of replication, the view of the admin server, and replicas' files and content."""
    with tempfile.TemporaryDirectory() as folder:
        exchange = anyio.run(stored_cluster.replication_exchange, folder, stored.replica_journals())
        for name, data in exchange.pop("files").items():
            put(stored.DATA / "copies" / name, data)
        put(stored.DATA / "copies.generation", exchange.pop("generation_file").encode())
        put_json(stored.DATA / "wire" / "copies.json", exchange)
        replicas = {
            owner: stored_cluster.replica_as_stored(Path(folder) / "b" / "copies", owner)
            for owner in ("a", "c")
        }
        put_json(stored.DATA / "copies.expected.json", replicas)


def voters():
    """Write the frames and logs of voters, and the dump of their table."""
    with tempfile.TemporaryDirectory() as folder:
        folder = Path(folder)
        put_json(stored.DATA / "wire" / "voters.json", anyio.run(stored_cluster.voter_exchange, folder / "x"))
        expected = {}
        for name, data in stored_cluster.log_file(folder / "log").items():
            put(stored.DATA / "voters" / name, data)
            (folder / "log").write_bytes(data)
            expected[name] = stored_cluster.log_as_stored(folder / "log")
        data, expected["rows"] = anyio.run(stored_cluster.agreed_log, folder / "v")
        put(stored.DATA / "voters" / "agreed", data)
        put(stored.DATA / "voters" / "dump", anyio.run(stored_cluster.dump, folder / "w", folder / "dump"))
        expected["dump"] = anyio.run(stored_cluster.read_dump, folder / "u", folder / "dump")
        put_json(stored.DATA / "voters.expected.json", expected)


PROBED = b'{"at_us":%d,"event":"probe","hop":"s-1","verdict":"OK","note":""}\n'  # a logged health check


def folder():
    """Write the state folder and log of a killed process, other stored files, and the traces made of logs."""
    with tempfile.TemporaryDirectory() as work:
        work = Path(work)
        anyio.run(stored_courier.run_and_kill, work)
        for name in ("journal", "list.left"):
            put(stored.DATA / "state" / name, (work / "state" / name).read_bytes())
        log = (work / "log").read_bytes()
        put(stored.DATA / "logs" / "n0.log", log)
        put(stored.DATA / "logs" / "n1.log", PROBED % json.loads(log.splitlines()[-1])["at_us"])
        (work / "kept").mkdir()
        put(stored.DATA / "kept" / "list.left", stored_courier.write_departures(work / "kept"))
        stored_courier.save_settings(work / "kept", stored_courier.SETTINGS)
        put(stored.DATA / "kept" / "configuration.good", (work / "kept" / "configuration.good").read_bytes())
        put_json(
            stored.DATA / "trace.expected.json",
            stored_courier.recorded_trace(stored_courier.logs(), work / "trace"),
        )
        put(stored.DATA / "trace", (work / "trace").read_bytes())
        put(stored.DATA / "losses.expected.txt", stored_courier.losses_text(stored.DATA / "logs").encode())


def door():
    """Write replies of the admin server, the output of `config check`, and packets between two processes."""
    views = {
        "members": stored_courier.members_view(),
        "leases": {"tasks": []},
        "copies": {"keeps": ["\u00fc"]},
    }
    recorded = {
        "views": views,
        "calls": anyio.run(stored_courier.calls, views),
        "summary": stored_courier.summary(),
    }
    put_json(stored.DATA / "wire" / "door.json", recorded)
    recorded = {"kinds": stored_courier.PACKETS, "packets": anyio.run(stored_courier.packets)}
    recorded["handed_over"] = anyio.run(stored_courier.handed_over)
    put_json(stored.DATA / "wire" / "packets.json", recorded)


WRITERS = {f.__name__: f for f in (journal, members, leases, copies, voters, folder, door)}

if __name__ == "__main__":
    for name in sys.argv[1:]:
        WRITERS[name]()
