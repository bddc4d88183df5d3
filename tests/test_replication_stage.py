"""Copies with real couriers under load and faults between them: nothing promised is lost or done twice."""

import asyncio

import pytest
from test_leases_stage import FAST, LEASES, print_errors

from pinspread.testbed import cluster, history_checker
from pinspread.testbed.loopback import wait_until

pytestmark = pytest.mark.stage
# The last message's time is up before a scenario ends: what is then neither delivered nor told is lost.
TRAFFIC = {"rate": 10.0, "for_s": 9.0, "deadline_s": 16.0, "slow_s": 1.5}
ALWAYS = [{"kind": "ledger", "least": 100}, {"kind": "one_holder"}]


def play(tmp_path, at, seconds=20, copies=None, **more):
    scenario = {"members": 4, "seconds": seconds, "tuning": FAST, "leases": LEASES, "at": at}
    scenario |= {
        "traffic": TRAFFIC,
        "copies": {"count": 2, "need": 1} | (copies or {}),
        "expect": ALWAYS,
    } | more
    found = cluster.play(scenario, tmp_path)
    print_errors(tmp_path)
    assert all(v["ok"] for v in found), found
    lines = history_checker.read_scenario(tmp_path / "history.jsonl")
    began = next(li["mono_us"] for li in lines if li.get("event") == "stage_began")
    return lines, lambda event, who=None, after_s=0: [
        li
        for li in lines
        if li.get("event") == event
        and who in (None, li["who"])
        and li["mono_us"] - began >= after_s * 1_000_000
    ]


def test_an_owner_lost_with_its_disk_is_taken_over_and_comes_back_without_what_went_on_elsewhere(tmp_path):
    lines, of = play(
        tmp_path,
        [{"s": 3, "do": "wipe", "who": ["m3"]}, {"s": 9, "do": "start", "who": ["m3"]}],
        seconds=30,
        traffic=TRAFFIC | {"for_s": 15.0, "deadline_s": 14.0, "amqp_share": 0.4},
    )
    published = {li["id"] for li in of("final", "platform") if li["state"] == "delivered"}
    assert len(published) >= 50  # their ends were heard by AMQP, over a kill and a takeover
    over = next(li for li in of("copies_taken_over") if li["owner"] == "m3")
    assert over["count"] >= 3
    back = of("copies_gave_up", "m3", after_s=9)[0]
    assert back["adopted"] and back["count"] == over["held"]
    assert of("acked", "m3", after_s=9)  # it serves again


def test_an_owner_and_one_of_two_copies_lost_together_lose_nothing_where_both_are_waited_for(tmp_path):
    lines, of = play(
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
    assert {li["owner"] for li in of("copies_taken_over")} >= {"m0", "m3"}


def test_an_owner_on_the_minority_side_promises_nothing_and_a_paused_copy_is_replaced(tmp_path):
    lines, of = play(
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
    assert of("acked", "m3") and of("turned_away", "m3", after_s=2)
    began = next(li["mono_us"] for li in lines if li.get("event") == "stage_began")
    cut_off = [li for li in of("acked", "m3", after_s=2.5) if li["mono_us"] - began < 6_900_000]
    assert cut_off == []  # no copy can be reached: nothing is promised on one disk


def test_a_flipped_bit_is_restored_from_a_copy_and_one_way_cuts_and_a_rolling_restart_lose_nothing(tmp_path):
    lines, of = play(
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
    assert [li for li in of("copies_restored", "m1") if li["why"] == "damaged"]
    assert [li for li in of("copies_mended") if li["at"] == "m2" and li["place"] < li["size"]]
    assert of("copies_let_go")  # those that stood in while others were away


def test_who_left_for_good_or_was_lost_before_its_keepers_were_restarted_is_taken_over(tmp_path):
    lines, of = play(
        tmp_path,
        [
            {"s": 3, "do": "term", "who": ["m3"]},
            {"s": 11, "do": "wipe", "who": ["m4"]},
            {"s": 11, "do": "kill", "who": ["m0", "m1", "m2"]},
            {"s": 12, "do": "start", "who": ["m0", "m1", "m2"]},  # none of them has heard of m4
        ],
        members=5,
        seconds=32,
        copies={"absent_s": 3},
        traffic=TRAFFIC | {"for_s": 11.0, "deadline_s": 20.0, "slow_s": 3.0},
    )
    taken = {li["owner"]: li for li in of("copies_taken_over")}
    assert taken["m3"]["count"] and taken["m4"]["count"]
    unknown = [li for li in of("member", after_s=11) if li["id"] == "m4"]
    assert not unknown


def test_an_owner_without_its_disk_waits_for_the_copy_that_holds_its_last_promises(tmp_path):
    # The keepers of m3 are m2 and m0 (rendezvous order); m0 is cut off from it, so m2 alone holds the last.
    lines, of = play(
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
    back = of("copies_restored", "m3")[0]
    assert [li for li in of("copies_awaited") if li["owner"] == "m3"]
    held = [li["id"] for li in of("taken", "m3") if li["mono_us"] < back["mono_us"]]
    assert len(held) >= 10 and back["bytes"] > 0


def test_a_start_that_waits_for_its_lease_ends_at_sigterm(tmp_path):
    late = ["m0", "m1", "m2", "m3"]
    scenario = {"members": 4, "late": late, "seconds": 0, "tuning": FAST, "leases": LEASES, "copies": {}}

    async def until_sigterm():
        testbed = cluster.ClusterTestbed(scenario, tmp_path)

        def has_logged(event):
            return any(li["who"] == "m3" and li.get("event") == event for li in testbed.history.lines())

        try:
            await testbed.begin()
            await testbed.act({"do": "start", "who": ["m3"]})
            # From here on it waits, however long the interpreter's start has taken.
            await wait_until(lambda: has_logged("copies_up"), cluster.READY_TIMEOUT_S)
            await asyncio.sleep(2)
            await testbed.act({"do": "term", "who": ["m3"]})
            await wait_until(lambda: has_logged("exited"), cluster.READY_TIMEOUT_S)
        finally:
            await asyncio.to_thread(testbed.finish)

    asyncio.run(until_sigterm())
    lines = history_checker.read_scenario(tmp_path / "history.jsonl")
    of = {li["event"]: li for li in lines if li["who"] == "m3"}
    assert "copies_up" in of and "serving" not in of
    assert of["exited"]["code"] == 0 and of["exited"]["mono_us"] - of["signalled"]["mono_us"] < 900_000
