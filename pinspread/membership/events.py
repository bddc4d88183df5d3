"""What has changed in one member's view of the cluster, for the log."""

from dataclasses import dataclass

from pinspread.membership.members import MemberState


@dataclass(frozen=True)
class MemberChanged:
    """The state of a member has changed in this member's table; `reported_by` has caused it."""

    id: str
    state: MemberState
    incarnation: int
    reported_by: str


@dataclass(frozen=True)
class RumorRefuted:
    """This member has refuted a claim that it is in `claimed_state`, by a higher incarnation."""

    claimed_state: MemberState
    reported_by: str
    incarnation: int


Event = MemberChanged | RumorRefuted
