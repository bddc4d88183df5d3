"""Encodes the policy's actions as records, and records as replies."""

import struct
from collections.abc import Callable, Iterable
from typing import Any

from pinspread.policy.actions import Action, CheckHealth, Disconnect, Fail, Reject, Send, SetTimer, Subscribe
from pinspread.simulator_wire.protocol import REPLY_HEADER, ActionCode

_SUBMIT = struct.Struct(">BQ6sQ")
_REQUEST_AND_TIME = struct.Struct(">BQQ")
_REQUEST = struct.Struct(">BQ")
_ENDPOINT = struct.Struct(">B6s")
_SOURCE = struct.Struct(">BH")
_FAULT = struct.Struct(">BH")
_MAX_FAULT_BYTES = 60_000


def source(instance: int) -> bytes:
    """The record that names the instance of the actions after it."""
    return _SOURCE.pack(ActionCode.ON, instance)


def fault(text: str) -> bytes:
    """The record that reports an exception in the policy's code."""
    data = text.encode("utf-8", "replace")[:_MAX_FAULT_BYTES]
    return _FAULT.pack(ActionCode.FAULT, len(data)) + data


def encode(action: Action) -> bytes:
    """Encode an action as a record; TypeError if it is not an action."""
    encoder = _ENCODERS.get(type(action))
    if encoder is None:
        raise TypeError(f"no record for {action!r}")
    return encoder(action)


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    Send: lambda send: _SUBMIT.pack(ActionCode.SEND, send.request, send.endpoint, send.timeout_ns),
    SetTimer: lambda timer: _REQUEST_AND_TIME.pack(ActionCode.SET_TIMER, timer.tag, timer.delay_ns),
    Reject: lambda reject: _REQUEST_AND_TIME.pack(ActionCode.REJECT, reject.request, reject.retry_after_ns),
    Fail: lambda fail: _REQUEST.pack(ActionCode.FAIL, fail.request),
    CheckHealth: lambda check: _ENDPOINT.pack(ActionCode.CHECK_HEALTH, check.endpoint),
    Disconnect: lambda disconnect: _ENDPOINT.pack(ActionCode.DISCONNECT, disconnect.endpoint),
    Subscribe: lambda _: bytes((ActionCode.SUBSCRIBE, 1)),
}


def reply(records: Iterable[bytes]) -> bytes:
    """Encode a whole reply from its records."""
    encoded = list(records)
    body = b"".join(encoded)
    return REPLY_HEADER.pack(len(body), len(encoded)) + body
