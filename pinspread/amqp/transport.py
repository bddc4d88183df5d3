"""The transport to endpoints that are AMQP 0-9-1 brokers.

Each broker has one connection with publisher confirms, and each attempt is published once. An ack proves that
the message was delivered, a return as unroutable that it never ran; after a nack it may have run. If the
connection is lost before the last byte of a publish is written, the message never ran; after that, it may
have run.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from pinspread.amqp.broker_connection import BrokerConnection, blocked_result
from pinspread.amqp.errors import AmqpError
from pinspread.amqp.pending_confirm import PendingConfirm
from pinspread.core.clock import Clock
from pinspread.core.messages import Attempt, AttemptResult, Endpoint
from pinspread.core.time_units import US_PER_S
from pinspread.policy.events import Outcome
from pinspread.policy.settings import Idempotency
from pinspread.sockets import dial

HEARTBEAT_S = 10
GUEST_LOGIN = "\0guest\0guest"  # the PLAIN response of the specification's default user


class BrokerTransport:
    """Publishes attempts to brokers.

    Args:
        clock: The clock of the process.
        tasks: Runs the tasks that read from the connections.
        connect_timeout_us: How long a connection may take to open, in microseconds.
        login: The response to the PLAIN mechanism.
        heartbeat_s: The longest heartbeat interval, in seconds.

    Attributes:
        connections: The connections by endpoint id; some may have been lost since they were opened.
        connect_timeout_us: As given; a reload may change it.
        login: As given; a reload may change it, for connections that are opened later.
        connect_locks: Locks held while a connection is opened, by endpoint id.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: TaskGroup,
        connect_timeout_us: int,
        login: str = GUEST_LOGIN,
        heartbeat_s: int = HEARTBEAT_S,
    ) -> None:
        self.connections: dict[str, BrokerConnection] = {}
        self.connect_locks: dict[str, anyio.Lock] = {}
        self._clock = clock
        self._tasks = tasks
        self.connect_timeout_us = connect_timeout_us
        self.login = login
        self._heartbeat_s = heartbeat_s

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Publish once, and wait for the confirm."""
        confirm = PendingConfirm()
        broker: BrokerConnection | None = None
        try:
            with anyio.move_on_after(self._seconds_until(attempt.ends_us())):
                broker = await self._connect(attempt.endpoint)
                await broker.unblocked.wait()
                return await broker.publish(attempt, confirm)
        except (OSError, TimeoutError, AmqpError) as error:
            outcome = Outcome.RESET if confirm.written else Outcome.CONNECT_FAILED
            return AttemptResult(outcome, note=str(error))
        return _timed_out(attempt, confirm, broker)

    async def check_health(self, endpoint: Endpoint, check_before_write: Callable[[], str]) -> AttemptResult:
        """Check whether the connection to a broker is up and not blocked.

        Args:
            endpoint: The broker.
            check_before_write: Returns a reason not to check; empty if there is none.
        """
        reason = check_before_write()
        if reason:
            return AttemptResult(Outcome.NOT_SENT, note=reason)
        try:
            broker = await self._connect(endpoint)
        except (OSError, TimeoutError, AmqpError) as error:
            return AttemptResult(Outcome.CONNECT_FAILED, note=str(error))
        return AttemptResult(Outcome.OK if broker.unblocked.is_set() else Outcome.OVERLOADED)

    def disconnect(self, endpoint: Endpoint) -> None:
        """Close the connection to a broker if no publish is pending on it."""
        broker = self.connections.get(endpoint.id)
        if broker is not None and not broker.pending:
            broker.close("not needed any more")

    def forget(self, endpoint: Endpoint) -> None:
        """Forget a broker that has been removed; its connection ends with the last pending publish."""
        broker = self.connections.pop(endpoint.id, None)
        self.connect_locks.pop(endpoint.id, None)
        if broker is not None:
            broker.delist()

    def _seconds_until(self, time_us: int) -> float:
        return max(0, time_us - self._clock.now()) / US_PER_S

    async def _connect(self, endpoint: Endpoint) -> BrokerConnection:
        """Return the connection to a broker; it is opened if there is none."""
        async with self.connect_locks.setdefault(endpoint.id, anyio.Lock()):
            broker = self.connections.get(endpoint.id)
            if broker is not None and broker.reaches(endpoint):
                return broker
            if broker is not None:
                broker.delist()
            with anyio.fail_after(self.connect_timeout_us / US_PER_S):
                broker = await self._open(endpoint)
            self.connections[endpoint.id] = broker
            self._tasks.start_soon(broker.run)
            return broker

    async def _open(self, endpoint: Endpoint) -> BrokerConnection:
        connection = await dial(endpoint.address)
        try:
            broker = BrokerConnection(endpoint, connection, self._clock)
            await broker.open(self.login, self._heartbeat_s)
        except BaseException:
            connection.close()
            raise
        return broker


def _timed_out(attempt: Attempt, confirm: PendingConfirm, broker: BrokerConnection | None) -> AttemptResult:
    """Return the result of an attempt that has timed out; a result proven by then is kept."""
    proven = confirm.proven_result()
    if proven is not None:
        return proven
    if confirm.written:
        if broker is not None and _may_go_again(attempt):
            # The publish is live for as long as its connection is. The next attempt must not be beside it.
            broker.close("a publish was not confirmed in time")
        return AttemptResult(Outcome.TIMEOUT)
    if not confirm.started and broker is not None and not broker.closed_reason:
        return blocked_result()
    return AttemptResult(Outcome.CONNECT_FAILED, note="not written in time")


def _may_go_again(attempt: Attempt) -> bool:
    """Return whether the message may be sent again though this attempt may have run."""
    rules = attempt.message.rules
    return rules is not None and rules.traffic_class.effect is not Idempotency.NOT_IDEMPOTENT
