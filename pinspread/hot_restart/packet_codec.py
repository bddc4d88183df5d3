"""Converts between the JSON in packets and the types of this code.

The JSON keys are exchanged between different versions, so they must not change; only this module knows them.
Reports from the old process and answers from the new one are validated here, before anything acts on them.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import orjson

from pinspread.core.messages import AttemptResult
from pinspread.hot_restart.link import HandoverFormatError, PacketKind
from pinspread.policy.events import Outcome
from pinspread.sockets import Connection, IdleConnection

# The keys of an attempt's result in a packet, with the corresponding fields of `AttemptResult`.
RESULT_FIELDS = {
    "verdict": "outcome",
    "wait_us": "retry_after_us",
    "over": "no_longer_wanted",
    "note": "note",
    "idle_us": "idle_us",
    "opened": "opened",
    "left": "limit_remaining",
    "limit": "limit_per_s",
}

# The types allowed for the value of each key.
_RESULT_TYPES: dict[str, tuple[type, ...]] = {
    "verdict": (int,),
    "wait_us": (int,),
    "over": (bool,),
    "note": (str,),
    "idle_us": (int,),
    "opened": (bool,),
    "left": (int, float),
    "limit": (int, float),
}

# The keys of a client's connection in a packet, with the corresponding fields of `IdleConnection`.
CONNECTION_FIELDS = {"spoke": "answered", "asked": "submitted", "errors": "errors"}
_UNREAD_SIZE = "unread"  # how many of the bytes after the JSON were received but not processed


class AttemptReport(NamedTuple):
    """An attempt that was in flight in the old process has ended."""

    message_number: int
    attempt_number: int
    result: AttemptResult


class RetryAfterReport(NamedTuple):
    """An endpoint gave the old process a Retry-After, in microseconds."""

    endpoint_id: str
    retry_after_us: int


class HealthCheckReport(NamedTuple):
    """A health check that was in flight in the old process has ended."""

    endpoint_id: str
    result: AttemptResult


class SetEndpointDisabledRequest(NamedTuple):
    """An operator asked the old process to disable or enable an endpoint."""

    endpoint_id: str
    disabled: bool
    request_number: int


class EndpointDisabledAnswer(NamedTuple):
    """The answer to a `SetEndpointDisabledRequest`: whether the new process knows the endpoint."""

    request_number: int
    known: bool


Report = AttemptReport | RetryAfterReport | HealthCheckReport | SetEndpointDisabledRequest


def result_to_json(result: AttemptResult) -> dict[str, Any]:
    """Convert the result of an attempt or a health check to the JSON object of a packet."""
    return {key: getattr(result, name) for key, name in RESULT_FIELDS.items()}


def result_from_json(fields: dict[str, Any]) -> AttemptResult:
    """Convert the JSON object of a packet to a result.

    Raises:
        KeyError: A key is unknown.
        TypeError: The outcome is missing.
        ValueError: The outcome is unknown.
    """
    result = AttemptResult(**{RESULT_FIELDS[key]: value for key, value in fields.items()})
    result.outcome = Outcome(result.outcome)
    return result


def decode_report(kind: int, data: bytes) -> Report:
    """Decode a report from the old process.

    Raises:
        HandoverFormatError: The packet is of another kind, or its contents are malformed.
    """
    decode = _REPORT_DECODERS.get(kind)
    if decode is None:
        raise HandoverFormatError(f"unexpected packet of kind {int(kind)}: not a report")
    return decode(data)


def _decode_attempt_report(data: bytes) -> AttemptReport:
    message_number, attempt_number, result = _fields(data, int, int, dict)
    return AttemptReport(message_number, attempt_number, _checked_result(result))


def _decode_retry_after_report(data: bytes) -> RetryAfterReport:
    return RetryAfterReport(*_fields(data, str, int))


def _decode_health_check_report(data: bytes) -> HealthCheckReport:
    endpoint_id, result = _fields(data, str, dict)
    return HealthCheckReport(endpoint_id, _checked_result(result))


def _decode_set_endpoint_disabled(data: bytes) -> SetEndpointDisabledRequest:
    return SetEndpointDisabledRequest(*_fields(data, str, bool, int))


_REPORT_DECODERS: dict[int, Callable[[bytes], Report]] = {
    PacketKind.ATTEMPT_COMPLETED: _decode_attempt_report,
    PacketKind.RETRY_AFTER: _decode_retry_after_report,
    PacketKind.HEALTH_CHECK_COMPLETED: _decode_health_check_report,
    PacketKind.SET_ENDPOINT_DISABLED: _decode_set_endpoint_disabled,
}


def encode_endpoint_disabled(answer: EndpointDisabledAnswer) -> bytes:
    """Encode the answer to an operator's request that the old process passed on."""
    return orjson.dumps(list(answer))


def decode_endpoint_disabled(data: bytes) -> EndpointDisabledAnswer:
    """Decode an answer from the new process; HandoverFormatError if it is malformed."""
    return EndpointDisabledAnswer(*_fields(data, int, bool))


def _fields(data: bytes, *types: type) -> list[Any]:
    """Decode the JSON list of a packet, checking that its fields have exactly the given types."""
    try:
        fields = orjson.loads(data)
    except ValueError as error:
        raise HandoverFormatError(f"packet is not valid JSON: {error}") from None
    if not isinstance(fields, list) or [type(field) for field in fields] != list(types):
        raise HandoverFormatError(f"packet is not a list of {[cls.__name__ for cls in types]}")
    return fields


def _checked_result(fields: dict[str, Any]) -> AttemptResult:
    for key, value in fields.items():
        if type(value) not in _RESULT_TYPES.get(key, ()):
            raise HandoverFormatError(f"result has an unknown key {key!r}, or its value has the wrong type")
    try:
        return result_from_json(fields)
    except (TypeError, ValueError) as error:
        raise HandoverFormatError(f"malformed result: {error}") from None


def encode_client_connection(idle: IdleConnection) -> bytes:
    """Describe a client's connection: a line of JSON, then its unprocessed input and its unsent output."""
    fields: dict[str, Any] = {key: getattr(idle, name) for key, name in CONNECTION_FIELDS.items()}
    fields[_UNREAD_SIZE] = len(idle.unread)
    return orjson.dumps(fields) + b"\n" + idle.unread + idle.unsent


def decode_client_connection(data: bytes, connection: Connection) -> IdleConnection:
    """Restore a client's connection from what `encode_client_connection` made of it."""
    header, _, buffered = data.partition(b"\n")
    fields = orjson.loads(header)
    size = fields.pop(_UNREAD_SIZE)
    named = {CONNECTION_FIELDS.get(key, key): value for key, value in fields.items()}
    return IdleConnection(connection, unread=buffered[:size], unsent=buffered[size:], **named)


def encode_refusal(reason: str, *, busy: bool) -> bytes:
    """Encode the reason why an exchange is declined; if `busy`, the other side may ask again."""
    return orjson.dumps({"why": reason, "busy": busy})


def decode_refusal(data: bytes) -> tuple[str, bool]:
    """Decode the reason of a refusal, and whether the other side may be asked again."""
    fields = orjson.loads(data)
    return fields["why"], fields["busy"]
