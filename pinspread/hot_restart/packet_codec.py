"""The JSON that packets hold, and the types and fields of this code that it is made from.

The keys are on the wire between two versions; only this module knows them. What the new process reads of the
old one's reports, and the old one of the answers, is checked here, before anything acts on it.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import orjson

from pinspread.core.messages import AttemptResult
from pinspread.hot_restart.link import HandoverFormatError, PacketKind
from pinspread.policy.events import Outcome
from pinspread.sockets import Connection, IdleConnection

# The keys of an attempt's result in a packet, and the fields of `AttemptResult` that hold them.
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

# The types that the keys' values have.
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

# The keys of a client's connection in a packet, and the fields of `IdleConnection` that hold them.
CONNECTION_FIELDS = {"spoke": "answered", "asked": "submitted", "errors": "errors"}
_UNREAD_SIZE = "unread"  # how many of the bytes behind the JSON were read and not answered


class AttemptReport(NamedTuple):
    """An attempt has ended that was in flight in the old process."""

    message_number: int
    attempt_number: int
    result: AttemptResult


class RetryAfterReport(NamedTuple):
    """An endpoint gave the old process a Retry-After, in microseconds."""

    endpoint_id: str
    retry_after_us: int


class HealthCheckReport(NamedTuple):
    """A health check has ended that was in flight in the old process."""

    endpoint_id: str
    result: AttemptResult


class SetEndpointDisabledRequest(NamedTuple):
    """An operator asked the old process to disable or enable an endpoint."""

    endpoint_id: str
    disabled: bool
    request_number: int


class EndpointDisabledAnswer(NamedTuple):
    """What became of a `SetEndpointDisabledRequest`: whether the new process knows the endpoint."""

    request_number: int
    known: bool


Report = AttemptReport | RetryAfterReport | HealthCheckReport | SetEndpointDisabledRequest


def result_to_json(result: AttemptResult) -> dict[str, Any]:
    """The result of an attempt or a health check, as a packet has it."""
    return {key: getattr(result, name) for key, name in RESULT_FIELDS.items()}


def result_from_json(fields: dict[str, Any]) -> AttemptResult:
    """The result that a packet has; KeyError, TypeError or ValueError if it is none."""
    result = AttemptResult(**{RESULT_FIELDS[key]: value for key, value in fields.items()})
    result.outcome = Outcome(result.outcome)
    return result


def decode_report(kind: int, data: bytes) -> Report:
    """The report that a packet of the old process holds; HandoverFormatError if it is malformed."""
    decode = _REPORT_DECODERS.get(kind)
    if decode is None:
        raise HandoverFormatError(f"message {int(kind)} is out of place")
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
    """The answer to an operator's request that the old process has passed on."""
    return orjson.dumps(list(answer))


def decode_endpoint_disabled(data: bytes) -> EndpointDisabledAnswer:
    """The answer that a packet of the new process holds; HandoverFormatError if it is malformed."""
    return EndpointDisabledAnswer(*_fields(data, int, bool))


def _fields(data: bytes, *types: type) -> list[Any]:
    """The fields of a packet, which are as many as the types, and of these."""
    try:
        fields = orjson.loads(data)
    except ValueError as error:
        raise HandoverFormatError(f"no JSON: {error}") from None
    if not isinstance(fields, list) or [type(field) for field in fields] != list(types):
        raise HandoverFormatError("fields are missing, superfluous or of another type")
    return fields


def _checked_result(fields: dict[str, Any]) -> AttemptResult:
    for key, value in fields.items():
        if type(value) not in _RESULT_TYPES.get(key, ()):
            raise HandoverFormatError(f"{key!r} of a result is unknown or of another type")
    try:
        return result_from_json(fields)
    except (TypeError, ValueError) as error:
        raise HandoverFormatError(f"no result: {error}") from None


def encode_client_connection(idle: IdleConnection) -> bytes:
    """What goes with a client's connection: a line of JSON, then the bytes not yet dealt with."""
    fields: dict[str, Any] = {key: getattr(idle, name) for key, name in CONNECTION_FIELDS.items()}
    fields[_UNREAD_SIZE] = len(idle.unread)
    return orjson.dumps(fields) + b"\n" + idle.unread + idle.unsent


def decode_client_connection(data: bytes, connection: Connection) -> IdleConnection:
    """The client's connection that `encode_client_connection` has described."""
    header, _, buffered = data.partition(b"\n")
    fields = orjson.loads(header)
    size = fields.pop(_UNREAD_SIZE)
    named = {CONNECTION_FIELDS.get(key, key): value for key, value in fields.items()}
    return IdleConnection(connection, unread=buffered[:size], unsent=buffered[size:], **named)


def encode_refusal(reason: str, *, busy: bool) -> bytes:
    """Why an exchange is declined; one that is busy may be asked again."""
    return orjson.dumps({"why": reason, "busy": busy})


def decode_refusal(data: bytes) -> tuple[str, bool]:
    """The reason of a refusal, and whether the other side may be asked again."""
    fields = orjson.loads(data)
    return fields["why"], fields["busy"]
