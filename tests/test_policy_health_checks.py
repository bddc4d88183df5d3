"""The delivery policy's health checks: when one is made, and what its result proves."""

import pytest
from policy_helpers import FULL, OK, SAFE, UNSAFE, Desk

from pinspread.policy.actions import CheckHealth, Send, SetTimer
from pinspread.policy.events import HealthCheckCompleted, MessageAccepted, Outcome, TimerFired
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_outage_is_probed_by_an_idempotent_message_and_by_a_health_check_only_for_others():
    for cls, look in ((SAFE, Send), (UNSAFE, CheckHealth)):
        desk = Desk(health_checks_allowed=True)
        endpoint = desk.sender.discovery.endpoints["a"]
        endpoint.ejected, endpoint.failure_rate = True, 0.6
        assert [type(action) for action in desk.take(cls=cls)] == [look]


def test_rule_4_a_health_check_spends_the_ramp_of_an_endpoint_that_warms_up_as_a_call_does():
    desk = Desk(health_checks_allowed=True)
    endpoint = desk.sender.discovery.endpoints["a"]
    endpoint.warming_since_ns, endpoint.failure_rate, endpoint.usual_rate = desk.now, 0.4, 1.0
    assert [type(a) for a in desk.take(cls=UNSAFE)] == [CheckHealth]
    assert endpoint.next_call_ns > desk.now
    done = HealthCheckCompleted("a", OK, 20 * MS)
    assert not desk.sent(desk.turn(done, after=20 * MS))  # its message waits for the ramp


def test_a_health_check_that_was_never_sent_proves_nothing():
    desk = Desk(health_checks_allowed=True)
    endpoint = desk.sender.discovery.endpoints["a"]
    endpoint.failure_rate = 0.4
    desk.take(cls=UNSAFE)
    assert endpoint.health_check_out
    desk.turn(HealthCheckCompleted("a", Outcome.NOT_SENT, 0), after=MS)
    assert not endpoint.ejected and endpoint.failure_rate == 0.4


def wake_ups(desk, span, events=()):
    """How often a sender asks to be woken in a span, each wake-up heeded as soon as it is due."""
    count, end = 0, desk.now + span
    actions = desk.sender.handle(desk.now, list(events))
    while timers := [a for a in actions if type(a) is SetTimer]:
        if desk.now + timers[-1].delay_ns > end or (count := count + 1) > 1000:
            break
        desk.now += timers[-1].delay_ns
        actions = desk.sender.handle(desk.now, [TimerFired(timers[-1].tag)])
    return count


def test_a_payment_that_waits_for_a_health_check_does_not_wake_the_policy_again_and_again():
    desk = Desk(health_checks_allowed=True)
    endpoint = desk.sender.discovery.endpoints["a"]
    endpoint.failure_rate, endpoint.next_health_check_ns = 0.4, desk.now - SECOND
    for number in (1, 2):
        taken = MessageAccepted(number, UNSAFE, 1, desk.now + 20 * SECOND)
        assert wake_ups(desk, SECOND, [taken]) <= 2
    assert endpoint.health_check_out


def test_a_blocked_health_check_is_not_requested_again_at_once():
    desk = Desk(health_checks_allowed=True)
    desk.sender.discovery.endpoints["a"].failure_rate = 0.4
    actions, probes = desk.take(cls=UNSAFE), 0
    for _ in range(1000):  # a second in which each probe is barred within a millisecond
        out = [a for a in actions if type(a) is CheckHealth]
        probes += len(out)
        actions = desk.turn(*(HealthCheckCompleted("a", Outcome.NOT_SENT, 0) for _ in out), after=MS)
    assert 2 <= probes <= 15


def test_rule_5_retry_after_of_a_health_check_binds_as_that_of_a_call():
    desk = Desk(health_checks_allowed=True)
    desk.sender.discovery.endpoints["a"].failure_rate = 0.4
    desk.take(cls=UNSAFE)
    told = HealthCheckCompleted("a", FULL, 20 * MS, 2 * SECOND)
    assert not desk.turn(told, after=20 * MS)
    assert not desk.turn(after=1900 * MS)
    assert desk.turn(after=200 * MS)
