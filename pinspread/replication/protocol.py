"""The frames between nodes: typed requests and answers, and their form on the wire.

A frame is a header of 12 bytes with the magic `PSC`, and a msgpack map; `membership.codec` encodes both. The
keys of these maps are defined only in this module. Each request has one answer.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, TypeVar, cast

from pinspread.membership.codec import DatagramError as DatagramError
from pinspread.membership.codec import is_of_type, require_fields
from pinspread.replication.snapshots import ReplicaSnapshot

MAGIC = b"PSC"
MAX_FRAME_BYTES = 64 << 20  # must hold a complete journal, whose size [journal] disk_mb limits
MAX_SHOWN_KIND = 64  # characters of an unknown kind in a log line

WireMessage = dict[str, Any]
AnswerT = TypeVar("AnswerT")


class RefusedError(DatagramError):
    """The other node refused a request; the text is its reason."""


# --- answers ----------------------------------------------------------------------------------------


@dataclass(frozen=True)
class ReplicaContent:
    """What a replica holds: its generation, its size in bytes, and the checksum of each range."""

    generation: int
    size: int
    checksums: list[int]


@dataclass(frozen=True)
class Acknowledgement:
    """The replica has stored `size` bytes of a generation."""

    generation: int
    size: int


@dataclass(frozen=True)
class Consent:
    """The request was carried out, or its sender may carry it out."""


@dataclass(frozen=True)
class Refusal:
    """The request is refused, and nothing was changed."""

    reason: str


Answer = ReplicaContent | Acknowledgement | Consent | ReplicaSnapshot | Refusal


# --- requests ---------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Request(Generic[AnswerT]):
    """A request about one owner's journal; the type parameter is its answer's type."""

    owner: str


@dataclass(frozen=True)
class AnnounceReplicas(Request[ReplicaContent]):
    """The owner is about to send its journal: it names all its replicas, and asks what this one holds."""

    fencing_token: int
    replicas: list[str]


@dataclass(frozen=True)
class AppendData(Request[Acknowledgement]):
    """The owner sends bytes of its journal.

    Attributes:
        fencing_token: The token of the owner's work lease.
        generation: The journal's generation.
        base: From how many bytes on the generation is complete (see `log`).
        offset: Offset of the data in the generation, in bytes.
        data: The bytes; the replica truncates what it holds after them.
    """

    fencing_token: int
    generation: int
    base: int
    offset: int
    data: bytes


@dataclass(frozen=True)
class FetchSnapshot(Request[ReplicaSnapshot]):
    """Ask for the replica and fence it: from now on it refuses data that is sent under an older token."""

    fencing_token: int


@dataclass(frozen=True)
class ReadSnapshot(Request[ReplicaSnapshot]):
    """Ask for the replica without fencing it."""


@dataclass(frozen=True)
class CompleteTakeover(Request[Consent | Refusal]):
    """The sender has completed the takeover of the owner's work, under this token."""

    fencing_token: int


@dataclass(frozen=True)
class RequestRemoval(Request[Consent | Refusal]):
    """A node that the owner chose earlier asks it whether it may remove its replica."""


@dataclass(frozen=True)
class Envelope:
    """A request as it was received.

    Attributes:
        sender: The node that sent it.
        recipient: The node that it is addressed to.
        request: The request.
        has_negative_number: Whether any number of the message is below 0, which is never valid.
    """

    sender: str
    recipient: str
    request: Request[Any]
    has_negative_number: bool = False


@dataclass(frozen=True)
class _Layout:
    """The wire form of a request.

    Attributes:
        request_type: The class of the request.
        fields: For each wire key, the request's attribute and the type that the value must have.
        only_from_owner: Whether only the owner may send it. The map then starts with the addresses and the
            token, an order that the wire form has had from the start.
    """

    request_type: type[Request[Any]]
    fields: Mapping[str, tuple[str, type[Any]]]
    only_from_owner: bool = False


_ADDRESS_TYPES = {"from": str, "to": str, "owner": str}
_TOKEN: dict[str, tuple[str, type[Any]]] = {"token": ("fencing_token", int)}
_LAYOUTS: dict[str, _Layout] = {
    "send": _Layout(AnnounceReplicas, _TOKEN | {"keepers": ("replicas", list)}, only_from_owner=True),
    "data": _Layout(
        AppendData,
        _TOKEN
        | {
            "generation": ("generation", int),
            "base": ("base", int),
            "at": ("offset", int),
            "bytes": ("data", bytes),
        },
        only_from_owner=True,
    ),
    "fetch": _Layout(FetchSnapshot, _TOKEN),
    "read": _Layout(ReadSnapshot, {}),
    "done": _Layout(CompleteTakeover, _TOKEN),
    "spare": _Layout(RequestRemoval, {}),
}
_KINDS: dict[type[Request[Any]], str] = {layout.request_type: kind for kind, layout in _LAYOUTS.items()}


def is_only_from_owner(request: Request[Any]) -> bool:
    """Return whether only the owner may send a request of this type."""
    return _LAYOUTS[_KINDS[type(request)]].only_from_owner


def encode_request(request: Request[Any], sender: str, recipient: str) -> WireMessage:
    """Return the wire form of a request."""
    kind = _KINDS[type(request)]
    layout = _LAYOUTS[kind]
    fields = {key: getattr(request, name) for key, (name, _) in layout.fields.items()}
    address = {"from": sender, "to": recipient}
    if layout.only_from_owner:
        token = {"token": fields.pop("token")}
        return address | {"owner": request.owner} | token | {"t": kind} | fields
    return {"t": kind, "owner": request.owner} | fields | address


def decode_request(message: WireMessage) -> Envelope:
    """Return the request in a wire message, with its addresses.

    Raises:
        DatagramError: The kind is unknown, or a field is missing or of another type.
    """
    kind = message.get("t")
    if not isinstance(kind, str) or kind not in _LAYOUTS:
        raise DatagramError(f"unknown kind of request {str(kind)[:MAX_SHOWN_KIND]!r}")
    layout = _LAYOUTS[kind]
    require_fields(message, _ADDRESS_TYPES | {key: type_ for key, (_, type_) in layout.fields.items()})
    values = {name: message[key] for key, (name, _) in layout.fields.items()}
    request = layout.request_type(message["owner"], **values)
    negative = any(is_of_type(value, int) and value < 0 for value in message.values())
    return Envelope(message["from"], message["to"], request, negative)


def encode_answer(answer: Answer) -> WireMessage:
    """Return the wire form of an answer."""
    match answer:
        case ReplicaContent(generation, size, checksums):
            return {"t": "have", "generation": generation, "size": size, "sums": checksums}
        case Acknowledgement(generation, size):
            return {"t": "ack", "generation": generation, "size": size}
        case Consent():
            return {"t": "ack"}
        case Refusal(reason):
            return {"t": "no", "why": reason}
        case ReplicaSnapshot():
            return _encode_snapshot(answer)


def _encode_snapshot(snapshot: ReplicaSnapshot) -> WireMessage:
    return {
        "t": "copy",
        "generation": snapshot.generation,
        "bytes": snapshot.data,
        "keepers": snapshot.replicas,
        "tried": snapshot.takeover_candidates,
        "adopted": snapshot.takeover_token,
    }


def decode_answer(request: Request[AnswerT], message: WireMessage) -> AnswerT:
    """Return the answer to a request from its wire form.

    Raises:
        RefusedError: The other node refused the request.
        DatagramError: A field is missing or of another type, or a number is below 0.
    """
    if message.get("t") == "no":
        raise RefusedError(str(message.get("why")))
    return cast("AnswerT", _ANSWER_DECODERS[type(request)](message))


def _decode_content(message: WireMessage) -> ReplicaContent:
    _require_answer(message, {"generation": int, "size": int, "sums": list})
    _require_items(message, "sums", int)
    return ReplicaContent(message["generation"], message["size"], message["sums"])


def _decode_acknowledgement(message: WireMessage) -> Acknowledgement:
    _require_answer(message, {"generation": int, "size": int})
    return Acknowledgement(message["generation"], message["size"])


def _decode_snapshot(message: WireMessage) -> ReplicaSnapshot:
    _require_answer(
        message, {"generation": int, "bytes": bytes, "keepers": list, "tried": list, "adopted": int}
    )
    _require_items(message, "keepers", str)
    _require_items(message, "tried", str)
    return ReplicaSnapshot(
        message["generation"],
        message["bytes"],
        message["keepers"],
        message["tried"],
        message["adopted"],
    )


def _require_answer(message: WireMessage, fields: Mapping[str, type]) -> None:
    """Check that an answer has each field with a value of its type, and no number below 0."""
    require_fields(message, fields)
    for name, type_ in fields.items():
        if type_ is int and message[name] < 0:
            raise DatagramError(f"{message.get('t')}: field {name!r} is {message[name]}, expected 0 or more")


def _require_items(message: WireMessage, name: str, type_: type) -> None:
    """Check that all items of a list field are of a type."""
    if not all(is_of_type(item, type_) for item in message[name]):
        raise DatagramError(f"{message.get('t')}: field {name!r} has an item that is not {type_.__name__}")


def _decode_consent(message: WireMessage) -> Consent | Refusal:
    return Consent() if message.get("t") == "ack" else Refusal(f"expected 'ack', got {message.get('t')!r}")


_ANSWER_DECODERS: dict[type[Request[Any]], Callable[[WireMessage], object]] = {
    AnnounceReplicas: _decode_content,
    AppendData: _decode_acknowledgement,
    FetchSnapshot: _decode_snapshot,
    ReadSnapshot: _decode_snapshot,
    CompleteTakeover: _decode_consent,
    RequestRemoval: _decode_consent,
}
