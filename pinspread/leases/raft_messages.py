"""The frames that voters send each other: a hello, then the library's messages, each with the sender's term.

The library's messages are sent as maps with the library's keys. They are checked before the library gets
them: it unpickles the commands in them, and a pickle can import and call anything, so only pickles of plain
values are accepted.
"""

import pickletools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pinspread.membership import codec
from pinspread.membership.codec import DatagramError, is_of_type

Message = dict[str, Any]  # in the library's form

MAGIC = b"PSQ"
MAX_FRAME_BYTES = 1 << 21
_MAX_SHOWN_CHARS = 64  # of a received value, in an error message

# Pickle opcodes that hold or build plain values. Other opcodes could import or call something.
_PLAIN_OPCODES = {
    *("PROTO", "FRAME", "STOP", "MARK"),
    *("NONE", "NEWTRUE", "NEWFALSE", "INT", "BININT", "BININT1", "BININT2", "LONG1"),
    *("UNICODE", "BINUNICODE", "SHORT_BINUNICODE", "BINUNICODE8"),
    *("EMPTY_TUPLE", "TUPLE", "TUPLE1", "TUPLE2", "TUPLE3"),
    *("EMPTY_LIST", "LIST", "APPEND", "APPENDS"),
    *("MEMOIZE", "PUT", "BINPUT", "LONG_BINPUT", "GET", "BINGET", "LONG_BINGET"),
}
# The first byte of a command is its kind in the library.
_CALL = 0  # a pickled call of a replicated method
_NO_OPERATION = b"\x01"  # a complete command, of this byte alone

_FIELDS: Mapping[str, dict[str, type]] = {
    "request_vote": {"term": int, "last_log_index": int, "last_log_term": int},
    "response_vote": {"term": int},
    "append_entries": {"term": int, "commit_index": int},
    "next_node_idx": {"next_node_idx": int, "reset": bool, "success": bool},
    "apply_command": {"command": bytes},
    "apply_command_response": {"request_id": int},
    "timeout_now": {"term": int},
}
_HELLO_FIELDS = {"from": str, "to": str, "empty": bool}
_BODY_FIELDS = {"term": int, "message": dict}


@dataclass(frozen=True)
class Hello:
    """The first frame on a stream.

    Attributes:
        sender: The id of the voter that opened the stream.
        recipient: The id of the voter that the stream is meant for.
        log_is_empty: Whether the sender's log is empty.
    """

    sender: str
    recipient: str
    log_is_empty: bool


@dataclass(frozen=True)
class TermMessage:
    """A message of the library, and the term of its sender when it was sent."""

    term: int
    message: Message


def encode_hello(hello: Hello, key: bytes) -> bytes:
    """Return the frame of a hello."""
    fields = {"from": hello.sender, "to": hello.recipient, "empty": hello.log_is_empty}
    return codec.encode(fields, key, MAGIC)


def decode_hello(fields: dict[str, Any]) -> Hello:
    """Decode the map of a frame as a hello.

    Raises:
        DatagramError: The hello is not well-formed.
    """
    codec.require_fields(fields, _HELLO_FIELDS)
    return Hello(fields["from"], fields["to"], fields["empty"])


def encode_message(message: TermMessage, key: bytes) -> bytes:
    """Return the frame of a message."""
    return codec.encode({"term": message.term, "message": message.message}, key, MAGIC)


def decode_message(fields: dict[str, Any]) -> TermMessage:
    """Decode the map of a frame as a message, in the form that the library expects.

    Raises:
        DatagramError: The message is not well-formed, or holds a command that could call something.
    """
    codec.require_fields(fields, _BODY_FIELDS)
    return TermMessage(fields["term"], check_message(fields["message"]))


def check_message(message: Message) -> Message:
    """Check a message, and return it in the form that the library expects.

    Raises:
        DatagramError: The message is not well-formed, or holds a command that could call something.
    """
    kind = message.get("type")
    if not isinstance(kind, str) or kind not in _FIELDS:
        raise DatagramError(f"unknown message type {str(kind)[:_MAX_SHOWN_CHARS]!r}")
    for name, type_ in _FIELDS[kind].items():
        if not is_of_type(message.get(name), type_):
            raise DatagramError(f"{kind}: field {name!r}: expected {type_.__name__}")
    commands = [message["command"]] if kind == "apply_command" else []
    if kind == "append_entries":
        _check_position(message)
        entries = _checked_entries(message.get("entries", []))
        message = message | {"entries": entries}
        commands = [command for command, _, _ in entries]
    if not all(is_plain_command(command) for command in commands):
        raise DatagramError(f"{kind}: a command is not a pickle of plain values")
    return message


def _check_position(message: Message) -> None:
    """Check the start of an `append_entries` message: the entry before its entries, or a part of a dump.

    Raises:
        DatagramError: Neither is well-formed, or an entry is split over several messages.
    """
    if "prevLogIdx" in message or "prevLogTerm" in message:
        if not all(is_of_type(message.get(name), int) for name in ("prevLogIdx", "prevLogTerm")):
            raise DatagramError("append_entries: prevLogIdx and prevLogTerm must both be integers")
    elif not _is_serialized_part(message.get("serialized")):
        raise DatagramError(
            "append_entries: neither prevLogIdx and prevLogTerm nor a well-formed part of a dump"
        )
    if "transmission" in message:
        raise DatagramError("append_entries: an entry split over several messages is not supported")


def _checked_entries(entries: object) -> list[tuple[bytes, int, int]]:
    if not isinstance(entries, list) or not all(_is_entry(entry) for entry in entries):
        raise DatagramError("append_entries: an entry is not well-formed: expected [command, index, term]")
    return [tuple(entry) for entry in entries]


def _is_entry(entry: object) -> bool:
    """Return whether a value is a list of a command, its index and its term."""
    return (
        isinstance(entry, list)
        and len(entry) == 3
        and isinstance(entry[0], bytes)
        and is_of_type(entry[1], int)
        and is_of_type(entry[2], int)
    )


def _is_serialized_part(part: object) -> bool:
    """Return whether a value is a part of a dump, or None."""
    return part is None or (
        isinstance(part, list)
        and len(part) == 3
        and isinstance(part[0], bytes)
        and len(part[0]) <= MAX_FRAME_BYTES
    )


def is_plain_command(command: bytes) -> bool:
    """Return whether a command is a pickle of plain values, or the library's no-operation."""
    if not command:
        return False
    if command[0] != _CALL:
        return command == _NO_OPERATION
    try:
        return all(opcode.name in _PLAIN_OPCODES for opcode, _, _ in pickletools.genops(command[1:]))
    except Exception:  # noqa: BLE001  pickletools raises several kinds for bytes that are not a pickle
        return False


def skip_applied_entries(message: Message, applied_index: int) -> Message | None:
    """Return an `append_entries` message without the entries that this voter has already applied.

    The library removes all entries of its log that come after the start of a message. A message that is sent
    again may start before entries that this voter has reported to hold, which would then be lost. Entries
    that were applied are committed, so the leader's log holds them too, and they can be skipped.

    Args:
        message: Any checked message; all kinds but `append_entries` are returned unchanged.
        applied_index: The index of the last entry that this voter has applied.

    Returns:
        The message, or None if all its entries, and more, have been applied.
    """
    if message["type"] != "append_entries" or message.get("prevLogIdx", applied_index) >= applied_index:
        return message
    applied_count = applied_index - message["prevLogIdx"]
    entries = message["entries"]
    if applied_count > len(entries):
        return None
    _, index, term = entries[applied_count - 1]
    return message | {"prevLogIdx": index, "prevLogTerm": term, "entries": entries[applied_count:]}
