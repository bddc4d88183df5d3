"""The delivery policy and the endpoint list: polling, and draining, removed and forgotten endpoints."""

import pytest
from policy_helpers import OK, PolicyDriver, settings

from pinspread.policy.actions import Reject, Subscribe
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import EndpointEntry, EndpointsChanged, EndpointState, Outcome, UpdateScope
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_new_to_a_draining_or_removed_endpoint(state):
    driver = PolicyDriver()
    driver.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry("a", 1, state=state)]))
    assert driver.accept(lifetime=3 * SECOND) == []
    assert [type(a) for a in driver.turn(after=3 * SECOND)] == [Reject]
    assert driver.accept() == []
    assert driver.sent(driver.turn(EndpointsChanged(UpdateScope.DELTA, driver.listed))) == [2]


def count_polls(actions):
    return sum(type(action) is Subscribe for action in actions)


def test_the_endpoint_list_is_polled_once_and_again_after_failures():
    driver = PolicyDriver(polled_discovery=True, max_poll_interval_ns=10 * SECOND)
    actions_by_turn = [driver.turn(after=100 * MS) for _ in range(100)]
    assert sum(map(count_polls, actions_by_turn)) == 1 and sum(map(count_polls, actions_by_turn[:31])) == 1
    gaps = []
    for _ in range(5):  # a poll fails, or a running subscription breaks
        driver.turn(EndpointsChanged(UpdateScope.FAILED, []))
        waited = 0
        while not count_polls(driver.turn(after=50 * MS)):
            waited += 1
        gaps.append(waited)
    assert gaps[0] < 20 and gaps[3] > gaps[0] and max(gaps) * 50 * MS < 5 * SECOND
    driver.turn(EndpointsChanged(UpdateScope.DELTA, []))
    assert not any(count_polls(driver.turn(after=SECOND)) for _ in range(30))
    assert driver.sent(driver.accept()) == [1]  # the known list stays in use throughout


def test_first_polls_are_spread_and_pushed_lists_are_never_polled():
    firsts = set()
    for seed in range(20):
        sender = DeliveryPolicy(settings(polled_discovery=True, max_poll_interval_ns=10 * SECOND), seed)
        sender.handle(1, [EndpointsChanged(UpdateScope.CACHED, [])])
        firsts.add(sender.discovery.next_poll_ns // (500 * MS))
        assert sender.discovery.next_poll_ns <= 3 * SECOND + 1
    assert len(firsts) >= 4
    pushed = PolicyDriver()
    pushed.turn(EndpointsChanged(UpdateScope.FAILED, []))
    assert not any(count_polls(pushed.turn(after=SECOND)) for _ in range(30))


def test_endpoint_missing_from_a_full_list_is_removed():
    driver = PolicyDriver()
    driver.turn(EndpointsChanged(UpdateScope.FULL, []))
    assert driver.accept() == []
    assert driver.turn(EndpointsChanged(UpdateScope.FAILED, [])) == []


def test_removed_endpoints_are_forgotten_once_nothing_is_in_flight_and_a_successor_is_there():
    driver = PolicyDriver()
    known = driver.sender.discovery.endpoints

    def listed(name, state, after=0):
        driver.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry(name, 1, state=state)]), after=after)

    driver.accept()
    listed("a", EndpointState.REMOVED)
    kept = driver.sender.context.settings.slow_start_ns + SECOND
    listed("a", EndpointState.REMOVED, after=kept)
    assert "a" in known  # a call is in flight, and no successor has its values
    listed("b", EndpointState.READY)
    assert "a" in known
    driver.complete(1, OK)
    listed("c", EndpointState.READY, after=SECOND)
    assert list(known) == list(driver.first_destination.endpoints) == ["b", "c"]
    listed("b", EndpointState.REMOVED)
    listed("b", EndpointState.READY, after=SECOND)  # listed again before its record is dropped
    listed("c", EndpointState.READY, after=kept)
    assert list(known) == ["b", "c"]


def test_an_id_that_stands_for_an_endpoint_of_another_destination_is_another_endpoint():
    """Guards against messages that are tried at an endpoint of another destination, without an end."""
    driver = PolicyDriver([("a", 1), ("b", 1)])
    first = driver.sent(driver.accept(count=2))
    assert first == [1, 2]
    driver.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry(name, 2) for name in ("a", "b")]))
    assert driver.accept() == []  # destination 1 has no endpoint now
    assert driver.sent(driver.accept(destination=2)) == [4]
    for request in first:  # calls that were in flight at the change end as any other
        driver.complete(request)
    driver.complete(4)
    assert not driver.sender.dispatcher.calls_in_flight and not driver.first_destination.endpoints
    driver.turn(EndpointsChanged(UpdateScope.DELTA, driver.listed))  # back to destination 1
    assert driver.attempts[3][1] in ("a", "b")


def test_what_was_learned_of_one_destination_is_not_taken_for_the_other():
    """Guards against an endpoint that is held back for refusals of the destination that it belonged to."""
    driver = PolicyDriver([("a", 1)])
    driver.accept()
    driver.complete(1, Outcome.OVERLOADED, retry_after_ns=2 * SECOND)
    driver.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry("a", 2)]))
    assert driver.sent(driver.accept(destination=2)) == [2]
