"""The platform's configuration, read from the file that `RELAY_CONFIG` names.

The file's keys and the names in the environment are the platform's; this module maps them to the fields of
`EffectiveSettings`, and by way of `policy_settings.py` to the policy's settings.
"""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from pinspread.config.policy_settings import flatten, read_settings
from pinspread.core.messages import DeliveryRules
from pinspread.core.time_units import NS_PER_MS, NS_PER_US
from pinspread.errors import PinspreadError
from pinspread.policy.settings import Settings

BYTES_PER_MB = 1_000_000
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
LIMIT_REPORT_FIELDS = {"x0", "x1"}  # what is left of a limit, and the limit


class SettingsError(PinspreadError, ValueError):
    """The configuration cannot be used; the text names the place."""


@dataclass(slots=True)
class EffectiveSettings:
    """A node's configuration.

    Attributes:
        name: The node's name.
        listen: Where clients are served over RESP2, as host:port; empty: not at all.
        discovery: The platform's address, for the endpoint list and notifications.
        state: The folder that lasts.
        seed: Of the random numbers.
        disk_bytes: Room in that folder.
        sockets: How many descriptors the node may use.
        memory_bytes: How much memory it may use.
        cached_endpoints: The endpoint list of the file, which may be old.
        policy_settings: What the delivery policy goes by.
        delivery_rules: By the name of a class, the rules of what is accepted under it.
        tenants: By name, the place in the policy's settings; so are `kinds` and `zones`.
        kinds: Kinds of destinations.
        zones: Zones of endpoints.
        connect_timeout_us: For a connection to an endpoint, in microseconds.
        keepalive_us: How long idle connections to endpoints are kept, in microseconds.
        admin: Where the admin server listens; empty: it is off.
        load_reports_enabled: Answers tell what is left of a limit, and the limit.
        inherited_listener_descriptor: Of a listening socket that the platform holds; None without one.
        setting_paths: Paths of the settings in the file that are no lists.
        raw: The file as it was read; empty if there was none.
    """

    name: str
    listen: str
    discovery: str
    state: str
    seed: int
    disk_bytes: int
    sockets: int
    memory_bytes: int
    cached_endpoints: dict[str, Any]
    policy_settings: Settings
    delivery_rules: dict[str, DeliveryRules]
    tenants: dict[str, int]
    kinds: dict[str, int]
    zones: dict[str, int]
    connect_timeout_us: int
    keepalive_us: int
    admin: str = ""
    load_reports_enabled: bool = False
    inherited_listener_descriptor: int | None = None
    setting_paths: frozenset[str] = frozenset()
    raw: bytes = b""

    @property
    def max_retry_after_ms(self) -> int:
        """The longest Retry-After that clients are given, in milliseconds."""
        return self.policy_settings.max_retry_after_ns // NS_PER_MS


def from_environment(
    environment: Mapping[str, str], last: EffectiveSettings | None = None
) -> EffectiveSettings:
    """The configuration file, with the environment's word where both speak (but for discovery).

    Args:
        environment: Names the file by `RELAY_CONFIG`.
        last: The settings in force; a file that lacks a setting of those is refused.

    Raises:
        SettingsError: The file cannot be read or used.
    """
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise SettingsError("RELAY_CONFIG names no configuration file")
    try:
        with open(path, "rb") as file:
            raw = file.read()
        effective = read(orjson.loads(raw), environment)
    except (OSError, orjson.JSONDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    if last:
        _check_complete(effective, last, path)
    effective.raw = raw
    return effective


def _check_complete(effective: EffectiveSettings, last: EffectiveSettings, path: str) -> None:
    """Refuse a file that has lost settings: many have a default, which would count unnoticed."""
    missing = sorted(last.setting_paths - effective.setting_paths)
    if missing:
        raise SettingsError(f"{path}: {', '.join(missing)} is missing; the settings in force have it")


def read(document: dict[str, Any], environment: Mapping[str, str]) -> EffectiveSettings:
    """The configuration from its JSON object; SettingsError if it cannot be used."""
    try:
        return _read(document, environment)
    except KeyError as error:
        raise SettingsError(f"configuration: {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SettingsError(f"configuration: {error}") from None


def _read(document: dict[str, Any], environment: Mapping[str, str]) -> EffectiveSettings:
    settings = document["settings"]
    text = "\n".join(flatten(settings)).encode()
    policy_settings, report_fields = read_settings(text)
    policy_limits = settings["policyLimits"]
    return EffectiveSettings(
        name=environment.get("RELAY_NAME") or document["name"],
        listen=environment.get("RELAY_LISTEN") or document["listen"],
        # The file is replaced while the process runs, and its environment still has the old word.
        discovery=document["discovery"] if "discovery" in document else environment["RELAY_DISCOVERY"],
        state=environment.get("RELAY_STATE") or document["state"],
        seed=int(str(document["seed"]), 16),
        disk_bytes=int(document["limits"]["disk_mb"] * BYTES_PER_MB),
        sockets=document["limits"].get("sockets", DEFAULT_SOCKETS),
        memory_bytes=int(document["limits"].get("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB),
        cached_endpoints=document["known"],
        policy_settings=policy_settings,
        delivery_rules=_delivery_rules(settings["lanes"], policy_settings),
        tenants=_indices(settings.get("projects") or [{"name": ""}]),
        kinds={name: index for index, name in enumerate(settings["shapes"])},
        zones={name: index for index, name in enumerate(settings["zones"])},
        connect_timeout_us=policy_limits["dialTimeoutNs"] // NS_PER_US,
        keepalive_us=policy_limits["keepaliveNs"] // NS_PER_US,
        admin=environment.get("RELAY_ADMIN_ADDR") or document.get("admin_addr") or "",
        load_reports_enabled=set(report_fields) >= LIMIT_REPORT_FIELDS,
        inherited_listener_descriptor=_descriptor(environment.get("RELAY_PASSED_SOCKET")),
        setting_paths=frozenset(_setting_paths(settings)),
    )


def _delivery_rules(lanes: list[dict[str, Any]], policy_settings: Settings) -> dict[str, DeliveryRules]:
    rules: dict[str, DeliveryRules] = {}
    for lane, traffic_class in zip(lanes, policy_settings.classes, strict=True):
        if lane["name"] in rules:
            raise ValueError(f"class {lane['name']!r} is named twice")
        rules[lane["name"]] = DeliveryRules(traffic_class, policy_settings.max_attempts)
    return rules


def _setting_paths(settings: dict[str, Any], path: str = "") -> Iterator[str]:
    """The paths of what is no list: those may grow and shrink."""
    for name, inner in settings.items():
        yield path + name
        if isinstance(inner, dict):
            yield from _setting_paths(inner, f"{path}{name}.")


def _descriptor(text: str | None) -> int | None:
    """The number that a descriptor is named by, alone or behind other words; None without one."""
    numbers = re.findall(r"\d+", text or "")
    return int(numbers[-1]) if numbers else None


def _indices(named: list[dict[str, Any]]) -> dict[str, int]:
    return {item["name"]: index for index, item in enumerate(named)}
