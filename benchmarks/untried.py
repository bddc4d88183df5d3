"""Counts how messages ended that had no attempt when their courier restarted, from a day's logs: `untried.py LOGS`.

A message counts if it was accepted before a start and had no attempt in the log by then, at least half of its time was
left, and its first attempt afterwards, if any, has number 0. An attempt in flight at a kill leaves no line, so its
message counts as untried if no attempt follows. The number of messages given up is therefore an upper bound: it may be
too high by as many as each courier has slots for concurrent calls.
"""

import sys
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from pinspread.simulation.losses import read_events

DEADLINE_TOLERANCE_US = 50_000  # a message given up this close to its deadline counts as expired


@dataclass
class OpenMessage:
    """A message without a final result; times are in microseconds of the courier's clock."""

    accepted_us: int
    deadline_us: int
    has_attempt: bool = False

    def is_young(self, now_us):
        """Return whether at least half of its time is left."""
        return (self.deadline_us - now_us) * 2 >= self.deadline_us - self.accepted_us


class Untried(NamedTuple):
    """A message that had no attempt when its courier restarted."""

    deadline_us: int
    start_us: int


class CourierLog:
    """Processes the events of one courier in order of time."""

    def __init__(self):
        self.fates = Counter()
        self.early_s = []  # seconds from the start to the end, of messages given up early without a call
        self.open = {}
        self.untried = {}
        self.handlers = {
            "recovered": self.recovered,
            "taken": self.accepted,
            "branch": self.attempted,
            "final": self.ended,
        }

    def follow(self, event):
        """Process one event of the log."""
        handler = self.handlers.get(event["event"])
        if handler:
            handler(event, event.get("id"), event.get("at_us", 0))

    def recovered(self, _, __, at_us):
        """Process a restart of the courier."""
        for id_, message in self.open.items():
            if not message.has_attempt and message.is_young(at_us) and id_ not in self.untried:
                self.untried[id_] = Untried(message.deadline_us, at_us)

    def accepted(self, event, id_, at_us):
        """Process the acceptance of a message."""
        self.open[id_] = OpenMessage(at_us, at_us + event["for_ms"] * 1000)

    def attempted(self, event, id_, _):
        """Process the end of an attempt."""
        if id_ not in self.open:
            return
        self.open[id_].has_attempt = True
        if self.untried.pop(id_, None):
            self.fates["tried" if event["n"] == 0 else "was in flight at the kill"] += 1

    def ended(self, event, id_, at_us):
        """Process the final result of a message."""
        if not self.open.pop(id_, None) or id_ not in self.untried:
            return
        untried = self.untried.pop(id_)
        if at_us < untried.deadline_us - DEADLINE_TOLERANCE_US:
            self.fates["given up early, no call: " + event["state"]] += 1
            self.early_s.append((at_us - untried.start_us) / 1e6)
        else:
            self.fates["expired, no call"] += 1


def count_fates(folder):
    """Return a counter of fates, and the seconds from start to end of messages given up early without a call."""
    fates, early_s = Counter(), []
    for events in by_courier(folder).values():
        log = CourierLog()
        for event in events:
            log.follow(event)
        fates.update(log.fates)
        fates["open at the end"] += len(log.untried)
        early_s += log.early_s
    return fates, early_s


def by_courier(folder):
    """Return the events of each courier in order of time."""
    rows = defaultdict(list)
    for courier, event in read_events(folder):
        rows[courier].append(event)
    return rows


if __name__ == "__main__":
    fates, early_s = count_fates(sys.argv[1])
    for fate, n in fates.most_common():
        print(f"{n:>7}  {n / max(1, sum(fates.values())):6.1%}  {fate}")
    early_s.sort()
    if early_s:
        print(f"given up after its start, s: median {early_s[len(early_s) // 2]:.2f}, last {early_s[-1]:.2f}")
