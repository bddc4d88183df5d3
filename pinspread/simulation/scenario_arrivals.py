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
KEY_REUSE_SHARE = 0.7  # share of the ordered messages that take a key that is free at the time
QUOTA_BURST_S = 2  # a tenant may save up its quota of so long


def draw_arrivals(
    model: FleetModel,
    rng: np.random.Generator,
    destinations: Sequence[DestinationSpec],
    faults: Sequence[ScheduledFault],
) -> tuple[NDArray[np.int64], NDArray[np.int32]]:
    """Draw times in nanoseconds and destinations: a wave with bursts on it, and clumps for one of them."""
    traffic, length_s = model.traffic, model.length_s
    shares = np.array([one.traffic_share for one in destinations])
    swing = draw(rng, traffic.swing)
    phase, turns = rng.uniform(0, 2 * np.pi), rng.uniform(0.7, 2.0)
    clump_share = draw(rng, traffic.clump_share)
    bursts = [fault for fault in faults if fault.kind == "burst"]
    highest = 1 + swing
    for burst in bursts:
        highest *= burst.magnitude
    # Candidates at the highest rate are thinned to the rate of their time.
    rate_per_s = traffic.rate_per_s * (1 - clump_share)
    count = rng.poisson(rate_per_s * highest * length_s)
    at_s = np.sort(rng.uniform(0, length_s, count))
    level = 1 + swing * np.sin(phase + 2 * np.pi * turns * at_s / length_s)
    for burst in bursts:
        inside = (at_s >= burst.at_ns / SECOND) & (at_s < burst.until_ns / SECOND)
        level = np.where(inside, level * burst.magnitude, level)
    at_s = at_s[rng.random(count) * highest < level]
    numbers = rng.choice(len(destinations), len(at_s), p=shares) + 1
    times, targets = [at_s], [numbers]
    owed = traffic.rate_per_s * clump_share * length_s
    while owed >= 1:
        destination = destinations[rng.choice(len(destinations), p=shares)]
        size = max(1, round(destination.capacity_per_s * draw(rng, traffic.clump_s)))
        start_s = rng.uniform(0, length_s)
        clump_s = start_s + np.sort(rng.uniform(0, CLUMP_LENGTH_S, size))
        times.append(clump_s[clump_s < length_s])
        targets.append(np.full(len(times[-1]), destination.number))
        owed -= size
    all_times, all_targets = np.concatenate(times), np.concatenate(targets)
    order = np.argsort(all_times, kind="stable")
    return (all_times[order] * SECOND).astype(np.int64), all_targets[order].astype(np.int32)


@dataclass(slots=True)
class _OrderingKey:
    """A key that is in use at one destination: until when it lives, and when it is free for a message."""

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
    """Draw the keys of messages that keep their order; each lives for some seconds at one destination."""
    keys: NDArray[np.int64] = np.zeros(len(arrival_ns), dtype=np.int64)
    ordered = np.array([one.in_order for one in model.classes])[class_index]
    alive: dict[int, list[_OrderingKey]] = {}
    last = 0
    for row in np.flatnonzero(ordered):
        here = alive.setdefault(int(destination[row]), [])
        now_s = arrival_ns[row] / SECOND
        here[:] = [key for key in here if key.until_s > now_s]
        free = [key for key in here if key.free_s <= now_s]
        if free and rng.random() < KEY_REUSE_SHARE:
            key = free[int(rng.integers(len(free)))]
        else:
            last += 1
            key = _OrderingKey(last, now_s + draw(rng, model.traffic.key_life_s), now_s)
            here.append(key)
        key.free_s = now_s + draw(rng, model.traffic.key_gap_s)
        keys[row] = key.number
    return keys


def within_quotas(
    arrival_ns: NDArray[np.int64], tenant_index: NDArray[np.int16], quotas_per_s: Sequence[float]
) -> NDArray[np.bool_]:
    """Return whether each message is within its tenant's quota: a token bucket of two seconds of it."""
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
