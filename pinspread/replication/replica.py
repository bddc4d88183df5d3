"""The replica of one owner's journal: what its files hold and who may append; no I/O and no clock."""

from dataclasses import dataclass, field
from enum import Enum

from pinspread.errors import PinspreadError


class ReplicaRefusedError(PinspreadError):
    """A request that the state of the replica forbids; the text is the reason that the sender gets."""


class WriteTarget(Enum):
    """Which of a replica's files data goes to."""

    CURRENT = "current"
    INCOMING = "incoming"


@dataclass
class Replica:
    """What is known of one owner's replica.

    Attributes:
        owner: The node whose journal it is.
        fencing_token: The highest that was received; nobody with a lower one may append.
        generation: Of the newest complete generation; 0 for none.
        size: Bytes of that generation.
        incoming_generation: One that is not complete yet; 0 for none.
        incoming_size: Bytes of it so far.
        incoming_base: How many bytes make it complete.
        replicas: The nodes that the owner replicates to, as it last said.
        takeover_candidates: Nodes that have begun to take the owner's work over.
        takeover_token: The token under which the work was taken over for good; 0 if it was not.
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
        """Check a token against the highest that was received.

        Raises:
            ReplicaRefusedError: The token is lower.
        """
        if token < self.fencing_token:
            raise ReplicaRefusedError(f"fenced: token {token}, newer is {self.fencing_token}")

    def accept_owner(self, token: int) -> None:
        """Let the owner send under this token.

        Raises:
            ReplicaRefusedError: A newer token was received.
        """
        self.require_current_token(token)
        self.fencing_token = token

    def fence(self, token: int, by: str) -> None:
        """Accept no older token from now on: `by` fetches the replica, to take over or as the owner itself.

        Raises:
            ReplicaRefusedError: A newer token was received.
        """
        self.require_current_token(token)
        self.fencing_token = token
        if by != self.owner and by not in self.takeover_candidates:
            self.takeover_candidates.append(by)

    def place(self, token: int, generation: int, base: int, offset: int, length: int) -> WriteTarget:
        """Decide where `length` bytes at an offset go; the sizes count them from then on.

        Raises:
            ReplicaRefusedError: The token is not the one that was accepted, or the data leaves a gap.
        """
        if token != self.fencing_token:
            raise ReplicaRefusedError(f"fenced: token {token}, newer is {self.fencing_token}")
        if generation == self.generation:
            if offset > self.size:
                raise ReplicaRefusedError(f"out of order: at {offset}, has {self.size}")
            self.size = offset + length
            return WriteTarget.CURRENT
        if generation != self.incoming_generation:
            self._begin_incoming(generation, base, offset)
        if offset > self.incoming_size:
            raise ReplicaRefusedError(f"out of order: at {offset}, has {self.incoming_size}")
        self.incoming_size = offset + length
        return WriteTarget.INCOMING

    def _begin_incoming(self, generation: int, base: int, offset: int) -> None:
        if offset or generation < self.generation:
            raise ReplicaRefusedError(
                f"out of order: at {offset} of generation {generation}, has {self.generation}"
            )
        self.incoming_generation = generation
        self.incoming_size = 0
        self.incoming_base = base

    def promote_incoming(self) -> bool:
        """Replace the current generation by the incoming one if that is complete; return whether it is."""
        if not self.incoming_generation or self.incoming_size < self.incoming_base:
            return False
        self.generation = self.incoming_generation
        self.size = self.incoming_size
        self._forget_incoming()
        self.takeover_token = 0  # the owner serves again, with a journal of its own
        self.takeover_candidates = []
        return True

    def clear(self) -> None:
        """Forget the data; what is known of tokens stays."""
        self.generation = 0
        self.size = 0
        self._forget_incoming()

    def _forget_incoming(self) -> None:
        self.incoming_generation = 0
        self.incoming_size = 0
        self.incoming_base = 0
