"""The delivery policy's retries: the retry budget, backoff, idempotency, and answers at the deadline."""

import pytest
from policy_helpers import CONNECT_FAILED, ERROR, KEYED, OK, SAFE, TIMEOUT, UNSAFE, ZONED, Desk

from pinspread.policy import retry_budget
from pinspread.policy.actions import Fail, Reject, Send
from pinspread.policy.events import ClientCancelled, Outcome
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_retry_budget_starts_full_and_only_failed_retries_cost():
    desk = Desk()
    assert desk.bucket.retry_budget.tokens == retry_budget.BUCKET_CAP == 10
    desk.take()
    desk.end(1, CONNECT_FAILED)
    assert desk.bucket.retry_budget.tokens == 10  # a first attempt costs nothing
    assert desk.sent(desk.turn(after=20 * MS)) == [1]
    desk.end(1, CONNECT_FAILED)
    assert desk.bucket.retry_budget.tokens == 9  # the failed retry took one
    assert desk.sent(desk.turn(after=80 * MS)) == [1]
    desk.end(1, OK)
    assert desk.bucket.retry_budget.tokens == pytest.approx(
        9.1
    )  # a successful one takes none and brings a tenth


@pytest.mark.parametrize("verdict", [Outcome.NOT_SENT, CONNECT_FAILED, TIMEOUT])
def test_a_message_in_flight_at_its_deadline_is_answered_when_its_outcome_comes(verdict):
    desk = Desk()
    desk.take(life=SECOND)
    assert not desk.turn(after=SECOND)  # the turn at its deadline: it is out
    (action,) = desk.end(1, verdict, after=MS)
    assert action.request == 1 and type(action) is Reject
    assert not desk.sender.messages


def test_ten_successes_add_a_token_to_the_retry_budget_up_to_its_cap():
    desk = Desk()
    desk.bucket.retry_budget.tokens = 3.0
    for n in range(1, 11):
        desk.take()
        desk.end(n)
    assert desk.bucket.retry_budget.tokens == pytest.approx(4.0)
    desk.bucket.retry_budget.tokens = retry_budget.BUCKET_CAP
    desk.take()
    desk.end(11)
    assert desk.bucket.retry_budget.tokens == retry_budget.BUCKET_CAP


def test_empty_retry_budget_stops_retries_but_not_first_attempts():
    desk = Desk(endpoints=(("a", 1), ("b", 1)))
    desk.bucket.retry_budget.tokens = 0.95
    desk.take()
    desk.end(1, ERROR)
    assert desk.sent(desk.turn(after=SECOND)) == []
    assert desk.sent(desk.take()) == [2]
    assert desk.sent(desk.end(2)) == [1]  # its success brings the missing part of a token


def test_backoff_grows_fourfold_with_jitter():
    sender = Desk().sender
    for n in range(6):
        waits = [retry_budget.backoff_ns(sender.context.random, n) for _ in range(300)]
        middle = 10 * MS * 4**n
        assert 0.5 * middle <= min(waits) < 0.6 * middle
        assert 1.4 * middle < max(waits) <= 1.5 * middle


def test_message_whose_next_backoff_passes_its_deadline_is_answered_at_once():
    desk = Desk()
    desk.take(life=55 * MS)
    answers = desk.end(1, CONNECT_FAILED, after=51 * MS)
    assert [type(a) for a in answers] == [Reject] and not desk.sender.messages


def test_spent_attempts_are_answered_at_once():
    desk = Desk(max_attempts=2)
    desk.take(cls=KEYED)
    assert desk.end(1, CONNECT_FAILED) == []
    desk.turn(after=20 * MS)
    (answer,) = desk.end(1, CONNECT_FAILED)
    assert type(answer) is Reject and 0 <= answer.retry_after_ns <= 2 * SECOND


def test_rule_1_held_message_is_answered_at_its_deadline_not_before():
    desk = Desk()
    desk.take(destination=99, life=5 * SECOND)
    assert desk.turn(after=5 * SECOND - 1) == []
    (answer,) = desk.turn(after=1)
    assert type(answer) is Reject and answer.request == 1
    assert desk.turn(after=SECOND) == []


def test_rule_1_nothing_follows_a_cancelled_message():
    desk = Desk()
    desk.take()
    desk.end(1, CONNECT_FAILED)
    desk.turn(ClientCancelled(1))
    assert desk.turn(after=5 * SECOND) == []


def test_rule_1_late_outcome_of_an_ended_message_frees_its_slot():
    desk = Desk()
    desk.take()
    desk.turn(ClientCancelled(1))
    assert desk.sender.dispatcher.calls_in_flight == 1
    assert desk.end(1, TIMEOUT, done=True) == []
    assert desk.sender.dispatcher.calls_in_flight == 0 and not desk.sender.messages


def test_rule_2_non_idempotent_message_is_retried_only_where_nothing_ran():
    desk = Desk()
    desk.take(cls=UNSAFE)
    assert desk.end(1, CONNECT_FAILED) == []
    assert desk.sent(desk.turn(after=20 * MS)) == [1]
    assert desk.end(1, TIMEOUT) == [Fail(1)]


def test_rule_2_non_idempotent_message_after_an_error_fails_and_is_not_rejected():
    desk = Desk()
    desk.take(cls=UNSAFE)
    assert desk.end(1, ERROR) == [Fail(1)]


def test_rule_2_message_with_idempotency_key_is_retried_only_inside_its_window():
    desk = Desk(endpoints=(("a", 1), ("b", 1)))
    desk.take(cls=KEYED)
    desk.bucket.retry_budget.tokens = 0.0
    desk.end(1, ERROR)
    assert desk.turn(after=10 * SECOND - 50 * MS - 1) == []
    desk.bucket.retry_budget.tokens = 5.0
    message = desk.sender.messages[1]
    assert desk.sender.dispatcher.may_repeat(message, desk.now)
    assert not desk.sender.dispatcher.may_repeat(message, desk.now + 1)
    assert desk.turn(after=1) == [Fail(1)]


def test_rule_2_deduplication_by_zone_binds_retries_to_the_zone():
    desk = Desk(endpoints=(("a", 1), ("b", 1)), zones={"a": 0, "b": 1}, cross_zone_price=0.1)
    desk.take(cls=ZONED)
    assert desk.attempts[1][1] == "a"
    desk.end(1, ERROR)
    message = desk.sender.messages[1]
    desk.now += SECOND
    desk.sender.context.now_ns = desk.now
    assert desk.sender.dispatcher.may_send(message, desk.sender.discovery.endpoints["a"])
    assert not desk.sender.dispatcher.may_send(message, desk.sender.discovery.endpoints["b"])


def test_rule_2_never_two_attempts_in_flight():
    desk = Desk(endpoints=(("a", 1), ("b", 1)))
    desk.take()
    assert desk.turn(after=3 * SECOND) == []


@pytest.mark.parametrize(
    ("cls", "attempts", "may_run", "answer"),
    [
        (UNSAFE, 1, True, Fail),  # it may have run: never again
        (UNSAFE, 1, False, Send),
        (SAFE, 1, True, Send),
        (KEYED, 1, True, Send),
        (KEYED, 1, None, Fail),  # out of its window: a repeat would not be dropped
        (SAFE, 8, True, Reject),  # its attempts were spent before the restart
    ],
)
def test_a_recovered_message_goes_on_with_what_it_may_have_done(cls, attempts, may_run, answer):
    desk = Desk()
    at = {True: desk.now - SECOND, False: 0, None: desk.now - 11 * SECOND}[may_run]
    actions = desk.take(cls=cls, attempts=attempts, may_have_run_ns=at)
    assert [type(a) for a in actions] == [answer]
    if answer is Send:
        desk.attempts[1] = (attempts, "a")
        assert not desk.sent(desk.end(1)) and not desk.sender.messages
