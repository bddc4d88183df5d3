"""The suspicion of members that do not answer probes, with Lifeguard's time-out."""

import math
from dataclasses import dataclass, field

from pinspread.membership.config import SwimConfig


@dataclass
class Suspicion:
    """The suspicion of one member.

    Attributes:
        began_us: When this member began to suspect the other, in microseconds of its clock.
        raised_by: The id of the member that raised it; copies of that member's report are no confirmations.
        confirmers: The ids of members that have confirmed it independently.
    """

    began_us: int
    raised_by: str
    confirmers: set[str] = field(default_factory=set)


def suspicion_timeout_us(config: SwimConfig, member_count: int, confirmations: int) -> int:
    """Return how long a member is suspected before it is declared dead, in microseconds.

    Lifeguard's time-out falls from the longest to the shortest value as independent confirmations arrive.
    """
    shortest_us = config.suspicion_alpha * max(1.0, math.log10(member_count)) * config.period_us
    longest_us = config.suspicion_beta * shortest_us
    expected = max(1, min(config.suspicion_alpha - 2, member_count - 2))
    decrease_us = (longest_us - shortest_us) * math.log(confirmations + 1) / math.log(expected + 1)
    return int(max(shortest_us, longest_us - decrease_us))
