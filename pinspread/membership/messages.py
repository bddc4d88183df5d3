"""The messages between members; `message_codec` has their wire format."""

from dataclasses import dataclass
from typing import TypedDict

from pinspread.membership.members import MemberRecord, MemberState


@dataclass(frozen=True, slots=True)
class Update:
    """A claim about a member, as members pass it on.

    Attributes:
        id: The member's id.
        address: `host:port` at which it receives membership datagrams.
        incarnation: The member's incarnation that the claim is about.
        state: The state that the claim says the member is in.
        reported_by: The id of the member that first made the claim.
    """

    id: str
    address: str
    incarnation: int
    state: MemberState
    reported_by: str

    @classmethod
    def from_record(cls, record: MemberRecord, reported_by: str) -> "Update":
        """Return the claim that a member has the address, incarnation and state of a record."""
        return cls(record.id, record.address, record.incarnation, record.state, reported_by)


class MessageHeader(TypedDict):
    """The arguments that all messages are constructed with: the fields of `Message`."""

    sender: str
    sender_address: str
    incarnation: int
    updates: tuple[Update, ...]


@dataclass(frozen=True, kw_only=True)
class Message:
    """The fields that all messages have.

    Attributes:
        sender: The sender's id.
        sender_address: `host:port` at which the sender receives datagrams.
        incarnation: The sender's incarnation.
        updates: The claims that are piggybacked on the message.
    """

    sender: str
    sender_address: str
    incarnation: int
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Ping(Message):
    """A probe of the member `target`, to be acknowledged under the same sequence number."""

    sequence: int
    target: str


@dataclass(frozen=True, kw_only=True)
class Ack(Message):
    """The acknowledgement of a probe, direct or indirect."""

    sequence: int


@dataclass(frozen=True, kw_only=True)
class Nack(Message):
    """Says that the sender, which was asked for an indirect probe, has no acknowledgement so far."""

    sequence: int


@dataclass(frozen=True, kw_only=True)
class PingRequest(Message):
    """Asks for an indirect probe of the member `target`."""

    sequence: int
    target: str
    target_address: str


@dataclass(frozen=True, kw_only=True)
class Sync(Message):
    """The member table or a part of it; with `reply` the receiver sends its own in return."""

    table: tuple[Update, ...]
    reply: bool


@dataclass(frozen=True, kw_only=True)
class Leave(Message):
    """Announces by its only update that the sender leaves. It is encoded as a `Sync` with an empty table."""


Outgoing = list[tuple[str, Message]]  # (address, message to send to it) pairs
