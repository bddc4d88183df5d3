"""Replication under faults at random: `PYTHONPATH=. python benchmarks/copies_chaos.py [OUT] [SECONDS] [--seed N]`.

Five couriers with traffic on both fronts, R = 2, W = 1. One trouble after another, drawn at random: a courier lost
with its disk (and then, for some, whoever took its work over killed too), killed, ended by SIGTERM, stopped; one-way
cuts, a courier split from the others, a third of the datagrams lost, everything late; a flipped bit in a journal while
its courier is down, or in a copy. Never two disks at once, which is more than W = 1 promises. Prints the ledger: lost,
ended twice, payments twice, order broken have to be 0, as overlaps of holders; exit code 1 otherwise.
"""

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

from pinspread.testbed import cluster, history_checker

LEASES = {"lease_s": 2.0, "renew_s": 0.6, "retry_s": 0.2, "drift_s": 0.1, "margin_s": 0.1, "election_s": 0.3}
LIFE_S = 25.0
SCENE = {
    "members": 5,
    "seconds": 0,
    "tuning": {"period_s": 0.2, "timeout_s": 0.08},
    "leases": LEASES | {"voters": 3},
    "copies": {"count": 2, "need": 1, "check_s": 2, "absent_s": 6, "patience_s": 5},
}


def faults(rng, ids):
    """One trouble: its name, and steps of (seconds to wait first, what to do)."""
    one, other = rng.sample(ids, 2)
    rest = [i for i in ids if i != one]
    heal, back = {"do": "heal"}, {"do": "start"}
    while_down = rng.uniform(1, 5)
    return rng.choice(
        [
            ("wipe", [(0, {"do": "wipe", "who": [one]}), (5, back)]),
            (
                "wipe, then its successor",
                [
                    (0, {"do": "wipe", "who": [one]}),
                    (rng.uniform(2, 5), {"do": "kill", "who": [f"@holder:work.{one}"]}),
                    (4, back),
                ],
            ),
            ("kill", [(0, {"do": "kill", "who": [one]}), (while_down, back)]),
            ("kill two", [(0, {"do": "kill", "who": [one, other]}), (while_down, back)]),
            ("term", [(0, {"do": "term", "who": [one]}), (rng.choice([1, 12]), back)]),
            ("pause", [(0, {"do": "pause", "who": [one]}), (while_down, {"do": "resume"})]),
            ("cut", [(0, {"do": "cut", "from": [one], "to": [other]}), (5, heal)]),
            ("deaf", [(0, {"do": "cut", "to": [one]}), (5, heal)]),
            ("split", [(0, {"do": "split", "groups": [[one], rest]}), (6, heal)]),
            ("loss", [(0, {"do": "loss", "share": 0.3}), (6, heal)]),
            ("late", [(0, {"do": "delay", "delay_s": 0.05, "jitter_s": 0.05}), (5, heal)]),
            (
                "flip",
                [(0, {"do": "kill", "who": [one]}), (0.1, {"do": "flip", "who": [one]}), (while_down, back)],
            ),
            ("flip a copy", [(0, {"do": "flip", "who": [one], "file": "copies/*/journal.*"}), (4, heal)]),
        ]
    )


async def play(folder, seconds, seed):
    """Play for so long; the history's lines, and how often each trouble came."""
    rng, counts = random.Random(seed), Counter()
    load = {"rate": 6.0, "slow_s": 0.6, "for_s": seconds, "deadline_s": LIFE_S, "amqp_share": 0.25}
    testbed = cluster.ClusterTestbed(SCENE | {"traffic": load, "seed": seed}, folder)
    try:
        await testbed.begin()
        began = time.monotonic()
        await asyncio.sleep(3)
        while time.monotonic() - began < seconds - 20:
            name, steps = faults(rng, [c.id for c in testbed.members])
            counts[name] += 1
            for wait_s, event in steps:
                await asyncio.sleep(wait_s)
                await testbed.act({"s": 0, **event})
            await asyncio.sleep(rng.uniform(4, 9))
        await asyncio.sleep(max(0, began + seconds + LIFE_S + 2 - time.monotonic()))
    finally:
        await testbed.stop_traffic()
        await asyncio.to_thread(testbed.finish)
    return history_checker.read_scenario(Path(folder) / "history.jsonl"), counts


def main(out, seconds, seed):
    """Play and print the verdicts; 0 if all hold."""
    lines, counts = asyncio.run(play(out, seconds, seed))
    print("troubles:", sum(counts.values()), dict(counts))
    found = history_checker.check(lines, [{"kind": "ledger", "least": 100}, {"kind": "one_holder"}])
    for verdict in found:
        print("ok  " if verdict["ok"] else "FAIL", verdict)
    print("taken over:", sum(li.get("event") == "copies_taken_over" for li in lines))
    return 0 if all(v["ok"] for v in found) else 1


if __name__ == "__main__":
    words = argparse.ArgumentParser(description="Replication under faults at random.")
    words.add_argument("out", nargs="?", type=Path, default=Path("found/copies-chaos"))
    words.add_argument("seconds", nargs="?", type=float, default=300)
    words.add_argument("--seed", type=int, default=1)
    chosen = words.parse_args()
    sys.exit(main(chosen.out, chosen.seconds, chosen.seed))
