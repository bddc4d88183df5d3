"""Endpoints on real sockets: the simulation decides on each call; the delays of its network are waits."""

import asyncio
import socket
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from pinspread import sockets
from pinspread.policy.events import Outcome
from pinspread.simulation.destination import Endpoint, ServingState
from pinspread.simulation.engine import MS, SECOND
from pinspread.testbed.loopback import wait_until
from pinspread.testbed.platform_run import PlatformRun
from pinspread.testbed.stand_ins import Answer, HttpStandIn, ReceivedRequest, Response

CALLER_CHECK_S = 0.05  # how often an unanswered call is checked for a caller that is gone
DRAIN_GRACE_NS = 300 * MS  # 250 ms, and 50 ms more for delays of sockets
HEALTH_CHECK_WORK_NS = 5 * MS
HEALTH_CHECK_DRAWS = (0.5, 0.5, 0.5, 0.5)
FOREVER_S = 1e6
LINGER_ZERO = b"\1\0\0\0\0\0\0\0"  # struct linger: on, 0 s; closing then resets the connection
DOWN = (ServingState.CRASHED, ServingState.COLLAPSED)


class IncomingCall:
    """A call that a stand-in received: the simulation's `IncomingCall` on a socket.

    Attributes:
        instance: Number of the calling courier.
        row: The message's row in the scenario; None for a health check.
        work_ns: How long the work takes at the usual pace.
        draws: The call's uniform random numbers.
        abandoned: Whether the caller is gone.
        result: The outcome, with the Retry-After in nanoseconds.
    """

    def __init__(
        self, run: PlatformRun, instance: int, row: int | None, work_ns: int, draws: Sequence[float]
    ) -> None:
        self.run = run
        self.instance = instance
        self.row = row
        self.work_ns = work_ns
        self.draws = draws
        self.abandoned = False
        self.result: asyncio.Future[tuple[Outcome, int]] = asyncio.get_running_loop().create_future()

    def work_started(self) -> None:
        """Count the call as executed; it takes effect from here on."""
        if self.row is not None:
            self.run.executions[self.row] += 1
            self.run.work_done_ns += self.work_ns

    def respond(self, outcome: Outcome, retry_after_ns: int) -> None:
        """Set the outcome that the endpoint answers with."""
        if self.abandoned and outcome is Outcome.OK and self.row is not None:
            self.run.unheard += 1
        if not self.result.done():
            self.result.set_result((outcome, retry_after_ns))

    def reset(self) -> None:
        """Set the outcome to a reset of the connection."""
        if not self.result.done():
            self.result.set_result((Outcome.RESET, 0))


class _Work(NamedTuple):
    """The work that a call requires of its endpoint.

    Attributes:
        row: The message's row in the scenario; None for a health check.
        work_ns: How long the work takes at the usual pace.
        draws: Uniform random numbers: delays of request and response, error, whether Retry-After is given.
    """

    row: int | None
    work_ns: int
    draws: Sequence[float]


class EndpointStandIn(HttpStandIn):
    """One endpoint as one courier reaches it.

    Attributes:
        listening: The cancel scope in which connections are accepted; None before the first.
        over_limit: Open connections above the endpoint's connection limit; their calls are answered with 503.
    """

    def __init__(self, run: PlatformRun, endpoint: Endpoint, courier: int) -> None:
        super().__init__()
        self.run_state = run
        self.endpoint = endpoint
        self.courier = courier
        endpoint.connection_owners.append(self)
        self.address = run.addresses.endpoint(courier, endpoint.id)
        self.listening: anyio.CancelScope | None = None
        self.over_limit: set[sockets.Connection] = set()

    async def listen(self) -> None:
        """Accept connections until cancelled; while the endpoint is down, its address refuses them."""
        while True:
            with anyio.CancelScope() as self.listening:
                sock = sockets.listen(self.address)
                try:
                    await self.run(sock)
                finally:
                    sock.close()
            await wait_until(lambda: self.endpoint.state not in DOWN, FOREVER_S)

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve a connection; reset it if the endpoint is down, mark it if the limit is reached."""
        endpoint = self.endpoint
        if endpoint.state in DOWN:
            reset_connection(connection)
            return
        if endpoint.connection_limit and endpoint.connections >= endpoint.connection_limit:
            self.over_limit.add(connection)
            try:
                await super().serve(connection)
            finally:
                self.over_limit.discard(connection)
            return
        endpoint.connections += 1
        self.run_state.handshakes += 1
        try:
            await super().serve(connection)
        finally:
            endpoint.connections -= 1

    def close_expired(self) -> None:
        """Close idle connections: nothing to do, as each ends by itself when its courier closes it."""

    def connection_lost(self, reset: bool) -> None:
        """Handle the loss of the endpoint: on a reset, reset all its connections and stop listening."""
        if not reset:
            return
        for connection in list(self.open):
            reset_connection(connection)
        if self.listening is not None:
            self.listening.cancel()

    def reply(self, request: ReceivedRequest, connection: sockets.Connection, first: bool) -> Answer:
        """Return the answer that the simulation decides on, after the network's delays."""
        return self._reply(request, connection, first)

    async def _reply(self, request: ReceivedRequest, connection: sockets.Connection, first: bool) -> Response:
        run, endpoint = self.run_state, self.endpoint
        work = self._work(request)
        request_delay_s, response_delay_s = self._delays_s(work)
        # The handshake before a connection's first request takes one round trip more.
        await anyio.sleep(3 * request_delay_s if first else request_delay_s)
        if connection in self.over_limit:
            run.count_outcome(Outcome.OVERLOADED)
            await anyio.sleep(response_delay_s)
            return 503, [("Connection", "close")], b""
        handshake_ns = int(run.model.network.handshake_ms * MS) if first else 0
        call = IncomingCall(run, self.courier, work.row, work.work_ns, work.draws)
        endpoint.destination.arrive(endpoint, call, work.work_ns + handshake_ns)
        result = await self._result(call, connection)
        if result is None:
            return None
        outcome, retry_after_ns = result
        run.count_outcome(outcome)
        if outcome is Outcome.RESET:
            reset_connection(connection)
            return None
        await anyio.sleep(response_delay_s)
        if outcome is Outcome.OK and work.row is not None:
            if peer_closed(connection):
                run.unheard += 1
            else:
                run.record_delivery(work.row, request.headers["request-id"])
        return response_of(outcome, retry_after_ns)

    def _work(self, request: ReceivedRequest) -> _Work:
        if request.method != "POST":
            return _Work(None, HEALTH_CHECK_WORK_NS, HEALTH_CHECK_DRAWS)
        run, scenario = self.run_state, self.run_state.scenario
        row = run.row(request.headers["request-id"])
        drained_ns = run.draining_since.get((self.courier, self.endpoint.id))
        if drained_ns is not None and run.engine.now > drained_ns + DRAIN_GRACE_NS:
            run.calls_after_drain += 1
        draw = int(run.attempts[row]) % scenario.attempt_draws.shape[1]
        run.attempts[row] += 1
        return _Work(row, int(scenario.work_ns[row, draw]), scenario.attempt_draws[row, draw])

    def _delays_s(self, work: _Work) -> tuple[float, float]:
        """The network's delays of the request and of the response, in seconds."""
        run = self.run_state
        delay_s = float(run.scenario.delay_ns[self.endpoint.destination.number - 1]) / SECOND
        jitter = run.model.network.jitter
        request_s, response_s = (delay_s * (1 + jitter * (2 * float(work.draws[n]) - 1)) for n in (0, 1))
        return request_s, response_s

    @staticmethod
    async def _result(call: IncomingCall, connection: sockets.Connection) -> tuple[Outcome, int] | None:
        """Wait for the result of a call; None if its caller disconnects before."""
        # A silent endpoint never answers. Without this check of the connection, a call whose caller has
        # disconnected would count against the endpoint's connection limit forever.
        while not (await asyncio.wait({call.result}, timeout=CALLER_CHECK_S))[0]:
            if peer_closed(connection):
                call.abandoned = True
                return None
        return call.result.result()


def response_of(outcome: Outcome, retry_after_ns: int) -> Response:
    """The response by which a courier learns of an outcome."""
    if outcome is Outcome.OK:
        return 200, [], b""
    if outcome is Outcome.ERROR:
        return 500, [], b""
    if retry_after_ns:
        return 429, [("Retry-After", f"{retry_after_ns / SECOND:.3f}")], b""
    return 503, [], b""


def peer_closed(connection: sockets.Connection) -> bool:
    """Whether the peer has closed the connection, or its process has ended."""
    try:
        return connection.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def reset_connection(connection: sockets.Connection) -> None:
    """Close a connection at once with a TCP reset."""
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    anyio.notify_closing(connection.sock)
    connection.close()
