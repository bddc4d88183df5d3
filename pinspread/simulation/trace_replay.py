"""Makes scenarios from traces: recorded arrivals, and destinations with the fitted models."""

import math
from collections.abc import Sequence
from typing import Any

import numpy as np
from numpy.typing import NDArray

from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.fit import DestinationFit
from pinspread.simulation.model import FleetModel
from pinspread.simulation.random_streams import random_stream
from pinspread.simulation.scenario import (
    ATTEMPT_DRAWS,
    START_DRAWS,
    DestinationSpec,
    Scenario,
    ScheduledFault,
)
from pinspread.simulation.trace import Trace, TraceError, read_trace

MS_PER_S = 1000
NS_PER_US = 1000
AFTER_LAST_NS = 2 * SECOND  # time from the last arrival to the end of the scenario
MIN_WORK_FACTOR = 0.05  # smallest work of a destination, relative to the work of its messages' classes
# Factors from recorded usage to capacity: a trace shows only as much of a capacity as was used.
CORES_HEADROOM = 1.5
SLOTS_HEADROOM = 2.2
HELD_S = 9  # an instance may hold the messages of so many seconds at its full load
QUEUE_S = 2  # an endpoint's queue holds the calls of so many seconds at its capacity


def replay_trace(path: str, model: FleetModel, seed: int) -> Scenario:
    """Return a scenario with a trace's arrivals and the fitted destinations.

    Args:
        path: The trace file.
        model: Supplies what a trace does not record: classes, tenants, network, clients.
        seed: Seed for drawing what was not recorded, such as the work of each message.

    Raises:
        TraceError: The trace cannot be read, or has a class that the model lacks.
    """
    trace = read_trace(path)
    return _Replay(path, trace, model, seed).scenario()


def _bounds(value: Any) -> tuple[float, float]:
    """Return the bounds of a range of the model; validation makes it a pair whatever the file held."""
    low, high = value
    return low, high


class _Replay:
    """Converts one trace to a scenario. Destinations are renumbered from 1."""

    def __init__(self, path: str, trace: Trace, model: FleetModel, seed: int):
        self.trace = trace
        self.model = model
        self.seed = seed
        self.destination_numbers = {
            number: n for n, number in enumerate(sorted(set(trace.arrivals.destination)), 1)
        }
        self.class_index = self._class_index(path)
        self.arrival_ns: NDArray[np.int64] = np.array(trace.arrivals.at_us, dtype=np.int64) * NS_PER_US
        self.destination: NDArray[np.int32] = np.array(
            [self.destination_numbers[number] for number in trace.arrivals.destination], dtype=np.int32
        )
        self.length_ns = int(self.arrival_ns.max()) + AFTER_LAST_NS
        self.work_s = np.array(
            [sum(_bounds(traffic_class.work_ms)) / (2 * MS_PER_S) for traffic_class in model.classes]
        )

    def _class_index(self, path: str) -> NDArray[np.int16]:
        """Return each message's class, as an index into the model's classes."""
        names = [traffic_class.name for traffic_class in self.model.classes]
        for name in self.trace.class_names:
            if name not in names:
                raise TraceError(f"{path}: has messages of class {name!r}; the model has only {names}")
        indices = [names.index(name) for name in self.trace.class_names]
        return np.array(
            [indices[class_number] for class_number in self.trace.arrivals.class_index], dtype=np.int16
        )

    def scenario(self) -> Scenario:
        """Return the scenario."""
        arrivals, model, seed = self.trace.arrivals, self.model, self.seed
        count = len(self.arrival_ns)
        instance_count = max(1, self.trace.instance_count)
        full_per_s = count / (self.length_ns / SECOND) / model.traffic.load
        mean_work_ns = self._mean_work_ns()
        busy = full_per_s / instance_count * float(mean_work_ns.mean()) / SECOND
        shortest_ms, longest_ms = _bounds(model.network.delay_ms)
        return Scenario(
            seed=seed,
            length_ns=self.length_ns,
            destinations=[self._destination_spec(fit) for fit in self.trace.fits],
            faults=[fault for fit in self.trace.fits for fault in self._faults(fit)],
            arrival_ns=self.arrival_ns,
            class_index=self.class_index,
            tenant_index=np.array(arrivals.tenant_index, dtype=np.int16) % len(model.teams),
            destination=self.destination,
            ordering_key=np.array(arrivals.ordering_key, dtype=np.int64),
            within_quota=np.ones(count, dtype=bool),
            work_ns=self._work_ns(mean_work_ns),
            attempt_draws=random_stream(seed, "chance").random((count, ATTEMPT_DRAWS, 4), dtype=np.float32),
            client_draws=random_stream(seed, "habits").random((count, 4), dtype=np.float32),
            instance_share=self._instance_share(),
            max_concurrent_calls=max(model.couriers.least_slots, round(busy * SLOTS_HEADROOM)),
            max_held_messages=max(model.couriers.least_held, round(full_per_s / instance_count * HELD_S)),
            delay_ns=random_stream(seed, "delay").uniform(shortest_ms, longest_ms, len(self.trace.fits)) * MS,
            start_draws=random_stream(seed, "boot").random((model.couriers.count, START_DRAWS)),
            size_bytes=np.array(arrivals.size_bytes, dtype=np.int64),
        )

    def _mean_work_ns(self) -> NDArray[np.float64]:
        """Draw the mean work of each message from the range of its class."""
        shortest, longest = (
            np.array([_bounds(traffic_class.work_ms)[end] for traffic_class in self.model.classes])[
                self.class_index
            ]
            for end in (0, 1)
        )
        draws = random_stream(self.seed, "messages").random(len(self.arrival_ns))
        drawn: NDArray[np.float64] = (shortest + (longest - shortest) * draws) * MS
        return drawn

    def _work_ns(self, mean_ns: NDArray[np.float64]) -> NDArray[np.int64]:
        """Draw the work of each attempt, spread like its destination's latency: [messages, ATTEMPT_DRAWS]."""
        sigma_of = {
            self.destination_numbers[fit.destination]: (
                fit.latency.sigma if fit.latency.count else self.model.partners.work_spread
            )
            for fit in self.trace.fits
        }
        sigma = np.array([sigma_of[int(number)] for number in self.destination])[:, None]
        draws = random_stream(self.seed, "work").standard_normal((len(mean_ns), ATTEMPT_DRAWS))
        factor = np.exp(draws * sigma - sigma**2 / 2)  # has mean 1
        work: NDArray[np.int64] = (mean_ns[:, None] * factor).astype(np.int64) + 1
        return work

    def _instance_share(self) -> NDArray[np.float64]:
        """Return each instance's share of the messages; recorded couriers are mapped to them by modulo."""
        count = self.model.couriers.count
        instances = np.array(self.trace.arrivals.instance) % count
        messages = np.bincount(instances, minlength=count) + 1e-9
        share: NDArray[np.float64] = messages / messages.sum()
        return share

    def _destination_spec(self, fit: DestinationFit) -> DestinationSpec:
        """Return a destination with the fitted latency, capacity and limit."""
        number = self.destination_numbers[fit.destination]
        work_factor = self._work_factor(fit, number)
        endpoints = max(1, fit.endpoints)
        cores_needed = math.ceil(fit.max_in_flight * CORES_HEADROOM / endpoints)
        cores = max(self.model.partners.least_cores, cores_needed)
        capacity_per_s = cores * endpoints / (self._usual_work_s(number) * work_factor)
        limit_per_s = fit.limit.per_s
        spec = DestinationSpec(
            number,
            fit.calls / max(1, len(self.arrival_ns)),
            bool(limit_per_s),
            work_factor,
            [cores] * endpoints,
            [max(2, int(QUEUE_S * capacity_per_s / endpoints))] * endpoints,
            [0] * endpoints,
            capacity_per_s,
            weight=limit_per_s or capacity_per_s,
        )
        if limit_per_s:
            spec.limit_window_ns, spec.limit_calls = SECOND, max(1, round(limit_per_s))
            spec.capacity_per_s = min(capacity_per_s, limit_per_s)
            spec.retry_after_share = fit.retry_after_share
        return spec

    def _work_factor(self, fit: DestinationFit, number: int) -> float:
        """Return the work of a destination on a message, relative to the mean work of its class."""
        latency = fit.latency
        mean_s = latency.mean_ms / MS_PER_S if latency.count else float(self.work_s.mean())
        network_s = 2 * sum(_bounds(self.model.network.delay_ms)) / (2 * MS_PER_S)
        return max(MIN_WORK_FACTOR, (mean_s - network_s) / self._usual_work_s(number))

    def _usual_work_s(self, number: int) -> float:
        """Return the mean work in seconds of a destination's messages at a work factor of 1."""
        class_indices = self.class_index[self.destination == number]
        return float(self.work_s[class_indices].mean()) if len(class_indices) else float(self.work_s.mean())

    def _faults(self, fit: DestinationFit) -> Sequence[ScheduledFault]:
        number = self.destination_numbers[fit.destination]
        return [
            ScheduledFault(
                outage.kind, outage.from_us * NS_PER_US, outage.until_us * NS_PER_US, 1.0, [number]
            )
            for outage in fit.outages
        ]
