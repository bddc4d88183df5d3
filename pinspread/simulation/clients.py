"""Client behavior: which instance a client submits a message to, and when it submits a rejected one again.

The simulation and the runs on real sockets both use it.
"""

import numpy as np
from numpy.typing import NDArray

from pinspread.simulation.engine import SECOND
from pinspread.simulation.model import FleetModel
from pinspread.simulation.random_streams import random_stream
from pinspread.simulation.scenario import Scenario

# Indices into the last axis of `Scenario.client_draws`, the uniform random numbers of a message's client.
INSTANCE_DRAW, HEEDS_RETRY_AFTER_DRAW, BACKOFF_DRAW = range(3)


class ClientBehavior:
    """The behavior of a scenario's clients.

    Attributes:
        retries: How many times each message has been submitted again.
    """

    def __init__(self, model: FleetModel, scenario: Scenario) -> None:
        self.traffic = model.traffic
        self.scenario = scenario
        self.retries: NDArray[np.int16] = np.zeros(len(scenario.arrival_ns), dtype=np.int16)
        self._deadlines_ns = [int(traffic_class.deadline_s * SECOND) for traffic_class in model.classes]
        key_count = int(scenario.ordering_key.max(initial=0)) + 1
        key_draws = random_stream(scenario.seed, "key couriers").random(key_count)
        cumulative_shares = np.cumsum(scenario.instance_share)
        last_instance = model.couriers.count - 1
        message_draws = scenario.client_draws[:, INSTANCE_DRAW]
        self._instance_by_row = np.searchsorted(cumulative_shares, message_draws).clip(0, last_instance)
        self._instance_by_key = np.searchsorted(cumulative_shares, key_draws).clip(0, last_instance)

    def instance_of(self, row: int) -> int:
        """Return the number of the instance that a message is submitted to while that instance is up.

        All messages of an ordering key are submitted to the same instance.
        """
        key = int(self.scenario.ordering_key[row])
        return int(self._instance_by_key[key] if key else self._instance_by_row[row])

    def deadline_ns(self, row: int) -> int:
        """Return the time until which a message may be delivered."""
        allowed_ns = self._deadlines_ns[int(self.scenario.class_index[row])]
        return int(self.scenario.arrival_ns[row]) + allowed_ns

    def retry_delay_ns(self, row: int, retry_after_ns: int) -> int | None:
        """Count a retry of a rejected message, and return how long its client waits before that.

        Args:
            row: Row of the message in the scenario.
            retry_after_ns: The Retry-After of the rejection; 0 for none. Only a share of the clients heed it.

        Returns:
            The wait in nanoseconds, or None if the message is not submitted again.
        """
        retries = int(self.retries[row])
        if retries >= self.traffic.retries:
            return None
        self.retries[row] += 1
        draws = self.scenario.client_draws[row]
        if retry_after_ns and draws[HEEDS_RETRY_AFTER_DRAW] < self.traffic.honour:
            return retry_after_ns
        shortest_s, longest_s = self.traffic.backoff_s
        first_delay_s = shortest_s + (longest_s - shortest_s) * float(draws[BACKOFF_DRAW])
        return int(first_delay_s * 2**retries * SECOND)
