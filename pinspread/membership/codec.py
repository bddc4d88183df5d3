"""Membership's datagrams: a head of 12 bytes, then a msgpack body.

Head: `PSM` (3 bytes), version (1), body length (4, big-endian), xxh32 of the fleet key and the body (4). A
datagram of another fleet fails the sum, since the key is in it. `decode_message` gives a message dict, or raises
`DatagramError` with a reason that is fit for a log line; it never raises anything else.
"""

import struct

import msgpack
import xxhash

from pinspread.membership import swim
from pinspread.membership.members import MemberState

MAGIC, VERSION = b"PSM", 1
HEAD = struct.Struct(">3sBII")
MOST_BYTES = 65_000
STATES = set(MemberState)


class DatagramError(Exception):
    """A datagram that is not taken; the text says why."""


def add_head(body: bytes, key: bytes, magic: bytes = MAGIC) -> bytes:
    """A body with its head."""
    return HEAD.pack(magic, VERSION, len(body), xxhash.xxh32_intdigest(key + body)) + body


def parse_head(data, magic: bytes = MAGIC) -> tuple[int, int]:
    """The length and the sum that a head says of its body; `DatagramError` if it is none of ours."""
    if len(data) < HEAD.size:
        raise DatagramError("shorter than a head")
    said, version, length, sum_ = HEAD.unpack(data[: HEAD.size])
    if said != magic:
        raise DatagramError(f"not a datagram or frame of {magic.decode()}")
    if version != VERSION:
        raise DatagramError(f"version {version}")
    return length, sum_


def parse_body(body: bytes, sum_: int, key: bytes) -> dict:
    """The map in a body that has the sum; `DatagramError` otherwise."""
    if xxhash.xxh32_intdigest(key + body) != sum_:
        raise DatagramError("checksum: another fleet's key, or damaged")
    try:
        message = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except Exception as error:  # noqa: BLE001  msgpack raises several kinds for bad bytes
        raise DatagramError(f"body: {type(error).__name__}") from None
    if not isinstance(message, dict):
        raise DatagramError("body is not a map")
    return message


def decode(data: bytes, key: bytes, magic: bytes = MAGIC) -> dict:
    """The map of a datagram that is whole and of our fleet; `DatagramError` otherwise."""
    length, sum_ = parse_head(data, magic)
    body = bytes(memoryview(data)[HEAD.size :])
    if len(body) != length:
        raise DatagramError(f"length {len(body)}, said {length}")
    return parse_body(body, sum_, key)


def encode(message: dict, key: bytes, magic: bytes = MAGIC) -> bytes:
    """The datagram of a message."""
    return add_head(msgpack.packb(message, use_bin_type=True), key, magic)


def decode_message(data: bytes, key: bytes) -> dict:
    """The message of a datagram that is whole, of our fleet and well-formed; `DatagramError` otherwise."""
    message = decode(data, key)
    _check(message)
    return message


def is_of_type(value, kind) -> bool:
    """As isinstance, but a bool is no int."""
    return isinstance(value, kind) and not (kind is int and isinstance(value, bool))


def _row(row, width):
    return (
        isinstance(row, list)
        and len(row) == width
        and is_of_type(row[0], str)
        and is_of_type(row[1], str)
        and is_of_type(row[2], int)
        and row[2] >= 0
        and row[3] in STATES
        and (width == 4 or is_of_type(row[4], str))
    )


NEEDS = {
    swim.PING: {"seq": int, "to": str},
    swim.ACK: {"seq": int},
    swim.NACK: {"seq": int},
    swim.ASK: {"seq": int, "to": str, "to_at": str},
    swim.SYNC: {"table": list, "reply": bool},
}


def require_fields(message: dict, fields: dict):
    """`DatagramError` unless the message has each field with a value of its type."""
    for name, type_ in fields.items():
        if not is_of_type(message.get(name), type_):
            raise DatagramError(f"{message.get('t')}: field {name!r}")


def _check(message):
    kind = message.get("t")
    if kind not in NEEDS:
        raise DatagramError(f"kind {kind!r}")
    require_fields(message, {"from": str, "from_at": str, "inc": int, "up": list} | NEEDS[kind])
    if message["inc"] < 0 or not all(_row(row, 5) for row in message["up"]):
        raise DatagramError(f"{kind}: an update is not well-formed")
    if kind == swim.SYNC and not all(_row(row, 4) for row in message["table"]):
        raise DatagramError("sync: a row of the table is not well-formed")
