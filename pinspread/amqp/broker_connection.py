"""One connection to a broker, with one channel in confirm mode."""

import anyio
from pamqp import commands, heartbeat
from pamqp.common import FieldTable

from pinspread.amqp import headers as names
from pinspread.amqp.content import ContentAssembler, ReceivedMethod
from pinspread.amqp.errors import AmqpError
from pinspread.amqp.frame_stream import FrameStream
from pinspread.amqp.frames import FRAME_MAX, PROTOCOL_HEADER, Payload, marshal_content
from pinspread.amqp.pending_confirm import PendingConfirm
from pinspread.core.clock import Clock
from pinspread.core.log import log
from pinspread.core.messages import Attempt, AttemptResult, Endpoint
from pinspread.core.time_units import US_PER_MS
from pinspread.policy.events import Outcome
from pinspread.sockets import Connection

CONNECTION_CHANNEL = 0
CHANNEL = 1  # number of the only channel that is opened
CHANNEL_MAX = 1
PERSISTENT = 2  # delivery mode: the message survives a restart of the broker
BLOCKED_RETRY_US = 1_000_000  # wait before a retry; a broker that blocks publishers gives no time
BLOCKED = "the broker blocks publishers"
CLIENT_PROPERTIES: FieldTable = {
    "product": "pinspread",
    "capabilities": {"connection.blocked": True, "publisher_confirms": True, "basic.nack": True},
}
MECHANISM = "PLAIN"
LOCALE = "en_US"
DEFAULT_VIRTUAL_HOST = "/"


def blocked_result() -> AttemptResult:
    """The result of an attempt while the broker blocks publishers."""
    return AttemptResult(Outcome.OVERLOADED, BLOCKED_RETRY_US, note=BLOCKED)


class BrokerConnection:
    """One connection to a broker.

    Args:
        endpoint: The broker, as discovery lists it.
        connection: The TCP connection.
        clock: The clock of the process.

    Attributes:
        address: The broker's `host:port` when the connection was opened.
        virtual_host: The virtual host that the connection was opened to.
        stream: The frames of the connection.
        pending: The publishes that wait for their confirms, by their delivery tags.
        closed_reason: Why the connection is closed; empty while it is open.
        delisted: Whether discovery no longer lists the broker, or with another address or virtual host; the
            connection then closes after its last pending publish.
        unblocked: Cleared while the broker blocks publishers; also set on close, to wake waiting attempts.
    """

    def __init__(self, endpoint: Endpoint, connection: Connection, clock: Clock) -> None:
        self.address = endpoint.address
        self.virtual_host = _virtual_host(endpoint)
        self.stream = FrameStream(connection, clock)
        self.pending: dict[int, PendingConfirm] = {}
        self.closed_reason = ""
        self.delisted = False
        self.unblocked = anyio.Event()
        self.unblocked.set()
        self._endpoint_id = endpoint.id
        self._clock = clock
        self._published = 0  # the delivery tag of the latest publish
        self._heartbeat_s = 0
        self._contents = ContentAssembler()

    def reaches(self, endpoint: Endpoint) -> bool:
        """Return whether publishes to the broker, as it is listed now, may be made on this connection.

        Exchange and routing key belong to a publish, so a change of these needs no other connection.
        """
        listed = endpoint.address, _virtual_host(endpoint)
        return (self.address, self.virtual_host) == listed and not self.closed_reason

    async def open(self, login: str, heartbeat_s: int) -> None:
        """Open the AMQP connection, and a channel in confirm mode.

        Args:
            login: The response to the PLAIN mechanism.
            heartbeat_s: The longest heartbeat interval, in seconds; the broker may ask for a shorter one.

        Raises:
            OSError: The broker closes the connection.
            AmqpError: The broker violates the protocol.
        """
        stream = self.stream
        await stream.connection.write(PROTOCOL_HEADER)
        await stream.read_method("Connection.Start")
        await stream.send(commands.Connection.StartOk(CLIENT_PROPERTIES, MECHANISM, login, LOCALE))
        tune = await stream.read_method("Connection.Tune")
        assert isinstance(tune, commands.Connection.Tune)
        stream.frame_max = min(tune.frame_max or FRAME_MAX, FRAME_MAX)
        self._heartbeat_s = min(tune.heartbeat, heartbeat_s) if tune.heartbeat else heartbeat_s
        await stream.send(commands.Connection.TuneOk(CHANNEL_MAX, stream.frame_max, self._heartbeat_s))
        await stream.send(commands.Connection.Open(self.virtual_host))
        await stream.read_method("Connection.OpenOk")
        await stream.send(commands.Channel.Open(), CHANNEL)
        await stream.read_method("Channel.OpenOk")
        await stream.send(commands.Confirm.Select(), CHANNEL)
        await stream.read_method("Confirm.SelectOk")

    # --- publishing -------------------------------------------------------------------------------------

    async def publish(self, attempt: Attempt, confirm: PendingConfirm) -> AttemptResult:
        """Publish a message, and wait for the result.

        An error or a cancellation during the write closes the connection.

        Args:
            attempt: The attempt.
            confirm: Tracks the progress of the publish, for a caller that stops waiting.

        Raises:
            OSError: The connection is lost, or was lost before.
        """
        async with self.stream.lock:
            self._check_open()
            if not self.unblocked.is_set():
                return blocked_result()
            reason = attempt.check_before_write()
            if reason:
                return AttemptResult(Outcome.NOT_SENT, note=reason)
            await self._write(attempt, confirm)
        return await confirm.wait()

    def _check_open(self) -> None:
        """Raise ConnectionError if the connection is closed, or the broker has just closed it."""
        connection = self.stream.connection
        if not self.closed_reason and not connection.is_idle() and connection.is_finished():
            self.close("closed by the broker")
        if self.closed_reason:
            raise ConnectionError(self.closed_reason)

    async def _write(self, attempt: Attempt, confirm: PendingConfirm) -> None:
        self._published += 1
        confirm.started = True
        confirm.key = attempt.message.id, attempt.number
        self.pending[self._published] = confirm
        connection = self.stream.connection
        data = self._marshal(attempt)
        connection.unsent_bytes = len(data)
        try:
            await connection.write(data)
        except BaseException:
            # If the connection stayed open, the broker would read the next publish as the rest of this one.
            self.close("a publish was cut short")
            raise
        finally:
            confirm.written = not connection.unsent_bytes

    def _marshal(self, attempt: Attempt) -> bytes:
        """Encode a publish; it is mandatory, so that the broker returns an unroutable message."""
        message = attempt.message
        remaining_us = message.deadline_unix_us - self._clock.unix(self._clock.now())
        headers: FieldTable = {
            names.CLASS: message.class_name,
            names.TENANT: message.tenant,
            names.ATTEMPT: attempt.number,
        }
        if message.idempotency_key:
            headers[names.IDEMPOTENCY_KEY] = message.idempotency_key
        if message.key:
            headers[names.KEY] = f"{message.key:016x}"
        properties = commands.Basic.Properties(
            headers=headers,
            delivery_mode=PERSISTENT,
            message_id=message.id,
            expiration=str(max(1, remaining_us // US_PER_MS)),
        )
        # The attempt's endpoint has the route that discovery lists now; the connection may be older.
        route = attempt.endpoint.route
        exchange = route.get("exchange", "")
        routing_key = route.get("routing_key", f"partner.{message.destination}")
        method = commands.Basic.Publish(0, exchange, routing_key, mandatory=True)
        return marshal_content(method, properties, message.body, CHANNEL, self.stream.frame_max)

    # --- frames from the broker -------------------------------------------------------------------------

    async def run(self) -> None:
        """Handle frames from the broker until the connection is closed."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._exchange_heartbeats, tasks.cancel_scope)
                await self._read_frames()
                tasks.cancel_scope.cancel()
        finally:
            self.close(self.closed_reason or "the process ends")

    async def _exchange_heartbeats(self, scope: anyio.CancelScope) -> None:
        try:
            await self.stream.exchange_heartbeats(self._heartbeat_s)
        except OSError as error:
            self.close(str(error))
        scope.cancel()

    async def _read_frames(self) -> None:
        while not self.closed_reason:
            try:
                channel, payload = await self.stream.read_frame()
                await self._handle(channel, payload)
            except (OSError, AmqpError) as error:
                self.close(str(error))

    async def _handle(self, channel: int, payload: Payload) -> None:
        if isinstance(payload, heartbeat.Heartbeat):
            return
        if channel == CONNECTION_CHANNEL:
            await self._handle_on_connection(payload)
            return
        received = self._contents.feed(payload)
        if received is not None:
            await self._handle_on_channel(received)

    async def _handle_on_connection(self, payload: Payload) -> None:
        if isinstance(payload, commands.Connection.Blocked):
            log("broker_blocked", endpoint=self._endpoint_id, reason=payload.reason)
            if self.unblocked.is_set():
                self.unblocked = anyio.Event()
        elif isinstance(payload, commands.Connection.Unblocked):
            self.unblocked.set()
        elif isinstance(payload, commands.Connection.Close):
            await self.stream.send(commands.Connection.CloseOk())
            self.close(f"closed by the broker: {payload.reply_code} {payload.reply_text}")

    async def _handle_on_channel(self, received: ReceivedMethod) -> None:
        method = received.method
        if isinstance(method, commands.Basic.Return):
            self._mark_returned(received.properties)
        elif isinstance(method, commands.Basic.Ack | commands.Basic.Nack):
            self._confirm(method)
        elif isinstance(method, commands.Channel.Close):
            await self.stream.send(commands.Channel.CloseOk(), CHANNEL)
            self.close(f"channel closed by the broker: {method.reply_code} {method.reply_text}")

    def _mark_returned(self, properties: commands.Basic.Properties | None) -> None:
        """Mark a publish as returned as unroutable; the broker sends its confirm after the return."""
        assert properties is not None  # the assembler passes a return on only with its content
        key = properties.message_id, (properties.headers or {}).get(names.ATTEMPT)
        for confirm in self.pending.values():
            if confirm.key == key:
                confirm.returned = True

    def _confirm(self, method: commands.Basic.Ack | commands.Basic.Nack) -> None:
        tag = method.delivery_tag or 0
        tags = (
            [pending_tag for pending_tag in self.pending if pending_tag <= tag] if method.multiple else [tag]
        )
        unwritten = [t for t in tags if t in self.pending and not self.pending[t].written]
        if tag > self._published or unwritten:
            # The broker counts differently, so none of its confirms can be matched to a publish any more.
            self.close(f"expected confirms of publishes up to {self._published} in full, got one of {tag}")
            return
        for pending_tag in tags:
            confirm = self.pending.pop(pending_tag, None)
            if confirm is not None:
                confirm.confirm(isinstance(method, commands.Basic.Ack))
        self.close_if_unused()

    # --- closing ----------------------------------------------------------------------------------------

    def delist(self) -> None:
        """Close the connection once no publish is pending, as discovery no longer lists the broker so."""
        self.delisted = True
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close the connection if discovery no longer lists the broker and no publish is pending."""
        if self.delisted and not self.pending and not self.closed_reason:
            self.close("no longer listed by discovery")

    def close(self, reason: str) -> None:
        """Close the connection, and resolve all pending publishes."""
        if not self.closed_reason:
            self.closed_reason = reason
            log(
                "broker_connection_closed",
                endpoint=self._endpoint_id,
                reason=reason,
                unconfirmed=len(self.pending),
            )
            anyio.notify_closing(self.stream.connection.sock)
            self.stream.connection.close()
        for confirm in self.pending.values():
            confirm.connection_closed(reason)
        self.pending.clear()
        self.unblocked.set()


def _virtual_host(endpoint: Endpoint) -> str:
    return endpoint.route.get("vhost", DEFAULT_VIRTUAL_HOST)
