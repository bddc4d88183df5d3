"""Next hops that are AMQP 0-9-1 brokers: one connection each, publisher confirms, and no second publish.

What a broker's word proves: ack, delivered; an unroutable return, never ran; nack, it may have run; the
connection lost before a publish's last byte, never ran, and after it, it may have run.
"""

import anyio
from pamqp import commands, heartbeat

from pinspread.amqp import frames
from pinspread.amqp.errors import AmqpError
from pinspread.core.log import log
from pinspread.core.messages import Attempt, AttemptResult, Endpoint
from pinspread.policy.events import Outcome
from pinspread.sockets import dial

HEARTBEAT_S = 10
BLOCKED_WAIT_US = 1_000_000  # a broker that blocks publishers tells no time: look again after this
GUEST_LOGIN = "\0guest\0guest"  # the PLAIN response that the specification's default user has


class BrokerTransport:
    """Publishes branches to brokers."""

    def __init__(self, clock, tasks, dial_us, login=GUEST_LOGIN, heartbeat_s=HEARTBEAT_S):
        self.clock = clock
        self.login = login
        self.tasks = tasks
        self.dial_us = dial_us
        self.heartbeat_s = heartbeat_s
        self.links = {}  # next hop id -> BrokerConnection
        self.dialling = {}  # next hop id -> Lock

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Publish once and wait for the confirm."""
        waiter = PendingConfirm()
        try:
            with anyio.move_on_after(self._seconds_to(attempt.ends_us())):
                link = await self._link(attempt.endpoint)
                await link.unblocked.wait()
                return await link.publish(attempt, waiter)
            if waiter.outcome or waiter.returned:  # told just before the time was up, and proven
                return waiter.outcome or AttemptResult(Outcome.OVERLOADED, note="returned as unroutable")
            if waiter.written:
                return AttemptResult(Outcome.TIMEOUT)
            link = self.links.get(attempt.endpoint.id)
            if not waiter.tried and link is not None and not link.lost:
                return AttemptResult(Outcome.OVERLOADED, BLOCKED_WAIT_US, note="the broker blocks publishers")
            return AttemptResult(Outcome.CONNECT_FAILED, note="not written in time")
        except (OSError, TimeoutError, AmqpError) as error:
            verdict = Outcome.RESET if waiter.written else Outcome.CONNECT_FAILED
            return AttemptResult(verdict, note=str(error))

    async def check_health(self, endpoint: Endpoint, check_before_write) -> AttemptResult:
        """Whether its connection is up and not blocked."""
        why = check_before_write()
        if why:
            return AttemptResult(Outcome.NOT_SENT, note=why)
        try:
            link = await self._link(endpoint)
        except (OSError, TimeoutError, AmqpError) as error:
            return AttemptResult(Outcome.CONNECT_FAILED, note=str(error))
        return AttemptResult(Outcome.OK if link.unblocked.is_set() else Outcome.OVERLOADED)

    def disconnect(self, endpoint: Endpoint):
        """Close its connection if nothing is out on it."""
        link = self.links.get(endpoint.id)
        if link is not None and not link.waiters:
            link.drop("not needed any more")

    def forget(self, endpoint: Endpoint):
        """It is gone: its connection ends with the last publish that is out on it."""
        link = self.links.pop(endpoint.id, None)
        self.dialling.pop(endpoint.id, None)
        if link is not None:
            link.gone = True
            link.end_if_unused()

    def _seconds_to(self, at_us):
        return max(0, at_us - self.clock.now()) / 1_000_000

    async def _link(self, endpoint):
        """The connection to a broker, opened if there is none."""
        async with self.dialling.setdefault(endpoint.id, anyio.Lock()):
            link = self.links.get(endpoint.id)
            if link is not None and link.address == endpoint.address and not link.lost:
                return link
            if link is not None:
                link.drop("its address has changed")
            with anyio.fail_after(self.dial_us / 1_000_000):
                connection = await dial(endpoint.address)
                try:
                    link = BrokerConnection(endpoint, connection, self.clock)
                    await link.greet(self.login, self.heartbeat_s)
                except BaseException:
                    connection.close()
                    raise
            self.links[endpoint.id] = link
            self.tasks.start_soon(link.run)
            return link


class PendingConfirm:
    """A publish that waits for its confirm."""

    __slots__ = ("done", "id", "outcome", "returned", "tried", "written")

    def __init__(self):
        self.id = None  # message and attempt, as a return names them
        self.tried = False  # its first byte
        self.written = False  # its last byte
        self.returned = False
        self.outcome = None
        self.done = anyio.Event()

    def end(self, verdict, note=""):
        if self.outcome is None:
            self.outcome = AttemptResult(verdict, note=note)
            self.done.set()


class BrokerConnection:
    """One connection to a broker, with one channel in confirm mode."""

    def __init__(self, endpoint, connection, clock):
        self.address = endpoint.address
        self.route = endpoint.route
        self.endpoint = endpoint.id
        self.clock = clock
        self.wire = frames.FrameStream(connection, clock)
        self.waiters = {}  # delivery tag -> PendingConfirm
        self.published = 0
        self.lost = ""
        self.gone = False  # not listed any more
        self.heartbeat_s = 0
        self.unblocked = anyio.Event()
        self.unblocked.set()

    async def greet(self, login, heartbeat_s):
        """Open the connection and a channel in confirm mode."""
        wire = self.wire
        await wire.connection.write(frames.PROTOCOL_HEADER)
        await wire.method("Connection.Start")
        capabilities = {"connection.blocked": True, "publisher_confirms": True, "basic.nack": True}
        properties = {"product": "pinspread", "capabilities": capabilities}
        await wire.send(commands.Connection.StartOk(properties, "PLAIN", login, "en_US"))
        tune = await wire.method("Connection.Tune")
        wire.frame_max = min(tune.frame_max or frames.FRAME_MAX, frames.FRAME_MAX)
        self.heartbeat_s = min(tune.heartbeat, heartbeat_s) if tune.heartbeat else heartbeat_s
        await wire.send(commands.Connection.TuneOk(1, wire.frame_max, self.heartbeat_s))
        await wire.send(commands.Connection.Open(self.route.get("vhost", "/")))
        await wire.method("Connection.OpenOk")
        await wire.send(commands.Channel.Open(), 1)
        await wire.method("Channel.OpenOk")
        await wire.send(commands.Confirm.Select(), 1)
        await wire.method("Confirm.SelectOk")

    async def publish(self, attempt, waiter) -> AttemptResult:
        """Write one publish and wait for its end; whatever cuts the write short ends the connection."""
        message = attempt.message
        async with self.wire.lock:
            if self.lost:
                raise ConnectionError(self.lost)
            if not self.wire.connection.is_idle() and self.wire.connection.is_finished():
                self.drop("closed by the broker")
                raise ConnectionError(self.lost)
            if not self.unblocked.is_set():
                return AttemptResult(Outcome.OVERLOADED, BLOCKED_WAIT_US, note="the broker blocks publishers")
            why = attempt.check_before_write()
            if why:
                return AttemptResult(Outcome.NOT_SENT, note=why)
            self.published += 1
            waiter.tried, waiter.id = True, (message.id, attempt.number)
            self.waiters[self.published] = waiter
            connection = self.wire.connection
            data = self._publish(attempt)
            connection.unsent_bytes = len(data)
            try:
                await connection.write(data)
            except BaseException:
                # Danger: a publish that was cut short would take the next one's bytes for its own.
                self.drop("a publish was cut short")
                raise
            finally:
                waiter.written = not connection.unsent_bytes
        await waiter.done.wait()
        return waiter.outcome

    def _publish(self, attempt):
        t = attempt.message
        left_us = t.deadline_unix_us - self.clock.unix(self.clock.now())
        headers = {"class": t.class_name, "tenant": t.tenant, "attempt": attempt.number}
        if t.idempotency_key:
            headers["idempotency-key"] = t.idempotency_key
        if t.key:
            headers["key"] = f"{t.key:016x}"
        properties = commands.Basic.Properties(
            headers=headers,
            delivery_mode=2,
            message_id=t.id,
            expiration=str(max(1, left_us // 1000)),
        )
        method = commands.Basic.Publish(
            0, self.route.get("exchange", ""), self.route.get("routing_key", f"partner.{t.destination}"), True
        )
        return frames.marshal_content(method, properties, t.body, 1, self.wire.frame_max)

    # --- what the broker says ---------------------------------------------------------------------

    async def run(self):
        """Follow the broker until the connection ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._beat, tasks.cancel_scope)
                await self._follow()
                tasks.cancel_scope.cancel()
        finally:
            self.drop(self.lost or "the courier ends")

    async def _beat(self, scope):
        try:
            await self.wire.beat(self.heartbeat_s)
        except OSError as error:
            self.drop(str(error))
        scope.cancel()

    async def _follow(self):
        contents = frames.ContentAssembler()
        while not self.lost:
            try:
                channel, found = await self.wire.frame()
                if isinstance(found, heartbeat.Heartbeat):
                    continue
                if channel == 0:
                    await self._on_connection(found)
                    continue
                whole = contents.feed(found)
                if whole is not None:
                    await self._on_channel(*whole)
            except (OSError, AmqpError) as error:
                self.drop(str(error))

    async def _on_connection(self, found):
        if isinstance(found, commands.Connection.Blocked):
            log("broker_blocked", hop=self.endpoint, reason=found.reason)
            if self.unblocked.is_set():
                self.unblocked = anyio.Event()
        elif isinstance(found, commands.Connection.Unblocked):
            self.unblocked.set()
        elif isinstance(found, commands.Connection.Close):
            await self.wire.send(commands.Connection.CloseOk())
            self.drop(f"closed by the broker: {found.reply_code} {found.reply_text}")

    async def _on_channel(self, method, properties, _):
        if isinstance(method, commands.Basic.Return):
            # The return of an unroutable publish comes before its confirm.
            for waiter in self.waiters.values():
                if waiter.id == (properties.message_id, (properties.headers or {}).get("attempt")):
                    waiter.returned = True
        elif isinstance(method, commands.Basic.Ack | commands.Basic.Nack):
            self._confirm(method)
        elif isinstance(method, commands.Channel.Close):
            await self.wire.send(commands.Channel.CloseOk(), 1)
            self.drop(f"channel closed by the broker: {method.reply_code} {method.reply_text}")

    def _confirm(self, method):
        tag = method.delivery_tag
        tags = [t for t in self.waiters if t <= tag] if method.multiple else [tag]
        for tag in tags:
            waiter = self.waiters.pop(tag, None)
            if waiter is None:
                continue
            if waiter.returned:
                waiter.end(Outcome.OVERLOADED, "returned as unroutable")
            elif isinstance(method, commands.Basic.Ack):
                waiter.end(Outcome.OK)
            else:
                waiter.end(Outcome.ERROR, "nack")
        self.end_if_unused()

    def end_if_unused(self):
        """Nothing is out on it, and nothing more will go there."""
        if self.gone and not self.waiters and not self.lost:
            self.drop("gone from the list")

    def drop(self, why):
        """The connection is over: what was written in full may have run, the rest never did."""
        if not self.lost:
            self.lost = why
            log("broker_lost", hop=self.endpoint, why=why, out=len(self.waiters))
            anyio.notify_closing(self.wire.connection.sock)
            self.wire.connection.close()
        for waiter in self.waiters.values():
            waiter.end(Outcome.RESET if waiter.written else Outcome.CONNECT_FAILED, why)
        self.waiters.clear()
        self.unblocked.set()
