"""What became of all messages that couriers acknowledged, from a history of the cluster's test.

Events of the history: `acked` (a courier said +OK), `taken` (its own word that it accepted), `delivered` (the
destination did it) and `final` (the platform was notified, or an AMQP consumer got it).
"""

from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from pinspread.testbed.history import Line

PAYMENT = "payment"
FAILED = "failed"
RETURNED = "returned"
NOTIFICATION_GRACE_US = 1_000_000  # what a notification may take after a message's deadline
MAX_LISTED = 10


class Acceptance(NamedTuple):
    """A courier's word that it accepted a message; the order of fields is the order of acceptance by key."""

    courier: str
    key: int
    at_us: int
    deadline_us: int


class Final(NamedTuple):
    """A final result that the client was notified of."""

    at_us: int
    state: str


@dataclass
class MessageRecord:
    """What the history says of one message; times are monotonic microseconds."""

    id: str
    class_name: str = ""
    acked_us: int | None = None
    acceptance: Acceptance | None = None
    deliveries_us: list[int] = field(default_factory=list)
    finals: list[Final] = field(default_factory=list)

    @property
    def states(self) -> set[str]:
        """The states that the client was notified of."""
        return {final.state for final in self.finals}

    @property
    def silent(self) -> bool:
        """Whether it was neither delivered nor notified."""
        return not self.deliveries_us and not self.finals

    @property
    def ended_us(self) -> int:
        """When it was first delivered or notified; 0 if neither."""
        ends = self.deliveries_us[:1] + [final.at_us for final in self.finals[:1]]
        return min(ends, default=0)

    def open_at(self, end_us: int) -> bool:
        """Whether its deadline is after a time."""
        return self.acceptance is not None and self.acceptance.deadline_us > end_us

    def late(self) -> bool:
        """Whether it ended after its deadline and the notification's grace."""
        acceptance = self.acceptance
        return acceptance is not None and self.ended_us > acceptance.deadline_us + NOTIFICATION_GRACE_US

    def has_two_finals(self) -> bool:
        """Whether it ended in two ways."""
        return len(self.states) > 1 or self._delivered_after_return()

    def _delivered_after_return(self) -> bool:
        """Whether it was acknowledged, then returned, and then delivered.

        What was returned before it was acknowledged may be submitted again under its id.
        """
        if self.acked_us is None or not self.finals or not self.deliveries_us:
            return False
        notified_us = self.finals[0].at_us
        return (
            self.acked_us < notified_us and RETURNED in self.states and self.deliveries_us[-1] > notified_us
        )


@dataclass(frozen=True)
class Ledger:
    """Counts of messages, and the ids of those that must not be; all but the last are of acknowledged ones.

    Attributes:
        acked: Acknowledged.
        delivered: Delivered.
        failed: Notified as failed.
        returned: Notified as returned.
        lost: Neither delivered nor notified, with a deadline before the history's end.
        open: The same with a later deadline.
        two_finals: Ended in two ways.
        payments_twice: Payments that were delivered more than once.
        disordered: Delivered before an earlier one of their key.
        delivered_and_failed: Notified as failed though delivered.
        late: Ended after their deadline.
        turned_away: How often a courier refused a message.
    """

    acked: int
    delivered: int
    failed: int
    returned: int
    lost: list[str]
    open: int
    two_finals: list[str]
    payments_twice: list[str]
    disordered: list[str]
    delivered_and_failed: list[str]
    late: list[str]
    turned_away: int

    @property
    def clean(self) -> bool:
        """Whether nothing is lost, ended in two ways, delivered twice or out of order."""
        return not (self.lost or self.two_finals or self.payments_twice or self.disordered)

    def to_dict(self, most: int | None = None) -> dict[str, Any]:
        """The ledger as a table, with at most so many ids in each list."""
        return {key: value if isinstance(value, int) else value[:most] for key, value in asdict(self).items()}


def message_records(lines: Iterable[Line]) -> dict[str, MessageRecord]:
    """All messages of a history whose lines are in order of time."""
    records: dict[str, MessageRecord] = {}
    for line in lines:
        id_ = line.get("id")
        if isinstance(id_, str):
            _add(records.setdefault(id_, MessageRecord(id_)), line)
    return records


def _add(record: MessageRecord, line: Line) -> None:
    """Add a line to what is known of its message."""
    at_us, who = line["mono_us"], line["who"]
    match line.get("event"):
        case "taken" if record.acceptance is None:
            deadline_us = at_us + line["for_ms"] * 1000
            record.acceptance = Acceptance(who, line["key"], at_us, deadline_us)
        case "acked" if record.acked_us is None:
            record.acked_us, record.class_name = at_us, line["cls"]
        case "delivered" if who == "partner":
            record.deliveries_us.append(at_us)
        case "final" if who == "platform":
            record.finals.append(Final(at_us, line["state"]))


def ledger(lines: Iterable[Line]) -> Ledger:
    """What became of a history's messages; the lines are in order of time."""
    lines = list(lines)
    end_us = next((line["mono_us"] for line in lines if line.get("event") == "ending"), 0)
    records = message_records(lines).values()
    acked = sorted((one for one in records if one.acked_us is not None), key=lambda one: one.acked_us or 0)
    delivered = sorted((one for one in records if one.deliveries_us), key=lambda one: one.deliveries_us[0])
    notified = sorted((one for one in records if one.finals), key=lambda one: one.finals[0].at_us)
    silent = [one for one in acked if one.silent]
    return Ledger(
        acked=len(acked),
        delivered=sum(bool(one.deliveries_us) for one in acked),
        failed=sum(FAILED in one.states for one in acked),
        returned=sum(RETURNED in one.states for one in acked),
        # What is open when the scenario ends is lost only if its time was up by then.
        lost=[one.id for one in silent if not one.open_at(end_us)],
        open=sum(one.open_at(end_us) for one in silent),
        two_finals=[one.id for one in notified if one.has_two_finals()],
        payments_twice=[
            one.id for one in delivered if len(one.deliveries_us) > 1 and one.class_name == PAYMENT
        ],
        disordered=_disordered(acked),
        delivered_and_failed=[one.id for one in notified if one.deliveries_us and FAILED in one.states],
        late=[one.id for one in acked if one.late()],
        turned_away=sum(line.get("event") == "turned_away" for line in lines),
    )


def _disordered(acked: Iterable[MessageRecord]) -> list[str]:
    """Ids of messages that were delivered before an earlier one of their key was, for the last time."""
    keyed = [
        (one.acceptance, one)
        for one in acked
        if one.acceptance is not None and one.acceptance.key and one.deliveries_us
    ]
    found = []
    last_us: dict[tuple[str, int], int] = {}
    for acceptance, one in sorted(keyed, key=lambda pair: pair[0]):
        place = acceptance.courier, acceptance.key
        if one.deliveries_us[0] < last_us.get(place, 0):  # also one that was delivered again behind its next
            found.append(one.id)
        last_us[place] = max(one.deliveries_us[-1], last_us.get(place, 0))
    return found
