"""When a voter may vote: one whose folder is empty may have forgotten votes and entries.

Such a voter is a *learner* until all other voters have reported that their logs are empty too (the fleet's
first start), or until it has applied an entry of a leader's own term, which got there without a vote of its
own; until then it neither votes nor stands for election.
"""

from pathlib import Path

import anyio

from pinspread.core.log import log
from pinspread.leases.raft_messages import Message

# From a learner's start to its first vote: votes from before its loss are over by then.
FIRST_VOTE_DELAY_S = 1.0
_VOTING_KINDS = ("request_vote", "timeout_now")  # of messages


class LearnerStatus:
    """Whether this voter is a learner, and what it has learned so far.

    Args:
        member_id: This voter.
        voted_marker: A file that exists once this voter may vote.
        other_voters: How many other voters there are.

    Attributes:
        is_learner: Whether this voter neither votes nor stands for election yet.
    """

    def __init__(self, member_id: str, voted_marker: Path, other_voters: int):
        self.is_learner = not voted_marker.exists()
        self._member_id = member_id
        self._voted_marker = voted_marker
        self._other_voters = other_voters
        self._reported_empty: dict[str, bool] = {}  # whether a voter's last hello said that its log is empty
        self._leader_term_index = 0  # of the newest entry from a leader in that leader's own term
        self._started_at = anyio.current_time()

    def note_hello(self, voter: str, log_is_empty: bool) -> None:
        """Note whether another voter's log is empty, as it says when it connects."""
        self._reported_empty[voter] = log_is_empty

    def note_message(self, message: Message) -> None:
        """Note, as a learner, up to where the leader's log is known to hold all that was committed before."""
        if not self.is_learner or message["type"] != "append_entries":
            return
        if message.get("prevLogTerm") == message["term"]:
            self._leader_term_index = max(self._leader_term_index, message["prevLogIdx"])
        for _, index, term in message.get("entries", ()):
            if term == message["term"]:
                self._leader_term_index = max(self._leader_term_index, index)

    def forbids(self, message: Message) -> bool:
        """Return whether a message is about an election, in which a learner takes no part."""
        return self.is_learner and message["type"] in _VOTING_KINDS

    def promote_if_safe(self, last_applied: int) -> bool:
        """End the learner if it is safe, for good; return whether this was now.

        Args:
            last_applied: The index of the last entry that this voter has applied.
        """
        if not self.is_learner:
            return False
        first_start = self._is_first_start()
        caught_up = 0 < self._leader_term_index <= last_applied
        if not first_start and not caught_up:
            return False
        self._voted_marker.touch()
        self.is_learner = False
        log("quorum_votes", id=self._member_id, why="first start" if first_start else "caught up")
        return True

    def _is_first_start(self) -> bool:
        """Whether nothing was ever agreed on: all other logs are empty too, and no earlier vote counts."""
        delay_is_over = anyio.current_time() - self._started_at >= FIRST_VOTE_DELAY_S
        all_reported = len(self._reported_empty) == self._other_voters
        return delay_is_over and all_reported and all(self._reported_empty.values())
