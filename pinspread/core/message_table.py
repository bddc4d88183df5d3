"""The messages that the engine has accepted and not ended."""

from collections.abc import Iterable
from itertools import count

from pinspread.core.messages import Message


class MessageTable:
    """Messages by number and by id.

    Attributes:
        open: Messages without a final result, by number.
        by_id: All messages for which something is owed, if only a notification.
    """

    def __init__(self) -> None:
        self.open: dict[int, Message] = {}
        self.by_id: dict[str, Message] = {}
        self._numbers = count(1)

    def next_number(self) -> int:
        """Return a number that no message has had."""
        return next(self._numbers)

    def continue_numbers(self, first: int) -> None:
        """Number messages from this one on."""
        self._numbers = count(first)

    def continue_numbers_after(self, messages: Iterable[Message]) -> None:
        """Number messages from behind these on."""
        self.continue_numbers(max((message.number for message in messages), default=0) + 1)

    def add_open(self, message: Message) -> None:
        """Hold a message that is to be delivered."""
        self.open[message.number] = self.by_id[message.id] = message
