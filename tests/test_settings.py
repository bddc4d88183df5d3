"""Settings that change under load: which files are refused as a whole, and which rules a message keeps."""

import copy
import signal
import tempfile

import anyio
import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from platform_helpers import ACKNOWLEDGED, CourierProcess, acknowledging_platform
from standins import Client, HttpStandIn, configuration, running_courier, serve_on_loopback, wait_until

from pinspread.__main__ import main
from pinspread.config import settings
from pinspread.core.journal import Journal
from pinspread.core.messages import DeliveryRules, Message
from pinspread.errors import JournalFullError
from pinspread.policy.settings import Idempotency, TrafficClass

pytestmark = pytest.mark.anyio


def lane(name="payment", **overrides):
    """The settings of a message class, in the platform's format."""
    payment = next(n for n in configuration("")["settings"]["lanes"] if n["name"] == "payment")
    return payment | {"name": name} | overrides


def test_a_file_cut_off_at_any_byte_is_refused(tmp_path):
    file = tmp_path / "c.json"
    env = {"RELAY_CONFIG": str(file)}
    complete_file = orjson.dumps(configuration(tmp_path))
    file.write_bytes(complete_file)
    last = settings.from_environment(env)
    kinds = last.key_kinds
    for size in range(len(complete_file)):
        file.write_bytes(complete_file[:size])
        with pytest.raises(settings.SettingsError):
            settings.from_environment(env, kinds)
    file.write_bytes(complete_file)
    assert settings.from_environment(env, kinds).delivery_rules == last.delivery_rules


def without_key(path):
    def broken(raw_settings):
        *parents, name = path.split(".")
        for step in parents:
            raw_settings = raw_settings[step]
        del raw_settings[name]

    return broken


def with_value(path, value):
    def broken(raw_settings):
        *parents, name = path.split(".")
        for step in parents:
            raw_settings = raw_settings[int(step) if step.isdigit() else step]
        raw_settings[name] = value

    return broken


BROKEN = [
    *(
        without_key(name)
        for name in ("settings", "limits", "seed", "known", "settings.lanes", "settings.rules")
    ),
    *(
        without_key(f"settings.{name}")
        for name in ("weights", "balancers", "projects", "policyLimits.probes")
    ),
    *(
        with_value(f"settings.lanes.1.{n}", v)
        for n in ("deadlineNs", "aimNs")
        for v in (0, -1, None, "x", [])
    ),
    *(with_value("settings.policyLimits.sendCap", v) for v in (0, -2, None, "many", {}, float("nan"))),
    with_value("settings.lanes.1.name", "payment"),
    with_value("settings.lanes.1.effect", "sometimes"),
    with_value("settings.lanes", []),
    with_value("settings.lanes", 7),
    with_value("settings", []),
    with_value("limits", 3),
]


@pytest.mark.parametrize("broken", BROKEN)
def test_a_file_that_is_broken_is_refused_as_a_whole(tmp_path, broken):
    file = tmp_path / "c.json"
    env = {"RELAY_CONFIG": str(file)}
    raw_settings = configuration(tmp_path)
    file.write_bytes(orjson.dumps(raw_settings))
    last = settings.from_environment(env)
    broken(raw_settings)
    file.write_bytes(orjson.dumps(raw_settings))
    with pytest.raises(settings.SettingsError):
        settings.from_environment(env, last.key_kinds)


@pytest.mark.parametrize("raw", [b"", b"\xff\xfe", b"null", b"[]", b"3", b'{"settings":NaN}', None])
def test_what_is_no_configuration_is_refused(tmp_path, raw):
    file = tmp_path / "c.json"
    if raw is None:
        file.mkdir()
    else:
        file.write_bytes(raw)
    with pytest.raises(settings.SettingsError):
        settings.from_environment({"RELAY_CONFIG": str(file)})


async def test_new_messages_follow_the_new_settings_and_open_ones_keep_theirs(tmp_path):
    down = HttpStandIn(lambda request: (500, [], b""))
    raw_settings = configuration(tmp_path)
    async with (
        serve_on_loopback(acknowledging_platform()) as platform_address,
        serve_on_loopback(down) as address,
    ):
        async with running_courier(
            tmp_path, platform_address, endpoints=[(address,), (address, "s-2", 2)]
        ) as courier:
            client, core = Client(courier.address), courier.engine
            assert await client.enqueue("status-update", "old", for_ms=3500) == "+OK\r\n"
            await wait_until(lambda: down.requests)
            new = copy.deepcopy(raw_settings)
            new["settings"]["lanes"] = [
                lane("refund", effect="once"),
                lane("status-update", effect="once"),
            ]
            new["settings"]["policyLimits"]["sendCap"] = 1
            core.apply_settings(settings.read(new, {}))
            assert (await client.enqueue("payment")).startswith("-ERR unknown class")
            assert await client.enqueue("refund", "new", dest=2) == "+OK\r\n"
            await wait_until(lambda: not core.messages_by_id)
        by_id = [r[3]["request-id"] for r in down.requests if r[1] == "POST"]
        assert 1 < by_id.count("old") <= 6 and by_id.count("new") == 1


async def test_rules_of_a_class_that_was_dropped_last_over_a_restart(tmp_path):
    answers = []
    endpoint = HttpStandIn(lambda request: answers.pop(0) if answers else (500, [], b""))
    async with (
        serve_on_loopback(acknowledging_platform()) as platform_address,
        serve_on_loopback(endpoint) as address,
    ):
        async with running_courier(tmp_path, platform_address) as courier:
            raw_settings = configuration(tmp_path)
            raw_settings["settings"]["lanes"].append(lane("refund", effect="once"))
            courier.engine.apply_settings(settings.read(raw_settings, {}))
            courier.update_endpoints(address, state=0)
            assert await Client(courier.address).enqueue("refund", "kept") == "+OK\r\n"
        # The settings of this start have no class refund.
        async with running_courier(tmp_path, platform_address, endpoints=[(address,)]) as courier:
            await wait_until(lambda: not courier.engine.messages_by_id)
    assert len(endpoint.requests) == 1  # a call that failed may have run, and this class must not be repeated


CLASSES = st.builds(
    TrafficClass,
    latency_objective_ns=st.integers(1, 3),
    deadline_ns=st.just(5),
    effect=st.sampled_from(Idempotency),
    deduplication_window_ns=st.just(9),
    in_order=st.booleans(),
)
STEPS = st.one_of(
    st.tuples(st.just("take"), st.builds(DeliveryRules, CLASSES, st.integers(1, 4))),
    st.tuples(st.sampled_from(("end", "rewrite", "restart", "fill")), st.integers(0, 9)),
)


@hypothesis_settings(max_examples=60, deadline=None)
@given(st.lists(STEPS, max_size=30))
def test_each_open_message_keeps_its_rules_over_rewrites_and_restarts(steps):
    with tempfile.TemporaryDirectory() as folder:
        journal, wanted = Journal(folder, 20_000), {}
        journal.recover()
        for n, (step, what) in enumerate(steps, 1):
            if step == "take":
                message = Message(n, f"id{n}", "c", "", 1, 0, "", 10**15, b"x" * 300, rules=what)
                try:
                    journal.message_accepted(message)
                except JournalFullError:
                    assert len(wanted) > 14  # that many fill the journal's room for open messages
                else:
                    wanted[n] = what
            elif step == "end" and wanted:
                number = sorted(wanted)[what % len(wanted)]
                del wanted[number]
                journal.message_ended(journal.open_messages[number])
            elif step == "rewrite":
                journal._rewrite()
            elif step == "fill":  # until another record would make the file too long
                while journal.size_bytes < journal.limit_bytes - 30 * (what + 1):
                    journal.endpoint_blocked("e", bool(journal.size_bytes % 2))
            elif step == "restart":
                journal.close()
                journal = Journal(folder, 20_000)
                journal.recover()
            assert {n: message.rules for n, message in journal.open_messages.items()} == wanted
        journal.close()


async def test_a_reload_under_load_and_a_start_with_a_broken_file(tmp_path):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(HttpStandIn(lambda r: ACKNOWLEDGED)) as platform_address,
    ):
        process = await CourierProcess(tmp_path, address, platform_address).ready()
        lanes = [*process.configuration["settings"]["lanes"], lane("refund")]
        good = copy.deepcopy(process.configuration)
        process.configure(settings=process.configuration["settings"] | {"lanes": lanes})
        complete_file = process.file.read_bytes()
        for raw in (b"", complete_file[:-9], complete_file):  # in quick succession: the last file counts
            process.file.write_bytes(raw)
            process.process.send_signal(signal.SIGHUP)
        with anyio.fail_after(5):
            while await process.client.enqueue("refund") != "+OK\r\n":
                await anyio.sleep(0.02)
        process.file.write_bytes(orjson.dumps(good)[:99])
        process.process.send_signal(signal.SIGHUP)
        await anyio.sleep(0.3)
        assert await process.client.enqueue("refund") == "+OK\r\n"
        await process.end(signal.SIGKILL)
        process.file.write_bytes(b"{")
        process.start()
        await process.ready()
        assert await process.client.enqueue("refund") == "+OK\r\n"
        await process.end(signal.SIGTERM)


def test_config_check_of_a_platforms_file_says_what_will_count_or_what_is_missing(tmp_path, capsys):
    raw_settings = configuration(tmp_path)
    (tmp_path / "c.json").write_bytes(orjson.dumps(raw_settings))
    assert main(["config", "check", str(tmp_path / "c.json")]) == 0
    output = capsys.readouterr().out
    assert "class payment: once" in output and "nothing new 250 ms after a drain" in output
    del raw_settings["settings"]["rules"]["drainGraceNs"]
    (tmp_path / "c.json").write_bytes(orjson.dumps(raw_settings))
    assert main(["config", "check", str(tmp_path / "c.json")]) == 2
    assert "rules.drainGraceNs is missing" in capsys.readouterr().err
