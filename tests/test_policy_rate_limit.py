"""The delivery policy's rate limits: Retry-After, rejections, and the capacity that endpoints report."""

import pytest
from policy_helpers import OK, OVERLOADED, PolicyDriver

from pinspread.policy import rate_limit
from pinspread.policy.actions import Reject
from pinspread.policy.events import AttemptCompleted
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_retry_after_holds_first_attempts_to_every_endpoint_until_it_is_over():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1), ("c", 2)))
    driver.accept()
    driver.complete(1, OVERLOADED, retry_after_ns=700 * MS)
    assert driver.accept() == []
    assert driver.sent(driver.accept(destination=2)) == [3]  # another destination is not held back
    assert driver.turn(after=699 * MS) == []
    assert driver.sent(driver.turn(after=MS)) == [1]  # after it they are sent, spaced by the rate
    assert driver.sent(driver.turn(after=SECOND)) == [2]


def test_later_message_of_a_bundle_may_bring_the_longer_retry_after():
    driver = PolicyDriver(kind=1)
    assert driver.sent(driver.accept(2)) == [1, 2]
    events = [
        AttemptCompleted(n, 0, "a", OVERLOADED, 10 * MS, False, retry_after_ns=wait)
        for n, wait in ((1, 200 * MS), (2, 900 * MS))
    ]
    driver.turn(*events, after=10 * MS)
    assert driver.turn(after=899 * MS) == []  # after 200 ms it would be too early
    assert sorted(driver.sent(driver.turn(after=MS))) == [1, 2]


def test_retry_after_of_a_used_up_limit_is_not_over_for_all_at_once():
    ends = set()
    for seed in range(12):
        driver = PolicyDriver(senders=50)
        driver.sender.context.random.seed(seed)
        driver.accept()
        driver.complete(1, OVERLOADED, retry_after_ns=SECOND, limit_remaining=0.0, limit_per_s=3.0)
        rate_limiter = driver.sender.discovery.endpoints["a"].limiter
        assert rate_limiter.backoff_until_ns > rate_limiter.retry_after_until_ns == driver.now + SECOND
        ends.add(rate_limiter.backoff_until_ns // (50 * MS))
    assert len(ends) > 5


def test_rejection_by_a_used_up_endpoint_makes_its_siblings_wait():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)), kind=2, senders=50)
    driver.accept()
    driver.complete(1, OVERLOADED, limit_remaining=0.0, limit_per_s=3.0)
    assert driver.turn(after=50 * MS) == []  # a sibling without a recent success is probably exhausted too
    other = PolicyDriver(endpoints=(("a", 1), ("b", 1)), kind=2, senders=50)
    other.accept()
    other.complete(1, OVERLOADED, limit_remaining=0.9, limit_per_s=3.0)
    assert other.sent(other.turn(after=50 * MS)) == [1]


def test_rejections_without_retry_after_hold_the_destination_and_set_a_rate():
    driver = PolicyDriver()
    driver.accept()
    driver.complete(1, OVERLOADED)
    assert driver.accept() == []
    assert driver.sender.discovery.endpoints["a"].limiter.rate >= rate_limit.MIN_RATE


def test_endpoints_with_limits_of_their_own_wait_alone():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)), kind=2)
    driver.accept()
    first = driver.attempts[1][1]
    driver.complete(1, OVERLOADED, retry_after_ns=SECOND)
    driver.accept()
    assert driver.attempts[2][1] != first


def test_burst_of_rejections_counts_once():
    driver = PolicyDriver(max_concurrent_calls=20)
    driver.accept(6)
    for n in range(1, 7):
        driver.complete(n, OVERLOADED, after=MS)
    assert driver.sender.discovery.endpoints["a"].limiter.refusals == 1


def test_a_low_reported_capacity_makes_a_sender_wait():
    driver = PolicyDriver(senders=200)
    driver.accept()
    driver.complete(1, OK, limit_remaining=0.05, limit_per_s=5.0)
    assert driver.accept() == []
    other = PolicyDriver(senders=200)
    other.accept()
    other.complete(1, OK, limit_remaining=0.9, limit_per_s=5.0)
    assert other.sent(other.accept(after=SECOND)) == [2]


def test_recovered_messages_without_attempts_wait_for_no_rate_limit_but_for_retry_after():
    driver = PolicyDriver(senders=200)
    rate_limiter = next(iter(driver.sender.discovery.endpoints.values())).limiter
    # Waits without a Retry-After, and longer than the messages' time.
    rate_limiter.backoff_until_ns = rate_limiter.next_call_ns = driver.now + 60 * SECOND
    assert not driver.accept(lifetime=8 * SECOND, recovered=True)  # neither sent nor ended
    assert not driver.turn(after=3900 * MS)
    assert driver.sent(driver.turn(after=101 * MS)) == [1]
    rate_limiter.retry_after_until_ns = driver.now + 2 * SECOND
    assert not driver.accept(lifetime=3 * SECOND, recovered=True)
    assert not driver.turn(after=1999 * MS)
    assert driver.sent(driver.turn(after=2 * MS)) == [2]
    driver.complete(1), driver.complete(2)
    # A message that is not recovered waits for the rate limit, which lasts beyond its deadline.
    (rejected,) = driver.accept(lifetime=8 * SECOND)
    assert type(rejected) is Reject
