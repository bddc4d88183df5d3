"""The JSON that packets hold, and the fields of this code that it is made from.

The keys are on the wire between two versions; only this module knows them.
"""

from typing import Any

import orjson

from pinspread.core.messages import AttemptResult
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

# The keys of a client's connection in a packet, and the fields of `IdleConnection` that hold them.
CONNECTION_FIELDS = {"spoke": "answered", "asked": "submitted", "errors": "errors"}
_UNREAD_SIZE = "unread"  # how many of the bytes behind the JSON were read and not answered


def result_to_json(result: AttemptResult) -> dict[str, Any]:
    """The result of an attempt or a health check, as a packet has it."""
    return {key: getattr(result, name) for key, name in RESULT_FIELDS.items()}


def result_from_json(fields: dict[str, Any]) -> AttemptResult:
    """The result that a packet has; KeyError, TypeError or ValueError if it is none."""
    result = AttemptResult(**{RESULT_FIELDS[key]: value for key, value in fields.items()})
    result.outcome = Outcome(result.outcome)
    return result


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
