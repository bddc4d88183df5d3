"""The new process's view of the old one until that ends: its reports, and time limits for missing reports."""

from typing import TYPE_CHECKING

import anyio

from pinspread.core.log import log
from pinspread.core.time_units import US_PER_S
from pinspread.errors import JournalFullError, RejectedError
from pinspread.hot_restart import packet_codec
from pinspread.hot_restart.link import HandoverFormatError, Link, PacketKind
from pinspread.hot_restart.packet_codec import (
    AttemptReport,
    EndpointDisabledAnswer,
    HealthCheckReport,
    Report,
    RetryAfterReport,
    SetEndpointDisabledRequest,
)

if TYPE_CHECKING:
    from pinspread.core.clock import Clock
    from pinspread.core.engine import DeliveryEngine
    from pinspread.core.message_table import AttemptId
    from pinspread.core.messages import Attempt

REPORT_GRACE_US = 200_000  # extra time, after an attempt must have ended, for its report to arrive
UNREAD_POLL_S = 0.005  # between two checks whether all received reports have been read


class Predecessor:
    """The old process after it has handed over; its attempts and health checks still run there.

    Attributes:
        in_flight: The attempts that it had in flight at the handover.
        health_checks: The ids of the endpoints whose health it was checking at the handover.
    """

    def __init__(self, link: Link, engine: "DeliveryEngine", clock: "Clock") -> None:
        """Create it for the process at the other end of `link`; `engine` has already resumed its state."""
        self.in_flight = dict(engine.attempts)
        self.health_checks = list(engine.health_checks)
        self._link = link
        self._engine = engine
        self._clock = clock

    async def follow(self) -> None:
        """Apply its reports, and the requests to its admin server, until it has ended."""
        async with anyio.create_task_group() as tasks:
            for attempt_id, attempt in self.in_flight.items():
                tasks.start_soon(self._time_out, attempt_id, attempt)
            await self._follow_reports()
            self._engine.predecessor_lost(self.in_flight, self.health_checks)
            tasks.cancel_scope.cancel()
        self._link.close()

    # --- its reports --------------------------------------------------------------------------------

    async def _follow_reports(self) -> None:
        """Apply its reports until it has ended.

        Only the end of the link means that the process and its calls have ended. A malformed report does not
        mean that: it is logged and dropped, and its attempt is left to `_time_out`, as with a process that
        hangs.
        """
        while True:
            try:
                packet = await self._link.receive()
                packet.discard_descriptor()
                report = packet_codec.decode_report(packet.kind, packet.data)
            except HandoverFormatError as error:
                log("predecessor_report_malformed", error=str(error))
            except OSError as error:
                log("predecessor_gone", why=str(error) or type(error).__name__)
                return
            else:
                await self._apply(report)

    async def _apply(self, report: Report) -> None:
        match report:
            case AttemptReport(message_number, attempt_number, result):
                if (message_number, attempt_number) in self.in_flight:
                    self._engine.predecessor_attempt_ended(message_number, attempt_number, result)
                else:  # it may be an attempt of this process, which is still running
                    log(
                        "predecessor_report_malformed",
                        error=f"attempt {attempt_number} of message {message_number} is not of that process",
                    )
            case RetryAfterReport(endpoint_id, retry_after_us):
                self._engine.predecessor_retry_after(endpoint_id, retry_after_us)
            case HealthCheckReport(endpoint_id, result):
                self._engine.predecessor_health_check_ended(endpoint_id, result)
            case SetEndpointDisabledRequest():
                await self._set_endpoint_disabled(report)

    async def _set_endpoint_disabled(self, request: SetEndpointDisabledRequest) -> None:
        """Do what an operator asked of the old process, and send the answer.

        Without an answer, the old process reports a failure to the operator.
        """
        change = self._engine.disable if request.disabled else self._engine.enable
        try:
            known = await change(request.endpoint_id)
            answer = EndpointDisabledAnswer(request.request_number, known)
            await self._link.send(PacketKind.ENDPOINT_DISABLED, packet_codec.encode_endpoint_disabled(answer))
        except (OSError, JournalFullError, RejectedError) as error:
            # If the old process has ended, the reports that it sent before are still to be received.
            log("endpoint_change_unanswered", error=str(error) or type(error).__name__)

    # --- missing reports ----------------------------------------------------------------------------

    async def _time_out(self, attempt_id: "AttemptId", attempt: "Attempt") -> None:
        """End an attempt that the old process has not reported in time.

        A process that hangs reports nothing, and without this time limit the message would never get a final
        result. But its calls may still be running: until that process has ended, the message must not be sent
        again.
        """
        wait_us = self._last_end_us(attempt) + REPORT_GRACE_US - self._clock.now()
        await anyio.sleep(max(0, wait_us) / US_PER_S)
        # If this process was the one that stalled, the report may have arrived but not been read yet. Without
        # this wait, a payment that was delivered would count as failed.
        while self._link.has_unread():
            await anyio.sleep(UNREAD_POLL_S)
        self._engine.predecessor_attempt_unreported(*attempt_id)

    def _last_end_us(self, attempt: "Attempt") -> int:
        """The monotonic time by which an attempt must have ended.

        As long as its message is open, and so could be sent again, that is not before the message's deadline.
        """
        if attempt.message.number not in self._engine.open_messages:
            return attempt.ends_us()
        return max(attempt.ends_us(), self._clock.monotonic(attempt.message.deadline_unix_us))
