"""Replays a history: which members ran at each moment, and how each saw the others.

All checks of a history are functions of a replay and an expectation that return a finding.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from pinspread.testbed.history import Line

SECOND_US = 1_000_000
KILLED = frozenset({"kill", "wipe"})
ENDED = KILLED | {"term"}
TO_THE_END_S = 1e9

Expectation = Mapping[str, Any]
Views = dict[str, dict[str, str]]  # {observer: {member: its state in the observer's view}}


class Finding(NamedTuple):
    """The result of a check: whether the expectation is met, and what was measured."""

    ok: bool
    measured: dict[str, Any]


class Moment(NamedTuple):
    """The state after a line of the history.

    Attributes:
        at_us: The line's time.
        running: The members that run and are not paused.
        views: Each member's view of the others; the replay changes this same dictionary as it goes on.
    """

    at_us: int
    running: set[str]
    views: Views


class Replay:
    """A history whose lines are in order of time.

    Attributes:
        lines: The lines.
        begin_us: When the scenario began.
        end_us: When it ended, before its members were stopped.
        members: All members that were ever started.
    """

    def __init__(self, lines: Sequence[Line]) -> None:
        self.lines = lines
        self.begin_us = self._time_of("stage_began", lines[0])
        self.end_us = self._time_of("ending", lines[-1])
        self.members = sorted({line["who"] for line in lines if line.get("event") == "started"})

    def _time_of(self, event: str, default: Line) -> int:
        first = next((line for line in self.lines if line.get("event") == event), default)
        return int(first["mono_us"])

    def time_us(self, seconds: float) -> int:
        """Convert seconds since the scenario's beginning to monotonic microseconds."""
        return self.begin_us + int(seconds * SECOND_US)

    def after_us(self, expectation: Expectation) -> int:
        """The time from which an expectation applies (`after_s`)."""
        return self.time_us(expectation.get("after_s", 0))

    def span_us(self, expectation: Expectation) -> tuple[int, int]:
        """The beginning and end of the time in which an expectation applies (`from_s`, `to_s`)."""
        return self.time_us(expectation.get("from_s", 0)), self.time_us(expectation.get("to_s", TO_THE_END_S))

    def running_at_end(self) -> set[str]:
        """The members that ran and were not paused when the scenario ended."""
        running: set[str] = set()
        for moment in self.moments():
            if moment.at_us > self.end_us:
                break
            running = moment.running
        return running

    def moments(self) -> Iterator[Moment]:
        """The state after each line."""
        running: set[str] = set()
        paused: set[str] = set()
        views: Views = {}
        for line in self.lines:
            who = line["who"]
            match line.get("event"):
                case "started":
                    running.add(who)
                    views[who] = {}
                case "signalled":
                    _apply_signal(line["do"], who, running, paused)
                case "exited":
                    running.discard(who)
                case "member" if who in views:
                    views[who][line["id"]] = line["state"]
            yield Moment(line["mono_us"], running - paused, views)


Check = Callable[[Replay, Expectation], Finding]


def _apply_signal(kind: str, member: str, running: set[str], paused: set[str]) -> None:
    """Update the sets of running and paused members after a signal to a member."""
    if kind in ENDED:
        running.discard(member)
        paused.discard(member)
    elif kind == "pause":
        paused.add(member)
    elif kind == "resume":
        paused.discard(member)
