"""Messages that an instance has accepted, and its outgoing calls: delivery attempts and health checks."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from pinspread.policy.events import MessageAccepted, Outcome
from pinspread.simulation.endpoint import Endpoint
from pinspread.simulation.rules import MessageRecord
from pinspread.simulation.scenario import ERROR_DRAW, RETURN_DELAY_DRAW, Scenario

if TYPE_CHECKING:
    from pinspread.simulation.instance import Instance


class AcceptedMessage:
    """A message that an instance has accepted, as its journal holds it.

    Attributes:
        number: Its number at the instance.
        row: Its row in the scenario.
        attempts: Number of attempts begun, including those before a restart.
        may_have_run_ns: When the first attempt that may have taken effect was sent; 0 if there is none.
        sent_call: The attempt that was sent and has no outcome yet.
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
        """Return the rule checker's record of the message."""
        return MessageRecord(
            int(scenario.class_index[self.row]),
            int(scenario.destination[self.row]),
            int(scenario.ordering_key[self.row]),
            self.deadline_ns,
        )

    def accepted_event(self, scenario: Scenario) -> MessageAccepted:
        """Return the event that passes the message to a policy, also after a restart."""
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
        """Note that the attempt sent at `sent_ns` may have taken effect; only the first such time is kept."""
        self.may_have_run_ns = self.may_have_run_ns or sent_ns


class OutgoingCall:
    """A delivery attempt or a health check.

    Args:
        owner: The instance that makes the call.
        message: The message to deliver; None for a health check.
        endpoint: The endpoint that is called.
        timeout_ns: How long to wait for the outcome.

    Attributes:
        instance: Number of the instance.
        incarnation: Incarnation of the instance when it made the call.
        attempt: Number of the attempt, from 0.
        draws: Uniform random numbers; see `scenario.Scenario.attempt_draws`.
        work_ns: Its work at a destination of normal speed.
        sent_ns: When its first byte was written; 0 before that.
        completed: Whether its outcome is known.
        opened: Whether a new connection was opened for it.
        over_limit: Whether that connection exceeds the endpoint's limit, and will be closed after a 503.
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
        """Note that the endpoint begins to work on the call, which takes effect from here on."""
        if self.message is not None:
            self.owner.simulation.work_started(self.message.row, self.work_ns)

    def respond(self, outcome: Outcome, retry_after_ns: int) -> None:
        """Receive the endpoint's answer; a share of the answers to attempts are lost on the way back."""
        lost_share = self.owner.lost_share
        if self.message is not None and lost_share and self.draws[ERROR_DRAW] < lost_share:
            return
        self._complete_later(outcome, retry_after_ns)

    def reset(self) -> None:
        """Note that the connection is reset."""
        self._complete_later(Outcome.RESET, 0)

    def _complete_later(self, outcome: Outcome, retry_after_ns: int) -> None:
        delay_ns = self.owner.delay_ns(self.endpoint, self.draws[RETURN_DELAY_DRAW])
        self.owner.engine.after(delay_ns, self.owner.complete, self, outcome, retry_after_ns)
