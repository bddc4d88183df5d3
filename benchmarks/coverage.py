"""Coverage of the intervals of a comparison: a variant is compared with itself, under other random seeds.

    python benchmarks/coverage.py [--comparisons 200] [--pairs 10]

A and B are the same version on the same days; only the seeds of the policy's random numbers differ. A 90%
interval of the difference should hold 0 in 85 to 95% of the comparisons.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor

import numpy as np

from pinspread.simulation import simulate
from pinspread.simulation.compare import compare_points, interval
from pinspread.simulation.model import FleetModel
from pinspread.simulation.random_streams import random_seed
from pinspread.simulation.results import RunResult
from pinspread.simulation.scenario import draw_scenario

MODEL = {
    "length_s": 15,
    "trouble": [{"kind": "silent", "at_s": 4, "length_s": 4}, {"kind": "restart", "at_s": 5, "length_s": 2}],
}


def pair(seed):
    """Return the results of one day with two seeds of the policy's random numbers."""
    model = FleetModel.model_validate(MODEL)
    scenario = draw_scenario(model, seed)
    return [
        without_series(simulate.Simulation(model, scenario, random_seed(seed, name)).run()) for name in "ab"
    ]


def without_series(result):
    """Return the part of a run's result that a comparison reads, without its series."""
    result = {name: value for name, value in result.items() if name not in ("series", "breaks", "troubles")}
    return result | {"latency": {}, "latency_all": {"ms": result["latency_all"]["ms"]}}


def main():
    """Print the share of intervals that hold 0."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--comparisons", type=int, default=200)
    parser.add_argument("--pairs", type=int, default=10)
    options = parser.parse_args()
    count = options.comparisons * options.pairs
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(pair, range(1000, 1000 + count), chunksize=10))
    holding_zero = decided = 0
    differences = np.array([b["service_unbroken"] - a["service_unbroken"] for a, b in results])
    for n in range(options.comparisons):
        comparison = slice(n * options.pairs, (n + 1) * options.pairs)
        _, low, high = interval(differences[comparison], seed=n)
        holding_zero += low <= 0 <= high
        a, b = ([RunResult(run) for run in side] for side in zip(*results[comparison], strict=True))
        decided += compare_points(a, b)[0] != "cannot tell"
    print(
        f"{holding_zero} of {options.comparisons} intervals hold 0"
        f" ({holding_zero / options.comparisons:.1%}); {decided} verdicts"
        f" ({decided / options.comparisons:.1%}) are better or worse;"
        f" {options.pairs} pairs each, standard deviation of a difference {differences.std():.4f}"
    )


if __name__ == "__main__":
    main()
