"""One destination under fleets of several sizes: `python benchmarks/many.py [DAYS]`.

Prints a row per size, with means over as many runs of different seeds as DAYS says.
"""

import sys

from pinspread.simulation.load import OK, OVERLOADED, burst, lowered_limit


def main(days):
    """Print outcomes of calls under a lowered limit, and messages delivered in a burst at one sender."""
    print("senders  served 13-19 s  22-30 s  refused  burst: others  the one sender")
    for senders in (3, 12, 40, 120):
        rows = []
        for seed in range(1, days + 1):
            destination, (first, *others) = lowered_limit(senders, seed=seed), burst(senders, seed=seed)
            spans = (13, 19, OK), (22, 30, OK), (0, 42, OVERLOADED)
            rows.append([*(destination.between(*span) for span in spans), sum(others), first])
        print(f"{senders:7}" + "".join(f"{sum(column) / days:12.1f}" for column in zip(*rows, strict=True)))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
