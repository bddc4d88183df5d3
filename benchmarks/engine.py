"""The model's heap beside simpy: the same chains of timed events, seconds for a million.

python benchmarks/engine.py
"""

import time

import numpy as np
import simpy

from pinspread.simulation.engine import Engine

EVENTS, CHAINS = 1_000_000, 300


def own(delays):
    """Chains of callbacks on the model's engine."""
    engine, left = Engine(10_000), [EVENTS]
    source = iter(delays)

    def step():
        if left[0]:
            left[0] -= 1
            engine.after(next(source), step)

    for _ in range(CHAINS):
        step()
    engine.run(1 << 62)


def with_simpy(delays):
    """Chains of processes on simpy."""
    env, source = simpy.Environment(), iter(delays)

    def chain():
        for delay in source:
            yield env.timeout(delay)

    for _ in range(CHAINS):
        env.process(chain())
    env.run()


def main():
    """Best of three of each."""
    delays = np.random.default_rng(1).integers(100_000, 1_000_000_000, EVENTS + CHAINS).tolist()
    for name, run in (("heap of the model", own), ("simpy", with_simpy)):
        took = []
        for _ in range(3):
            began = time.perf_counter()
            run(delays)
            took.append(time.perf_counter() - began)
        print(f"{name}: {min(took):.2f} s for {EVENTS} events")


if __name__ == "__main__":
    main()
