"""Replication under faults at random: `PYTHONPATH=. python benchmarks/copies_chaos.py [OUT] [SECONDS] [--seed N]`.

Five couriers with traffic on both fronts, R = 2, W = 1. Random faults follow one another: a courier is lost with its
disk (and in some cases the one that took its work over is killed too), killed, ended by SIGTERM, or paused; one-way
cuts, a courier split from the others, a third of the datagrams lost, everything delayed; a flipped bit in a journal
while its courier is down, or in a replica. Two disks are never lost at once, which is more than W = 1 tolerates. Prints
the ledger: lost, ended twice, payments twice, order broken and overlaps of holders must be 0; exit code 1 otherwise.
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
DEADLINE_S = 25.0
SCENARIO = {
    "members": 5,
    "seconds": 0,
    "tuning": {"period_s": 0.2, "timeout_s": 0.08},
    "leases": LEASES | {"voters": 3},
    "copies": {"count": 2, "need": 1, "check_s": 2, "absent_s": 6, "patience_s": 5},
}


def random_fault(rng, ids):
    """Return a random fault: its name, and steps of (seconds to wait before, action)."""
    victim, second = rng.sample(ids, 2)
    others = [i for i in ids if i != victim]
    heal, start = {"do": "heal"}, {"do": "start"}
    down_s = rng.uniform(1, 5)
    return rng.choice(
        [
            ("wipe", [(0, {"do": "wipe", "who": [victim]}), (5, start)]),
            (
                "wipe, then its successor",
                [
                    (0, {"do": "wipe", "who": [victim]}),
                    (rng.uniform(2, 5), {"do": "kill", "who": [f"@holder:work.{victim}"]}),
                    (4, start),
                ],
            ),
            ("kill", [(0, {"do": "kill", "who": [victim]}), (down_s, start)]),
            ("kill two", [(0, {"do": "kill", "who": [victim, second]}), (down_s, start)]),
            ("term", [(0, {"do": "term", "who": [victim]}), (rng.choice([1, 12]), start)]),
            ("pause", [(0, {"do": "pause", "who": [victim]}), (down_s, {"do": "resume"})]),
            ("cut", [(0, {"do": "cut", "from": [victim], "to": [second]}), (5, heal)]),
            ("deaf", [(0, {"do": "cut", "to": [victim]}), (5, heal)]),
            ("split", [(0, {"do": "split", "groups": [[victim], others]}), (6, heal)]),
            ("loss", [(0, {"do": "loss", "share": 0.3}), (6, heal)]),
            ("late", [(0, {"do": "delay", "delay_s": 0.05, "jitter_s": 0.05}), (5, heal)]),
            (
                "flip",
                [
                    (0, {"do": "kill", "who": [victim]}),
                    (0.1, {"do": "flip", "who": [victim]}),
                    (down_s, start),
                ],
            ),
            ("flip a copy", [(0, {"do": "flip", "who": [victim], "file": "copies/*/journal.*"}), (4, heal)]),
        ]
    )


async def run_faults(folder, seconds, seed):
    """Run the couriers under faults for `seconds`; return the lines of the history and the count of each fault."""
    rng, counts = random.Random(seed), Counter()
    load = {"rate": 6.0, "slow_s": 0.6, "for_s": seconds, "deadline_s": DEADLINE_S, "amqp_share": 0.25}
    testbed = cluster.ClusterTestbed(SCENARIO | {"traffic": load, "seed": seed}, folder)
    try:
        await testbed.begin()
        begin_s = time.monotonic()
        await asyncio.sleep(3)
        while time.monotonic() - begin_s < seconds - 20:
            name, steps = random_fault(rng, [c.id for c in testbed.members])
            counts[name] += 1
            for wait_s, event in steps:
                await asyncio.sleep(wait_s)
                await testbed.act({"s": 0, **event})
            await asyncio.sleep(rng.uniform(4, 9))
        await asyncio.sleep(max(0, begin_s + seconds + DEADLINE_S + 2 - time.monotonic()))
    finally:
        await testbed.stop_traffic()
        await asyncio.to_thread(testbed.finish)
    return history_checker.read_scenario(Path(folder) / "history.jsonl"), counts


def main(out, seconds, seed):
    """Run the couriers and print the verdicts; return 0 if all hold, else 1."""
    lines, counts = asyncio.run(run_faults(out, seconds, seed))
    print("troubles:", sum(counts.values()), dict(counts))
    verdicts = history_checker.check(lines, [{"kind": "ledger", "least": 100}, {"kind": "one_holder"}])
    for verdict in verdicts:
        print("ok  " if verdict["ok"] else "FAIL", verdict)
    print("taken over:", sum(li.get("event") == "copies_taken_over" for li in lines))
    return 0 if all(v["ok"] for v in verdicts) else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Replication under random faults.")
    parser.add_argument("out", nargs="?", type=Path, default=Path("found/copies-chaos"))
    parser.add_argument("seconds", nargs="?", type=float, default=300)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    sys.exit(main(arguments.out, arguments.seconds, arguments.seed))
