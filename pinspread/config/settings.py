"""The platform's configuration, read from the file that `RELAY_CONFIG` names.

The file's keys and the environment variables are named by the platform. This module maps them to the fields
of `EffectiveSettings`; `policy_settings.py` maps those that concern the policy.
"""

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import orjson

from pinspread.config.document import (
    CachedList,
    Document,
    KeyKinds,
    MessageClass,
    convert,
    find_gaps,
    key_kinds,
    without_nulls,
)
from pinspread.config.policy_settings import flatten, read_settings
from pinspread.core.address import split_address
from pinspread.core.messages import DeliveryRules
from pinspread.core.time_units import NS_PER_MS, NS_PER_US
from pinspread.errors import PinspreadError
from pinspread.policy.settings import Settings

BYTES_PER_MB = 1_000_000
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
NO_TENANT = ""  # the only name where a deployment has no tenants
LIMIT_REPORT_FIELDS = {"x0", "x1"}  # the unused part of a limit, and the limit


class SettingsError(PinspreadError, ValueError):
    """The configuration is unusable; the text names the file or the setting."""


@dataclass(slots=True)
class EffectiveSettings:
    """A node's configuration.

    Attributes:
        name: The node's name.
        listen: The address for clients over RESP2, as host:port; if empty, they are not served.
        discovery: The platform's address, for the endpoint list and for notifications.
        state: The persistent state folder.
        seed: The seed of the random numbers.
        disk_bytes: How much disk space the state folder may take.
        sockets: How many descriptors the node may use.
        memory_bytes: How much memory it may use.
        cached_endpoints: The endpoint list in the file, which may be out of date.
        policy_settings: The settings of the delivery policy.
        delivery_rules: The rules for messages of each class, by its name.
        tenants: The index of each tenant in the policy's settings, by its name.
        kinds: The index of each kind of destination, by its name.
        zones: The index of each zone of endpoints, by its name.
        connect_timeout_us: Time limit to connect to an endpoint, in microseconds.
        keepalive_us: How long idle connections to endpoints are kept, in microseconds.
        admin: The address of the admin server; if empty, it is off.
        load_reports_enabled: Whether answers report a limit and its unused part.
        inherited_listener_descriptor: The descriptor of a listening socket that the platform holds; None
            without one.
        key_kinds: The keys of the file and the kinds of their values, without those inside lists.
        raw: The contents of the file; empty if the settings come from elsewhere.
    """

    name: str
    listen: str
    discovery: str
    state: str
    seed: int
    disk_bytes: int
    sockets: int
    memory_bytes: int
    cached_endpoints: CachedList
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
    key_kinds: KeyKinds = field(default_factory=dict)
    raw: bytes = b""

    @property
    def max_retry_after_ms(self) -> int:
        """The longest Retry-After that is sent to clients, in milliseconds."""
        return self.policy_settings.max_retry_after_ns // NS_PER_MS


def from_environment(environment: Mapping[str, str], last: KeyKinds | None = None) -> EffectiveSettings:
    """Read the configuration file; except for discovery, environment variables override its values.

    Args:
        environment: The environment variables; `RELAY_CONFIG` names the file.
        last: The keys of the settings in effect, if any; a file that lacks one of them is refused.

    Raises:
        SettingsError: The file cannot be read, or is unusable.
    """
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise SettingsError("RELAY_CONFIG is not set; it must name the configuration file")
    try:
        with open(path, "rb") as file:
            raw = file.read()
        effective = parse(raw, environment)
        check_complete(effective, last or {})
    except (OSError, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from None
    return effective


def parse(raw: bytes, environment: Mapping[str, str]) -> EffectiveSettings:
    """Read the configuration from the contents of the platform's file; SettingsError if it is unusable."""
    try:
        document = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise SettingsError(f"configuration: {error}") from None
    effective = read(document, environment)
    if not effective.discovery:
        raise SettingsError("configuration: discovery is empty, expected host:port")
    effective.raw = raw
    return effective


def check_complete(effective: EffectiveSettings, last: KeyKinds) -> None:
    """Refuse a file that lacks keys of the last one, since defaults would replace them unnoticed.

    Raises:
        SettingsError: Keys are missing, or have values of another kind.
    """
    gaps = find_gaps(effective.key_kinds, last)
    if gaps:
        raise SettingsError(f"{', '.join(gaps)} as in the settings in effect")


def read(document: object, environment: Mapping[str, str]) -> EffectiveSettings:
    """Read the configuration from its JSON value; SettingsError if it is unusable."""
    try:
        complete = without_nulls(document)
        effective = _read(convert(complete), environment)
        effective.key_kinds = dict(key_kinds(complete))
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise SettingsError(f"configuration: {error}") from None
    return effective


def _read(document: Document, environment: Mapping[str, str]) -> EffectiveSettings:
    settings, limits = document["settings"], document["limits"]
    text = "\n".join(flatten(settings)).encode()
    policy_settings, report_fields = read_settings(text)
    policy_limits = settings["policyLimits"]
    admin = environment.get("RELAY_ADMIN_ADDR") or document.get("admin_addr", "")
    return EffectiveSettings(
        name=_required("name", environment.get("RELAY_NAME") or document.get("name")),
        listen=_address("listen", environment.get("RELAY_LISTEN") or document.get("listen")),
        # The file may be replaced while the process runs, when its environment still has the old address.
        discovery=_address("discovery", document.get("discovery", environment.get("RELAY_DISCOVERY"))),
        state=_required("state", environment.get("RELAY_STATE") or document.get("state")),
        seed=int(document["seed"], 16),
        disk_bytes=int(limits["disk_mb"] * BYTES_PER_MB),
        sockets=limits.get("sockets", DEFAULT_SOCKETS),
        memory_bytes=int(limits.get("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB),
        cached_endpoints=document["known"],
        policy_settings=policy_settings,
        delivery_rules=_delivery_rules(settings["lanes"], policy_settings),
        tenants=_indices([project["name"] for project in settings.get("projects", [])] or [NO_TENANT]),
        kinds=_indices(settings["shapes"]),
        zones=_indices(settings["zones"]),
        connect_timeout_us=policy_limits["dialTimeoutNs"] // NS_PER_US,
        keepalive_us=policy_limits["keepaliveNs"] // NS_PER_US,
        admin=_address("admin_addr", admin),
        load_reports_enabled=set(report_fields) >= LIMIT_REPORT_FIELDS,
        inherited_listener_descriptor=_descriptor(environment.get("RELAY_PASSED_SOCKET")),
    )


def _required(key: str, value: str | None) -> str:
    if value is None:
        raise ValueError(f"{key} is missing")
    return value


def _address(key: str, value: str | None) -> str:
    """Check an address, which may be empty."""
    address = _required(key, value)
    if address:
        split_address(address)
    return address


def _delivery_rules(lanes: Sequence[MessageClass], policy_settings: Settings) -> dict[str, DeliveryRules]:
    rules: dict[str, DeliveryRules] = {}
    for lane, traffic_class in zip(lanes, policy_settings.classes, strict=True):
        if lane["name"] in rules:
            raise ValueError(f"class name {lane['name']!r} is used twice")
        rules[lane["name"]] = DeliveryRules(traffic_class, policy_settings.max_attempts)
    return rules


def _descriptor(text: str | None) -> int | None:
    """The descriptor number in a text, which is the last number there; None if there is none."""
    numbers = re.findall(r"\d+", text or "")
    return int(numbers[-1]) if numbers else None


def _indices(names: Sequence[str]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}
