"""The delivery policy and full connection tables: how it detects them, and which connections it closes."""

import pytest
from policy_helpers import CONNECT_FAILED, FULL, Desk

from pinspread.policy.actions import Disconnect
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


@pytest.mark.parametrize(("senders", "closes"), [(2, False), (8, True), (200, True)])
def test_idle_connections_are_closed_where_connection_tables_are_full(senders, closes):
    desk = Desk(endpoints=[(f"e{n}", n) for n in range(1, 80)], senders=senders)
    endpoint = desk.sender.discovery.endpoints["e1"]
    endpoint.first_seen_ns -= 9 * SECOND
    assert Disconnect("e1") not in desk.end(desk.sent(desk.take())[0])  # nothing told of a full table
    for n in (2, 3):  # one destination after the other takes no connection at first
        closed = desk.end(desk.sent(desk.take(destination=n))[0], CONNECT_FAILED)
        assert (Disconnect("e1") in closed) is (closes and n == 2)  # what is idle is closed at once
    assert (Disconnect("e1") in desk.end(desk.sent(desk.take())[0])) is closes
    for n in range(20, 50):  # all is well for long
        desk.end(desk.sent(desk.take(destination=n))[0])
    assert desk.sender.balancer.keeps_connections(endpoint)


def test_an_outage_closes_no_other_connections_where_full_tables_are_reported():
    for told in (True, False):
        desk = Desk(endpoints=[(f"e{n}", n) for n in range(1, 80)], senders=40)
        desk.sender.discovery.endpoints["e1"].first_seen_ns -= 9 * SECOND
        desk.end(desk.sent(desk.take())[0], opened=told)
        for n in (2, 3, 4):
            desk.end(desk.sent(desk.take(destination=n))[0], CONNECT_FAILED)
        assert (Disconnect("e1") in desk.end(desk.sent(desk.take())[0])) is not told


def test_a_sender_with_a_connection_closes_it_by_chance_to_detect_full_tables():
    for senders, least, most in ((4, 0, 0), (12, 4, 40), (120, 8, 50)):
        desk = Desk(senders=senders)
        let_go = sum(Disconnect("a") in desk.end(desk.sent(desk.take())[0]) for _ in range(200))
        assert least <= let_go <= most


def test_failures_that_began_on_a_reused_connection_indicate_no_full_table():
    for first, closing in ((False, False), (True, True)):
        desk = Desk(senders=40)
        request = desk.sent(desk.take())[0]
        for opened in (first, True):
            desk.end(request, FULL, opened=opened)
            while request in desk.sender.messages and not desk.sender.messages[request].in_flight:
                desk.turn(after=50 * MS)
        assert bool(desk.sender.balancer.saturated) is closing


@pytest.mark.parametrize(("senders", "closes"), [(3, False), (12, True), (40, True), (120, True)])
def test_rejections_of_new_connections_without_retry_after_indicate_full_tables_to_many_senders(
    senders, closes
):
    cases = (({"opened": True}, True), ({}, False), ({"opened": True, "retry_after_ns": SECOND}, False))
    for fields, told in cases:
        desk = Desk(endpoints=[(f"e{n}", n) for n in range(1, 9)], senders=senders)
        desk.sender.discovery.endpoints["e1"].first_seen_ns -= 9 * SECOND
        desk.end(desk.sent(desk.take())[0])
        for n in (2, 3, 4):
            desk.end(desk.sent(desk.take(destination=n))[0], FULL, **fields)
        assert (Disconnect("e1") in desk.end(desk.sent(desk.take())[0])) is (closes and told)
