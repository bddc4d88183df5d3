"""What voters send each other: a hello, then the library's messages, each with the sender's term.

The library's messages stay maps with the library's keys. They are checked before the library sees them: it
unpickles the commands in them, and a pickle can import and call anything, so only pickles of plain values
pass.
"""

import pickletools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pinspread.membership import codec
from pinspread.membership.codec import DatagramError, is_of_type

Message = dict[str, Any]  # as the library has it

MAGIC = b"PSQ"
MAX_FRAME_BYTES = 1 << 21
_MAX_SHOWN_CHARS = 64  # of what was received, in a reason for the log

# Opcodes of a pickle that hold or build plain values; any other could import or call.
_PLAIN_OPCODES = {
    *("PROTO", "FRAME", "STOP", "MARK"),
    *("NONE", "NEWTRUE", "NEWFALSE", "INT", "BININT", "BININT1", "BININT2", "LONG1"),
    *("UNICODE", "BINUNICODE", "SHORT_BINUNICODE", "BINUNICODE8"),
    *("EMPTY_TUPLE", "TUPLE", "TUPLE1", "TUPLE2", "TUPLE3"),
    *("EMPTY_LIST", "LIST", "APPEND", "APPENDS"),
    *("MEMOIZE", "PUT", "BINPUT", "LONG_BINPUT", "GET", "BINGET", "LONG_BINGET"),
}
# The first byte of a command tells the library's kinds apart.
_CALL = 0  # a pickled call of a replicated method
_NO_OPERATION = b"\x01"

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
        sender: The id of the voter that has opened the stream.
        recipient: The id of the voter that it is for.
        log_is_empty: Whether the sender's log holds no entries.
    """

    sender: str
    recipient: str
    log_is_empty: bool


@dataclass(frozen=True)
class TermMessage:
    """A message of the library, and the term in which its sender sent it."""

    term: int
    message: Message


def encode_hello(hello: Hello, key: bytes) -> bytes:
    """Return the frame of a hello."""
    fields = {"from": hello.sender, "to": hello.recipient, "empty": hello.log_is_empty}
    return codec.encode(fields, key, MAGIC)


def decode_hello(fields: dict[str, Any]) -> Hello:
    """Return the hello in a frame's map.

    Raises:
        DatagramError: It is not well-formed.
    """
    codec.require_fields(fields, _HELLO_FIELDS)
    return Hello(fields["from"], fields["to"], fields["empty"])


def encode_message(message: TermMessage, key: bytes) -> bytes:
    """Return the frame of a message."""
    return codec.encode({"term": message.term, "message": message.message}, key, MAGIC)


def decode_message(fields: dict[str, Any]) -> TermMessage:
    """Return the message in a frame's map, in the shape that the library takes.

    Raises:
        DatagramError: It is not well-formed, or holds a command that could call something.
    """
    codec.require_fields(fields, _BODY_FIELDS)
    return TermMessage(fields["term"], check_message(fields["message"]))


def check_message(message: Message) -> Message:
    """Return a message in the shape that the library takes.

    Raises:
        DatagramError: It is not well-formed, or holds a command that could call something.
    """
    kind = message.get("type")
    if not isinstance(kind, str) or kind not in _FIELDS:
        raise DatagramError(f"message {str(kind)[:_MAX_SHOWN_CHARS]!r}")
    for name, type_ in _FIELDS[kind].items():
        if not is_of_type(message.get(name), type_):
            raise DatagramError(f"{kind}: field {name!r}")
    commands = [message["command"]] if kind == "apply_command" else []
    if kind == "append_entries":
        _check_position(message)
        entries = _checked_entries(message.get("entries", []))
        message = message | {"entries": entries}
        commands = [command for command, _, _ in entries]
    if not all(is_plain_command(command) for command in commands):
        raise DatagramError(f"{kind}: a command that is not plain")
    return message


def _check_position(message: Message) -> None:
    """Check what `append_entries` says of the log before its entries."""
    if "prevLogIdx" in message or "prevLogTerm" in message:
        if not all(is_of_type(message.get(name), int) for name in ("prevLogIdx", "prevLogTerm")):
            raise DatagramError("append_entries: what goes before")
    elif not _is_serialized_part(message.get("serialized")):
        raise DatagramError("append_entries: neither entries nor a dump")
    if "transmission" in message:
        raise DatagramError("append_entries: an entry in parts")


def _checked_entries(entries: object) -> list[tuple[bytes, int, int]]:
    if not isinstance(entries, list) or not all(_is_entry(entry) for entry in entries):
        raise DatagramError("append_entries: an entry is not well-formed")
    return [tuple(entry) for entry in entries]


def _is_entry(entry: object) -> bool:
    """Whether it is a command with its index and its term."""
    return (
        isinstance(entry, list)
        and len(entry) == 3
        and isinstance(entry[0], bytes)
        and is_of_type(entry[1], int)
        and is_of_type(entry[2], int)
    )


def _is_serialized_part(part: object) -> bool:
    """Whether it is a part of a dump, or nothing."""
    return part is None or (
        isinstance(part, list)
        and len(part) == 3
        and isinstance(part[0], bytes)
        and len(part[0]) <= MAX_FRAME_BYTES
    )


def is_plain_command(command: bytes) -> bool:
    """Return whether a command is a pickle of plain values, or the library's entry without a command."""
    if not command:
        return False
    if command[0] != _CALL:
        return command == _NO_OPERATION
    try:
        return all(opcode.name in _PLAIN_OPCODES for opcode, _, _ in pickletools.genops(command[1:]))
    except Exception:  # noqa: BLE001  of bytes that are no pickle
        return False


def skip_applied_entries(message: Message, applied_index: int) -> Message | None:
    """Return an `append_entries` message without the entries that are applied here already.

    The library cuts its log behind the place that a message begins at, though a message that is sent again
    may begin before what this voter has reported that it holds. What is applied is committed, and so it is in
    the leader's log too.

    Args:
        message: Any checked message; all but `append_entries` are returned as they are.
        applied_index: The index of the last entry that this voter has applied.

    Returns:
        The message, or None if nothing is left of it.
    """
    if message["type"] != "append_entries" or message.get("prevLogIdx", applied_index) >= applied_index:
        return message
    applied_count = applied_index - message["prevLogIdx"]
    entries = message["entries"]
    if applied_count > len(entries):
        return None
    _, index, term = entries[applied_count - 1]
    return message | {"prevLogIdx": index, "prevLogTerm": term, "entries": entries[applied_count:]}
