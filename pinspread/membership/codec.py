"""The format of datagrams and frames between members: a header of 12 bytes, then a msgpack map.

The header is a magic of 3 bytes that identifies the protocol, a version (1 byte), the body's length (4 bytes,
big-endian) and the xxh32 checksum of the fleet's key and the body (4 bytes, big-endian). Since the checksum
covers the key, data from another fleet fails the check. `message_codec` encodes the messages of membership,
`leases.codec` those of leases.
"""

import struct
from collections.abc import Mapping
from typing import Any

import msgpack
import xxhash

from pinspread.errors import PinspreadError
from pinspread.sockets import split_address

MAGIC = b"PSM"  # identifies membership datagrams
VERSION = 1
HEADER = struct.Struct(">3sBII")
_MAX_PORT = 65_535


class DatagramError(PinspreadError):
    """A datagram or frame is not accepted; the text says why."""


def encode(message: object, key: bytes, magic: bytes = MAGIC) -> bytes:
    """Return a message, which msgpack must be able to pack, as a datagram or frame."""
    return add_header(msgpack.packb(message, use_bin_type=True), key, magic)


def decode(data: bytes, key: bytes, magic: bytes = MAGIC) -> dict[str, Any]:
    """Return the message of a datagram.

    Raises:
        DatagramError: The datagram is damaged, or of another fleet or protocol.
    """
    length, checksum = parse_header(data, magic)
    body = bytes(memoryview(data)[HEADER.size :])
    if len(body) != length:
        raise DatagramError(f"body length is {len(body)} bytes, the header says {length}")
    return parse_body(body, checksum, key)


def add_header(body: bytes, key: bytes, magic: bytes = MAGIC) -> bytes:
    """Return a body with its header in front."""
    return HEADER.pack(magic, VERSION, len(body), xxhash.xxh32_intdigest(key + body)) + body


def parse_header(data: bytes, magic: bytes = MAGIC) -> tuple[int, int]:
    """Return the length in bytes and the checksum of the body that follows a header.

    Raises:
        DatagramError: The data does not begin with a header of this protocol and version.
    """
    if len(data) < HEADER.size:
        raise DatagramError(f"{len(data)} bytes, shorter than the header of {HEADER.size} bytes")
    found_magic, version, length, checksum = HEADER.unpack(data[: HEADER.size])
    if found_magic != magic:
        raise DatagramError(f"not a datagram or frame of protocol {magic.decode()}")
    if version != VERSION:
        raise DatagramError(f"version {version} is not supported, expected version {VERSION}")
    return length, checksum


def parse_body(body: bytes, checksum: int, key: bytes) -> dict[str, Any]:
    """Return the message in a body.

    Raises:
        DatagramError: The checksum does not match, or the body is not a msgpack map.
    """
    if xxhash.xxh32_intdigest(key + body) != checksum:
        raise DatagramError("checksum mismatch: damaged, or encoded with another fleet's key")
    try:
        message = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except Exception as error:  # noqa: BLE001  msgpack raises several kinds for bad bytes
        raise DatagramError(f"body is not valid msgpack: {type(error).__name__}") from None
    if not isinstance(message, dict):
        raise DatagramError(f"body is not a map but {type(message).__name__}")
    return message


def is_of_type(value: object, type_: type) -> bool:
    """Return whether a value is of a type, as `isinstance` does, except that a bool is not an int."""
    return isinstance(value, type_) and not (type_ is int and isinstance(value, bool))


def is_address(text: str) -> bool:
    """Return whether a received address is a `host:port` that a datagram can be sent to.

    The event loop closes the socket on an attempt to send to any other address.
    """
    try:
        host, port = split_address(text)
    except ValueError:
        return False
    return port <= _MAX_PORT and "\0" not in host


def require_fields(message: Mapping[str, Any], fields: Mapping[str, type]) -> None:
    """Check that a message has each required field, with a value of the field's type.

    Raises:
        DatagramError: A field is missing or its value is of another type; the text names the field.
    """
    for name, type_ in fields.items():
        if not is_of_type(message.get(name), type_):
            raise DatagramError(
                f"{message.get('t')}: field {name!r} is missing or not of type {type_.__name__}"
            )
