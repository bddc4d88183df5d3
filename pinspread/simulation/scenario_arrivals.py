"""Draws when messages arrive and where they go, their ordering keys, and whether they are within quota."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from pinspread.simulation.distributions import draw
from pinspread.simulation.engine import SECOND
from pinspread.simulation.model import FleetModel
from pinspread.simulation.scenario_types import DestinationSpec, ScheduledFault

CLUMP_LENGTH_S = 0.3
KEY_REUSE_SHARE = 0.7  # share of the ordered messages that reuse a key, if one is free at the time
QUOTA_BURST_S = 2  # seconds of unused quota that a tenant may save up


def draw_arrivals(
    model: FleetModel,
    rng: np.random.Generator,
    destinations: Sequence[DestinationSpec],
    faults: Sequence[ScheduledFault],
) -> tuple[NDArray[np.int64], NDArray[np.int32]]:
    """Draw the arrival time, in nanoseconds, and the destination of each message.

    The rate follows a slow wave with bursts; clumps for single destinations are added to it.
    """
    traffic, length_s = model.traffic, model.length_s
    shares = np.array([spec.traffic_share for spec in destinations])
    swing = draw(rng, traffic.swing)
    phase, cycles = rng.uniform(0, 2 * np.pi), rng.uniform(0.7, 2.0)
    clump_share = draw(rng, traffic.clump_share)
    bursts = [fault for fault in faults if fault.kind == "burst"]
    peak_factor = 1 + swing
    for burst in bursts:
        peak_factor *= burst.magnitude
    # Candidates are drawn at the peak rate, then thinned to the rate at their time.
    rate_per_s = traffic.rate_per_s * (1 - clump_share)
    count = rng.poisson(rate_per_s * peak_factor * length_s)
    times_s = np.sort(rng.uniform(0, length_s, count))
    rate_factor = 1 + swing * np.sin(phase + 2 * np.pi * cycles * times_s / length_s)
    for burst in bursts:
        inside = (times_s >= burst.at_ns / SECOND) & (times_s < burst.until_ns / SECOND)
        rate_factor = np.where(inside, rate_factor * burst.magnitude, rate_factor)
    times_s = times_s[rng.random(count) * peak_factor < rate_factor]
    chosen_destinations = rng.choice(len(destinations), len(times_s), p=shares) + 1
    times, targets = [times_s], [chosen_destinations]
    clump_messages_left = traffic.rate_per_s * clump_share * length_s
    while clump_messages_left >= 1:
        destination = destinations[rng.choice(len(destinations), p=shares)]
        size = max(1, round(destination.capacity_per_s * draw(rng, traffic.clump_s)))
        start_s = rng.uniform(0, length_s)
        clump_s = start_s + np.sort(rng.uniform(0, CLUMP_LENGTH_S, size))
        times.append(clump_s[clump_s < length_s])
        targets.append(np.full(len(times[-1]), destination.number))
        clump_messages_left -= size
    all_times, all_targets = np.concatenate(times), np.concatenate(targets)
    order = np.argsort(all_times, kind="stable")
    return (all_times[order] * SECOND).astype(np.int64), all_targets[order].astype(np.int32)


@dataclass(slots=True)
class _OrderingKey:
    """An ordering key in use at one destination: the end of its life, and when a message may reuse it."""

    number: int
    until_s: float
    free_s: float


def draw_ordering_keys(
    model: FleetModel,
    rng: np.random.Generator,
    arrival_ns: NDArray[np.int64],
    class_index: NDArray[np.int16],
    destination: NDArray[np.int32],
) -> NDArray[np.int64]:
    """Draw the ordering keys of messages; each key lives for some seconds at one destination."""
    keys: NDArray[np.int64] = np.zeros(len(arrival_ns), dtype=np.int64)
    ordered = np.array([traffic_class.in_order for traffic_class in model.classes])[class_index]
    live_keys: dict[int, list[_OrderingKey]] = {}
    last_number = 0
    for row in np.flatnonzero(ordered):
        destination_keys = live_keys.setdefault(int(destination[row]), [])
        now_s = arrival_ns[row] / SECOND
        destination_keys[:] = [key for key in destination_keys if key.until_s > now_s]
        free = [key for key in destination_keys if key.free_s <= now_s]
        if free and rng.random() < KEY_REUSE_SHARE:
            key = free[int(rng.integers(len(free)))]
        else:
            last_number += 1
            key = _OrderingKey(last_number, now_s + draw(rng, model.traffic.key_life_s), now_s)
            destination_keys.append(key)
        key.free_s = now_s + draw(rng, model.traffic.key_gap_s)
        keys[row] = key.number
    return keys


def within_quotas(
    arrival_ns: NDArray[np.int64], tenant_index: NDArray[np.int16], quotas_per_s: Sequence[float]
) -> NDArray[np.bool_]:
    """Return whether each message is within its tenant's quota; a token bucket holds two seconds of it."""
    tokens = [QUOTA_BURST_S * quota for quota in quotas_per_s]
    last_ns = [0] * len(quotas_per_s)
    within = np.ones(len(arrival_ns), dtype=bool)
    rows = zip(arrival_ns.tolist(), tenant_index.tolist(), strict=True)
    for row, (now_ns, tenant) in enumerate(rows):
        quota = quotas_per_s[tenant]
        refill = (now_ns - last_ns[tenant]) / SECOND * quota
        tokens[tenant] = min(QUOTA_BURST_S * quota, tokens[tenant] + refill)
        last_ns[tenant] = now_ns
        if tokens[tenant] >= 1:
            tokens[tenant] -= 1
        else:
            within[row] = False
    return within
