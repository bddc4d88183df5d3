"""Handlers of the methods that a client may send on an open channel, one for each method."""

from collections.abc import Callable
from secrets import token_hex
from typing import Any

from pamqp import base, commands

from pinspread.amqp.channel import Channel, Delivery
from pinspread.amqp.consumer import Consumer
from pinspread.amqp.content import ReceivedMethod
from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.amqp.frame_writer import FrameWriter
from pinspread.amqp.publishing import Publisher
from pinspread.amqp.result_queue import ResultQueueRegistry
from pinspread.amqp.session_memory import CONSUMER_BYTES, MemoryUse, SessionMemory

MAX_CONSUMERS = 256  # of one connection
RANDOM_NAME_BYTES = 8  # randomness in generated queue names and consumer tags

Handler = Callable[[Channel, Any], None]
"""Handles a method; its class is the handler's key in the table of handlers."""


class ChannelMethods:
    """Carries out the methods of one connection's channels.

    Args:
        publisher: Handles the publishes.
        queues: The queues of final results.
        writer: Queues the answers for writing.
        channels: The open channels, by their numbers.
        memory: Reserves memory for the consumers.
    """

    def __init__(
        self,
        publisher: Publisher,
        queues: ResultQueueRegistry,
        writer: FrameWriter,
        channels: dict[int, Channel],
        memory: SessionMemory,
    ) -> None:
        self._publisher = publisher
        self._queues = queues
        self._writer = writer
        self._channels = channels
        self._memory = memory
        self._handlers: dict[type[base.Frame], Handler] = {
            commands.Channel.Close: self._close_channel,
            commands.Channel.Flow: self._set_flow,
            commands.Confirm.Select: self._select_confirms,
            commands.Basic.Qos: self._set_prefetch,
            commands.Queue.Declare: self._declare_queue,
            commands.Basic.Consume: self._consume,
            commands.Basic.Cancel: self._cancel,
            commands.Basic.Ack: self._acknowledge,
            commands.Basic.Nack: self._refuse_deliveries,
            commands.Basic.Reject: self._refuse_delivery,
        }

    def handle(self, channel: Channel, received: ReceivedMethod) -> None:
        """Carry out a method.

        Raises:
            AmqpError: The method is not supported, or cannot be carried out.
        """
        method = received.method
        if isinstance(method, commands.Basic.Publish):
            self._publisher.publish(channel, received)
            return
        handler = self._handlers.get(type(method))
        if handler is None:
            raise AmqpError(ReplyCode.NOT_IMPLEMENTED, f"{method.name} is not offered", method)
        handler(channel, method)

    def _close_channel(self, channel: Channel, _: commands.Channel.Close) -> None:
        channel.close()
        del self._channels[channel.number]
        self._memory.reserve(MemoryUse.CONSUMERS, self._consumer_count() * CONSUMER_BYTES)
        self._writer.send(channel.number, commands.Channel.CloseOk())

    def _set_flow(self, channel: Channel, method: commands.Channel.Flow) -> None:
        self._writer.send(channel.number, commands.Channel.FlowOk(method.active))

    def _select_confirms(self, channel: Channel, method: commands.Confirm.Select) -> None:
        channel.confirms = True
        if not method.nowait:
            self._writer.send(channel.number, commands.Confirm.SelectOk())

    def _set_prefetch(self, channel: Channel, method: commands.Basic.Qos) -> None:
        channel.prefetch = method.prefetch_count
        self._writer.send(channel.number, commands.Basic.QosOk())

    def _declare_queue(self, channel: Channel, method: commands.Queue.Declare) -> None:
        name = method.queue or f"amq.gen-{token_hex(RANDOM_NAME_BYTES)}"
        if method.passive and name not in self._queues:
            raise AmqpError(ReplyCode.NOT_FOUND, f"no queue {name!r}", method)
        queue = self._queues.get(name)
        if not method.nowait:
            answer = commands.Queue.DeclareOk(name, len(queue.waiting), len(queue.consumers))
            self._writer.send(channel.number, answer)

    def _consume(self, channel: Channel, method: commands.Basic.Consume) -> None:
        if method.no_ack:
            text = "ends are kept until acknowledged: no no-ack"
            raise AmqpError(ReplyCode.PRECONDITION_FAILED, text, method)
        tag = method.consumer_tag or f"ctag-{token_hex(RANDOM_NAME_BYTES)}"
        if tag in channel.consumers:
            raise AmqpError(ReplyCode.NOT_ALLOWED, f"consumer tag {tag!r} is in use", method)
        self._reserve_consumer(method)
        consumer = Consumer(channel, tag, self._queues.get(method.queue))
        channel.consumers[tag] = consumer
        if not method.nowait:
            self._writer.send(channel.number, commands.Basic.ConsumeOk(tag))
        consumer.queue.add_consumer(consumer)

    def _consumer_count(self) -> int:
        """Return how many consumers the connection has."""
        return sum(len(channel.consumers) for channel in self._channels.values())

    def _reserve_consumer(self, method: commands.Basic.Consume) -> None:
        """Reserve the memory for one more consumer.

        Raises:
            AmqpError: The connection has too many, or there is no memory for it.
        """
        count = 1 + self._consumer_count()
        if count > MAX_CONSUMERS:
            raise AmqpError(ReplyCode.RESOURCE_ERROR, f"more than {MAX_CONSUMERS} consumers", method)
        if not self._memory.reserve(MemoryUse.CONSUMERS, count * CONSUMER_BYTES):
            raise AmqpError(ReplyCode.RESOURCE_ERROR, "no room for another consumer", method)

    def _cancel(self, channel: Channel, method: commands.Basic.Cancel) -> None:
        channel.cancel(method.consumer_tag or "")
        self._memory.reserve(MemoryUse.CONSUMERS, self._consumer_count() * CONSUMER_BYTES)
        if not method.nowait:
            self._writer.send(channel.number, commands.Basic.CancelOk(method.consumer_tag))

    def _acknowledge(self, channel: Channel, method: commands.Basic.Ack) -> None:
        _settle(channel.take_deliveries(method.delivery_tag, method.multiple))

    def _refuse_deliveries(self, channel: Channel, method: commands.Basic.Nack) -> None:
        self._refuse(channel, method.delivery_tag, method.multiple, method.requeue)

    def _refuse_delivery(self, channel: Channel, method: commands.Basic.Reject) -> None:
        self._refuse(channel, method.delivery_tag or 0, False, method.requeue)

    def _refuse(self, channel: Channel, tag: int, multiple: bool, requeue: bool) -> None:
        """Requeue deliveries, or count them as acknowledged if the client does not want them again."""
        deliveries = channel.take_deliveries(tag, multiple)
        if not requeue:
            _settle(deliveries)
            return
        for delivery in reversed(deliveries):
            delivery.consumer.queue.requeue([delivery.pending])


def _settle(deliveries: list[Delivery]) -> None:
    """Mark results as acknowledged, and deliver others to the consumers that now have capacity."""
    for delivery in deliveries:
        delivery.pending.acknowledged.set()
        delivery.consumer.queue.dispatch()
