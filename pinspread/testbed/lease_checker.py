"""Checks what a history says of leases: holders, their actions and fencing tokens.

Expectations, by their `kind`:

- `one_holder`: no two members hold a task at the same time, by the members' own events;
- `tokens_grow`: the tokens that the resource accepted never decrease, and only one member uses each;
- `stale_refused`: the resource received and refused at least one action with an outdated token;
- `held_again`: within `within_s` of `after_s` a member other than `of` holds each task;
- `never_held`: none of `of` obtains or renews a lease from `from_s` to `to_s`.

A *span* lasts from a member's `lease_held` to when it must stop acting: at the last `stops_us` it was given,
or earlier if it lost the lease, gave it back or its process ended. The span of a paused process goes on,
although the process cannot act, which makes the checks stricter.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from pinspread.testbed.history import Line
from pinspread.testbed.replay import KILLED, SECOND_US, Check, Expectation, Finding, Replay

LEASE_ENDS = frozenset({"lease_lost", "lease_given_back"})
MAX_LISTED = 5


@dataclass
class Span:
    """A time in which one member holds a task; in monotonic microseconds of the machine."""

    task: str
    member: str
    token: int
    begin_us: int
    end_us: int

    def end_no_later_than(self, at_us: int) -> None:
        """Move the end to `at_us` if it is later."""
        self.end_us = min(self.end_us, at_us)


def spans(lines: Iterable[Line]) -> list[Span]:
    """All spans of a history, in order of their beginnings."""
    all_spans: list[Span] = []
    current: dict[tuple[str, str], Span] = {}  # by member and task
    for line in lines:
        who, event, at_us = line["who"], line.get("event"), line["mono_us"]
        holding = (who, line.get("task", ""))
        if event == "lease_held":
            current[holding] = Span(line["task"], who, line["token"], at_us, line["stops_us"])
            all_spans.append(current[holding])
        elif event == "lease_kept" and holding in current:
            current[holding].end_us = line["stops_us"]
        elif event in LEASE_ENDS and holding in current:
            current.pop(holding).end_no_later_than(at_us)
        elif event == "exited" or (event == "signalled" and line["do"] in KILLED):
            for lost in [holding for holding in current if holding[0] == who]:
                current.pop(lost).end_no_later_than(at_us)
    return all_spans


def actions(lines: Iterable[Line]) -> list[Line]:
    """The actions that the resource received."""
    return [line for line in lines if line.get("event") == "act"]


def held_share(lines: Sequence[Line], begin_us: int, end_us: int) -> dict[str, float]:
    """For each task, the share of the time from `begin_us` to `end_us` in which a member held it."""
    held_us: dict[str, int] = {}
    for span in spans(lines):
        within_us = max(0, min(span.end_us, end_us) - max(span.begin_us, begin_us))
        held_us[span.task] = held_us.get(span.task, 0) + within_us
    return {task: us / (end_us - begin_us) for task, us in held_us.items()}


def gaps(lines: Sequence[Line]) -> list[float | None]:
    """For each loss of a task's holder, the seconds until the task is held again; None if it never is.

    A holder is lost when it is killed, wiped or paused.
    """
    gaps_s = []
    held = spans(lines)
    for line in lines:
        if line.get("event") != "signalled" or line["do"] not in KILLED | {"pause"}:
            continue
        at_us = line["mono_us"]
        for span in held:
            if span.member != line["who"] or not span.begin_us <= at_us <= span.end_us:
                continue
            next_begins_us = [s.begin_us for s in held if s.task == span.task and s.begin_us > at_us]
            gaps_s.append((min(next_begins_us) - at_us) / SECOND_US if next_begins_us else None)
    return gaps_s


def _one_holder(replay: Replay, expectation: Expectation) -> Finding:
    held = spans(replay.lines)
    overlaps = []
    last: dict[str, Span] = {}
    for span in held:
        before = last.get(span.task)
        if before and before.member != span.member and span.begin_us < before.end_us:
            members = [before.member, span.member]
            overlaps.append({"task": span.task, "of": members, "us": before.end_us - span.begin_us})
        if not before or span.end_us > before.end_us:
            last[span.task] = span
    return Finding(not overlaps and bool(last), {"spans": len(held), "overlaps": overlaps[:MAX_LISTED]})


def _tokens_grow(replay: Replay, expectation: Expectation) -> Finding:
    came = actions(replay.lines)
    newest: dict[str, int] = {}
    holders: dict[tuple[str, int], str] = {}
    wrong = []
    for action in came:
        task, token, holder = action["task"], action["token"], action["holder"]
        key = task, token
        if holders.setdefault(key, holder) != holder:
            wrong.append(f"{key} used by {holders[key]} and {holder}")
        if not action["taken"]:
            continue
        if token < newest.get(task, 0):
            wrong.append(f"{key} taken after {newest[task]}")
        else:
            newest[task] = token
    refused = sum(not action["taken"] for action in came)
    measured = {"acts": len(came), "refused": refused, "wrong": wrong[:MAX_LISTED]}
    return Finding(not wrong and bool(newest), measured)


def _stale_refused(replay: Replay, expectation: Expectation) -> Finding:
    refused = [action for action in actions(replay.lines) if not action["taken"]]
    listed = [[action["task"], action["holder"], action["token"]] for action in refused[:MAX_LISTED]]
    return Finding(bool(refused), {"refused": listed})


def _held_again(replay: Replay, expectation: Expectation) -> Finding:
    after_us = replay.after_us(expectation)
    held = spans(replay.lines)
    took_s: dict[str, float | None] = {}
    for task in {span.task for span in held}:
        times_us = [
            max(span.begin_us, after_us)
            for span in held
            if span.task == task and span.end_us > after_us and span.member != expectation.get("of")
        ]
        took_s[task] = (min(times_us) - after_us) / SECOND_US if times_us else None
    within_s = expectation["within_s"]
    in_time = all(took is not None and took <= within_s for took in took_s.values())
    return Finding(bool(took_s) and in_time, {"took_s": took_s})


def _never_held(replay: Replay, expectation: Expectation) -> Finding:
    begin_us, end_us = replay.span_us(expectation)
    held = [
        line["who"]
        for line in replay.lines
        if line.get("event") in ("lease_held", "lease_kept")
        and line["who"] in expectation["of"]
        and begin_us <= line["mono_us"] <= end_us
    ]
    return Finding(not held, {"held": held[:MAX_LISTED]})


CHECKS: Mapping[str, Check] = {
    "one_holder": _one_holder,
    "tokens_grow": _tokens_grow,
    "stale_refused": _stale_refused,
    "held_again": _held_again,
    "never_held": _never_held,
}
