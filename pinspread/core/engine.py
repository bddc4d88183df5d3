"""The delivery engine: collects events, calls the policy once per turn, and performs its actions."""

from collections.abc import Callable, Collection, Iterable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from pinspread.core.acceptance import Acceptance
from pinspread.core.attempts import AttemptRunner
from pinspread.core.clock import Clock
from pinspread.core.context import EngineContext
from pinspread.core.endpoint_blocklist import EndpointBlocklist
from pinspread.core.endpoint_registry import EndpointRegistry, RetryAfterScope
from pinspread.core.event_queue import EventQueue
from pinspread.core.health_checks import HealthChecks
from pinspread.core.journal import Journal
from pinspread.core.log import log
from pinspread.core.message_table import AttemptId
from pinspread.core.messages import Attempt, AttemptResult, Endpoint, FinalResult, FinalState, Message
from pinspread.core.notifications import Notifications
from pinspread.core.ownership import EngineState, Ownership
from pinspread.core.policy_rebuild import PolicyRebuild
from pinspread.core.ports import (
    EngineSettings,
    Front,
    ReplicationService,
    Successor,
    Transport,
)
from pinspread.core.time_units import NS_PER_MS, NS_PER_US, US_PER_S
from pinspread.policy.actions import Action, CheckHealth, Disconnect, Fail, Reject, Send, SetTimer, Subscribe
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import EndpointState, Event, SettingsChanged, UpdateScope

DRAIN_US = 3_000_000  # from SIGTERM until connections are closed; the process is killed 3.7 s after SIGTERM
LINGER_US = 500_000  # new clients still connect during this time and must get a rejection
ACKNOWLEDGEMENT_POLL_S = 0.005


def _ignore_subscription() -> None:
    pass


class DeliveryEngine:
    """One node's engine: messages in, attempts out, one final result for each message.

    Each component owns its state. This class has the methods that fronts, discovery, replication and hot
    restart call.

    Attributes:
        policy: Decides which message is sent when and where; it does no I/O.
        subscribe: Asks discovery for changes of the endpoint list, when the policy wants them.
    """

    def __init__(
        self, policy: DeliveryPolicy, settings: EngineSettings, clock: Clock, journal: Journal
    ) -> None:
        self.policy = policy
        self.subscribe: Callable[[], Any] = _ignore_subscription
        self.context = context = EngineContext(settings, clock, journal)
        self.registry = registry = EndpointRegistry(context)
        self.notifications = Notifications(context)
        self.acceptance = Acceptance(context, registry, self.notifications)
        self.attempt_runner = AttemptRunner(context, registry, self.notifications)
        self.health_check_runner = HealthChecks(context, registry)
        self.ownership = Ownership(
            context, registry, self.acceptance, self.attempt_runner, self.health_check_runner
        )
        self._policy_rebuild = PolicyRebuild(
            context, registry, self.acceptance, self.attempt_runner, self.health_check_runner
        )
        self._drained = anyio.Event()
        self._performers: dict[type[Action], Callable[[Any, int], None]] = {
            SetTimer: self._set_timer,
            Send: self._send,
            Reject: self._reject,
            Fail: self._fail,
            CheckHealth: self._check_health,
            Disconnect: self._disconnect,
            Subscribe: self._subscribe,
        }

    # --- components -------------------------------------------------------------------------------

    @property
    def settings(self) -> EngineSettings:
        """The settings in effect."""
        return self.context.settings

    @property
    def clock(self) -> Clock:
        """The clock of the process."""
        return self.context.clock

    @property
    def journal(self) -> Journal:
        """The record of all pending messages."""
        return self.context.journal

    @property
    def events(self) -> EventQueue:
        """The events for the policy's next turn."""
        return self.context.events

    @property
    def fronts(self) -> dict[str, Front]:
        """The fronts, by the name that `Message.front` holds; the service adds them at start."""
        return self.context.fronts

    @property
    def transports(self) -> dict[str, Transport]:
        """The transports, by the scheme that `Endpoint.scheme` holds; the service adds them at start."""
        return self.context.transports

    @property
    def tasks(self) -> TaskGroup:
        """The task group of the engine, which exists as long as the engine runs and ends with it."""
        return self.context.tasks

    @property
    def replication(self) -> ReplicationService | None:
        """Replicates the journal, if the application's file turns that on."""
        return self.context.replication

    @replication.setter
    def replication(self, replication: ReplicationService | None) -> None:
        self.context.replication = replication

    @property
    def serving(self) -> bool:
        """Whether recovery is complete and clients are served."""
        return self.context.serving

    @serving.setter
    def serving(self, serving: bool) -> None:
        self.context.serving = serving

    @property
    def stopping(self) -> bool:
        """Whether the process is shutting down; nothing is accepted or sent any more."""
        return self.context.stopping

    @stopping.setter
    def stopping(self, stopping: bool) -> None:
        self.context.stopping = stopping

    @property
    def successor(self) -> Successor | None:
        """The process that owns all messages, once this one has handed over to it."""
        return self.context.successor

    # --- state ------------------------------------------------------------------------------------

    @property
    def open_messages(self) -> dict[int, Message]:
        """The messages without a final result, by number."""
        return self.context.messages.open

    @property
    def messages_by_id(self) -> dict[str, Message]:
        """The messages that have not ended, or whose notification is pending, by id."""
        return self.context.messages.by_id

    @property
    def pending_notifications(self) -> dict[int, int]:
        """The number of notifications of each key that are not acknowledged yet."""
        return self.notifications.pending

    @property
    def attempts(self) -> dict[AttemptId, Attempt]:
        """The attempts in flight."""
        return self.attempt_runner.in_flight

    @property
    def health_checks(self) -> dict[str, int]:
        """When each health check in flight was started, by the endpoint's id, in monotonic microseconds."""
        return self.health_check_runner.in_flight

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The endpoints in the endpoint list, by id."""
        return self.registry.endpoints

    @property
    def blocklist(self) -> EndpointBlocklist:
        """The endpoints that operators have disabled."""
        return self.registry.blocklist

    @property
    def retry_after_until_us(self) -> dict[RetryAfterScope, int]:
        """When the Retry-After of a destination or endpoint ends, in microseconds of the monotonic clock."""
        return self.registry.retry_after_until_us

    # --- calls from fronts and replication --------------------------------------------------------

    def recover(self) -> None:
        """Resume all messages that are pending in the journal.

        Raises:
            JournalFormatError: A newer version wrote the journal.
            JournalFullError: The journal can't be written.
        """
        recorded = self.journal.recover()
        self.acceptance.restore(recorded)
        open_count = len(self.open_messages)
        log("recovered", open=open_count, notifications=len(recorded) - open_count)

    def unknown_reason(self, class_name: str, tenant: str, destination: int) -> str:
        """Return which of these names is unknown, as an error text for the client; empty if all are known."""
        return self.acceptance.unknown_reason(class_name, tenant, destination)

    def accept(self, message: Message) -> None:
        """Accept a message; it is in the journal when this returns. A duplicate is ignored.

        Raises:
            RejectedError: The message was not accepted; the error says when to try again.
        """
        self.acceptance.accept(message)

    async def wait_committed(self) -> bool:
        """Wait for replication, if it is on; return whether what was accepted so far may be acknowledged."""
        return self.replication is None or await self.replication.wait_replicated()

    def take_over(self, messages: Iterable[Message]) -> int:
        """Take over messages that another node accepted; return how many were not known here.

        Raises:
            JournalFullError: A message can't be recorded; those before it have been taken over.
        """
        return self.acceptance.take_over(messages)

    def release(self, ids: Collection[str]) -> int:
        """Drop messages that another node has taken over; return how many were pending here.

        Raises:
            JournalFullError: The journal can't be rewritten without them.
        """
        return self.acceptance.release(ids)

    def withdraw(self, message: Message) -> None:
        """Drop a message that its client has withdrawn."""
        self.acceptance.withdraw(message)

    # --- changes from discovery, settings and operators -------------------------------------------

    def apply_settings(self, settings: EngineSettings) -> None:
        """Apply other settings from now on; open messages keep the rules that they were accepted under."""
        self.context.settings = settings
        self.events.post(SettingsChanged(settings.policy_settings))

    def update_endpoints(
        self, scope: UpdateScope, endpoints: Iterable[tuple[Endpoint, EndpointState]]
    ) -> None:
        """Apply a change of the endpoint list, or a whole list: endpoints and their listed states."""
        self.registry.update(scope, endpoints)

    def ready(self) -> bool:
        """Return whether this process serves."""
        return self.serving and not self.stopping and not self.successor

    async def disable(self, endpoint_id: str) -> bool:
        """Disable an endpoint until it is enabled again; see `ports.EndpointAdmin`."""
        return await self.registry.disable(endpoint_id)

    async def enable(self, endpoint_id: str) -> bool:
        """Enable an endpoint again, and treat it as just started; see `ports.EndpointAdmin`."""
        return await self.registry.enable(endpoint_id)

    # --- hot restart ------------------------------------------------------------------------------

    def pause_for_handover(self, successor: Successor) -> EngineState:
        """Stop all activity, close the journal, and return what the successor needs besides it."""
        return self.ownership.pause(self.policy, successor)

    def cancel_handover(self) -> None:
        """Continue serving after the successor did not take over."""
        self.ownership.cancel()

    def resume_from_handover(self, state: EngineState) -> None:
        """Take over from the predecessor; the journal has been read."""
        self.policy = state["policy"]
        self.ownership.resume(state)

    def predecessor_attempt_ended(self, number: int, attempt_number: int, result: AttemptResult) -> None:
        """Handle the end of an attempt that the predecessor had in flight."""
        self.ownership.predecessor_attempt_ended(number, attempt_number, result)

    def predecessor_attempt_unreported(self, number: int, attempt_number: int) -> None:
        """Handle that the predecessor has not reported the end of an attempt in time."""
        self.ownership.predecessor_attempt_unreported(number, attempt_number)

    def predecessor_retry_after(self, endpoint_id: str, retry_after_us: int) -> None:
        """Apply a Retry-After that an endpoint gave the predecessor."""
        self.ownership.predecessor_retry_after(endpoint_id, retry_after_us)

    def predecessor_health_check_ended(self, endpoint_id: str, result: AttemptResult) -> None:
        """Handle the end of a health check that the predecessor had in flight."""
        self.ownership.predecessor_health_check_ended(endpoint_id, result)

    def predecessor_lost(self, attempts: Iterable[AttemptId], health_checks: Collection[str]) -> None:
        """Handle that the predecessor has exited and will not report what it had in flight."""
        self.ownership.predecessor_lost(attempts, health_checks)

    # --- the turn loop ----------------------------------------------------------------------------

    async def run(self) -> None:
        """Run turns until cancelled."""
        async with anyio.create_task_group() as self.context.tasks:
            self.notifications.start_all()
            while True:
                due_us = None if self.successor else self.events.next_due_us()
                await self.events.wait(None if due_us is None else self.context.seconds_to(due_us))
                self.turn()

    def turn(self) -> None:
        """Pass the queued events to the policy, and perform the actions that it returns."""
        if self.successor:
            return
        now_us = self.clock.now()
        events = self.events.take(now_us)
        if events:
            self._decide(events, now_us)
        if self.stopping and not self.attempts:
            self._drained.set()

    def _decide(self, events: list[Event], now_us: int) -> None:
        events = self._policy_rebuild.take(events)
        try:
            actions = self.policy.handle(now_us * NS_PER_US, events)
        except Exception as error:
            self.policy = self._policy_rebuild.build(self.policy, error)
            return
        self._policy_rebuild.succeeded()
        for action in actions:
            self._performers[type(action)](action, now_us)
        self.attempt_runner.launch()

    def _set_timer(self, action: SetTimer, now_us: int) -> None:
        self.events.set_timer(now_us + max(1, action.delay_ns // NS_PER_US), action.tag)

    def _send(self, action: Send, now_us: int) -> None:
        if not self.stopping:  # an unsent message stays in the journal for the next start
            self.attempt_runner.start(action, now_us)

    def _reject(self, action: Reject, now_us: int) -> None:
        retry_after_ms = -(-action.retry_after_ns // NS_PER_MS)
        final = FinalResult(FinalState.RETURNED, retry_after_ms)
        self.notifications.finish(self.open_messages[action.request], final)

    def _fail(self, action: Fail, now_us: int) -> None:
        self.notifications.finish(self.open_messages[action.request], FinalResult(FinalState.FAILED))

    def _check_health(self, action: CheckHealth, now_us: int) -> None:
        if not self.stopping:
            self.health_check_runner.start(str(action.endpoint), now_us)

    def _disconnect(self, action: Disconnect, now_us: int) -> None:
        self.registry.disconnect(str(action.endpoint))

    def _subscribe(self, action: Subscribe, now_us: int) -> None:
        self.subscribe()

    # --- shutdown ---------------------------------------------------------------------------------

    async def stop(self) -> None:
        """Reject messages from now on; return when nothing is in flight or pending, or after `DRAIN_US`."""
        log("stopping", in_flight=len(self.attempts), open=len(self.open_messages))
        self.stopping = True
        self.events.wake()
        with anyio.move_on_after(DRAIN_US / US_PER_S):
            await anyio.sleep(LINGER_US / US_PER_S)
            await self._drained.wait()
            while self.pending_notifications:
                await anyio.sleep(ACKNOWLEDGEMENT_POLL_S)
