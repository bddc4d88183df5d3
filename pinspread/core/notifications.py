"""Final results: how messages end, and how their clients are notified."""

from collections import deque

import anyio

from pinspread.core.context import POLL_S, EngineContext
from pinspread.core.log import log
from pinspread.core.messages import FinalResult, FinalState, Message

# Notifications under way at a time to a platform that gets them in turn, which is several requests full. Each
# takes some kilobytes, and while the platform acknowledges none, thousands would wait.
MAX_UNDER_WAY = 1000
MAX_RECORD_WAIT_US = 100_000  # after a message's deadline; its notification is late after 0.3 s


class Notifications:
    """Records final results, and keeps each message until its client has acknowledged the notification.

    Attributes:
        pending: The number of unacknowledged notifications of each key, for fronts that order messages by
            acknowledgement.
        under_way: The number of notifications under way on these fronts, whose clients are notified in turn.
        waiting: The messages whose notifications follow these, in order.
    """

    def __init__(self, context: EngineContext) -> None:
        self.pending: dict[int, int] = {}
        self.under_way = 0
        self.waiting: deque[Message] = deque()
        self._context = context
        self._messages = context.messages

    def finish(self, message: Message, final: FinalResult) -> None:
        """Set the final result and notify the client; the message ends once the client acknowledges it."""
        context = self._context
        del self._messages.open[message.number]
        log("final_result", id=message.id, state=final.state.name, retry_after_ms=final.retry_after_ms)
        if final.state is FinalState.DELIVERED and not context.fronts[message.front].reports_delivery:
            self.end(message)
            return
        message.final = final
        context.record(context.journal.final_result, message, final)
        self.add_pending(message)
        self._start(message, final)

    def end(self, message: Message) -> None:
        """Drop a message: no notification of it is pending any more."""
        self._context.record(self._context.journal.message_ended, message)
        del self._messages.by_id[message.id]

    def add_pending(self, message: Message) -> None:
        """Count this message's notification as pending for its key, if its front orders messages by that."""
        if self._context.fronts[message.front].ordered_by_ack:
            self.pending[message.key] = self.pending.get(message.key, 0) + 1

    def start(self, message: Message) -> None:
        """Notify the client of a message that was taken over or recovered with a final result."""
        if message.final is not None:
            self._start(message, message.final)

    def start_all(self) -> None:
        """Notify the clients of all messages that a previous process left with a final result."""
        self.under_way = 0  # the tasks of an earlier run have ended with it
        self.waiting.clear()
        for message in self._messages.by_id.values():
            self.start(message)

    def _start(self, message: Message, final: FinalResult) -> None:
        if not self._context.fronts[message.front].ordered_by_ack:
            # Each client of these fronts acknowledges its own, and may take long: none waits for another's.
            self._context.tasks.start_soon(self._notify, message, final)
        elif self.under_way < MAX_UNDER_WAY:
            self.under_way += 1
            self._context.tasks.start_soon(self._notify_in_turn, message, final)
        else:
            self.waiting.append(message)

    async def _notify_in_turn(self, message: Message, final: FinalResult) -> None:
        await self._notify(message, final)
        self.under_way -= 1
        while self.waiting and self.under_way < MAX_UNDER_WAY:
            following = self.waiting.popleft()
            if following.final is not None and not self._is_released(following):
                self._start(following, following.final)

    def release(self, message: Message) -> None:
        """Stop counting this message's notification as pending, because another node sends it."""
        if self._context.fronts[message.front].ordered_by_ack:
            self._remove_pending(message.key)

    async def _notify(self, message: Message, final: FinalResult) -> None:
        context = self._context
        front = context.fronts[message.front]
        if context.replication:
            # A node that takes over without this result in its replica, or that has taken over already, would
            # determine another result.
            while context.replication.blocked_reason() or not await context.replication.wait_replicated():
                await anyio.sleep(POLL_S)
            if self._is_released(message):
                return  # the node that has taken it over notifies the client
        await self._wait_recorded(message)
        await front.notify(message, final)
        if self._is_released(message):
            return  # during the notification; `release` has done the cleanup
        if front.ordered_by_ack:
            self._remove_pending(message.key)
        self.end(message)

    async def _wait_recorded(self, message: Message) -> None:
        """Wait until the journal is whole, but no longer than the notification is in time.

        After a kill, a message whose final result is not in the journal is open again. It would be sent
        although its client was notified of its end.
        """
        context = self._context
        latest_us = context.clock.monotonic(message.deadline_unix_us) + MAX_RECORD_WAIT_US
        while context.journal.incomplete and context.clock.now() < latest_us:
            await anyio.sleep(POLL_S)

    def _is_released(self, message: Message) -> bool:
        """Return whether another node has taken the message over since its result was decided."""
        return self._messages.by_id.get(message.id) is not message

    def _remove_pending(self, key: int) -> None:
        self.pending[key] -= 1
        if not self.pending[key]:
            del self.pending[key]
