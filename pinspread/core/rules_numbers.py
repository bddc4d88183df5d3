"""The numbers by which the records of a journal refer to the rules of their messages. No I/O."""

from collections.abc import Set

from pinspread.core.messages import DeliveryRules


class RulesNumbers:
    """The numbers of delivery rules in one file; many messages share few rules.

    Attributes:
        numbers: The number of each of the rules that records refer to.
        latest: The rules that were last asked for.
    """

    def __init__(self) -> None:
        self.numbers: dict[DeliveryRules, int] = {}
        self.latest: DeliveryRules | None = None
        self._read: dict[int, DeliveryRules] = {}  # by number, filled while a file is read

    def define(self, number: int, rules: DeliveryRules) -> None:
        """Take over a definition from the file."""
        self._read[number] = rules
        self.numbers[rules] = number

    def find(self, number: int | None) -> DeliveryRules | None:
        """Return the rules that the file defines under a number."""
        return None if number is None else self._read.get(number)

    def next_number(self) -> int:
        """Return a number that no rules have."""
        return max(self.numbers.values(), default=0) + 1

    def keep(self, used: Set[DeliveryRules | None]) -> None:
        """Keep the rules that a new file refers to, and number those of them that have no number yet."""
        # Settings change all day, and rules that are no longer used would fill the file. The latest rules are
        # kept, because the record that is about to refer to them may be the one that triggers the new file.
        used = used | {self.latest}
        self.numbers = {rules: number for rules, number in self.numbers.items() if rules in used}
        # Messages that an older version accepted have got their rules from the settings. If their rules were
        # numbered only while the new file is written, it would refer to a number that it does not define.
        for rules in used - self.numbers.keys():
            if rules is not None:
                self.numbers[rules] = self.next_number()
