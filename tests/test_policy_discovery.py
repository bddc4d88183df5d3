"""The delivery policy and the endpoint list: polling, and draining, removed and forgotten endpoints."""

import pytest
from policy_helpers import OK, Desk, settings

from pinspread.policy.actions import Reject, Subscribe
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import EndpointEntry, EndpointsChanged, EndpointState, UpdateScope
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_rule_3_nothing_new_to_a_draining_or_removed_endpoint(state):
    desk = Desk()
    desk.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry("a", 1, state=state)]))
    assert desk.take(life=3 * SECOND) == []
    assert [type(a) for a in desk.turn(after=3 * SECOND)] == [Reject]
    assert desk.take() == []
    assert desk.sent(desk.turn(EndpointsChanged(UpdateScope.DELTA, desk.listed))) == [2]


def asks(actions):
    return sum(type(action) is Subscribe for action in actions)


def test_rule_3_the_endpoint_list_is_polled_once_and_again_after_failures():
    desk = Desk(polled_discovery=True, max_poll_interval_ns=10 * SECOND)
    news = [desk.turn(after=100 * MS) for _ in range(100)]
    assert sum(map(asks, news)) == 1 and sum(map(asks, news[:31])) == 1
    gaps = []
    for _ in range(5):  # the answer fails, or a running subscription breaks
        desk.turn(EndpointsChanged(UpdateScope.FAILED, []))
        waited = 0
        while not asks(desk.turn(after=50 * MS)):
            waited += 1
        gaps.append(waited)
    assert gaps[0] < 20 and gaps[3] > gaps[0] and max(gaps) * 50 * MS < 5 * SECOND
    desk.turn(EndpointsChanged(UpdateScope.DELTA, []))
    assert not any(asks(desk.turn(after=SECOND)) for _ in range(30))
    assert desk.sent(desk.take()) == [1]  # the list that is held stays in force throughout


def test_first_polls_are_spread_and_pushed_lists_are_never_polled():
    firsts = set()
    for seed in range(20):
        sender = DeliveryPolicy(settings(polled_discovery=True, max_poll_interval_ns=10 * SECOND), seed)
        sender.handle(1, [EndpointsChanged(UpdateScope.CACHED, [])])
        firsts.add(sender.discovery.next_poll_ns // (500 * MS))
        assert sender.discovery.next_poll_ns <= 3 * SECOND + 1
    assert len(firsts) >= 4
    pushed = Desk()
    pushed.turn(EndpointsChanged(UpdateScope.FAILED, []))
    assert not any(asks(pushed.turn(after=SECOND)) for _ in range(30))


def test_rule_3_endpoint_missing_from_a_full_list_is_removed():
    desk = Desk()
    desk.turn(EndpointsChanged(UpdateScope.FULL, []))
    assert desk.take() == []
    assert desk.turn(EndpointsChanged(UpdateScope.FAILED, [])) == []


def test_removed_endpoints_are_forgotten_once_nothing_is_in_flight_and_a_successor_is_there():
    desk = Desk()
    known = desk.sender.discovery.endpoints

    def listed(name, state, after=0):
        desk.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry(name, 1, state=state)]), after=after)

    desk.take()
    listed("a", EndpointState.REMOVED)
    kept = desk.sender.context.settings.slow_start_ns + SECOND
    listed("a", EndpointState.REMOVED, after=kept)
    assert "a" in known  # a call is out, and nobody has learned from it
    listed("b", EndpointState.READY)
    assert "a" in known
    desk.end(1, OK)
    listed("c", EndpointState.READY, after=SECOND)
    assert list(known) == list(desk.bucket.endpoints) == ["b", "c"]
    listed("b", EndpointState.REMOVED)
    listed("b", EndpointState.READY, after=SECOND)  # back again in time
    listed("c", EndpointState.READY, after=kept)
    assert list(known) == ["b", "c"]
