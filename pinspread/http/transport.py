"""The transport to endpoints that take calls by HTTP/1.1.

A connection carries one call at a time, and nothing is ever sent a second time by itself: the result says
what the call proves, and the engine decides whether its message is sent again.
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
from pinspread.http.pool import ConnectionPool
from pinspread.http.retry_after import parse_retry_after_us
from pinspread.policy.events import Outcome
from pinspread.sockets import Connection, dial

PATH, HEALTH_PATH = "/events", "/-/healthy"
LOAD_REPORT = b"server-load"
LIMIT_REMAINING, LIMIT_PER_S = "x0", "x1"  # the figures of a load report that are used
SLOT_PAUSE_S = 0.05
DRAIN_TIMEOUT_S = 0.05  # for the rest of a response with status 200, after which the connection is closed


class HttpTransport:
    """Endpoints that take a call for each message, by `POST /events`, or several in one.

    Args:
        clock: The clock of the process.
        pool: The idle connections.
        dial_us: How long opening a connection may take, in microseconds.
        reports: Whether responses report the endpoint's limits.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool, dial_us: int, reports: bool = False) -> None:
        self.clock = clock
        self.pool = pool
        self.dial_us = dial_us
        self.reports = reports

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Run one attempt; what fails before its last byte is written proves that it never ran."""
        state = CallState()
        result = await self._run(attempt.ends_us(), state, lambda: self._call(attempt, state))
        return state.annotate(result)

    async def send_many(self, attempts: list[Attempt]) -> list[AttemptResult]:
        """Run several attempts to one endpoint as one call, which ends with the first of their times."""
        state = CallState()
        results: dict[str, AttemptResult] = {}  # of those that have one of their own, by the message's id
        ends_us = min(attempt.ends_us() for attempt in attempts)
        common = await self._run(ends_us, state, lambda: self._call_many(attempts, ends_us, state, results))
        return [state.annotate(results.get(attempt.message.id) or common) for attempt in attempts]

    async def _run(
        self, ends_us: int, state: CallState, call: Callable[[], Coroutine[Any, Any, AttemptResult]]
    ) -> AttemptResult:
        """Run a call within its time, and close its connection if the pool has not got it back."""
        try:
            with anyio.move_on_after(self._seconds_until(ends_us)):
                return await call()
        except (OSError, ValueError) as error:
            return state.failed(error)
        finally:
            if state.connection is not None:
                state.connection.close()
        return state.timed_out(self.clock.now())

    def _seconds_until(self, at_us: int) -> float:
        return max(0, at_us - self.clock.now()) / US_PER_S

    async def _open(self, endpoint: Endpoint, state: CallState) -> Connection:
        """Take a usable connection from the pool, or open one."""
        connection = state.connection = self.pool.acquire(endpoint)
        if connection is not None:
            state.idle_us = self.clock.now() - connection.idle_since_us
            return connection
        with anyio.fail_after(self.dial_us / US_PER_S):
            connection = state.connection = await dial(endpoint.address)
        state.opened = True
        if not connection.is_idle():
            raise OSError("closed by the next hop before the call")
        return connection

    async def _open_for_call(self, endpoint: Endpoint, state: CallState) -> Connection:
        try:
            return await self._open(endpoint, state)
        except TimeoutError:
            raise OSError("dial timed out") from None

    def _give_back(self, endpoint: Endpoint, state: CallState) -> None:
        if state.connection is not None:
            self.pool.release(endpoint, state.connection)
            state.connection = None

    # --- one message a call --------------------------------------------------------------------------

    async def _call(self, attempt: Attempt, state: CallState) -> AttemptResult:
        endpoint = attempt.endpoint
        connection = await self._open_for_call(endpoint, state)
        reason = attempt.check_before_write()
        if reason:
            self._give_back(endpoint, state)
            return AttemptResult(Outcome.NOT_SENT, note=reason)
        headers = self._headers(attempt)
        exchange = state.exchange = Exchange(connection)
        await exchange.send_request("POST", PATH, endpoint.address, headers, attempt.message.body)
        state.written = True
        if await exchange.read_status() != 200:
            return await self._read_refusal(attempt, exchange, state)
        state.proven = AttemptResult(Outcome.OK)
        await self._drain(exchange, endpoint, state)
        return state.proven

    def _headers(self, attempt: Attempt) -> list[tuple[str, str]]:
        message = attempt.message
        headers = [("Request-Id", message.id)]
        if message.idempotency_key:
            headers.append(("Idempotency-Key", message.idempotency_key))
        headers.append(("Request-Timeout", f"{self._seconds_until(attempt.ends_us()):.3f}"))
        return headers

    async def _read_refusal(self, attempt: Attempt, exchange: Exchange, state: CallState) -> AttemptResult:
        """Read a response with another status than 200 to its end; only then does it prove anything."""
        response = await self._read_response(exchange, state)
        result = result_of(response)
        self._apply_retry_after(attempt, result.retry_after_us, state)
        await exchange.read_to_end()
        trailing = exchange.trailing_data
        if trailing and not trailing.startswith(b"HTTP/1.1 %d" % response.status):
            raise MalformedResponseError("its length does not fit")  # or noise, which looks the same
        state.proven = result
        self._keep(exchange, attempt.endpoint, state)
        if result.outcome is Outcome.NOT_SENT and not result.no_longer_wanted:
            # A call that was given up holds its slot there until its end is seen. Tried again at once, one
            # message would spend all its attempts on the slot of another.
            await anyio.sleep(SLOT_PAUSE_S)
        return result

    # --- several messages a call ---------------------------------------------------------------------

    async def _call_many(
        self, attempts: list[Attempt], ends_us: int, state: CallState, results: dict[str, AttemptResult]
    ) -> AttemptResult:
        """Run one call; `results` takes the attempts' own results, what is returned counts for the others."""
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
            self._give_back(endpoint, state)
            return AttemptResult(Outcome.NOT_SENT)
        headers = [
            ("Content-Type", "application/json"),
            ("Request-Timeout", f"{self._seconds_until(ends_us):.3f}"),
        ]
        body = bundle.encode_messages([attempt.message for attempt in written])
        exchange = state.exchange = Exchange(connection)
        await exchange.send_request("POST", bundle.PATH, endpoint.address, headers, body)
        state.written = True
        response = await self._read_response(exchange, state)
        retry_after_us = parse_retry_after_us(response.headers.get(RETRY_AFTER, b""))
        self._apply_retry_after(written[0], retry_after_us, state)
        pieces = []
        while (piece := await exchange.read_data()) is not None:
            pieces.append(piece)
        self._keep(exchange, endpoint, state)
        if response.status == 200:
            ids = [attempt.message.id for attempt in written]
            results |= bundle.parse_results(b"".join(pieces), ids, retry_after_us)
            return AttemptResult(Outcome.ERROR)  # for no attempt: each has a result of its own
        return _bundle_result(response, len(written), retry_after_us)

    # --- responses -----------------------------------------------------------------------------------

    async def _read_response(self, exchange: Exchange, state: CallState) -> Response:
        """Read the head of a response, and note what it reports of limits."""
        response = await exchange.read_response()
        report = response.headers.get(LOAD_REPORT) if self.reports else None
        if report is not None:
            try:
                figures = bundle.parse_load_report(report.decode("ascii"))
            except ValueError as error:
                log("malformed_report", error=str(error))  # the response counts all the same
            else:
                state.limit_remaining = figures.get(LIMIT_REMAINING, 0.0)
                state.limit_per_s = figures.get(LIMIT_PER_S, 0.0)
        return response

    def _apply_retry_after(self, attempt: Attempt, retry_after_us: int, state: CallState) -> None:
        if retry_after_us:
            state.retry_after_us = retry_after_us
            attempt.apply_retry_after(retry_after_us)  # from now on, though the body may take its time

    async def _drain(self, exchange: Exchange, endpoint: Endpoint, state: CallState) -> None:
        """Read the rest of a response with status 200, which counts for nothing but the connection.

        It may take `DRAIN_TIMEOUT_S` seconds: a head or body without an end would turn a delivery into a
        time-out, and a payment that was made into a failed one.
        """
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            try:
                await self._read_response(exchange, state)
                await exchange.read_to_end()
            except (OSError, ValueError):
                return
            self._keep(exchange, endpoint, state)

    def _keep(self, exchange: Exchange, endpoint: Endpoint, state: CallState) -> None:
        if exchange.reusable:
            self._give_back(endpoint, state)

    # --- health checks, and the end of an endpoint ---------------------------------------------------

    async def check_health(self, endpoint: Endpoint, check_before_write: Callable[[], str]) -> AttemptResult:
        """Ask an endpoint for its health by `GET /-/healthy`.

        Args:
            endpoint: The endpoint.
            check_before_write: Asked right before the first byte; returns why nothing may be written, or "".
        """
        state = CallState()
        try:
            return await self._check_health(endpoint, check_before_write, state)
        except ValueError as error:
            return AttemptResult(Outcome.ERROR, note=f"spoilt: {error}"[:MAX_NOTE])
        except OSError as error:
            return AttemptResult(Outcome.CONNECT_FAILED, note=str(error))
        finally:
            if state.connection is not None:
                state.connection.close()

    async def _check_health(
        self, endpoint: Endpoint, check_before_write: Callable[[], str], state: CallState
    ) -> AttemptResult:
        connection = await self._open(endpoint, state)
        reason = check_before_write()
        if reason:
            return AttemptResult(Outcome.NOT_SENT, note=reason)
        exchange = Exchange(connection)
        await exchange.send_request("GET", HEALTH_PATH, endpoint.address)
        if await exchange.read_status() == 200:
            await self._drain(exchange, endpoint, state)
            return AttemptResult(Outcome.OK)
        result = result_of(await exchange.read_response())
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            await exchange.read_to_end()
            self._keep(exchange, endpoint, state)
        return result

    def disconnect(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""
        self.pool.disconnect(endpoint)

    forget = disconnect


def _bundle_result(response: Response, size: int, retry_after_us: int) -> AttemptResult:
    """What the status code of a call's response says of each message that has no result of its own."""
    if response.status in (400, 413):
        log("bundle_refused", status=response.status, size=size)
        return AttemptResult(Outcome.OVERLOADED, retry_after_us, note=str(response.status))  # none has run
    return result_of(response)
