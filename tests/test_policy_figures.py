"""Figures from outside at their least and largest: reports, listed weights and settings."""

import dataclasses
import math

import pytest
from policy_helpers import OK, OVERLOADED, PolicyDriver, settings

from pinspread.policy.events import EndpointsChanged, UpdateScope
from pinspread.policy.state import SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")

TINIEST, LARGEST = 5e-324, 1.7e308
FIGURES = [0.0, TINIEST, 6.95e-310, 1e-12, 1e-3, 0.5, 1.0, 1e9, 1e18, LARGEST, math.inf, math.nan]


# Guards against a reported limit so small that the pause of its rate is infinite: the turn raised an
# OverflowError, which ended the process.
@pytest.mark.parametrize("senders", [1, 200])
@pytest.mark.parametrize("remaining", [0.0, 0.8, 1.0, LARGEST, math.inf, math.nan])
@pytest.mark.parametrize("limit", FIGURES)
def test_no_reported_limit_ends_a_turn_or_holds_a_destination_for_long(limit, remaining, senders):
    driver = PolicyDriver(senders=senders)
    driver.accept()
    driver.complete(1, OK, limit_per_s=limit, limit_remaining=remaining)
    driver.accept(lifetime=60 * SECOND)
    rate_limiter = driver.sender.discovery.endpoints["a"].limiter
    assert rate_limiter.next_call_ns <= driver.now + 20 * SECOND  # a message's time, not hours
    driver.turn(after=60 * SECOND)


@pytest.mark.parametrize("outcome", [OK, OVERLOADED])
@pytest.mark.parametrize("exact", [True, False])
@pytest.mark.parametrize("senders", [1, 200])
@pytest.mark.parametrize("weight", FIGURES)
def test_no_listed_weight_ends_a_turn(weight, senders, exact, outcome):
    driver = PolicyDriver(senders=senders, weights_known=True, weights_exact=exact)
    entry = dataclasses.replace(driver.listed[0], weight=weight)
    driver.turn(EndpointsChanged(UpdateScope.DELTA, [entry]))
    for request in range(1, 6):
        driver.accept(after=SECOND)
        if request in driver.attempts:
            driver.complete(request, outcome)
        driver.turn(after=SECOND)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("slow_start_fraction", TINIEST),
        ("overload_multiple", TINIEST),
        ("overload_multiple", LARGEST),
        ("slow_start_fraction", math.nan),
        ("overload_multiple", math.nan),
    ],
)
def test_settings_that_no_slow_start_can_work_with_are_refused(name, value):
    with pytest.raises(ValueError, match=r"cold_from|tip_multiple"):
        settings(**{name: value})
