"""The delivery policy after an outage: spaced attempts, and the ramp while an endpoint warms up."""

import pytest
from policy_helpers import CONNECT_FAILED, FULL, Desk

from pinspread.policy import outlier_detection
from pinspread.policy.events import EndpointEntry, EndpointsChanged, UpdateScope
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


def test_rule_4_outage_leaves_single_attempts_spaced_by_growing_backoff():
    desk = Desk()
    desk.take(4)
    for n in range(1, 5):
        desk.end(n, CONNECT_FAILED, after=MS)
    endpoint = desk.sender.discovery.endpoints["a"]
    assert endpoint.ejected
    gaps = []
    for _ in range(4):
        waited = 0
        while not endpoint.calls:
            desk.turn(after=MS)
            waited += 1
        assert len(endpoint.calls) == 1
        assert desk.take() == []  # no first try beside the trial
        out = next(m.request for m in desk.sender.messages.values() if m.in_flight)
        desk.end(out, CONNECT_FAILED, after=MS)
        gaps.append(waited)
    assert gaps[-1] > gaps[0] and gaps[-1] <= 1000


def test_rule_4_return_is_a_ramp_from_what_was_delivered_before():
    desk = Desk()
    for n in range(1, 101):  # ten a second for ten seconds
        desk.take(after=50 * MS)
        desk.end(n, after=50 * MS)
    endpoint = desk.sender.discovery.endpoints["a"]
    before = desk.sender.limits.delivered_rate(endpoint)
    assert 8 < before < 12
    endpoint.ejected, endpoint.failure_rate, endpoint.hard_failures = (
        True,
        0.6,
        outlier_detection.MIN_OUTAGE_FAILURES,
    )
    desk.take(80, life=60 * SECOND)
    while not endpoint.warming_since_ns:
        out = [r for r, m in desk.sender.messages.items() if m.in_flight]
        desk.end(out[0], after=5 * MS) if out else desk.turn(after=5 * MS)
    sends = []
    start = desk.now
    while desk.now < start + 2 * SECOND:
        for request in [r for r, m in desk.sender.messages.items() if m.in_flight]:
            sends.append(request)
            desk.end(request, after=MS)
        desk.turn(after=4 * MS)
    settings_ = desk.sender.context.settings
    share = settings_.slow_start_fraction + (1 - settings_.slow_start_fraction) * 0.2
    assert 3 <= len(sends) <= settings_.overload_multiple * share * endpoint.usual_rate * 2


def test_rule_4_without_history_the_return_creeps():
    desk = Desk(senders=2)
    endpoint = desk.sender.discovery.endpoints["a"]
    endpoint.warming_since_ns = desk.sender.context.now_ns = desk.now
    # half a call a second for each sender with all capacity; a call is due when its part has grown to one
    assert desk.sender.limits.ramp_next_ns(endpoint, 1.0) > desk.now + 3 * SECOND
    desk.sender.context.settings.senders = 500
    assert (
        desk.sender.limits.ramp_next_ns(endpoint, 1.0)
        == desk.now + desk.sender.context.settings.slow_start_ns
    )  # warm


def test_rule_4_end_of_an_announced_shutdown_starts_a_recovery_ramp_for_all_who_were_notified():
    starts = []
    for seed in range(60):
        desk = Desk(senders=60)
        desk.sender.context.random.seed(seed)
        desk.take(after=SECOND)
        desk.end(1, FULL, retry_after_ns=8 * SECOND, limit_remaining=1.0, limit_per_s=6.0)
        desk.turn(after=8 * SECOND)
        waited = 0
        while not desk.sender.discovery.endpoints["a"].calls:
            desk.turn(after=50 * MS)
            waited += 50 * MS
        starts.append(waited)
    # capacity starts at a quarter of 6 a second: twice that for two seconds are 6 calls and the rise
    assert sum(at < 2 * SECOND for at in starts) <= 10
    assert max(starts) <= desk.sender.context.settings.slow_start_ns


def test_rule_4_new_endpoint_of_a_failed_destination_starts_with_probes():
    desk = Desk(senders=50)
    request = desk.sent(desk.take())[0]
    for _ in range(2):
        desk.end(request, CONNECT_FAILED)
        desk.turn(after=20 * MS)
    desk.take(5)
    added = desk.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry("new", 1)]), after=SECOND)
    assert desk.sent(added) == [] and desk.sender.discovery.endpoints["new"].ejected
    other = Desk(endpoints=(("a", 1), ("b", 1)))  # where a sibling is well it is an endpoint like any
    other.sender.discovery.endpoints["a"].ejected = True
    other.turn(EndpointsChanged(UpdateScope.DELTA, [EndpointEntry("new", 1)]))
    assert not other.sender.discovery.endpoints["new"].ejected


def test_failure_counts_for_siblings_and_they_share_one_probe():
    desk = Desk(endpoints=(("a", 1), ("b", 1)), senders=200)
    desk.take()
    first = desk.attempts[1][1]
    desk.end(1, CONNECT_FAILED, after=MS)
    assert desk.sent(desk.turn(after=20 * MS)) == [1]
    assert desk.attempts[1][1] != first  # the retry prefers the one that has not failed
    desk.end(1, CONNECT_FAILED, after=MS)
    both = desk.sender.discovery.endpoints.values()
    assert all(endpoint.ejected for endpoint in both)
    desk.take(3)
    desk.turn(after=20 * SECOND)
    assert sum(len(endpoint.calls) for endpoint in both) <= 1


@pytest.mark.parametrize(("senders", "waits"), [(3, False), (12, True)])
def test_rule_4_a_rate_limit_that_recovered_is_not_probed_by_all_at_each_endpoint(senders, waits):
    desk = Desk(endpoints=(("a", 1), ("b", 1)), senders=senders)
    desk.take()
    for _ in range(4):  # so many that one success leaves a doubt
        desk.end(1, CONNECT_FAILED, after=MS)
        while not desk.sent(desk.turn(after=SECOND)):
            pass
    desk.end(1, CONNECT_FAILED, after=MS)
    a, b = (desk.sender.discovery.endpoints[name] for name in "ab")
    assert a.ejected and b.ejected
    sent = desk.sent(desk.take(2))
    while not (a.calls or b.calls):
        sent = desk.sent(desk.turn(after=SECOND))
    request = sent[0] if sent else 1
    looked = desk.sender.discovery.endpoints[desk.attempts[request][1]]
    other = b if looked is a else a
    other.warming_since_ns = 1  # of an outage long ago
    desk.end(request, after=MS)
    assert (
        other.ejected and (other.warming_since_ns == looked.warming_since_ns) == waits
    )  # one ramp, and it is looked at as it grows
    assert not waits or other.next_health_check_ns > desk.now + SECOND


def test_probes_of_many_senders_are_spread():
    few, many = Desk(senders=3), Desk(senders=200)
    for desk, longest in ((few, SECOND), (many, many.sender.context.settings.slow_start_ns)):
        assert desk.sender.limits.longest_wait_ns(desk.sender.discovery.endpoints["a"]) == longest


@pytest.mark.parametrize(
    ("errors", "ramps"), [(0, False), (2, False), (outlier_detection.MIN_OUTAGE_FAILURES, True)]
)
def test_lost_calls_between_successes_close_together_end_without_a_ramp(errors, ramps):
    desk = Desk()
    desk.take()
    desk.end(1)
    endpoint = desk.sender.discovery.endpoints["a"]
    endpoint.ejected, endpoint.failure_rate, endpoint.hard_failures = True, 0.6, errors
    assert desk.sent(desk.take(after=SECOND)) == [2]
    desk.end(2)
    assert not endpoint.ejected
    assert bool(endpoint.warming_since_ns) is ramps


def test_rule_4_first_probe_of_many_senders_waits_near_the_longest():
    desk = Desk(senders=200)
    endpoint = desk.sender.discovery.endpoints["a"]
    looks = [desk.sender.limits.wait_ns(endpoint, 0) for _ in range(20)]
    assert min(looks) >= 10 * SECOND / 8 and max(looks) <= 15 * SECOND
    assert min(desk.sender.limits.wait_ns(endpoint, 1) for _ in range(20)) >= 5 * SECOND


def test_rule_4_an_outage_ends_with_a_ramp_though_its_second_success_comes_soon_after_the_first():
    desk = Desk()
    endpoint = desk.sender.discovery.endpoints["a"]
    endpoint.ejected, endpoint.failure_rate, endpoint.hard_failures = True, 0.9, 6
    endpoint.last_success_ns = desk.now - 20 * SECOND
    assert desk.sent(desk.take())
    desk.end(1)
    assert endpoint.ejected  # one success among failures
    assert desk.sent(desk.take(after=50 * MS))
    desk.end(2)
    assert not endpoint.ejected and endpoint.warming_since_ns
