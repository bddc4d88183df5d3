"""What members send each other; `codec` has their form on the wire."""

from dataclasses import dataclass
from typing import TypedDict

from pinspread.membership.members import MemberRecord, MemberState


@dataclass(frozen=True, slots=True)
class Update:
    """A claim about a member, as it is passed on.

    Attributes:
        id: The member's id.
        address: `host:port` at which it receives membership datagrams.
        incarnation: Its incarnation that the claim is about.
        state: Its state.
        reported_by: Who has made the claim first.
    """

    id: str
    address: str
    incarnation: int
    state: MemberState
    reported_by: str

    @classmethod
    def from_record(cls, record: MemberRecord, reported_by: str) -> "Update":
        """Return the claim that a member is as in the record."""
        return cls(record.id, record.address, record.incarnation, record.state, reported_by)


class MessageHeader(TypedDict):
    """The arguments that all messages are made with: the fields of `Message`."""

    sender: str
    sender_address: str
    incarnation: int
    updates: tuple[Update, ...]


@dataclass(frozen=True, kw_only=True)
class Message:
    """What all messages hold.

    Attributes:
        sender: The sender's id.
        sender_address: Where the sender receives datagrams.
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
    """A member that was asked to probe another has no acknowledgement so far."""

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
    """The sender leaves, which its only update says. It is received as a `Sync` with an empty table."""


Outgoing = list[tuple[str, Message]]  # addresses, and what to send to them
