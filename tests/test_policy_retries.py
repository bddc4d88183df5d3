"""The delivery policy's retries: the retry budget, backoff, idempotency, and answers at the deadline."""

import pytest
from policy_helpers import CONNECT_FAILED, ERROR, KEYED, OK, SAFE, TIMEOUT, UNSAFE, ZONED, PolicyDriver

from pinspread.policy import retry_budget
from pinspread.policy.actions import Fail, Reject, Send
from pinspread.policy.events import ClientCancelled, Outcome
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_retry_budget_starts_full_and_only_failed_retries_cost():
    driver = PolicyDriver()
    assert driver.first_destination.retry_budget.tokens == retry_budget.BUCKET_CAP == 10
    driver.accept()
    driver.complete(1, CONNECT_FAILED)
    assert driver.first_destination.retry_budget.tokens == 10  # a first attempt costs nothing
    assert driver.sent(driver.turn(after=20 * MS)) == [1]
    driver.complete(1, CONNECT_FAILED)
    assert driver.first_destination.retry_budget.tokens == 9  # the failed retry took a token
    assert driver.sent(driver.turn(after=80 * MS)) == [1]
    driver.complete(1, OK)
    # A successful retry takes no token and adds a tenth.
    assert driver.first_destination.retry_budget.tokens == pytest.approx(9.1)


@pytest.mark.parametrize("verdict", [Outcome.NOT_SENT, CONNECT_FAILED, TIMEOUT])
def test_a_message_in_flight_at_its_deadline_is_answered_when_its_outcome_comes(verdict):
    driver = PolicyDriver()
    driver.accept(lifetime=SECOND)
    assert not driver.turn(after=SECOND)  # at its deadline it is still in flight
    (action,) = driver.complete(1, verdict, after=MS)
    assert action.request == 1 and type(action) is Reject
    assert not driver.sender.messages


def test_ten_successes_add_a_token_to_the_retry_budget_up_to_its_cap():
    driver = PolicyDriver()
    driver.first_destination.retry_budget.tokens = 3.0
    for n in range(1, 11):
        driver.accept()
        driver.complete(n)
    assert driver.first_destination.retry_budget.tokens == pytest.approx(4.0)
    driver.first_destination.retry_budget.tokens = retry_budget.BUCKET_CAP
    driver.accept()
    driver.complete(11)
    assert driver.first_destination.retry_budget.tokens == retry_budget.BUCKET_CAP


def test_empty_retry_budget_stops_retries_but_not_first_attempts():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)))
    driver.first_destination.retry_budget.tokens = 0.95
    driver.accept()
    driver.complete(1, ERROR)
    assert driver.sent(driver.turn(after=SECOND)) == []
    assert driver.sent(driver.accept()) == [2]
    assert driver.sent(driver.complete(2)) == [1]  # this success adds the missing part of a token


def test_backoff_grows_fourfold_with_jitter():
    sender = PolicyDriver().sender
    for n in range(6):
        waits = [retry_budget.backoff_ns(sender.context.random, n) for _ in range(300)]
        middle = 10 * MS * 4**n
        assert 0.5 * middle <= min(waits) < 0.6 * middle
        assert 1.4 * middle < max(waits) <= 1.5 * middle


def test_message_whose_next_backoff_passes_its_deadline_is_answered_at_once():
    driver = PolicyDriver()
    driver.accept(lifetime=55 * MS)
    answers = driver.complete(1, CONNECT_FAILED, after=51 * MS)
    assert [type(a) for a in answers] == [Reject] and not driver.sender.messages


def test_spent_attempts_are_answered_at_once():
    driver = PolicyDriver(max_attempts=2)
    driver.accept(cls=KEYED)
    assert driver.complete(1, CONNECT_FAILED) == []
    driver.turn(after=20 * MS)
    (answer,) = driver.complete(1, CONNECT_FAILED)
    assert type(answer) is Reject and 0 <= answer.retry_after_ns <= 2 * SECOND


def test_held_message_is_answered_at_its_deadline_not_before():
    driver = PolicyDriver()
    driver.accept(destination=99, lifetime=5 * SECOND)
    assert driver.turn(after=5 * SECOND - 1) == []
    (answer,) = driver.turn(after=1)
    assert type(answer) is Reject and answer.request == 1
    assert driver.turn(after=SECOND) == []


def test_nothing_follows_a_cancelled_message():
    driver = PolicyDriver()
    driver.accept()
    driver.complete(1, CONNECT_FAILED)
    driver.turn(ClientCancelled(1))
    assert driver.turn(after=5 * SECOND) == []


def test_late_outcome_of_an_ended_message_frees_its_slot():
    driver = PolicyDriver()
    driver.accept()
    driver.turn(ClientCancelled(1))
    assert driver.sender.dispatcher.calls_in_flight == 1
    assert driver.complete(1, TIMEOUT, done=True) == []
    assert driver.sender.dispatcher.calls_in_flight == 0 and not driver.sender.messages


def test_non_idempotent_message_is_retried_only_where_nothing_ran():
    driver = PolicyDriver()
    driver.accept(cls=UNSAFE)
    assert driver.complete(1, CONNECT_FAILED) == []
    assert driver.sent(driver.turn(after=20 * MS)) == [1]
    assert driver.complete(1, TIMEOUT) == [Fail(1)]


def test_non_idempotent_message_after_an_error_fails_and_is_not_rejected():
    driver = PolicyDriver()
    driver.accept(cls=UNSAFE)
    assert driver.complete(1, ERROR) == [Fail(1)]


def test_message_with_idempotency_key_is_retried_only_inside_its_window():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)))
    driver.accept(cls=KEYED)
    driver.first_destination.retry_budget.tokens = 0.0
    driver.complete(1, ERROR)
    assert driver.turn(after=10 * SECOND - 50 * MS - 1) == []
    driver.first_destination.retry_budget.tokens = 5.0
    message = driver.sender.messages[1]
    assert driver.sender.dispatcher.may_repeat(message, driver.now)
    assert not driver.sender.dispatcher.may_repeat(message, driver.now + 1)
    assert driver.turn(after=1) == [Fail(1)]


def test_deduplication_by_zone_binds_retries_to_the_zone():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)), zones={"a": 0, "b": 1}, cross_zone_price=0.1)
    driver.accept(cls=ZONED)
    assert driver.attempts[1][1] == "a"
    driver.complete(1, ERROR)
    message = driver.sender.messages[1]
    driver.now += SECOND
    driver.sender.context.now_ns = driver.now
    assert driver.sender.dispatcher.may_send(message, driver.sender.discovery.endpoints["a"])
    assert not driver.sender.dispatcher.may_send(message, driver.sender.discovery.endpoints["b"])


def test_never_two_attempts_in_flight():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)))
    driver.accept()
    assert driver.turn(after=3 * SECOND) == []


@pytest.mark.parametrize(
    ("cls", "attempts", "may_run", "answer"),
    [
        (UNSAFE, 1, True, Fail),  # it may have run: never repeated
        (UNSAFE, 1, False, Send),
        (SAFE, 1, True, Send),
        (KEYED, 1, True, Send),
        (KEYED, 1, None, Fail),  # outside its deduplication window: a repeat would not be dropped
        (SAFE, 8, True, Reject),  # its attempts were used up before the restart
    ],
)
def test_a_recovered_message_goes_on_with_what_it_may_have_done(cls, attempts, may_run, answer):
    driver = PolicyDriver()
    at = {True: driver.now - SECOND, False: 0, None: driver.now - 11 * SECOND}[may_run]
    actions = driver.accept(cls=cls, attempts=attempts, may_have_run_ns=at)
    assert [type(a) for a in actions] == [answer]
    if answer is Send:
        driver.attempts[1] = (attempts, "a")
        assert not driver.sent(driver.complete(1)) and not driver.sender.messages
