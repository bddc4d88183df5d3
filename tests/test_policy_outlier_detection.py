"""The delivery policy's outlier detection and timeouts: silent endpoints, lost calls and resets."""

import pytest
from policy_helpers import CONNECT_FAILED, ERROR, OK, SAFE, TIMEOUT, UNSAFE, Desk

from pinspread.policy import outlier_detection
from pinspread.policy.actions import Send
from pinspread.policy.events import Outcome
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_silent_endpoint_takes_no_more_slots():
    desk = Desk(endpoints=(("a", 1),), max_concurrent_calls=20)
    assert len(desk.sent(desk.take(2))) == 2
    assert desk.sent(desk.take(after=301 * MS)) == []
    assert desk.sent(desk.end(1, after=MS)) != []


def test_lost_call_among_answered_ones_is_no_outage():
    desk = Desk()
    for _ in range(4):
        desk.take(2)
        lost = desk.ids - 1
        desk.end(desk.ids)
        desk.end(lost, TIMEOUT, after=SECOND, done=True)
    endpoint = desk.sender.discovery.endpoints["a"]
    assert not endpoint.ejected and endpoint.timeout_factor == 1.0
    desk.take(2)
    desk.end(desk.ids, TIMEOUT, after=SECOND, done=True)
    desk.end(desk.ids - 1, TIMEOUT, after=MS, done=True)
    assert endpoint.ejected  # nothing was answered since these went out


def test_a_lost_call_keeps_nobody_from_an_endpoint_that_has_answered_lately():
    desk = Desk(max_concurrent_calls=20)
    desk.take()
    desk.end(1)  # it answers
    assert len(desk.sent(desk.take(2))) == 2  # both get lost
    assert desk.sent(desk.take(after=301 * MS)) == [4]  # overdue: another look
    assert desk.sent(desk.take(after=50 * MS)) == []  # and one at a time
    endpoint = desk.sender.discovery.endpoints["a"]
    endpoint.ejected = True
    assert desk.sent(desk.turn(after=260 * MS)) == [5]  # a look that is lost is over too
    desk.take(after=2 * SECOND)
    assert desk.sent(desk.turn(after=SECOND)) == []  # it has not answered for long: one look, to its end


def test_lost_calls_among_answered_later_ones_shorten_the_wait_where_slots_are_short():
    def waits(verdict):
        desk = Desk(endpoints=(("a", 1), ("b", 2)), max_concurrent_calls=4)
        for _ in range(4):
            desk.take(2)
            desk.end(desk.ids, after=50 * MS)  # sent later, or with it: only the one sent later counts
            desk.take()
            desk.end(desk.ids, after=50 * MS)
            desk.end(desk.ids - 2, verdict, after=SECOND, done=True)
        free = next(a.timeout_ns for a in desk.take() if type(a) is Send)
        short = next(a.timeout_ns for a in desk.take(2, destination=2) if type(a) is Send)
        desk.take()
        return (
            free,
            short,
            desk.sender.outliers.timeout_ns(
                next(iter(desk.sender.messages.values())),
                endpoint(desk),
                desk.sender.dispatcher.calls_in_flight,
            ),
        )

    def endpoint(desk):
        return desk.sender.discovery.endpoints["a"]

    free, _, short = waits(TIMEOUT)
    assert free >= SECOND > short >= outlier_detection.SILENCE_NS
    assert waits(OK)[2] >= SECOND  # nothing lost


@pytest.mark.parametrize(("verdict", "shorter"), [(TIMEOUT, True), (CONNECT_FAILED, False)])
def test_a_lone_time_out_shows_as_lost_by_the_next_answer_of_its_endpoint(verdict, shorter):
    desk = Desk(max_concurrent_calls=2)
    for _ in range(3):  # one call at a time: no later one is answered before it
        desk.take()
        desk.end(desk.ids, after=20 * MS)
        desk.take()
        desk.end(desk.ids, verdict, after=SECOND, done=True)
        desk.take(after=5 * SECOND)
        desk.end(desk.ids, after=20 * MS)
    desk.take(2)
    waits = desk.sender.outliers.timeout_ns(
        next(iter(desk.sender.messages.values())),
        desk.sender.discovery.endpoints["a"],
        desk.sender.dispatcher.calls_in_flight,
    )
    assert (waits < outlier_detection.MIN_TIMEOUT_NS) is shorter


def test_resets_count_against_connections_and_leave_no_recovery_ramp():
    desk = Desk(endpoints=(("a", 1), ("b", 1)))
    for _ in range(2):  # both have answered
        desk.take()
        desk.end(desk.ids)
    a, b = desk.sender.discovery.endpoints.values()
    for _ in range(4):
        desk.take(2)
        desk.end(desk.ids, Outcome.RESET, after=MS, done=True)
        desk.end(desk.ids - 1, after=MS)
        desk.turn(after=200 * MS)
    assert not a.ejected and not b.ejected and not a.warming_since_ns and not b.warming_since_ns
    assert a.hard_failures == b.hard_failures == 0


def test_non_idempotent_message_avoids_a_failing_endpoint_while_another_message_can_probe_it():
    desk = Desk(max_concurrent_calls=20)
    desk.take()
    desk.end(1, ERROR, done=True)
    actions = desk.take(cls=UNSAFE)
    assert actions == []
    assert desk.sent(desk.take(cls=SAFE)) == [3]
    assert desk.sent(desk.end(3)) == [2]


def test_non_idempotent_messages_get_longer_timeouts_while_slots_are_free():
    desk = Desk(endpoints=[(f"e{n}", n) for n in range(1, 9)])
    for endpoint in desk.sender.discovery.endpoints.values():
        endpoint.latency_mean_ns = 100.0 * MS
    waits = [a.timeout_ns for n in range(1, 9) for a in desk.take(cls=UNSAFE, destination=n)]
    roomy, crowded = waits[0], waits[-1]
    assert len(waits) == 8 and roomy / crowded == pytest.approx(2.5 / 1.5, rel=0.01)


@pytest.mark.parametrize(("mean_s", "most_s"), [(0.2, 3), (1.4, 3), (4, 8)])
def test_timeouts_of_a_jammed_destination_do_not_grow_without_end(mean_s, most_s):
    desk = Desk()
    endpoint = desk.sender.discovery.endpoints["a"]
    endpoint.latency_mean_ns, endpoint.latency_deviation_ns, endpoint.timeout_factor = (
        mean_s * SECOND,
        5.0 * SECOND,
        2.0,
    )
    (send,) = desk.take(cls=UNSAFE)
    assert send.timeout_ns == most_s * SECOND
