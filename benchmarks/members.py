"""Membership on the cluster testbed with 16 couriers: `python benchmarks/members.py [OUT]` (about 10 minutes).

Prints a block for each measurement:

- the time from SIGKILL of a member until every other member lists it as dead (20 kills; before the next kill the
  member is started again, and all member tables agree again);
- false deaths per member-hour, at 5% and 20% loss on all links, and with one random member at a time paused for
  0.5 to 3 s;
- the time until all member tables agree after a split into halves has healed.
"""

import asyncio
import random
import statistics
import sys
import time
from pathlib import Path

from pinspread.testbed import cluster, history_checker

MEMBER_COUNT = 16
TUNING = {"period_s": 0.5, "timeout_s": 0.2}
FALSE_DEATHS_RUN_S = 120  # the duration of each run that measures false deaths


def tables_agree(testbed):
    """Return a condition on views: all members are listed as alive by every other member."""

    def condition(views):
        return len(views) == MEMBER_COUNT and history_checker.all_agree(
            set(views), views, [c.id for c in testbed.members]
        )

    return condition


def dead_at_all_others(victim_id):
    """Return a condition on views: all other members list the victim as dead or as having left."""

    def condition(views):
        others = [v for s, v in views.items() if s != victim_id]
        return all(v.get(victim_id) in ("dead", "left") for v in others)

    return condition


async def measure_kills(folder, count=20, seed=1):
    """Kill members one at a time; return the seconds until all list the member as dead, and until all tables agree again."""
    rng = random.Random(seed)
    testbed = cluster.ClusterTestbed({"members": MEMBER_COUNT, "seconds": 0, "tuning": TUNING}, folder)
    detection_times_s, rejoin_times_s = [], []
    try:
        await testbed.begin()
        await testbed.until(tables_agree(testbed), 30)
        for n in range(count):
            victim = rng.choice(testbed.members[2:])  # the first two are seeds and keep running
            await testbed.act({"s": 0, "do": "kill", "who": [victim.id]})
            took_s = await testbed.until(dead_at_all_others(victim.id), 90)
            detection_times_s.append(took_s)
            await testbed.act({"s": 0, "do": "start", "who": [victim.id]})
            rejoin_times_s.append(await testbed.until(tables_agree(testbed), 60))
            print(
                f"  kill {n + 1}: dead at all others after {took_s} s, all tables agree again after {rejoin_times_s[-1]} s",
                flush=True,
            )
    finally:
        await asyncio.to_thread(testbed.finish)
    return detection_times_s, rejoin_times_s


async def measure_false_deaths(folder, loss=0.0, pauses=False, seed=2):
    """Apply loss or pauses; return the numbers of false deaths, all deaths, member-hours and pauses."""
    rng = random.Random(seed)
    testbed = cluster.ClusterTestbed({"members": MEMBER_COUNT, "seconds": 0, "tuning": TUNING}, folder)
    paused = 0
    try:
        await testbed.begin()
        await testbed.until(tables_agree(testbed), 30)
        await testbed.act({"s": 0, "do": "loss", "share": loss})
        begin_s = time.monotonic()
        while time.monotonic() - begin_s < FALSE_DEATHS_RUN_S:
            if pauses:
                member_id = rng.choice(testbed.members).id
                await testbed.act({"s": 0, "do": "pause", "who": [member_id]})
                await asyncio.sleep(rng.uniform(0.5, 3.0))
                await testbed.act({"s": 0, "do": "resume", "who": [member_id]})
                paused += 1
                await asyncio.sleep(rng.uniform(1.0, 4.0))
            else:
                await asyncio.sleep(1)
    finally:
        await asyncio.to_thread(testbed.finish)
    lines = history_checker.read(Path(folder) / "history.jsonl")
    deaths = [li for li in lines if li.get("event") == "member" and li["state"] == "dead"]
    false, member_hours = history_checker.false_deaths(lines)
    return false, len(deaths), member_hours, paused


async def measure_heals(folder, count=3):
    """Split the members into halves and heal the split; return the seconds until all tables agree, for each time."""
    testbed = cluster.ClusterTestbed({"members": MEMBER_COUNT, "seconds": 0, "tuning": TUNING}, folder)
    halves = [
        [c.id for c in testbed.members[: MEMBER_COUNT // 2]],
        [c.id for c in testbed.members[MEMBER_COUNT // 2 :]],
    ]
    heal_times_s = []
    try:
        await testbed.begin()
        await testbed.until(tables_agree(testbed), 30)
        for _ in range(count):
            await testbed.act({"s": 0, "do": "split", "groups": halves})
            await asyncio.sleep(15)
            await testbed.act({"s": 0, "do": "heal"})
            heal_times_s.append(await testbed.until(tables_agree(testbed), 90))
            print(f"  heal: all tables agree after {heal_times_s[-1]} s", flush=True)
    finally:
        await asyncio.to_thread(testbed.finish)
    return heal_times_s


def summary(values):
    """Return the median, 99th percentile and maximum of seconds as text; None stands for a time-out."""
    in_time_s = sorted(v for v in values if v is not None)
    if not in_time_s:
        return "none"
    p99 = in_time_s[min(len(in_time_s) - 1, round(0.99 * (len(in_time_s) - 1)))]
    return f"median {statistics.median(in_time_s):.2f} s, p99 {p99:.2f} s, max {in_time_s[-1]:.2f} s, {len(in_time_s)} of {len(values)}"


def main(out):
    """Run each measurement and print its result."""
    out = Path(out)
    print(f"{MEMBER_COUNT} couriers, {TUNING}")
    detection_times_s, rejoin_times_s = asyncio.run(measure_kills(out / "kills"))
    print("SIGKILL to dead at all others:", summary(detection_times_s))
    print("start again to agreement of all tables:", summary(rejoin_times_s))
    for name, loss, pauses in (
        ("5% loss", 0.05, False),
        ("20% loss", 0.2, False),
        ("pauses 0.5-3 s", 0.0, True),
    ):
        false, deaths, member_hours, paused = asyncio.run(
            measure_false_deaths(out / name.split()[0], loss, pauses)
        )
        print(
            f"{name}: {false} deaths of running members in {member_hours:.2f} member-hours ({false / member_hours:.1f} per"
            f" member-hour); {deaths} deaths in all" + (f"; {paused} pauses" if pauses else "")
        )
    print(
        "split in halves for 15 s, heal to agreement of all tables:",
        summary(asyncio.run(measure_heals(out / "heals"))),
    )


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else "found/members")
