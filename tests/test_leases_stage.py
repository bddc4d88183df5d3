"""Leases in a fleet of real couriers under faults: one holder at a time, and tokens that never decrease."""

import pytest

from pinspread.leases import codec, raft_messages
from pinspread.membership import codec as wire
from pinspread.testbed import cluster, history_checker, lease_checker
from pinspread.testbed.member_configuration import LEASES_PORT

pytestmark = pytest.mark.stage
FAST = {"period_s": 0.2, "timeout_s": 0.08}
LEASES = {
    "voters": 3,
    "tasks": ["sweep", "list", "take"],
    "act_s": 0.05,
    "lease_s": 2.0,
    "renew_s": 0.6,
    "retry_s": 0.2,
    "drift_s": 0.1,
    "margin_s": 0.1,
    "election_s": 0.3,
}
ALWAYS = [{"kind": "one_holder"}, {"kind": "tokens_grow"}]


def print_errors(folder):
    """Print the members' output that is not an event, such as a traceback, to explain a failed test."""
    for line in history_checker.read(folder / "history.jsonl"):
        if "text" in line:
            print(line["mono_us"], line["who"], line["text"])


def play(tmp_path, faults, expect=(), seconds=12, **overrides):
    scenario = {"members": 5, "seconds": seconds, "tuning": FAST, "leases": LEASES, "at": faults} | overrides
    verdicts = cluster.play(scenario | {"expect": [*ALWAYS, *expect]}, tmp_path)
    print_errors(tmp_path)
    assert all(verdict["ok"] for verdict in verdicts), verdicts
    return history_checker.read_scenario(tmp_path / "history.jsonl")


def test_the_leader_and_a_holder_are_killed_under_loss_and_strange_datagrams(tmp_path):
    lines = play(
        tmp_path,
        [
            {"s": 1, "do": "loss", "share": 0.2},
            {"s": 1, "do": "duplicate", "share": 0.2},
            {"s": 1, "do": "delay", "delay_s": 0.0, "jitter_s": 0.02},
            {"s": 2, "do": "garbage", "port": LEASES_PORT, "count": 30},
            {"s": 2, "do": "stranger", "port": LEASES_PORT, "count": 10},
            {"s": 4, "do": "kill", "who": ["@leader"]},
            {"s": 8, "do": "start"},
            {"s": 9, "do": "kill", "who": ["@holder:sweep"]},
        ],
        [
            {"kind": "held_again", "after_s": 4, "within_s": 5},
            {"kind": "held_again", "after_s": 9, "within_s": 5},
        ],
        seconds=15,
    )
    assert sum(entry.get("event") == "lease_dropped" for entry in lines) >= 100
    assert {entry["task"] for entry in lease_checker.actions(lines)} == set(LEASES["tasks"])


def test_a_holder_that_is_stopped_past_its_lease_does_no_harm_and_members_clocks_may_drift(tmp_path):
    late = ["m3", "m4"]  # clocks with a large offset, 4% fast and 4% slow: within 0.1 s of drift in 2 s
    lines = play(
        tmp_path,
        [
            {"s": 0, "do": "offset", "who": ["m3"], "ms": 900_000, "rate": 1.04},
            {"s": 0, "do": "offset", "who": ["m4"], "ms": -100, "rate": 0.96},
            {"s": 0, "do": "start", "who": late},
            {"s": 4, "do": "pause", "who": ["@holder:sweep"]},
            {"s": 9, "do": "resume"},
            {"s": 11, "do": "pause", "who": ["@holder:list"]},
            {"s": 15, "do": "resume"},
        ],
        [
            {"kind": "held_again", "after_s": 4, "within_s": 5},
            {"kind": "held_again", "after_s": 11, "within_s": 5},
        ],
        seconds=17,
        late=late,
    )
    assert [gap for gap in lease_checker.gaps(lines) if gap is not None]


def test_the_minority_side_of_the_voters_holds_nothing_and_the_majority_goes_on(tmp_path):
    play(
        tmp_path,
        [
            {"s": 3, "do": "split", "groups": [["m0", "m3"], ["m1", "m2", "m4"]]},
            {"s": 10, "do": "heal"},
            {"s": 12, "do": "cut", "from": ["m1"], "to": ["m0", "m2"]},  # one way: m1 only receives
            {"s": 16, "do": "heal"},
        ],
        [
            {"kind": "never_held", "of": ["m0", "m3"], "from_s": 3.5, "to_s": 10},
            {"kind": "held_again", "after_s": 6, "within_s": 2},
            {"kind": "held_again", "after_s": 16, "within_s": 4},
        ],
        seconds=20,
    )


def test_a_voter_without_its_folder_votes_only_once_it_has_caught_up(tmp_path):
    lines = play(
        tmp_path,
        [
            {"s": 3, "do": "wipe", "who": ["m1"]},
            {"s": 5, "do": "kill", "who": ["m2"]},  # one voter of three is left, so none may lead
            {"s": 7, "do": "start", "who": ["m1"]},
            {"s": 11, "do": "start", "who": ["m2"]},
        ],
        [{"kind": "held_again", "after_s": 11, "within_s": 5}],
        seconds=17,
    )
    votes = [entry for entry in lines if entry.get("event") == "quorum_votes" and entry["who"] == "m1"]
    # If two voters elect a leader before the third voter's delay is over, the third votes because it has
    # caught up, also at its first start.
    assert len(votes) == 2 and votes[1]["why"] == "caught up"
    assert any(entry.get("why") == "first start" for entry in lines if entry.get("event") == "quorum_votes")
    began_us = next(entry["mono_us"] for entry in lines if entry.get("event") == "stage_began")
    # m1 came back while only m0 ran. Had it voted, the two would have elected a leader, and entries that only
    # m2 still held could have been lost.
    assert votes[1]["mono_us"] - began_us > 11_000_000
    leader_times_us = [
        entry["mono_us"] - began_us
        for entry in lines
        if entry.get("event") == "quorum_leader" and entry["leader"]
    ]
    assert not [us for us in leader_times_us if 7_000_000 < us < 11_000_000]


def test_a_flipped_bit_in_a_voters_log_takes_its_vote_until_it_has_caught_up(tmp_path):
    lines = play(
        tmp_path,
        [
            {"s": 3, "do": "kill", "who": ["@leader"]},
            {"s": 3, "do": "flip", "file": "leases/log", "who": ["@leader"]},
            {"s": 4, "do": "start"},
        ],
        [{"kind": "held_again", "after_s": 3, "within_s": 5}],
        seconds=10,
    )
    (damaged_voter,) = [entry["who"] for entry in lines if entry.get("event") == "flipped"]
    events = [
        entry["event"]
        for entry in lines
        if entry["who"] == damaged_voter and entry["event"].startswith("quorum_")
    ]
    after = events[events.index("quorum_damaged") :]
    assert after.index("quorum_votes") > after.index("quorum_leader")  # it follows a leader before it votes


REQUEST = {
    "t": "lease",
    "kind": "ask",
    "task": "t",
    "member": "a",
    "token": 0,
    "number": 1,
    "at": "127.0.0.1:1",
}


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"t": "ping"}, "unknown message kind"),
        ({"kind": "steal"}, "unknown request kind"),
        ({"token": "1"}, "'token'"),
        ({"token": -1}, "out of range"),
        ({"number": 1 << 63}, "out of range"),
        ({"task": "x" * 65}, "out of range"),
        ({"at": None}, "'at'"),
        ({"t": "leased"}, "'why'"),
    ],
)
def test_a_request_that_is_not_well_formed_is_dropped_with_a_reason(change, why):
    assert codec.check_message(REQUEST) == REQUEST
    with pytest.raises(wire.DatagramError, match=why):
        codec.check_message(REQUEST | change)


class CallsPrint:
    """An object whose unpickling calls a function."""

    def __reduce__(self):
        return (print, ("called",))


def test_a_message_of_voters_is_refused_if_it_is_not_well_formed_or_could_call_something():
    import pickle

    valid = {"type": "append_entries", "term": 1, "commit_index": 1, "prevLogIdx": 1, "prevLogTerm": 0}
    call = b"\0" + pickle.dumps((0, ("sweep", "grant", "m0", 0, 5)))
    entries = [[call, 2, 1], [b"\1", 3, 1]]
    assert raft_messages.check_message(valid | {"entries": entries})["entries"] == [
        (call, 2, 1),
        (b"\1", 3, 1),
    ]
    call_command = b"\0" + pickle.dumps((0, (CallsPrint(),)))
    for malformed, why in (
        ({"type": "status"}, "unknown message type"),
        (valid | {"term": True}, "'term'"),
        (valid | {"prevLogTerm": None}, "must both be integers"),
        ({"type": "append_entries", "term": 1, "commit_index": 1, "serialized": [1]}, "neither"),
        (valid | {"transmission": "start"}, "split over several messages"),
        (valid | {"entries": [[call, 2]]}, "not well-formed"),
        (valid | {"entries": [[call_command, 2, 1]]}, "not a pickle of plain values"),
        (valid | {"entries": [[b"\2" + call, 2, 1]]}, "not a pickle of plain values"),
        ({"type": "apply_command", "command": call_command}, "not a pickle of plain values"),
        ({"type": "apply_command", "command": b"\0garbage"}, "not a pickle of plain values"),
    ):
        with pytest.raises(wire.DatagramError, match=why):
            raft_messages.check_message(malformed)


def test_a_repeated_message_removes_no_applied_entries():
    entries = [(b"\1", n, 2) for n in (5, 6, 7, 8)]
    message = {"type": "append_entries", "term": 3, "prevLogIdx": 4, "prevLogTerm": 1, "entries": entries}
    assert raft_messages.skip_applied_entries(message, 4) == message  # all entries are new
    after = raft_messages.skip_applied_entries(message, 6)
    assert (after["prevLogIdx"], after["prevLogTerm"], after["entries"]) == (6, 2, entries[2:])
    assert raft_messages.skip_applied_entries(message, 8)["entries"] == []  # only a heartbeat is left
    # The library would have removed three applied entries.
    assert raft_messages.skip_applied_entries(message | {"entries": entries[:1]}, 8) is None
    assert raft_messages.skip_applied_entries({"type": "request_vote"}, 8) == {"type": "request_vote"}


def test_the_checker_finds_two_holders_and_tokens_that_fall():
    def line(us, who, event, **more):
        return {"mono_us": us, "who": who, "event": event, **more}

    lines = [
        line(0, "stage", "stage_began"),
        line(1, "m0", "lease_held", task="t", token=1, stops_us=100),
        line(50, "m0", "lease_kept", task="t", token=1, stops_us=200),
        line(150, "m1", "lease_held", task="t", token=3, stops_us=300),
        line(160, "resource", "act", task="t", token=3, holder="m1", taken=True),
        line(170, "resource", "act", task="t", token=1, holder="m0", taken=True),
        line(900, "stage", "ending"),
    ]
    verdicts = history_checker.check(lines, ALWAYS)
    assert [verdict["ok"] for verdict in verdicts] == [False, False, True]
    lines[5]["taken"] = False
    lines.insert(3, line(149, "m0", "lease_lost", task="t", token=1))
    assert [verdict["ok"] for verdict in history_checker.check(lines, ALWAYS)] == [True, True, True]
    assert history_checker.check(lines, [{"kind": "stale_refused"}])[0]["ok"]
