"""Leases on the cluster testbed, for minutes: `python benchmarks/leases.py [OUT] [SECONDS]`; and the deeper check.

Seven couriers, three of them voters, contend for three tasks while faults come at random: loss, one-way cuts, splits
of the voters, a holder stopped past its lease, the leader or a holder killed, clocks fast and slow within the bound.
Prints overlaps of holders and falling tokens (both have to be none), the time without a holder after one is lost
(median, p99), the share of the time that each task is held, renewals a second and task, and what one grant costs in
messages. Then the exhaustive check one step deeper than the tests go, within 10 minutes: `--check DEPTH` for it alone.
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
SCENE = {"members": 7, "seconds": 0, "tuning": {"period_s": 0.5, "timeout_s": 0.2}, "leases": LEASES}
VOTERS = ["m0", "m1", "m2"]


def faults(rng):
    """One trouble after another: (what to do, seconds it lasts, what ends it)."""
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


async def contend(folder, seconds, seed=1):
    """Play for so long; the history's lines."""
    rng = random.Random(seed)
    testbed = cluster.ClusterTestbed(SCENE, folder)
    for n, rate in enumerate((1.0, 1.04, 0.96, 1.03, 0.97, 1.0, 1.04)):  # 0.12 s in a lease of 3 s at most
        testbed.members[n].clock = ClockError(rate=rate)
    try:
        await testbed.begin()
        began = time.monotonic()
        await asyncio.sleep(6)
        while time.monotonic() - began < seconds:
            do, lasts, undo = faults(rng)
            for event in do:
                await testbed.act({"s": 0, **event})
            await asyncio.sleep(lasts)
            for event in undo:
                await testbed.act({"s": 0, **event})
            await asyncio.sleep(rng.uniform(2, 6))
    finally:
        await asyncio.to_thread(testbed.finish)
    return history_checker.read_scenario(Path(folder) / "history.jsonl")


def report(lines):
    """Print what became of holders and tokens; whether no rule was broken."""
    found = history_checker.check(lines, [{"kind": "one_holder"}, {"kind": "tokens_grow"}])
    for verdict in found:
        print("ok  " if verdict["ok"] else "FAIL", verdict)
    begin = next(li["mono_us"] for li in lines if li.get("event") == "lease_held")
    end = next(li["mono_us"] for li in lines if li.get("event") == "ending")
    seconds = (end - begin) / 1e6
    gaps = sorted(g for g in lease_checker.gaps(lines) if g is not None)
    if gaps:
        p99 = gaps[min(len(gaps) - 1, round(0.99 * (len(gaps) - 1)))]
        print(
            f"without a holder after a loss: median {statistics.median(gaps):.2f} s, p99 {p99:.2f} s, {len(gaps)} losses"
        )
    shares = lease_checker.held_share(lines, begin, end)
    print("held:", {t: round(s, 3) for t, s in sorted(shares.items())}, f"of {seconds:.0f} s")
    count = {
        e: sum(li.get("event") == e for li in lines)
        for e in ("lease_granted", "lease_renewed", "lease_refused")
    }
    print(
        "granted, renewed, refused:",
        count,
        f"renewals a second and task {count['lease_renewed'] / seconds / len(shares):.2f}",
    )
    print("faults:", sum(li.get("event") == "at" for li in lines))
    return all(v["ok"] for v in found)


async def cost(folder):
    """Messages of a calm fleet of three voters in 20 s, by kind, and the changes of leases that they carried."""
    testbed = cluster.ClusterTestbed(SCENE | {"members": 3}, folder)
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
    spent = totals[1] - totals[0]
    changes = spent.pop("changes")
    print(f"calm fleet of 3 voters, 20 s: {changes} grants and renewals; messages:", dict(spent))
    print("a change:", {k: round(spent[k] / changes, 2) for k in ("requests", "answers", "entries")})


def check(depth):
    """Run the exhaustive check to this depth and print its result; whether it found no violation."""
    found = explore(Bounds(depth=depth, states=20_000_000, seconds=600))
    print(f"exhaustive, depth {depth}:", {k: v for k, v in found._asdict().items() if k != "steps"})
    return not found.violation


def main(arguments):
    """Play, or check where `--check` says so; the exit code."""
    if arguments[:1] == ["--check"]:
        return 0 if check(int(arguments[1])) else 1
    out = Path(arguments[0] if arguments else "found/leases")
    ok = report(asyncio.run(contend(out / "contend", float(arguments[1]) if len(arguments) > 1 else 300)))
    asyncio.run(cost(out / "cost"))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
