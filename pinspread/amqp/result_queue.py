"""Queues of final results, each delivered until a consumer acknowledges it."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol
from weakref import WeakValueDictionary

import anyio
import orjson
from pamqp import commands
from pamqp.common import FieldTable

from pinspread.core.messages import FinalResult

PERSISTENT = 2  # delivery mode: the message survives a restart


@dataclass(eq=False, slots=True)
class PendingResult:
    """The final result of one message, until a consumer acknowledges it.

    Attributes:
        message_id: The id that the publisher gave the message.
        result: Its final result.
        acknowledged: Set once a consumer has acknowledged it, or refused it without requeuing.
        redelivered: Whether it was delivered to a consumer before and not acknowledged.
    """

    message_id: str
    result: FinalResult
    acknowledged: anyio.Event = field(default_factory=anyio.Event)
    redelivered: bool = False

    def content(self) -> tuple[commands.Basic.Properties, bytes]:
        """Return its properties and its JSON body, with the fields that the operators' pages document."""
        state = self.result.state.name.lower()
        fields: FieldTable = {"state": state}
        if self.result.retry_after_ms:
            fields["after_ms"] = self.result.retry_after_ms
        properties = commands.Basic.Properties(
            content_type="application/json",
            delivery_mode=PERSISTENT,
            correlation_id=self.message_id,
            message_type=state,
            headers=fields,
        )
        return properties, orjson.dumps({"id": self.message_id} | fields)


class ResultConsumer(Protocol):
    """A consumer of a queue, as far as the queue uses it."""

    def has_capacity(self) -> bool:
        """Whether another result may be delivered to it now."""
        ...

    def deliver(self, pending: PendingResult) -> None:
        """Deliver a result to it."""
        ...


class FinalResultQueue:
    """A queue of final results.

    Attributes:
        name: The name by which clients declare and consume it.
        waiting: The results that are not with a consumer, in the order of delivery.
        consumers: Its consumers; the one whose turn is next comes first.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.waiting: OrderedDict[PendingResult, None] = OrderedDict()
        self.consumers: OrderedDict[ResultConsumer, None] = OrderedDict()

    def put(self, pending: PendingResult) -> None:
        """Add a result at the end."""
        self.waiting[pending] = None
        self.dispatch()

    def requeue(self, returned: Sequence[PendingResult]) -> None:
        """Put unacknowledged results back at the head of the queue, in their order."""
        for pending in reversed(returned):
            pending.redelivered = True
            self.waiting[pending] = None
            self.waiting.move_to_end(pending, last=False)
        self.dispatch()

    def add_consumer(self, consumer: ResultConsumer) -> None:
        """Add a consumer, and deliver to it from now on."""
        self.consumers[consumer] = None
        self.dispatch()

    def remove_consumer(self, consumer: ResultConsumer) -> None:
        """Remove a consumer; its unacknowledged results are not requeued by this."""
        del self.consumers[consumer]

    def dispatch(self) -> None:
        """Deliver results to the consumers in turn, as long as one of them has capacity."""
        while self.waiting:
            consumer = next((candidate for candidate in self.consumers if candidate.has_capacity()), None)
            if consumer is None:
                return
            self.consumers.move_to_end(consumer)
            pending, _ = self.waiting.popitem(last=False)
            consumer.deliver(pending)


class ResultQueueRegistry:
    """The queues by their names.

    Clients may declare queues under any name, so a queue without results and consumers must not be kept. The
    references are weak: a queue is freed once its last result and its last consumer are.
    """

    def __init__(self) -> None:
        self._queues: WeakValueDictionary[str, FinalResultQueue] = WeakValueDictionary()

    def __contains__(self, name: str) -> bool:
        """Whether there is a queue of that name."""
        return name in self._queues

    def __len__(self) -> int:
        """How many queues there are."""
        return len(self._queues)

    def get(self, name: str) -> FinalResultQueue:
        """Return the queue of that name; it is created if there is none."""
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = FinalResultQueue(name)
        return queue
