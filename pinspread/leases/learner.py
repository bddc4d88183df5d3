"""Decides when a voter that starts with an empty folder may vote.

Such a voter may have lost votes that it gave and entries that it acknowledged. So it starts as a *learner*,
which neither votes nor stands for election. It stops being a learner once all other voters have reported that
their logs are empty too (the fleet's first start), or once it has applied an entry that a leader created in
its own term: that leader was elected without this voter's vote.
"""

from pathlib import Path

import anyio

from pinspread.core.log import log
from pinspread.leases.raft_messages import Message

# Time from a learner's start to its first vote. Elections in which it voted before the loss are over by then.
FIRST_VOTE_DELAY_S = 1.0
_VOTING_KINDS = ("request_vote", "timeout_now")  # kinds of messages that belong to elections


class LearnerStatus:
    """Tracks whether this voter is a learner, and what it knows of the other voters' logs.

    Args:
        member_id: The id of this voter.
        voted_marker: The file that is created when this voter may vote.
        other_voters: The number of other voters.

    Attributes:
        is_learner: Whether this voter neither votes nor stands for election yet.
    """

    def __init__(self, member_id: str, voted_marker: Path, other_voters: int):
        self.is_learner = not voted_marker.exists()
        self._member_id = member_id
        self._voted_marker = voted_marker
        self._other_voters = other_voters
        self._reported_empty: dict[str, bool] = {}  # by voter: whether its last hello reported an empty log
        self._leader_term_index = 0  # index of the newest entry that a leader created in its own term
        self._started_at = anyio.current_time()

    def note_hello(self, voter: str, log_is_empty: bool) -> None:
        """Record whether another voter's log is empty, as reported in its hello."""
        self._reported_empty[voter] = log_is_empty

    def note_message(self, message: Message) -> None:
        """Record, as a learner, the newest entry that the sender of `append_entries` created as the leader.

        A leader's log holds all entries that were committed before its term, so once that entry is applied,
        this voter has all of them.
        """
        if not self.is_learner or message["type"] != "append_entries":
            return
        if message.get("prevLogTerm") == message["term"]:
            self._leader_term_index = max(self._leader_term_index, message["prevLogIdx"])
        for _, index, term in message.get("entries", ()):
            if term == message["term"]:
                self._leader_term_index = max(self._leader_term_index, index)

    def forbids(self, message: Message) -> bool:
        """Return whether a learner must ignore a message, because it belongs to an election."""
        return self.is_learner and message["type"] in _VOTING_KINDS

    def promote_if_safe(self, last_applied: int) -> bool:
        """Let this voter vote from now on, also after restarts, if that is safe.

        Args:
            last_applied: The index of the last entry that this voter has applied.

        Returns:
            Whether this call ended its time as a learner.
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
        """Return whether nothing was ever committed.

        That is so if all other logs are empty, after the delay that ends all earlier elections.
        """
        delay_is_over = anyio.current_time() - self._started_at >= FIRST_VOTE_DELAY_S
        all_reported = len(self._reported_empty) == self._other_voters
        return delay_is_over and all_reported and all(self._reported_empty.values())
