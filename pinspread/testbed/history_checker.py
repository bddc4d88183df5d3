"""The stage's history and its judge: one JSON line an event, in monotonic microseconds of the machine.

A line has `mono_us`, `who` (a member's id, or `stage`) and `event`. The judge replays each member's table
from its `member` lines and which processes ran from the stage's own lines, then weighs expectations:

- `dead`: every member that runs at the end says `of` is dead (or left) within `within_s` of `after_s`; -
`never_dead`: nobody says any of `of` (all members if empty) is dead from `from_s` to `to_s`; - `one_table`:
from `after_s` on, within `within_s`, every running member sees every running one alive and none that is
down alive, and that holds to the end (or to `until_s`); - `refuted`: `of` refuted a rumour of its end, or
came back with a higher incarnation; - those of leases are in judge_leases.py: `one_holder`, `tokens_grow`,
`stale_refused`, `held_again`, `never_held`.

`judge` gives a list of verdicts, each a dict with `ok`, the expectation, and what was measured.
"""

import orjson

from pinspread.testbed import lease_checker as judge_leases
from pinspread.testbed import ledger

SECOND_US = 1_000_000
DOWN = {"kill", "term", "wipe"}


def read(path):
    """The history's lines, in order of time."""
    with open(path, "rb") as file:
        lines = [orjson.loads(line) for line in file if line.strip()]
    return sorted(lines, key=lambda line: line["mono_us"])


def read_scene(path):
    """A stage's history whose times count from when all members served, as a scene's times do."""
    lines = read(path)
    began = next(li["mono_us"] for li in lines if li.get("event") == "serving" and li["who"] == "stage")
    for line in lines:
        if line.get("event") == "stage_began":
            line["mono_us"] = began
    return sorted(lines, key=lambda li: li["mono_us"])


class Replay:
    """Who ran and what each saw, at any moment of the history."""

    def __init__(self, lines):
        self.lines = lines
        self.begin = next(
            (li["mono_us"] for li in lines if li.get("event") == "stage_began"), lines[0]["mono_us"]
        )
        self.members = sorted({li["who"] for li in lines if li.get("event") == "started"})
        self.end = next((li["mono_us"] for li in lines if li.get("event") == "ending"), lines[-1]["mono_us"])

    def at(self, s):
        return self.begin + int(s * SECOND_US)

    def at_end(self):
        """Who ran, not paused, when the scene ended (before the stage ended them all)."""
        final = set()
        for when, running, _ in self.states():
            if when > self.end:
                break
            final = set(running)
        return final

    def states(self):
        """Moments and, for each, who runs (not paused) and the tables: yields (mono_us, running, views)."""
        running, paused, views = set(), set(), {}
        for line in self.lines:
            who, event = line["who"], line.get("event")
            if event == "started":
                running.add(who)
                views[who] = {}
            elif event == "signalled":
                if line["do"] in DOWN:
                    running.discard(who)
                    paused.discard(who)
                elif line["do"] == "pause":
                    paused.add(who)
                elif line["do"] == "resume":
                    paused.discard(who)
            elif event == "exited":
                running.discard(who)
            elif event == "member" and who in views:
                views[who][line["id"]] = line["state"]
            yield line["mono_us"], running - paused, views


def _dead(replay, lines, e):
    after = replay.at(e.get("after_s", 0))
    seers = replay.at_end() - {e["of"]}
    told = {}
    for line in lines:
        if line["mono_us"] >= after and line.get("event") == "member" and line["id"] == e["of"]:
            if line["state"] in ("dead", "left") and line["who"] in seers:
                told.setdefault(line["who"], (line["mono_us"] - after) / SECOND_US)
    worst = max(told.values()) if told and len(told) == len(seers) else None
    ok = worst is not None and worst <= e["within_s"]
    return ok, {"seers": len(seers), "told": len(told), "slowest_s": worst, "each_s": sorted(told.values())}


def _never_dead(replay, lines, e):
    of = set(e.get("of") or replay.members)
    begin, end = replay.at(e.get("from_s", 0)), replay.at(e.get("to_s", 1e9))
    deaths = [
        {"who": li["who"], "of": li["id"], "s": round((li["mono_us"] - replay.begin) / SECOND_US, 3)}
        for li in lines
        if li.get("event") == "member"
        and li["state"] == "dead"
        and li["id"] in of
        and begin <= li["mono_us"] <= end
    ]
    return not deaths, {"deaths": deaths}


def _one_table(replay, lines, e):
    after = replay.at(e.get("after_s", 0))
    since = None
    end = min(replay.end, replay.at(e.get("until_s", 1e9)))
    for when, running, views in replay.states():
        if when < after:
            continue
        if when > end:
            break
        one = agreed(running, views, replay.members)
        if one and since is None:
            since = when
        elif not one:
            since = None
    took = None if since is None else max(0, since - after) / SECOND_US
    return took is not None and took <= e["within_s"], {"took_s": took}


def agreed(running, views, members):
    """Whether every running member sees every running one alive, and none of the others alive."""
    return all(
        all((views[s].get(m) == "alive") == (m in running) for m in members if m != s) for s in running
    )


def _refuted(replay, lines, e):
    after = replay.at(e.get("after_s", 0))
    said = [
        li for li in lines if li["who"] == e["of"] and li.get("event") == "refuted" and li["mono_us"] >= after
    ]
    return bool(said), {"refutations": len(said)}


def _ledger(replay, lines, e):
    found = ledger.ledger(lines)
    return found.clean and found.acked >= e.get("least", 1), found.to_dict(ledger.MAX_LISTED)


KINDS = {"dead": _dead, "never_dead": _never_dead, "one_table": _one_table, "refuted": _refuted}
KINDS |= judge_leases.KINDS | {"ledger": _ledger}


def judge(lines, expectations):
    """The verdict on each expectation; an unknown kind is a ValueError."""
    replay = Replay(lines)
    found = []
    for e in expectations:
        if e.get("kind") not in KINDS:
            raise ValueError(f"unknown expectation {e.get('kind')!r}: one of {', '.join(KINDS)}")
        ok, measured = KINDS[e["kind"]](replay, lines, e)
        found.append({"ok": ok, **e, **measured})
    faults = [li for li in lines if li.get("event") in ("fault", "internal_error", "crashed")]
    found.append({"ok": not faults, "kind": "no_fault", "faults": faults[:5]})
    return found


def false_deaths(lines):
    """Deaths said of a member that was running and not paused then, and the member-hours that ran."""
    replay = Replay(lines)
    false, member_us, last, before = 0, 0, None, set()
    for line, (when, running, _) in zip(replay.lines, replay.states(), strict=True):
        if last is not None:
            member_us += len(before) * (when - last)
        last, before = when, set(running)
        if line.get("event") == "member" and line["state"] == "dead" and line["id"] in running:
            false += 1
    return false, member_us / 3600 / SECOND_US
