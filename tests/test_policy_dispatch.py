"""The delivery policy's queues: slots for concurrent calls, priorities, bundles and ordering keys."""

import random
from dataclasses import replace

import pytest
from policy_helpers import CONNECT_FAILED, ORDERED, SAFE, TIMEOUT, UNSAFE, PolicyDriver, settings

from pinspread.policy.actions import Reject
from pinspread.policy.dispatch import Dispatcher
from pinspread.policy.events import ClientCancelled, MessageAccepted
from pinspread.policy.outlier_detection import OutlierDetector
from pinspread.policy.state import MS, NEVER, MessageQueue, QueuedMessage

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_dispatch_favours_destinations_with_fewest_calls_in_flight():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 2)), max_concurrent_calls=4)
    assert driver.sent(driver.accept(3)) == [1, 2]  # the other slots are kept for other destinations
    # Destination 1 has two calls in flight, destination 2 has none.
    assert driver.sent(driver.accept(2, destination=2)) == [4]
    assert driver.sent(driver.complete(1)) == [3]  # one call each: the destination called longest ago
    assert driver.sender.dispatcher.calls_in_flight == 3


def test_scarce_slots_go_to_the_highest_priority_weight_among_destinations_with_as_few_calls():
    classes = settings().classes
    classes[UNSAFE] = replace(classes[UNSAFE], priority_weight=3.0)
    driver = PolicyDriver(
        endpoints=[(f"e{n}", n) for n in range(1, 5)], max_concurrent_calls=1, classes=classes
    )
    driver.accept()
    assert driver.accept(destination=2) == [] and driver.accept(cls=UNSAFE, destination=3) == []
    assert driver.sent(driver.complete(1)) == [3]
    assert driver.sent(driver.complete(3)) == [2]


def test_bundle_takes_one_slot():
    driver = PolicyDriver(kind=1, max_concurrent_calls=4)
    assert driver.sent(driver.accept(4)) == [1, 2, 3, 4]
    assert driver.sender.dispatcher.calls_in_flight == 2


def test_one_key_goes_one_at_a_time_in_order():
    driver = PolicyDriver()
    assert driver.sent(driver.accept(3, cls=ORDERED, key=5)) == [1]
    assert driver.sent(driver.accept(cls=ORDERED, key=6)) == [4]
    assert driver.sent(driver.complete(1)) == [2]
    assert driver.sent(driver.complete(4)) == []


def test_key_pauses_after_an_attempt_that_may_be_running():
    driver = PolicyDriver()
    driver.accept(2, cls=ORDERED, key=5)
    driver.turn(ClientCancelled(1))
    assert driver.complete(1, TIMEOUT, done=True) == []
    assert driver.turn(after=300 * MS - 1) == []
    assert driver.sent(driver.turn(after=1)) == [2]


def test_unfinished_attempt_of_a_cancelled_message_blocks_its_key():
    driver = PolicyDriver()
    driver.accept(2, cls=ORDERED, key=5)
    assert driver.turn(ClientCancelled(1)) == []
    assert driver.turn(after=200 * MS) == []
    # The attempt never ran, so its key needs no pause.
    assert driver.sent(driver.complete(1, CONNECT_FAILED, done=True)) == [2]


def test_slow_destination_leaves_slots_to_others():
    driver = PolicyDriver(endpoints=(("a", 1), ("b", 2)), max_concurrent_calls=6)
    assert len(driver.sent(driver.accept(10))) == 3
    assert len(driver.sent(driver.accept(2, destination=2))) == 2


def test_a_full_queue_of_messages_sheds_from_the_longest_queue():
    driver = PolicyDriver(endpoints=(("b", 2),), max_held_messages=20)
    driver.accept(19)  # destination 1 is not listed
    actions = driver.accept(destination=2)
    assert driver.sent(actions) == [20]
    assert [a.request for a in actions if type(a) is Reject] == [1]


def test_work_of_an_event_does_not_grow_with_destinations_it_does_not_concern(monkeypatch):
    visited = []
    available_from_ns = OutlierDetector.available_from_ns
    monkeypatch.setattr(
        OutlierDetector,
        "available_from_ns",
        lambda self, e, *overdue: visited.append(e) or available_from_ns(self, e, *overdue),
    )
    counts = []
    for others in (1, 400):
        driver = PolicyDriver(endpoints=[(f"e{n}", n) for n in range(1, others + 2)])
        for n in range(2, others + 2):  # each has had a call
            driver.complete(driver.sent(driver.accept(destination=n))[0], after=MS)
        visited.clear()
        driver.complete(driver.sent(driver.accept())[0], after=MS)
        counts.append(len(visited))
    assert counts[0] == counts[1] > 0


def test_the_work_of_a_turn_does_not_grow_with_all_messages_that_are_held(monkeypatch):
    """Guards against turns so slow, with very many messages held, that final results come too late."""
    destinations, held_each = 6, 150
    driver = PolicyDriver(
        endpoints=[(f"e{number}", number) for number in range(1, destinations + 1)],
        max_concurrent_calls=destinations,
        max_held_messages=2 * destinations * held_each,
    )
    for destination in range(1, destinations + 1):
        driver.accept(held_each, destination=destination)
    looks = 0

    def counted(function):
        def count_and_call(*arguments):
            nonlocal looks
            looks += 1
            return function(*arguments)

        return count_and_call

    for name in ("_priority", "may_repeat"):
        monkeypatch.setattr(Dispatcher, name, counted(getattr(Dispatcher, name)))
    in_flight = [request for request, _ in driver.sender.dispatcher.attempts]
    assert in_flight
    driver.complete(in_flight[0])
    assert looks <= 3 * held_each  # those of one destination, and not those of all six


@pytest.mark.parametrize("seed", range(10))
def test_a_queue_knows_the_earliest_deadline_of_what_waits_for_nothing_else(seed):
    draw, queue, waiting, driver = random.Random(seed), MessageQueue(), {}, PolicyDriver()
    for _ in range(200):
        request = draw.randint(0, 15)
        if request in waiting:
            queue.remove(request)
            del waiting[request]
            continue
        attempts = draw.randint(0, 1)
        event = MessageAccepted(request, SAFE, 1, driver.now + draw.randint(1, 50), attempts=attempts)
        message = QueuedMessage(event, driver.sender.context.settings, driver.first_destination, driver.now)
        queue.add(message)
        waiting[request] = NEVER if attempts else message.deadline_ns
        assert queue.earliest_deadline_ns() == min(waiting.values())
        assert list(queue.messages) == list(waiting) and len(queue) == len(waiting)
