"""What restarts found accepted without an attempt, and what became of it, from a day's logs: `untried.py LOGS`.

A message counts where it was accepted before a start, had no attempt in the log by then, over half of its time was
left, and its first attempt afterwards, if any, is number 0. One that was in flight at a kill leaves no line and counts
as untried where no attempt follows, so what is shown given up is an upper bound: up to the slots of each courier.
"""

import sys
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from pinspread.simulation.losses import read_events

DEADLINE_TOLERANCE_US = 50_000  # a message given up this close to its deadline was given up for its time


@dataclass
class OpenMessage:
    """A message without a final result; times in microseconds of the courier's clock."""

    accepted_us: int
    deadline_us: int
    has_attempt: bool = False

    def is_young(self, now_us):
        """Whether at least half of its time is left."""
        return (self.deadline_us - now_us) * 2 >= self.deadline_us - self.accepted_us


class Untried(NamedTuple):
    """A message that a restart found without an attempt."""

    deadline_us: int
    start_us: int


class CourierLog:
    """Follows the events of one courier, in order of time."""

    def __init__(self):
        self.fates = Counter()
        self.early_s = []  # from the start to the end of what was given up early without a call
        self.open = {}
        self.untried = {}
        self.handlers = {
            "recovered": self.recovered,
            "taken": self.accepted,
            "branch": self.attempted,
            "final": self.ended,
        }

    def follow(self, event):
        """Take one event of the log into account."""
        handler = self.handlers.get(event["event"])
        if handler:
            handler(event, event.get("id"), event.get("at_us", 0))

    def recovered(self, _, __, at_us):
        """The courier has started again."""
        for id_, message in self.open.items():
            if not message.has_attempt and message.is_young(at_us) and id_ not in self.untried:
                self.untried[id_] = Untried(message.deadline_us, at_us)

    def accepted(self, event, id_, at_us):
        """A message was accepted."""
        self.open[id_] = OpenMessage(at_us, at_us + event["for_ms"] * 1000)

    def attempted(self, event, id_, _):
        """An attempt has ended."""
        if id_ not in self.open:
            return
        self.open[id_].has_attempt = True
        if self.untried.pop(id_, None):
            self.fates["tried" if event["n"] == 0 else "was out at the kill"] += 1

    def ended(self, event, id_, at_us):
        """A message has its final result."""
        if not self.open.pop(id_, None) or id_ not in self.untried:
            return
        untried = self.untried.pop(id_)
        if at_us < untried.deadline_us - DEADLINE_TOLERANCE_US:
            self.fates["given up early, no call: " + event["state"]] += 1
            self.early_s.append((at_us - untried.start_us) / 1e6)
        else:
            self.fates["time over, no call"] += 1


def count_fates(folder):
    """Counter of fates, and seconds from the start to the end for what was given up early with no call."""
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
    """courier -> its events, in order of time."""
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
