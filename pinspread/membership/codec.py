"""The form of datagrams and frames between members: a head of 12 bytes, then a msgpack map.

The head is a magic of 3 bytes that tells the protocol, a version (1 byte), the body's length (4, big-endian)
and the xxh32 of the fleet's key and the body (4). Since the key is in the checksum, what is of another fleet
fails it. `message_codec` has membership's messages, `leases.codec` those of leases.
"""

import struct
from collections.abc import Mapping
from typing import Any

import msgpack
import xxhash

from pinspread.errors import PinspreadError
from pinspread.sockets import split_address

MAGIC = b"PSM"  # of membership's datagrams
VERSION = 1
HEAD = struct.Struct(">3sBII")
_MAX_PORT = 65_535


class DatagramError(PinspreadError):
    """A datagram or frame that is not accepted; the text says why."""


def encode(message: object, key: bytes, magic: bytes = MAGIC) -> bytes:
    """Return a message, which msgpack can pack, as a datagram or frame."""
    return add_head(msgpack.packb(message, use_bin_type=True), key, magic)


def decode(data: bytes, key: bytes, magic: bytes = MAGIC) -> dict[str, Any]:
    """Return the message of a datagram.

    Raises:
        DatagramError: It is damaged, or of another fleet or protocol.
    """
    length, checksum = parse_head(data, magic)
    body = bytes(memoryview(data)[HEAD.size :])
    if len(body) != length:
        raise DatagramError(f"length {len(body)}, said {length}")
    return parse_body(body, checksum, key)


def add_head(body: bytes, key: bytes, magic: bytes = MAGIC) -> bytes:
    """Return a body with its head."""
    return HEAD.pack(magic, VERSION, len(body), xxhash.xxh32_intdigest(key + body)) + body


def parse_head(data: bytes, magic: bytes = MAGIC) -> tuple[int, int]:
    """Return the length in bytes and the checksum of the body behind a head.

    Raises:
        DatagramError: It is not a head of this protocol and version.
    """
    if len(data) < HEAD.size:
        raise DatagramError("shorter than a head")
    found_magic, version, length, checksum = HEAD.unpack(data[: HEAD.size])
    if found_magic != magic:
        raise DatagramError(f"not a datagram or frame of {magic.decode()}")
    if version != VERSION:
        raise DatagramError(f"version {version}")
    return length, checksum


def parse_body(body: bytes, checksum: int, key: bytes) -> dict[str, Any]:
    """Return the message in a body.

    Raises:
        DatagramError: The body has another checksum, or is not a msgpack map.
    """
    if xxhash.xxh32_intdigest(key + body) != checksum:
        raise DatagramError("checksum: another fleet's key, or damaged")
    try:
        message = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except Exception as error:  # noqa: BLE001  msgpack raises several kinds for bad bytes
        raise DatagramError(f"body: {type(error).__name__}") from None
    if not isinstance(message, dict):
        raise DatagramError("body is not a map")
    return message


def is_of_type(value: object, type_: type) -> bool:
    """Return what isinstance does, but a bool is not an int."""
    return isinstance(value, type_) and not (type_ is int and isinstance(value, bool))


def is_address(text: str) -> bool:
    """Return whether a datagram can be sent to an address that was received, `host:port`.

    The event loop closes a socket that is to send to any other.
    """
    try:
        host, port = split_address(text)
    except ValueError:
        return False
    return port <= _MAX_PORT and "\0" not in host


def require_fields(message: Mapping[str, Any], fields: Mapping[str, type]) -> None:
    """Check that a message has each field with a value of its type.

    Raises:
        DatagramError: It does not; the text names the field.
    """
    for name, type_ in fields.items():
        if not is_of_type(message.get(name), type_):
            raise DatagramError(f"{message.get('t')}: field {name!r}")
