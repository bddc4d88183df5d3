"""What a courier is told at its start, read from the file that `RELAY_CONFIG` names."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

import orjson

from pinspread import interface as api
from pinspread import wire

AMQP_FILE = Path(__file__).parents[2] / "deploy" / "amqp.toml"


class SettingsError(ValueError):
    """The configuration cannot be used; the text names the place."""


@dataclass(slots=True)
class Told:
    """A courier's configuration."""

    name: str
    listen: str
    discovery: str
    state: str
    seed: int
    disk_bytes: int
    sockets: int
    memory_bytes: int
    known: dict
    module: api.Settings
    classes: dict  # name -> place in the module's settings
    keyed: frozenset  # names of the classes that keep their order
    tenants: dict
    kinds: dict
    zones: dict
    dial_us: int
    keepalive_us: int
    admin: str = ""  # where the operators' door listens; empty: it is off

    @property
    def max_come_back_ms(self):
        return self.module.max_come_back_ns // 1_000_000

    def knows(self, cls, tenant):
        """Whether the module can decide for such a message."""
        return cls in self.classes and tenant in self.tenants


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


def from_environment(env=os.environ) -> Told:
    """The configuration file, with the environment's word where both speak (but for discovery)."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise SettingsError("RELAY_CONFIG names no configuration file")
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    return read(told, env)


def read(told: dict, env) -> Told:
    """The configuration from its JSON object."""
    try:
        settings = told["settings"]
        text = "\n".join(flatten(settings)).encode()
        module, _ = wire.read_settings(text)
        limits = settings["policyLimits"]
        return Told(
            name=env.get("RELAY_NAME") or told["name"],
            listen=env.get("RELAY_LISTEN") or told["listen"],
            # Danger: the file is replaced while the process runs, and its environment still has the old word.
            discovery=told["discovery"] if "discovery" in told else env["RELAY_DISCOVERY"],
            state=env.get("RELAY_STATE") or told["state"],
            seed=int(str(told["seed"]), 16),
            disk_bytes=int(told["limits"]["disk_mb"] * 1_000_000),
            sockets=told["limits"].get("sockets", 1024),
            memory_bytes=int(told["limits"].get("memory_mb", 192) * 1_000_000),
            known=told["known"],
            module=module,
            classes=_places(settings["lanes"]),
            keyed=frozenset(lane["name"] for lane in settings["lanes"] if lane.get("serialByKey")),
            tenants=_places(settings.get("projects") or [{"name": ""}]),
            kinds={name: n for n, name in enumerate(settings["shapes"])},
            zones={name: n for n, name in enumerate(settings["zones"])},
            dial_us=limits["dialTimeoutNs"] // 1000,
            keepalive_us=limits["keepaliveNs"] // 1000,
            admin=env.get("RELAY_ADMIN_ADDR") or told.get("admin_addr") or "",
        )
    except KeyError as error:
        raise SettingsError(f"configuration: {error.args[0]} is missing") from None
    except (TypeError, ValueError) as error:
        raise SettingsError(f"configuration: {error}") from None


def _places(named):
    return {item["name"]: n for n, item in enumerate(named)}
