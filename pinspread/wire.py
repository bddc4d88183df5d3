"""The codec between the simulator's wire and the interface's types. No decisions.

A batch is decoded as a whole before anything acts on it; whatever is malformed raises `WireError` with one
line that says what and where.
"""

import math
import struct
from dataclasses import dataclass

from pinspread.policy.actions import CheckHealth, Disconnect, Fail, Reject, Send, SetTimer, Subscribe
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
_ROW = struct.Struct(">6sBHHBfQ")
_FLEET = struct.Struct(">QHB")
_JOB = struct.Struct(">QBIQQQfH")
_STARTED = struct.Struct(">QB6sQ")
_RESULT = struct.Struct(">QB6sHQBIB")
_HEALTH = struct.Struct(">QH6sB")
_SUBMIT = struct.Struct(">BQ6sQ")
_REFUSE = struct.Struct(">BQQ")
_REQUEST = struct.Struct(">BQ")
_ENDPOINT = struct.Struct(">B6s")
_MILLISECOND = 1_000_000


class WireError(ValueError):
    """The input does not follow the protocol."""


@dataclass(slots=True)
class Start:
    """An instance begins: its seed and settings."""

    seed: int
    settings: Settings
    report_fields: tuple[str, ...]


@dataclass(slots=True)
class Stop:
    """An instance was killed."""


class _Reader:
    """Walks over a batch's records and refuses to read past its end."""

    def __init__(self, data):
        self.data = data
        self.at = 0

    def take(self, shape, what):
        end = self.at + shape.size
        if end > len(self.data):
            raise WireError(
                f"byte {self.at}: {what} needs {shape.size} bytes, {len(self.data) - self.at} are left"
            )
        values = shape.unpack_from(self.data, self.at)
        self.at = end
        return values

    def take_bytes(self, count, what):
        end = self.at + count
        if end > len(self.data):
            raise WireError(
                f"byte {self.at}: {what} counts {count} bytes, {len(self.data) - self.at} are left"
            )
        piece = self.data[self.at : end]
        self.at = end
        return piece


class Decoder:
    """Turns batches into (instance, event) pairs; keeps the numbered lists and the report fields."""

    def __init__(self):
        self._sheets = {}
        self._fields = {}

    def batch(self, count, payload):
        """Decode one batch's records, in order."""
        reader = _Reader(payload)
        found = []
        instance = None
        for record in range(count):
            (code,) = reader.take(_U8, f"record {record} of {count}")
            try:
                if code == 11:
                    (instance,) = reader.take(_U16, "ON")
                elif code == 10:
                    self._snapshot_rows(reader)
                elif instance is None:
                    raise WireError("an event before any ON")
                else:
                    event = self._event(code, reader, instance)
                    if event is not None:
                        found.append((instance, event))
            except WireError as error:
                raise WireError(f"record {record} (code {code}): {error}") from None
        if reader.at != len(payload):
            raise WireError(f"{len(payload) - reader.at} bytes are left after the last of {count} records")
        return found

    def _snapshot_rows(self, reader):
        (sheet,) = reader.take(_U16, "SNAPSHOT_ROWS")
        (count,) = reader.take(_U32, "SNAPSHOT_ROWS")
        piece = reader.take_bytes(count * _ROW.size, "SNAPSHOT_ROWS")
        entries = []
        for endpoint, zone, kind, destination, state, weight, _ in _ROW.iter_unpack(piece):
            entries.append(
                EndpointEntry(
                    endpoint, destination, zone, kind, _named(EndpointState, state, "state"), weight
                )
            )
        self._sheets[sheet] = entries

    def _event(self, code, reader, instance):
        if code == 4:
            request, leg, endpoint, verdict, elapsed, done, detail, n = reader.take(_RESULT, "RESULT")
            left, limit = self._report(reader, n, instance)
            verdict = _named(Outcome, verdict, "verdict")
            wait = detail * _MILLISECOND if verdict is Outcome.OVERLOADED else 0
            return AttemptCompleted(request, leg, endpoint, verdict, elapsed, bool(done), wait, left, limit)
        if code == 2:
            request, cls, tenant, key, until, _, node, _ = reader.take(_JOB, "JOB_IN")
            return MessageAccepted(request, cls, int(node) if math.isfinite(node) else -1, until, key, tenant)
        if code == 6:
            return TimerFired(*reader.take(_U64, "WAKEUP"))
        if code == 1:
            _, sheet, scope = reader.take(_FLEET, "FLEET")
            scope = _named(UpdateScope, scope, "scope")
            if scope is UpdateScope.FAILED:
                return EndpointsChanged(scope, [])
            if sheet not in self._sheets:
                raise WireError(f"FLEET refers to list {sheet}, which never came")
            return EndpointsChanged(scope, self._sheets[sheet])
        if code == 5:
            return ClientCancelled(*reader.take(_U64, "HANGUP"))
        if code == 7:
            elapsed, verdict, endpoint, n = reader.take(_HEALTH, "HEALTH")
            self._report(reader, n, instance)
            return HealthCheckCompleted(endpoint, _named(Outcome, verdict, "verdict"), elapsed)
        if code == 0:
            (seed,) = reader.take(_U64, "CONFIGURE")
            (size,) = reader.take(_U32, "CONFIGURE")
            text = bytes(reader.take_bytes(size, "CONFIGURE"))
            settings, fields = read_settings(text)
            self._fields[instance] = fields
            return Start(seed, settings, fields)
        if code == 9:
            return Stop()
        if code == 3:
            reader.take(_STARTED, "STARTED")
            return None  # no class here is streamed
        if code == 8:
            reader.take(_U32, "NEIGHBOUR_SAYS")
            (size,) = reader.take(_U16, "NEIGHBOUR_SAYS")
            reader.take_bytes(size, "NEIGHBOUR_SAYS")
            return None  # peers are not listened to
        raise WireError("unknown event code")

    def _report(self, reader, n, instance):
        """The share of the limit that is left, and the limit, where the report holds them."""
        values = struct.unpack(f">{n}f", reader.take_bytes(4 * n, "load report"))
        named = dict(zip(self._fields.get(instance, ()), values, strict=False))
        return named.get("x0", 0.0), named.get("x1", 0.0)


def _named(kind, value, what):
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"unknown {what} {value}") from None


# --- settings -------------------------------------------------------------------------------------


class _Pairs:
    """The path=value lines of the settings; a missing or ill-formed key is named."""

    def __init__(self, text):
        try:
            lines = text.decode("utf-8").splitlines()
        except UnicodeDecodeError as error:
            raise WireError(f"settings: not UTF-8 at byte {error.start}") from None
        self.values = dict(line.split("=", 1) for line in lines if "=" in line)

    def get(self, path, read, *default):
        if path not in self.values:
            if default:
                return default[0]
            raise WireError(f"settings: {path} is missing")
        try:
            return read(self.values[path])
        except (ValueError, KeyError):
            raise WireError(f"settings: {path} cannot be {self.values[path]!r}") from None

    def count(self, path, *default):
        return self.get(f"{path}.count", _count, *default)


def _count(text):
    value = int(text)
    if not 0 <= value <= 10_000:
        raise ValueError
    return value


def _flag(text):
    return {"true": True, "false": False}[text]


def _items(text):
    return text.split(",") if text else []


def _number(text):
    value = float(text)
    if not math.isfinite(value):
        raise ValueError
    return value


def read_settings(text):
    """Read the settings of an instance: the interface's settings and the names of the report fields."""
    pairs = _Pairs(text)
    get = pairs.get
    classes = []
    for n in range(pairs.count("lanes")):
        lane = f"lanes.{n}."
        effect = get(lane + "effect", Idempotency)
        keyed = effect is Idempotency.WITH_KEY
        classes.append(
            TrafficClass(
                latency_objective_ns=get(lane + "aimNs", int),
                deadline_ns=get(lane + "deadlineNs", int),
                effect=effect,
                group=get(lane + "group", DeduplicationScope) if keyed else DeduplicationScope.ALL,
                deduplication_window_ns=get(lane + "windowNs", int) if keyed else 0,
                late_value_share=get(lane + "lateShare", _number, 0.0),
                priority_weight=get(lane + "value", _number, 1.0),
                in_order=get(lane + "serialByKey", _flag, False),
            )
        )
    tenants = [
        Tenant(get(f"projects.{n}.quotaRps", _number), get(f"projects.{n}.share", _number))
        for n in range(pairs.count("projects", 0))
    ]
    bundles = get("specifics.bundleMax", lambda text: [int(item) for item in _items(text)])
    apart = get("specifics.kindApart", lambda text: [_flag(item) for item in _items(text)])
    settings = Settings(
        classes=classes,
        kinds=[DestinationKind(routes, bundle) for routes, bundle in zip(apart, bundles, strict=False)],
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
        zone_fees=get("specifics.zoneFee", lambda text: [_number(item) for item in _items(text)], []),
    )
    return settings, tuple(get("report.fields", _items, []))


# --- replies --------------------------------------------------------------------------------------


def source(instance):
    """The record that names the instance of the actions after it."""
    return struct.pack(">BH", 7, instance)


def fault(text):
    """The record that declares the decision code failed."""
    data = text.encode("utf-8", "replace")[:60_000]
    return struct.pack(">BH", 9, len(data)) + data


def encode(action):
    """One action as a record."""
    kind = type(action)
    if kind is Send:
        return _SUBMIT.pack(1, action.request, action.endpoint, action.timeout_ns)
    if kind is SetTimer:
        return _REFUSE.pack(8, action.tag, action.delay_ns)
    if kind is Reject:
        return _REFUSE.pack(6, action.request, action.retry_after_ns)
    if kind is Fail:
        return _REQUEST.pack(10, action.request)
    if kind is CheckHealth:
        return _ENDPOINT.pack(4, action.endpoint)
    if kind is Disconnect:
        return _ENDPOINT.pack(11, action.endpoint)
    if kind is Subscribe:
        return b"\x02\x01"
    raise TypeError(f"no record for {action!r}")


def reply(records):
    """A whole reply of encoded records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body
