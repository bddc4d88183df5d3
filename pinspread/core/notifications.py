"""Final results: how messages end, and how their clients are notified of it."""

import anyio

from pinspread.core.context import POLL_S, EngineContext
from pinspread.core.log import log
from pinspread.core.messages import FinalResult, FinalState, Message


class Notifications:
    """Decides final results, and keeps each message until its client has acknowledged the notification.

    Attributes:
        pending: How many notifications of each key are not acknowledged, on fronts that order by that.
    """

    def __init__(self, context: EngineContext) -> None:
        self.pending: dict[int, int] = {}
        self._context = context
        self._messages = context.messages

    def finish(self, message: Message, final: FinalResult) -> None:
        """Decide the final result; the message ends once its front says that the client acknowledged it."""
        context = self._context
        del self._messages.open[message.number]
        log("final_result", id=message.id, state=final.state.name, retry_after_ms=final.retry_after_ms)
        if final.state is FinalState.DELIVERED and not context.fronts[message.front].reports_delivery:
            self.end(message)
            return
        message.final = final
        context.record(context.journal.final_result, message, final)
        self.expect(message)
        self._start(message, final)

    def end(self, message: Message) -> None:
        """Drop a message: no notification of it is pending any more."""
        self._context.record(self._context.journal.message_ended, message)
        del self._messages.by_id[message.id]

    def expect(self, message: Message) -> None:
        """Have the key's next message wait for this one's notification, where its front orders them so."""
        if self._context.fronts[message.front].ordered_by_ack:
            self.pending[message.key] = self.pending.get(message.key, 0) + 1

    def start(self, message: Message) -> None:
        """Notify the client of a message that came with a final result."""
        if message.final is not None:
            self._start(message, message.final)

    def start_all(self) -> None:
        """Notify the clients of all messages that have a final result, as an earlier process left them."""
        for message in self._messages.by_id.values():
            self.start(message)

    def _start(self, message: Message, final: FinalResult) -> None:
        self._context.tasks.start_soon(self._notify, message, final)

    def release(self, message: Message) -> None:
        """Notify nobody of this message, for another node does."""
        if self._context.fronts[message.front].ordered_by_ack:
            self._acknowledged(message.key)

    async def _notify(self, message: Message, final: FinalResult) -> None:
        context = self._context
        front = context.fronts[message.front]
        if context.replication:
            # A successor that finds no result in its replica, or has taken the work over, would give another.
            while context.replication.blocked_reason() or not await context.replication.wait_replicated():
                await anyio.sleep(POLL_S)
            if self._is_released(message):
                return  # the node that has taken it over notifies
        await front.notify(message, final)
        if self._is_released(message):
            return  # while the notification was under way; `release` has done what is left to do here
        if front.ordered_by_ack:
            self._acknowledged(message.key)
        self.end(message)

    def _is_released(self, message: Message) -> bool:
        """Return whether another node has taken the message over since its result was decided."""
        return self._messages.by_id.get(message.id) is not message

    def _acknowledged(self, key: int) -> None:
        self.pending[key] -= 1
        if not self.pending[key]:
            del self.pending[key]
