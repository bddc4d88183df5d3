"""The messages that the engine has accepted and not ended."""

from collections.abc import Iterable

from pinspread.core.messages import Message

AttemptId = tuple[int, int]  # the number of the message, and of the attempt within it


class MessageTable:
    """Messages by number and by id.

    Attributes:
        open: Messages without a final result, by number.
        by_id: All messages for which something is owed, if only a notification.
        unreported_attempts: The ids of messages whose attempts may go on in a process before this one, though
            their time is over here.
    """

    def __init__(self) -> None:
        self.open: dict[int, Message] = {}
        self.by_id: dict[str, Message] = {}
        self.unreported_attempts: dict[AttemptId, str] = {}
        self._next_number = 1

    def next_number(self) -> int:
        """Return a number that no message has had."""
        number = self._next_number
        self._next_number += 1
        return number

    def continue_numbers(self, first: int) -> None:
        """Number messages from this one on, or from a higher one that has been reached already."""
        # The journal forgets what has ended. A message that took such a number would be mistaken for the old
        # one, whose attempt may still be in flight in the process before.
        self._next_number = max(self._next_number, first)

    def continue_numbers_after(self, messages: Iterable[Message]) -> None:
        """Number messages from behind these on."""
        self.continue_numbers(max((message.number for message in messages), default=0) + 1)

    def may_still_run(self, message_id: str) -> bool:
        """Return whether an attempt of a message with this id may go on in a process before this one."""
        return message_id in self.unreported_attempts.values()

    def add_open(self, message: Message) -> None:
        """Hold a message that is to be delivered."""
        self.open[message.number] = self.by_id[message.id] = message
