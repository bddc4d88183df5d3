"""Hot restart: the state that the engine hands over to a successor, and takes over from a predecessor."""

from collections.abc import Collection, Iterable
from typing import TypedDict

from pinspread.core.acceptance import Acceptance
from pinspread.core.attempts import AttemptRunner
from pinspread.core.context import EngineContext
from pinspread.core.endpoint_registry import EndpointRegistry, RetryAfterScope
from pinspread.core.health_checks import HealthChecks
from pinspread.core.log import log
from pinspread.core.message_table import AttemptId
from pinspread.core.messages import Attempt, AttemptResult, Endpoint, Message
from pinspread.core.ports import Successor
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import Event, MessageAccepted, Outcome

# An attempt in flight: number of the message, number of the attempt, endpoint, start (microseconds of the
# monotonic clock) and time-out (microseconds).
TransferredAttempt = tuple[int, int, Endpoint, int, int]


class EngineState(TypedDict):
    """What the successor needs besides the journal; the keys are part of the format that is sent.

    Attributes:
        policy: The policy with its state.
        pending_events: Events that the policy has not handled yet.
        timers: The due times and tags of the policy's timers.
        retry_after_until_us: When the Retry-After of each destination or endpoint ends.
        endpoints: The endpoints.
        destinations: The destinations that have been listed.
        next_message_number: The number of the next message.
        attempts_made: The number of attempts of each open message, by the message's number.
        attempts_in_flight: The attempts in flight.
        health_checks: When each health check in flight was started, by the endpoint's id.
    """

    policy: DeliveryPolicy
    pending_events: list[Event]
    timers: list[tuple[int, int]]
    retry_after_until_us: dict[RetryAfterScope, int]
    endpoints: list[Endpoint]
    destinations: set[int]
    next_message_number: int
    attempts_made: dict[int, int]
    attempts_in_flight: list[TransferredAttempt]
    health_checks: dict[str, int]


class Ownership:
    """Moves the ownership of all pending messages between two processes, as `handover` decides."""

    def __init__(
        self,
        context: EngineContext,
        registry: EndpointRegistry,
        acceptance: Acceptance,
        attempts: AttemptRunner,
        health_checks: HealthChecks,
    ) -> None:
        self._context = context
        self._messages = context.messages
        self._registry = registry
        self._acceptance = acceptance
        self._attempts = attempts
        self._health_checks = health_checks

    # --- the old process --------------------------------------------------------------------------

    def pause(self, policy: DeliveryPolicy, successor: Successor) -> EngineState:
        """Stop all activity, close the journal, and return what the successor needs besides it."""
        self._context.successor = successor
        self._context.journal.close()
        return EngineState(
            policy=policy,
            pending_events=self._context.events.inbox,
            timers=self._context.events.timers,
            retry_after_until_us=self._registry.retry_after_until_us,
            endpoints=list(self._registry.endpoints.values()),
            destinations=self._registry.destinations,
            next_message_number=self._messages.next_number(),
            attempts_made={message.number: message.attempts for message in self._messages.open.values()},
            attempts_in_flight=[
                (*attempt_id, attempt.endpoint, attempt.started_us, attempt.timeout_us)
                for attempt_id, attempt in self._attempts.in_flight.items()
            ],
            health_checks=self._health_checks.in_flight,
        )

    def cancel(self) -> None:
        """Continue serving after the successor did not take over.

        Raises:
            JournalFullError: The journal can't be rewritten.
        """
        self._context.successor = None
        self._context.journal.begin()
        self._attempts.apply_delayed_results()
        self._context.events.wake()

    # --- the new process --------------------------------------------------------------------------

    def resume(self, state: EngineState) -> None:
        """Take over from the predecessor; the journal has been read.

        Raises:
            JournalFullError: The journal can't be rewritten.
        """
        events, journal = self._context.events, self._context.journal
        events.inbox, events.timers = state["pending_events"], state["timers"]
        self._registry.retry_after_until_us = state["retry_after_until_us"]
        self._registry.destinations = state["destinations"]
        self._messages.continue_numbers(state["next_message_number"])
        self._registry.endpoints = {endpoint.id: endpoint for endpoint in state["endpoints"]}
        journal.begin()
        recorded = list(journal.open_messages.values())
        in_flight = {number for number, *_ in state["attempts_in_flight"]}
        announced = {event.request for event in events.inbox if type(event) is MessageAccepted}
        self._acceptance.restore(recorded, in_flight, announced | state["policy"].messages.keys())
        for message in self._messages.open.values():
            message.attempts = max(message.attempts, state["attempts_made"].get(message.number, 0))
        self._resume_attempts(state["attempts_in_flight"], {message.number: message for message in recorded})
        self._health_checks.in_flight = dict(state["health_checks"])
        open_count = len(self._messages.open)
        log(
            "handover_received",
            open=open_count,
            notifications=len(recorded) - open_count,
            in_flight=len(in_flight),
        )

    def _resume_attempts(
        self, transferred: Iterable[TransferredAttempt], messages: dict[int, Message]
    ) -> None:
        for number, attempt_number, endpoint, started_us, timeout_us in transferred:
            # A message that has ended may still have an attempt in flight, which uses a slot until it ends.
            message = messages.get(number) or _ended_message(number, endpoint.destination)
            known = self._registry.endpoints.get(endpoint.id, endpoint)
            attempt = Attempt(message, attempt_number, known, started_us, timeout_us)
            self._attempts.in_flight[number, attempt_number] = attempt

    # --- reports of the predecessor ---------------------------------------------------------------

    def predecessor_attempt_ended(self, number: int, attempt_number: int, result: AttemptResult) -> None:
        """Handle the end of an attempt that the predecessor had in flight."""
        self._messages.unreported_attempts.pop((number, attempt_number), None)
        attempt = self._attempts.in_flight.get((number, attempt_number))
        if attempt is not None:
            self._attempts.complete(attempt, result)

    def predecessor_attempt_unreported(self, number: int, attempt_number: int) -> None:
        """Handle that the predecessor has not reported the end of an attempt in time.

        The attempt ends here, but may still run in the predecessor. Its message is not sent again, because
        its deadline has passed. It must not be accepted again under its id either, until the attempt is
        reported or the predecessor has exited.
        """
        attempt = self._attempts.in_flight.get((number, attempt_number))
        if attempt is not None:
            self._messages.unreported_attempts[number, attempt_number] = attempt.message.id
            self._attempts.complete(attempt, AttemptResult(Outcome.TIMEOUT, note="not reported in time"))

    def predecessor_retry_after(self, endpoint_id: str, retry_after_us: int) -> None:
        """Apply a Retry-After that an endpoint gave the predecessor."""
        if endpoint_id in self._registry.endpoints:
            self._registry.apply_retry_after(self._registry.endpoints[endpoint_id], retry_after_us)

    def predecessor_health_check_ended(self, endpoint_id: str, result: AttemptResult) -> None:
        """Handle the end of a health check that the predecessor had in flight."""
        self._health_checks.complete_from_predecessor(endpoint_id, result)

    def predecessor_lost(self, attempts: Iterable[AttemptId], health_checks: Collection[str]) -> None:
        """Handle that the predecessor has exited and will not report what it had in flight."""
        for number, attempt_number in attempts:
            # The attempt may have run, or may still be running.
            lost = AttemptResult(Outcome.RESET, note="its process ended")
            self.predecessor_attempt_ended(number, attempt_number, lost)
        for endpoint_id in health_checks:
            lost = AttemptResult(Outcome.NOT_SENT, note="its process ended")
            self.predecessor_health_check_ended(endpoint_id, lost)


def _ended_message(number: int, destination: int) -> Message:
    return Message(number, "", "", "", destination, 0, "", 0)
