"""Trace files: recorded traffic and the models fitted to it, compressed and with a checksum.

A trace file has 8 bytes of magic, 2 of version, 8 of payload length, 32 of SHA-256 over the payload, and the
payload: one JSON object, compressed by zlib. Names and bodies are not kept; ids, keys and endpoints are
hashed with a secret key. This module maps the keys of the file to the names in the code; `trace_recording`
makes traces from logs, and `trace_replay` turns them into scenarios.
"""

import hashlib
import struct
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from pinspread.errors import PinspreadError
from pinspread.simulation.fit import (
    DestinationFit,
    FitQuality,
    LatencyFit,
    LimitFit,
    Outage,
    RecordedAttempt,
)

MAGIC = b"PINTRACE"
VERSION = 1
HEADER = struct.Struct(">8sHQ32s")
MAX_PAYLOAD_BYTES = 1 << 30  # decompressed; limits the memory that a damaged file can take


class TraceError(PinspreadError, ValueError):
    """A trace or a log cannot be used; the message says why."""


@dataclass(slots=True)
class Arrivals:
    """Columns with one entry per message, in order of arrival.

    Attributes:
        at_us: Time at which it was accepted, from the start of the trace.
        class_index: Its class, as an index into `Trace.class_names`.
        tenant_index: Its tenant; tenants are numbered from 0 in the order of the logs.
        destination: Number of the destination.
        ordering_key: Its ordering key, numbered from 1 in order of first use; 0 for none.
        size_bytes: Size of its body.
        time_left_ms: Time from its acceptance to its deadline.
        instance: The courier that accepted it, numbered in the order of the logs.
        id: Hash of its id.
    """

    at_us: list[int] = field(default_factory=list)
    class_index: list[int] = field(default_factory=list)
    tenant_index: list[int] = field(default_factory=list)
    destination: list[int] = field(default_factory=list)
    ordering_key: list[int] = field(default_factory=list)
    size_bytes: list[int] = field(default_factory=list)
    time_left_ms: list[int] = field(default_factory=list)
    instance: list[int] = field(default_factory=list)
    id: list[str] = field(default_factory=list)


# Key in a trace file by the name of a column of `Arrivals`.
ARRIVAL_KEYS = {
    "at_us": "at_us",
    "class_index": "cls",
    "tenant_index": "team",
    "destination": "dest",
    "ordering_key": "key",
    "size_bytes": "size",
    "time_left_ms": "for_ms",
    "instance": "courier",
    "id": "id",
}


class RecordedEndpointList(NamedTuple):
    """An update of the endpoint list at one courier: states by the hash of the endpoint's name."""

    instance: int
    at_us: int
    states: dict[str, str]


@dataclass(slots=True)
class Trace:
    """Recorded traffic.

    Attributes:
        class_names: Names of the traffic classes, in order of their numbers.
        tenant_count: Number of tenants.
        instance_count: Number of couriers whose logs it was made from.
        arrivals: The messages.
        attempts: The attempts, in order of their ends.
        endpoint_lists: Updates of the endpoint list, in order of the logs.
        skipped_lines: Number of log lines that are not events.
        fits: One fit for each destination, in order of their numbers.
    """

    class_names: list[str]
    tenant_count: int
    instance_count: int
    arrivals: Arrivals
    attempts: list[RecordedAttempt]
    endpoint_lists: list[RecordedEndpointList]
    skipped_lines: int
    fits: list[DestinationFit]


def write_trace(trace: Trace, path: str) -> None:
    """Write a trace file.

    Raises:
        OSError: The file cannot be written.
    """
    payload = zlib.compress(orjson.dumps(to_document(trace), option=orjson.OPT_SORT_KEYS), 9)
    header = HEADER.pack(MAGIC, VERSION, len(payload), hashlib.sha256(payload).digest())
    Path(path).write_bytes(header + payload)


def read_trace(path: str) -> Trace:
    """Read a trace file.

    Raises:
        TraceError: It cannot be read, is not a trace, is of a later version, or is truncated or damaged.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from None
    payload = _checked_payload(path, data)
    try:
        return from_document(orjson.loads(_decompress(payload)))
    except TraceError as error:
        raise TraceError(f"{path}: {error}") from None
    except (zlib.error, KeyError, TypeError, ValueError) as error:
        raise TraceError(f"{path}: its payload cannot be decoded: {error!r}") from None


def _checked_payload(path: str, data: bytes) -> bytes:
    """Return the payload after checking it against the header."""
    if not data.startswith(MAGIC):
        raise TraceError(f"{path}: no trace file: it does not begin with {MAGIC!r}")
    if len(data) < HEADER.size:
        raise TraceError(f"{path}: cut off in its header: {len(data)} of {HEADER.size} bytes")
    _, version, length, digest = HEADER.unpack_from(data)
    if version > VERSION:
        raise TraceError(
            f"{path}: trace version {version} is not supported; this program reads versions up to {VERSION}"
        )
    payload = data[HEADER.size :]
    if len(payload) != length:
        raise TraceError(
            f"{path}: truncated or extended: the payload has {len(payload)} bytes, its header says {length}"
        )
    if hashlib.sha256(payload).digest() != digest:
        raise TraceError(f"{path}: damaged: the SHA-256 of the payload does not match the header")
    return payload


def _decompress(payload: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(payload, MAX_PAYLOAD_BYTES)
    if decompressor.unconsumed_tail:
        raise TraceError(f"the decompressed payload has more than {MAX_PAYLOAD_BYTES} bytes")
    return text


# --- the keys of the file -------------------------------------------------------------------------


def to_document(trace: Trace) -> dict[str, Any]:
    """Return the JSON object of a trace."""
    arrivals = {key: getattr(trace.arrivals, name) for name, key in ARRIVAL_KEYS.items()}
    return {
        "classes": trace.class_names,
        "teams": trace.tenant_count,
        "couriers": trace.instance_count,
        "arrivals": arrivals,
        "outcomes": [list(attempt) for attempt in trace.attempts],
        "lists": [list(update) for update in trace.endpoint_lists],
        "skipped_lines": trace.skipped_lines,
        "fits": [_fit_to_document(fit) for fit in trace.fits],
    }


def from_document(document: Mapping[str, Any]) -> Trace:
    """Return the trace that a JSON object describes.

    Raises:
        TraceError: The columns of the arrivals differ in length, or the fits are not a list.
        KeyError: A key is missing.
        TypeError: A value has an unexpected type.
        ValueError: The quality of a fit is unknown.
    """
    columns = {name: document["arrivals"][key] for name, key in ARRIVAL_KEYS.items()}
    if len({len(column) for column in columns.values()}) != 1 or not isinstance(document["fits"], list):
        raise TraceError("the columns of its arrivals differ in length, or its fits are not a list")
    return Trace(
        class_names=document["classes"],
        tenant_count=document["teams"],
        instance_count=document["couriers"],
        arrivals=Arrivals(**columns),
        attempts=[RecordedAttempt(*row) for row in document["outcomes"]],
        endpoint_lists=[RecordedEndpointList(*row) for row in document["lists"]],
        skipped_lines=document["skipped_lines"],
        fits=[_fit_from_document(fit) for fit in document["fits"]],
    )


def _fit_to_document(fit: DestinationFit) -> dict[str, Any]:
    return {
        "dest": fit.destination,
        "calls": fit.calls,
        "hops": fit.endpoints,
        "most_out": fit.max_in_flight,
        "latency": {
            "count": fit.latency.count,
            "mean_ms": fit.latency.mean_ms,
            "sigma": fit.latency.sigma,
            "distance": fit.latency.distance,
            "holds": fit.latency.quality.value,
        },
        "limit_per_s": fit.limit.per_s,
        "limit_holds": fit.limit.quality.value,
        "tells": fit.retry_after_share,
        "refused": fit.rejected,
        "outages": [
            {
                "kind": outage.kind,
                "from_us": outage.from_us,
                "until_us": outage.until_us,
                "failures": outage.failures,
            }
            for outage in fit.outages
        ],
    }


def _fit_from_document(document: Mapping[str, Any]) -> DestinationFit:
    latency = document["latency"]
    return DestinationFit(
        destination=document["dest"],
        calls=document["calls"],
        endpoints=document["hops"],
        max_in_flight=document["most_out"],
        latency=LatencyFit(
            count=latency["count"],
            mean_ms=latency["mean_ms"],
            sigma=latency["sigma"],
            distance=latency["distance"],
            quality=FitQuality(latency["holds"]),
        ),
        limit=LimitFit(document["limit_per_s"], FitQuality(document["limit_holds"])),
        retry_after_share=document["tells"],
        rejected=document["refused"],
        outages=[
            Outage(outage["kind"], outage["from_us"], outage["until_us"], outage["failures"])
            for outage in document["outages"]
        ],
    )
