"""The state of a running call to an endpoint, and the results that follow from its response or failure."""

from dataclasses import dataclass

from pinspread.core.log import log
from pinspread.core.messages import AttemptResult
from pinspread.core.time_units import US_PER_MS
from pinspread.http.exchange import Exchange, Response
from pinspread.http.retry_after import parse_retry_after_us
from pinspread.policy.events import Outcome
from pinspread.sockets import Connection

RETRY_AFTER, ALL_SLOTS_TAKEN = b"retry-after", b"x-over-slots"
MAX_NOTE = 100  # characters of an error's text in a result's note


@dataclass(slots=True)
class CallState:
    """The state of one call.

    Attributes:
        connection: The call's own connection; None if there is none yet, or it was closed.
        exchange: The exchange on that connection, once the request is being written.
        opened: The connection was opened.
        local_port: The connection's local port; 0 while there is no connection.
        written: The last byte of the request was written.
        proven_result: The result, once the response has proven it; None before.
        retry_after_us: The Retry-After in the response's head, in microseconds, even if the rest of the
            response fails.
        limit_remaining: The fraction of its limit that the endpoint reports as left.
        limit_per_s: The limit that the endpoint reports, in calls a second; 0 if it reports none.
    """

    connection: Connection | None = None
    exchange: Exchange | None = None
    opened: bool = False
    local_port: int = 0
    written: bool = False
    proven_result: AttemptResult | None = None
    retry_after_us: int = 0
    limit_remaining: float = 0.0
    limit_per_s: float = 0.0

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def annotate(self, result: AttemptResult) -> AttemptResult:
        """Add the connection and the reported limits to a result, and return it."""
        result.opened, result.local_port = self.opened, self.local_port
        result.limit_remaining, result.limit_per_s = self.limit_remaining, self.limit_per_s
        return result

    def describe_received(self, now_us: int) -> str:
        """Describe how much of the response had arrived when the call was abandoned."""
        if self.exchange is None or not self.exchange.received:
            return "silent"
        silent_ms = (now_us - self.exchange.last_read_us) // US_PER_MS
        return f"{len(self.exchange.received)} bytes, the last {silent_ms} ms ago"

    def timed_out(self, now_us: int) -> AttemptResult:
        """Return the result of a call that timed out."""
        if self.proven_result:
            # The time may end after the response has proven the result, while its rest is still read or a
            # pause is running. Without this, a delivery, or a call that never ran, would count as one that
            # may have run.
            return self.proven_result
        if self.written:
            return AttemptResult(Outcome.TIMEOUT, self.retry_after_us, note=self.describe_received(now_us))
        return AttemptResult(Outcome.CONNECT_FAILED, note="not written in time")

    def failed(self, error: OSError | ValueError) -> AttemptResult:
        """Return the result of a call that failed with an error."""
        if not self.written:
            return AttemptResult(Outcome.CONNECT_FAILED, note=str(error))
        # Apart from a status code of 200, a malformed response proves nothing. The call may have run, and a
        # payment that was sent again would take effect twice. Its Retry-After still applies.
        outcome = Outcome.ERROR if isinstance(error, ValueError) else Outcome.RESET
        return AttemptResult(outcome, self.retry_after_us, note=str(error)[:MAX_NOTE])


def result_of(response: Response) -> AttemptResult:
    """Return the result of the attempt according to the response's status code and headers."""
    status, headers = response
    if status == 200:
        return AttemptResult(Outcome.OK)
    if status == 429:
        return AttemptResult(Outcome.OVERLOADED, parse_retry_after_us(headers.get(RETRY_AFTER, b"")))
    if status == 503:
        slots_taken = headers.get(ALL_SLOTS_TAKEN) == b"1"
        return (
            AttemptResult(Outcome.NOT_SENT, note="all slots taken")
            if slots_taken
            else AttemptResult(Outcome.OVERLOADED)
        )
    if status == 504:
        return AttemptResult(Outcome.NOT_SENT, note="all attempts used")
    if status == 410:
        return AttemptResult(Outcome.NOT_SENT, no_longer_wanted=True, note="over")
    return _error_result(status)


def _error_result(status: int) -> AttemptResult:
    if status != 500:
        log("unexpected_status", status=status)
    return AttemptResult(Outcome.ERROR, note=str(status))
