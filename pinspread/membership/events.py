"""Changes of one member's view of the cluster, for the log."""

from dataclasses import dataclass

from pinspread.membership.members import MemberState


@dataclass(frozen=True)
class MemberChanged:
    """A member's state has changed in this member's table, by a claim that `reported_by` made."""

    id: str
    state: MemberState
    incarnation: int
    reported_by: str


@dataclass(frozen=True)
class RumorRefuted:
    """This member has refuted a claim that it is in `claimed_state`, by raising its incarnation."""

    claimed_state: MemberState
    reported_by: str
    incarnation: int


Event = MemberChanged | RumorRefuted
