"""The codec between the simulator's wire and the policy's events and actions. No decisions.

A batch is decoded as a whole before anything acts on it; whatever is malformed raises `WireError` with one
line that says what and where. Times are nanoseconds, but a Retry-After is in milliseconds on the wire. Keys
and codes are the simulator's; only this module knows them.
"""

import math
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any, TypeVar

from pinspread.policy.actions import Action, CheckHealth, Disconnect, Fail, Reject, Send, SetTimer, Subscribe
from pinspread.policy.events import (
    AttemptCompleted,
    ClientCancelled,
    EndpointEntry,
    EndpointsChanged,
    EndpointState,
    HealthCheckCompleted,
    MessageAccepted,
    Outcome,
    TimerFired,
    UpdateScope,
)
from pinspread.policy.settings import (
    DeduplicationScope,
    DestinationKind,
    Idempotency,
    Settings,
    Tenant,
    TrafficClass,
)

BATCH_HEADER = struct.Struct(">IIQ")  # records, bytes, clock
REPLY_HEADER = struct.Struct(">II")  # bytes, records
FIRST_FRAME_LIMIT = 1 << 30  # no honest batch comes near this size

_U8, _U16, _U32, _U64 = (struct.Struct(">" + code) for code in "BHIQ")
_ROW = struct.Struct(">6sBHHBfQ")  # endpoint, zone, kind, destination, state, weight, since
_FLEET = struct.Struct(">QHB")
_JOB = struct.Struct(">QBIQQQfH")
_STARTED = struct.Struct(">QB6sQ")
_RESULT = struct.Struct(">QB6sHQBIB")
_HEALTH = struct.Struct(">QH6sB")
_SUBMIT = struct.Struct(">BQ6sQ")
_REQUEST_AND_TIME = struct.Struct(">BQQ")
_REQUEST = struct.Struct(">BQ")
_ENDPOINT = struct.Struct(">B6s")
_SOURCE = struct.Struct(">BH")
_FAULT = struct.Struct(">BH")
_NS_PER_MS = 1_000_000
_MAX_FAULT_BYTES = 60_000
_MAX_COUNT = 10_000  # of items that the settings number

T = TypeVar("T")
E = TypeVar("E", bound=Enum)


class EventCode(IntEnum):
    """The codes of the records in a batch; the names are the simulator's."""

    CONFIGURE = 0
    FLEET = 1
    JOB_IN = 2
    STARTED = 3
    RESULT = 4
    HANGUP = 5
    WAKEUP = 6
    HEALTH = 7
    NEIGHBOUR_SAYS = 8
    KILLED = 9
    SNAPSHOT_ROWS = 10
    ON = 11


class ActionCode(IntEnum):
    """The codes of the records in a reply."""

    SEND = 1
    SUBSCRIBE = 2
    CHECK_HEALTH = 4
    REJECT = 6
    ON = 7
    SET_TIMER = 8
    FAULT = 9
    FAIL = 10
    DISCONNECT = 11


class WireError(ValueError):
    """The input does not follow the protocol."""


@dataclass(slots=True)
class Start:
    """An instance begins: its seed and settings, and the names of the fields in load reports."""

    seed: int
    settings: Settings
    report_fields: tuple[str, ...]


@dataclass(slots=True)
class Stop:
    """An instance was killed."""


Event = (
    Start
    | Stop
    | AttemptCompleted
    | ClientCancelled
    | EndpointsChanged
    | HealthCheckCompleted
    | MessageAccepted
    | TimerFired
)


class _Reader:
    """Walks over a batch's records and refuses to read past its end."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def take(self, layout: struct.Struct, what: str) -> tuple[Any, ...]:
        """The values of one layout; `what` names the record in an error."""
        end = self.position + layout.size
        if end > len(self.data):
            left = len(self.data) - self.position
            raise WireError(f"byte {self.position}: {what} needs {layout.size} bytes, {left} are left")
        values = layout.unpack_from(self.data, self.position)
        self.position = end
        return values

    def take_bytes(self, count: int, what: str) -> bytes:
        """So many bytes, as the record itself counts them."""
        end = self.position + count
        if end > len(self.data):
            left = len(self.data) - self.position
            raise WireError(f"byte {self.position}: {what} counts {count} bytes, {left} are left")
        piece = self.data[self.position : end]
        self.position = end
        return piece


class Decoder:
    """Turns batches into (instance, event) pairs; keeps the numbered lists and the names of report fields."""

    def __init__(self) -> None:
        self._lists: dict[int, list[EndpointEntry]] = {}
        self._report_fields: dict[int, tuple[str, ...]] = {}  # by instance
        self._read_event: dict[int, Callable[[_Reader, int], Event | None]] = {
            EventCode.CONFIGURE: self._read_configure,
            EventCode.FLEET: self._read_fleet,
            EventCode.JOB_IN: _read_job_in,
            EventCode.STARTED: _skip_started,
            EventCode.RESULT: self._read_result,
            EventCode.HANGUP: _read_hangup,
            EventCode.WAKEUP: _read_wakeup,
            EventCode.HEALTH: self._read_health,
            EventCode.NEIGHBOUR_SAYS: _skip_neighbour_says,
            EventCode.KILLED: _read_killed,
        }

    def batch(self, count: int, payload: bytes) -> list[tuple[int, Event]]:
        """Decode one batch's records, in order."""
        reader = _Reader(payload)
        found: list[tuple[int, Event]] = []
        instance: int | None = None
        for record in range(count):
            (code,) = reader.take(_U8, f"record {record} of {count}")
            try:
                if code == EventCode.ON:
                    (instance,) = reader.take(_U16, "ON")
                elif code == EventCode.SNAPSHOT_ROWS:
                    self._read_snapshot_rows(reader)
                else:
                    instance, event = self._event(code, reader, instance)
                    if event is not None:
                        found.append((instance, event))
            except WireError as error:
                raise WireError(f"record {record} (code {code}): {error}") from None
        if reader.position != len(payload):
            left = len(payload) - reader.position
            raise WireError(f"{left} bytes are left after the last of {count} records")
        return found

    def _event(self, code: int, reader: _Reader, instance: int | None) -> tuple[int, Event | None]:
        """The event of one record, if it has one, with the instance that it is for."""
        if instance is None:
            raise WireError("an event before any ON")
        read = self._read_event.get(code)
        if read is None:
            raise WireError("unknown event code")
        return instance, read(reader, instance)

    def _read_snapshot_rows(self, reader: _Reader) -> None:
        (number,) = reader.take(_U16, "SNAPSHOT_ROWS")
        (count,) = reader.take(_U32, "SNAPSHOT_ROWS")
        rows = reader.take_bytes(count * _ROW.size, "SNAPSHOT_ROWS")
        self._lists[number] = [_entry(row) for row in _ROW.iter_unpack(rows)]

    def _read_configure(self, reader: _Reader, instance: int) -> Start:
        (seed,) = reader.take(_U64, "CONFIGURE")
        (size,) = reader.take(_U32, "CONFIGURE")
        text = bytes(reader.take_bytes(size, "CONFIGURE"))
        settings, report_fields = read_settings(text)
        self._report_fields[instance] = report_fields
        return Start(seed, settings, report_fields)

    def _read_fleet(self, reader: _Reader, instance: int) -> EndpointsChanged:
        _, number, scope_code = reader.take(_FLEET, "FLEET")
        scope = _member(UpdateScope, scope_code, "scope")
        if scope is UpdateScope.FAILED:
            return EndpointsChanged(scope, [])
        if number not in self._lists:
            raise WireError(f"FLEET refers to list {number}, which never came")
        return EndpointsChanged(scope, self._lists[number])

    def _read_result(self, reader: _Reader, instance: int) -> AttemptCompleted:
        request, attempt, endpoint, code, elapsed_ns, done, detail, report_size = reader.take(
            _RESULT, "RESULT"
        )
        limit_remaining, limit_per_s = self._read_report(reader, report_size, instance)
        outcome = _member(Outcome, code, "verdict")
        retry_after_ns = detail * _NS_PER_MS if outcome is Outcome.OVERLOADED else 0
        return AttemptCompleted(
            request,
            attempt,
            endpoint,
            outcome,
            elapsed_ns,
            bool(done),
            retry_after_ns,
            limit_remaining,
            limit_per_s,
        )

    def _read_health(self, reader: _Reader, instance: int) -> HealthCheckCompleted:
        elapsed_ns, code, endpoint, report_size = reader.take(_HEALTH, "HEALTH")
        self._read_report(reader, report_size, instance)
        return HealthCheckCompleted(endpoint, _member(Outcome, code, "verdict"), elapsed_ns)

    def _read_report(self, reader: _Reader, size: int, instance: int) -> tuple[float, float]:
        """The share of the limit that is left, and the limit, where the load report holds them."""
        values = struct.unpack(f">{size}f", reader.take_bytes(4 * size, "load report"))
        named = dict(zip(self._report_fields.get(instance, ()), values, strict=False))
        return named.get("x0", 0.0), named.get("x1", 0.0)


def _entry(row: tuple[Any, ...]) -> EndpointEntry:
    endpoint, zone, kind, destination, state, weight, _ = row
    return EndpointEntry(endpoint, destination, zone, kind, _member(EndpointState, state, "state"), weight)


def _read_job_in(reader: _Reader, instance: int) -> MessageAccepted:
    request, class_index, tenant, key, deadline_ns, _, destination, _ = reader.take(_JOB, "JOB_IN")
    known = math.isfinite(destination)
    return MessageAccepted(request, class_index, int(destination) if known else -1, deadline_ns, key, tenant)


def _read_wakeup(reader: _Reader, instance: int) -> TimerFired:
    return TimerFired(*reader.take(_U64, "WAKEUP"))


def _read_hangup(reader: _Reader, instance: int) -> ClientCancelled:
    return ClientCancelled(*reader.take(_U64, "HANGUP"))


def _read_killed(reader: _Reader, instance: int) -> Stop:
    return Stop()


def _skip_started(reader: _Reader, instance: int) -> None:
    """No class here is streamed."""
    reader.take(_STARTED, "STARTED")


def _skip_neighbour_says(reader: _Reader, instance: int) -> None:
    """Other instances are not listened to."""
    reader.take(_U32, "NEIGHBOUR_SAYS")
    (size,) = reader.take(_U16, "NEIGHBOUR_SAYS")
    reader.take_bytes(size, "NEIGHBOUR_SAYS")


def _member(enum: type[E], value: int, what: str) -> E:
    try:
        return enum(value)
    except ValueError:
        raise WireError(f"unknown {what} {value}") from None


# --- settings -------------------------------------------------------------------------------------


class _SettingLines:
    """The path=value lines of the settings; a missing or ill-formed key is named."""

    def __init__(self, text: bytes) -> None:
        try:
            lines = text.decode("utf-8").splitlines()
        except UnicodeDecodeError as error:
            raise WireError(f"settings: not UTF-8 at byte {error.start}") from None
        self.values = dict(line.split("=", 1) for line in lines if "=" in line)

    def get(self, path: str, parse: Callable[[str], T], default: T | None = None) -> T:
        """The value of a path; one without a default must be there."""
        if path not in self.values:
            if default is not None:
                return default
            raise WireError(f"settings: {path} is missing")
        try:
            return parse(self.values[path])
        except (ValueError, KeyError):
            raise WireError(f"settings: {path} cannot be {self.values[path]!r}") from None

    def count(self, path: str, default: int | None = None) -> int:
        """How many numbered items there are below a path."""
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
    """Read the settings of an instance: the policy's settings and the names of the report fields.

    Raises:
        WireError: A line is missing or cannot be read.
        ValueError: The settings do not fit together.
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
    keyed = effect is Idempotency.WITH_KEY
    return TrafficClass(
        latency_objective_ns=get(lane + "aimNs", int),
        deadline_ns=get(lane + "deadlineNs", int),
        effect=effect,
        group=get(lane + "group", DeduplicationScope) if keyed else DeduplicationScope.ALL,
        deduplication_window_ns=get(lane + "windowNs", int) if keyed else 0,
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
    return [DestinationKind(apart, bundle_size) for apart, bundle_size in pairs]


# --- replies --------------------------------------------------------------------------------------


def source(instance: int) -> bytes:
    """The record that names the instance of the actions after it."""
    return _SOURCE.pack(ActionCode.ON, instance)


def fault(text: str) -> bytes:
    """The record that declares that the policy's code failed."""
    data = text.encode("utf-8", "replace")[:_MAX_FAULT_BYTES]
    return _FAULT.pack(ActionCode.FAULT, len(data)) + data


def encode(action: Action) -> bytes:
    """One action as a record; TypeError if it is none."""
    encoder = _ENCODERS.get(type(action))
    if encoder is None:
        raise TypeError(f"no record for {action!r}")
    return encoder(action)


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    Send: lambda send: _SUBMIT.pack(ActionCode.SEND, send.request, send.endpoint, send.timeout_ns),
    SetTimer: lambda timer: _REQUEST_AND_TIME.pack(ActionCode.SET_TIMER, timer.tag, timer.delay_ns),
    Reject: lambda reject: _REQUEST_AND_TIME.pack(ActionCode.REJECT, reject.request, reject.retry_after_ns),
    Fail: lambda fail: _REQUEST.pack(ActionCode.FAIL, fail.request),
    CheckHealth: lambda check: _ENDPOINT.pack(ActionCode.CHECK_HEALTH, check.endpoint),
    Disconnect: lambda disconnect: _ENDPOINT.pack(ActionCode.DISCONNECT, disconnect.endpoint),
    Subscribe: lambda _: bytes((ActionCode.SUBSCRIBE, 1)),
}


def reply(records: Iterable[bytes]) -> bytes:
    """A whole reply of encoded records."""
    encoded = list(records)
    body = b"".join(encoded)
    return REPLY_HEADER.pack(len(body), len(encoded)) + body
