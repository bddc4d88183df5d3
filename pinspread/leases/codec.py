"""Encodes and decodes lease requests and answers as datagrams, and lease records as JSON for operators.

Only this module knows the keys of these forms. Datagrams have the header of `membership.codec`, with a magic
of their own.
"""

from typing import Any

from pinspread.leases.state_machine import Answer, LeaseRecord, Request, RequestKind
from pinspread.membership import codec
from pinspread.membership.codec import DatagramError

MAGIC = b"PSL"
MAX_TASK_CHARS = 64  # longest task name in a datagram
_MAX_SHOWN_CHARS = 64  # of a received value, in an error message
_INT_LIMIT = 1 << 63
_REQUEST = "lease"
_ANSWER = "leased"
_REQUEST_FIELDS = {"kind": str, "task": str, "member": str, "token": int, "number": int, "at": str}
_ANSWER_FIELDS = {
    "task": str,
    "number": int,
    "why": str,
    "token": int,
    "wait_us": int,
    "leader": str,
}


def encode_request(request: Request, reply_address: str, key: bytes) -> bytes:
    """Return the datagram of a request; the answer is to be sent to `reply_address`."""
    message = {
        "t": _REQUEST,
        "kind": request.kind.value,
        "task": request.task,
        "member": request.member,
        "token": request.token,
        "number": request.request_id,
        "at": reply_address,
    }
    return codec.encode(message, key, MAGIC)


def encode_answer(answer: Answer, key: bytes) -> bytes:
    """Return the datagram of an answer."""
    message = {
        "t": _ANSWER,
        "task": answer.task,
        "number": answer.request_id,
        "why": answer.reason,
        "token": answer.token,
        "wait_us": answer.retry_after_us,
        "leader": answer.leader,
    }
    return codec.encode(message, key, MAGIC)


def decode(data: bytes, key: bytes) -> tuple[Request, str] | Answer:
    """Decode a datagram.

    Returns:
        A request with the address to send the answer to, or an answer.

    Raises:
        DatagramError: The datagram is damaged, of another fleet or protocol, or not well-formed.
    """
    message = check_message(codec.decode(data, key, MAGIC))
    if message["t"] == _ANSWER:
        return Answer(*(message[name] for name in _ANSWER_FIELDS))
    request = Request(
        RequestKind(message["kind"]),
        message["task"],
        message["member"],
        message["token"],
        message["number"],
    )
    return request, message["at"]


def check_message(message: dict[str, Any]) -> dict[str, Any]:
    """Return the message of a datagram unchanged if it is well-formed.

    Raises:
        DatagramError: The message is not well-formed; the text says why.
    """
    kind = message.get("t")
    if kind not in (_REQUEST, _ANSWER):
        raise DatagramError(f"unknown message kind {str(kind)[:_MAX_SHOWN_CHARS]!r}")
    codec.require_fields(message, _REQUEST_FIELDS if kind == _REQUEST else _ANSWER_FIELDS)
    if kind == _REQUEST and message["kind"] not in set(RequestKind):
        raise DatagramError(f"unknown request kind {message['kind'][:_MAX_SHOWN_CHARS]!r}")
    if kind == _REQUEST and not codec.is_address(message["at"]):
        raise DatagramError(f"reply address {message['at'][:_MAX_SHOWN_CHARS]!r}: expected host:port")
    numbers = [message[name] for name in ("token", "number", "wait_us") if name in message]
    in_range = min(numbers) >= 0 and max(numbers) < _INT_LIMIT
    if not in_range or len(message["task"]) > MAX_TASK_CHARS:
        raise DatagramError(
            f"{kind}: a number is out of range, or the task name has over {MAX_TASK_CHARS} characters"
        )
    return message


def record_to_json(record: LeaseRecord) -> dict[str, str | int]:
    """Return the operators' view of a record."""
    return {
        "holder": record.holder,
        "token": record.token,
        "version": record.version,
        "number": record.request_id,
    }
