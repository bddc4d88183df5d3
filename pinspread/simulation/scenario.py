"""Draws scenarios: one seed gives one scenario of a model, the same for every variant.

The types are defined in `scenario_types`, and can be imported from here.
"""

import numpy as np
from numpy.typing import NDArray

from pinspread.simulation.distributions import draw, normalized
from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.model import FaultModel, FleetModel
from pinspread.simulation.random_streams import random_stream
from pinspread.simulation.scenario_arrivals import draw_arrivals, draw_ordering_keys, within_quotas
from pinspread.simulation.scenario_destinations import draw_destinations
from pinspread.simulation.scenario_types import (
    ATTEMPT_DRAWS,
    ERROR_DRAW,
    OUTBOUND_DELAY_DRAW,
    RETRY_AFTER_DRAW,
    RETURN_DELAY_DRAW,
    START_DRAWS,
    DestinationSpec,
    Scenario,
    ScheduledFault,
)

__all__ = [
    "ATTEMPT_DRAWS",
    "ERROR_DRAW",
    "OUTBOUND_DELAY_DRAW",
    "RETRY_AFTER_DRAW",
    "RETURN_DELAY_DRAW",
    "START_DRAWS",
    "DestinationSpec",
    "Scenario",
    "ScheduledFault",
    "draw_scenario",
    "tenant_quotas",
]

QUOTA_SHARE = 0.81  # sum of the quotas, as a share of full load; 74 to 88% in the deployment
USUAL_WORK_S = 0.15  # assumed mean work of a scenario without messages
OUTAGE_KINDS = ("crash", "silent", "errors", "shut")
INSTANCE_KINDS = ("restart", "kill")
ENDPOINT_KINDS = ("drain", "replace")


def tenant_quotas(model: FleetModel) -> list[float]:
    """Return the quota of each tenant, in messages per second."""
    traffic = model.traffic
    return [tenant.share * traffic.rate_per_s / traffic.load * QUOTA_SHARE for tenant in model.teams]


def draw_scenario(model: FleetModel, seed: int) -> Scenario:
    """Draw the scenario of a model and a seed."""
    destinations = draw_destinations(model, random_stream(seed, "world"))
    shares = np.array([spec.traffic_share for spec in destinations])
    faults = _draw_faults(model, random_stream(seed, "troubles"), shares)
    arrival_ns, destination = draw_arrivals(model, random_stream(seed, "arrivals"), destinations, faults)
    count = len(arrival_ns)
    rng = random_stream(seed, "messages")
    class_index = _draw_indices(rng, count, [traffic_class.share for traffic_class in model.classes])
    offers = [tenant.share if tenant.offers is None else tenant.offers for tenant in model.teams]
    tenant_index = _draw_indices(rng, count, offers)
    key_rng = random_stream(seed, "keys")
    mean_work_ns = _draw_mean_work(model, rng, class_index)
    max_calls, max_held = _draw_capacities(model, seed, destinations, mean_work_ns)
    shortest_ms, longest_ms = model.network.delay_ms
    delay_draws = random_stream(seed, "delay").random(len(destinations))
    return Scenario(
        seed=seed,
        length_ns=int(model.length_s * SECOND),
        destinations=destinations,
        faults=faults,
        arrival_ns=arrival_ns,
        class_index=class_index,
        tenant_index=tenant_index,
        destination=destination,
        ordering_key=draw_ordering_keys(model, key_rng, arrival_ns, class_index, destination),
        within_quota=within_quotas(arrival_ns, tenant_index, tenant_quotas(model)),
        work_ns=_draw_work(model, random_stream(seed, "work"), mean_work_ns),
        attempt_draws=random_stream(seed, "chance").random((count, ATTEMPT_DRAWS, 4), dtype=np.float32),
        client_draws=random_stream(seed, "habits").random((count, 4), dtype=np.float32),
        instance_share=_draw_instance_shares(model, seed),
        start_draws=random_stream(seed, "boot").random((model.couriers.count, START_DRAWS)),
        max_concurrent_calls=max_calls,
        max_held_messages=max_held,
        delay_ns=(shortest_ms + (longest_ms - shortest_ms) * delay_draws) * MS,
    )


def _draw_indices(rng: np.random.Generator, count: int, shares: list[float]) -> NDArray[np.int16]:
    """Draw a position in a list of shares for each message."""
    return rng.choice(len(shares), count, p=normalized(shares)).astype(np.int16)


def _draw_mean_work(
    model: FleetModel, rng: np.random.Generator, class_index: NDArray[np.int16]
) -> NDArray[np.float64]:
    """Draw the mean work of each message, in nanoseconds, from the range of its class."""
    min_ms, max_ms = (
        np.array([traffic_class.work_ms[n] for traffic_class in model.classes])[class_index] for n in (0, 1)
    )
    mean_ns: NDArray[np.float64] = (min_ms + (max_ms - min_ms) * rng.random(len(class_index))) * MS
    return mean_ns


def _draw_work(
    model: FleetModel, rng: np.random.Generator, mean_ns: NDArray[np.float64]
) -> NDArray[np.int64]:
    """Draw the work of each message and attempt, in nanoseconds, with the given means."""
    shape = (len(mean_ns), ATTEMPT_DRAWS)
    if model.partners.work == "exponential":
        factor = rng.standard_exponential(shape)
    else:
        sigma = model.partners.work_spread
        factor = rng.lognormal(-(sigma**2) / 2, sigma, shape)  # its mean is 1
    return (mean_ns[:, None] * factor).astype(np.int64) + 1


def _draw_instance_shares(model: FleetModel, seed: int) -> NDArray[np.float64]:
    """Draw each instance's share of the traffic."""
    skew = draw(random_stream(seed, "skew"), model.traffic.courier_skew)
    shape = 1 / max(skew, 0.01) ** 2
    weights = random_stream(seed, "couriers").gamma(shape, size=model.couriers.count) + 1e-9
    shares: NDArray[np.float64] = weights / weights.sum()
    return shares


def _draw_capacities(
    model: FleetModel, seed: int, destinations: list[DestinationSpec], mean_work_ns: NDArray[np.float64]
) -> tuple[int, int]:
    """Draw how many calls an instance may have in flight, and how many messages it may hold."""
    rng = random_stream(seed, "slots")
    instances = model.couriers
    full_per_s = model.traffic.rate_per_s / model.traffic.load / instances.count
    work_s = float(np.mean(mean_work_ns) / SECOND if len(mean_work_ns) else USUAL_WORK_S)
    shares = [spec.traffic_share for spec in destinations]
    work_factor = float(np.dot(shares, [spec.work_factor for spec in destinations]))
    max_calls = round(full_per_s * work_s * work_factor * draw(rng, instances.slots))
    max_held = round(full_per_s * draw(rng, instances.hold_s))
    return max(instances.least_slots, max_calls), max(instances.least_held, max_held)


def _draw_faults(
    model: FleetModel, rng: np.random.Generator, shares: NDArray[np.float64]
) -> list[ScheduledFault]:
    """Draw the parameters of faults; outages affect destinations with some share of the traffic."""
    return [_draw_fault(model, rng, shares, fault) for fault in model.troubles]


def _draw_fault(
    model: FleetModel, rng: np.random.Generator, shares: NDArray[np.float64], fault: FaultModel
) -> ScheduledFault:
    at_s, length_s = draw(rng, fault.at_s), draw(rng, fault.length_s)
    share, magnitude = draw(rng, fault.share), draw(rng, fault.size)
    targets: list[int] = []
    if fault.kind in OUTAGE_KINDS:
        targets = _draw_affected(rng, shares, share)
    elif fault.kind in INSTANCE_KINDS:
        targets = _draw_share(rng, model.couriers.count, share)
    elif fault.kind in ENDPOINT_KINDS:
        targets = _draw_share(rng, model.partners.endpoints, share)
    return ScheduledFault(
        fault.kind,
        at_ns=int(at_s * SECOND),
        until_ns=int((at_s + length_s) * SECOND),
        magnitude=magnitude,
        targets=targets,
        batch=fault.batch,
        down_ns=int(draw(rng, fault.down_s) * SECOND),
        slow_start=fault.clear == "cold",
    )


def _draw_affected(rng: np.random.Generator, shares: NDArray[np.float64], share: float) -> list[int]:
    """Draw destinations that together have at most a share of the traffic, but at least one."""
    targets: list[int] = []
    affected_share = 0.0
    for index in rng.permutation(len(shares)).tolist():
        if not targets or affected_share + shares[index] <= share:
            targets.append(index + 1)
            affected_share += shares[index]
    return targets


def _draw_share(rng: np.random.Generator, count: int, share: float) -> list[int]:
    """Draw a share of `count` indices, but at least one."""
    chosen: list[int] = rng.permutation(count)[: max(1, round(share * count))].tolist()
    return chosen
