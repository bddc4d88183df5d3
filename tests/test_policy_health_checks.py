"""The delivery policy's health checks: when one is made, and what its result proves."""

import pytest
from policy_helpers import OK, OVERLOADED, SAFE, UNSAFE, PolicyDriver

from pinspread.policy.actions import CheckHealth, Send, SetTimer
from pinspread.policy.events import HealthCheckCompleted, MessageAccepted, Outcome, TimerFired
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_outage_is_probed_by_an_idempotent_message_and_by_a_health_check_only_for_others():
    for cls, expected in ((SAFE, Send), (UNSAFE, CheckHealth)):
        driver = PolicyDriver(health_checks_allowed=True)
        endpoint = driver.sender.discovery.endpoints["a"]
        endpoint.ejected, endpoint.failure_rate = True, 0.6
        assert [type(action) for action in driver.accept(cls=cls)] == [expected]


def test_a_health_check_spends_the_ramp_of_an_endpoint_that_warms_up_as_a_call_does():
    driver = PolicyDriver(health_checks_allowed=True)
    endpoint = driver.sender.discovery.endpoints["a"]
    endpoint.warming_since_ns, endpoint.failure_rate, endpoint.usual_rate = driver.now, 0.4, 1.0
    assert [type(a) for a in driver.accept(cls=UNSAFE)] == [CheckHealth]
    assert endpoint.next_call_ns > driver.now
    done = HealthCheckCompleted("a", OK, 20 * MS)
    assert not driver.sent(driver.turn(done, after=20 * MS))  # the message waits for the ramp


def test_a_health_check_that_was_never_sent_proves_nothing():
    driver = PolicyDriver(health_checks_allowed=True)
    endpoint = driver.sender.discovery.endpoints["a"]
    endpoint.failure_rate = 0.4
    driver.accept(cls=UNSAFE)
    assert endpoint.health_check_out
    driver.turn(HealthCheckCompleted("a", Outcome.NOT_SENT, 0), after=MS)
    assert not endpoint.ejected and endpoint.failure_rate == 0.4


def count_timers(driver, span, events=()):
    """How many timers a sender sets in `span` nanoseconds if each fires as soon as it is due."""
    count, end = 0, driver.now + span
    actions = driver.sender.handle(driver.now, list(events))
    while timers := [a for a in actions if type(a) is SetTimer]:
        if driver.now + timers[-1].delay_ns > end or (count := count + 1) > 1000:
            break
        driver.now += timers[-1].delay_ns
        actions = driver.sender.handle(driver.now, [TimerFired(timers[-1].tag)])
    return count


def test_a_payment_that_waits_for_a_health_check_does_not_wake_the_policy_again_and_again():
    driver = PolicyDriver(health_checks_allowed=True)
    endpoint = driver.sender.discovery.endpoints["a"]
    endpoint.failure_rate, endpoint.next_health_check_ns = 0.4, driver.now - SECOND
    for number in (1, 2):
        accepted = MessageAccepted(number, UNSAFE, 1, driver.now + 20 * SECOND)
        assert count_timers(driver, SECOND, [accepted]) <= 2
    assert endpoint.health_check_out


def test_a_blocked_health_check_is_not_requested_again_at_once():
    driver = PolicyDriver(health_checks_allowed=True)
    driver.sender.discovery.endpoints["a"].failure_rate = 0.4
    actions, probes = driver.accept(cls=UNSAFE), 0
    for _ in range(1000):  # for one second, each check is blocked within a millisecond
        out = [a for a in actions if type(a) is CheckHealth]
        probes += len(out)
        actions = driver.turn(*(HealthCheckCompleted("a", Outcome.NOT_SENT, 0) for _ in out), after=MS)
    assert 2 <= probes <= 15


def test_retry_after_of_a_health_check_binds_as_that_of_a_call():
    driver = PolicyDriver(health_checks_allowed=True)
    driver.sender.discovery.endpoints["a"].failure_rate = 0.4
    driver.accept(cls=UNSAFE)
    refusal = HealthCheckCompleted("a", OVERLOADED, 20 * MS, 2 * SECOND)
    assert not driver.turn(refusal, after=20 * MS)
    assert not driver.turn(after=1900 * MS)
    assert driver.turn(after=200 * MS)
