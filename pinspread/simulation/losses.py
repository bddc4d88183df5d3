"""Counts from couriers' logs of how a day's messages and attempts ended: `pinspread fleet losses LOGS`.

A log line is an event's JSON object; the program that ran the courier may have put in front the seconds at
which it read the line. Times are Unix time in microseconds. Events count as the couriers logged them: an
answer that was lost on its way counts as the outcome that the courier saw. The report uses recorded terms.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from pinspread.simulation.recorded_events import recorded

US_PER_S = 1e6
US_PER_MS = 1000
UNKNOWN_DESTINATION = -1  # destination of an attempt whose message was not logged
MAX_NOTES = 8  # number of different notes in the report
DELIVERED = "DELIVERED"


class LogEvent(NamedTuple):
    """An event under its recorded names, and the courier that logged it."""

    courier: str
    event: dict[str, Any]


@dataclass(slots=True)
class MessageRecord:
    """One message at one courier: its acceptance, the outcomes of its attempts, and its final result.

    `state` is empty and `end_us` is 0 until the message has a final result.
    """

    courier: str
    accepted_us: int
    class_name: str
    destination: int
    time_left_ms: int
    outcomes: list[str] = field(default_factory=list)
    state: str = ""
    end_us: int = 0
    retry_after_ms: int = 0

    def fate(self) -> str:
        """Describe its final result, and the outcome of its last attempt by then."""
        if not self.state:
            return "open at the end"
        if self.state == DELIVERED:
            return DELIVERED
        return f"{self.state} {f'after {self.outcomes[-1]}' if self.outcomes else 'never called'}"


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt; `idle_us` is how long its connection had been idle, negative for a new connection."""

    end_us: int
    courier: str
    endpoint: str
    destination: int
    outcome: str
    note: str
    elapsed_us: int
    idle_us: int
    retry_after_us: int

    @property
    def opened_connection(self) -> bool:
        """Whether it opened a connection."""
        return self.idle_us < 0 and self.outcome != "CONNECT_FAILED"


@dataclass(frozen=True, slots=True)
class HealthCheckRecord:
    """One health check."""

    end_us: int
    endpoint: str
    outcome: str


def read_events(folder: str | Path) -> list[LogEvent]:
    """Return the events of all logs (*.log) of a folder in order of time.

    A line that is not an event is returned as an event `unread`.

    Raises:
        OSError: A log cannot be read.
    """
    timed: list[tuple[int, LogEvent]] = []  # (microseconds, event)
    for path in sorted(Path(folder).glob("*.log")):
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            if not line.strip():
                continue
            start = max(0, line.find(b"{"))
            try:
                event = recorded(orjson.loads(line[start:]))
                timed.append((event["at_us"], LogEvent(path.stem, event)))
            except (orjson.JSONDecodeError, KeyError, TypeError):
                # The last line of a courier that was killed may be truncated; a traceback is not an event.
                timed.append((0, LogEvent(path.stem, {"event": "unread", "line": number})))
    timed.sort(key=lambda row: row[0])
    return [event for _, event in timed]


class LossReport:
    """Counts of a day's messages, attempts and health checks.

    Args:
        folder: Folder with the logs of all couriers.

    Attributes:
        messages: All messages, in order of their acceptance.
        attempts: All attempts, in order of their ends.
        health_checks: All health checks, in order of their ends.
        others: Number of events of each other kind.
        from_us: Time of the first event; 0 without events.
    """

    def __init__(self, folder: str | Path):
        self.messages: list[MessageRecord] = []
        self.attempts: list[AttemptRecord] = []
        self.health_checks: list[HealthCheckRecord] = []
        self.others: Counter[str] = Counter()
        self.from_us = 0
        self._by_id: dict[tuple[str, str], MessageRecord] = {}  # the latest message by courier and id
        for courier, event in read_events(folder):
            self._add(courier, event)

    def _add(self, courier: str, event: dict[str, Any]) -> None:
        """Count an event; events come in order of time."""
        kind = event["event"]
        if not self.from_us and "at_us" in event:
            self.from_us = event["at_us"]
        if kind == "taken":
            self._add_message(courier, event)
        elif kind == "branch":
            self._add_attempt(courier, event)
        elif kind == "final":
            self._add_final_result(courier, event)
        elif kind == "probe":
            check = HealthCheckRecord(event["at_us"], event["hop"], event["verdict"])
            self.health_checks.append(check)
        else:
            self.others[kind] += 1

    def _add_message(self, courier: str, event: dict[str, Any]) -> None:
        message = MessageRecord(courier, event["at_us"], event["cls"], event["dest"], event["for_ms"])
        self._by_id[courier, event["id"]] = message
        self.messages.append(message)

    def _add_attempt(self, courier: str, event: dict[str, Any]) -> None:
        message = self._by_id.get((courier, event["id"]))
        if message:
            message.outcomes.append(event["verdict"])
        attempt = AttemptRecord(
            end_us=event["at_us"],
            courier=courier,
            endpoint=event["hop"],
            destination=message.destination if message else UNKNOWN_DESTINATION,
            outcome=event["verdict"],
            note=event["note"],
            elapsed_us=event["took_us"],
            idle_us=event["idle_us"],
            retry_after_us=event["wait_us"],
        )
        self.attempts.append(attempt)

    def _add_final_result(self, courier: str, event: dict[str, Any]) -> None:
        message = self._by_id.get((courier, event["id"]))
        if message:
            message.state = event["state"]
            message.end_us = event["at_us"]
            message.retry_after_ms = event["after_ms"]

    def _interval(self, at_us: int, length_s: float) -> int:
        """Return the number of the interval in which a time lies; all have the same length."""
        return int((at_us - self.from_us) / US_PER_S // length_s)

    def fates(self) -> Counter[str]:
        """Count how messages ended."""
        return Counter(message.fate() for message in self.messages)

    def by_interval(self, length_s: float = 5.0) -> dict[float, Counter[str]]:
        """Count fates, outcomes, health checks and opened connections, by start of interval in seconds."""
        rows: dict[int, Counter[str]] = {}

        def row(at_us: int) -> Counter[str]:
            return rows.setdefault(self._interval(at_us, length_s), Counter())

        for message in self.messages:
            row(message.accepted_us).update(("taken", message.fate()))
        for attempt in self.attempts:
            counts = row(attempt.end_us)
            counts["branch " + attempt.outcome] += 1
            counts["opened"] += attempt.opened_connection
        for check in self.health_checks:
            row(check.end_us)["probe " + check.outcome] += 1
        return {number * length_s: rows[number] for number in sorted(rows)}

    def by_destination(self) -> dict[int, Counter[str]]:
        """Count fates, outcomes and Retry-Afters, and sum the time that undelivered messages were held."""
        rows: dict[int, Counter[str]] = {}
        for message in self.messages:
            counts = rows.setdefault(message.destination, Counter())
            counts.update(("taken", message.fate()))
            if message.state not in ("", DELIVERED):
                counts["held_ms"] += (message.end_us - message.accepted_us) // US_PER_MS
        for attempt in self.attempts:
            counts = rows.setdefault(attempt.destination, Counter())
            counts["branch " + attempt.outcome] += 1
            counts["told"] += attempt.retry_after_us > 0
            counts["opened"] += attempt.opened_connection
        return dict(sorted(rows.items()))

    def outcomes_at(self, destination: int, length_s: float = 1.0) -> list[tuple[float, Counter[str]]]:
        """Count the outcomes of a destination's attempts: (start of the interval in seconds, counts)."""
        rows: dict[int, Counter[str]] = {}
        for attempt in self.attempts:
            if attempt.destination == destination:
                number = self._interval(attempt.end_us, length_s)
                rows.setdefault(number, Counter())[attempt.outcome] += 1
        return [(number * length_s, rows[number]) for number in sorted(rows)]

    def notes(self) -> Counter[str]:
        """Count the notes of attempts that got no answer, each prefixed by the outcome."""
        return Counter(f"{attempt.outcome}: {attempt.note}" for attempt in self.attempts if attempt.note)


def format_report(report: LossReport, destinations: Iterable[int] = ()) -> str:
    """Format the counts as plain text, with the outcomes by second for the given destinations."""
    fates = ", ".join(f"{name} {count}" for name, count in report.fates().most_common())
    notes = ", ".join(f"{name} ({count})" for name, count in report.notes().most_common(MAX_NOTES))
    others = ", ".join(f"{name} {count}" for name, count in report.others.most_common())
    lines = [f"fates: {fates}", f"notes: {notes}", f"events: {others}"]
    lines += _format_table("by span, s", report.by_interval())
    lines += _format_table("by partner", report.by_destination())
    for destination in destinations:
        lines.append(f"partner {destination}, second by second")
        for start_s, outcomes in report.outcomes_at(destination):
            counts = " ".join(f"{outcome} {count}" for outcome, count in outcomes.items())
            lines.append(f"{start_s:>8.0f}  {counts}")
    return "\n".join(lines)


def _format_table(title: str, rows: Mapping[Any, Counter[str]]) -> list[str]:
    """Format counters as a table: a row for each counter, a lettered column for each key."""
    names = sorted({name for row in rows.values() for name in row}, key=lambda name: (name != "taken", name))
    letters = [chr(ord("a") + number) if number < 26 else str(number) for number in range(len(names))]
    lines = [title, *(f"  {letter} = {name}" for letter, name in zip(letters, names, strict=True))]
    lines.append(" " * 8 + "".join(f"{letter:>8}" for letter in letters))
    for key, row in rows.items():
        lines.append(f"{key:>8}" + "".join(f"{row.get(name, 0):>8}" for name in names))
    return lines
