"""What clients do: which instance they submit a message to, and when they submit it again.

For the simulation and for runs on real sockets alike.
"""

import numpy as np
from numpy.typing import NDArray

from pinspread.simulation.engine import SECOND
from pinspread.simulation.model import FleetModel
from pinspread.simulation.random_streams import random_stream
from pinspread.simulation.scenario import Scenario

# What the uniform random numbers of a message's client decide, in the last axis of `Scenario.client_draws`.
INSTANCE_DRAW, HEEDS_RETRY_AFTER_DRAW, BACKOFF_DRAW = range(3)


class ClientBehavior:
    """The behavior of a scenario's clients.

    Attributes:
        retries: How often each message has been submitted again.
    """

    def __init__(self, model: FleetModel, scenario: Scenario) -> None:
        self.traffic = model.traffic
        self.scenario = scenario
        self.retries: NDArray[np.int16] = np.zeros(len(scenario.arrival_ns), dtype=np.int16)
        self._deadlines_ns = [int(one.deadline_s * SECOND) for one in model.classes]
        keys = int(scenario.ordering_key.max(initial=0)) + 1
        key_draws = random_stream(scenario.seed, "key couriers").random(keys)
        shares = np.cumsum(scenario.instance_share)
        last = model.couriers.count - 1
        message_draws = scenario.client_draws[:, INSTANCE_DRAW]
        self._instance_by_row = np.searchsorted(shares, message_draws).clip(0, last)
        self._instance_by_key = np.searchsorted(shares, key_draws).clip(0, last)

    def instance_of(self, row: int) -> int:
        """Return the instance that a message is submitted to while it is up; one for each ordering key."""
        key = int(self.scenario.ordering_key[row])
        return int(self._instance_by_key[key] if key else self._instance_by_row[row])

    def deadline_ns(self, row: int) -> int:
        """Return until when a message may be delivered."""
        allowed_ns = self._deadlines_ns[int(self.scenario.class_index[row])]
        return int(self.scenario.arrival_ns[row]) + allowed_ns

    def retry_delay_ns(self, row: int, retry_after_ns: int) -> int | None:
        """Count a retry of a rejected message, and return how long its client waits before it.

        Args:
            row: The message.
            retry_after_ns: The Retry-After of the rejection; 0: none. Only a share of the clients heed it.

        Returns:
            None if the message is not submitted again.
        """
        retries = int(self.retries[row])
        if retries >= self.traffic.retries:
            return None
        self.retries[row] += 1
        draws = self.scenario.client_draws[row]
        if retry_after_ns and draws[HEEDS_RETRY_AFTER_DRAW] < self.traffic.honour:
            return retry_after_ns
        shortest_s, longest_s = self.traffic.backoff_s
        first_s = shortest_s + (longest_s - shortest_s) * float(draws[BACKOFF_DRAW])
        return int(first_s * 2**retries * SECOND)
