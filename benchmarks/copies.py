"""Replication under load on the cluster testbed: `PYTHONPATH=. python benchmarks/copies.py [OUT] [TRIALS] [--seed N] [--no-costs]` (about 11 s a trial).

Five couriers with traffic. In each trial a random one is killed and its folder removed at a random moment; its work is
taken over by another, and it is started again. A fifth of the messages is submitted over AMQP. Prints the ledger over
all trials (lost, ended twice, payments twice, order broken: each must be 0), and the time from the kill until another
courier continues with the first message of the lost one. Then prints, for R replicas of which W must confirm, the time
from submission to +OK as clients see it, the throughput, and the copied bytes per message.
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
SCENARIO = {
    "members": 5,
    "seconds": 0,
    "tuning": {"period_s": 0.2, "timeout_s": 0.08},
    "leases": LEASES | {"voters": 3},
}


def summary(values, unit=1e3):
    """Return the median, 99th percentile and maximum of microseconds as text, in ms or another unit."""
    histogram = HdrHistogram(1, 600_000_000, 3)
    for v in values:
        histogram.record_value(int(v))
    if not histogram.get_total_count():
        return "none"
    percentile = histogram.get_value_at_percentile
    return f"median {percentile(50) / unit:.2f}, p99 {percentile(99) / unit:.2f}, max {percentile(100) / unit:.2f} ({len(values)})"


async def run_trials(folder, count, seed=1):
    """Kill a courier and remove its folder, `count` times under load; return the lines of the history."""
    rng = random.Random(seed)
    load = {"rate": 8.0, "slow_s": 0.8, "for_s": 11.0 * count + 4, "deadline_s": 20.0, "amqp_share": 0.2}
    testbed = cluster.ClusterTestbed(SCENARIO | {"copies": {"count": 2, "need": 1}, "traffic": load}, folder)
    try:
        await testbed.begin()
        # When the deadline of the last message has passed.
        end_s = time.monotonic() + load["for_s"] + load["deadline_s"] + 2
        await asyncio.sleep(3)
        for n in range(count):
            victim = rng.choice(testbed.members)
            await asyncio.sleep(rng.uniform(0, 1))
            await testbed.act({"s": 0, "do": "wipe", "who": [victim.id]})
            await asyncio.sleep(5)
            await testbed.act({"s": 0, "do": "start", "who": [victim.id]})
            await asyncio.sleep(5)
            print(f"  trial {n + 1}: {victim.id}", flush=True)
        await asyncio.sleep(max(0, end_s - time.monotonic()))
    finally:
        await testbed.stop_traffic()
        await asyncio.to_thread(testbed.finish)
    return history_checker.read_scenario(Path(folder) / "history.jsonl")


def resumption_times(lines):
    """Return the microseconds from each kill until another courier attempts or ends a message of the lost courier.

    Only kills after which work was taken over before the courier started again give a time; the second value counts
    the others.
    """
    times_us, not_taken_over, owners = [], 0, {}
    for line in lines:
        if line.get("event") == "taken":
            owners.setdefault(line["id"], line["who"])
    for line in lines:
        if line.get("event") == "signalled" and line["do"] == "wipe":
            later_lines = [li for li in lines if li["mono_us"] > line["mono_us"]]
            restart_index = next(
                n
                for n, li in enumerate(later_lines)
                if (li.get("event"), li["who"]) == ("started", line["who"])
            )
            successors = {
                li["who"]
                for li in later_lines[:restart_index]
                if li.get("event") == "copies_taken_over" and li["count"] and li["owner"] == line["who"]
            }
            resumed_us = [
                li["mono_us"]
                for li in later_lines
                if li.get("event") in ("branch", "final")
                and li["who"] in successors
                and owners.get(li["id"]) == line["who"]
            ]
            if resumed_us and successors:
                times_us.append(min(resumed_us) - line["mono_us"])
            else:
                not_taken_over += 1
    return times_us, not_taken_over


async def measure_cost(folder, count, need, sync=False):
    """Print latency and throughput of the couriers, with `count` replicas (0: none) of which `need` must confirm."""
    load = {"rate": 60.0, "slow_s": 0.02, "for_s": 8.0, "deadline_s": 10.0}
    copies = {"copies": {"count": count, "need": need, "sync": sync}} if count else {}
    testbed = cluster.ClusterTestbed(SCENARIO | copies | {"traffic": load}, folder)
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
    took_us = [li["took_us"] for li in lines if li.get("event") == "acked"]
    sent = sum(v["sent_bytes"] for v in views)
    print(f"R={count}, W={need}{', synced' * sync}: ms to +OK: {summary(took_us)}; {len(took_us) / 8:.0f} messages per second in all;"
          f" {sent / max(1, len(took_us)):.0f} bytes copied per message")  # fmt: skip


async def measure_throughput(folder, count, need, sync=False):
    """Print the messages per second that one courier accepts from 32 clients, each sending one after the other."""
    load = {"loops": 32, "at": ["m0"], "slow_s": 0.0, "busy_share": 0.0, "limit": 5000}
    load |= {"for_s": 8.0, "deadline_s": 10.0}
    copies = {"copies": {"count": count, "need": need, "sync": sync}} if count else {}
    testbed = cluster.ClusterTestbed(SCENARIO | copies | {"traffic": load}, folder)
    try:
        await testbed.begin()
        await asyncio.sleep(9)
    finally:
        await testbed.stop_traffic()
        await asyncio.to_thread(testbed.finish)
    lines = history_checker.read_scenario(Path(folder) / "history.jsonl")
    took_us = [li["took_us"] for li in lines if li.get("event") == "acked"]
    busy = sum(li.get("event") == "turned_away" for li in lines)
    print(f"R={count}, W={need}{', synced' * sync}: {len(took_us) / 8:.0f} messages per second at one courier, ms to +OK:"
          f" {summary(took_us)}; turned away {busy}")  # fmt: skip


def main(out, count, seed, costs):
    """Run the trials, then measure the costs; return 1 if anything was lost or done twice, else 0."""
    exit_code = report_trials(out, count, seed) if count else 0
    for replica_settings in ((0, 0), (1, 1), (2, 1), (2, 2), (2, 1, True), (2, 2, True)) if costs else ():
        asyncio.run(measure_cost(out / "-".join(["cost", *map(str, replica_settings)]), *replica_settings))
    for replica_settings in ((0, 0), (1, 1), (2, 1), (2, 2)) if costs else ():
        asyncio.run(
            measure_throughput(out / "-".join(["most", *map(str, replica_settings)]), *replica_settings)
        )
    return exit_code


def report_trials(out, count, seed):
    """Run the trials and print what became of the messages; return 1 if anything was lost or done twice, else 0."""
    lines = asyncio.run(run_trials(out / "trials", count, seed))
    result = ledger(lines)
    print("ledger:", {k: v if isinstance(v, int) else len(v) for k, v in result.to_dict().items()})
    resumption_us, not_taken_over = resumption_times(lines)
    print(
        f"seconds from the kill until work resumes: {summary(resumption_us, 1e6)}; nothing taken over: {not_taken_over}"
    )
    waits = [li for li in lines if li.get("event") in ("copies_awaited", "copies_unsure")]
    print("takeovers that waited for a copy:", len(waits))
    print("taken over:", sum(li.get("event") == "copies_taken_over" for li in lines))
    return 0 if result.clean else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Replication under kills, and its costs.")
    parser.add_argument("out", nargs="?", type=Path, default=Path("found/copies"))
    parser.add_argument(
        "trials", nargs="?", type=int, default=100, help="number of kills; 0 skips the trials"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-costs", dest="costs", action="store_false")
    arguments = parser.parse_args()
    sys.exit(main(arguments.out, arguments.trials, arguments.seed, arguments.costs))
