"""The form of the journal's records: framing and checksums. No I/O, no clock.

A record is its payload's length and CRC-32 (little-endian u32 each), then the payload.
"""

import struct
import zlib
from collections.abc import Iterator

_HEADER = struct.Struct("<II")  # length of the payload, its CRC-32
HEADER_BYTES = _HEADER.size
MAX_PAYLOAD_BYTES = 1 << 20


def frame(payload: bytes) -> bytes:
    """Return the record with this payload."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def payloads(data: bytes | bytearray | memoryview) -> Iterator[memoryview]:
    """Yield the payloads of the complete records at the start of the data; a damaged one ends them."""
    view = memoryview(data)
    at = 0
    while at + HEADER_BYTES <= len(view):
        size, checksum = _HEADER.unpack_from(view, at)
        payload = view[at + HEADER_BYTES : at + HEADER_BYTES + size]
        if not 0 < size <= MAX_PAYLOAD_BYTES or len(payload) < size or zlib.crc32(payload) != checksum:
            return
        yield payload
        at += HEADER_BYTES + size


def complete_bytes(data: bytes | bytearray | memoryview) -> int:
    """Return how many bytes at the start of the data are complete records."""
    return sum(HEADER_BYTES + len(payload) for payload in payloads(data))


def is_truncated(data: bytes | bytearray | memoryview, at: int) -> bool:
    """Return whether what follows the last complete record, which ends at `at`, looks like one cut short."""
    if len(data) - at < HEADER_BYTES:
        return True
    size, _ = _HEADER.unpack_from(data, at)
    return bool(0 < size <= MAX_PAYLOAD_BYTES and at + HEADER_BYTES + size > len(data))
