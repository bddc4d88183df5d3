"""Membership's datagrams: a head of 12 bytes, then a msgpack body.

Head: `PSM` (3 bytes), version (1), body length (4, big-endian), xxh32 of the fleet key and the body (4). A
datagram of another fleet fails the sum, since the key is in it. `unpack` gives a message dict, or raises
`Dropped` with a reason that is fit for a log line; it never raises anything else.
"""

import struct

import msgpack
import xxhash

from pinspread.membership import swim

MAGIC, VERSION = b"PSM", 1
HEAD = struct.Struct(">3sBII")
MOST_BYTES = 65_000
STATES = set(swim.RANK)


class DatagramError(Exception):
    """A datagram that is not taken; the text says why."""


def seal(body: bytes, key: bytes, magic: bytes = MAGIC) -> bytes:
    """A body with its head."""
    return HEAD.pack(magic, VERSION, len(body), xxhash.xxh32_intdigest(key + body)) + body


def head(data, magic: bytes = MAGIC) -> tuple[int, int]:
    """The length and the sum that a head says of its body; `Dropped` if it is none of ours."""
    if len(data) < HEAD.size:
        raise DatagramError("shorter than a head")
    said, version, length, sum_ = HEAD.unpack(data[: HEAD.size])
    if said != magic:
        raise DatagramError(f"not a datagram or frame of {magic.decode()}")
    if version != VERSION:
        raise DatagramError(f"version {version}")
    return length, sum_


def body_of(body: bytes, sum_: int, key: bytes) -> dict:
    """The map in a body that has the sum; `Dropped` otherwise."""
    if xxhash.xxh32_intdigest(key + body) != sum_:
        raise DatagramError("checksum: another fleet's key, or damaged")
    try:
        message = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except Exception as error:  # noqa: BLE001  msgpack raises several kinds for bad bytes
        raise DatagramError(f"body: {type(error).__name__}") from None
    if not isinstance(message, dict):
        raise DatagramError("body is not a map")
    return message


def whole(data: bytes, key: bytes, magic: bytes = MAGIC) -> dict:
    """The map of a datagram that is whole and of our fleet; `Dropped` otherwise."""
    length, sum_ = head(data, magic)
    body = bytes(memoryview(data)[HEAD.size :])
    if len(body) != length:
        raise DatagramError(f"length {len(body)}, said {length}")
    return body_of(body, sum_, key)


def pack(message: dict, key: bytes, magic: bytes = MAGIC) -> bytes:
    """The datagram of a message."""
    return seal(msgpack.packb(message, use_bin_type=True), key, magic)


def unpack(data: bytes, key: bytes) -> dict:
    """The message of a datagram that is whole, of our fleet and well-formed; `Dropped` otherwise."""
    message = whole(data, key)
    _check(message)
    return message


def is_a(value, kind) -> bool:
    """As isinstance, but a bool is no int."""
    return isinstance(value, kind) and not (kind is int and isinstance(value, bool))


def _row(row, width):
    return (
        isinstance(row, list)
        and len(row) == width
        and is_a(row[0], str)
        and is_a(row[1], str)
        and is_a(row[2], int)
        and row[2] >= 0
        and row[3] in STATES
        and (width == 4 or is_a(row[4], str))
    )


NEEDS = {
    swim.PING: {"seq": int, "to": str},
    swim.ACK: {"seq": int},
    swim.NACK: {"seq": int},
    swim.ASK: {"seq": int, "to": str, "to_at": str},
    swim.SYNC: {"table": list, "reply": bool},
}


def need(message: dict, fields: dict):
    """`Dropped` unless the message has each field with a value of its type."""
    for name, type_ in fields.items():
        if not is_a(message.get(name), type_):
            raise DatagramError(f"{message.get('t')}: field {name!r}")


def _check(message):
    kind = message.get("t")
    if kind not in NEEDS:
        raise DatagramError(f"kind {kind!r}")
    need(message, {"from": str, "from_at": str, "inc": int, "up": list} | NEEDS[kind])
    if message["inc"] < 0 or not all(_row(row, 5) for row in message["up"]):
        raise DatagramError(f"{kind}: an update is not well-formed")
    if kind == swim.SYNC and not all(_row(row, 4) for row in message["table"]):
        raise DatagramError("sync: a row of the table is not well-formed")
