"""The delivery policy's rate limits: Retry-After, rejections, and the capacity that endpoints report."""

import pytest
from policy_helpers import FULL, OK, Desk

from pinspread.policy import rate_limit
from pinspread.policy.actions import Reject
from pinspread.policy.events import AttemptCompleted
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_retry_after_holds_first_attempts_to_every_endpoint_until_it_is_over():
    desk = Desk(endpoints=(("a", 1), ("b", 1), ("c", 2)))
    desk.take()
    desk.end(1, FULL, retry_after_ns=700 * MS)
    assert desk.take() == []
    assert desk.sent(desk.take(destination=2)) == [3]  # another destination is not held
    assert desk.turn(after=699 * MS) == []
    assert desk.sent(desk.turn(after=MS)) == [1]  # when it is over they go, spaced by the pace
    assert desk.sent(desk.turn(after=SECOND)) == [2]


def test_later_message_of_a_bundle_may_bring_the_longer_retry_after():
    desk = Desk(kind=1)
    assert desk.sent(desk.take(2)) == [1, 2]
    events = [
        AttemptCompleted(n, 0, "a", FULL, 10 * MS, False, retry_after_ns=wait)
        for n, wait in ((1, 200 * MS), (2, 900 * MS))
    ]
    desk.turn(*events, after=10 * MS)
    assert desk.turn(after=899 * MS) == []  # 200 ms would have been too soon
    assert sorted(desk.sent(desk.turn(after=MS))) == [1, 2]


def test_retry_after_of_a_used_up_limit_is_not_over_for_all_at_once():
    ends = set()
    for seed in range(12):
        desk = Desk(senders=50)
        desk.sender.context.random.seed(seed)
        desk.take()
        desk.end(1, FULL, retry_after_ns=SECOND, limit_remaining=0.0, limit_per_s=3.0)
        line = desk.sender.discovery.endpoints["a"].limiter
        assert line.backoff_until_ns > line.retry_after_until_ns == desk.now + SECOND
        ends.add(line.backoff_until_ns // (50 * MS))
    assert len(ends) > 5


def test_rejection_by_a_used_up_endpoint_makes_its_siblings_wait():
    desk = Desk(endpoints=(("a", 1), ("b", 1)), kind=2, senders=50)
    desk.take()
    desk.end(1, FULL, limit_remaining=0.0, limit_per_s=3.0)
    assert desk.turn(after=50 * MS) == []  # a sibling not heard of is likely used up too
    other = Desk(endpoints=(("a", 1), ("b", 1)), kind=2, senders=50)
    other.take()
    other.end(1, FULL, limit_remaining=0.9, limit_per_s=3.0)
    assert other.sent(other.turn(after=50 * MS)) == [1]


def test_rejections_without_retry_after_hold_the_destination_and_set_a_rate():
    desk = Desk()
    desk.take()
    desk.end(1, FULL)
    assert desk.take() == []
    assert desk.sender.discovery.endpoints["a"].limiter.rate >= rate_limit.MIN_RATE


def test_endpoints_with_limits_of_their_own_wait_alone():
    desk = Desk(endpoints=(("a", 1), ("b", 1)), kind=2)
    desk.take()
    first = desk.attempts[1][1]
    desk.end(1, FULL, retry_after_ns=SECOND)
    desk.take()
    assert desk.attempts[2][1] != first


def test_burst_of_rejections_counts_once():
    desk = Desk(max_concurrent_calls=20)
    desk.take(6)
    for n in range(1, 7):
        desk.end(n, FULL, after=MS)
    assert desk.sender.discovery.endpoints["a"].limiter.refusals == 1


def test_a_low_reported_capacity_makes_a_sender_wait():
    desk = Desk(senders=200)
    desk.take()
    desk.end(1, OK, limit_remaining=0.05, limit_per_s=5.0)
    assert desk.take() == []
    other = Desk(senders=200)
    other.take()
    other.end(1, OK, limit_remaining=0.9, limit_per_s=5.0)
    assert other.sent(other.take(after=SECOND)) == [2]


def test_recovered_messages_without_attempts_wait_for_no_rate_limit_but_for_retry_after():
    desk = Desk(senders=200)
    line = next(iter(desk.sender.discovery.endpoints.values())).limiter
    line.backoff_until_ns = line.next_call_ns = desk.now + 60 * SECOND  # untold, and longer than its time
    assert not desk.take(life=8 * SECOND, recovered=True)  # neither sent nor given up
    assert not desk.turn(after=3900 * MS)
    assert desk.sent(desk.turn(after=101 * MS)) == [1]
    line.retry_after_until_ns = desk.now + 2 * SECOND
    assert not desk.take(life=3 * SECOND, recovered=True)
    assert not desk.turn(after=1999 * MS)
    assert desk.sent(desk.turn(after=2 * MS)) == [2]
    desk.end(1), desk.end(2)
    (given_up,) = desk.take(life=8 * SECOND)  # one that came since goes by the paces, as ever
    assert type(given_up) is Reject
