"""Which configuration files are complete: at a reload, at the next start, and for an application's file."""

import copy
import signal

import anyio
import orjson
import pytest
from platform_helpers import CourierProcess, acknowledging_platform
from standins import HttpStandIn, configuration, serve_on_loopback, wait_until

from pinspread import standalone
from pinspread.__main__ import reload_platform
from pinspread.config import last_good, settings
from pinspread.config.template import template

pytestmark = pytest.mark.anyio

FULL_SETTINGS = {  # further keys of the platform's protocol pages
    "az": 0,
    "clients": {"marksRetry": False},
    "me": 0,
    "membershipMode": "pushed",
    "overShareWorth": 0.2,
    "prices": {"handshake": 0.02, "crossZone": 0.0, "probe": 0.014},
    "report": {"fields": [], "how": "none"},
    "serviceType": "deliver",
    "worthBy": "request",
}
FULL_PARTS = {
    "policyLimits": {"mayCancel": True, "mayDuplicate": False, "mayTell": False, "multiplex": 8},
    "rules": {
        "answerSlackNs": 20_000_000,
        "mustAskInNs": 10**10,
        "orderPauseNs": 0,
        "tipAfterNs": 1_500_000_000,
    },
    "specifics": {"late": "halves", "zoneFee": [0.0]},
}


def full_configuration(state):
    """A configuration with every key that the platform's pages name."""
    document = configuration(state)
    document["settings"] |= copy.deepcopy(FULL_SETTINGS)
    for name, part in FULL_PARTS.items():
        document["settings"][name] |= part
    return document


def key_paths(document, path=()):
    for name, value in document.items():
        yield (*path, name)
        if isinstance(value, dict):
            yield from key_paths(value, (*path, name))


ALL_KEYS = list(key_paths(full_configuration("")))
REMOVED = object()


def changed(document, path, value):
    """A copy of the document with another value at a path, or without the key."""
    document = copy.deepcopy(document)
    target = document
    for name in path[:-1]:
        target = target[name]
    if value is REMOVED:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return document


@pytest.fixture
def platform_file(tmp_path, monkeypatch):
    """The platform's file and environment, which still has discovery's address of the first start."""
    file = tmp_path / "config.json"
    monkeypatch.setenv("RELAY_CONFIG", str(file))
    monkeypatch.setenv("RELAY_STATE", str(tmp_path))
    monkeypatch.setenv("RELAY_NAME", "n0")
    monkeypatch.setenv("RELAY_LISTEN", "127.0.0.1:0")
    monkeypatch.setenv("RELAY_DISCOVERY", "127.0.0.1:2")
    return file


def environment(file):
    return {"RELAY_CONFIG": str(file), "RELAY_STATE": str(file.parent), "RELAY_DISCOVERY": "127.0.0.1:2"}


# Guards against a file short of `discovery` that moved notifications back to the address of the start, and
# against one short of `known.hosts` that ended the next start: all keys count, with a default or without one.
@pytest.mark.parametrize("value", [REMOVED, None], ids=["removed", "null"])
@pytest.mark.parametrize("path", ALL_KEYS, ids=".".join)
def test_a_file_short_of_one_key_is_refused_at_a_reload_and_at_the_next_start(platform_file, path, value):
    complete = full_configuration(platform_file.parent)
    platform_file.write_bytes(orjson.dumps(complete))
    in_effect = last_good.load_at_start(environment(platform_file))
    last_good.save(in_effect)
    platform_file.write_bytes(orjson.dumps(changed(complete, path, value)))
    with pytest.raises(settings.SettingsError, match=path[-1]):
        reload_platform(in_effect)
    assert last_good.load_at_start(environment(platform_file)).raw == in_effect.raw


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("limits", "sockets"), "1024"),
        (("limits", "sockets"), 0),
        (("limits", "sockets"), True),
        (("limits", "memory_mb"), -1),
        (("limits", "disk_mb"), 0),
        (("limits", "cores"), "one"),
        (("known",), []),
        (("known", "hosts"), {}),
        (("known", "seq"), -1),
        (("known", "whole"), 1),
        (("seed",), ""),
        (("seed",), 31),
        (("discovery",), ""),
        (("discovery",), "127.0.0.1"),
        (("discovery",), "127.0.0.1:65536"),
        (("settings", "weights"), 1),
        (("settings", "worthBy"), {}),
        (("settings", "zones"), "addis"),
        (("settings", "lanes"), {}),
        (("settings", "specifics", "zoneFee"), 0.0),
        (("settings", "policyLimits", "probes"), "true"),
        (("settings", "policyLimits", "dialTimeoutNs"), 0),
        (("settings", "rules", "coldFrom"), 2.0),
        (("settings", "rules", "coldNs"), 1.5),
    ],
)
def test_a_value_of_another_type_or_out_of_range_is_refused_at_a_reload(platform_file, path, value):
    complete = full_configuration(platform_file.parent)
    platform_file.write_bytes(orjson.dumps(complete))
    in_effect = last_good.load_at_start(environment(platform_file))
    platform_file.write_bytes(orjson.dumps(changed(complete, path, value)))
    with pytest.raises(settings.SettingsError):
        reload_platform(in_effect)


@pytest.mark.parametrize("key", ["name", "effect", "aimNs", "deadlineNs", "lateShare", "value"])
def test_a_class_short_of_a_key_is_refused(platform_file, key):
    document = full_configuration(platform_file.parent)
    del document["settings"]["lanes"][1][key]
    platform_file.write_bytes(orjson.dumps(document))
    with pytest.raises(settings.SettingsError, match=key):
        settings.from_environment(environment(platform_file))


def test_a_file_nested_too_deeply_is_refused(platform_file):
    document = full_configuration(platform_file.parent)
    in_effect = settings.read(document, {})
    levels = 900  # of the 1024 that the JSON parser takes
    nested = b'{"a":' * levels + b"1" + b"}" * levels
    platform_file.write_bytes(
        orjson.dumps(document).replace(b'"clients":{', b'"clients":{"b":' + nested + b",")
    )
    with pytest.raises(settings.SettingsError):
        reload_platform(in_effect)


def test_what_a_file_may_leave_out_and_what_may_differ(platform_file):
    first = configuration(platform_file.parent)  # only what has no default
    for path in (("name",), ("listen",), ("state",), ("discovery",), ("settings", "projects")):
        first = changed(first, path, REMOVED)
    platform_file.write_bytes(orjson.dumps(first))
    in_effect = last_good.load_at_start(
        environment(platform_file) | {"RELAY_NAME": "n0", "RELAY_LISTEN": "127.0.0.1:0"}
    )
    assert in_effect.discovery == "127.0.0.1:2" and in_effect.tenants == {"": 0}
    longer = full_configuration(platform_file.parent) | {"new_key": {"a": 1}}
    longer["settings"]["rules"]["coldFrom"] = 1  # a whole number in place of a fraction
    platform_file.write_bytes(orjson.dumps(longer))
    in_effect = reload_platform(in_effect).settings
    assert in_effect.discovery == "127.0.0.1:1" and in_effect.policy_settings.slow_start_fraction == 1
    lists = copy.deepcopy(longer)
    del lists["settings"]["lanes"][0], lists["settings"]["lanes"][0]["windowNs"]
    lists["settings"]["projects"] = []
    platform_file.write_bytes(orjson.dumps(lists))
    assert list(reload_platform(in_effect).settings.delivery_rules) == ["status-update", "payment"]


@pytest.mark.parametrize("known", [{"seq": 1, "whole": True}, {"seq": None, "hosts": []}, None])
def test_a_copy_that_an_earlier_version_kept_without_a_whole_list_is_used(platform_file, known):
    document = changed(full_configuration(platform_file.parent), ("known",), known)
    in_effect = settings.read(full_configuration(platform_file.parent), {})
    in_effect.raw = orjson.dumps(document)
    last_good.save(in_effect)
    platform_file.write_bytes(in_effect.raw)
    loaded = last_good.load_at_start(environment(platform_file))
    assert loaded.cached_endpoints == last_good.EMPTY_LIST and loaded.discovery == "127.0.0.1:1"


def test_a_complete_file_is_used_beside_a_copy_of_fewer_keys_and_beside_an_unusable_one(platform_file):
    document = full_configuration(platform_file.parent)
    platform_file.write_bytes(orjson.dumps(document))
    in_effect = settings.from_environment(environment(platform_file))
    for raw in (orjson.dumps(configuration("")), b"[]", b"3", b'{"settings":{"unknown":1}}'):
        in_effect.raw = raw
        last_good.save(in_effect)
        loaded = last_good.load_at_start(environment(platform_file))
        assert loaded.raw == orjson.dumps(document)


async def test_notifications_stay_at_the_new_address_when_a_file_is_short_of_discovery(tmp_path):
    old, new = acknowledging_platform(), acknowledging_platform()
    failing = HttpStandIn(lambda request: (500, [], b""))
    async with (
        serve_on_loopback(old) as old_address,
        serve_on_loopback(new) as new_address,
        serve_on_loopback(failing) as address,
    ):
        process = await CourierProcess(tmp_path, address, old_address).ready()
        process.configure(discovery=new_address)
        process.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: any("watch=1" in request[2] for request in new.requests))
        process.file.write_bytes(orjson.dumps(changed(process.configuration, ("discovery",), REMOVED)))
        process.process.send_signal(signal.SIGHUP)
        await anyio.sleep(0.3)
        for restarted in (False, True):  # the environment has the old address, at the next start too
            if restarted:
                await process.end(signal.SIGKILL)
                process.start()
                await process.ready()
            id_ = f"payment{restarted:d}"
            assert await process.client.enqueue("payment", id_) == "+OK\r\n"
            await wait_until(lambda wanted=id_: any(wanted.encode() in r[4] for r in new.requests))
        assert not any(request[1] == "POST" for request in old.requests)
        await process.end(signal.SIGTERM)


def test_an_applications_file_short_of_a_key_is_refused_at_a_reload(tmp_path):
    file = tmp_path / "booking.toml"
    text = template("booking").replace("\nfolder", f'\nfolder = "{tmp_path}" #')
    file.write_text(text)
    options = standalone.service_options(str(file), 1, [])
    assert options.reload(options.settings).settings.policy_settings.max_held_messages == 200
    file.write_text(text.replace("most_held = 200", ""))
    with pytest.raises(settings.SettingsError, match="limits.most_held is missing"):
        options.reload(options.settings)
