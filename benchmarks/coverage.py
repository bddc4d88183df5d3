"""Are the intervals honest? Comparisons of a variant with itself, on other chance of the module's own.

    python benchmarks/coverage.py [--comparisons 200] [--pairs 10]

A and B are the same version on the same days; only the seeds of the module's chance differ. A 90% interval
of the difference should hold 0 in 85 to 95% of the comparisons.
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

WORLD = {
    "length_s": 15,
    "trouble": [{"kind": "silent", "at_s": 4, "length_s": 4}, {"kind": "restart", "at_s": 5, "length_s": 2}],
}


def pair(seed):
    """The accounts of one day with two seeds of the module's chance."""
    world = FleetModel.model_validate(WORLD)
    drawn = draw_scenario(world, seed)
    return [brief(simulate.Simulation(world, drawn, random_seed(seed, name)).run()) for name in "ab"]


def brief(found):
    """What a comparison reads of a run, without its series."""
    found = {name: value for name, value in found.items() if name not in ("series", "breaks", "troubles")}
    return found | {"latency": {}, "latency_all": {"ms": found["latency_all"]["ms"]}}


def main():
    """Print the share of intervals that hold 0."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--comparisons", type=int, default=200)
    parser.add_argument("--pairs", type=int, default=10)
    chosen = parser.parse_args()
    count = chosen.comparisons * chosen.pairs
    with ProcessPoolExecutor() as pool:
        found = list(pool.map(pair, range(1000, 1000 + count), chunksize=10))
    held = told = 0
    differences = np.array([b["service_unbroken"] - a["service_unbroken"] for a, b in found])
    for n in range(chosen.comparisons):
        mine = slice(n * chosen.pairs, (n + 1) * chosen.pairs)
        _, low, high = interval(differences[mine], seed=n)
        held += low <= 0 <= high
        a, b = ([RunResult(run) for run in side] for side in zip(*found[mine], strict=True))
        told += compare_points(a, b)[0] != "cannot tell"
    print(
        f"{held} of {chosen.comparisons} intervals hold 0 ({held / chosen.comparisons:.1%}); {told} verdicts"
        f" ({told / chosen.comparisons:.1%}) are better or worse; {chosen.pairs} pairs each, standard deviation"
        f" of a difference {differences.std():.4f}"
    )


if __name__ == "__main__":
    main()
