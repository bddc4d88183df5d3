"""The delivery policy's outlier detection and time-outs: silent endpoints, lost calls and resets."""

import pytest
from policy_helpers import CONNECT_FAILED, ERROR, OK, SAFE, TIMEOUT, UNSAFE, PolicyDriver

from pinspread.policy import outlier_detection
from pinspread.policy.actions import Send
from pinspread.policy.events import Outcome
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_silent_endpoint_takes_no_more_slots():
    driver = PolicyDriver(endpoints=(("a", 1),), max_concurrent_calls=20)
    assert len(driver.sent(driver.accept(2))) == 2
    assert driver.sent(driver.accept(after=301 * MS)) == []
    assert driver.sent(driver.complete(1, after=MS)) != []


def test_lost_call_among_answered_ones_is_no_outage():
    driver = PolicyDriver()
    for _ in range(4):
        driver.accept(2)
        lost = driver.last_request - 1
        driver.complete(driver.last_request)
        driver.complete(lost, TIMEOUT, after=SECOND, done=True)
    endpoint = driver.sender.discovery.endpoints["a"]
    assert not endpoint.ejected and endpoint.timeout_factor == 1.0
    driver.accept(2)
    driver.complete(driver.last_request, TIMEOUT, after=SECOND, done=True)
    driver.complete(driver.last_request - 1, TIMEOUT, after=MS, done=True)
    assert endpoint.ejected  # nothing sent since was answered


def test_a_lost_call_keeps_nobody_from_an_endpoint_that_has_answered_lately():
    driver = PolicyDriver(max_concurrent_calls=20)
    driver.accept()
    driver.complete(1)  # it succeeds
    assert len(driver.sent(driver.accept(2))) == 2  # both get lost
    assert driver.sent(driver.accept(after=301 * MS)) == [4]  # the answers are overdue: one more call
    assert driver.sent(driver.accept(after=50 * MS)) == []  # and only one at a time
    endpoint = driver.sender.discovery.endpoints["a"]
    endpoint.ejected = True
    # Request 4 is lost: once its answer is overdue, the next call goes.
    assert driver.sent(driver.turn(after=260 * MS)) == [5]
    driver.accept(after=2 * SECOND)
    # The last success is too old by now: one call is made, and others wait for its outcome.
    assert driver.sent(driver.turn(after=SECOND)) == []


def test_lost_calls_among_answered_later_ones_shorten_the_wait_where_slots_are_short():
    def waits(verdict):
        driver = PolicyDriver(endpoints=(("a", 1), ("b", 2)), max_concurrent_calls=4)
        for _ in range(4):
            driver.accept(2)
            # This call was sent together with the lost one; only the next one, sent later, shows the loss.
            driver.complete(driver.last_request, after=50 * MS)
            driver.accept()
            driver.complete(driver.last_request, after=50 * MS)
            driver.complete(driver.last_request - 2, verdict, after=SECOND, done=True)
        free = next(a.timeout_ns for a in driver.accept() if type(a) is Send)
        short = next(a.timeout_ns for a in driver.accept(2, destination=2) if type(a) is Send)
        driver.accept()
        return (
            free,
            short,
            driver.sender.outliers.timeout_ns(
                next(iter(driver.sender.messages.values())),
                endpoint(driver),
                driver.sender.dispatcher.calls_in_flight,
            ),
        )

    def endpoint(driver):
        return driver.sender.discovery.endpoints["a"]

    free, _, short = waits(TIMEOUT)
    assert free >= SECOND > short >= outlier_detection.SILENCE_NS
    assert waits(OK)[2] >= SECOND  # no call was lost


@pytest.mark.parametrize(("verdict", "shorter"), [(TIMEOUT, True), (CONNECT_FAILED, False)])
def test_a_lone_time_out_shows_as_lost_by_the_next_answer_of_its_endpoint(verdict, shorter):
    driver = PolicyDriver(max_concurrent_calls=2)
    for _ in range(3):  # one call at a time, so none sent later is answered before it
        driver.accept()
        driver.complete(driver.last_request, after=20 * MS)
        driver.accept()
        driver.complete(driver.last_request, verdict, after=SECOND, done=True)
        driver.accept(after=5 * SECOND)
        driver.complete(driver.last_request, after=20 * MS)
    driver.accept(2)
    waits = driver.sender.outliers.timeout_ns(
        next(iter(driver.sender.messages.values())),
        driver.sender.discovery.endpoints["a"],
        driver.sender.dispatcher.calls_in_flight,
    )
    assert (waits < outlier_detection.MIN_TIMEOUT_NS) is shorter


def test_resets_count_against_connections_and_leave_no_recovery_ramp():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)))
    for _ in range(2):  # both have succeeded
        driver.accept()
        driver.complete(driver.last_request)
    a, b = driver.sender.discovery.endpoints.values()
    for _ in range(4):
        driver.accept(2)
        driver.complete(driver.last_request, Outcome.RESET, after=MS, done=True)
        driver.complete(driver.last_request - 1, after=MS)
        driver.turn(after=200 * MS)
    assert not a.ejected and not b.ejected and not a.warming_since_ns and not b.warming_since_ns
    assert a.hard_failures == b.hard_failures == 0


def test_non_idempotent_message_avoids_a_failing_endpoint_while_another_message_can_probe_it():
    driver = PolicyDriver(max_concurrent_calls=20)
    driver.accept()
    driver.complete(1, ERROR, done=True)
    actions = driver.accept(cls=UNSAFE)
    assert actions == []
    assert driver.sent(driver.accept(cls=SAFE)) == [3]
    assert driver.sent(driver.complete(3)) == [2]


def test_non_idempotent_messages_get_longer_timeouts_while_slots_are_free():
    driver = PolicyDriver(endpoints=[(f"e{n}", n) for n in range(1, 9)])
    for endpoint in driver.sender.discovery.endpoints.values():
        endpoint.latency_mean_ns = 100.0 * MS
    waits = [a.timeout_ns for n in range(1, 9) for a in driver.accept(cls=UNSAFE, destination=n)]
    roomy, crowded = waits[0], waits[-1]
    assert len(waits) == 8 and roomy / crowded == pytest.approx(2.5 / 1.5, rel=0.01)


@pytest.mark.parametrize(("mean_s", "most_s"), [(0.2, 3), (1.4, 3), (4, 8)])
def test_timeouts_of_a_jammed_destination_do_not_grow_without_end(mean_s, most_s):
    driver = PolicyDriver()
    endpoint = driver.sender.discovery.endpoints["a"]
    endpoint.latency_mean_ns, endpoint.latency_deviation_ns, endpoint.timeout_factor = (
        mean_s * SECOND,
        5.0 * SECOND,
        2.0,
    )
    (send,) = driver.accept(cls=UNSAFE)
    assert send.timeout_ns == most_s * SECOND
