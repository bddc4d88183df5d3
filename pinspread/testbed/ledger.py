"""The outcome of all messages that couriers acknowledged, from the history of a cluster test.

Events of the history: `acked` (a client got a courier's +OK or confirm), `taken` (the courier's log of having
accepted the message), `delivered` (the destination executed it) and `final` (the platform or an AMQP consumer
received the final result).
"""

from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from pinspread.testbed.history import Line

PAYMENT = "payment"
FAILED = "failed"
RETURNED = "returned"
NOTIFICATION_GRACE_US = 1_000_000  # how long after a message's deadline its notification may arrive
MAX_LISTED = 10


class Acceptance(NamedTuple):
    """A courier's event that it accepted a message.

    The order of the fields matters: sorted, acceptances of one courier and key are in order of acceptance.
    """

    courier: str
    key: int
    at_us: int
    deadline_us: int


class Final(NamedTuple):
    """A final result of which the client was notified."""

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
        """The states of which the client was notified."""
        return {final.state for final in self.finals}

    @property
    def unresolved(self) -> bool:
        """Whether it was neither delivered nor notified."""
        return not self.deliveries_us and not self.finals

    @property
    def ended_us(self) -> int:
        """When it was first delivered or notified; 0 if neither."""
        times_us = self.deliveries_us[:1] + [final.at_us for final in self.finals[:1]]
        return min(times_us, default=0)

    def open_at(self, end_us: int) -> bool:
        """Whether its deadline is after `end_us`."""
        return self.acceptance is not None and self.acceptance.deadline_us > end_us

    def late(self) -> bool:
        """Whether it ended later than `NOTIFICATION_GRACE_US` after its deadline."""
        acceptance = self.acceptance
        return acceptance is not None and self.ended_us > acceptance.deadline_us + NOTIFICATION_GRACE_US

    def has_two_finals(self) -> bool:
        """Whether it has two different final results, or was delivered after it was returned."""
        return len(self.states) > 1 or self._delivered_after_return()

    def _delivered_after_return(self) -> bool:
        """Whether it was acknowledged, then returned, and then delivered.

        A message that was returned before it was acknowledged may be submitted again under the same id.
        """
        if self.acked_us is None or not self.finals or not self.deliveries_us:
            return False
        notified_us = self.finals[0].at_us
        return (
            self.acked_us < notified_us and RETURNED in self.states and self.deliveries_us[-1] > notified_us
        )


@dataclass(frozen=True)
class Ledger:
    """Counts of messages, and the ids of those that violate a guarantee.

    Only acknowledged messages are in `acked`, `delivered`, `failed`, `returned`, `lost`, `open`, `disordered`
    and `late`.

    Attributes:
        acked: Acknowledged.
        delivered: Delivered.
        failed: Notified as failed.
        returned: Notified as returned.
        lost: Neither delivered nor notified, with a deadline before the scenario's end.
        open: Neither delivered nor notified, with a deadline after the scenario's end.
        two_finals: With two different final results, or delivered after they were returned.
        payments_twice: Payments that were delivered more than once.
        disordered: Delivered before an earlier message of the same ordering key.
        delivered_and_failed: Notified as failed although they were delivered.
        late: Ended later than `NOTIFICATION_GRACE_US` after their deadline.
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
        """Whether `lost`, `two_finals`, `payments_twice` and `disordered` are empty."""
        return not (self.lost or self.two_finals or self.payments_twice or self.disordered)

    def to_dict(self, max_listed: int | None = None) -> dict[str, Any]:
        """The ledger as a table, with at most `max_listed` ids in each list."""
        return {
            key: value if isinstance(value, int) else value[:max_listed]
            for key, value in asdict(self).items()
        }


def message_records(lines: Iterable[Line]) -> dict[str, MessageRecord]:
    """All messages of a history, given in order of time, by id."""
    records: dict[str, MessageRecord] = {}
    for line in lines:
        id_ = line.get("id")
        if isinstance(id_, str):
            _add(records.setdefault(id_, MessageRecord(id_)), line)
    return records


def _add(record: MessageRecord, line: Line) -> None:
    """Update the record of a message with a line of the history."""
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
    """The outcome of the messages of a history, given in order of time."""
    lines = list(lines)
    end_us = next((line["mono_us"] for line in lines if line.get("event") == "ending"), 0)
    records = message_records(lines).values()
    acked = sorted(
        (message for message in records if message.acked_us is not None),
        key=lambda message: message.acked_us or 0,
    )
    delivered = sorted(
        (message for message in records if message.deliveries_us),
        key=lambda message: message.deliveries_us[0],
    )
    notified = sorted(
        (message for message in records if message.finals), key=lambda message: message.finals[0].at_us
    )
    unresolved = [message for message in acked if message.unresolved]
    return Ledger(
        acked=len(acked),
        delivered=sum(bool(message.deliveries_us) for message in acked),
        failed=sum(FAILED in message.states for message in acked),
        returned=sum(RETURNED in message.states for message in acked),
        # A message without an outcome at the scenario's end is lost only if its deadline has passed by then.
        lost=[message.id for message in unresolved if not message.open_at(end_us)],
        open=sum(message.open_at(end_us) for message in unresolved),
        two_finals=[message.id for message in notified if message.has_two_finals()],
        payments_twice=[
            message.id
            for message in delivered
            if len(message.deliveries_us) > 1 and message.class_name == PAYMENT
        ],
        disordered=_disordered(acked),
        delivered_and_failed=[
            message.id for message in notified if message.deliveries_us and FAILED in message.states
        ],
        late=[message.id for message in acked if message.late()],
        turned_away=sum(line.get("event") == "turned_away" for line in lines),
    )


def _disordered(acked: Iterable[MessageRecord]) -> list[str]:
    """Ids of messages delivered before the last delivery of an earlier message of the same ordering key."""
    keyed = [
        (message.acceptance, message)
        for message in acked
        if message.acceptance is not None and message.acceptance.key and message.deliveries_us
    ]
    out_of_order = []
    last_us: dict[tuple[str, int], int] = {}
    for acceptance, message in sorted(keyed, key=lambda pair: pair[0]):
        order = acceptance.courier, acceptance.key
        # This includes an earlier message that was delivered in order, and then again after this one.
        if message.deliveries_us[0] < last_us.get(order, 0):
            out_of_order.append(message.id)
        last_us[order] = max(message.deliveries_us[-1], last_us.get(order, 0))
    return out_of_order
