"""Replaces the policy after a turn that has raised an exception, so that one fault does not end the process.

The policy may be half changed then, and its decisions of that turn are not known. A new one is given what the
engine knows: the endpoint list and all open messages, as at a restart. It must not decide about messages with
an attempt in flight, nor about others of their keys, until these attempts have ended.
"""

from pinspread.core.acceptance import Acceptance
from pinspread.core.attempts import AttemptRunner
from pinspread.core.context import EngineContext
from pinspread.core.endpoint_registry import EndpointRegistry
from pinspread.core.health_checks import HealthChecks
from pinspread.core.log import log
from pinspread.core.message_table import AttemptId
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import (
    AttemptCompleted,
    ClientCancelled,
    Event,
    HealthCheckCompleted,
    MessageAccepted,
)

MAX_FAILURES_IN_A_ROW = 3  # a new policy that fails as well would fail for ever


class PolicyRebuild:
    """Builds new policies, and keeps from each what only an earlier one knows."""

    def __init__(
        self,
        context: EngineContext,
        registry: EndpointRegistry,
        acceptance: Acceptance,
        attempts: AttemptRunner,
        health_checks: HealthChecks,
    ) -> None:
        self._context = context
        self._registry = registry
        self._acceptance = acceptance
        self._attempts = attempts
        self._health_checks = health_checks
        self._failures_in_a_row = 0
        # What the present policy does not know: attempts and checks of earlier ones, messages held for them.
        self._old_attempts: set[AttemptId] = set()
        self._old_checks: set[str] = set()
        self._held: set[int] = set()

    def succeeded(self) -> None:
        """Note that the present policy has completed a turn."""
        self._failures_in_a_row = 0

    def build(self, failed: DeliveryPolicy, error: Exception) -> DeliveryPolicy:
        """Return a new policy in place of one whose turn has raised; queue the events that it needs.

        Raises:
            Exception: The error, if too many policies in a row have failed.
        """
        self._failures_in_a_row += 1
        log("internal_error", where="policy turn", error=repr(error), in_a_row=self._failures_in_a_row)
        if self._failures_in_a_row > MAX_FAILURES_IN_A_ROW:
            raise error
        seed = failed.context.random.getrandbits(64)
        self._old_attempts = set(self._attempts.in_flight)
        self._old_checks = set(self._health_checks.in_flight)
        self._held = set(self._context.messages.open)
        events = self._context.events
        events.inbox, events.timers = [], []
        self._registry.report_all()
        events.inbox += self._release()
        return DeliveryPolicy(self._context.settings.policy_settings, seed)

    def take(self, events: list[Event]) -> list[Event]:
        """Return the events that concern the present policy; those of earlier ones may release messages."""
        if not (self._old_attempts or self._old_checks):
            return events
        kept = [event for event in events if not self._concerns_earlier(event)]
        return self._release() + kept  # in this order: a later message of a key may be among the kept ones

    def _concerns_earlier(self, event: Event) -> bool:
        match event:
            case AttemptCompleted():
                known = (event.request, event.attempt) not in self._old_attempts
                self._old_attempts.discard((event.request, event.attempt))
                return not known
            case HealthCheckCompleted():
                known = event.endpoint not in self._old_checks
                self._old_checks.discard(str(event.endpoint))
                return not known
            case MessageAccepted():
                if event.key and event.key in self._busy_keys():
                    self._held.add(event.request)
                return event.request in self._held
            case ClientCancelled():
                known = event.request not in self._held
                self._held.discard(event.request)
                return not known
            case _:
                return False

    def _busy_keys(self) -> set[int]:
        """Return the keys of open messages whose attempts of an earlier policy are in flight."""
        open_messages = self._context.messages.open
        numbers = self._busy_numbers()
        return {open_messages[number].key for number in numbers if number in open_messages} - {0}

    def _busy_numbers(self) -> set[int]:
        return {number for number, _ in self._old_attempts}

    def _release(self) -> list[Event]:
        """Return events, in order, for the held messages that nothing of an earlier policy concerns."""
        self._held &= self._context.messages.open.keys()
        busy_keys = self._busy_keys()
        candidates = sorted(self._held - self._busy_numbers())
        open_messages = self._context.messages.open
        released = [number for number in candidates if open_messages[number].key not in busy_keys]
        self._held -= set(released)
        return [self._acceptance.accepted_event(open_messages[number], recovered=True) for number in released]
