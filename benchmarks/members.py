"""Membership on the cluster testbed with 16 couriers: `python benchmarks/members.py [OUT]` (about 10 minutes).

Prints, one block a measure: the time from SIGKILL to every other member saying dead (20 kills, each member
started again and one table awaited before the next); false deaths per member-hour at 5% and 20% loss on all
links and with one member paused at random for 0.5 to 3 s; the time to one table after a split into halves heals.
"""

import asyncio
import random
import statistics
import sys
import time
from pathlib import Path

from pinspread.testbed import cluster, history_checker

N = 16
TUNING = {"period_s": 0.5, "timeout_s": 0.2}
SPAN_S = 120  # of each run of false deaths


def one_table(testbed):
    """A test of views: whether all members have the same table."""

    def test(views):
        return len(views) == N and history_checker.all_agree(
            set(views), views, [c.id for c in testbed.members]
        )

    return test


def dead_to_all(victim):
    """A test of views: whether all others say that the victim is dead or has left."""

    def test(views):
        others = [v for s, v in views.items() if s != victim]
        return all(v.get(victim) in ("dead", "left") for v in others)

    return test


async def kills(folder, count=20, seed=1):
    """Kill members one at a time; seconds until all say dead, and until one table again."""
    rng = random.Random(seed)
    testbed = cluster.ClusterTestbed({"members": N, "seconds": 0, "tuning": TUNING}, folder)
    times, rejoins = [], []
    try:
        await testbed.begin()
        await testbed.until(one_table(testbed), 30)
        for n in range(count):
            victim = rng.choice(testbed.members[2:])  # the seeds stay
            await testbed.act({"s": 0, "do": "kill", "who": [victim.id]})
            took = await testbed.until(dead_to_all(victim.id), 90)
            times.append(took)
            await testbed.act({"s": 0, "do": "start", "who": [victim.id]})
            rejoins.append(await testbed.until(one_table(testbed), 60))
            print(f"  kill {n + 1}: dead to all in {took} s, one table again in {rejoins[-1]} s", flush=True)
    finally:
        await asyncio.to_thread(testbed.finish)
    return times, rejoins


async def false_deaths(folder, loss=0.0, pauses=False, seed=2):
    """Play loss or pauses; false deaths, all deaths, member-hours, and pauses."""
    rng = random.Random(seed)
    testbed = cluster.ClusterTestbed({"members": N, "seconds": 0, "tuning": TUNING}, folder)
    paused = 0
    try:
        await testbed.begin()
        await testbed.until(one_table(testbed), 30)
        await testbed.act({"s": 0, "do": "loss", "share": loss})
        began = time.monotonic()
        while time.monotonic() - began < SPAN_S:
            if pauses:
                who = rng.choice(testbed.members).id
                await testbed.act({"s": 0, "do": "pause", "who": [who]})
                await asyncio.sleep(rng.uniform(0.5, 3.0))
                await testbed.act({"s": 0, "do": "resume", "who": [who]})
                paused += 1
                await asyncio.sleep(rng.uniform(1.0, 4.0))
            else:
                await asyncio.sleep(1)
    finally:
        await asyncio.to_thread(testbed.finish)
    lines = history_checker.read(Path(folder) / "history.jsonl")
    deaths = [li for li in lines if li.get("event") == "member" and li["state"] == "dead"]
    false, hours = history_checker.false_deaths(lines)
    return false, len(deaths), hours, paused


async def heals(folder, count=3):
    """Split the members into halves and heal that; seconds until one table, each time."""
    testbed = cluster.ClusterTestbed({"members": N, "seconds": 0, "tuning": TUNING}, folder)
    halves = [[c.id for c in testbed.members[: N // 2]], [c.id for c in testbed.members[N // 2 :]]]
    found = []
    try:
        await testbed.begin()
        await testbed.until(one_table(testbed), 30)
        for _ in range(count):
            await testbed.act({"s": 0, "do": "split", "groups": halves})
            await asyncio.sleep(15)
            await testbed.act({"s": 0, "do": "heal"})
            found.append(await testbed.until(one_table(testbed), 90))
            print(f"  heal: one table in {found[-1]} s", flush=True)
    finally:
        await asyncio.to_thread(testbed.finish)
    return found


def spread(values):
    """Median, 99th percentile and largest of seconds; None stands for not in time."""
    got = sorted(v for v in values if v is not None)
    if not got:
        return "none"
    p99 = got[min(len(got) - 1, round(0.99 * (len(got) - 1)))]
    return f"median {statistics.median(got):.2f} s, p99 {p99:.2f} s, most {got[-1]:.2f} s, {len(got)} of {len(values)}"


def main(out):
    """Run and print each measure."""
    out = Path(out)
    print(f"{N} couriers, {TUNING}")
    times, rejoins = asyncio.run(kills(out / "kills"))
    print("SIGKILL to dead at all:", spread(times))
    print("start again to one table:", spread(rejoins))
    for name, loss, pauses in (
        ("5% loss", 0.05, False),
        ("20% loss", 0.2, False),
        ("pauses 0.5-3 s", 0.0, True),
    ):
        false, deaths, hours, paused = asyncio.run(false_deaths(out / name.split()[0], loss, pauses))
        print(
            f"{name}: {false} deaths of running members in {hours:.2f} member-hours ({false / hours:.1f} a"
            f" member-hour); {deaths} deaths in all" + (f"; {paused} pauses" if pauses else "")
        )
    print("split in halves for 15 s, heal to one table:", spread(asyncio.run(heals(out / "heals"))))


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else "found/members")
