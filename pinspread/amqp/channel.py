"""The state of one channel: what is being received, its consumers and its deliveries."""

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
    """A result that a consumer has and has not acknowledged."""

    consumer: Consumer
    pending: PendingResult


class Channel:
    """One channel of a client's connection.

    Args:
        number: Its number on the connection.
        writer: Where its frames go.

    Attributes:
        confirms: Publisher confirms are selected.
        published: How many messages were published on it, which is the tag of the latest confirm.
        prefetch: How many deliveries each consumer may have unacknowledged; 0: no limit.
        consumers: Its consumers by their tags.
        closing: A Close was sent, and its answer has not come.
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
        self._deliveries: OrderedDict[int, Delivery] = OrderedDict()  # unacknowledged ones, by their tags

    def deliver(self, consumer: Consumer, pending: PendingResult) -> None:
        """Write a delivery, which is kept until its tag is acknowledged."""
        tag = next(self._delivery_tags)
        self._deliveries[tag] = Delivery(consumer, pending)
        method = commands.Basic.Deliver(
            consumer.tag, tag, pending.redelivered, DEFAULT_EXCHANGE, consumer.queue.name
        )
        properties, body = pending.content()
        self._writer.send_content(self.number, method, properties, body)

    def take_deliveries(self, tag: int, multiple: bool) -> list[Delivery]:
        """Take out the unacknowledged deliveries that a client names.

        Args:
            tag: The delivery's tag; with `multiple`, 0 names all.
            multiple: Whether the tag names all deliveries up to its own.

        Raises:
            AmqpError: No delivery has that tag.
        """
        if multiple:
            tags = [one for one in self._deliveries if one <= tag or not tag]
        else:
            tags = [tag] if tag in self._deliveries else []
        names_all = multiple and not tag
        if not tags and not names_all:
            raise AmqpError(ReplyCode.PRECONDITION_FAILED, f"unknown delivery tag {tag}")
        deliveries = [self._deliveries.pop(one) for one in tags]
        for delivery in deliveries:
            delivery.consumer.unacknowledged -= 1
        return deliveries

    def cancel(self, consumer_tag: str) -> None:
        """End a subscription, if there is one; what it has may still be acknowledged."""
        consumer = self.consumers.pop(consumer_tag, None)
        if consumer is not None:
            consumer.queue.remove_consumer(consumer)

    def close(self) -> None:
        """End all subscriptions, and put back what was not acknowledged."""
        for consumer in self.consumers.values():
            consumer.queue.remove_consumer(consumer)
        self.consumers = {}
        returned: dict[FinalResultQueue, list[PendingResult]] = {}
        for delivery in self._deliveries.values():
            returned.setdefault(delivery.consumer.queue, []).append(delivery.pending)
        self._deliveries.clear()
        for queue, results in returned.items():
            queue.requeue(results)
