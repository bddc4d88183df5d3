"""HTTP/1.1 to next hops: one call a connection at a time, a pool, and never a second try by itself."""

import anyio
import h11

from pinspread.core.log import log
from pinspread.core.transactions import Branch, NextHop, Outcome
from pinspread.interface import Verdict
from pinspread.net.sockets import Connection, dial

IDLE_SHARE = (
    0.8  # of the time after which a next hop closes idle connections: written to later, a call is lost
)
SWEEP_S = 0.5
SLOT_S = 0.05


class Exchange:
    """One request and its response on a connection."""

    def __init__(self, connection):
        self.connection = connection
        self.h11 = h11.Connection(h11.CLIENT)
        self.ended = False

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

    async def _event(self):
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ValueError(str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            self.h11.receive_data(await self.connection.read())

    async def response(self):
        """Status and headers of the answer; OSError or ValueError if none comes."""
        while True:
            event = await self._event()
            if type(event) is h11.Response:
                return event.status_code, {bytes(k).lower(): bytes(v) for k, v in event.headers}
            if type(event) is not h11.InformationalResponse:
                raise ValueError(f"no response but {type(event).__name__}")

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
    def reusable(self):
        """Whether another request may follow on this connection."""
        return self.ended and self.h11.their_state is h11.DONE and self.h11.our_state is h11.DONE


class Pool:
    """Idle connections, by next hop; the last one used is taken first, so that spare ones age."""

    def __init__(self, clock, keepalive_us):
        self.clock = clock
        self.most_idle_us = int(keepalive_us * IDLE_SHARE)
        self.idle = {}  # next hop id -> [(address, connection)]

    def take(self, hop: NextHop) -> Connection | None:
        """An idle connection that is still good."""
        kept = self.idle.get(hop.id, [])
        while kept:
            address, connection = kept.pop()
            fresh = self.clock.now() - connection.idle_us < self.most_idle_us
            # Danger: written to a connection that the other side has closed, a call counts as lost.
            if fresh and address == hop.address and connection.quiet():
                return connection
            connection.close()
        return None

    def keep(self, hop: NextHop, connection: Connection):
        """Put back a connection after a whole exchange."""
        connection.idle_us = self.clock.now()
        self.idle.setdefault(hop.id, []).append((hop.address, connection))

    def disconnect(self, hop: NextHop):
        """Close the idle connections to a next hop."""
        for _, connection in self.idle.pop(hop.id, []):
            connection.close()

    def sweep(self):
        """Close what has been idle for long, or was closed by the other side."""
        now_us = self.clock.now()
        for id_, kept in list(self.idle.items()):
            good = []
            for address, connection in kept:
                if now_us - connection.idle_us < self.most_idle_us and connection.quiet():
                    good.append((address, connection))
                else:
                    connection.close()
            self.idle[id_] = good

    async def run(self):
        """Sweep until cancelled."""
        while True:
            await anyio.sleep(SWEEP_S)
            self.sweep()


class HttpTransport:
    """Next hops that take calls by `POST /events`."""

    def __init__(self, clock, pool, dial_us):
        self.clock = clock
        self.pool = pool
        self.dial_us = dial_us

    async def send(self, branch: Branch) -> Outcome:
        """Run one branch; what went wrong before its last byte was written proves that it never ran."""
        state = _Call()
        try:
            with anyio.move_on_after(self._seconds_to(branch.ends_us())):
                return await self._call(branch, state)
            if state.written:
                return Outcome(Verdict.TIMEOUT)
            return Outcome(Verdict.CONNECT_FAILED, note="not written in time")
        except (OSError, ValueError) as error:
            verdict = Verdict.RESET if state.written else Verdict.CONNECT_FAILED
            return Outcome(verdict, note=str(error))
        finally:
            if state.connection is not None:
                state.connection.close()

    def _seconds_to(self, at_us):
        return max(0, at_us - self.clock.now()) / 1_000_000

    async def _open(self, hop, state):
        """A connection that is quiet, from the pool or new."""
        state.connection = self.pool.take(hop)
        if state.connection is None:
            with anyio.fail_after(self.dial_us / 1_000_000):
                state.connection = await dial(hop.address)
            if not state.connection.quiet():
                raise OSError("closed by the next hop before the call")

    async def _call(self, branch, state):
        transaction, hop = branch.transaction, branch.next_hop
        try:
            await self._open(hop, state)
        except TimeoutError:
            return Outcome(Verdict.CONNECT_FAILED, note="dial timed out")
        why = branch.clear()
        if why:
            self.pool.keep(hop, state.connection)
            state.connection = None
            return Outcome(Verdict.MOOT, note=why)
        headers = [("Request-Id", transaction.id)]
        if transaction.idempotency:
            headers.append(("Idempotency-Key", transaction.idempotency))
        headers.append(("Request-Timeout", f"{self._seconds_to(branch.ends_us()):.3f}"))
        exchange = Exchange(state.connection)
        await exchange.request("POST", "/events", hop.address, headers, transaction.body)
        state.written = True
        status, answer = await exchange.response()
        outcome = _outcome(status, answer)
        state.answered = True
        try:
            await exchange.finish()
        except (OSError, ValueError):
            return outcome  # the first line decides
        if exchange.reusable:
            self.pool.keep(hop, state.connection)
            state.connection = None
        if outcome.verdict is Verdict.MOOT and not outcome.over:
            # Danger: a call that was given up holds its slot there until its end is seen; tried again at
            # once, one message would spend all its attempts on the slot of another.
            await anyio.sleep(SLOT_S)
        return outcome

    async def probe(self, hop: NextHop, clear) -> Outcome:
        """`GET /-/healthy`."""
        state = _Call()
        try:
            await self._open(hop, state)
            why = clear()
            if why:
                return Outcome(Verdict.MOOT, note=why)
            exchange = Exchange(state.connection)
            await exchange.request("GET", "/-/healthy", hop.address)
            status, answer = await exchange.response()
            await exchange.finish()
            if exchange.reusable:
                self.pool.keep(hop, state.connection)
                state.connection = None
            return _outcome(status, answer)
        except (OSError, ValueError, TimeoutError) as error:
            return Outcome(Verdict.CONNECT_FAILED, note=str(error))
        finally:
            if state.connection is not None:
                state.connection.close()

    def disconnect(self, hop: NextHop):
        """Close idle connections to it."""
        self.pool.disconnect(hop)


class _Call:
    __slots__ = ("answered", "connection", "written")

    def __init__(self):
        self.connection = None
        self.written = False  # its last byte
        self.answered = False


def _outcome(status, headers) -> Outcome:
    """What a status says of the call."""
    if status == 200:
        return Outcome(Verdict.OK)
    if status == 429:
        return Outcome(Verdict.FULL, wait_us=retry_after_us(headers.get(b"retry-after", b"")))
    if status == 503 and headers.get(b"x-over-slots") == b"1":
        return Outcome(Verdict.MOOT, note="all slots taken")
    if status == 503:
        return Outcome(Verdict.FULL)
    if status == 504:
        return Outcome(Verdict.MOOT, note="all attempts used")
    if status == 410:
        return Outcome(Verdict.MOOT, over=True, note="over")
    if status != 500:
        log("odd_status", status=status)
    return Outcome(Verdict.ERROR, note=str(status))


def retry_after_us(text: bytes) -> int:
    """Seconds with decimals, rounded up to microseconds; 0 if it is no such number."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if not 0 < seconds < 86_400:
        return 0
    return int(seconds * 1_000_000) + 1
