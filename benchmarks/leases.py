"""Leases on the cluster testbed under faults, or the exhaustive check: `python benchmarks/leases.py [OUT] [SECONDS]`.

Seven couriers, three of them voters, contend for three tasks for some minutes while random faults occur: loss, one-way
cuts, splits of the voters, a holder paused for longer than its lease, the leader or a holder killed, and clocks that
are fast or slow within the bound. Prints overlaps of holders and falling tokens (there must be none of either), the
time without a holder after one is lost (median, p99), the share of the time that each task is held, renewals per second
and task, and how many messages one grant costs. `--check DEPTH` runs only the exhaustive check, within 10 minutes; it
is meant to go one step deeper than the tests.
"""

import asyncio
import random
import statistics
import sys
import time
from collections import Counter
from pathlib import Path

from pinspread.admin import status_client
from pinspread.leases.lease_model import Bounds
from pinspread.leases.model_checker import explore
from pinspread.testbed import cluster, history_checker, lease_checker
from pinspread.testbed.member_configuration import ClockError

LEASES = {
    "voters": 3,
    "tasks": ["sweep", "list", "take"],
    "act_s": 0.1,
    "lease_s": 3.0,
    "renew_s": 1.0,
    "retry_s": 0.3,
    "drift_s": 0.15,
    "margin_s": 0.1,
    "election_s": 0.3,
}
SCENARIO = {"members": 7, "seconds": 0, "tuning": {"period_s": 0.5, "timeout_s": 0.2}, "leases": LEASES}
VOTERS = ["m0", "m1", "m2"]


def random_fault(rng):
    """Return a random fault: (actions that cause it, its duration in seconds, actions that end it)."""
    task = rng.choice(LEASES["tasks"])
    heal = [{"do": "heal"}]
    return rng.choice(
        [
            ([{"do": "loss", "share": rng.choice([0.05, 0.2, 0.4])}], 5.0, heal),
            ([{"do": "cut", "from": [rng.choice(VOTERS)]}], 5.0, heal),
            ([{"do": "cut", "to": [f"@holder:{task}"]}], 5.0, heal),
            ([{"do": "split", "groups": [["@leader"]]}], 6.0, heal),
            ([{"do": "split", "groups": [["m0", "m1", "m3"], ["m2", "m4", "m5", "m6"]]}], 6.0, heal),
            ([{"do": "pause", "who": [f"@holder:{task}"]}], 6.0, [{"do": "resume"}]),
            ([{"do": "pause", "who": ["@leader"]}], 4.0, [{"do": "resume"}]),
            ([{"do": "kill", "who": ["@leader"]}], 5.0, [{"do": "start"}]),
            ([{"do": "kill", "who": [f"@holder:{task}"]}], 5.0, [{"do": "start"}]),
        ]
    )


async def run_contention(folder, seconds, seed=1):
    """Run the couriers under random faults for `seconds`; return the lines of the history."""
    rng = random.Random(seed)
    testbed = cluster.ClusterTestbed(SCENARIO, folder)
    # At most 0.12 s off in a lease of 3 s.
    for n, rate in enumerate((1.0, 1.04, 0.96, 1.03, 0.97, 1.0, 1.04)):
        testbed.members[n].clock = ClockError(rate=rate)
    try:
        await testbed.begin()
        began = time.monotonic()
        await asyncio.sleep(6)
        while time.monotonic() - began < seconds:
            actions, duration_s, undo_actions = random_fault(rng)
            for event in actions:
                await testbed.act({"s": 0, **event})
            await asyncio.sleep(duration_s)
            for event in undo_actions:
                await testbed.act({"s": 0, **event})
            await asyncio.sleep(rng.uniform(2, 6))
    finally:
        await asyncio.to_thread(testbed.finish)
    return history_checker.read_scenario(Path(folder) / "history.jsonl")


def print_report(lines):
    """Print the results for holders and tokens; return whether all expectations hold."""
    verdicts = history_checker.check(lines, [{"kind": "one_holder"}, {"kind": "tokens_grow"}])
    for verdict in verdicts:
        print("ok  " if verdict["ok"] else "FAIL", verdict)
    begin_us = next(li["mono_us"] for li in lines if li.get("event") == "lease_held")
    end_us = next(li["mono_us"] for li in lines if li.get("event") == "ending")
    seconds = (end_us - begin_us) / 1e6
    gaps_s = sorted(g for g in lease_checker.gaps(lines) if g is not None)
    if gaps_s:
        p99 = gaps_s[min(len(gaps_s) - 1, round(0.99 * (len(gaps_s) - 1)))]
        print(
            f"without a holder after a loss: median {statistics.median(gaps_s):.2f} s, p99 {p99:.2f} s, {len(gaps_s)} losses"
        )
    shares = lease_checker.held_share(lines, begin_us, end_us)
    print("held:", {t: round(s, 3) for t, s in sorted(shares.items())}, f"of {seconds:.0f} s")
    event_counts = {
        e: sum(li.get("event") == e for li in lines)
        for e in ("lease_granted", "lease_renewed", "lease_refused")
    }
    print(
        "granted, renewed, refused:",
        event_counts,
        f"renewals per second and task {event_counts['lease_renewed'] / seconds / len(shares):.2f}",
    )
    print("faults:", sum(li.get("event") == "at" for li in lines))
    return all(v["ok"] for v in verdicts)


async def print_cost(folder):
    """Print the messages by kind that three voters without faults send in 20 s, and how many lease changes they carry."""
    testbed = cluster.ClusterTestbed(SCENARIO | {"members": 3}, folder)
    totals = []
    try:
        await testbed.begin()
        await asyncio.sleep(6)
        for pause in (20, 0):
            views = [
                await asyncio.to_thread(status_client.fetch, f"{c.real[0]}:9600", "leases")
                for c in testbed.members
            ]
            totals.append(sum((Counter(v["sent"]) + Counter(v["counts"]) for v in views), Counter()))
            versions = max(sum(t["version"] for t in v["tasks"]) for v in views)
            totals[-1]["changes"] = versions
            await asyncio.sleep(pause)
    finally:
        await asyncio.to_thread(testbed.finish)
    calm_totals = totals[1] - totals[0]
    changes = calm_totals.pop("changes")
    print(f"3 voters without faults, 20 s: {changes} grants and renewals; messages:", dict(calm_totals))
    print("per change:", {k: round(calm_totals[k] / changes, 2) for k in ("requests", "answers", "entries")})


def print_check(depth):
    """Run the exhaustive check to a depth and print its result; return whether it found no violation."""
    result = explore(Bounds(depth=depth, states=20_000_000, seconds=600))
    print(f"exhaustive, depth {depth}:", {k: v for k, v in result._asdict().items() if k != "steps"})
    return not result.violation


def main(arguments):
    """Run the couriers, or the check with `--check`; return the exit code."""
    if arguments[:1] == ["--check"]:
        return 0 if print_check(int(arguments[1])) else 1
    out = Path(arguments[0] if arguments else "found/leases")
    ok = print_report(
        asyncio.run(run_contention(out / "contend", float(arguments[1]) if len(arguments) > 1 else 300))
    )
    asyncio.run(print_cost(out / "cost"))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
