"""The encoding of membership messages as datagrams; only this module knows the keys and their order."""

from collections.abc import Sequence
from typing import Any

from pinspread.membership import codec
from pinspread.membership.codec import DatagramError, is_address, is_of_type
from pinspread.membership.members import MemberState
from pinspread.membership.messages import (
    Ack,
    Leave,
    Message,
    MessageHeader,
    Nack,
    Ping,
    PingRequest,
    Sync,
    Update,
)

_PING = "ping"
_ACK = "ack"
_NACK = "nack"
_PING_REQUEST = "ask"
_SYNC = "sync"

_COMMON_FIELDS = {"from": str, "from_at": str, "inc": int, "up": list}
_FIELDS: dict[str, dict[str, type]] = {
    _PING: {"seq": int, "to": str},
    _ACK: {"seq": int},
    _NACK: {"seq": int},
    _PING_REQUEST: {"seq": int, "to": str, "to_at": str},
    _SYNC: {"table": list, "reply": bool},
}
_ADDRESS_FIELDS = {"from_at", "to_at"}
_STATES = frozenset(state.value for state in MemberState)
_TABLE_COLUMNS = 4  # id, address, incarnation, state
_UPDATE_COLUMNS = 5  # the same, and the id of the member that reported it


def encode_message(message: Message, key: bytes) -> bytes:
    """Return a message encoded as a datagram."""
    return codec.encode(to_map(message), key)


def decode_message(data: bytes, key: bytes) -> Message:
    """Return the message that a datagram contains.

    Raises:
        DatagramError: The datagram is damaged, of another fleet or protocol, or not well-formed.
    """
    return from_map(codec.decode(data, key))


def to_map(message: Message) -> dict[str, Any]:
    """Return the map that is packed into the datagram of a message."""
    kind, fields = _kind_and_fields(message)
    common = {
        "t": kind,
        "from": message.sender,
        "from_at": message.sender_address,
        "inc": message.incarnation,
    }
    updates = {"up": [_update_row(update) for update in message.updates]}
    if isinstance(message, Leave):
        return {**common, **updates, **fields}
    return {**common, **fields, **updates}


def _kind_and_fields(message: Message) -> tuple[str, dict[str, Any]]:
    """Return the kind of a message, and the fields that are specific to this kind."""
    match message:
        case Ping():
            return _PING, {"seq": message.sequence, "to": message.target}
        case Ack():
            return _ACK, {"seq": message.sequence}
        case Nack():
            return _NACK, {"seq": message.sequence}
        case PingRequest():
            fields = {"seq": message.sequence, "to": message.target, "to_at": message.target_address}
            return _PING_REQUEST, fields
        case Sync():
            return _SYNC, {"table": [_table_row(row) for row in message.table], "reply": message.reply}
        case Leave():
            return _SYNC, {"table": [], "reply": False}
        case _:
            raise TypeError(f"not a membership message: {message!r}")


def _table_row(update: Update) -> list[str | int]:
    return [update.id, update.address, update.incarnation, update.state.value]


def _update_row(update: Update) -> list[str | int]:
    return [*_table_row(update), update.reported_by]


def from_map(fields: dict[str, Any]) -> Message:
    """Return the message that a datagram's map contains.

    Raises:
        DatagramError: The map is not well-formed; the text says why.
    """
    _check(fields)
    header: MessageHeader = {
        "sender": fields["from"],
        "sender_address": fields["from_at"],
        "incarnation": fields["inc"],
        "updates": tuple(_update(row, row[_TABLE_COLUMNS]) for row in fields["up"]),
    }
    kind = fields["t"]
    if kind == _PING:
        return Ping(**header, sequence=fields["seq"], target=fields["to"])
    if kind == _ACK:
        return Ack(**header, sequence=fields["seq"])
    if kind == _NACK:
        return Nack(**header, sequence=fields["seq"])
    if kind == _PING_REQUEST:
        target, address = fields["to"], fields["to_at"]
        return PingRequest(**header, sequence=fields["seq"], target=target, target_address=address)
    table = tuple(_update(row, fields["from"]) for row in fields["table"])
    return Sync(**header, table=table, reply=fields["reply"])


def _update(row: Sequence[Any], reported_by: str) -> Update:
    id_, address, incarnation, state = row[:_TABLE_COLUMNS]
    return Update(id_, address, incarnation, MemberState(state), reported_by)


def _check(fields: dict[str, Any]) -> None:
    kind = fields.get("t")
    if not isinstance(kind, str) or kind not in _FIELDS:
        raise DatagramError(f"unknown message kind {kind!r}")
    required = _COMMON_FIELDS | _FIELDS[kind]
    codec.require_fields(fields, required)
    for name in _ADDRESS_FIELDS & required.keys():
        if not is_address(fields[name]):
            raise DatagramError(f"{kind}: field {name!r} is not a valid host:port address")
    if fields["inc"] < 0 or not all(_is_row(row, _UPDATE_COLUMNS) for row in fields["up"]):
        raise DatagramError(f"{kind}: the incarnation is negative, or an update is not well-formed")
    if kind == _SYNC and not all(_is_row(row, _TABLE_COLUMNS) for row in fields["table"]):
        raise DatagramError("sync: a row of the table is not well-formed")


def _is_row(row: object, column_count: int) -> bool:
    """Whether a value is a well-formed row of a table or of updates, with `column_count` columns."""
    if not isinstance(row, list) or len(row) != column_count:
        return False
    id_, address, incarnation, state = row[:_TABLE_COLUMNS]
    return (
        is_of_type(id_, str)
        and isinstance(address, str)
        and is_address(address)
        and is_of_type(incarnation, int)
        and incarnation >= 0
        and isinstance(state, str)
        and state in _STATES
        and all(is_of_type(reporter, str) for reporter in row[_TABLE_COLUMNS:])
    )
