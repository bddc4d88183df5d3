"""Membership's datagrams: a head of 12 bytes, then a msgpack body.

Head: `PSM` (3 bytes), version (1), body length (4, big-endian), xxh32 of the fleet key and the body (4). A
datagram of another fleet fails the sum, since the key is in it. `unpack` gives a message dict, or raises
`Dropped` with a reason that is fit for a log line; it never raises anything else.
"""

import struct

import msgpack
import xxhash

from pinspread.cluster import swim

MAGIC, VERSION = b"PSM", 1
HEAD = struct.Struct(">3sBII")
MOST_BYTES = 65_000
STATES = set(swim.RANK)


class Dropped(Exception):
    """A datagram that is not taken; the text says why."""


def pack(message: dict, key: bytes) -> bytes:
    """The datagram of a message."""
    body = msgpack.packb(message, use_bin_type=True)
    return HEAD.pack(MAGIC, VERSION, len(body), xxhash.xxh32_intdigest(key + body)) + body


def unpack(data: bytes, key: bytes) -> dict:
    """The message of a datagram that is whole, of our fleet and well-formed; `Dropped` otherwise."""
    view = memoryview(data)
    if len(view) < HEAD.size:
        raise Dropped("shorter than a head")
    magic, version, length, sum_ = HEAD.unpack(view[: HEAD.size])
    if magic != MAGIC:
        raise Dropped("not a membership datagram")
    if version != VERSION:
        raise Dropped(f"version {version}")
    body = view[HEAD.size :]
    if len(body) != length:
        raise Dropped(f"length {len(body)}, said {length}")
    if xxhash.xxh32_intdigest(key + bytes(body)) != sum_:
        raise Dropped("checksum: another fleet's key, or damaged")
    try:
        message = msgpack.unpackb(body, raw=False, strict_map_key=True, max_bin_len=0)
    except Exception as error:  # noqa: BLE001  msgpack raises several kinds for bad bytes
        raise Dropped(f"body: {type(error).__name__}") from None
    _check(message)
    return message


def _is(value, kind):
    return isinstance(value, kind) and not (kind is int and isinstance(value, bool))


def _row(row, width):
    return (
        isinstance(row, list)
        and len(row) == width
        and _is(row[0], str)
        and _is(row[1], str)
        and _is(row[2], int)
        and row[2] >= 0
        and row[3] in STATES
        and (width == 4 or _is(row[4], str))
    )


NEEDS = {
    swim.PING: {"seq": int, "to": str},
    swim.ACK: {"seq": int},
    swim.NACK: {"seq": int},
    swim.ASK: {"seq": int, "to": str, "to_at": str},
    swim.SYNC: {"table": list, "reply": bool},
}


def _check(message):
    if not isinstance(message, dict):
        raise Dropped("body is not a map")
    kind = message.get("t")
    if kind not in NEEDS:
        raise Dropped(f"kind {kind!r}")
    wanted = {"from": str, "from_at": str, "inc": int, "up": list} | NEEDS[kind]
    for name, type_ in wanted.items():
        if not _is(message.get(name), type_):
            raise Dropped(f"{kind}: field {name!r}")
    if message["inc"] < 0 or not all(_row(row, 5) for row in message["up"]):
        raise Dropped(f"{kind}: an update is not well-formed")
    if kind == swim.SYNC and not all(_row(row, 4) for row in message["table"]):
        raise Dropped("sync: a row of the table is not well-formed")
