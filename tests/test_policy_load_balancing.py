"""The delivery policy's order of a destination's endpoints, by their latency and their calls in flight."""

import pytest
from policy_helpers import SAFE, PolicyDriver

from pinspread.policy.load_balancing import LATENCY_HALF_LIFE_NS
from pinspread.policy.state import MS

pytestmark = pytest.mark.usefixtures("policy_shape")


def driver_with_latencies(**latencies_ms):
    """Return a driver whose only destination has endpoints of these mean latencies; 0 is not measured yet."""
    driver = PolicyDriver(endpoints=[(name, 1) for name in latencies_ms], max_concurrent_calls=40)
    for endpoint in driver.first_destination.endpoints.values():
        endpoint.latency_mean_ns = float(latencies_ms[endpoint.id] * MS)
        endpoint.last_outcome_ns = driver.now
    return driver


def called_endpoints(driver, count):
    """Return the endpoints that the next messages go to, one message a turn."""
    called = []
    for _ in range(count):
        driver.accept(cls=SAFE)
        called.append(driver.attempts[driver.last_request][1])
    return called


def test_the_faster_endpoint_is_called_first_and_a_slower_one_once_the_faster_is_busy():
    driver = driver_with_latencies(a=350, b=100)
    assert called_endpoints(driver, 3) == ["b", "a", "b"]  # 1 x 100, then 4 x 100 against 1 x 350


def test_while_slots_are_scarce_the_slower_endpoint_waits_until_as_much_is_out_at_the_faster():
    """Guards against slots held by long calls while short ones would be possible."""
    driver = driver_with_latencies(a=350, b=100)
    driver.sender.dispatcher.calls_in_flight = 20  # half of all, at other destinations
    assert called_endpoints(driver, 4) == ["b", "b", "b", "a"]


def test_an_endpoint_that_was_slow_is_called_again_after_some_time_without_outcomes():
    driver = driver_with_latencies(a=800, b=100)
    assert called_endpoints(driver, 2) == ["b", "b"]
    driver.now += 4 * LATENCY_HALF_LIFE_NS
    assert called_endpoints(driver, 1) == ["a"]


def test_an_endpoint_that_is_not_measured_yet_takes_no_more_than_its_turns():
    """Guards against a new endpoint that hangs and takes all calls until the first time-out."""
    driver = driver_with_latencies(a=0, b=100)
    assert sorted(called_endpoints(driver, 4)) == ["a", "a", "b", "b"]
