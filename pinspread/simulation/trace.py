"""Recorded traffic: couriers' logs turned into a compressed trace, and a trace into a day.

A trace file is 8 bytes of magic, 2 of version, 8 of length, 32 of SHA-256 over the payload, and the payload:
zlib over one JSON object. Names and bodies are not kept; ids, keys and hops are hashed with a secret key.
"""

import hashlib
import struct
import zlib

import numpy as np
import orjson
from cryptography.hazmat.primitives import hashes, hmac

from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.fit import fit_destinations
from pinspread.simulation.random_streams import random_stream
from pinspread.simulation.recorded_events import recorded
from pinspread.simulation.scenario import (
    ATTEMPT_DRAWS,
    START_DRAWS,
    DestinationSpec,
    Scenario,
    ScheduledFault,
)

MAGIC = b"PINTRACE"
VERSION = 1
HEAD = struct.Struct(">8sHQ32s")
MOST_BYTES = 1 << 30  # of a payload, unpacked: a damaged length must not fill the memory
LEAST_KEY = 16
COLUMNS = ("at_us", "cls", "team", "dest", "key", "size", "for_ms", "courier")


class TraceError(ValueError):
    """A trace or a log that cannot be used; the text says why."""


class Hasher:
    """Hashes words with a secret key, to 16 hexadecimal digits."""

    def __init__(self, key: bytes):
        if len(key) < LEAST_KEY:
            raise TraceError(f"the secret key has {len(key)} bytes; it needs {LEAST_KEY}")
        self.key = key

    def __call__(self, word) -> str:
        code = hmac.HMAC(self.key, hashes.SHA256())
        code.update(str(word).encode())
        return code.finalize()[:8].hex()


def record_trace(logs, key: bytes) -> dict:
    """A trace from couriers' logs: (name, lines) of each. Lines that are no events are counted and skipped."""
    hasher = Hasher(key)
    classes, teams, rows, outcomes, lists, place = {}, {}, [], [], [], {}
    skipped = without = 0
    for courier, (_, lines) in enumerate(logs):
        for line in lines:
            try:
                event = recorded(orjson.loads(line))
                kind, at = event["event"], event["at_us"]
                if kind == "taken":
                    if "for_ms" not in event:
                        without += 1  # of a version that did not say it
                        continue
                    place[courier, event["id"]] = len(rows)
                    rows.append(
                        (at, classes.setdefault(event["cls"], len(classes)), teams.setdefault(event["tenant"], len(teams)),
                         int(event["dest"]), hasher(event["key"]) if event["key"] else "", int(event["size"]),
                         int(event["for_ms"]), courier, hasher(event["id"]))
                    )  # fmt: skip
                elif kind == "branch" and (courier, event["id"]) in place:
                    row = place[courier, event["id"]]
                    outcomes.append(
                        [
                            row,
                            at,
                            rows[row][3],
                            hasher(event["hop"]),
                            event["verdict"],
                            event["took_us"],
                            event["wait_us"],
                            event["idle_us"],
                        ]
                    )
                elif kind == "list" and isinstance(event["hops"], dict):
                    lists.append([courier, at, {hasher(h): s for h, s in event["hops"].items()}])
            except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
                skipped += 1
    if not rows:
        more = f"; {without} messages are from a version that logs too little" if without else ""
        raise TraceError(f"no message was taken on in these logs{more}")
    start = min(r[0] for r in rows)
    order = sorted(range(len(rows)), key=lambda n: rows[n][0])
    back = {old: new for new, old in enumerate(order)}
    rows = [rows[n] for n in order]
    for one in outcomes:
        one[0] = back[one[0]]
        one[1] -= start
    for one in lists:
        one[1] -= start
    keys = {}
    columns = {name: [] for name in (*COLUMNS, "id")}
    for row in rows:
        for name, value in zip(columns, row, strict=True):
            columns[name].append(value)
    columns["at_us"] = [at - start for at in columns["at_us"]]
    columns["key"] = [keys.setdefault(k, len(keys) + 1) if k else 0 for k in columns["key"]]
    outcomes.sort(key=lambda o: o[1])
    return {
        "classes": list(classes), "teams": len(teams), "couriers": len(logs), "arrivals": columns,
        "outcomes": outcomes, "lists": lists, "skipped_lines": skipped, "fits": fit_destinations(columns, outcomes),
    }  # fmt: skip


def write_trace(trace: dict, path: str):
    """Write a trace."""
    payload = zlib.compress(orjson.dumps(trace, option=orjson.OPT_SORT_KEYS), 9)
    with open(path, "wb") as file:
        file.write(HEAD.pack(MAGIC, VERSION, len(payload), hashlib.sha256(payload).digest()) + payload)


def read_trace(path: str) -> dict:
    """A trace that is whole; `TraceError` says what is wrong with any other."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from None
    if not data.startswith(MAGIC):
        raise TraceError(f"{path}: this is no trace of pinspread's")
    if len(data) < HEAD.size:
        raise TraceError(f"{path}: cut off in its head, after {len(data)} bytes")
    _, version, length, digest = HEAD.unpack_from(data)
    if version > VERSION:
        raise TraceError(f"{path}: version {version}; this program reads up to {VERSION}")
    payload = data[HEAD.size :]
    if len(payload) != length:
        raise TraceError(f"{path}: holds {len(payload)} bytes of {length}: cut off, or added to")
    if hashlib.sha256(payload).digest() != digest:
        raise TraceError(f"{path}: damaged: its checksum does not fit")
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(payload, MOST_BYTES)
        if unpacker.unconsumed_tail:
            raise TraceError(f"{path}: over {MOST_BYTES} bytes when unpacked")
        found = orjson.loads(text)
        lengths = {len(found["arrivals"][name]) for name in COLUMNS}
        if len(lengths) != 1 or not isinstance(found["fits"], list):
            raise TraceError(f"{path}: its columns are not of one length")
        return found
    except (zlib.error, orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise TraceError(f"{path}: its content cannot be read: {error!r}") from None


def replay_trace(path: str, model, seed: int) -> Scenario:
    """A day with a trace's arrivals, and partners as they were fitted; the seed draws what was not recorded."""
    found = read_trace(path)
    a = found["arrivals"]
    names = [c.name for c in model.classes]
    unknown = [name for name in found["classes"] if name not in names]
    if unknown:
        raise TraceError(f"{path}: has messages of class {unknown[0]!r}, which the world does not know")
    cls = np.array([names.index(found["classes"][c]) for c in a["cls"]], dtype=np.int16)
    at = np.array(a["at_us"], dtype=np.int64) * 1000
    numbers = {dest: n for n, dest in enumerate(sorted(set(a["dest"])), 1)}
    dest = np.array([numbers[d] for d in a["dest"]], dtype=np.int32)
    n, length = len(at), int(at.max()) + 2 * SECOND
    work_s = np.array([sum(c.work_ms) / 2000 for c in model.classes])
    partners, troubles, sigma = [], [], {}
    for one in found["fits"]:
        number = numbers[one["dest"]]
        share = one["calls"] / max(1, n)
        latency = one["latency"]
        mean_s = latency["mean_ms"] / 1000 if latency["count"] else float(work_s.mean())
        net_s = 2 * sum(model.network.delay_ms) / 2000
        usual = float(work_s[cls[dest == number]].mean()) if (dest == number).any() else float(work_s.mean())
        pace = max(0.05, (mean_s - net_s) / usual)
        count = max(1, one["hops"])
        cores = max(model.partners.least_cores, -(-one["most_out"] * 3 // (2 * count)))
        per_s = cores * count / (usual * pace)
        spec = DestinationSpec(number, share, bool(one["limit_per_s"]), pace, [cores] * count, [max(2, int(2 * per_s / count))] * count,
                           [0] * count, per_s, weight=one["limit_per_s"] or per_s)  # fmt: skip
        if one["limit_per_s"]:
            spec.limit_window_ns, spec.limit_calls = SECOND, max(1, round(one["limit_per_s"]))
            spec.capacity_per_s, spec.retry_after_share = min(per_s, one["limit_per_s"]), one["tells"]
        partners.append(spec)
        sigma[number] = latency["sigma"] if latency["count"] else model.partners.work_spread
        for outage in one["outages"]:
            troubles.append(
                ScheduledFault(
                    outage["kind"], outage["from_us"] * 1000, outage["until_us"] * 1000, 1.0, [number]
                )
            )
    spreads = np.array([sigma[int(d)] for d in dest])[:, None]
    factor = np.exp(
        random_stream(seed, "work").standard_normal((n, ATTEMPT_DRAWS)) * spreads - spreads**2 / 2
    )
    low, high = (np.array([c.work_ms[k] for c in model.classes])[cls] for k in (0, 1))
    mean = (low + (high - low) * random_stream(seed, "messages").random(n)) * MS
    couriers = max(1, found["couriers"])
    shares = np.bincount(np.array(a["courier"]) % model.couriers.count, minlength=model.couriers.count) + 1e-9
    full = n / (length / SECOND) / model.traffic.load
    slots = max(model.couriers.least_slots, round(full / couriers * float(mean.mean()) / SECOND * 2.2))
    net = model.network.delay_ms
    return Scenario(
        seed=seed, length_ns=length, destinations=partners, faults=troubles, arrival_ns=at, class_index=cls,
        tenant_index=np.array(a["team"], dtype=np.int16) % len(model.teams), destination=dest, ordering_key=np.array(a["key"], dtype=np.int64),
        within_quota=np.ones(n, dtype=bool), work_ns=(mean[:, None] * factor).astype(np.int64) + 1,
        attempt_draws=random_stream(seed, "chance").random((n, ATTEMPT_DRAWS, 4), dtype=np.float32),
        client_draws=random_stream(seed, "habits").random((n, 4), dtype=np.float32), instance_share=shares / shares.sum(),
        max_concurrent_calls=slots, max_held_messages=max(model.couriers.least_held, round(full / couriers * 9)),
        delay_ns=random_stream(seed, "delay").uniform(net[0], net[1], len(partners)) * MS,
        start_draws=random_stream(seed, "boot").random((model.couriers.count, START_DRAWS)), size_bytes=np.array(a["size"], dtype=np.int64),
    )  # fmt: skip
