"""Speed, memory and the most expensive functions of the simulation, at growing sizes of the fleet.

    python benchmarks/scale.py [--largest] [--profile]

Each size runs in a process of its own. Without `--largest` the largest size (1,000 couriers x 10,000
endpoints) is left out. A size that takes more than 150 s is stopped and reported as not done.
"""

import argparse
import cProfile
import pstats
import resource
import subprocess
import sys
import time

from pinspread.simulation import simulate
from pinspread.simulation.model import FleetModel
from pinspread.simulation.scenario import DestinationSpec, draw_scenario

SIZES = {  # couriers, endpoints, simulated seconds
    "3x25": (3, 25, 55.0),
    "30x250": (30, 250, 20.0),
    "300x2500": (300, 2500, 2.0),
    "1000x10000": (1000, 10_000, 1.5),
    "3x25+2475 idle": (3, 25, 55.0),
}


def run_size(name, profile):
    """Run one size and print its row."""
    couriers, endpoints, length = SIZES[name]
    rate = 31.0 * endpoints / 25
    model = FleetModel.model_validate(
        {"length_s": length, "traffic": {"rate_per_s": rate}, "couriers": {"count": couriers, "start_spread_s": 0.1},
         "partners": {"endpoints": endpoints}}
    )  # fmt: skip
    scenario = draw_scenario(model, 1)
    if "idle" in name:
        add_idle_destinations(scenario, int(name.split("+")[1].split()[0]))
    fleet = simulate.Simulation(model, scenario)
    profiler = cProfile.Profile() if profile else None
    began = time.perf_counter()
    if profiler:
        profiler.enable()
    result = fleet.run()
    took = time.perf_counter() - began
    mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    messages = max(1, result["messages"])
    print(
        f"| {name} | {messages} | {length:g} | {took:.2f} | {length / took:.3g} | {took / messages * 1e3:.3f} | {mb:.0f} |",
        flush=True,
    )
    if profiler:
        profiler.disable()
        stats = pstats.Stats(profiler)
        rows = sorted(stats.stats.items(), key=lambda item: -item[1][2])[:3]
        for (file, line, function), (_, calls, own_s, _, _) in rows:
            print(
                f"    {function} ({file.rsplit('/', 1)[-1]}:{line}): {own_s / took:.0%} of the time, {calls} calls"
            )


def add_idle_destinations(scenario, count):
    """Add destinations of one endpoint and no messages, which should not raise the cost per message."""
    first = len(scenario.destinations)
    import numpy as np

    for n in range(count):
        scenario.destinations.append(
            DestinationSpec(first + n + 1, 0.0, False, 1.0, [2], [4], [0], 10.0, weight=10.0)
        )
    scenario.delay_ns = np.concatenate([scenario.delay_ns, np.full(count, 10e6)])


def main():
    """Run all sizes, each in a process of its own, or the size of this process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--largest", action="store_true")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--one", default="")
    options = parser.parse_args()
    if options.one:
        run_size(options.one, options.profile)
        return
    print("| size | messages | simulated s | took s | simulated s a second | ms a message | peak MB |")
    print("| --- | ---: | ---: | ---: | ---: | ---: | ---: |", flush=True)
    for name in SIZES:
        if name.startswith("1000") and not options.largest:
            continue
        call = [sys.executable, __file__, "--one", name] + (["--profile"] if options.profile else [])
        try:
            subprocess.run(call, timeout=150)
        except subprocess.TimeoutExpired:
            print(f"| {name} | not done within 150 s | | | | | |", flush=True)


if __name__ == "__main__":
    main()
