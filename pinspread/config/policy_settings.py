"""Reads the policy's settings from path=value lines.

The simulator's wire carries settings in this format. The platform's configuration file has the same settings
as nested objects, which `flatten` converts to such lines. Keys and values are named by the platform; this
module maps them to the policy's fields.
"""

import math
from collections.abc import Callable, Iterator
from typing import TypeVar

from pinspread.errors import PinspreadError
from pinspread.policy.settings import (
    DeduplicationScope,
    DestinationKind,
    Idempotency,
    Settings,
    Tenant,
    TrafficClass,
)

_MAX_COUNT = 10_000  # largest number of items in a numbered list

T = TypeVar("T")


class PolicySettingsError(PinspreadError, ValueError):
    """A line of the settings is missing or malformed; the text names its path."""


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Convert nested settings to the path=value lines of the simulator's wire."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        yield f"{path}.count={len(value)}"
        for n, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{n}")
    elif isinstance(value, list):
        yield f"{path}={','.join(map(_format_value, value))}"
    else:
        yield f"{path}={_format_value(value)}"


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


class _SettingLines:
    """The path=value lines of the settings; errors name the path of a missing or malformed line."""

    def __init__(self, text: bytes) -> None:
        try:
            lines = text.decode("utf-8").splitlines()
        except UnicodeDecodeError as error:
            raise PolicySettingsError(f"settings: not UTF-8 at byte {error.start}") from None
        self.values = dict(line.split("=", 1) for line in lines if "=" in line)

    def get(self, path: str, parse: Callable[[str], T], default: T | None = None) -> T:
        """The parsed value of a path, or `default` if the path is missing.

        Raises:
            PolicySettingsError: The path is missing and has no default, or its value is malformed.
        """
        if path not in self.values:
            if default is not None:
                return default
            raise PolicySettingsError(f"settings: {path} is missing")
        try:
            return parse(self.values[path])
        except (ValueError, KeyError):
            raise PolicySettingsError(f"settings: {path} cannot be {self.values[path]!r}") from None

    def count(self, path: str, default: int | None = None) -> int:
        """The number of items in the numbered list at a path."""
        return self.get(f"{path}.count", _count, default)


def _count(text: str) -> int:
    value = int(text)
    if not 0 <= value <= _MAX_COUNT:
        raise ValueError
    return value


def _flag(text: str) -> bool:
    return {"true": True, "false": False}[text]


def _items(text: str) -> list[str]:
    return text.split(",") if text else []


def _number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError
    return value


def _numbers(text: str) -> list[float]:
    return [_number(item) for item in _items(text)]


def _integers(text: str) -> list[int]:
    return [int(item) for item in _items(text)]


def _flags(text: str) -> list[bool]:
    return [_flag(item) for item in _items(text)]


def read_settings(text: bytes) -> tuple[Settings, tuple[str, ...]]:
    """Read the settings of an instance: the policy's settings, and the names of the load report's fields.

    Raises:
        PolicySettingsError: A line is missing or malformed.
        ValueError: The settings are inconsistent.
    """
    lines = _SettingLines(text)
    get = lines.get
    classes = [_read_class(lines, f"lanes.{n}.") for n in range(lines.count("lanes"))]
    tenants = [_read_tenant(lines, f"projects.{n}.") for n in range(lines.count("projects", 0))]
    kinds = _read_kinds(lines)
    settings = Settings(
        classes=classes,
        kinds=kinds,
        max_concurrent_calls=get("specifics.callsOut", int),
        max_held_messages=get("policyLimits.mostHeld", int),
        max_attempts=get("policyLimits.sendCap", int),
        tenants=tenants,
        senders=get("balancers", int, 1),
        zone=get("az", int, 0),
        over_quota_weight=get("overShareWorth", _number, 1.0),
        value_halves=get("specifics.late", str, "line") == "halves",
        weights_known=get("weights", str, "none") in ("nominal", "rough"),
        health_checks_allowed=get("policyLimits.probes", _flag, False),
        cancellation_allowed=get("policyLimits.mayCancel", _flag, False),
        retry_after_allowed=get("policyLimits.retryAfter", _flag, False),
        max_retry_after_ns=get("policyLimits.maxRetryAfterNs", int, 0),
        streams_per_connection=get("policyLimits.multiplex", int, 1),
        keepalive_ns=get("policyLimits.keepaliveNs", int, 0),
        drain_grace_ns=get("rules.drainGraceNs", int),
        slow_start_fraction=get("rules.coldFrom", _number),
        slow_start_ns=get("rules.coldNs", int),
        overload_multiple=get("rules.tipMultiple", _number),
        ordering_pause_ns=get("rules.orderPauseNs", int, 0),
        weights_exact=get("weights", str, "none") == "nominal",
        polled_discovery=get("membershipMode", str, "pushed") == "on_request",
        max_poll_interval_ns=get("rules.mustAskInNs", int, 0),
        handshake_price=get("prices.handshake", _number, 0.0),
        cross_zone_price=get("prices.crossZone", _number, 0.0),
        zone_fees=get("specifics.zoneFee", _numbers, []),
    )
    return settings, tuple(get("report.fields", _items, []))


def _read_class(lines: _SettingLines, lane: str) -> TrafficClass:
    get = lines.get
    effect = get(lane + "effect", Idempotency)
    idempotent_by_key = effect is Idempotency.WITH_KEY
    return TrafficClass(
        latency_objective_ns=get(lane + "aimNs", int),
        deadline_ns=get(lane + "deadlineNs", int),
        effect=effect,
        group=get(lane + "group", DeduplicationScope) if idempotent_by_key else DeduplicationScope.ALL,
        deduplication_window_ns=get(lane + "windowNs", int) if idempotent_by_key else 0,
        late_value_share=get(lane + "lateShare", _number, 0.0),
        priority_weight=get(lane + "value", _number, 1.0),
        in_order=get(lane + "serialByKey", _flag, False),
    )


def _read_tenant(lines: _SettingLines, project: str) -> Tenant:
    return Tenant(lines.get(project + "quotaRps", _number), lines.get(project + "share", _number))


def _read_kinds(lines: _SettingLines) -> list[DestinationKind]:
    bundle_sizes = lines.get("specifics.bundleMax", _integers)
    limits_per_endpoint = lines.get("specifics.kindApart", _flags)
    pairs = zip(limits_per_endpoint, bundle_sizes, strict=False)
    return [DestinationKind(separate_limits, bundle_size) for separate_limits, bundle_size in pairs]
