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

PERSISTENT = 2  # the delivery mode of messages that outlive a restart


@dataclass(eq=False, slots=True)
class PendingResult:
    """The final result of one message on its way to a consumer.

    Attributes:
        message_id: The id that the publisher gave the message.
        result: Its final result.
        acknowledged: Set once a consumer has acknowledged it, or wants no more of it.
        redelivered: A consumer had it before and did not acknowledge it.
    """

    message_id: str
    result: FinalResult
    acknowledged: anyio.Event = field(default_factory=anyio.Event)
    redelivered: bool = False

    def content(self) -> tuple[commands.Basic.Properties, bytes]:
        """Its properties and its JSON body, as the operators' pages name their fields."""
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
    """Whoever takes results from a queue."""

    def has_capacity(self) -> bool:
        """Whether it may be given another result now."""
        ...

    def deliver(self, pending: PendingResult) -> None:
        """Give it a result."""
        ...


class FinalResultQueue:
    """Results that wait for a consumer, in their order.

    Attributes:
        name: The name by which clients declare and consume it.
        waiting: The results that no consumer has.
        consumers: Its consumers; the one whose turn is next comes first.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.waiting: OrderedDict[PendingResult, None] = OrderedDict()
        self.consumers: list[ResultConsumer] = []

    def put(self, pending: PendingResult) -> None:
        """Add a result at the end."""
        self.waiting[pending] = None
        self.dispatch()

    def requeue(self, returned: Sequence[PendingResult]) -> None:
        """Put results that were not acknowledged before all others, in their order."""
        for pending in reversed(returned):
            pending.redelivered = True
            self.waiting[pending] = None
            self.waiting.move_to_end(pending, last=False)
        self.dispatch()

    def add_consumer(self, consumer: ResultConsumer) -> None:
        """Deliver to another consumer from now on."""
        self.consumers.append(consumer)
        self.dispatch()

    def remove_consumer(self, consumer: ResultConsumer) -> None:
        """Deliver nothing more to a consumer; what it has is not put back by this."""
        self.consumers.remove(consumer)

    def dispatch(self) -> None:
        """Deliver to the consumers in turns while one of them has capacity."""
        while self.waiting:
            consumer = next((one for one in self.consumers if one.has_capacity()), None)
            if consumer is None:
                return
            self.consumers.remove(consumer)
            self.consumers.append(consumer)
            pending, _ = self.waiting.popitem(last=False)
            consumer.deliver(pending)


class ResultQueueRegistry:
    """The queues by their names.

    Clients name queues of their own, so one that holds nothing and serves nobody must not be kept: it goes
    with its last result and its last consumer.
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
        """The queue of that name, which is made if there is none."""
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = FinalResultQueue(name)
        return queue
