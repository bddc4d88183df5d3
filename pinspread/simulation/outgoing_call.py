"""Messages that an instance has accepted, and its calls: attempts to deliver them, and health checks."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from pinspread.policy.events import MessageAccepted, Outcome
from pinspread.simulation.endpoint import Endpoint
from pinspread.simulation.rules import MessageRecord
from pinspread.simulation.scenario import ERROR_DRAW, RETURN_DELAY_DRAW, Scenario

if TYPE_CHECKING:
    from pinspread.simulation.instance import Instance


class AcceptedMessage:
    """A message that an instance has accepted: what its journal holds of it.

    Attributes:
        number: Its number at the instance.
        row: Its row in the scenario.
        attempts: Attempts that were begun, also before a restart.
        may_have_run_ns: When the first attempt was sent that may have taken effect; 0: none.
        sent_call: The attempt that is sent and has no outcome yet.
    """

    __slots__ = ("attempts", "deadline_ns", "may_have_run_ns", "number", "row", "sent_call")

    def __init__(self, number: int, row: int, deadline_ns: int) -> None:
        self.number = number
        self.row = row
        self.deadline_ns = deadline_ns
        self.attempts = 0
        self.may_have_run_ns = 0
        self.sent_call: OutgoingCall | None = None

    def record(self, scenario: Scenario) -> MessageRecord:
        """Return what the rule checker has to know of it."""
        return MessageRecord(
            int(scenario.class_index[self.row]),
            int(scenario.destination[self.row]),
            int(scenario.ordering_key[self.row]),
            self.deadline_ns,
        )

    def accepted_event(self, scenario: Scenario) -> MessageAccepted:
        """Return the event that tells a policy of it, also after a restart."""
        return MessageAccepted(
            self.number,
            int(scenario.class_index[self.row]),
            int(scenario.destination[self.row]),
            self.deadline_ns,
            int(scenario.ordering_key[self.row]),
            int(scenario.tenant_index[self.row]),
            self.attempts,
            self.may_have_run_ns,
        )

    def note_may_have_run(self, sent_ns: int) -> None:
        """Note that the attempt sent at a time may have taken effect; the first such time is kept."""
        self.may_have_run_ns = self.may_have_run_ns or sent_ns


class OutgoingCall:
    """One attempt, or a health check.

    Args:
        owner: The instance that makes it.
        message: The message that is sent; None for a health check.
        endpoint: Where to.
        timeout_ns: How long to wait for its outcome.

    Attributes:
        instance: Number of the instance.
        incarnation: The incarnation of the instance that made it.
        attempt: Number of the attempt, from 0.
        draws: Uniform random numbers; see `scenario.Scenario.attempt_draws`.
        work_ns: The work that it makes at a destination of the usual speed.
        sent_ns: When its first byte was written; 0: not yet.
        completed: Whether it has its outcome.
        opened: Whether it has a connection of its own, newly opened.
        over_limit: Whether that connection is over the endpoint's limit, and will be closed after a 503.
    """

    __slots__ = (
        "attempt",
        "completed",
        "draws",
        "endpoint",
        "incarnation",
        "instance",
        "message",
        "opened",
        "over_limit",
        "owner",
        "sent_ns",
        "started_ns",
        "timeout_ns",
        "work_ns",
    )

    def __init__(
        self, owner: "Instance", message: AcceptedMessage | None, endpoint: Endpoint, timeout_ns: int
    ) -> None:
        self.owner = owner
        self.instance = owner.number
        self.message = message
        self.endpoint = endpoint
        self.timeout_ns = timeout_ns
        self.started_ns = owner.engine.now
        self.incarnation = owner.incarnation
        self.attempt = 0
        self.draws: Sequence[float] = ()
        self.work_ns = 0
        self.sent_ns = 0
        self.completed = False
        self.opened = False
        self.over_limit = False

    def work_started(self) -> None:
        """The endpoint begins to work on it: from here on it takes effect."""
        if self.message is not None:
            self.owner.simulation.work_started(self.message.row, self.work_ns)

    def respond(self, outcome: Outcome, retry_after_ns: int) -> None:
        """The endpoint answers; a share of the answers to attempts are lost on their way back."""
        lost_share = self.owner.lost_share
        if self.message is not None and lost_share and self.draws[ERROR_DRAW] < lost_share:
            return
        self._complete_later(outcome, retry_after_ns)

    def reset(self) -> None:
        """The connection is reset."""
        self._complete_later(Outcome.RESET, 0)

    def _complete_later(self, outcome: Outcome, retry_after_ns: int) -> None:
        delay_ns = self.owner.delay_ns(self.endpoint, self.draws[RETURN_DELAY_DRAW])
        self.owner.engine.after(delay_ns, self.owner.complete, self, outcome, retry_after_ns)
