"""The state of one channel: the content being received, its consumers and its unacknowledged deliveries."""

from collections import OrderedDict
from dataclasses import dataclass
from itertools import count

from pamqp import commands

from pinspread.amqp.consumer import Consumer
from pinspread.amqp.content import ContentAssembler
from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.amqp.frame_writer import FrameWriter
from pinspread.amqp.result_queue import FinalResultQueue, PendingResult
from pinspread.core.message_fields import MAX_BODY_BYTES

DEFAULT_EXCHANGE = ""


@dataclass(frozen=True, slots=True)
class Delivery:
    """A result that was delivered to a consumer and is not acknowledged yet."""

    consumer: Consumer
    pending: PendingResult


class Channel:
    """One channel of a client's connection.

    Args:
        number: Its number on the connection.
        writer: Queues its frames for writing.

    Attributes:
        confirms: Whether publisher confirms are selected.
        published: How many messages were published on it; also the delivery tag of the latest publish.
        prefetch: How many deliveries each consumer may have unacknowledged; 0: no limit.
        consumers: Its consumers by their tags.
        closing: Whether Channel.Close was sent and is not answered yet.
    """

    def __init__(self, number: int, writer: FrameWriter) -> None:
        self.number = number
        self.contents = ContentAssembler(MAX_BODY_BYTES)
        self.confirms = False
        self.published = 0
        self.prefetch = 0
        self.consumers: dict[str, Consumer] = {}
        self.closing = False
        self._writer = writer
        self._delivery_tags = count(1)
        self._deliveries: OrderedDict[int, Delivery] = OrderedDict()  # unacknowledged, by delivery tag

    def deliver(self, consumer: Consumer, pending: PendingResult) -> None:
        """Send a delivery, and keep it until its tag is acknowledged."""
        tag = next(self._delivery_tags)
        self._deliveries[tag] = Delivery(consumer, pending)
        method = commands.Basic.Deliver(
            consumer.tag, tag, pending.redelivered, DEFAULT_EXCHANGE, consumer.queue.name
        )
        properties, body = pending.content()
        self._writer.send_content(self.number, method, properties, body)

    def take_deliveries(self, tag: int, multiple: bool) -> list[Delivery]:
        """Remove and return the unacknowledged deliveries that an ack, nack or reject refers to.

        Args:
            tag: The delivery tag; with `multiple`, 0 refers to all deliveries.
            multiple: Whether the tag refers to all deliveries up to and including its own.

        Raises:
            AmqpError: No unacknowledged delivery matches the tag.
        """
        if multiple:
            tags = [delivery_tag for delivery_tag in self._deliveries if delivery_tag <= tag or not tag]
        else:
            tags = [tag] if tag in self._deliveries else []
        refers_to_all = multiple and not tag
        if not tags and not refers_to_all:
            raise AmqpError(ReplyCode.PRECONDITION_FAILED, f"unknown delivery tag {tag}")
        deliveries = [self._deliveries.pop(delivery_tag) for delivery_tag in tags]
        for delivery in deliveries:
            delivery.consumer.unacknowledged -= 1
        return deliveries

    def cancel(self, consumer_tag: str) -> None:
        """End a subscription if it exists; its deliveries may still be acknowledged."""
        consumer = self.consumers.pop(consumer_tag, None)
        if consumer is not None:
            consumer.queue.remove_consumer(consumer)

    def close(self) -> None:
        """End all subscriptions, and requeue the results that were not acknowledged."""
        for consumer in self.consumers.values():
            consumer.queue.remove_consumer(consumer)
        self.consumers = {}
        unacknowledged_results: dict[FinalResultQueue, list[PendingResult]] = {}
        for delivery in self._deliveries.values():
            unacknowledged_results.setdefault(delivery.consumer.queue, []).append(delivery.pending)
        self._deliveries.clear()
        for queue, results in unacknowledged_results.items():
            queue.requeue(results)
