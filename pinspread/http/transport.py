"""HTTP/1.1 to next hops: one call a connection at a time, a pool, and never a second try by itself."""

import re
import time

import anyio
import h11

from pinspread.core.log import log
from pinspread.core.messages import Attempt, AttemptResult, Endpoint
from pinspread.http import bundle
from pinspread.policy.events import Outcome
from pinspread.sockets import Connection, dial

IDLE_SHARE = (
    0.8  # of the time after which a next hop closes idle connections: written to later, a call is lost
)
SWEEP_S = 0.5
SLOT_S = 0.05
REST_S = 0.05  # how long the rest of a 200 may take; without it the connection is closed
MOST_HEAD = 16 * 1024
MOST_ANSWER = 128 * 1024  # bytes of an answer that are read at all
FIRST_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-9][0-9]{2})(?: [^\r\n]*)?\r?")


class MalformedResponseError(ValueError):
    """What came is no answer that can be read, or goes on for ever."""


def first_line(seen) -> int | None:
    """The status that the first line says, past any 1xx answers; None if it is not whole yet."""
    at = 0
    while True:
        end = seen.find(b"\n", at)
        if end < 0:
            if len(seen) - at > MOST_HEAD:
                raise MalformedResponseError("a first line without an end")
            return None
        found = FIRST_LINE.fullmatch(seen, at, end)
        if not found:
            raise MalformedResponseError(f"not a first line: {bytes(seen[at : min(end, at + 40)])!r}")
        if int(found[1]) >= 200:
            return int(found[1])
        end = seen.find(b"\r\n\r\n", at)
        if end < 0:
            if len(seen) - at > MOST_HEAD:
                raise MalformedResponseError("a 1xx answer without an end")
            return None
        at = end + 4


class Exchange:
    """One request and its response on a connection; `most` bounds what is read of the response."""

    def __init__(self, connection, most=MOST_ANSWER):
        self.connection = connection
        self.h11 = h11.Connection(h11.CLIENT, MOST_HEAD)
        self.ended = False
        self.left = most
        self.seen = bytearray()  # until the first line has been found
        self.found = None
        self.read_us = 0  # when the last bytes came, on the monotonic clock

    @staticmethod
    def encode(wire, method, target, host, headers, body):
        """The bytes of a request."""
        head = [("Host", host), *headers]
        if body is not None:
            head.append(("Content-Length", str(len(body))))
        data = wire.send(h11.Request(method=method, target=target, headers=head))
        if body:
            data += wire.send(h11.Data(data=body))
        return data + wire.send(h11.EndOfMessage())

    async def request(self, method, target, host, headers=(), body=None):
        """Write a request."""
        await self.connection.write(self.encode(self.h11, method, target, host, headers, body))

    async def _read(self):
        data = await self.connection.read()
        if not data:
            raise ConnectionResetError("closed before the answer's end")
        if self.left is not None:
            # Danger: an answer that keeps coming would take the core and the memory of all others.
            self.left -= len(data)
            if self.left < 0:
                raise MalformedResponseError("an answer without an end")
        self.h11.receive_data(data)
        return data

    async def _event(self):
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedResponseError(str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            await self._read()

    async def status(self):
        """What the first line says; that much stands whatever comes behind it."""
        while self.found is None:
            self.seen += await self._read()
            self.read_us = time.monotonic_ns() // 1000
            self.found = first_line(self.seen)
        return self.found

    async def response(self):
        """Status and headers of the answer; OSError or ValueError if none comes."""
        while True:
            event = await self._event()
            if type(event) is h11.Response:
                return event.status_code, {bytes(k).lower(): bytes(v) for k, v in event.headers}
            if type(event) is not h11.InformationalResponse:
                raise MalformedResponseError(f"no response but {type(event).__name__}")

    async def data(self):
        """The next piece of the body; None at its end."""
        event = await self._event()
        if type(event) is h11.Data:
            return bytes(event.data)
        self.ended = type(event) is h11.EndOfMessage
        return None

    async def finish(self):
        """Read the body to its end."""
        while await self.data() is not None:
            pass

    @property
    def more(self):
        """What came behind the answer."""
        return self.h11.trailing_data[0]

    @property
    def reusable(self):
        """Whether another request may follow on this connection."""
        # Danger: what came behind this answer, or the rest of it, would answer the next call.
        whole = self.ended and self.h11.their_state is h11.DONE and self.h11.our_state is h11.DONE
        return whole and not self.more


class Pool:
    """Idle connections, by next hop; the last one used is taken first, so that spare ones age."""

    def __init__(self, clock, keepalive_us):
        self.clock = clock
        self.keep_for(keepalive_us)
        self.idle = {}  # next hop id -> [(address, connection)]

    def keep_for(self, keepalive_us):
        """After how long next hops close idle connections."""
        self.most_idle_us = int(keepalive_us * IDLE_SHARE)

    def take(self, endpoint: Endpoint) -> Connection | None:
        """An idle connection that is still good."""
        kept = self.idle.get(endpoint.id, [])
        while kept:
            address, connection = kept.pop()
            fresh = self.clock.now() - connection.idle_since_us < self.most_idle_us
            # Danger: written to a connection that the other side has closed, a call counts as lost.
            if fresh and address == endpoint.address and connection.is_idle():
                return connection
            connection.close()
        return None

    def keep(self, endpoint: Endpoint, connection: Connection):
        """Put back a connection after a whole exchange."""
        if not endpoint.usable:
            connection.close()  # nothing more goes there
            return
        connection.idle_since_us = self.clock.now()
        self.idle.setdefault(endpoint.id, []).append((endpoint.address, connection))

    def disconnect(self, endpoint: Endpoint):
        """Close the idle connections to a next hop."""
        for _, connection in self.idle.pop(endpoint.id, []):
            connection.close()

    def part(self):
        """Give up all that is idle: (next hop's id, address, since when, connection) each."""
        given, self.idle = self.idle, {}
        return [(id_, a, c.idle_since_us, c) for id_, kept in given.items() for a, c in kept]

    def adopt(self, given):
        """Take over what another process has kept idle."""
        for id_, address, idle_us, connection in given:
            connection.idle_since_us = idle_us
            self.idle.setdefault(id_, []).append((address, connection))

    def sweep(self):
        """Close what has been idle for long, or was closed by the other side."""
        now_us = self.clock.now()
        for id_, kept in list(self.idle.items()):
            good = []
            for address, connection in kept:
                if now_us - connection.idle_since_us < self.most_idle_us and connection.is_idle():
                    good.append((address, connection))
                else:
                    connection.close()
            if good:
                self.idle[id_] = good
            else:
                del self.idle[id_]

    async def run(self):
        """Sweep until cancelled."""
        while True:
            await anyio.sleep(SWEEP_S)
            self.sweep()


class HttpTransport:
    """Next hops that take calls by `POST /events`."""

    def __init__(self, clock, pool, dial_us, reports=False):
        self.clock = clock
        self.pool = pool
        self.dial_us = dial_us
        self.reports = reports  # whether answers tell of limits

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Run one branch; what went wrong before its last byte was written proves that it never ran."""
        state = _Call()
        return state.marked(await self._send(attempt.ends_us(), state, self._call, attempt))

    async def send_many(self, attempts: list[Attempt]) -> list[AttemptResult]:
        """Run several branches to one next hop as one call, which ends with the first of their times."""
        state, told = _Call(), {}
        ends_us = min(attempt.ends_us() for attempt in attempts)
        rest = await self._send(ends_us, state, self._call_many, attempts, ends_us, told)
        return [state.marked(told.get(b.message.id) or rest) for b in attempts]

    async def _send(self, ends_us, state, call, *arguments):
        try:
            with anyio.move_on_after(self._seconds_to(ends_us)):
                return await call(state, *arguments)
            if state.proven:
                # Danger: the time may end between the word that proves how it went and what is read or waited
                # for behind it; a delivery, or a call that never ran, would pass for one that may have run.
                return state.proven
            if state.written:
                return AttemptResult(
                    Outcome.TIMEOUT, state.retry_after_us, note=state.heard(self.clock.now())
                )
            return AttemptResult(Outcome.CONNECT_FAILED, note="not written in time")
        except (OSError, ValueError) as error:
            if not state.written:
                return AttemptResult(Outcome.CONNECT_FAILED, note=str(error))
            # Danger: whatever its first line says but 200, an answer that is spoilt proves nothing. The call
            # may have run, and a payment that went again would take effect twice. A wait that it told binds.
            verdict = Outcome.ERROR if isinstance(error, ValueError) else Outcome.RESET
            return AttemptResult(verdict, state.retry_after_us, note=str(error)[:100])
        finally:
            if state.connection is not None:
                state.connection.close()

    def _seconds_to(self, at_us):
        return max(0, at_us - self.clock.now()) / 1_000_000

    async def _open(self, endpoint, state):
        """A connection that is quiet, from the pool or new."""
        state.connection = self.pool.take(endpoint)
        if state.connection is not None:
            state.idle_us = self.clock.now() - state.connection.idle_since_us
        if state.connection is None:
            with anyio.fail_after(self.dial_us / 1_000_000):
                state.connection = await dial(endpoint.address)
            state.opened = True
            if not state.connection.is_idle():
                raise OSError("closed by the next hop before the call")

    async def _call(self, state, attempt):
        message, endpoint = attempt.message, attempt.endpoint
        try:
            await self._open(endpoint, state)
        except TimeoutError:
            return AttemptResult(Outcome.CONNECT_FAILED, note="dial timed out")
        why = attempt.check_before_write()
        if why:
            self.pool.keep(endpoint, state.connection)
            state.connection = None
            return AttemptResult(Outcome.NOT_SENT, note=why)
        headers = [("Request-Id", message.id)]
        if message.idempotency_key:
            headers.append(("Idempotency-Key", message.idempotency_key))
        headers.append(("Request-Timeout", f"{self._seconds_to(attempt.ends_us()):.3f}"))
        exchange = state.exchange = Exchange(state.connection)
        await exchange.request("POST", "/events", endpoint.address, headers, message.body)
        state.written = True
        if await exchange.status() == 200:
            state.proven = AttemptResult(Outcome.OK)
            await self._rest(exchange, endpoint, state)
            return state.proven
        status, answer = await self._response(exchange, state)
        outcome = _outcome(status, answer)
        self._heed(attempt, outcome.retry_after_us, state)
        await exchange.finish()
        more = bytes(exchange.more)
        if more and not more.startswith(b"HTTP/1.1 %d" % status):
            raise MalformedResponseError("its length does not fit")  # or noise, which cannot be told from it
        state.proven = outcome
        self._keep(exchange, endpoint, state)
        if outcome.outcome is Outcome.NOT_SENT and not outcome.no_longer_wanted:
            # Danger: a call that was given up holds its slot there until its end is seen; tried again at
            # once, one message would spend all its attempts on the slot of another.
            await anyio.sleep(SLOT_S)
        return outcome

    async def _call_many(self, state, attempts, ends_us, told):
        """Several branches; `told` takes the outcomes of those that fare by themselves."""
        endpoint = attempts[0].endpoint
        try:
            await self._open(endpoint, state)
        except TimeoutError:
            return AttemptResult(Outcome.CONNECT_FAILED, note="dial timed out")
        written = []
        for attempt in attempts:
            why = attempt.check_before_write()
            if why:
                told[attempt.message.id] = AttemptResult(Outcome.NOT_SENT, note=why)
            else:
                written.append(attempt)
        if not written:
            self.pool.keep(endpoint, state.connection)
            state.connection = None
            return None
        headers = [
            ("Content-Type", "application/json"),
            ("Request-Timeout", f"{self._seconds_to(ends_us):.3f}"),
        ]
        exchange = state.exchange = Exchange(state.connection)
        data = bundle.body([attempt.message for attempt in written])
        await exchange.request("POST", bundle.TARGET, endpoint.address, headers, data)
        state.written = True
        status, answer = await self._response(exchange, state)
        wait_us = retry_after_us(answer.get(b"retry-after", b""))
        self._heed(written[0], wait_us, state)
        pieces = []
        while (piece := await exchange.data()) is not None:
            pieces.append(piece)
        self._keep(exchange, endpoint, state)
        if status == 200:
            ids = [attempt.message.id for attempt in written]
            told |= bundle.ends(b"".join(pieces), ids, wait_us)
            return None
        if status in (400, 413):
            log("bundle_refused", status=status, size=len(written))
            return AttemptResult(Outcome.OVERLOADED, wait_us, note=str(status))  # none has run
        return _outcome(status, answer)

    async def _response(self, exchange, state):
        """Status and headers of an answer; what it reports of limits is kept."""
        status, answer = await exchange.response()
        text = answer.get(b"server-load") if self.reports else None
        if text is not None:
            try:
                found = bundle.report(text.decode("ascii"))
                state.left, state.limit = found.get("x0", 0.0), found.get("x1", 0.0)
            except ValueError as error:
                log("malformed_report", error=str(error))  # the answer counts all the same
        return status, answer

    def _heed(self, attempt, retry_after_us, state):
        if retry_after_us:
            state.retry_after_us = retry_after_us
            attempt.apply_retry_after(retry_after_us)  # binds from now on, though the body may take its time

    async def _rest(self, exchange, endpoint, state):
        """Behind a first line with 200 nothing counts any more, but for the connection."""
        # Danger: a head or body that never ends would turn a delivery into a time-out, and a payment that
        # was made into a failed one.
        with anyio.move_on_after(REST_S):
            try:
                await self._response(exchange, state)
                await exchange.finish()
            except (OSError, ValueError):
                return
            self._keep(exchange, endpoint, state)

    def _keep(self, exchange, endpoint, state):
        if exchange.reusable:
            self.pool.keep(endpoint, state.connection)
            state.connection = None

    async def check_health(self, endpoint: Endpoint, check_before_write) -> AttemptResult:
        """`GET /-/healthy`."""
        state = _Call()
        try:
            await self._open(endpoint, state)
            why = check_before_write()
            if why:
                return AttemptResult(Outcome.NOT_SENT, note=why)
            exchange = Exchange(state.connection)
            await exchange.request("GET", "/-/healthy", endpoint.address)
            if await exchange.status() == 200:
                await self._rest(exchange, endpoint, state)
                return AttemptResult(Outcome.OK)
            status, answer = await exchange.response()
            outcome = _outcome(status, answer)
            with anyio.move_on_after(REST_S):
                await exchange.finish()
                self._keep(exchange, endpoint, state)
            return outcome
        except ValueError as error:
            return AttemptResult(Outcome.ERROR, note=f"spoilt: {error}"[:100])
        except (OSError, TimeoutError) as error:
            return AttemptResult(Outcome.CONNECT_FAILED, note=str(error))
        finally:
            if state.connection is not None:
                state.connection.close()

    def disconnect(self, endpoint: Endpoint):
        """Close idle connections to it."""
        self.pool.disconnect(endpoint)

    forget = disconnect


class _Call:
    __slots__ = (
        "connection",
        "exchange",
        "idle_us",
        "left",
        "limit",
        "opened",
        "proven",
        "retry_after_us",
        "written",
    )

    def __init__(self):
        self.connection = None
        self.idle_us = -1
        self.opened = False
        self.written = False  # its last byte
        self.proven = None  # the outcome, once the answer has shown it
        self.retry_after_us = 0  # told in a head, whatever became of the rest
        self.exchange = None
        self.left = self.limit = 0.0  # as the answer reports

    def marked(self, outcome):
        """An outcome with what its call has shown."""
        outcome.idle_us, outcome.opened = self.idle_us, self.opened
        outcome.limit_remaining, outcome.limit_per_s = self.left, self.limit
        return outcome

    def heard(self, now_us):
        """What had come of the answer when the courier stopped waiting: silence, or a beginning."""
        if not self.exchange.seen:
            return "silent"
        return f"{len(self.exchange.seen)} bytes, the last {(now_us - self.exchange.read_us) // 1000} ms ago"


def _outcome(status, headers) -> AttemptResult:
    """What a status says of the call."""
    if status == 200:
        return AttemptResult(Outcome.OK)
    if status == 429:
        return AttemptResult(
            Outcome.OVERLOADED, retry_after_us=retry_after_us(headers.get(b"retry-after", b""))
        )
    if status == 503 and headers.get(b"x-over-slots") == b"1":
        return AttemptResult(Outcome.NOT_SENT, note="all slots taken")
    if status == 503:
        return AttemptResult(Outcome.OVERLOADED)
    if status == 504:
        return AttemptResult(Outcome.NOT_SENT, note="all attempts used")
    if status == 410:
        return AttemptResult(Outcome.NOT_SENT, no_longer_wanted=True, note="over")
    if status != 500:
        log("odd_status", status=status)
    return AttemptResult(Outcome.ERROR, note=str(status))


def retry_after_us(text: bytes) -> int:
    """Seconds with decimals, rounded up to microseconds; 0 if it is no such number."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if not 0 < seconds < 86_400:
        return 0
    return int(seconds * 1_000_000) + 1
