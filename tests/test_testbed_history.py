"""The test beds read, check and configure as they did when the files in tests/data/testbed were recorded."""

import asyncio
import gzip
import json
import shutil
from pathlib import Path

import pytest

from pinspread.__main__ import main
from pinspread.simulation.model import FleetModel
from pinspread.simulation.scenario import draw_scenario
from pinspread.testbed import cluster, history_checker, lease_checker, plot
from pinspread.testbed.cluster_scenario import FaultEvent, FaultKind, ScenarioError, load
from pinspread.testbed.member_process import parse_line
from pinspread.testbed.platform_configuration import courier_configuration
from pinspread.testbed.platform_run import PlatformRun
from pinspread.testbed.platform_stand_in import PlatformStandIn
from pinspread.testbed.proxy import LinkRules, Proxy
from pinspread.testbed.replay import Replay

ROOT = Path(__file__).parents[1]
DATA = ROOT / "tests" / "data" / "testbed"
SCENARIOS = sorted(path.name for path in (ROOT / "experiments" / "stage").glob("*.toml"))


@pytest.fixture
def history(tmp_path):
    """A copy of the recorded history file."""
    path = tmp_path / "recorded" / "history.jsonl"
    path.parent.mkdir()
    path.write_bytes(gzip.decompress((DATA / "history.jsonl.gz").read_bytes()))
    return path


def recorded(name):
    return json.loads((DATA / name).read_text())


def verdicts(lines):
    scenario = load(str(DATA / "short.toml"))
    return json.loads(json.dumps(history_checker.check(lines, scenario["expect"])))


def broken(lines):
    """The history with faults of couriers added, so that each kind of expectation finds violations."""
    acked = [li for li in lines if li.get("event") == "acked"]
    notified = [li["id"] for li in lines if li.get("event") == "final" and li["who"] == "platform"]
    returned, failed = notified[:2]
    lost, late = [li["id"] for li in acked if li["id"] not in (returned, failed)][:2]
    repeated = {returned, *(li["id"] for li in acked if li["cls"] == "payment" or li["key"])}
    changed, tasks = [], set()
    for line in lines:
        event, id_ = line.get("event"), line.get("id")
        if id_ == lost and event in ("delivered", "final"):
            continue
        if event in ("lease_lost", "lease_given_back", "exited"):
            continue
        if event == "act" and line["task"] not in tasks:
            tasks.add(line["task"])
            changed.append(line | {"mono_us": line["mono_us"] + 3_000_000, "taken": False})
            changed.append(line | {"mono_us": line["mono_us"] + 4_000_000, "token": 0, "holder": "m9"})
        if event == "delivered" and id_ in repeated:
            changed.append(line | {"mono_us": line["mono_us"] + 9_000_000})
        if event == "final" and id_ == returned and line["who"] == "platform":
            line = line | {"state": "returned", "mono_us": line["mono_us"] + 100_000}
        if event == "taken":
            line = line | {"key": 1}
        if event == "final" and id_ == failed:
            changed.append(line | {"state": "failed"})
        if event in ("final", "delivered") and id_ == late:
            line = line | {"mono_us": line["mono_us"] + 9_000_000}
        changed.append(line)
    end = next(li for li in lines if li.get("event") == "ending")
    changed.append(end | {"who": "m1", "event": "internal_error"})
    return sorted(changed, key=lambda li: li["mono_us"])


def test_the_recorded_history_gets_the_recorded_verdicts(history):
    lines = history_checker.read_scenario(history)
    assert verdicts(lines) == recorded("verdicts.json")
    assert verdicts(broken(lines)) == recorded("verdicts_broken.json")


def test_the_recorded_history_gets_the_recorded_figures(history):
    lines = history_checker.read_scenario(history)
    replay = Replay(lines)
    figures = {
        "members": replay.members,
        "at_end": sorted(replay.running_at_end()),
        "false_deaths": history_checker.false_deaths(lines),
        "gaps": lease_checker.gaps(lines),
        "held_share": lease_checker.held_share(lines, replay.begin_us, replay.end_us),
        "spans": [[s.task, s.member, s.token, s.begin_us, s.end_us] for s in lease_checker.spans(lines)],
        "picture": plot.alive_counts(lines),
    }
    assert json.loads(json.dumps(figures)) == recorded("figures.json")


def test_run_prints_the_verdicts_of_a_scenario_and_exits_by_them(history, tmp_path, monkeypatch, capsys):
    def play(scenario, folder):
        Path(folder).mkdir()
        shutil.copy(history, folder)
        return history_checker.check(history_checker.read_scenario(history), scenario["expect"])

    monkeypatch.setattr(cluster, "play", play)
    out = tmp_path / "out"
    assert main(["testbed", "run", str(DATA / "short.toml"), "--out", str(out)]) == 1
    shown = capsys.readouterr().out.replace(str(out), "OUT").replace(str(DATA), "DATA").splitlines()
    # The order of the tasks in `took_s` is arbitrary.
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
        ("members = 0\nseconds = 1", "members: expected an integer from 1 to 60, found 0"),
        ("members = 3\nseconds = 0", "seconds: expected a number above 0, at most 3600, found 0"),
        ("members = ", "Invalid value (at end of document)"),
    ],
)
def test_a_scenario_that_cannot_be_played_is_named_with_its_problem(text, why, tmp_path, capsys):
    path = tmp_path / "bad.toml"
    path.write_text(text)
    assert main(["testbed", "check", str(path)]) == 2
    output = capsys.readouterr()
    assert f"{path}: {why}" in output.out + output.err


def test_members_are_configured_as_recorded(tmp_path):
    scenario = load(str(DATA / "short.toml"))
    configured = {}
    for name, change in {"list": {}, "service": {"service": "_pinspread-swim._udp"}}.items():
        testbed = cluster.ClusterTestbed(scenario | change, tmp_path / name)
        try:
            for member in testbed.members:
                member.folder.mkdir(parents=True, exist_ok=True)
                configured[f"{name} {member.id}"] = member.configuration()
            configured[f"{name} zone"] = (tmp_path / name / "partners.zone").read_text()
        finally:
            testbed.history.close()
        for key, text in configured.items():
            text = text.replace(testbed.addresses.prefix, "PREFIX").replace(str(testbed.folder), "FOLDER")
            configured[key] = text
    assert configured == recorded("members.json")


def test_couriers_of_the_model_are_configured_as_recorded():
    model = FleetModel.model_validate({"length_s": 5, "traffic": {"load": 0.5}, "couriers": {"count": 2}})
    run = PlatformRun(model, draw_scenario(model, 4))
    endpoints = PlatformStandIn(run, 1, lambda notification: None).endpoint_list()
    configured = courier_configuration(run, 1, endpoints, "STATE")
    assert configured.pop("seed")
    first_host, own_host = (run.addresses.courier(number).partition(":")[0] for number in range(2))
    text = json.dumps(configured).replace(own_host + ":", "OWN:").replace(first_host + ":", "FIRST:")
    assert json.loads(text) == recorded("courier.json")


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"at": [{"s": 1, "do": "burn"}]}, "unknown fault 'burn': expected one of pause, resume, kill"),
        ({"at": [{"s": 1}]}, "unknown fault '': expected one of pause, resume, kill"),
        ({"at": [{"do": "heal"}]}, "no time `s`: \\[{'do': 'heal'}\\]"),
        ({"traffic": {"rates": 1.0}}, "traffic: .*rates"),
    ],
)
def test_a_scenario_that_cannot_be_decoded_is_a_scenario_error(change, why, tmp_path):
    with pytest.raises(ScenarioError, match=why):
        cluster.ClusterTestbed({"members": 2, "seconds": 1} | change, tmp_path)


def test_a_fault_is_decoded_by_the_keys_of_scenarios():
    table = {"s": 2, "do": "cut", "from": ["m0"], "to": ["m1"]}
    assert FaultEvent.from_table(table) == FaultEvent(table, FaultKind.CUT, 2, (), ["m0"], ["m1"])
    clock = FaultEvent.from_table({"s": 0, "do": "offset", "ms": 5, "rate": 1.1})
    assert (clock.offset_ms, clock.clock_rate) == (5, 1.1)
    assert FaultEvent.from_table({"do": "heal", "why": "as a note"}).at_s == 0


def test_a_fault_on_an_unknown_member_is_a_scenario_error(tmp_path):
    testbed = cluster.ClusterTestbed({"members": 2, "seconds": 1}, tmp_path)
    try:
        with pytest.raises(ScenarioError, match="fault kill: the scenario has no member m7"):
            asyncio.run(testbed.act({"s": 0, "do": "kill", "who": ["m7"]}))
        asyncio.run(testbed.act({"s": 0, "do": "kill", "who": ["@leader"]}))  # no effect: no leader is known
    finally:
        testbed.history.close()


def test_an_unknown_expectation_is_a_scenario_error(history):
    with pytest.raises(ScenarioError, match="unknown expectation 'joy': expected one of dead, never_dead"):
        history_checker.check(history_checker.read(history), [{"kind": "joy"}])


@pytest.mark.parametrize(
    ("raw", "event"),
    [
        (b'{"event": "serving"}', {"event": "serving"}),
        (b"words\n", {"event": "text", "text": "words"}),
        (b"Traceback (most recent call last):", "fault"),
        (b'{"event": "internal_error"}', "fault"),
        (b"[1]", None),
    ],
)
def test_a_line_of_a_couriers_output_is_an_event(raw, event):
    parsed = parse_line(raw)
    assert parsed == event or (parsed and parsed["event"] == event)


class Receiver(asyncio.DatagramProtocol):
    """Appends each datagram that it receives to a list."""

    def __init__(self, received):
        self.received = received

    def datagram_received(self, data, source):
        self.received.append(data)


def test_datagrams_through_the_proxy_are_passed_lost_doubled_and_cut_by_the_rules():
    prefix = "127.31.78"
    real = {"a": (f"{prefix}.10", 7946), "b": (f"{prefix}.11", 7946)}
    advertised = {"a": (f"{prefix}.100", 7946), "b": (f"{prefix}.101", 7946)}
    received = []

    async def play():
        loop = asyncio.get_running_loop()
        rules = LinkRules(real)
        proxy = Proxy(rules, real, advertised)
        await proxy.open()
        sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, real["a"])
        target, _ = await loop.create_datagram_endpoint(lambda: Receiver(received), real["b"])
        stranger, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, (f"{prefix}.12", 0))

        async def send(data, transport=sender):
            transport.sendto(data, advertised["b"])
            await asyncio.sleep(0.1)

        await send(b"passed")
        rules.change(["a"], ["b"], duplicate=1.0, delay_s=0.01)
        await send(b"doubled")
        rules.change(["a"], ["b"], loss=1.0)
        await send(b"lost")
        rules.heal()
        rules.split([["a"]])
        await send(b"cut")
        await send(b"strange", stranger)
        for closing in (sender, target, stranger, proxy):
            closing.close()
        return proxy.counts

    counts = asyncio.run(play())
    assert received == [b"passed", b"doubled", b"doubled", b"strange"]
    assert counts == {"passed": 3, "lost": 2, "doubled": 1, "strangers": 1}
