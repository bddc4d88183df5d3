"""Replication with real couriers under load and faults: no accepted message is lost or executed twice."""

import asyncio
import math

import pytest
from test_leases_stage import FAST, LEASES, print_errors

from pinspread.testbed import cluster, history_checker
from pinspread.testbed.loopback import wait_until

pytestmark = pytest.mark.stage
# The deadline of the last message passes before a scenario ends, so a message without a final result by then
# counts as lost.
TRAFFIC = {"rate": 10.0, "for_s": 9.0, "deadline_s": 16.0, "slow_s": 1.5}
ALWAYS = [{"kind": "ledger", "least": 100}, {"kind": "one_holder"}]


def play(tmp_path, faults, seconds=20, copies=None, **options):
    """Play a scenario and check its verdicts.

    Args:
        tmp_path: The folder of the scenario's files.
        faults: What is done to which member, and when.
        seconds: Length of the scenario.
        copies: Settings of the `[copies]` table beside the default ones.
        **options: Other entries of the scenario.

    Returns:
        The lines of the history, and a function that returns the lines of an event.
    """
    scenario = {"members": 4, "seconds": seconds, "tuning": FAST, "leases": LEASES, "at": faults}
    scenario |= {
        "traffic": TRAFFIC,
        "copies": {"count": 2, "need": 1} | (copies or {}),
        "expect": ALWAYS,
    } | options
    verdicts = cluster.play(scenario, tmp_path)
    print_errors(tmp_path)
    assert all(verdict["ok"] for verdict in verdicts), verdicts
    lines = history_checker.read_scenario(tmp_path / "history.jsonl")
    began_us = next(line["mono_us"] for line in lines if line.get("event") == "stage_began")
    return lines, lambda event, who=None, after_s=0: [
        line
        for line in lines
        if line.get("event") == event
        and who in (None, line["who"])
        and line["mono_us"] - began_us >= after_s * 1_000_000
    ]


def test_an_owner_lost_with_its_disk_is_taken_over_and_comes_back_without_what_others_took_over(tmp_path):
    lines, events = play(
        tmp_path,
        [{"s": 3, "do": "wipe", "who": ["m3"]}, {"s": 9, "do": "start", "who": ["m3"]}],
        seconds=30,
        traffic=TRAFFIC | {"for_s": 15.0, "deadline_s": 14.0, "amqp_share": 0.4},
    )
    published = {line["id"] for line in events("final", "platform") if line["state"] == "delivered"}
    assert len(published) >= 50  # results arrived over AMQP, across a kill and a takeover
    takeover = next(line for line in events("copies_taken_over") if line["owner"] == "m3")
    assert takeover["count"] >= 3
    dropped = events("copies_gave_up", "m3", after_s=9)[0]
    assert dropped["adopted"] and dropped["count"] == takeover["held"]
    assert events("acked", "m3", after_s=9)  # it serves again


def test_an_owner_and_one_of_two_replicas_lost_together_lose_nothing_if_both_must_acknowledge(tmp_path):
    lines, events = play(
        tmp_path,
        [
            {"s": 3, "do": "wipe", "who": ["m3", "m0"]},
            {"s": 9, "do": "start", "who": ["m0"]},
            {"s": 10, "do": "start", "who": ["m3"]},
        ],
        copies={"need": 2},
        members=5,
        seconds=26,
        traffic=TRAFFIC | {"slow_s": 0.8},
    )
    assert {line["owner"] for line in events("copies_taken_over")} >= {"m0", "m3"}


def test_an_owner_on_the_minority_side_accepts_nothing_and_a_paused_replica_is_replaced(tmp_path):
    lines, events = play(
        tmp_path,
        [
            {"s": 2, "do": "split", "groups": [["m3"], ["m0", "m1", "m2"]]},
            {"s": 7, "do": "heal"},
            {"s": 9, "do": "pause", "who": ["m2"]},
            {"s": 13, "do": "resume", "who": ["m2"]},
        ],
        seconds=32,
        traffic=TRAFFIC | {"for_s": 12.0, "deadline_s": 18.0, "rate": 7.0, "slow_s": 0.8},
    )
    assert events("acked", "m3") and events("turned_away", "m3", after_s=2)
    began_us = next(line["mono_us"] for line in lines if line.get("event") == "stage_began")
    cut_off = [line for line in events("acked", "m3", after_s=2.5) if line["mono_us"] - began_us < 6_900_000]
    assert cut_off == []  # no replica can be reached, so no message is accepted on one disk alone


def test_a_flipped_bit_is_restored_from_a_replica_and_one_way_cuts_and_a_rolling_restart_lose_nothing(
    tmp_path,
):
    lines, events = play(
        tmp_path,
        [
            {"s": 1, "do": "cut", "from": ["m0"], "to": ["m2"]},
            {"s": 2, "do": "flip", "file": "copies/m[13]/journal.*", "who": ["m2"]},
            {"s": 3, "do": "heal"},
            {"s": 3, "do": "loss", "share": 0.05},
            {"s": 4, "do": "kill", "who": ["m1"]},
            {"s": 4.1, "do": "flip", "who": ["m1"]},
            {"s": 4.2, "do": "start", "who": ["m1"]},
            {"s": 7, "do": "term", "who": ["m0"]},
            {"s": 9, "do": "start", "who": ["m0"]},
            {"s": 11, "do": "term", "who": ["m2"]},
            {"s": 13, "do": "start", "who": ["m2"]},
            {"s": 15, "do": "term", "who": ["m3"]},
            {"s": 17, "do": "start", "who": ["m3"]},
        ],
        seconds=26,
        traffic=TRAFFIC | {"for_s": 14.0, "deadline_s": 12.0},
        copies={"check_s": 1, "sync": True},
    )
    assert [line for line in events("copies_restored", "m1") if line["why"] == "damaged"]
    assert [line for line in events("copies_mended") if line["at"] == "m2" and line["place"] < line["size"]]
    assert events("copies_let_go")  # replicas that replaced those of unreachable nodes for a while


def test_a_node_that_left_or_was_lost_before_its_replicas_restarted_is_taken_over(tmp_path):
    lines, events = play(
        tmp_path,
        [
            {"s": 3, "do": "term", "who": ["m3"]},
            {"s": 11, "do": "wipe", "who": ["m4"]},
            {"s": 11, "do": "kill", "who": ["m0", "m1", "m2"]},
            {"s": 12, "do": "start", "who": ["m0", "m1", "m2"]},  # none of them knows m4
        ],
        members=5,
        seconds=32,
        copies={"absent_s": 3},
        traffic=TRAFFIC | {"for_s": 11.0, "deadline_s": 20.0, "slow_s": 3.0},
    )
    takeovers = {line["owner"]: line for line in events("copies_taken_over")}
    assert takeovers["m3"]["count"] and takeovers["m4"]["count"]
    restarted_us = {line["who"]: line["mono_us"] for line in events("started", after_s=3)}
    assert restarted_us.keys() == {"m0", "m1", "m2"}
    # Until its kill, which a busy machine delays, an earlier process may still suspect m4.
    seen_after_restart = {who: set() for who in restarted_us}
    for line in events("member"):
        if line["mono_us"] >= restarted_us.get(line["who"], math.inf):
            seen_after_restart[line["who"]].add(line["id"])
    assert seen_after_restart == {"m0": {"m1", "m2"}, "m1": {"m0", "m2"}, "m2": {"m0", "m1"}}


def test_an_owner_without_its_disk_waits_for_the_replica_that_holds_its_last_records(tmp_path):
    # The replicas of m3 are on m2 and m0 (rendezvous order). m0 is cut off from m3, so only m2 holds the last
    # records.
    lines, events = play(
        tmp_path,
        [
            {"s": 2, "do": "cut", "from": ["m3"], "to": ["m0"]},
            {"s": 4, "do": "wipe", "who": ["m3"]},
            {"s": 4, "do": "kill", "who": ["m2"]},
            {"s": 4, "do": "heal"},
            {"s": 4, "do": "start", "who": ["m3"]},
            {"s": 9, "do": "start", "who": ["m2"]},
        ],
        seconds=24,
        traffic=TRAFFIC | {"for_s": 9.0, "deadline_s": 15.0, "slow_s": 3.0},
    )
    restored = events("copies_restored", "m3")[0]
    assert [line for line in events("copies_awaited") if line["owner"] == "m3"]
    accepted = [line["id"] for line in events("taken", "m3") if line["mono_us"] < restored["mono_us"]]
    assert len(accepted) >= 10 and restored["bytes"] > 0


def test_a_start_that_waits_for_its_lease_ends_at_sigterm(tmp_path):
    late = ["m0", "m1", "m2", "m3"]
    scenario = {"members": 4, "late": late, "seconds": 0, "tuning": FAST, "leases": LEASES, "copies": {}}

    async def until_sigterm():
        testbed = cluster.ClusterTestbed(scenario, tmp_path)

        def has_logged(event):
            return any(line["who"] == "m3" and line.get("event") == event for line in testbed.history.lines())

        try:
            await testbed.begin()
            await testbed.act({"do": "start", "who": ["m3"]})
            # From this event on it waits for its lease, however long the interpreter took to start.
            await wait_until(lambda: has_logged("copies_up"), cluster.READY_TIMEOUT_S)
            await asyncio.sleep(2)
            await testbed.act({"do": "term", "who": ["m3"]})
            await wait_until(lambda: has_logged("exited"), cluster.READY_TIMEOUT_S)
        finally:
            await asyncio.to_thread(testbed.finish)

    asyncio.run(until_sigterm())
    lines = history_checker.read_scenario(tmp_path / "history.jsonl")
    last = {line["event"]: line for line in lines if line["who"] == "m3"}
    assert "copies_up" in last and "serving" not in last
    assert last["exited"]["code"] == 0 and last["exited"]["mono_us"] - last["signalled"]["mono_us"] < 900_000
