"""The messages that the engine has accepted and that have not ended."""

from collections.abc import Iterable

from pinspread.core.messages import Message

AttemptId = tuple[int, int]  # the number of the message, and the number of the attempt within the message


class MessageTable:
    """Messages by number and by id.

    Attributes:
        open: Messages without a final result, by number.
        by_id: All messages that have not ended, including those whose notification is still pending.
        unreported_attempts: The message ids of attempts that have timed out here, but may still be running in
            the predecessor process.
    """

    def __init__(self) -> None:
        self.open: dict[int, Message] = {}
        self.by_id: dict[str, Message] = {}
        self.unreported_attempts: dict[AttemptId, str] = {}
        self._next_number = 1

    def next_number(self) -> int:
        """Return a number that no message has been given yet."""
        number = self._next_number
        self._next_number += 1
        return number

    def continue_numbers(self, first: int) -> None:
        """Give the next messages numbers from `first` on, or higher if `first` has been passed already."""
        # The journal does not keep the numbers of ended messages. A new message with such a number would be
        # confused with the old one, whose attempt may still be in flight in the predecessor process.
        self._next_number = max(self._next_number, first)

    def continue_numbers_after(self, messages: Iterable[Message]) -> None:
        """Give the next messages numbers above those of these messages."""
        self.continue_numbers(max((message.number for message in messages), default=0) + 1)

    def may_still_run(self, message_id: str) -> bool:
        """Return whether an attempt of the message with this id may still run in the predecessor process."""
        return message_id in self.unreported_attempts.values()

    def add_open(self, message: Message) -> None:
        """Add a message that is to be delivered."""
        self.open[message.number] = self.by_id[message.id] = message
