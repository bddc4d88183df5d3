"""Acceptance: admits messages for delivery from clients, the journal and other nodes."""

from collections.abc import Collection, Iterable

from pinspread.core.context import EngineContext
from pinspread.core.endpoint_registry import EndpointRegistry
from pinspread.core.log import log
from pinspread.core.messages import FinalResult, FinalState, Message
from pinspread.core.notifications import Notifications
from pinspread.core.time_units import NS_PER_US, US_PER_MS
from pinspread.errors import JournalFullError, RejectedError
from pinspread.policy.events import ClientCancelled, MessageAccepted

REJECTED_RETRY_MS = 1000  # Retry-After of a rejection: about the wait that clients choose by themselves
SHOWN_NAME_LENGTH = 32  # characters of an unknown name that the error for the client repeats


class Acceptance:
    """Admits messages, records them before they are acknowledged, and passes them to the policy."""

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

    # --- from clients -----------------------------------------------------------------------------

    def unknown_reason(self, class_name: str, tenant: str, destination: int) -> str:
        """Return which of these names is unknown, as an error text for the client; empty if all are known."""
        settings = self._context.settings
        if class_name not in settings.delivery_rules or tenant not in settings.tenants:
            shown = class_name[:SHOWN_NAME_LENGTH], tenant[:SHOWN_NAME_LENGTH]
            return f"unknown class or tenant: {shown[0]!r}, {shown[1]!r}"
        # A message for a destination that does not exist would count against the capacity until its deadline.
        if self._registry.destinations and destination not in self._registry.destinations:
            return f"unknown dest: {destination}"
        return ""

    def accept(self, message: Message) -> None:
        """Accept a message; it is in the journal when this returns. A duplicate is ignored.

        Raises:
            RejectedError: The message was not accepted; the error says when to try again.
        """
        self._check_replication()
        if self._is_duplicate(message):
            return
        self._check_capacity()
        message.number = self._messages.next_number()
        message.rules = self._context.settings.delivery_rules[message.class_name]
        if not message.rules.traffic_class.in_order:
            message.key = 0
        try:
            self._context.journal.message_accepted(message)
        except JournalFullError as error:
            raise RejectedError(REJECTED_RETRY_MS, str(error)) from None
        self._messages.add_open(message)
        self._post_accepted(message)
        log(
            "accepted",
            id=message.id,
            class_name=message.class_name,
            destination=message.destination,
            number=message.number,
            tenant=message.tenant,
            key=message.key,
            size_bytes=len(message.body),
            time_left_ms=(message.deadline_unix_us - self._context.clock.unix(self._context.clock.now()))
            // US_PER_MS,
        )

    def _check_replication(self) -> None:
        # Duplicates are checked as well: another node may have taken over the known message meanwhile.
        replication = self._context.replication
        if replication and (reason := replication.blocked_reason()):
            raise RejectedError(REJECTED_RETRY_MS, reason)

    def _is_duplicate(self, message: Message) -> bool:
        """Return whether the message was accepted before, for example on a connection that was then lost.

        Raises:
            RejectedError: The message was returned, and can't be accepted again yet.
        """
        known = self._messages.by_id.get(message.id)
        if known is not None and known.final is not None and known.final.state is FinalState.RETURNED:
            raise RejectedError(REJECTED_RETRY_MS, "the notification that it was returned is still pending")
        if known is not None or message.id in self._context.journal.finished_ids:
            return True
        if self._messages.may_still_run(message.id):
            raise RejectedError(
                REJECTED_RETRY_MS, "it was returned, but an attempt of it may still be running"
            )
        return False

    def _check_capacity(self) -> None:
        settings = self._context.settings
        if self._context.stopping:
            raise RejectedError(settings.max_retry_after_ms, "shutting down")
        if len(self._messages.open) >= settings.policy_settings.max_held_messages:
            raise RejectedError(REJECTED_RETRY_MS, "the maximum number of held messages is reached")

    def withdraw(self, message: Message) -> None:
        """Drop a message that its client has withdrawn."""
        if self._messages.open.pop(message.number, None) is not None:
            self._context.events.post(ClientCancelled(message.number))
            self._notifications.end(message)

    # --- from other nodes -------------------------------------------------------------------------

    def take_over(self, messages: Iterable[Message]) -> int:
        """Take over messages that another node accepted, with the state that they had there.

        Returns:
            How many of the messages were not known here.

        Raises:
            JournalFullError: A message can't be recorded; those before it have been taken over.
        """
        new = 0
        for message in messages:
            if message.id in self._messages.by_id or message.id in self._context.journal.finished_ids:
                continue
            message.number = self._messages.next_number()
            _mark_attempt_unresolved(message)
            self._apply_rules(message)
            self._context.journal.message_taken_over(message)
            new += 1
            self._register(message)
            if message.final is not None:
                self._notifications.start(message)
            else:
                self._post_accepted(message, recovered=True)
        return new

    def release(self, ids: Collection[str]) -> int:
        """Drop the messages with these ids, because another node has taken them over.

        Returns:
            How many of them were pending here.

        Raises:
            JournalFullError: The journal can't be rewritten without them.
        """
        released = [message for message in self._messages.by_id.values() if message.id in ids]
        for message in released:
            del self._messages.by_id[message.id]
            if self._messages.open.pop(message.number, None) is not None:
                self._context.events.post(ClientCancelled(message.number))
            else:
                self._notifications.release(message)
        self._context.journal.release(released)
        self._context.journal.begin()
        return len(released)

    # --- from the journal -------------------------------------------------------------------------

    def restore(
        self,
        messages: Collection[Message],
        in_flight: Collection[int] = (),
        known_to_policy: Collection[int] = (),
    ) -> None:
        """Resume the messages that are pending in the journal.

        Args:
            messages: The pending messages of the journal.
            in_flight: Numbers of the messages with an attempt in flight in the predecessor process.
            known_to_policy: Numbers of the messages that the policy knows, or will learn of from a queued
                event.
        """
        self._registry.load_blocklist(self._context.journal.blocked_endpoints)
        self._messages.continue_numbers_after(messages)
        for message in messages:
            if message.number not in in_flight:
                _mark_attempt_unresolved(message)
            self._apply_rules(message)
            self._register(message)
            if message.final is None and message.number not in known_to_policy:
                self._post_accepted(message, recovered=True)

    def _apply_rules(self, message: Message) -> None:
        """Use the rules of the settings for a message whose own rules an older version did not record."""
        message.rules = message.rules or self._context.settings.delivery_rules.get(message.class_name)
        if message.final is None and message.rules is None:
            message.final = FinalResult(FinalState.FAILED)  # its class is no longer in the settings either

    def _register(self, message: Message) -> None:
        if message.final is not None:
            self._messages.by_id[message.id] = message
            self._notifications.add_pending(message)
        else:
            self._messages.add_open(message)

    def _post_accepted(self, message: Message, recovered: bool = False) -> None:
        self._context.events.post(self.accepted_event(message, recovered))

    def accepted_event(self, message: Message, recovered: bool = False) -> MessageAccepted:
        """Return the event that reports an open message to the policy.

        Args:
            message: The message.
            recovered: It was accepted before this policy began.
        """
        rules = message.rules
        if rules is None:
            raise ValueError(f"message {message.id} has no delivery rules")
        clock = self._context.clock
        may_have_run_unix_us = message.may_have_run_unix_us
        return MessageAccepted(
            request=message.number,
            class_index=0,
            destination=message.destination,
            deadline_ns=clock.monotonic(message.deadline_unix_us) * NS_PER_US,
            key=message.key,
            tenant=self._context.settings.tenants.get(message.tenant, 0),
            attempts=message.attempts,
            may_have_run_ns=clock.monotonic(may_have_run_unix_us) * NS_PER_US if may_have_run_unix_us else 0,
            may_have_run_zone=message.zone,
            traffic_class=rules.traffic_class,
            max_attempts=rules.max_attempts,
            recovered=recovered,
        )


def _mark_attempt_unresolved(message: Message) -> None:
    # The attempt was in flight when its process ended or another node took the message over. It may have run,
    # or may still be running.
    message.may_have_run_unix_us = message.may_have_run_unix_us or message.in_flight_since_unix_us
    message.in_flight_since_unix_us = 0
