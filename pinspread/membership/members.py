"""What is known of each member of the cluster: its state, and which of two claims about it prevails."""

from dataclasses import dataclass
from enum import StrEnum


class MemberState(StrEnum):
    """The state of a member. The values are those on the wire, in the operators' JSON and in the log."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# Of two claims with the same incarnation the one of the higher precedence prevails.
PRECEDENCE = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2, MemberState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member as the member table has it.

    A change puts another record in its place, so that tables may share records.

    Attributes:
        id: The member's name.
        address: `host:port` at which it receives membership datagrams.
        incarnation: A number that only the member itself raises, to refute claims about it.
        state: Its state.
        since_us: When it got into that state, by the clock of the table's owner.
    """

    id: str
    address: str
    incarnation: int
    state: MemberState
    since_us: int

    def row(self) -> list[str | int]:
        """Return the record as it is sent to other members."""
        return [self.id, self.address, self.incarnation, self.state.value]
