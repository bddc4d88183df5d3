"""The delivery policy after an outage: spaced attempts, and the ramp while an endpoint warms up."""

import pytest
from policy_helpers import CONNECT_FAILED, OVERLOADED, PolicyDriver

from pinspread.policy import outlier_detection
from pinspread.policy.events import EndpointEntry, EndpointsChanged, UpdateScope
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_outage_leaves_single_attempts_spaced_by_growing_backoff():
    driver = PolicyDriver()
    driver.accept(4)
    for n in range(1, 5):
        driver.complete(n, CONNECT_FAILED, after=MS)
    endpoint = driver.sender.discovery.endpoints["a"]
    assert endpoint.ejected
    gaps = []
    for _ in range(4):
        waited = 0
        while not endpoint.calls:
            driver.turn(after=MS)
            waited += 1
        assert len(endpoint.calls) == 1
        assert driver.accept() == []  # no first attempt beside the trial call
        out = next(m.request for m in driver.sender.messages.values() if m.in_flight)
        driver.complete(out, CONNECT_FAILED, after=MS)
        gaps.append(waited)
    assert gaps[-1] > gaps[0] and gaps[-1] <= 1000


def test_recovery_is_a_ramp_from_the_rate_delivered_before():
    driver = PolicyDriver()
    for n in range(1, 101):  # ten calls a second for ten seconds
        driver.accept(after=50 * MS)
        driver.complete(n, after=50 * MS)
    endpoint = driver.sender.discovery.endpoints["a"]
    before = driver.sender.limits.delivered_rate(endpoint)
    assert 8 < before < 12
    endpoint.ejected, endpoint.failure_rate, endpoint.hard_failures = (
        True,
        0.6,
        outlier_detection.MIN_OUTAGE_FAILURES,
    )
    driver.accept(80, lifetime=60 * SECOND)
    while not endpoint.warming_since_ns:
        out = [r for r, m in driver.sender.messages.items() if m.in_flight]
        driver.complete(out[0], after=5 * MS) if out else driver.turn(after=5 * MS)
    sends = []
    start = driver.now
    while driver.now < start + 2 * SECOND:
        for request in [r for r, m in driver.sender.messages.items() if m.in_flight]:
            sends.append(request)
            driver.complete(request, after=MS)
        driver.turn(after=4 * MS)
    settings_ = driver.sender.context.settings
    share = settings_.slow_start_fraction + (1 - settings_.slow_start_fraction) * 0.2
    assert 3 <= len(sends) <= settings_.overload_multiple * share * endpoint.usual_rate * 2


def test_endpoint_without_history_warms_up_slowly():
    driver = PolicyDriver(senders=2)
    endpoint = driver.sender.discovery.endpoints["a"]
    endpoint.warming_since_ns = driver.sender.context.now_ns = driver.now
    # At full capacity each sender has half a call a second; a call is due when its share has grown to one.
    assert driver.sender.limits.ramp_next_ns(endpoint, 1.0) > driver.now + 3 * SECOND
    driver.sender.context.settings.senders = 500
    # With so many senders, the next call of one is due only when the endpoint is warm.
    assert (
        driver.sender.limits.ramp_next_ns(endpoint, 1.0)
        == driver.now + driver.sender.context.settings.slow_start_ns
    )


def test_end_of_an_announced_shutdown_starts_a_recovery_ramp_for_all_who_were_notified():
    starts = []
    for seed in range(60):
        driver = PolicyDriver(senders=60)
        driver.sender.context.random.seed(seed)
        driver.accept(after=SECOND)
        driver.complete(1, OVERLOADED, retry_after_ns=8 * SECOND, limit_remaining=1.0, limit_per_s=6.0)
        driver.turn(after=8 * SECOND)
        waited = 0
        while not driver.sender.discovery.endpoints["a"].calls:
            driver.turn(after=50 * MS)
            waited += 50 * MS
        starts.append(waited)
    # The capacity starts at a quarter of 6 a second: twice that over two seconds is 6 calls, plus the growth.
    assert sum(at < 2 * SECOND for at in starts) <= 10
    assert max(starts) <= driver.sender.context.settings.slow_start_ns


def test_new_endpoint_of_a_failed_destination_starts_with_probes():
    driver = PolicyDriver(senders=50)
    request = driver.sent(driver.accept())[0]
    for _ in range(2):
        driver.complete(request, CONNECT_FAILED)
        driver.turn(after=20 * MS)
    driver.accept(5)
    added = driver.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry("new", 1)]), after=SECOND)
    assert driver.sent(added) == [] and driver.sender.discovery.endpoints["new"].ejected
    other = PolicyDriver(endpoints=(("a", 1), ("b", 1)))  # with a good sibling it is not ejected
    other.sender.discovery.endpoints["a"].ejected = True
    other.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry("new", 1)]))
    assert not other.sender.discovery.endpoints["new"].ejected


def test_failure_counts_for_siblings_and_they_share_one_probe():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)), senders=200)
    driver.accept()
    first = driver.attempts[1][1]
    driver.complete(1, CONNECT_FAILED, after=MS)
    assert driver.sent(driver.turn(after=20 * MS)) == [1]
    assert driver.attempts[1][1] != first  # the retry prefers the endpoint that has not failed
    driver.complete(1, CONNECT_FAILED, after=MS)
    both = driver.sender.discovery.endpoints.values()
    assert all(endpoint.ejected for endpoint in both)
    driver.accept(3)
    driver.turn(after=20 * SECOND)
    assert sum(len(endpoint.calls) for endpoint in both) <= 1


@pytest.mark.parametrize(("senders", "waits"), [(3, False), (12, True)])
def test_a_rate_limit_that_recovered_is_not_probed_by_all_at_each_endpoint(senders, waits):
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 1)), senders=senders)
    driver.accept()
    for _ in range(4):  # so many failures that the failure rate stays high after one success
        driver.complete(1, CONNECT_FAILED, after=MS)
        while not driver.sent(driver.turn(after=SECOND)):
            pass
    driver.complete(1, CONNECT_FAILED, after=MS)
    a, b = (driver.sender.discovery.endpoints[name] for name in "ab")
    assert a.ejected and b.ejected
    sent = driver.sent(driver.accept(2))
    while not (a.calls or b.calls):
        sent = driver.sent(driver.turn(after=SECOND))
    request = sent[0] if sent else 1
    checked = driver.sender.discovery.endpoints[driver.attempts[request][1]]
    other = b if checked is a else a
    other.warming_since_ns = 1  # an outage long ago
    driver.complete(request, after=MS)
    # Both share one ramp; the other endpoint is checked as its capacity grows.
    assert other.ejected and (other.warming_since_ns == checked.warming_since_ns) == waits
    assert not waits or other.next_health_check_ns > driver.now + SECOND


def test_probes_of_many_senders_are_spread():
    few, many = PolicyDriver(senders=3), PolicyDriver(senders=200)
    for driver, longest in ((few, SECOND), (many, many.sender.context.settings.slow_start_ns)):
        assert driver.sender.limits.longest_wait_ns(driver.sender.discovery.endpoints["a"]) == longest


@pytest.mark.parametrize(
    ("errors", "ramps"), [(0, False), (2, False), (outlier_detection.MIN_OUTAGE_FAILURES, True)]
)
def test_lost_calls_between_successes_close_together_end_without_a_ramp(errors, ramps):
    driver = PolicyDriver()
    driver.accept()
    driver.complete(1)
    endpoint = driver.sender.discovery.endpoints["a"]
    endpoint.ejected, endpoint.failure_rate, endpoint.hard_failures = True, 0.6, errors
    assert driver.sent(driver.accept(after=SECOND)) == [2]
    driver.complete(2)
    assert not endpoint.ejected
    assert bool(endpoint.warming_since_ns) is ramps


def test_first_probe_of_many_senders_waits_near_the_longest():
    driver = PolicyDriver(senders=200)
    endpoint = driver.sender.discovery.endpoints["a"]
    wait_times = [driver.sender.limits.wait_ns(endpoint, 0) for _ in range(20)]
    assert min(wait_times) >= 10 * SECOND / 8 and max(wait_times) <= 15 * SECOND
    assert min(driver.sender.limits.wait_ns(endpoint, 1) for _ in range(20)) >= 5 * SECOND


def test_an_outage_ends_with_a_ramp_though_its_second_success_comes_soon_after_the_first():
    driver = PolicyDriver()
    endpoint = driver.sender.discovery.endpoints["a"]
    endpoint.ejected, endpoint.failure_rate, endpoint.hard_failures = True, 0.9, 6
    endpoint.last_success_ns = driver.now - 20 * SECOND
    assert driver.sent(driver.accept())
    driver.complete(1)
    assert endpoint.ejected  # one success among failures
    assert driver.sent(driver.accept(after=50 * MS))
    driver.complete(2)
    assert not endpoint.ejected and endpoint.warming_since_ns
