"""The format of the journal's records: pure functions that encode and decode them. No I/O, no clock.

A record consists of its payload's length and CRC-32 (little-endian u32 each) and the payload: a kind byte, a
number (u64) and the fields of the kind. The number is that of a message, that of delivery rules, or 0. Times
are microseconds of Unix time. Stored keys never change; only this module maps them to the names in the code.
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
    """The kinds of records; the values are stored."""

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
    """A message was accepted under the delivery rules of this number; 0 if an older version wrote none."""

    message: Message
    rules_number: int


class AttemptStarted(NamedTuple):
    """An attempt was about to be written to its connection, at this Unix time."""

    number: int
    attempt: int
    unix_us: int


class AttemptEnded(NamedTuple):
    """An attempt that was written has ended, and its message has not."""

    number: int
    attempt: int
    may_have_run: bool


class FinalResultDecided(NamedTuple):
    """The final result of the message was decided, and its notification is pending."""

    number: int
    result: FinalResult


class MessageEnded(NamedTuple):
    """The message has ended, and no notification of it is pending."""

    number: int


class Progress(NamedTuple):
    """The state of a message's attempts, which replaces the records of the attempts in a rewritten file."""

    number: int
    attempts: int
    may_have_run_unix_us: int
    in_flight_since_unix_us: int


class FinishedId(NamedTuple):
    """The message with this id was accepted and has ended."""

    message_id: str


class EndpointBlocked(NamedTuple):
    """An operator disabled an endpoint, or enabled it again."""

    endpoint_id: str
    blocked: bool


class RulesNumbered(NamedTuple):
    """Delivery rules, which later records refer to by their number."""

    rules_number: int
    rules: DeliveryRules


class AttemptZone(NamedTuple):
    """The zone of a message's attempt, for messages whose duplicates are dropped per zone."""

    number: int
    zone: int


# Records of the progress of an accepted message.
ProgressRecord = AttemptStarted | AttemptEnded | FinalResultDecided | MessageEnded | Progress | AttemptZone
Record = Accepted | FinishedId | EndpointBlocked | RulesNumbered | ProgressRecord

_HEADER = struct.Struct("<II")  # length of the payload, its CRC-32
_NUMBER = struct.Struct("<BQ")  # kind and number, at the start of every payload
_ACCEPTED = struct.Struct("<BQH")  # length of the JSON text that precedes the body
_ATTEMPT_STARTED = struct.Struct("<BQBQ")  # attempt number, Unix time at which it was written
_ATTEMPT_ENDED = struct.Struct("<BQBB")  # attempt number, whether it may have run
_FINAL_RESULT = struct.Struct("<BQBI")  # state, Retry-After for the client in milliseconds
_PROGRESS = struct.Struct("<BQBQQ")  # attempts, times of the first that may have run and of that in flight
_ZONE = struct.Struct("<BQB")  # zone
MAX_RECORDED_ATTEMPT = (
    255  # numbers above, of a message whose attempts were refused unwritten, are stored as this
)

HEADER_BYTES = _HEADER.size
MAX_PAYLOAD_BYTES = 1 << 20
# Maximum size of the records that follow a message's `Accepted` record in a rewritten file.
PROGRESS_BYTES = 3 * HEADER_BYTES + _PROGRESS.size + _FINAL_RESULT.size + _ZONE.size

# The stored keys of an accepted message, and the fields of `Message` for them.
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
    """Yield the payloads of the complete records at the start of the data, up to the first damaged one."""
    view = memoryview(data)
    offset = 0
    while offset + HEADER_BYTES <= len(view):
        size, checksum = _HEADER.unpack_from(view, offset)
        payload = view[offset + HEADER_BYTES : offset + HEADER_BYTES + size]
        if not 0 < size <= MAX_PAYLOAD_BYTES or len(payload) < size or zlib.crc32(payload) != checksum:
            return
        yield payload
        offset += HEADER_BYTES + size


def complete_bytes(data: bytes | bytearray | memoryview) -> int:
    """Return how many bytes at the start of the data are complete records."""
    return sum(HEADER_BYTES + len(payload) for payload in payloads(data))


def is_truncated(data: bytes | bytearray | memoryview, offset: int) -> bool:
    """Return whether the data after the last complete record, from `offset`, looks like a truncated one."""
    if len(data) - offset < HEADER_BYTES:
        return True
    size, _ = _HEADER.unpack_from(data, offset)
    return bool(0 < size <= MAX_PAYLOAD_BYTES and offset + HEADER_BYTES + size > len(data))


# --- encoding -------------------------------------------------------------------------------------


def encode_accepted(message: Message, rules_number: int | None) -> bytes:
    """Return the record of an accepted message; `rules_number` is None if its rules are not known."""
    stored = {key: getattr(message, field) for key, field in _MESSAGE_KEYS.items()}
    if rules_number is not None:
        stored["rules"] = rules_number
    text = orjson.dumps(stored)
    return frame(_ACCEPTED.pack(RecordKind.ACCEPTED, message.number, len(text)) + text + message.body)


def encode_attempt_started(message: Message, attempt: int, unix_us: int) -> bytes:
    """Return the record of an attempt that is about to be written to its connection."""
    stored_attempt = min(attempt, MAX_RECORDED_ATTEMPT)
    record = _ATTEMPT_STARTED.pack(RecordKind.ATTEMPT_STARTED, message.number, stored_attempt, unix_us)
    return frame(record)


def encode_attempt_ended(message: Message, attempt: int, may_have_run: bool) -> bytes:
    """Return the record of an attempt that was written and has ended, while its message has not."""
    stored_attempt = min(attempt, MAX_RECORDED_ATTEMPT)
    record = _ATTEMPT_ENDED.pack(RecordKind.ATTEMPT_ENDED, message.number, stored_attempt, may_have_run)
    return frame(record)


def encode_final_result(message: Message, result: FinalResult) -> bytes:
    """Return the record of a final result whose notification is pending."""
    kind = RecordKind.FINAL_RESULT
    return frame(_FINAL_RESULT.pack(kind, message.number, result.state, result.retry_after_ms))


def encode_message_ended(message: Message) -> bytes:
    """Return the record of a message that has ended and whose notification is not pending."""
    return frame(_NUMBER.pack(RecordKind.MESSAGE_ENDED, message.number))


def encode_progress(message: Message) -> bytes:
    """Return the records that replace those of a message's attempts in a rewritten file."""
    progress = _PROGRESS.pack(
        RecordKind.PROGRESS,
        message.number,
        min(message.attempts, MAX_RECORDED_ATTEMPT),
        message.may_have_run_unix_us,
        message.in_flight_since_unix_us,
    )
    return frame(progress) + encode_zone(message)


def encode_zone(message: Message) -> bytes:
    """Return the record of the zone of a message's attempt; empty unless duplicates are dropped per zone."""
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
    """Return the record of an endpoint that an operator disabled, or enabled again."""
    kind = RecordKind.ENDPOINT_BLOCKED if blocked else RecordKind.ENDPOINT_UNBLOCKED
    return frame(_NUMBER.pack(kind, 0) + endpoint_id.encode())


def encode_rules(rules_number: int, rules: DeliveryRules) -> bytes:
    """Return the record of delivery rules and the number by which later records refer to them."""
    traffic_class = {key: getattr(rules.traffic_class, field) for key, field in _TRAFFIC_CLASS_KEYS.items()}
    text = orjson.dumps({"cls": traffic_class, "max_attempts": rules.max_attempts})
    return frame(_NUMBER.pack(RecordKind.DELIVERY_RULES, rules_number) + text)


# --- decoding -------------------------------------------------------------------------------------


def decode(payload: memoryview) -> Record | None:
    """Decode the payload of a record; return None for kind 0, which no version has written.

    Raises:
        JournalFormatError: The kind is unknown, so a newer version wrote the record.
    """
    kind = payload[0]
    if kind > max(RecordKind):
        # If the record was skipped, what it says was done would be done again, or never be done.
        raise JournalFormatError(f"a record of kind {kind} of a newer version; start that version")
    decoder = _DECODERS.get(kind)
    return decoder(payload) if decoder else None


def _decode_accepted(payload: memoryview) -> Accepted:
    _, number, size = _ACCEPTED.unpack_from(payload)
    body_offset = _ACCEPTED.size + size
    stored = orjson.loads(payload[_ACCEPTED.size : body_offset])
    fields = {field: stored[key] for key, field in _MESSAGE_KEYS.items() if key in stored}
    return Accepted(Message(number, body=bytes(payload[body_offset:]), **fields), stored.get("rules", 0))


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
