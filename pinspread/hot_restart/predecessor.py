"""What the new process follows of the old one until that has ended: its reports, and their absence."""

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

REPORT_GRACE_US = 200_000  # past an attempt's time, for the report of its end
UNREAD_POLL_S = 0.005  # between two questions whether all reports that have come are read


class Predecessor:
    """The old process, once it has handed over: its attempts and health checks still run there.

    Attributes:
        in_flight: The attempts that it had in flight at the hand-over.
        health_checks: The ids of the endpoints that it was checking then.
    """

    def __init__(self, link: Link, engine: "DeliveryEngine", clock: "Clock") -> None:
        """Follow what is at the other end of the link; the engine has resumed what was handed over."""
        self.in_flight = dict(engine.attempts)
        self.health_checks = list(engine.health_checks)
        self._link = link
        self._engine = engine
        self._clock = clock

    async def follow(self) -> None:
        """Take in its reports, and what its admin server is asked, until it has ended."""
        async with anyio.create_task_group() as tasks:
            for attempt_id, attempt in self.in_flight.items():
                tasks.start_soon(self._time_out, attempt_id, attempt)
            await self._follow_reports()
            self._engine.predecessor_lost(self.in_flight, self.health_checks)
            tasks.cancel_scope.cancel()
        self._link.close()

    # --- its reports --------------------------------------------------------------------------------

    async def _follow_reports(self) -> None:
        """Take in its reports until it has ended.

        Only the end of the link is the end of that process and of its calls. A report that cannot be read
        says nothing of the kind: it is dropped, and what it was about is left to `_time_out`, as with a
        process that hangs.
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
                else:  # it may be one of this process, which still runs
                    log("predecessor_report_malformed", error="no attempt of that process")
            case RetryAfterReport(endpoint_id, retry_after_us):
                self._engine.predecessor_retry_after(endpoint_id, retry_after_us)
            case HealthCheckReport(endpoint_id, result):
                self._engine.predecessor_health_check_ended(endpoint_id, result)
            case SetEndpointDisabledRequest():
                await self._set_endpoint_disabled(report)

    async def _set_endpoint_disabled(self, request: SetEndpointDisabledRequest) -> None:
        """Do what an operator asked the old process, and answer it; unanswered, it reports a failure."""
        change = self._engine.disable if request.disabled else self._engine.enable
        try:
            known = await change(request.endpoint_id)
            answer = EndpointDisabledAnswer(request.request_number, known)
            await self._link.send(PacketKind.ENDPOINT_DISABLED, packet_codec.encode_endpoint_disabled(answer))
        except (OSError, JournalFullError, RejectedError) as error:
            # If it has ended, the reports that it sent before are still there to be read.
            log("endpoint_change_unanswered", error=str(error) or type(error).__name__)

    # --- what it does not report --------------------------------------------------------------------

    async def _time_out(self, attempt_id: "AttemptId", attempt: "Attempt") -> None:
        """End an attempt that it has not reported in time.

        A process that hangs reports nothing, and without this a message would never have its final result.
        But it does not end its calls either: as long as it has not ended itself, the message must not be sent
        again.
        """
        wait_us = self._last_end_us(attempt) + REPORT_GRACE_US - self._clock.now()
        await anyio.sleep(max(0, wait_us) / US_PER_S)
        # If it was this process that stood still, the report may have come and not been read: a payment that
        # was delivered would pass for one that failed.
        while self._link.has_unread():
            await anyio.sleep(UNREAD_POLL_S)
        self._engine.predecessor_attempt_unreported(*attempt_id)

    def _last_end_us(self, attempt: "Attempt") -> int:
        """Until when an attempt, or the message that could be sent again after it, may take; monotonic."""
        if attempt.message.number not in self._engine.open_messages:
            return attempt.ends_us()
        return max(attempt.ends_us(), self._clock.monotonic(attempt.message.deadline_unix_us))
