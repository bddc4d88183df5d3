"""Replication under load on the cluster testbed: `PYTHONPATH=. python benchmarks/copies.py [OUT] [TRIALS] [--seed N] [--no-costs]` (about 11 s a trial).

Five couriers with traffic; again and again one, drawn at random, is killed and its folder removed at a random
moment, its work is taken over, and it is started again. A fifth of the messages comes by AMQP. Prints the ledger over
all trials (lost, ended twice, payments twice, order broken: each has to be 0), and the time from the kill to the first
message of the lost courier that goes on elsewhere. Then, for R copies kept and W waited for, the time from handing in to
+OK as callers see it, throughput, and bytes copied a message.
"""

import argparse
import asyncio
import random
import sys
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from pinspread.admin import status_client
from pinspread.testbed import cluster, history_checker
from pinspread.testbed.ledger import ledger

LEASES = {"lease_s": 2.0, "renew_s": 0.6, "retry_s": 0.2, "drift_s": 0.1, "margin_s": 0.1, "election_s": 0.3}
SCENE = {
    "members": 5,
    "seconds": 0,
    "tuning": {"period_s": 0.2, "timeout_s": 0.08},
    "leases": LEASES | {"voters": 3},
}


def spread(values, unit=1e3):
    """Median, 99th percentile and most of microseconds, in ms or the unit given."""
    histogram = HdrHistogram(1, 600_000_000, 3)
    for v in values:
        histogram.record_value(int(v))
    if not histogram.get_total_count():
        return "none"
    at = histogram.get_value_at_percentile
    return f"median {at(50) / unit:.2f}, p99 {at(99) / unit:.2f}, most {at(100) / unit:.2f} ({len(values)})"


async def trials(folder, count, seed=1):
    """Kill couriers and remove their folders, `count` times under load; the history's lines."""
    rng = random.Random(seed)
    load = {"rate": 8.0, "slow_s": 0.8, "for_s": 11.0 * count + 4, "deadline_s": 20.0, "amqp_share": 0.2}
    testbed = cluster.ClusterTestbed(SCENE | {"copies": {"count": 2, "need": 1}, "traffic": load}, folder)
    try:
        await testbed.begin()
        ends = time.monotonic() + load["for_s"] + load["deadline_s"] + 2  # when the last message's time is up
        await asyncio.sleep(3)
        for n in range(count):
            victim = rng.choice(testbed.members)
            await asyncio.sleep(rng.uniform(0, 1))
            await testbed.act({"s": 0, "do": "wipe", "who": [victim.id]})
            await asyncio.sleep(5)
            await testbed.act({"s": 0, "do": "start", "who": [victim.id]})
            await asyncio.sleep(5)
            print(f"  trial {n + 1}: {victim.id}", flush=True)
        await asyncio.sleep(max(0, ends - time.monotonic()))
    finally:
        await testbed.stop_traffic()
        await asyncio.to_thread(testbed.finish)
    return history_checker.read_scenario(Path(folder) / "history.jsonl")


def flowing(lines):
    """Microseconds from each kill to the first attempt or end elsewhere of what the lost courier had accepted.

    Only of kills after which something was taken over before the courier came back; the others are counted.
    """
    found, others, owner = [], 0, {}
    for line in lines:
        if line.get("event") == "taken":
            owner.setdefault(line["id"], line["who"])
    for line in lines:
        if line.get("event") == "signalled" and line["do"] == "wipe":
            later = [li for li in lines if li["mono_us"] > line["mono_us"]]
            back = next(
                n for n, li in enumerate(later) if (li.get("event"), li["who"]) == ("started", line["who"])
            )
            over = {
                li["who"]
                for li in later[:back]
                if li.get("event") == "copies_taken_over" and li["count"] and li["owner"] == line["who"]
            }
            after = [
                li["mono_us"]
                for li in later
                if li.get("event") in ("branch", "final")
                and li["who"] in over
                and owner.get(li["id"]) == line["who"]
            ]
            if after and over:
                found.append(min(after) - line["mono_us"])
            else:
                others += 1
    return found, others


async def cost(folder, count, need, sync=False):
    """Latency and throughput of the couriers, with `count` replicas (0: none) of which `need` must confirm."""
    load = {"rate": 60.0, "slow_s": 0.02, "for_s": 8.0, "deadline_s": 10.0}
    copies = {"copies": {"count": count, "need": need, "sync": sync}} if count else {}
    testbed = cluster.ClusterTestbed(SCENE | copies | {"traffic": load}, folder)
    try:
        await testbed.begin()
        await asyncio.sleep(12)
        views = [
            await asyncio.to_thread(status_client.fetch, f"{c.real[0]}:9600", "copies")
            for c in testbed.members
            if count
        ]
    finally:
        await testbed.stop_traffic()
        await asyncio.to_thread(testbed.finish)
    lines = history_checker.read_scenario(Path(folder) / "history.jsonl")
    took = [li["took_us"] for li in lines if li.get("event") == "acked"]
    sent = sum(v["sent_bytes"] for v in views)
    print(f"R={count}, W={need}{', synced' * sync}: ms to +OK: {spread(took)}; {len(took) / 8:.0f} messages a second in all;"
          f" {sent / max(1, len(took)):.0f} bytes copied a message")  # fmt: skip


async def throughput(folder, count, need, sync=False):
    """Messages a second that one courier takes on from 32 callers, each one after the other."""
    load = {"loops": 32, "at": ["m0"], "slow_s": 0.0, "busy_share": 0.0, "limit": 5000}
    load |= {"for_s": 8.0, "deadline_s": 10.0}
    copies = {"copies": {"count": count, "need": need, "sync": sync}} if count else {}
    testbed = cluster.ClusterTestbed(SCENE | copies | {"traffic": load}, folder)
    try:
        await testbed.begin()
        await asyncio.sleep(9)
    finally:
        await testbed.stop_traffic()
        await asyncio.to_thread(testbed.finish)
    lines = history_checker.read_scenario(Path(folder) / "history.jsonl")
    took = [li["took_us"] for li in lines if li.get("event") == "acked"]
    busy = sum(li.get("event") == "turned_away" for li in lines)
    print(f"R={count}, W={need}{', synced' * sync}: {len(took) / 8:.0f} messages a second at one courier, ms to +OK:"
          f" {spread(took)}; turned away {busy}")  # fmt: skip


def main(out, count, seed, costs):
    """Trials, then costs; 1 if anything was lost or done twice."""
    wrong = played(out, count, seed) if count else 0
    for kept in ((0, 0), (1, 1), (2, 1), (2, 2), (2, 1, True), (2, 2, True)) if costs else ():
        asyncio.run(cost(out / "-".join(["cost", *map(str, kept)]), *kept))
    for kept in ((0, 0), (1, 1), (2, 1), (2, 2)) if costs else ():
        asyncio.run(throughput(out / "-".join(["most", *map(str, kept)]), *kept))
    return wrong


def played(out, count, seed):
    """The trials and what became of all; 1 if anything was lost or done twice."""
    lines = asyncio.run(trials(out / "trials", count, seed))
    found = ledger(lines)
    print("ledger:", {k: v if isinstance(v, int) else len(v) for k, v in found.to_dict().items()})
    flows, others = flowing(lines)
    print(f"seconds from the kill until work flows again: {spread(flows, 1e6)}; nothing taken over: {others}")
    waits = [li for li in lines if li.get("event") in ("copies_awaited", "copies_unsure")]
    print("takeovers that waited for a copy:", len(waits))
    print("taken over:", sum(li.get("event") == "copies_taken_over" for li in lines))
    return 0 if found.clean else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Replication under kills, and what it costs.")
    parser.add_argument("out", nargs="?", type=Path, default=Path("found/copies"))
    parser.add_argument("trials", nargs="?", type=int, default=100, help="kills; 0 leaves them out")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-costs", dest="costs", action="store_false")
    chosen = parser.parse_args()
    sys.exit(main(chosen.out, chosen.trials, chosen.seed, chosen.costs))
