"""What clients do: whose courier hears a message, and when they come again. For the model and on loopback alike."""

import numpy as np

from pinspread.simulation.engine import SECOND
from pinspread.simulation.random_streams import random_stream


class ClientBehavior:
    """The habits of a day's clients; counts how often each message has come again."""

    def __init__(self, model, scenario):
        self.traffic, self.scenario = model.traffic, scenario
        self.retries = np.zeros(len(scenario.arrival_ns), dtype=np.int16)
        self._allowed_ns = [int(c.deadline_s * SECOND) for c in model.classes]
        shares = np.cumsum(scenario.instance_share)
        keys = random_stream(scenario.seed, "key couriers").random(
            int(scenario.ordering_key.max(initial=0)) + 1
        )
        last = model.couriers.count - 1
        self._by_row = np.searchsorted(shares, scenario.client_draws[:, 0]).clip(0, last)
        self._by_key = np.searchsorted(shares, keys).clip(0, last)

    def instance_of(self, row) -> int:
        """The courier that a message goes to while it runs; one for each key."""
        key = int(self.scenario.ordering_key[row])
        return int(self._by_key[key] if key else self._by_row[row])

    def deadline_ns(self, row) -> int:
        """Until when a message may be delivered."""
        return int(self.scenario.arrival_ns[row]) + self._allowed_ns[self.scenario.class_index[row]]

    def retry_delay_ns(self, row, retry_after_ns) -> int | None:
        """After a busy answer or a return: how long the client waits; none if it does not come again."""
        if self.retries[row] >= self.traffic.retries:
            return None
        low, high = self.traffic.backoff_s
        own = (low + (high - low) * float(self.scenario.client_draws[row, 2])) * 2 ** int(self.retries[row])
        self.retries[row] += 1
        return int(
            retry_after_ns
            if retry_after_ns and self.scenario.client_draws[row, 1] < self.traffic.honour
            else own * SECOND
        )
