"""The delivery policy's queues: slots for concurrent calls, priorities, bundles and ordering keys."""

from dataclasses import replace

import pytest
from policy_helpers import CONNECT_FAILED, ORDERED, TIMEOUT, UNSAFE, Desk, settings

from pinspread.policy.actions import Reject
from pinspread.policy.events import ClientCancelled
from pinspread.policy.outlier_detection import OutlierDetector
from pinspread.policy.state import MS

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_dispatch_favours_destinations_with_fewest_calls_in_flight():
    desk = Desk(endpoints=(("a", 1), ("b", 2)), max_concurrent_calls=4)
    assert desk.sent(desk.take(3)) == [1, 2]  # the rest of the slots are left to others
    assert desk.sent(desk.take(2, destination=2)) == [4]  # two out here, none there
    assert desk.sent(desk.end(1)) == [3]  # one out each: the one served longest ago
    assert desk.sender.dispatcher.calls_in_flight == 3


def test_scarce_slots_go_to_the_highest_priority_weight_among_destinations_with_as_few_calls():
    classes = settings().classes
    classes[UNSAFE] = replace(classes[UNSAFE], priority_weight=3.0)
    desk = Desk(endpoints=[(f"e{n}", n) for n in range(1, 5)], max_concurrent_calls=1, classes=classes)
    desk.take()
    assert desk.take(destination=2) == [] and desk.take(cls=UNSAFE, destination=3) == []
    assert desk.sent(desk.end(1)) == [3]
    assert desk.sent(desk.end(3)) == [2]


def test_bundle_takes_one_slot():
    desk = Desk(kind=1, max_concurrent_calls=4)
    assert desk.sent(desk.take(4)) == [1, 2, 3, 4]
    assert desk.sender.dispatcher.calls_in_flight == 2


def test_rule_6_one_key_goes_one_at_a_time_in_order():
    desk = Desk()
    assert desk.sent(desk.take(3, cls=ORDERED, key=5)) == [1]
    assert desk.sent(desk.take(cls=ORDERED, key=6)) == [4]
    assert desk.sent(desk.end(1)) == [2]
    assert desk.sent(desk.end(4)) == []


def test_rule_6_key_pauses_after_an_attempt_that_may_be_running():
    desk = Desk()
    desk.take(2, cls=ORDERED, key=5)
    desk.turn(ClientCancelled(1))
    assert desk.end(1, TIMEOUT, done=True) == []
    assert desk.turn(after=300 * MS - 1) == []
    assert desk.sent(desk.turn(after=1)) == [2]


def test_rule_6_unfinished_attempt_of_a_cancelled_message_blocks_its_key():
    desk = Desk()
    desk.take(2, cls=ORDERED, key=5)
    assert desk.turn(ClientCancelled(1)) == []
    assert desk.turn(after=200 * MS) == []
    assert desk.sent(desk.end(1, CONNECT_FAILED, done=True)) == [2]  # it never ran, so the key needs no rest


def test_slow_destination_leaves_slots_to_others():
    desk = Desk(endpoints=(("a", 1), ("b", 2)), max_concurrent_calls=6)
    assert len(desk.sent(desk.take(10))) == 3
    assert len(desk.sent(desk.take(2, destination=2))) == 2


def test_a_full_queue_of_messages_sheds_from_the_longest_queue():
    desk = Desk(endpoints=(("b", 2),), max_held_messages=20)
    desk.take(19)  # destination 1 is not listed
    actions = desk.take(destination=2)
    assert desk.sent(actions) == [20]
    assert [a.request for a in actions if type(a) is Reject] == [1]


def test_work_of_an_event_does_not_grow_with_destinations_it_does_not_concern(monkeypatch):
    looks = []
    available_from_ns = OutlierDetector.available_from_ns
    monkeypatch.setattr(
        OutlierDetector,
        "available_from_ns",
        lambda self, e, *overdue: looks.append(e) or available_from_ns(self, e, *overdue),
    )
    counts = []
    for others in (1, 400):
        desk = Desk(endpoints=[(f"e{n}", n) for n in range(1, others + 2)])
        for n in range(2, others + 2):  # each has had its traffic
            desk.end(desk.sent(desk.take(destination=n))[0], after=MS)
        looks.clear()
        desk.end(desk.sent(desk.take())[0], after=MS)
        counts.append(len(looks))
    assert counts[0] == counts[1] > 0
