"""Subscriptions to queues of final results."""

from typing import Protocol

from pinspread.amqp.result_queue import FinalResultQueue, PendingResult


class DeliveringChannel(Protocol):
    """The part of a channel that its consumers use."""

    prefetch: int

    def deliver(self, consumer: "Consumer", pending: PendingResult) -> None:
        """Send a delivery to the client."""
        ...


class Consumer:
    """A subscription of one channel to one queue.

    Args:
        channel: The channel that consumes.
        tag: The consumer's tag, unique on its channel.
        queue: The queue.

    Attributes:
        prefetch: How many deliveries may be unacknowledged, by the channel's setting when the subscription
            began; 0: no limit.
        unacknowledged: How many deliveries are unacknowledged now.
    """

    def __init__(self, channel: DeliveringChannel, tag: str, queue: FinalResultQueue) -> None:
        self.channel = channel
        self.tag = tag
        self.queue = queue
        self.prefetch = channel.prefetch
        self.unacknowledged = 0

    def has_capacity(self) -> bool:
        """Whether the prefetch limit allows another delivery."""
        return not self.prefetch or self.unacknowledged < self.prefetch

    def deliver(self, pending: PendingResult) -> None:
        """Deliver a result; it is kept until the delivery is acknowledged."""
        self.unacknowledged += 1
        self.channel.deliver(self, pending)
