"""Where a day's messages went, counted from the logs of all its couriers: `pinspread fleet losses LOGS`.

A log line is an event's JSON object, with or without the seconds at which a runner saw it in front. Times are
microseconds of Unix time. What is counted is the couriers' own word: an answer that was lost on its way counts
as the courier saw it.
"""

from collections import Counter
from pathlib import Path

import orjson

from pinspread.simulation.recorded_events import recorded


class MessageRecord:
    """One message at one courier: when it was taken, what its branches met, how it ended."""

    __slots__ = ("at_us", "cls", "courier", "dest", "end_us", "for_ms", "state", "verdicts", "after_ms")

    def __init__(self, courier, event):
        self.courier = courier
        self.at_us = event["at_us"]
        self.cls = event["cls"]
        self.dest = event["dest"]
        self.for_ms = event["for_ms"]
        self.verdicts = []
        self.state = ""
        self.end_us = 0
        self.after_ms = 0

    def fate(self) -> str:
        """How it ended, and what it had met by then."""
        if not self.state:
            return "open at the end"
        if self.state == "DELIVERED":
            return "DELIVERED"
        return f"{self.state} {'never called' if not self.verdicts else 'after ' + self.verdicts[-1]}"


def read_events(folder):
    """(courier, event) of all logs of a folder, in order of time; ValueError names a line that is none."""
    found = []
    for path in sorted(Path(folder).glob("*.log")):
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            start = line.find(b"{")
            if not line.strip():
                continue
            try:
                event = recorded(orjson.loads(line[max(0, start) :]))
                found.append((event["at_us"], path.stem, event))
            except (orjson.JSONDecodeError, KeyError, TypeError):
                # The last line of a courier that was killed may be cut; what a runtime prints is no event.
                found.append((0, path.stem, {"event": "unread", "line": number}))
    found.sort(key=lambda row: row[0])
    return [(courier, event) for _, courier, event in found]


class LossReport:
    """The account of a day."""

    def __init__(self, folder):
        self.lives = []
        self.branches = []  # (at_us, courier, hop, dest, verdict, note, took_us, idle_us, wait_us)
        self.others = Counter()
        self.probes = []  # (at_us, hop, verdict)
        self.from_us = 0
        self.read(read_events(folder))

    def read(self, rows):
        """Take the events in order of time."""
        open_ = {}
        for courier, event in rows:
            kind = event["event"]
            if not self.from_us and "at_us" in event:
                self.from_us = event["at_us"]
            if kind == "taken":
                life = open_[courier, event["id"]] = MessageRecord(courier, event)
                self.lives.append(life)
            elif kind == "branch":
                life = open_.get((courier, event["id"]))
                dest = life.dest if life else -1
                if life:
                    life.verdicts.append(event["verdict"])
                row = [event[k] for k in ("verdict", "note", "took_us", "idle_us", "wait_us")]
                self.branches.append((event["at_us"], courier, event["hop"], dest, *row))
            elif kind == "final":
                life = open_.get((courier, event["id"]))
                if life:
                    life.state, life.end_us = event["state"], event["at_us"]
                    life.after_ms = event["after_ms"]
            elif kind == "probe":
                self.probes.append((event["at_us"], event["hop"], event["verdict"]))
            else:
                self.others[kind] += 1

    def fates(self) -> Counter:
        """How messages ended."""
        return Counter(life.fate() for life in self.lives)

    def spans(self, span_s=5.0):
        """For each span of the day: fates, verdicts of branches, connections opened, probes."""
        rows = {}

        def row(at_us):
            return rows.setdefault(int((at_us - self.from_us) / 1e6 // span_s), Counter())

        for life in self.lives:
            row(life.at_us)["taken"] += 1
            row(life.at_us)[life.fate()] += 1
        for at_us, _, _, _, verdict, _, _, idle_us, _ in self.branches:
            row(at_us)["branch " + verdict] += 1
            row(at_us)["opened"] += idle_us < 0 and verdict != "CONNECT_FAILED"
        for at_us, _, verdict in self.probes:
            row(at_us)["probe " + verdict] += 1
        return {n * span_s: rows[n] for n in sorted(rows)}

    def partners(self):
        """For each partner: fates, verdicts, notes, how long those that were returned had been held."""
        rows = {}
        for life in self.lives:
            row = rows.setdefault(life.dest, Counter())
            row["taken"] += 1
            row[life.fate()] += 1
            if life.state not in ("", "DELIVERED"):
                row["held_ms"] += (life.end_us - life.at_us) // 1000
        for _, _, _, dest, verdict, _, _, idle_us, wait_us in self.branches:
            row = rows.setdefault(dest, Counter())
            row["branch " + verdict] += 1
            row["told"] += wait_us > 0
            row["opened"] += idle_us < 0 and verdict != "CONNECT_FAILED"
        return dict(sorted(rows.items()))

    def sums(self, dest, span_s=1.0):
        """Calls that the whole fleet had answered or refused at a partner, span by span: (from s, verdicts)."""
        rows = {}
        for at_us, _, _, to, verdict, *_ in self.branches:
            if to == dest:
                rows.setdefault(int((at_us - self.from_us) / 1e6 // span_s), Counter())[verdict] += 1
        return [(n * span_s, rows[n]) for n in sorted(rows)]

    def notes(self) -> Counter:
        """What branches without an answer said."""
        return Counter(f"{verdict}: {note}" for _, _, _, _, verdict, note, *_ in self.branches if note)


def _table(title, rows):
    """A text table of counters by name; a column for each key that any row has."""
    names = sorted({name for row in rows.values() for name in row}, key=lambda n: (n != "taken", n))
    heads = [chr(97 + n) if n < 26 else str(n) for n in range(len(names))]
    lines = [title, *(f"  {head} = {name}" for head, name in zip(heads, names, strict=True))]
    lines.append(" " * 8 + "".join(f"{head:>8}" for head in heads))
    for key, row in rows.items():
        lines.append(f"{key:>8}" + "".join(f"{row.get(name, 0):>8}" for name in names))
    return lines


def format_report(losses, dests=()) -> str:
    """The account as plain text; second by second for the partners named."""
    lines = ["fates: " + ", ".join(f"{name} {n}" for name, n in losses.fates().most_common())]
    lines.append("notes: " + ", ".join(f"{name} ({n})" for name, n in losses.notes().most_common(8)))
    lines.append("events: " + ", ".join(f"{name} {n}" for name, n in losses.others.most_common()))
    lines += _table("by span, s", losses.spans())
    lines += _table("by partner", losses.partners())
    for dest in dests:
        lines.append(f"partner {dest}, second by second")
        lines += [
            f"{at:>8.0f}  " + " ".join(f"{v} {n}" for v, n in row.items()) for at, row in losses.sums(dest)
        ]
    return "\n".join(lines)
