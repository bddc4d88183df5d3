"""The form of the journal's records: pure functions that encode and decode them. No I/O, no clock.

A record is its payload's length and CRC-32 (little-endian u32 each), then the payload: a kind byte, a number
(u64) and the fields of the kind. The number is the message's, that of delivery rules, or 0. Times are
microseconds of Unix time. Stored keys keep the words they were first written with; they are mapped to the
code's names here only.
"""

import struct
import zlib
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import Any, NamedTuple

import orjson

from pinspread.core.messages import DeliveryRules, FinalResult, FinalState, Message
from pinspread.errors import JournalFormatError
from pinspread.policy.settings import DeduplicationScope, Idempotency, TrafficClass


class RecordKind(IntEnum):
    """What a record tells; the numbers are stored."""

    ACCEPTED = 1
    ATTEMPT_STARTED = 2
    ATTEMPT_ENDED = 3
    FINAL_RESULT = 4
    MESSAGE_ENDED = 5
    PROGRESS = 6
    FINISHED_ID = 7
    ENDPOINT_BLOCKED = 8
    ENDPOINT_UNBLOCKED = 9
    DELIVERY_RULES = 10
    ZONE = 11


class Accepted(NamedTuple):
    """A message was accepted under the delivery rules of this number, 0 where an older version wrote none."""

    message: Message
    rules_number: int


class AttemptStarted(NamedTuple):
    """An attempt was about to be written to its connection."""

    number: int
    attempt: int
    unix_us: int


class AttemptEnded(NamedTuple):
    """An attempt that was written ended without ending its message."""

    number: int
    attempt: int
    may_have_run: bool


class FinalResultDecided(NamedTuple):
    """The final result was decided, and its notification is pending."""

    number: int
    result: FinalResult


class MessageEnded(NamedTuple):
    """Nothing is owed for the message any more."""

    number: int


class Progress(NamedTuple):
    """What the attempts of a message came to, in place of their own records."""

    number: int
    attempts: int
    may_have_run_unix_us: int
    in_flight_since_unix_us: int


class FinishedId(NamedTuple):
    """A message of this id was accepted and has ended."""

    message_id: str


class EndpointBlocked(NamedTuple):
    """An operator took an endpoint out of use, or back into it."""

    endpoint_id: str
    blocked: bool


class RulesNumbered(NamedTuple):
    """Delivery rules that later records name by their number."""

    rules_number: int
    rules: DeliveryRules


class AttemptZone(NamedTuple):
    """The zone of a message's attempt, for those whose duplicates are dropped zone by zone."""

    number: int
    zone: int


# Records of what becomes of a message that was accepted.
ProgressRecord = AttemptStarted | AttemptEnded | FinalResultDecided | MessageEnded | Progress | AttemptZone
Record = Accepted | FinishedId | EndpointBlocked | RulesNumbered | ProgressRecord

_HEADER = struct.Struct("<II")  # length of the payload, its CRC-32
_NUMBER = struct.Struct("<BQ")  # kind and number, with which all payloads begin
_ACCEPTED = struct.Struct("<BQH")  # length of the JSON that comes before the body
_ATTEMPT_STARTED = struct.Struct("<BQBQ")  # attempt, when it was written
_ATTEMPT_ENDED = struct.Struct("<BQBB")  # attempt, whether it may have run
_FINAL_RESULT = struct.Struct("<BQBI")  # state, milliseconds until the client may come back
_PROGRESS = struct.Struct("<BQBQQ")  # attempts, first that may have run, the one in flight
_ZONE = struct.Struct("<BQB")  # zone

HEADER_BYTES = _HEADER.size
MAX_PAYLOAD_BYTES = 1 << 20
# What the records of a message's progress may add to that of its acceptance when the file is rewritten.
PROGRESS_BYTES = 3 * HEADER_BYTES + _PROGRESS.size + _FINAL_RESULT.size + _ZONE.size

# The stored keys of an accepted message, and the fields of `Message` that hold them.
_MESSAGE_KEYS = {
    "id": "id",
    "cls": "class_name",
    "tenant": "tenant",
    "dest": "destination",
    "key": "key",
    "idempotency": "idempotency_key",
    "until_unix_us": "deadline_unix_us",
    "front": "front",
    "reply": "reply",
}
# The same for the traffic class of stored delivery rules.
_TRAFFIC_CLASS_KEYS = {
    "aim_ns": "latency_objective_ns",
    "deadline_ns": "deadline_ns",
    "effect": "effect",
    "group": "group",
    "window_ns": "deduplication_window_ns",
    "late_share": "late_value_share",
    "worth": "priority_weight",
    "in_order": "in_order",
}


# --- framing --------------------------------------------------------------------------------------


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


# --- encoding -------------------------------------------------------------------------------------


def encode_accepted(message: Message, rules_number: int | None) -> bytes:
    """Return the record of an accepted message, whose delivery rules have this number if they are known."""
    stored = {key: getattr(message, field) for key, field in _MESSAGE_KEYS.items()}
    if rules_number is not None:
        stored["rules"] = rules_number
    text = orjson.dumps(stored)
    return frame(_ACCEPTED.pack(RecordKind.ACCEPTED, message.number, len(text)) + text + message.body)


def encode_attempt_started(message: Message, attempt: int, unix_us: int) -> bytes:
    """Return the record of an attempt that is about to be written to its connection."""
    return frame(_ATTEMPT_STARTED.pack(RecordKind.ATTEMPT_STARTED, message.number, attempt, unix_us))


def encode_attempt_ended(message: Message, attempt: int, may_have_run: bool) -> bytes:
    """Return the record of an attempt that ended without ending its message."""
    return frame(_ATTEMPT_ENDED.pack(RecordKind.ATTEMPT_ENDED, message.number, attempt, may_have_run))


def encode_final_result(message: Message, result: FinalResult) -> bytes:
    """Return the record of a final result whose notification is pending."""
    kind = RecordKind.FINAL_RESULT
    return frame(_FINAL_RESULT.pack(kind, message.number, result.state, result.retry_after_ms))


def encode_message_ended(message: Message) -> bytes:
    """Return the record of a message for which nothing is owed any more."""
    return frame(_NUMBER.pack(RecordKind.MESSAGE_ENDED, message.number))


def encode_progress(message: Message) -> bytes:
    """Return what stands in place of the records of a message's attempts."""
    progress = _PROGRESS.pack(
        RecordKind.PROGRESS,
        message.number,
        message.attempts,
        message.may_have_run_unix_us,
        message.in_flight_since_unix_us,
    )
    return frame(progress) + encode_zone(message)


def encode_zone(message: Message) -> bytes:
    """Return the record of the zone of a message's attempt; empty where duplicates aren't dropped by zone."""
    rules = message.rules
    if (
        rules is None
        or rules.traffic_class.effect is not Idempotency.WITH_KEY
        or rules.traffic_class.group is not DeduplicationScope.ZONE
    ):
        return b""
    return frame(_ZONE.pack(RecordKind.ZONE, message.number, message.zone))


def encode_finished_id(message_id: str) -> bytes:
    """Return the record of the id of a message that has ended."""
    return frame(_NUMBER.pack(RecordKind.FINISHED_ID, 0) + message_id.encode())


def encode_endpoint_blocked(endpoint_id: str, blocked: bool) -> bytes:
    """Return the record of an endpoint that an operator took out of use, or back into it."""
    kind = RecordKind.ENDPOINT_BLOCKED if blocked else RecordKind.ENDPOINT_UNBLOCKED
    return frame(_NUMBER.pack(kind, 0) + endpoint_id.encode())


def encode_rules(rules_number: int, rules: DeliveryRules) -> bytes:
    """Return the record of delivery rules and the number by which later records name them."""
    traffic_class = {key: getattr(rules.traffic_class, field) for key, field in _TRAFFIC_CLASS_KEYS.items()}
    text = orjson.dumps({"cls": traffic_class, "max_attempts": rules.max_attempts})
    return frame(_NUMBER.pack(RecordKind.DELIVERY_RULES, rules_number) + text)


# --- decoding -------------------------------------------------------------------------------------


def decode(payload: memoryview) -> Record | None:
    """Return what a record tells; None for kind 0, which no version has written.

    Raises:
        JournalFormatError: The kind is one of a newer version.
    """
    kind = payload[0]
    if kind > max(RecordKind):
        # Passed over, what a newer version recorded would be done again, or never.
        raise JournalFormatError(f"a record of kind {kind} of a newer version: start that one")
    decoder = _DECODERS.get(kind)
    return decoder(payload) if decoder else None


def _decode_accepted(payload: memoryview) -> Accepted:
    _, number, size = _ACCEPTED.unpack_from(payload)
    body_at = _ACCEPTED.size + size
    stored = orjson.loads(payload[_ACCEPTED.size : body_at])
    fields = {field: stored[key] for key, field in _MESSAGE_KEYS.items() if key in stored}
    return Accepted(Message(number, body=bytes(payload[body_at:]), **fields), stored.get("rules", 0))


def _decode_attempt_started(payload: memoryview) -> AttemptStarted:
    _, number, attempt, unix_us = _ATTEMPT_STARTED.unpack(payload)
    return AttemptStarted(number, attempt, unix_us)


def _decode_attempt_ended(payload: memoryview) -> AttemptEnded:
    _, number, attempt, may_have_run = _ATTEMPT_ENDED.unpack(payload)
    return AttemptEnded(number, attempt, bool(may_have_run))


def _decode_final_result(payload: memoryview) -> FinalResultDecided:
    _, number, state, retry_after_ms = _FINAL_RESULT.unpack(payload)
    return FinalResultDecided(number, FinalResult(FinalState(state), retry_after_ms))


def _decode_message_ended(payload: memoryview) -> MessageEnded:
    return MessageEnded(_NUMBER.unpack_from(payload)[1])


def _decode_progress(payload: memoryview) -> Progress:
    _, number, attempts, may_have_run_unix_us, in_flight_since_unix_us = _PROGRESS.unpack(payload)
    return Progress(number, attempts, may_have_run_unix_us, in_flight_since_unix_us)


def _decode_finished_id(payload: memoryview) -> FinishedId:
    return FinishedId(_text(payload))


def _decode_endpoint_blocked(payload: memoryview) -> EndpointBlocked:
    return EndpointBlocked(_text(payload), payload[0] == RecordKind.ENDPOINT_BLOCKED)


def _decode_rules(payload: memoryview) -> RulesNumbered:
    _, number = _NUMBER.unpack_from(payload)
    stored = orjson.loads(payload[_NUMBER.size :])
    keys = stored["cls"]
    fields: dict[str, Any] = {field: keys[key] for key, field in _TRAFFIC_CLASS_KEYS.items() if key in keys}
    fields["effect"] = Idempotency(fields["effect"])
    fields["group"] = DeduplicationScope(fields["group"])
    return RulesNumbered(number, DeliveryRules(TrafficClass(**fields), stored["max_attempts"]))


def _decode_zone(payload: memoryview) -> AttemptZone:
    _, number, zone = _ZONE.unpack(payload)
    return AttemptZone(number, zone)


def _text(payload: memoryview) -> str:
    return str(payload[_NUMBER.size :], "utf-8")


_DECODERS: dict[int, Callable[[memoryview], Record]] = {
    RecordKind.ACCEPTED: _decode_accepted,
    RecordKind.ATTEMPT_STARTED: _decode_attempt_started,
    RecordKind.ATTEMPT_ENDED: _decode_attempt_ended,
    RecordKind.FINAL_RESULT: _decode_final_result,
    RecordKind.MESSAGE_ENDED: _decode_message_ended,
    RecordKind.PROGRESS: _decode_progress,
    RecordKind.FINISHED_ID: _decode_finished_id,
    RecordKind.ENDPOINT_BLOCKED: _decode_endpoint_blocked,
    RecordKind.ENDPOINT_UNBLOCKED: _decode_endpoint_blocked,
    RecordKind.DELIVERY_RULES: _decode_rules,
    RecordKind.ZONE: _decode_zone,
}
