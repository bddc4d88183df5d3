"""The final check of an attempt, right before its first byte is written."""

from pinspread.core.context import EngineContext
from pinspread.core.endpoint_registry import EndpointRegistry
from pinspread.core.messages import Attempt, Endpoint, Message
from pinspread.core.notifications import Notifications
from pinspread.core.time_units import NS_PER_US
from pinspread.errors import JournalFullError
from pinspread.policy.settings import DeduplicationScope, Idempotency


class WriteCheck:
    """Checks whether an attempt may still be written, and if so records it as started.

    Connecting takes time, and what the policy decided before may no longer be allowed. Without this check, a
    message could be written twice, too late, or to an endpoint that is draining.
    """

    def __init__(
        self,
        context: EngineContext,
        registry: EndpointRegistry,
        notifications: Notifications,
    ) -> None:
        self._context = context
        self._messages = context.messages
        self._registry = registry
        self._notifications = notifications

    def check(self, attempt: Attempt) -> str:
        """Return why an attempt must not be written; empty if it may, and was recorded as started."""
        return (
            self._message_reason(attempt)
            or self._attempt_reason(attempt)
            or self._registry.blocked_reason(attempt.endpoint)
            or self._replication_reason(attempt)
            or self._record(attempt)
        )

    def _message_reason(self, attempt: Attempt) -> str:
        """Return why the message must not be sent at present; empty if it may."""
        message, clock = attempt.message, self._context.clock
        if message.number not in self._messages.open:
            return "already ended"
        if clock.now() >= min(attempt.ends_us(), clock.monotonic(message.deadline_unix_us)):
            return "past its deadline or time-out"
        if message.key and message.key in self._notifications.pending:
            return "an earlier notification of its key is pending"
        return ""

    def _attempt_reason(self, attempt: Attempt) -> str:
        """Return why the endpoint must not get the message, whatever the policy decided; empty if it may."""
        message, endpoint = attempt.message, attempt.endpoint
        if message.in_flight_since_unix_us and not attempt.recorded:
            return "another attempt is in flight"
        if endpoint.destination != message.destination:
            return "the endpoint belongs to another destination"
        if not self._may_repeat(message, endpoint):
            return "the endpoint might not drop a duplicate"
        return ""

    def _may_repeat(self, message: Message, endpoint: Endpoint) -> bool:
        """Return whether another attempt at the endpoint is safe now, even if an earlier one may have run."""
        if not message.may_have_run_unix_us:
            return True
        if message.rules is None:
            return False
        traffic_class = message.rules.traffic_class
        if traffic_class.effect is Idempotency.IDEMPOTENT:
            return True
        # The policy decided in time, but the deduplication window may have ended while connecting.
        window_end_us = message.may_have_run_unix_us + traffic_class.deduplication_window_ns // NS_PER_US
        in_time = self._context.clock.unix(self._context.clock.now()) < window_end_us
        in_scope = traffic_class.group is not DeduplicationScope.ZONE or endpoint.zone == message.zone
        return traffic_class.effect is Idempotency.WITH_KEY and in_time and in_scope

    def _replication_reason(self, attempt: Attempt) -> str:
        if not self._context.replication:
            return ""
        # The lease for the message may have ended while the attempt was replicated or connected.
        return self._context.replication.blocked_reason() or ("" if attempt.recorded else "not replicated")

    def _record(self, attempt: Attempt) -> str:
        if attempt.recorded:
            return ""
        try:
            self.record_started(attempt, self._context.clock.unix(self._context.clock.now()))
        except JournalFullError as error:
            return str(error)
        return ""

    def record_started(self, attempt: Attempt, unix_us: int) -> None:
        """Record an attempt as started at this Unix time.

        Raises:
            JournalFullError: The attempt can't be recorded, and must not be written.
        """
        message = attempt.message
        if not message.may_have_run_unix_us:
            message.zone = attempt.endpoint.zone
        self._context.journal.attempt_started(message, attempt.number, unix_us)
