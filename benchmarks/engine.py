"""The simulation's event engine compared with simpy: seconds for a million events in the same chains.

python benchmarks/engine.py
"""

import time

import numpy as np
import simpy

from pinspread.simulation.engine import Engine

EVENTS, CHAINS = 1_000_000, 300


def run_engine(delays):
    """Run chains of callbacks on the simulation's engine."""
    engine, remaining = Engine(10_000), [EVENTS]
    source = iter(delays)

    def step():
        if remaining[0]:
            remaining[0] -= 1
            engine.after(next(source), step)

    for _ in range(CHAINS):
        step()
    engine.run(1 << 62)


def run_simpy(delays):
    """Run chains of processes on simpy."""
    env, source = simpy.Environment(), iter(delays)

    def chain():
        for delay in source:
            yield env.timeout(delay)

    for _ in range(CHAINS):
        env.process(chain())
    env.run()


def main():
    """Print the best of three times of each."""
    delays = np.random.default_rng(1).integers(100_000, 1_000_000_000, EVENTS + CHAINS).tolist()
    for name, run in (("engine of the simulation", run_engine), ("simpy", run_simpy)):
        times_s = []
        for _ in range(3):
            began = time.perf_counter()
            run(delays)
            times_s.append(time.perf_counter() - began)
        print(f"{name}: {min(times_s):.2f} s for {EVENTS} events")


if __name__ == "__main__":
    main()
