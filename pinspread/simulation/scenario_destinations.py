"""Draws the destinations of a scenario."""

import numpy as np

from pinspread.simulation.distributions import draw, normalized
from pinspread.simulation.engine import SECOND
from pinspread.simulation.model import FleetModel
from pinspread.simulation.scenario_types import DestinationSpec

# Large destinations are more frequent among busy ones: factors of their share in the busiest third of the
# destinations, and in the others.
BUSY_LARGE_FACTOR, OTHER_LARGE_FACTOR = 1.8, 0.6
LIMIT_HEADROOM = 1.25  # minimum ratio of a large destination's capacity to its rate limit


def draw_destinations(model: FleetModel, rng: np.random.Generator) -> list[DestinationSpec]:
    """Draw destinations until all endpoints are assigned; busier ones have more endpoints."""
    counts = _endpoint_counts(model, rng)
    ranks = np.arange(1, len(counts) + 1, dtype=float)
    shares = normalized(ranks ** -draw(rng, model.traffic.zipf))
    rejections_count = bool(rng.random() < model.partners.refused_count)
    specs = []
    for number, (count, share) in enumerate(zip(counts, shares, strict=True), 1):
        factor = BUSY_LARGE_FACTOR if number <= len(counts) / 3 else OTHER_LARGE_FACTOR
        large = bool(rng.random() < model.partners.big_share * factor)
        spec = _draw_destination(model, rng, number, count, (float(share), large))
        if large:
            spec.rejections_count = rejections_count
        specs.append(spec)
    return specs


def _endpoint_counts(model: FleetModel, rng: np.random.Generator) -> list[int]:
    """Draw the number of endpoints of each destination, in descending order."""
    parameters = model.partners
    min_count, max_count = parameters.per_partner
    counts: list[int] = []
    remaining = parameters.endpoints
    while remaining:
        extra = min(rng.poisson(max(0.0, parameters.mean_per_partner - min_count)), max_count - 1)
        counts.append(min(remaining, int(min_count + extra)))
        remaining -= counts[-1]
    counts.sort(reverse=True)
    return counts


def _draw_destination(
    model: FleetModel, rng: np.random.Generator, number: int, endpoints: int, kind: tuple[float, bool]
) -> DestinationSpec:
    """Draw one destination of a `kind`: (share of the traffic, whether it is large)."""
    parameters = model.partners
    share, large = kind
    work_factor = draw(rng, parameters.pace)
    # Calls per second at full load.
    full_per_s = model.traffic.rate_per_s / model.traffic.load * share
    needed_per_s = max(full_per_s * draw(rng, parameters.headroom), draw(rng, parameters.least_per_s))
    limit_per_s = max(full_per_s * draw(rng, parameters.big_headroom), draw(rng, parameters.big_least_per_s))
    target_per_s = max(needed_per_s, LIMIT_HEADROOM * limit_per_s) if large else needed_per_s
    work_s = sum(traffic_class.share * sum(traffic_class.work_ms) / 2000 for traffic_class in model.classes)
    least_cores = parameters.least_cores if endpoints == 1 else 1
    cores = max(1, least_cores, round(target_per_s * work_s * work_factor / endpoints))
    capacity_per_s = cores * endpoints / (work_s * work_factor)
    queue = max(2, round(parameters.queue_s * capacity_per_s / endpoints))
    spec = DestinationSpec(
        number,
        share,
        large,
        work_factor,
        cores=[cores] * endpoints,
        queue_limits=[queue] * endpoints,
        connection_limits=[0] * endpoints,
        capacity_per_s=capacity_per_s,
    )
    if large:
        window_s = draw(rng, parameters.big_span_s)
        spec.limit_window_ns = int(window_s * SECOND)
        spec.limit_calls = max(1, round(limit_per_s * window_s))
        spec.capacity_per_s = min(capacity_per_s, spec.limit_calls / window_s)
        spec.retry_after_share = draw(rng, parameters.big_tells)
    else:
        spec.retry_after_share = draw(rng, parameters.small_tells)
        connections = max(draw(rng, parameters.least_table), cores * draw(rng, parameters.table))
        spec.connection_limits = [round(connections)] * endpoints
    spec.weight = spec.capacity_per_s * float(rng.uniform(1 - parameters.weights, 1 + parameters.weights))
    return spec
