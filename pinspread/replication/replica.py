"""The state of a replica of one owner's journal: what its files hold and who may append. No I/O, no clock."""

from dataclasses import dataclass, field
from enum import Enum

from pinspread.errors import PinspreadError


class ReplicaRefusedError(PinspreadError):
    """The state of the replica does not allow a request; the text is the reason, which is sent back."""


class WriteTarget(Enum):
    """The file of a replica that data is written to."""

    CURRENT = "current"
    INCOMING = "incoming"


@dataclass
class Replica:
    """The state of the replica of one owner's journal.

    Attributes:
        owner: The node whose journal it is.
        fencing_token: The highest fencing token received; data sent under a lower one is refused.
        generation: The newest complete generation; 0 for none.
        size: Size of that generation in bytes.
        incoming_generation: A generation that is not complete yet; 0 for none.
        incoming_size: Bytes received of the incoming generation.
        incoming_base: Size in bytes from which on the incoming generation is complete.
        replicas: The nodes that the owner replicates to, as it last announced.
        takeover_candidates: Nodes that have begun to take over the owner's work.
        takeover_token: The token under which a takeover of the work was completed; 0 if none was.
    """

    owner: str
    fencing_token: int = 0
    generation: int = 0
    size: int = 0
    incoming_generation: int = 0
    incoming_size: int = 0
    incoming_base: int = 0
    replicas: list[str] = field(default_factory=list)
    takeover_candidates: list[str] = field(default_factory=list)
    takeover_token: int = 0

    def require_current_token(self, token: int) -> None:
        """Check that a token is not lower than the highest one received.

        Raises:
            ReplicaRefusedError: The token is lower.
        """
        if token < self.fencing_token:
            raise ReplicaRefusedError(f"fenced: token {token}, newer is {self.fencing_token}")

    def accept_owner(self, token: int) -> None:
        """Accept data that the owner sends under this token.

        Raises:
            ReplicaRefusedError: A newer token was received.
        """
        self.require_current_token(token)
        self.fencing_token = token

    def fence(self, token: int, requester: str) -> None:
        """Accept no older token from now on; a `requester` other than the owner is a takeover candidate.

        Raises:
            ReplicaRefusedError: A newer token was received.
        """
        self.require_current_token(token)
        self.fencing_token = token
        if requester != self.owner and requester not in self.takeover_candidates:
            self.takeover_candidates.append(requester)

    def place(self, token: int, generation: int, base: int, offset: int) -> WriteTarget:
        """Decide which file data at an offset is written to; that file is cut off at the offset first.

        Raises:
            ReplicaRefusedError: The token is not the one that was accepted, or the data leaves a gap.
        """
        if token != self.fencing_token:
            raise ReplicaRefusedError(f"fenced: token {token}, newer is {self.fencing_token}")
        if generation == self.generation:
            if offset > self.size:
                raise ReplicaRefusedError(f"out of order: at {offset}, has {self.size}")
            self.size = offset
            return WriteTarget.CURRENT
        if generation != self.incoming_generation:
            self._begin_incoming(generation, base, offset)
        if offset > self.incoming_size:
            raise ReplicaRefusedError(f"out of order: at {offset}, has {self.incoming_size}")
        self.incoming_size = offset
        return WriteTarget.INCOMING

    def count_written(self, target: WriteTarget, length: int) -> None:
        """Count bytes that were written at the end of a file."""
        if target is WriteTarget.CURRENT:
            self.size += length
        else:
            self.incoming_size += length

    def _begin_incoming(self, generation: int, base: int, offset: int) -> None:
        if offset or generation < self.generation:
            raise ReplicaRefusedError(
                f"out of order: at {offset} of generation {generation}, has {self.generation}"
            )
        self.incoming_generation = generation
        self.incoming_size = 0
        self.incoming_base = base

    @property
    def incoming_is_complete(self) -> bool:
        """Whether there is an incoming generation that may take the current one's place."""
        return self.incoming_generation != 0 and self.incoming_size >= self.incoming_base

    def promote_incoming(self) -> None:
        """Make the incoming generation, whose file has taken the current one's place, the current one."""
        self.generation = self.incoming_generation
        self.size = self.incoming_size
        self.forget_incoming()
        self.takeover_token = 0  # a new generation means that the owner serves again
        self.takeover_candidates = []

    def clear(self) -> None:
        """Reset the generations and sizes; the tokens and the takeover candidates are kept."""
        self.generation = 0
        self.size = 0
        self.forget_incoming()

    def forget_incoming(self) -> None:
        """Begin an incoming generation from its start if one comes."""
        self.incoming_generation = 0
        self.incoming_size = 0
        self.incoming_base = 0
