"""Checks a cluster's history: one JSON line an event, in monotonic microseconds of the machine.

A line has `mono_us`, `who` (a member's id, or `stage` for the test bed) and `event`. Each member's view of
the others is replayed from its `member` lines, and which processes ran from the lines that the test bed adds.
Expectations, by their `kind`:

- `dead`: every member that runs at the end reports `of` as dead (or left) within `within_s` of `after_s`;
- `never_dead`: no member reports any of `of` (all members if empty) as dead from `from_s` to `to_s`;
- `one_table`: within `within_s` of `after_s`, every running member sees exactly the running members alive,
  and this holds to the end (or to `until_s`);
- `refuted`: `of` refuted a report that it is suspect or dead, or returned with a higher incarnation;
- `ledger`: at least `least` messages are acknowledged; none of them is lost, has two final results or is
  delivered out of order, and no payment is delivered twice;
- those of leases, in `lease_checker`.
"""

from collections.abc import Mapping, Sequence
from os import PathLike
from typing import Any, NamedTuple

import orjson

from pinspread.testbed import lease_checker
from pinspread.testbed.cluster_scenario import ScenarioError
from pinspread.testbed.history import Line
from pinspread.testbed.ledger import MAX_LISTED, ledger
from pinspread.testbed.replay import SECOND_US, TO_THE_END_S, Check, Expectation, Finding, Replay

DEAD_STATES = ("dead", "left")
PROGRAM_FAULTS = ("fault", "internal_error", "crashed")
MAX_FAULTS = 5  # listed in a verdict


def read(path: str | PathLike[str]) -> list[Line]:
    """The lines of a history file, in order of time."""
    with open(path, "rb") as file:
        lines = [orjson.loads(line) for line in file if line.strip()]
    return sorted(lines, key=lambda line: line["mono_us"])


def read_scenario(path: str | PathLike[str]) -> list[Line]:
    """The lines of a history file, with `stage_began` moved to when all members served.

    The times of a scenario's faults and expectations count from then.
    """
    lines = read(path)
    began_us = next(
        line["mono_us"] for line in lines if line.get("event") == "serving" and line["who"] == "stage"
    )
    moved = [{**line, "mono_us": began_us} if line.get("event") == "stage_began" else line for line in lines]
    return sorted(moved, key=lambda line: line["mono_us"])


def check(lines: Sequence[Line], expectations: Sequence[Expectation]) -> list[dict[str, Any]]:
    """Check a history, given in order of time.

    Returns:
        A verdict on each expectation, then one on internal errors of members (`no_fault`). Each is a table of
        `ok`, the expectation and what was measured.

    Raises:
        ScenarioError: An expectation's kind is unknown.
    """
    replay = Replay(lines)
    verdicts = []
    for expectation in expectations:
        run = CHECKS.get(expectation.get("kind", ""))
        if run is None:
            kinds = ", ".join(CHECKS)
            raise ScenarioError(f"unknown expectation {expectation.get('kind')!r}: expected one of {kinds}")
        ok, measured = run(replay, expectation)
        verdicts.append({"ok": ok, **expectation, **measured})
    faults = [line for line in lines if line.get("event") in PROGRAM_FAULTS]
    verdicts.append({"ok": not faults, "kind": "no_fault", "faults": faults[:MAX_FAULTS]})
    return verdicts


def all_agree(running: set[str], views: Mapping[str, Mapping[str, str]], members: Sequence[str]) -> bool:
    """Whether every running member sees exactly the other running members alive."""
    return all(
        (views[observer].get(member) == "alive") == (member in running)
        for observer in running
        for member in members
        if member != observer
    )


class FalseDeaths(NamedTuple):
    """How often a member was reported dead while it ran unpaused, and the hours that members ran, summed."""

    deaths: int
    member_hours: float


def false_deaths(lines: Sequence[Line]) -> FalseDeaths:
    """Count the false deaths of a history, given in order of time."""
    replay = Replay(lines)
    false, member_us = 0, 0
    last_us: int | None = None
    running: set[str] = set()
    for line, moment in zip(replay.lines, replay.moments(), strict=True):
        if last_us is not None:
            member_us += len(running) * (moment.at_us - last_us)
        last_us, running = moment.at_us, moment.running
        if line.get("event") == "member" and line["state"] == "dead" and line["id"] in running:
            false += 1
    return FalseDeaths(false, member_us / 3600 / SECOND_US)


def _dead(replay: Replay, expectation: Expectation) -> Finding:
    after_us = replay.after_us(expectation)
    dead = expectation["of"]
    observers = replay.running_at_end() - {dead}
    took_s: dict[str, float] = {}
    for line in replay.lines:
        if line["mono_us"] < after_us or line.get("event") != "member" or line["id"] != dead:
            continue
        if line["state"] in DEAD_STATES and line["who"] in observers:
            took_s.setdefault(line["who"], (line["mono_us"] - after_us) / SECOND_US)
    slowest_s = max(took_s.values()) if took_s and len(took_s) == len(observers) else None
    measured = {"seers": len(observers), "told": len(took_s), "slowest_s": slowest_s}
    ok = slowest_s is not None and slowest_s <= expectation["within_s"]
    return Finding(ok, measured | {"each_s": sorted(took_s.values())})


def _never_dead(replay: Replay, expectation: Expectation) -> Finding:
    members = set(expectation.get("of") or replay.members)
    begin_us, end_us = replay.span_us(expectation)
    deaths = [
        {
            "who": line["who"],
            "of": line["id"],
            "s": round((line["mono_us"] - replay.begin_us) / SECOND_US, 3),
        }
        for line in replay.lines
        if line.get("event") == "member"
        and line["state"] == "dead"
        and line["id"] in members
        and begin_us <= line["mono_us"] <= end_us
    ]
    return Finding(not deaths, {"deaths": deaths})


def _one_table(replay: Replay, expectation: Expectation) -> Finding:
    after_us = replay.after_us(expectation)
    end_us = min(replay.end_us, replay.time_us(expectation.get("until_s", TO_THE_END_S)))
    since_us = None
    for moment in replay.moments():
        if moment.at_us < after_us:
            continue
        if moment.at_us > end_us:
            break
        if not all_agree(moment.running, moment.views, replay.members):
            since_us = None
        elif since_us is None:
            since_us = moment.at_us
    took_s = None if since_us is None else max(0, since_us - after_us) / SECOND_US
    return Finding(took_s is not None and took_s <= expectation["within_s"], {"took_s": took_s})


def _refuted(replay: Replay, expectation: Expectation) -> Finding:
    after_us = replay.after_us(expectation)
    refutations = sum(
        line["who"] == expectation["of"] and line.get("event") == "refuted" and line["mono_us"] >= after_us
        for line in replay.lines
    )
    return Finding(refutations > 0, {"refutations": refutations})


def _ledger(replay: Replay, expectation: Expectation) -> Finding:
    counts = ledger(replay.lines)
    return Finding(counts.clean and counts.acked >= expectation.get("least", 1), counts.to_dict(MAX_LISTED))


CHECKS: Mapping[str, Check] = {
    "dead": _dead,
    "never_dead": _never_dead,
    "one_table": _one_table,
    "refuted": _refuted,
    **lease_checker.CHECKS,
    "ledger": _ledger,
}
