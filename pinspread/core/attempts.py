"""Attempts: from the policy's decision to send, through the call, to the outcome reported to the policy."""

from collections.abc import Callable

import anyio

from pinspread.core.bundling import group_into_calls
from pinspread.core.context import POLL_S, EngineContext
from pinspread.core.endpoint_registry import EndpointRegistry
from pinspread.core.log import log
from pinspread.core.message_table import AttemptId
from pinspread.core.messages import NEVER_RAN, Attempt, AttemptResult, Endpoint, FinalResult, FinalState
from pinspread.core.notifications import Notifications
from pinspread.core.time_units import NS_PER_US
from pinspread.core.write_check import WriteCheck
from pinspread.errors import JournalFullError
from pinspread.policy.actions import Send
from pinspread.policy.events import AttemptCompleted, Outcome

NOTIFICATION_POLL_S = 0.005  # between two checks whether an attempt still waits for its ordering key
BUNDLING_SCHEME = "http"  # the only scheme whose calls can carry several messages


class AttemptRunner:
    """Runs attempts, each in a task of its own or bundled with others in one call, and handles outcomes.

    Attributes:
        in_flight: The attempts that have been started and have not ended, those of a predecessor process
            included.
        delayed_results: Attempts that ended in this process after it had handed over, with their results.
    """

    def __init__(
        self,
        context: EngineContext,
        registry: EndpointRegistry,
        notifications: Notifications,
    ) -> None:
        self.in_flight: dict[AttemptId, Attempt] = {}
        self.delayed_results: list[tuple[Attempt, AttemptResult]] = []
        self._context = context
        self._messages = context.messages
        self._registry = registry
        self._notifications = notifications
        self._write_check = WriteCheck(context, registry, notifications)
        self._starting: dict[str, list[Attempt]] = {}  # the attempts started in this turn, by endpoint

    # --- starting ---------------------------------------------------------------------------------

    def start(self, action: Send, now_us: int) -> None:
        """Register an attempt that the policy decided on; `launch` runs it at the end of the turn."""
        message = self._messages.open[action.request]
        endpoint = self._registry.endpoints[str(action.endpoint)]
        attempt = Attempt(message, message.attempts, endpoint, now_us, action.timeout_ns // NS_PER_US)
        attempt.check_before_write = lambda: self._write_check.check(attempt)
        attempt.apply_retry_after = self._retry_after_callback(endpoint)
        message.attempts += 1
        self.in_flight[message.number, attempt.number] = attempt
        self._starting.setdefault(endpoint.id, []).append(attempt)

    def _retry_after_callback(self, endpoint: Endpoint) -> Callable[[int], None]:
        return lambda retry_after_us: self._registry.apply_retry_after(endpoint, retry_after_us)

    def launch(self) -> None:
        """Run the attempts started in this turn; attempts at the same endpoint share calls where allowed."""
        starting, self._starting = self._starting, {}
        for attempts in starting.values():
            for call in group_into_calls(attempts, self._max_call_size(attempts[0].endpoint)):
                if len(call) > 1:
                    self._context.tasks.start_soon(self._run_call, call)
                else:
                    self._context.tasks.start_soon(self._run_attempt, call[0])

    def _max_call_size(self, endpoint: Endpoint) -> int:
        if endpoint.scheme != BUNDLING_SCHEME:
            return 1
        return self._context.settings.policy_settings.kind(endpoint.kind).max_bundle_size

    # --- running ----------------------------------------------------------------------------------

    async def _run_call(self, attempts: list[Attempt]) -> None:
        try:
            if await self._record_and_replicate(attempts):
                results = await self._context.transports[attempts[0].endpoint.scheme].send_many(attempts)
            else:
                results = [AttemptResult(Outcome.NOT_SENT, note="not replicated") for _ in attempts]
        except Exception as error:
            # As for a single attempt: attempts that were recorded as started may have run.
            log("fault", where="call", error=repr(error))
            results = [_result_of_fault(attempt) for attempt in attempts]
        for attempt, result in zip(attempts, results, strict=True):
            self.complete(attempt, result)

    async def _run_attempt(self, attempt: Attempt) -> None:
        await self._wait_for_key(attempt)
        try:
            result = await self._send(attempt)
        except Exception as error:
            # A fault in a transport must not end the process, nor be taken as proof that nothing ran.
            log("fault", where="attempt", error=repr(error))
            result = _result_of_fault(attempt)
        self.complete(attempt, result)

    async def _wait_for_key(self, attempt: Attempt) -> None:
        """Wait until no earlier notification of the key is pending, on fronts that order messages by that."""
        if not self._waits_for_key(attempt):
            return
        with anyio.move_on_after(self._context.seconds_to(attempt.ends_us())):
            while self._waits_for_key(attempt):
                await anyio.sleep(NOTIFICATION_POLL_S)

    def _waits_for_key(self, attempt: Attempt) -> bool:
        key = attempt.message.key
        return bool(key) and key in self._notifications.pending and not self._context.successor

    async def _send(self, attempt: Attempt) -> AttemptResult:
        if self._waits_for_key(attempt):
            # The attempt's time has run out. The transport would time out at once, and that would count
            # against the destination.
            return AttemptResult(Outcome.NOT_SENT, note="an earlier notification of its key is pending")
        if not await self._record_and_replicate([attempt]):
            return AttemptResult(Outcome.NOT_SENT, note="not replicated")
        return await self._context.transports[attempt.endpoint.scheme].send(attempt)

    async def _record_and_replicate(self, attempts: list[Attempt]) -> bool:
        """Record attempts as started and wait until that is replicated, before their transport is called.

        Without replication, the check right before the write records them instead.

        Returns:
            Whether the attempts may be sent.
        """
        if self._context.replication is None:
            return True
        # Each refusal by the transport would count as an attempt, so a message could be given up only because
        # this node lacks the lease for it, or is not replicated, for a while. Therefore the wait may last
        # until the messages' deadlines, and the attempt's time-out begins after it.
        clock = self._context.clock
        until_us = min(clock.monotonic(attempt.message.deadline_unix_us) for attempt in attempts)
        if not await self._wait_unblocked(until_us):
            return False
        if not self._record_started(attempts):
            return False
        if not await self._wait_replicated(until_us):
            return False
        now_us = clock.now()
        for attempt in attempts:
            attempt.started_us = now_us
            attempt.timeout_us = max(1, min(attempt.timeout_us, until_us - now_us))
        return True

    async def _wait_unblocked(self, until_us: int) -> bool:
        context = self._context
        while _is_blocked(context) and context.clock.now() < until_us and not context.stopping:
            await anyio.sleep(POLL_S)
        return not _is_blocked(context)

    def _record_started(self, attempts: list[Attempt]) -> bool:
        unix_us = self._context.clock.unix(self._context.clock.now())
        for attempt in attempts:
            message = attempt.message
            if message.in_flight_since_unix_us or message.number not in self._messages.open:
                continue  # the check right before the write refuses this attempt and gives the reason
            try:
                self._write_check.record_started(attempt, unix_us)
            except JournalFullError:
                return False
            attempt.recorded = True
        return True

    async def _wait_replicated(self, until_us: int) -> bool:
        context = self._context
        while context.replication and not await context.replication.wait_replicated():
            if context.clock.now() >= until_us or context.stopping:
                return False
            await anyio.sleep(POLL_S)
        return True

    # --- outcomes ---------------------------------------------------------------------------------

    def complete(self, attempt: Attempt, result: AttemptResult) -> None:
        """Handle the end of an attempt."""
        message = attempt.message
        del self.in_flight[message.number, attempt.number]
        attempt.detach()
        if self._context.successor:
            self.delayed_results.append((attempt, result))
            self._context.successor.attempt_ended(message.number, attempt.number, result)
            return
        self._registry.apply_retry_after(attempt.endpoint, result.retry_after_us)
        unsent = result.outcome is Outcome.NOT_SENT and not message.in_flight_since_unix_us
        elapsed_us = self._context.clock.now() - attempt.started_us
        log(
            "attempt",
            id=message.id,
            number=attempt.number,
            endpoint=attempt.endpoint.id,
            outcome=result.outcome.name,
            elapsed_us=elapsed_us,
            retry_after_us=result.retry_after_us,
            idle_us=result.idle_us,
            note=result.note,
            local_port=result.local_port,
        )
        if message.number in self._messages.open:
            self._advance(attempt, result)
        self._context.events.post(
            AttemptCompleted(
                message.number,
                attempt.number,
                attempt.endpoint.id,
                result.outcome,
                elapsed_us * NS_PER_US,
                message.number not in self._messages.open,
                result.retry_after_us * NS_PER_US,
                limit_remaining=result.limit_remaining,
                limit_per_s=result.limit_per_s,
                opened=result.opened,
                unsent=unsent,
            )
        )

    def _advance(self, attempt: Attempt, result: AttemptResult) -> None:
        """Apply an outcome to its message, which is open."""
        message, context = attempt.message, self._context
        if result.outcome is Outcome.OK:
            self._notifications.finish(message, FinalResult(FinalState.DELIVERED))
        elif result.no_longer_wanted:
            del self._messages.open[message.number]
            self._notifications.end(message)
        elif message.in_flight_since_unix_us:
            may_have_run = result.outcome not in NEVER_RAN
            context.record(context.journal.attempt_ended, message, attempt.number, may_have_run)

    def apply_delayed_results(self) -> None:
        """Handle the attempts that ended during a handover, after the successor failed to take over."""
        delayed, self.delayed_results = self.delayed_results, []
        for attempt, result in delayed:
            self.in_flight[attempt.message.number, attempt.number] = attempt
            self.complete(attempt, result)


def _is_blocked(context: EngineContext) -> bool:
    return bool(context.replication and context.replication.blocked_reason())


def _result_of_fault(attempt: Attempt) -> AttemptResult:
    written = attempt.message.in_flight_since_unix_us
    return AttemptResult(Outcome.RESET if written else Outcome.CONNECT_FAILED)
