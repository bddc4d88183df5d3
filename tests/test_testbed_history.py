"""The testbed reads, checks and configures as it did when the history in tests/data/testbed was recorded."""

import gzip
import json
import shutil
from pathlib import Path

import pytest

from pinspread.__main__ import main
from pinspread.simulation import scenario as scenarios
from pinspread.simulation.model import FleetModel
from pinspread.testbed import history_checker, lease_checker, picture, processes
from pinspread.testbed.platform_configuration import courier_configuration
from pinspread.testbed.platform_run import PlatformRun
from pinspread.testbed.platform_stand_in import PlatformStandIn

ROOT = Path(__file__).parents[1]
DATA = ROOT / "tests" / "data" / "testbed"
SCENARIOS = sorted(path.name for path in (ROOT / "experiments" / "stage").glob("*.toml"))


@pytest.fixture
def history(tmp_path):
    """The recorded history, in a file of its own."""
    path = tmp_path / "recorded" / "history.jsonl"
    path.parent.mkdir()
    path.write_bytes(gzip.decompress((DATA / "history.jsonl.gz").read_bytes()))
    return path


def recorded(name):
    return json.loads((DATA / name).read_text())


def verdicts(lines):
    scenario = processes.load(str(DATA / "short.toml"))
    return json.loads(json.dumps(history_checker.judge(lines, scenario["expect"])))


def broken(lines):
    """The history with faults of the couriers in it: each kind of expectation meets what it looks for."""
    acked = [li for li in lines if li.get("event") == "acked"]
    notified = [li["id"] for li in lines if li.get("event") == "final" and li["who"] == "platform"]
    returned, failed = notified[:2]
    lost, late = [li["id"] for li in acked if li["id"] not in (returned, failed)][:2]
    again = {returned, *(li["id"] for li in acked if li["cls"] == "payment" or li["key"])}
    found, seen = [], set()
    for line in lines:
        event, id_ = line.get("event"), line.get("id")
        if id_ == lost and event in ("delivered", "final"):
            continue
        if event in ("lease_lost", "lease_given_back", "exited"):
            continue
        if event == "act" and line["task"] not in seen:
            seen.add(line["task"])
            found.append(line | {"mono_us": line["mono_us"] + 3_000_000, "taken": False})
            found.append(line | {"mono_us": line["mono_us"] + 4_000_000, "token": 0, "holder": "m9"})
        if event == "delivered" and id_ in again:
            found.append(line | {"mono_us": line["mono_us"] + 9_000_000})
        if event == "final" and id_ == returned and line["who"] == "platform":
            line = line | {"state": "returned", "mono_us": line["mono_us"] + 100_000}
        if event == "taken":
            line = line | {"key": 1}
        if event == "final" and id_ == failed:
            found.append(line | {"state": "failed"})
        if event in ("final", "delivered") and id_ == late:
            line = line | {"mono_us": line["mono_us"] + 9_000_000}
        found.append(line)
    end = next(li for li in lines if li.get("event") == "ending")
    found.append(end | {"who": "m1", "event": "internal_error"})
    return sorted(found, key=lambda li: li["mono_us"])


def test_the_recorded_history_gets_the_recorded_verdicts(history):
    lines = history_checker.read_scene(history)
    assert verdicts(lines) == recorded("verdicts.json")
    assert verdicts(broken(lines)) == recorded("verdicts_broken.json")


def test_the_recorded_history_gets_the_recorded_figures(history):
    lines = history_checker.read_scene(history)
    replay = history_checker.Replay(lines)
    figures = {
        "members": replay.members,
        "at_end": sorted(replay.at_end()),
        "false_deaths": history_checker.false_deaths(lines),
        "gaps": lease_checker.gaps(lines),
        "held_share": lease_checker.held_share(lines, replay.begin, replay.end),
        "spans": [[s.task, s.member, s.token, s.begin_us, s.end_us] for s in lease_checker.spans(lines)],
        "picture": picture.counts(lines),
    }
    assert json.loads(json.dumps(figures)) == recorded("figures.json")


def test_run_prints_the_verdicts_of_a_scenario_and_exits_by_them(history, tmp_path, monkeypatch, capsys):
    def play(scenario, folder):
        Path(folder).mkdir()
        shutil.copy(history, folder)
        return history_checker.judge(history_checker.read_scene(history), scenario["expect"])

    monkeypatch.setattr(processes, "play", play)
    out = tmp_path / "out"
    assert main(["testbed", "run", str(DATA / "short.toml"), "--out", str(out)]) == 1
    shown = capsys.readouterr().out.replace(str(out), "OUT").replace(str(DATA), "DATA").splitlines()
    # The order of the tasks in `took_s` is any.
    assert [line.partition('"took_s":{')[0] for line in shown] == recorded("printed.json")
    assert json.loads((out / "verdicts.json").read_text()) == recorded("verdicts.json")
    assert (out / "members.png").stat().st_size > 1000


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_scenarios_of_the_experiments_still_load(name, capsys):
    path = ROOT / "experiments" / "stage" / name
    assert main(["testbed", "check", str(path)]) == 0
    assert capsys.readouterr().out == f"{path}: no problems; {recorded('scenarios.json')[name]}\n"


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("members = 0\nseconds = 1", "members: from 1 to 60"),
        ("members = 3\nseconds = 0", "seconds: above 0, at most 3600"),
        ("members = ", "Invalid value (at end of document)"),
    ],
)
def test_a_scenario_that_cannot_be_played_is_named_with_its_problem(text, why, tmp_path, capsys):
    path = tmp_path / "bad.toml"
    path.write_text(text)
    assert main(["testbed", "check", str(path)]) == 2
    said = capsys.readouterr()
    assert f"{path}: {why}" in said.out + said.err


def test_members_are_configured_as_recorded(tmp_path):
    scenario = processes.load(str(DATA / "short.toml"))
    found = {}
    for name, change in {"list": {}, "service": {"service": "_pinspread-swim._udp"}}.items():
        testbed = processes.ClusterTestbed(scenario | change, tmp_path / name)
        try:
            for member in testbed.cast:
                member.folder.mkdir(parents=True, exist_ok=True)
                found[f"{name} {member.id}"] = member.config()
            found[f"{name} zone"] = (tmp_path / name / "partners.zone").read_text()
        finally:
            testbed.history.close()
        for key, text in found.items():
            text = text.replace(testbed.prefix, "PREFIX").replace(str(testbed.folder), "FOLDER")
            found[key] = text
    assert found == recorded("members.json")


def test_couriers_of_the_model_are_configured_as_recorded():
    model = FleetModel.model_validate({"length_s": 5, "traffic": {"load": 0.5}, "couriers": {"count": 2}})
    run = PlatformRun(model, scenarios.draw_scenario(model, 4))
    endpoints = PlatformStandIn(run, 1, lambda notification: None).endpoint_list()
    found = courier_configuration(run, 1, endpoints, "STATE")
    assert found.pop("seed")
    first, own = (run.addresses.courier(number).partition(":")[0] for number in range(2))
    text = json.dumps(found).replace(own + ":", "OWN:").replace(first + ":", "FIRST:")
    assert json.loads(text) == recorded("courier.json")
