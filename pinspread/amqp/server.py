"""The AMQP 0-9-1 front: publishers hand transactions in, consumers of `reply-to` hear how they ended.

`basic.ack` says that a transaction is taken on and in the journal; a busy answer is `basic.return`, which
tells when to come back, and then `basic.nack`. Each end is one message to the queue that `reply-to` names,
kept in the journal until a consumer acknowledges it.
"""

from collections import OrderedDict
from hashlib import blake2b
from itertools import count
from secrets import token_hex
from weakref import WeakValueDictionary

import anyio
import anyio.lowlevel
import orjson
from pamqp import base, commands, frame, heartbeat

from pinspread.amqp import frames
from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.core import message_fields
from pinspread.core.log import log
from pinspread.core.messages import FinalResult, Message
from pinspread.errors import RejectedError
from pinspread.sockets import ConnectionLimiter, accept_forever

FRONT_NAME = "amqp"
CHANNEL_MAX = 64
HEARTBEAT_S = 30
GREET_S = 2.0
AT_ONCE = 32  # frames of one session that are handled before others have their turn
CLOSE_S = 1.0
MOST_UNSENT = 4 << 20  # bytes that a client may leave unread before its connection is ended
# Clients look here for what goes beyond the specification before they use it.
PROPERTIES = {"product": "pinspread", "capabilities": {"publisher_confirms": True, "basic.nack": True}}
HEADERS = ("class", "tenant", "key", "dest", "idempotency-key")


def key_number(text):
    """Hexadecimal keys are the same on all fronts; others are hashed to as many bits."""
    try:
        return message_fields.parse_key(text.encode())
    except message_fields.InvalidFieldError:
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) or 1


class AmqpFront:
    """Connections of publishers and consumers, and the queues of ends."""

    reports_delivery = True
    ordered_by_notice = False  # a key goes on once the end is in the journal: consumers may be away for long

    def __init__(self, engine, heartbeat_s=HEARTBEAT_S, room=None):
        self.engine = engine
        self.room = room or ConnectionLimiter(engine.clock)
        self.heartbeat_s = heartbeat_s
        # Danger: clients name queues of their own; one that holds and serves nothing goes by itself.
        self.queues = WeakValueDictionary()
        self.sessions = set()

    async def run(self, sock):
        """Accept and serve until cancelled; the socket is the caller's."""
        async with anyio.create_task_group() as tasks:
            await accept_forever(sock, tasks, self.serve, self.room)

    async def serve(self, connection, leg):
        """One caller leg."""
        session = Session(self, connection, leg)
        self.sessions.add(session)
        try:
            await session.run()
        except Exception as error:
            # Danger: one client's trouble would end the process and all that it serves.
            log("fault", where="amqp session", error=repr(error))
        finally:
            self.sessions.discard(session)

    async def close(self):
        """The process ends: say so on all connections."""
        for session in list(self.sessions):
            session.post(0, commands.Connection.Close(ReplyCode.CONNECTION_FORCED, "shutting down", 0, 0))
        await anyio.sleep(0.05)

    def queue(self, name):
        """The queue of that name, made at first sight."""
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = FinalResultQueue(name)
        return queue

    async def notify(self, message: Message, final: FinalResult):
        """Queue the end; returns when a consumer has acknowledged it."""
        end = PendingResult(message.id, final)
        queue = self.queue(message.reply["to"])
        queue.put(end)
        await end.heard.wait()


class PendingResult:
    """One final answer on its way to a consumer."""

    def __init__(self, id_, final):
        self.id = id_
        self.final = final
        self.heard = anyio.Event()
        self.again = False  # a consumer had it before

    def content(self):
        """Its properties and body."""
        state = self.final.state.name.lower()
        told = {"id": self.id, "state": state}
        if self.final.retry_after_ms:
            told["after_ms"] = self.final.retry_after_ms
        properties = commands.Basic.Properties(
            content_type="application/json",
            delivery_mode=2,
            correlation_id=self.id,
            message_type=state,
            headers={name: value for name, value in told.items() if name != "id"},
        )
        return properties, orjson.dumps(told)


class FinalResultQueue:
    """Ends that wait for a consumer, in order."""

    def __init__(self, name):
        self.name = name
        self.waiting = OrderedDict()  # End -> True
        self.consumers = []

    def put(self, end):
        """Another end."""
        self.waiting[end] = True
        self.dispatch()

    def back(self, ends):
        """Ends that a consumer did not acknowledge come first again, in their order."""
        for end in reversed(ends):
            end.again = True
            self.waiting[end] = True
            self.waiting.move_to_end(end, last=False)
        self.dispatch()

    def dispatch(self):
        """Deliver while there is a consumer with room, in turns."""
        while self.waiting:
            consumer = next((c for c in self.consumers if c.has_room()), None)
            if consumer is None:
                return
            self.consumers.remove(consumer)
            self.consumers.append(consumer)
            end, _ = self.waiting.popitem(last=False)
            consumer.deliver(end)


class Consumer:
    """A subscription of one channel to one queue."""

    def __init__(self, channel, tag, queue):
        self.channel = channel
        self.tag = tag
        self.queue = queue
        self.out = 0
        self.prefetch = channel.prefetch

    def has_room(self):
        return not self.prefetch or self.out < self.prefetch

    def deliver(self, end):
        """Write an end; it stays owed until its tag is acknowledged."""
        channel = self.channel
        tag = next(channel.tags)
        channel.unheard[tag] = (self, end)
        self.out += 1
        method = commands.Basic.Deliver(self.tag, tag, end.again, "", self.queue.name)
        properties, body = end.content()
        channel.session.post_content(channel.number, method, properties, body)


class Channel:
    """One channel of a connection."""

    def __init__(self, session, number):
        self.session = session
        self.number = number
        self.contents = frames.ContentAssembler(message_fields.MAX_BODY_BYTES)
        self.confirms = False
        self.published = 0
        self.prefetch = 0
        self.tags = count(1)
        self.unheard = OrderedDict()  # delivery tag -> (consumer, end)
        self.consumers = {}
        self.closing = False

    def close(self):
        """Stop consuming; what was not acknowledged is owed to others."""
        for consumer in self.consumers.values():
            consumer.queue.consumers.remove(consumer)
        self.consumers = {}
        by_queue = {}
        for consumer, end in self.unheard.values():
            by_queue.setdefault(consumer.queue, []).append(end)
        self.unheard.clear()
        for queue, ends in by_queue.items():
            queue.back(ends)

    def settle(self, tag, multiple):
        """Take the deliveries that a tag names out of those not acknowledged."""
        if multiple:
            tags = [t for t in self.unheard if t <= tag or not tag]
        else:
            tags = [tag] if tag in self.unheard else []
        if not tags and not (multiple and not tag):
            raise AmqpError(ReplyCode.PRECONDITION_FAILED, f"unknown delivery tag {tag}")
        found = [self.unheard.pop(t) for t in tags]
        for consumer, _ in found:
            consumer.out -= 1
        return found


class Session:
    """One connection of a client."""

    def __init__(self, front, connection, leg):
        self.front = front
        self.leg = leg
        self.engine = front.engine
        self.connection = connection
        self.wire = frames.FrameStream(connection, front.engine.clock)
        self.channels = {}
        self.heartbeat_s = front.heartbeat_s
        self.out = bytearray()
        self.wake = anyio.Event()

    # --- writing ----------------------------------------------------------------------------------

    def post(self, channel, method):
        """Have a method written."""
        self._post(frame.marshal(method, channel))

    def post_content(self, channel, method, properties, body):
        """Have a method with its content written."""
        self._post(frames.marshal_content(method, properties, body, channel, self.wire.frame_max))

    def _post(self, data):
        self.out += data
        self.wake.set()
        if len(self.out) > MOST_UNSENT:
            # Danger: a client that does not read would have all its answers kept in memory.
            log("amqp_lost", error="the client does not read")
            self.connection.shutdown()

    async def _flush(self):
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.out:
                data, self.out = bytes(self.out), bytearray()
                await self.wire.write(data)

    # --- reading ----------------------------------------------------------------------------------

    async def run(self):
        """Serve the connection to its end."""
        try:
            if not await self._greet():
                return
            self.leg.has_heartbeat = True  # heartbeats tell when the client is gone
            async with anyio.create_task_group() as tasks:
                for work in (self._guard(self._flush), self._guard(self.wire.beat, self.heartbeat_s)):
                    tasks.start_soon(work, tasks.cancel_scope)
                await self._guard(self._follow)(tasks.cancel_scope)
        finally:
            for channel in self.channels.values():
                channel.close()
            self.connection.close()

    def _guard(self, work, *arguments):
        """Run a part of the session; its end, or the loss of the connection, ends all."""

        async def guarded(scope):
            try:
                await work(*arguments)
            except OSError as error:
                log("amqp_lost", error=str(error))
            scope.cancel()

        return guarded

    async def _greet(self):
        wire = self.wire
        try:
            with anyio.fail_after(GREET_S):
                if await wire.greeting() != frames.PROTOCOL_HEADER:
                    await self.connection.write(frames.PROTOCOL_HEADER)  # as the specification asks
                    return False
                await wire.send(commands.Connection.Start(0, 9, PROPERTIES, "PLAIN ANONYMOUS", "en_US"))
                await wire.method("Connection.StartOk")
                await wire.send(
                    commands.Connection.Tune(CHANNEL_MAX, frames.FRAME_MAX, self.front.heartbeat_s)
                )
                tuned = await wire.method("Connection.TuneOk")
                frame_max = tuned.frame_max or frames.FRAME_MAX
                if not frames.MIN_FRAME_MAX <= frame_max <= frames.FRAME_MAX:
                    raise AmqpError(ReplyCode.NOT_ALLOWED, f"frame_max {frame_max}", tuned)
                wire.frame_max = frame_max
                self.heartbeat_s = tuned.heartbeat
                opened = await wire.method("Connection.Open")
                if opened.virtual_host != "/":
                    raise AmqpError(ReplyCode.NOT_ALLOWED, f"no virtual host {opened.virtual_host!r}", opened)
                await wire.send(commands.Connection.OpenOk())
            return True
        except AmqpError as error:
            log("malformed", front=FRONT_NAME, code=error.code, error=error.text)
            await self._refuse(error)
        except (OSError, TimeoutError):
            pass
        return False

    async def _refuse(self, error):
        """Close the connection as the specification says: Close, then wait for CloseOk."""
        with anyio.move_on_after(CLOSE_S):
            try:
                await self.wire.write(bytes(self.out))
                self.out.clear()
                await self.wire.send(
                    commands.Connection.Close(error.code, error.text, error.class_id, error.method_id)
                )
                while not isinstance((await self.wire.frame())[1], commands.Connection.CloseOk):
                    pass
            except (OSError, AmqpError):
                pass

    async def _follow(self):
        for handled in count(1):
            if not handled % AT_ONCE:
                await anyio.lowlevel.checkpoint()  # Danger: one who always has frames would hold the loop
            try:
                number, found = await self.wire.frame()
                if number == 0:
                    if not await self._connection(found):
                        return
                    continue
                try:
                    self._on_channel(number, found)
                except AmqpError as error:
                    if error.closes_connection:
                        raise
                    log("malformed", front=FRONT_NAME, code=error.code, error=error.text)
                    channel = self.channels[number]
                    channel.close()
                    channel.closing = True
                    self.post(
                        number,
                        commands.Channel.Close(error.code, error.text, error.class_id, error.method_id),
                    )
            except AmqpError as error:
                log("malformed", front=FRONT_NAME, code=error.code, error=error.text)
                await self._refuse(error)
                return

    async def _connection(self, found):
        """Channel 0; false once the connection is closed."""
        if isinstance(found, heartbeat.Heartbeat):
            return True
        if isinstance(found, commands.Connection.Close):
            await self.wire.send(commands.Connection.CloseOk())
            return False
        if isinstance(found, commands.Connection.CloseOk):
            return False
        raise AmqpError(ReplyCode.COMMAND_INVALID, "not a method of channel 0", found)

    def _on_channel(self, number, found):
        channel = self.channels.get(number)
        if isinstance(found, commands.Channel.Open):
            if channel is not None or number > CHANNEL_MAX:
                raise AmqpError(ReplyCode.CHANNEL_ERROR, f"channel {number} cannot be opened", found)
            self.channels[number] = Channel(self, number)
            self.post(number, commands.Channel.OpenOk())
            return
        if channel is None:
            raise AmqpError(ReplyCode.CHANNEL_ERROR, f"channel {number} is not open", found)
        if channel.closing:
            # Danger: what a client sent before it heard of the close belongs to nothing any more.
            if isinstance(found, commands.Channel.CloseOk | commands.Channel.Close):
                del self.channels[number]
                if isinstance(found, commands.Channel.Close):
                    self.post(number, commands.Channel.CloseOk())
            return
        whole = channel.contents.feed(found)
        if not isinstance(found, base.Frame):
            held = sum(len(c.contents.body) for c in self.channels.values())
            if not self.front.room.reserve(self.leg, held):
                raise AmqpError(
                    ReplyCode.RESOURCE_ERROR, "no room for more contents", channel.contents.method
                )
        if whole is None:
            return
        method, properties, body = whole
        handle = self._METHODS.get(method.name)
        if handle is None:
            raise AmqpError(ReplyCode.NOT_IMPLEMENTED, f"{method.name} is not offered", method)
        if method.name == "Basic.Publish":
            self._publish(channel, method, properties, body)
        else:
            handle(self, channel, method)

    # --- methods ----------------------------------------------------------------------------------

    def _channel_close(self, channel, _):
        channel.close()
        del self.channels[channel.number]
        self.post(channel.number, commands.Channel.CloseOk())

    def _flow(self, channel, method):
        self.post(channel.number, commands.Channel.FlowOk(method.active))

    def _select(self, channel, method):
        channel.confirms = True
        if not method.nowait:
            self.post(channel.number, commands.Confirm.SelectOk())

    def _qos(self, channel, method):
        channel.prefetch = method.prefetch_count
        self.post(channel.number, commands.Basic.QosOk())

    def _declare(self, channel, method):
        name = method.queue or f"amq.gen-{token_hex(8)}"
        if method.passive and name not in self.front.queues:
            raise AmqpError(ReplyCode.NOT_FOUND, f"no queue {name!r}", method)
        queue = self.front.queue(name)
        if not method.nowait:
            ok = commands.Queue.DeclareOk(name, len(queue.waiting), len(queue.consumers))
            self.post(channel.number, ok)

    def _consume(self, channel, method):
        if method.no_ack:
            raise AmqpError(
                ReplyCode.PRECONDITION_FAILED, "ends are kept until acknowledged: no no-ack", method
            )
        tag = method.consumer_tag or f"ctag-{token_hex(8)}"
        if tag in channel.consumers:
            raise AmqpError(ReplyCode.NOT_ALLOWED, f"consumer tag {tag!r} is in use", method)
        queue = self.front.queue(method.queue)
        channel.consumers[tag] = consumer = Consumer(channel, tag, queue)
        if not method.nowait:
            self.post(channel.number, commands.Basic.ConsumeOk(tag))
        queue.consumers.append(consumer)
        queue.dispatch()

    def _cancel(self, channel, method):
        consumer = channel.consumers.pop(method.consumer_tag, None)
        if consumer is not None:
            consumer.queue.consumers.remove(consumer)
        if not method.nowait:
            self.post(channel.number, commands.Basic.CancelOk(method.consumer_tag))

    def _ack(self, channel, method):
        for consumer, end in channel.settle(method.delivery_tag, method.multiple):
            end.heard.set()
            consumer.queue.dispatch()

    def _nack(self, channel, method):
        multiple = getattr(method, "multiple", False)
        for consumer, end in reversed(channel.settle(method.delivery_tag, multiple)):
            if method.requeue:
                consumer.queue.back([end])
            else:
                end.heard.set()  # the consumer wants to hear no more of it

    def _publish(self, channel, method, properties, body):
        if not channel.confirms:
            # Danger: without confirms a publisher could not know what was taken on.
            raise AmqpError(ReplyCode.PRECONDITION_FAILED, "publisher confirms are not selected", method)
        if method.exchange:
            raise AmqpError(ReplyCode.NOT_FOUND, f"no exchange {method.exchange!r}", method)
        if body is None:
            raise AmqpError(
                ReplyCode.CONTENT_TOO_LARGE, f"a body over {message_fields.MAX_BODY_BYTES} bytes", method
            )
        channel.published += 1
        tag = channel.published
        try:
            self.engine.accept(self._transaction(properties, body, method))
        except RejectedError as error:
            log("busy", front=FRONT_NAME, why=str(error))
            headers = dict(properties.headers or {})
            headers["after-ms"] = error.retry_after_ms
            properties.headers = headers
            back = commands.Basic.Return(
                ReplyCode.RESOURCE_ERROR, f"BUSY {error.retry_after_ms}", "", method.routing_key
            )
            self.post_content(channel.number, back, properties, body)
            self.post(channel.number, commands.Basic.Nack(tag, False, False))
            return
        if self.engine.replication is None:
            self.post(channel.number, commands.Basic.Ack(tag, False))
        else:
            self.engine.tasks.start_soon(self._confirm, channel, tag)

    async def _confirm(self, channel, tag):
        """Confirm once it is copied; what is not in time stays unconfirmed, and is published again."""
        if await self.engine.wait_committed() and self.channels.get(channel.number) is channel:
            self.post(channel.number, commands.Basic.Ack(tag, False))

    def _transaction(self, properties, body, method):
        headers = {name: properties.headers.get(name) for name in HEADERS} if properties.headers else {}
        try:
            cls, tenant = str(headers.get("class") or ""), str(headers.get("tenant") or "")
            dest = message_fields.parse_number(
                str(headers.get("dest", "")), "dest", message_fields.MAX_DESTINATION
            )
            unknown = self.engine.unknown_reason(cls, tenant, dest)
            if unknown:
                raise message_fields.InvalidFieldError(unknown)
            id_ = message_fields.parse_identifier(str(properties.message_id or "").encode(), "message-id")
            if not properties.reply_to:
                raise message_fields.InvalidFieldError("reply-to is missing")
            idempotency = str(headers.get("idempotency-key") or "")
            if idempotency:
                message_fields.parse_identifier(idempotency.encode(), "idempotency-key")
            deadline_ms = self.engine.settings.delivery_rules[cls].traffic_class.deadline_ns // 1_000_000
            expiration = properties.expiration or str(deadline_ms)
            for_ms = message_fields.parse_number(expiration, "expiration", message_fields.MAX_DEADLINE_MS)
            key = key_number(str(headers.get("key") or "0"))
        except message_fields.InvalidFieldError as error:
            raise AmqpError(ReplyCode.PRECONDITION_FAILED, str(error), method) from None
        clock = self.engine.clock
        return Message(
            number=0,
            id=id_,
            class_name=cls,
            tenant=tenant,
            destination=dest,
            key=key,
            idempotency_key=idempotency,
            deadline_unix_us=clock.unix(clock.now()) + for_ms * 1000,
            body=body,
            front=FRONT_NAME,
            reply={"to": properties.reply_to},
        )

    _METHODS = {
        "Channel.Close": _channel_close,
        "Channel.Flow": _flow,
        "Confirm.Select": _select,
        "Basic.Qos": _qos,
        "Queue.Declare": _declare,
        "Basic.Consume": _consume,
        "Basic.Cancel": _cancel,
        "Basic.Ack": _ack,
        "Basic.Nack": _nack,
        "Basic.Reject": _nack,
        "Basic.Publish": _publish,
    }
