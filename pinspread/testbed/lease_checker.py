"""What a history says of leases: the judge's expectations on holders, acts and tokens, and their figures.

A *span* is from a member's `lease_held` to when its acts had to end: the last `stops_us` that it was told, or
earlier, when it lost the lease, gave it back or its process ended. A paused process cannot act, but its span
goes on, which is the harder reading.
"""

from dataclasses import dataclass

SECOND_US = 1_000_000
ENDS = {"lease_lost", "lease_given_back"}
DOWN = {"kill", "wipe"}


@dataclass
class Span:
    """One member's time as a holder; monotonic microseconds of the machine."""

    task: str
    member: str
    token: int
    begin_us: int
    end_us: int


def spans(lines):
    """Every time of holding, in order of its beginning."""
    found, now = [], {}
    for line in lines:
        who, event, at = line["who"], line.get("event"), line["mono_us"]
        if event == "lease_held":
            span = Span(line["task"], who, line["token"], at, line["stops_us"])
            found.append(span)
            now[who, line["task"]] = span
        elif event == "lease_kept" and (who, line["task"]) in now:
            now[who, line["task"]].end_us = line["stops_us"]
        elif event in ENDS and (who, line["task"]) in now:
            span = now.pop((who, line["task"]))
            span.end_us = min(span.end_us, at)
        elif event == "exited" or (event == "signalled" and line["do"] in DOWN):
            for key in [k for k in now if k[0] == who]:
                span = now.pop(key)
                span.end_us = min(span.end_us, at)
    return found


def acts(lines):
    return [li for li in lines if li.get("event") == "act"]


def _one_holder(replay, lines, e):
    """No two members hold a task in overlapping time, by their own word in the machine's time."""
    overlaps, last = [], {}
    for span in spans(lines):
        before = last.get(span.task)
        if before and before.member != span.member and span.begin_us < before.end_us:
            overlaps.append(
                {"task": span.task, "of": [before.member, span.member], "us": before.end_us - span.begin_us}
            )
        if not before or span.end_us > before.end_us:
            last[span.task] = span
    return not overlaps and bool(last), {"spans": len(spans(lines)), "overlaps": overlaps[:5]}


def _tokens_grow(replay, lines, e):
    """What the resource took never falls, and one token is one member's."""
    seen, of, wrong, refused = {}, {}, [], 0
    for act in acts(lines):
        key = act["task"], act["token"]
        if of.setdefault(key, act["holder"]) != act["holder"]:
            wrong.append(f"{key} used by {of[key]} and {act['holder']}")
        if not act["taken"]:
            refused += 1
        elif act["token"] < seen.get(act["task"], 0):
            wrong.append(f"{key} taken after {seen[act['task']]}")
        else:
            seen[act["task"]] = act["token"]
    return not wrong and bool(seen), {"acts": len(acts(lines)), "refused": refused, "wrong": wrong[:5]}


def _stale_refused(replay, lines, e):
    """At least one act with an old token came, and was refused."""
    refused = [a for a in acts(lines) if not a["taken"]]
    return bool(refused), {"refused": [[a["task"], a["holder"], a["token"]] for a in refused[:5]]}


def held_share(lines, begin, end):
    """{task: share of the time from begin to end in which a member holds it}."""
    found = {}
    for span in spans(lines):
        took = max(0, min(span.end_us, end) - max(span.begin_us, begin))
        found[span.task] = found.get(span.task, 0) + took
    return {task: us / (end - begin) for task, us in found.items()}


def gaps(lines, members=None):
    """Seconds from a holder's loss (killed, wiped or paused) to the next member's holding, one a loss and
    task."""
    found = []
    told = spans(lines)
    for line in lines:
        if line.get("event") != "signalled" or line["do"] not in DOWN | {"pause"}:
            continue
        at, who = line["mono_us"], line["who"]
        for span in told:
            if span.member != who or not span.begin_us <= at <= span.end_us:
                continue
            after = [s.begin_us for s in told if s.task == span.task and s.begin_us > at]
            found.append((min(after) - at) / SECOND_US if after else None)
    return found


def _held_again(replay, lines, e):
    """After `after_s` a member other than `of` holds each task within `within_s`."""
    after = replay.at(e.get("after_s", 0))
    tasks = {s.task for s in spans(lines)}
    took = {}
    for task in tasks:
        times = [
            max(s.begin_us, after)
            for s in spans(lines)
            if s.task == task and s.end_us > after and s.member != e.get("of")
        ]
        took[task] = (min(times) - after) / SECOND_US if times else None
    ok = bool(tasks) and all(t is not None and t <= e["within_s"] for t in took.values())
    return ok, {"took_s": took}


def _never_held(replay, lines, e):
    """None of `of` begins to hold or keeps anything from `from_s` to `to_s`."""
    begin, end = replay.at(e.get("from_s", 0)), replay.at(e.get("to_s", 1e9))
    wrong = [
        li["who"]
        for li in lines
        if li.get("event") in ("lease_held", "lease_kept")
        and li["who"] in e["of"]
        and begin <= li["mono_us"] <= end
    ]
    return not wrong, {"held": wrong[:5]}


KINDS = {
    "one_holder": _one_holder,
    "tokens_grow": _tokens_grow,
    "stale_refused": _stale_refused,
    "held_again": _held_again,
    "never_held": _never_held,
}
