"""The account of a day from its couriers' logs."""

from typer.testing import CliRunner

from pinspread.simulation import cli, losses
from pinspread.simulation.recorded_events import recorded

BRANCH = '"event":"branch","id":"x","hop":"h","took_us":5'
ONE = """0.1 {"at_us":1,"event":"taken","id":"x","cls":"a","dest":1,"for_ms":900}
0.1 {"at_us":2,%s,"verdict":"FULL","note":"","idle_us":-1,"wait_us":9}
{"at_us":3,%s,"verdict":"OK","note":"","idle_us":4,"wait_us":0}
{"at_us":3,"event":"final","id":"x","state":"DELIVERED","after_ms":0}
Traceback (most recent call last):
"""
OTHER = """{"at_us":2,"event":"taken","id":"x","cls":"a","dest":1,"for_ms":900}
{"at_us":6000000,"event":"final","id":"x","state":"RETURNED","after_ms":0}
{"at_us":7,"event":"bra"""


def test_fates_and_partners_are_counted_over_all_couriers_and_lines_that_are_no_events(tmp_path):
    assert CliRunner().invoke(cli.app, ["losses", str(tmp_path)]).exit_code == 2
    (tmp_path / "n0.log").write_text(ONE % (BRANCH, BRANCH))
    (tmp_path / "n1.log").write_text(OTHER)  # the same id at another courier, which was killed as it wrote
    found = losses.Losses(tmp_path)
    assert found.fates() == {"DELIVERED": 1, "RETURNED never called": 1} and found.others["unread"] == 2
    row = found.partners()[1]
    assert (row["taken"], row["branch FULL"], row["told"], row["opened"], row["held_ms"]) == (
        2,
        1,
        1,
        1,
        5999,
    )
    shown = CliRunner().invoke(cli.app, ["losses", str(tmp_path), "--partner", "1"])
    assert shown.exit_code == 0 and "FULL 1 OK 1" in shown.output


def test_a_logged_endpoint_list_reads_as_recorded_logs_have_it():
    logged = {
        "at_us": 1,
        "event": "endpoint_list",
        "scope": "DELTA",
        "seq": 2,
        "endpoints": {"s-1": "REMOVED"},
    }
    found = {"at_us": 1, "event": "list", "scope": "DELTA", "seq": 2, "hops": {"s-1": "GONE"}}
    assert recorded(dict(logged)) == found
    assert recorded(dict(found)) == found  # a log of an earlier version
