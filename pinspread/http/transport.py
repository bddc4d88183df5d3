"""The transport to endpoints that take calls by HTTP/1.1.

Each call has a connection of its own, which is closed at its end. A response does not name its request: on a
connection that is used again, a late or repeated response to one call would be taken for the next one's.

The transport never retries: the result says what the call proves, and the engine decides whether the message
is sent again.
"""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from pinspread.core.clock import Clock
from pinspread.core.log import log
from pinspread.core.messages import Attempt, AttemptResult, Endpoint
from pinspread.core.time_units import US_PER_S
from pinspread.http import bundle
from pinspread.http.call import MAX_NOTE, RETRY_AFTER, CallState, result_of
from pinspread.http.exchange import Exchange, MalformedResponseError, Response
from pinspread.http.retry_after import parse_retry_after_us
from pinspread.policy.events import Outcome
from pinspread.policy.state import known_rate
from pinspread.sockets import SHOWN_BYTES, Connection, UnexpectedBytesError, dial

PATH, HEALTH_PATH = "/events", "/-/healthy"
CLOSE_HEADER = ("Connection", "close")
LOAD_REPORT = b"server-load"
LIMIT_REMAINING, LIMIT_PER_S = "x0", "x1"  # the figures of a load report that are used
SLOT_PAUSE_S = 0.05  # after a response that shows that the call never ran
DRAIN_TIMEOUT_S = 0.05  # for the rest of a response with status 200


class HttpTransport:
    """Delivers messages by `POST /events`, or several in one call by `POST /events/bundle`.

    Args:
        clock: The clock of the process.
        dial_us: The time-out for opening a connection, in microseconds.
        reports: Whether responses report the endpoint's limits.
    """

    def __init__(self, clock: Clock, dial_us: int, reports: bool = False) -> None:
        self.clock = clock
        self.dial_us = dial_us
        self.reports = reports

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Run one attempt; a failure before the last byte is written proves that the call never ran."""
        state = CallState()
        result = await self._run(attempt.ends_us(), state, lambda: self._call(attempt, state))
        return state.annotate(result)

    async def send_many(self, attempts: list[Attempt]) -> list[AttemptResult]:
        """Run several attempts to one endpoint as one call, which has the earliest of their time-outs."""
        state = CallState()
        # Message id -> result, for attempts with a result of their own.
        results: dict[str, AttemptResult] = {}
        ends_us = min(attempt.ends_us() for attempt in attempts)
        common = await self._run(ends_us, state, lambda: self._call_many(attempts, ends_us, state, results))
        return [state.annotate(results.get(attempt.message.id) or common) for attempt in attempts]

    async def _run(
        self, ends_us: int, state: CallState, call: Callable[[], Coroutine[Any, Any, AttemptResult]]
    ) -> AttemptResult:
        """Run a call with its time-out, and close its connection."""
        try:
            with anyio.move_on_after(self._seconds_until(ends_us)):
                return await call()
        except (OSError, ValueError) as error:
            return state.failed(error)
        finally:
            state.close()
        return state.timed_out(self.clock.now())

    def _seconds_until(self, time_us: int) -> float:
        return max(0, time_us - self.clock.now()) / US_PER_S

    async def _open(self, endpoint: Endpoint, state: CallState) -> Connection:
        with anyio.fail_after(self.dial_us / US_PER_S):
            connection = state.connection = await dial(endpoint.address)
        state.opened = True
        state.local_port = connection.local_port
        return connection

    async def _open_for_call(self, endpoint: Endpoint, state: CallState) -> Connection:
        try:
            return await self._open(endpoint, state)
        except TimeoutError:
            raise OSError("connecting to the endpoint timed out") from None

    async def _send_request(
        self, exchange: Exchange, method: str, path: str, endpoint: Endpoint, **content: Any
    ) -> None:
        """Write a request, to an endpoint that has sent nothing on its connection until then."""
        try:
            await exchange.send_request(method, path, endpoint.address, **content)
        except UnexpectedBytesError as error:
            _log_unexpected_bytes(endpoint, exchange.connection, "before a request", error.found)
            raise

    # --- one message a call --------------------------------------------------------------------------

    async def _call(self, attempt: Attempt, state: CallState) -> AttemptResult:
        endpoint = attempt.endpoint
        connection = await self._open_for_call(endpoint, state)
        reason = attempt.check_before_write()
        if reason:
            return AttemptResult(Outcome.NOT_SENT, note=reason)
        headers = self._headers(attempt)
        exchange = state.exchange = Exchange(connection)
        await self._send_request(exchange, "POST", PATH, endpoint, headers=headers, body=attempt.message.body)
        state.written = True
        if await exchange.read_status() != 200:
            return await self._read_refusal(attempt, exchange, state)
        state.proven_result = AttemptResult(Outcome.OK)
        await self._drain(exchange, endpoint, state)
        return state.proven_result

    def _headers(self, attempt: Attempt) -> list[tuple[str, str]]:
        message = attempt.message
        headers = [CLOSE_HEADER, ("Request-Id", message.id)]
        if message.idempotency_key:
            headers.append(("Idempotency-Key", message.idempotency_key))
        headers.append(("Request-Timeout", f"{self._seconds_until(attempt.ends_us()):.3f}"))
        return headers

    async def _read_refusal(self, attempt: Attempt, exchange: Exchange, state: CallState) -> AttemptResult:
        """Read a response with a status other than 200; it proves nothing until it is complete."""
        response = await self._read_response(exchange, state)
        result = result_of(response)
        self._apply_retry_after(attempt, result.retry_after_us, state)
        await exchange.read_to_end()
        trailing = exchange.trailing_data
        if trailing and not trailing.startswith(b"HTTP/1.1 %d" % response.status):
            # Either the length of the body is wrong, or these bytes are noise: the two look the same.
            raise MalformedResponseError(f"{len(trailing)} unexpected bytes after the response")
        _log_trailing_data(exchange, attempt.endpoint)
        state.proven_result = result
        state.close()
        if result.outcome is Outcome.NOT_SENT and not result.no_longer_wanted:
            # An abandoned call holds its slot at the endpoint until the endpoint notices its end. Without
            # this pause, a message could use up all its attempts while another message's call holds the slot.
            await anyio.sleep(SLOT_PAUSE_S)
        return result

    # --- several messages a call ---------------------------------------------------------------------

    async def _call_many(
        self, attempts: list[Attempt], ends_us: int, state: CallState, results: dict[str, AttemptResult]
    ) -> AttemptResult:
        """Run one call.

        Args:
            attempts: The attempts.
            ends_us: When the call times out, in microseconds on the monotonic clock.
            state: The state of the call.
            results: Receives the results of attempts that have one of their own, by the message's id.

        Returns:
            The result of all other attempts.
        """
        endpoint = attempts[0].endpoint
        connection = await self._open_for_call(endpoint, state)
        written = []
        for attempt in attempts:
            reason = attempt.check_before_write()
            if reason:
                results[attempt.message.id] = AttemptResult(Outcome.NOT_SENT, note=reason)
            else:
                written.append(attempt)
        if not written:
            return AttemptResult(Outcome.NOT_SENT)
        headers = [
            CLOSE_HEADER,
            ("Content-Type", "application/json"),
            ("Request-Timeout", f"{self._seconds_until(ends_us):.3f}"),
        ]
        body = bundle.encode_messages([attempt.message for attempt in written])
        exchange = state.exchange = Exchange(connection)
        await self._send_request(exchange, "POST", bundle.PATH, endpoint, headers=headers, body=body)
        state.written = True
        response = await self._read_response(exchange, state)
        retry_after_us = parse_retry_after_us(response.headers.get(RETRY_AFTER, b""))
        self._apply_retry_after(written[0], retry_after_us, state)
        chunks = []
        while (chunk := await exchange.read_data()) is not None:
            chunks.append(chunk)
        _log_trailing_data(exchange, endpoint)
        if response.status == 200:
            ids = [attempt.message.id for attempt in written]
            results |= bundle.parse_results(b"".join(chunks), ids, retry_after_us)
            return AttemptResult(Outcome.ERROR)  # not used: each attempt has a result of its own
        return _bundle_result(response, len(written), retry_after_us)

    # --- responses -----------------------------------------------------------------------------------

    async def _read_response(self, exchange: Exchange, state: CallState) -> Response:
        """Read the head of a response, and note the limits that its load report gives."""
        response = await exchange.read_response()
        report = response.headers.get(LOAD_REPORT) if self.reports else None
        if report is not None:
            try:
                figures = bundle.parse_load_report(report.decode("ascii"))
            except ValueError as error:
                log("malformed_report", error=str(error))  # the response is valid nevertheless
            else:
                state.limit_remaining = figures.get(LIMIT_REMAINING, 0.0)
                state.limit_per_s = figures.get(LIMIT_PER_S, 0.0)
                if state.limit_per_s and not known_rate(state.limit_per_s):
                    error_text = f"a limit of {state.limit_per_s} calls a second is out of range"
                    log("malformed_report", error=error_text)  # the policy ignores it
        return response

    def _apply_retry_after(self, attempt: Attempt, retry_after_us: int, state: CallState) -> None:
        if retry_after_us:
            state.retry_after_us = retry_after_us
            attempt.apply_retry_after(retry_after_us)  # at once: the body may take long to arrive

    async def _drain(self, exchange: Exchange, endpoint: Endpoint, state: CallState) -> None:
        """Read the rest of a response with status 200, for its load report and to close without a reset.

        The delivery is proven already. It may take at most `DRAIN_TIMEOUT_S` seconds: a head or body that
        never ends would turn a delivery into a time-out, and a payment that was made into a failed one.
        """
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            try:
                await self._read_response(exchange, state)
                await exchange.read_to_end()
            except (OSError, ValueError):
                return
            _log_trailing_data(exchange, endpoint)

    # --- health checks -------------------------------------------------------------------------------

    async def check_health(self, endpoint: Endpoint, check_before_write: Callable[[], str]) -> AttemptResult:
        """Check the health of an endpoint by `GET /-/healthy`.

        Args:
            endpoint: The endpoint.
            check_before_write: Called right before the first byte is written; returns why the request must
                not be written, or "".
        """
        state = CallState()
        try:
            return await self._check_health(endpoint, check_before_write, state)
        except ValueError as error:
            return AttemptResult(Outcome.ERROR, note=f"health check failed: {error}"[:MAX_NOTE])
        except OSError as error:
            return AttemptResult(Outcome.CONNECT_FAILED, note=str(error))
        finally:
            state.close()

    async def _check_health(
        self, endpoint: Endpoint, check_before_write: Callable[[], str], state: CallState
    ) -> AttemptResult:
        connection = await self._open(endpoint, state)
        reason = check_before_write()
        if reason:
            return AttemptResult(Outcome.NOT_SENT, note=reason)
        exchange = Exchange(connection)
        await self._send_request(exchange, "GET", HEALTH_PATH, endpoint, headers=[CLOSE_HEADER])
        if await exchange.read_status() == 200:
            await self._drain(exchange, endpoint, state)
            return AttemptResult(Outcome.OK)
        result = result_of(await exchange.read_response())
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            await exchange.read_to_end()
        return result

    def disconnect(self, endpoint: Endpoint) -> None:
        """Do nothing: no connection outlives its call."""

    forget = disconnect


def _log_trailing_data(exchange: Exchange, endpoint: Endpoint) -> None:
    if exchange.trailing_data:
        found = repr(exchange.trailing_data[:SHOWN_BYTES])
        _log_unexpected_bytes(endpoint, exchange.connection, "behind a response", found)


def _log_unexpected_bytes(endpoint: Endpoint, connection: Connection, when: str, found: str) -> None:
    log("unexpected_bytes", endpoint=endpoint.id, local_port=connection.local_port, when=when, found=found)


def _bundle_result(response: Response, size: int, retry_after_us: int) -> AttemptResult:
    """Return the result, by the response's status code, of the messages without a result of their own."""
    if response.status in (400, 413):
        log("bundle_refused", status=response.status, size=size)
        # The endpoint rejected the bundle as a whole: none of its messages has run.
        return AttemptResult(Outcome.OVERLOADED, retry_after_us, note=str(response.status))
    return result_of(response)
