"""What a courier is told at its start, read from the file that `RELAY_CONFIG` names."""

import os
import re
import tomllib
import zlib
from dataclasses import dataclass
from pathlib import Path

import orjson

from pinspread import wire
from pinspread.core.log import log
from pinspread.core.messages import DeliveryRules
from pinspread.policy.settings import Settings

GOOD = "configuration.good"  # in the folder that lasts
GOOD_SHARE = 0.015  # of the folder's room, for each of its file and the next one
AMQP_FILE = Path(__file__).parents[2] / "deploy" / "amqp.toml"


class SettingsError(ValueError):
    """The configuration cannot be used; the text names the place."""


@dataclass(slots=True)
class EffectiveSettings:
    """A courier's configuration."""

    name: str
    listen: str
    discovery: str
    state: str
    seed: int
    disk_bytes: int
    sockets: int
    memory_bytes: int
    cached_endpoints: dict
    policy_settings: Settings
    delivery_rules: dict  # name of a class -> the rules of what is taken on under it
    tenants: dict  # name -> place in the module's settings; so are kinds and zones
    kinds: dict
    zones: dict
    connect_timeout_us: int
    keepalive_us: int
    admin: str = ""  # where the operators' door listens; empty: it is off
    load_reports_enabled: bool = False  # answers tell what is left of a limit, and the limit
    inherited_listener_descriptor: int | None = (
        None  # the descriptor of a listening socket that the platform holds
    )
    setting_paths: frozenset = frozenset()  # paths of the settings' parts that are no lists
    raw: bytes = b""  # the file as it was read

    @property
    def max_retry_after_ms(self):
        return self.policy_settings.max_retry_after_ns // 1_000_000


def flatten(value, path=""):
    """Nested settings as the path=value lines of the simulator's wire."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        yield f"{path}.count={len(value)}"
        for n, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{n}")
    elif isinstance(value, list):
        yield f"{path}={','.join(map(_plain, value))}"
    else:
        yield f"{path}={_plain(value)}"


def _plain(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


@dataclass(slots=True)
class AmqpFile:
    """Where the AMQP front listens; empty: it is off."""

    listen: str = ""
    heartbeat_s: int = 30


def amqp_file(path=AMQP_FILE) -> AmqpFile:
    """The file under deploy/ that turns the AMQP front on."""
    try:
        with open(path, "rb") as file:
            return AmqpFile(**tomllib.load(file))
    except FileNotFoundError:
        return AmqpFile()
    except (OSError, TypeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None


def from_environment(env=os.environ, last: EffectiveSettings | None = None) -> EffectiveSettings:
    """The configuration file, with the environment's word where both speak (but for discovery).

    With `last`, the settings in force, one that is short of a part of those is refused.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise SettingsError("RELAY_CONFIG names no configuration file")
    try:
        with open(path, "rb") as file:
            raw = file.read()
        told = read(orjson.loads(raw), env)
    except (OSError, orjson.JSONDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    lacks = sorted(last.setting_paths - told.setting_paths) if last else ()
    if lacks:
        # Danger: many parts have a default, and a file that lost one would put that in force unseen.
        raise SettingsError(f"{path}: {', '.join(lacks)} is missing; the settings in force have it")
    told.raw = raw
    return told


def at_start(env=os.environ) -> EffectiveSettings:
    """The configuration at a start: the file, or what was last good where that is broken."""
    try:
        return from_environment(env)
    except SettingsError as error:
        kept = Path(env.get("RELAY_STATE", "")) / GOOD
        try:
            raw = zlib.decompress(kept.read_bytes())
            told = read(orjson.loads(raw), env)
        except (OSError, ValueError, zlib.error):
            raise error from None
        # Danger: a start that finds the file broken would end, and all that is owed would wait for staff.
        log("configuration_unusable", error=str(error), instead=str(kept))
        told.raw = raw
        return told


def keep_good(told: EffectiveSettings):
    """Keep what is in force, for a start that finds the file broken; without room only the log says so."""
    if not told.raw:
        return  # an application's file, which is no platform's
    packed = zlib.compress(told.raw)
    try:
        if len(packed) > told.disk_bytes * GOOD_SHARE:
            raise OSError(f"{len(packed)} bytes are not kept")
        kept = Path(told.state) / GOOD
        fresh = kept.with_suffix(".new")
        fresh.write_bytes(packed)
        fresh.rename(kept)
    except OSError as error:
        log("configuration_not_kept", error=str(error))


def read(told: dict, env) -> EffectiveSettings:
    """The configuration from its JSON object."""
    try:
        settings = told["settings"]
        text = "\n".join(flatten(settings)).encode()
        module, fields = wire.read_settings(text)
        limits = settings["policyLimits"]
        return EffectiveSettings(
            name=env.get("RELAY_NAME") or told["name"],
            listen=env.get("RELAY_LISTEN") or told["listen"],
            # Danger: the file is replaced while the process runs, and its environment still has the old word.
            discovery=told["discovery"] if "discovery" in told else env["RELAY_DISCOVERY"],
            state=env.get("RELAY_STATE") or told["state"],
            seed=int(str(told["seed"]), 16),
            disk_bytes=int(told["limits"]["disk_mb"] * 1_000_000),
            sockets=told["limits"].get("sockets", 1024),
            memory_bytes=int(told["limits"].get("memory_mb", 192) * 1_000_000),
            cached_endpoints=told["known"],
            policy_settings=module,
            delivery_rules=_rules(settings["lanes"], module),
            tenants=_places(settings.get("projects") or [{"name": ""}]),
            kinds={name: n for n, name in enumerate(settings["shapes"])},
            zones={name: n for n, name in enumerate(settings["zones"])},
            connect_timeout_us=limits["dialTimeoutNs"] // 1000,
            keepalive_us=limits["keepaliveNs"] // 1000,
            admin=env.get("RELAY_ADMIN_ADDR") or told.get("admin_addr") or "",
            load_reports_enabled={"x0", "x1"} <= set(fields),
            inherited_listener_descriptor=_descriptor(env.get("RELAY_PASSED_SOCKET")),
            setting_paths=frozenset(_parts(settings)),
        )
    except KeyError as error:
        raise SettingsError(f"configuration: {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SettingsError(f"configuration: {error}") from None


def summary(told: EffectiveSettings):
    """What the courier will go by, a line each, for whoever checks a deployment before it is served."""
    s, ms = told.policy_settings, 1_000_000
    for name, rules in told.delivery_rules.items():
        c = rules.traffic_class
        window = (
            f", repeats dropped for {c.deduplication_window_ns // ms} ms" if c.deduplication_window_ns else ""
        )
        order = "in order for each key" if c.in_order else "in any order"
        time = f"wanted in {c.latency_objective_ns // ms} ms, given up at {c.deadline_ns // ms} ms"
        yield f"class {name}: {c.effect.value}{window}; {order}; {time}; {rules.max_attempts} attempts"
    for name, n in told.kinds.items():
        kind = s.kind(n)
        routes = "each endpoint a route apart" if kind.limits_per_endpoint else "endpoints share one limit"
        yield f"kind {name}: {kind.max_bundle_size} messages a call at most; {routes}"
    yield f"zones: {', '.join(told.zones)}; a call to another costs {s.cross_zone_price:g} of a message"
    slots = f"{s.max_concurrent_calls} calls out, {s.max_held_messages} messages held"
    yield f"slots: {slots}, {s.senders} couriers"
    yield f"rules: nothing new {s.drain_grace_ns // ms} ms after a drain; cold for {s.slow_start_ns // ms} ms"
    asked = f"asked, at least every {s.max_poll_interval_ns // ms} ms" if s.polled_discovery else "pushed"
    yield f"list: {asked}; limits {'listed' if s.weights_known else 'not listed'}"
    probes, reports = ("yes" if on else "no" for on in (s.health_checks_allowed, told.load_reports_enabled))
    yield f"probes: {probes}; reports of limits in answers: {reports}; door: {told.admin or 'off'}"


def _rules(lanes, module):
    found = {}
    for lane, cls in zip(lanes, module.classes, strict=True):
        if lane["name"] in found:
            raise ValueError(f"class {lane['name']!r} is named twice")
        found[lane["name"]] = DeliveryRules(cls, module.max_attempts)
    return found


def _parts(value, path=""):
    """The paths of what is no list: those may grow and shrink."""
    for name, inner in value.items():
        yield path + name
        if isinstance(inner, dict):
            yield from _parts(inner, f"{path}{name}.")


def _descriptor(text):
    """The number that a descriptor is named by, alone or behind other words; None without one."""
    found = re.findall(r"\d+", text or "")
    return int(found[-1]) if found else None


def _places(named):
    return {item["name"]: n for n, item in enumerate(named)}
