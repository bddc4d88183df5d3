"""A discovery that was away: its changes are followed in time."""

import pytest

from pinspread.discovery import client as discovery_client
from pinspread.discovery.backoff import MAX_DOUBLINGS, reopen_delay_s

TOLD_S = 6.0  # a change counts as reported so long after discovery had it and could be reached


@pytest.mark.parametrize("instances", [1, 3, 48, 200, 3200])
@pytest.mark.parametrize("chance", [0.0, 1.0])
def test_a_watch_is_opened_again_in_time_in_fleets_of_any_size(instances, chance):
    """Guards against endpoints that get calls long after they have left, once discovery is back."""
    delays_s = [reopen_delay_s(failures, instances, chance) for failures in range(2 * MAX_DOUBLINGS)]
    assert max(delays_s) <= TOLD_S - discovery_client.RESPONSE_TIMEOUT_S
    assert min(delays_s) > 0


def test_couriers_of_a_large_fleet_do_not_ask_at_the_same_time():
    """Guards against a service that is overloaded by all couriers at once when it is back."""
    delays_s = [reopen_delay_s(3, 200, step / 200) for step in range(201)]
    steps_s = [after - before for before, after in zip(delays_s[:-1], delays_s[1:], strict=True)]
    assert max(delays_s) - min(delays_s) > 2 and max(steps_s) < 0.05
