"""The delivery policy and full connection tables: how it detects them, and which connections it closes."""

import pytest
from policy_helpers import CONNECT_FAILED, OVERLOADED, PolicyDriver

from pinspread.policy.actions import Disconnect
from pinspread.policy.state import MS, SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


@pytest.mark.parametrize(("senders", "closes"), [(2, False), (8, True), (200, True)])
def test_idle_connections_are_closed_where_connection_tables_are_full(senders, closes):
    driver = PolicyDriver(endpoints=[(f"e{n}", n) for n in range(1, 80)], senders=senders)
    endpoint = driver.sender.discovery.endpoints["e1"]
    endpoint.first_seen_ns -= 9 * SECOND
    # Nothing has indicated a full table yet.
    assert Disconnect("e1") not in driver.complete(driver.sent(driver.accept())[0])
    for n in (2, 3):  # each destination fails its first connection
        closed = driver.complete(driver.sent(driver.accept(destination=n))[0], CONNECT_FAILED)
        assert (Disconnect("e1") in closed) is (closes and n == 2)  # idle connections are closed at once
    assert (Disconnect("e1") in driver.complete(driver.sent(driver.accept())[0])) is closes
    for n in range(20, 50):  # many calls succeed
        driver.complete(driver.sent(driver.accept(destination=n))[0])
    assert driver.sender.balancer.keeps_connections(endpoint)


def test_an_outage_closes_no_other_connections_where_full_tables_are_reported():
    for reports_opened in (True, False):
        driver = PolicyDriver(endpoints=[(f"e{n}", n) for n in range(1, 80)], senders=40)
        driver.sender.discovery.endpoints["e1"].first_seen_ns -= 9 * SECOND
        driver.complete(driver.sent(driver.accept())[0], opened=reports_opened)
        for n in (2, 3, 4):
            driver.complete(driver.sent(driver.accept(destination=n))[0], CONNECT_FAILED)
        assert (Disconnect("e1") in driver.complete(driver.sent(driver.accept())[0])) is not reports_opened


def test_a_sender_with_a_connection_closes_it_by_chance_to_detect_full_tables():
    for senders, minimum, maximum in ((4, 0, 0), (12, 4, 40), (120, 8, 50)):
        driver = PolicyDriver(senders=senders)
        closed_count = sum(
            Disconnect("a") in driver.complete(driver.sent(driver.accept())[0]) for _ in range(200)
        )
        assert minimum <= closed_count <= maximum


def test_failures_that_began_on_a_reused_connection_indicate_no_full_table():
    for first, expected in ((False, False), (True, True)):
        driver = PolicyDriver(senders=40)
        request = driver.sent(driver.accept())[0]
        for opened in (first, True):
            driver.complete(request, OVERLOADED, opened=opened)
            while request in driver.sender.messages and not driver.sender.messages[request].in_flight:
                driver.turn(after=50 * MS)
        assert bool(driver.sender.balancer.saturated) is expected


@pytest.mark.parametrize(("senders", "closes"), [(3, False), (12, True), (40, True), (120, True)])
def test_rejections_of_new_connections_without_retry_after_indicate_full_tables_to_many_senders(
    senders, closes
):
    cases = (({"opened": True}, True), ({}, False), ({"opened": True, "retry_after_ns": SECOND}, False))
    for fields, indicates_full_table in cases:
        driver = PolicyDriver(endpoints=[(f"e{n}", n) for n in range(1, 9)], senders=senders)
        driver.sender.discovery.endpoints["e1"].first_seen_ns -= 9 * SECOND
        driver.complete(driver.sent(driver.accept())[0])
        for n in (2, 3, 4):
            driver.complete(driver.sent(driver.accept(destination=n))[0], OVERLOADED, **fields)
        assert (Disconnect("e1") in driver.complete(driver.sent(driver.accept())[0])) is (
            closes and indicates_full_table
        )
