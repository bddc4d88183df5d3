"""Decodes batches into events of the policy.

A batch is decoded as a whole before anything acts on it. Malformed data raises `WireError` with a one-line
text that says what is malformed, and where.
"""

import math
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from pinspread.config.policy_settings import PolicySettingsError, read_settings
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
from pinspread.policy.events import Event as PolicyEvent
from pinspread.policy.settings import Settings
from pinspread.simulator_wire.protocol import EventCode, WireError

_U8, _U16, _U32, _U64 = (struct.Struct(">" + code) for code in "BHIQ")
_ROW = struct.Struct(">6sBHHBfQ")  # endpoint, zone, kind, destination, state, weight, since
_FLEET = struct.Struct(">QHB")
_JOB = struct.Struct(">QBIQQQfH")
_STARTED = struct.Struct(">QB6sQ")
_RESULT = struct.Struct(">QB6sHQBIB")
_HEALTH = struct.Struct(">QH6sB")
_NS_PER_MS = 1_000_000

E = TypeVar("E", bound=Enum)


@dataclass(slots=True)
class Start:
    """An instance starts, with its seed, its settings and the names of the fields in load reports."""

    seed: int
    settings: Settings
    report_fields: tuple[str, ...]


@dataclass(slots=True)
class Stop:
    """An instance was killed."""


Event = Start | Stop | PolicyEvent


class _Reader:
    """Reads a batch's records in order, and refuses to read past its end."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def take(self, layout: struct.Struct, what: str) -> tuple[Any, ...]:
        """Read the values of one layout; `what` names the record in an error."""
        end = self.position + layout.size
        if end > len(self.data):
            left = len(self.data) - self.position
            raise WireError(f"byte {self.position}: {what} needs {layout.size} bytes, but {left} are left")
        values = layout.unpack_from(self.data, self.position)
        self.position = end
        return values

    def take_bytes(self, count: int, what: str) -> bytes:
        """Read `count` bytes, a number that the record itself gives; `what` names the record in an error."""
        end = self.position + count
        if end > len(self.data):
            left = len(self.data) - self.position
            raise WireError(f"byte {self.position}: {what} counts {count} bytes, but {left} are left")
        taken_bytes = self.data[self.position : end]
        self.position = end
        return taken_bytes


class Decoder:
    """Decodes batches into (instance, event) pairs.

    It keeps what later batches refer to: the numbered endpoint lists and the names of report fields.
    """

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
        decoded_events: list[tuple[int, Event]] = []
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
                        decoded_events.append((instance, event))
            except WireError as error:
                raise WireError(f"record {record} (code {code}): {error}") from None
        if reader.position != len(payload):
            left = len(payload) - reader.position
            raise WireError(f"{left} bytes are left after the last of {count} records")
        return decoded_events

    def _event(self, code: int, reader: _Reader, instance: int | None) -> tuple[int, Event | None]:
        """The event of one record, with its instance; the event is None for records that are skipped."""
        if instance is None:
            raise WireError("an event before any ON, which names the instance")
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
        try:
            settings, report_fields = read_settings(text)
        except PolicySettingsError as error:
            raise WireError(str(error)) from None
        self._report_fields[instance] = report_fields
        return Start(seed, settings, report_fields)

    def _read_fleet(self, reader: _Reader, instance: int) -> EndpointsChanged:
        _, number, scope_code = reader.take(_FLEET, "FLEET")
        scope = _member(UpdateScope, scope_code, "scope")
        if scope is UpdateScope.FAILED:
            return EndpointsChanged(scope, [])
        if number not in self._lists:
            raise WireError(f"FLEET refers to endpoint list {number}, which never came")
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
        """The unused fraction of the limit, and the limit; each is 0 if the load report lacks it."""
        values = struct.unpack(f">{size}f", reader.take_bytes(4 * size, "load report"))
        named = dict(zip(self._report_fields.get(instance, ()), values, strict=False))
        return named.get("x0", 0.0), named.get("x1", 0.0)


def _entry(row: tuple[Any, ...]) -> EndpointEntry:
    endpoint, zone, kind, destination, state, weight, _ = row
    return EndpointEntry(endpoint, destination, zone, kind, _member(EndpointState, state, "state"), weight)


def _read_job_in(reader: _Reader, instance: int) -> MessageAccepted:
    request, class_index, tenant, key, deadline_ns, _, destination, _ = reader.take(_JOB, "JOB_IN")
    has_destination = math.isfinite(destination)
    return MessageAccepted(
        request, class_index, int(destination) if has_destination else -1, deadline_ns, key, tenant
    )


def _read_wakeup(reader: _Reader, instance: int) -> TimerFired:
    return TimerFired(*reader.take(_U64, "WAKEUP"))


def _read_hangup(reader: _Reader, instance: int) -> ClientCancelled:
    return ClientCancelled(*reader.take(_U64, "HANGUP"))


def _read_killed(reader: _Reader, instance: int) -> Stop:
    return Stop()


def _skip_started(reader: _Reader, instance: int) -> None:
    """Skip the record, since no traffic class here is streamed."""
    reader.take(_STARTED, "STARTED")


def _skip_neighbour_says(reader: _Reader, instance: int) -> None:
    """Skip the record, since messages from other instances are not used."""
    reader.take(_U32, "NEIGHBOUR_SAYS")
    (size,) = reader.take(_U16, "NEIGHBOUR_SAYS")
    reader.take_bytes(size, "NEIGHBOUR_SAYS")


def _member(enum: type[E], value: int, what: str) -> E:
    try:
        return enum(value)
    except ValueError:
        raise WireError(f"unknown {what} {value}") from None
