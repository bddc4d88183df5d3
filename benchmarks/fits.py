"""Compares models fitted to recorded logs with the true parameters of the destinations.

    python benchmarks/fits.py found/replays [--shift 0]

The folder and the shift are those of `benchmarks/replays.py`: each of its days has logs of real couriers, and all its
parameters are known. Compared are rate limits (of destinations that rejected at least three calls over the limit),
outages by destination, and latencies with the duration of a call that does not queue.
"""

import argparse
from collections import defaultdict

import numpy as np
from replays import SCENARIOS, fleet_model, scenario_folder

from pinspread.simulation import trace_recording
from pinspread.simulation.fault_injection import OUTAGE_STATES
from pinspread.simulation.fit import MIN_FAILURES
from pinspread.simulation.scenario import draw_scenario

KEY = b"a key that hides nothing"


def outages(drawn, number):
    """Return the true outages of a destination: (kind, start, end), times in seconds."""
    outage_faults = [
        fault for fault in drawn.faults if fault.kind in OUTAGE_STATES and number in fault.targets
    ]
    return [(fault.kind, fault.at_ns / 1e9, fault.until_ns / 1e9) for fault in outage_faults]


def compare(drawn, recorded, differences, near_s):
    """Add one day's differences to `differences`; an outage is found if both its start and end are within `near_s`."""
    shift = float(np.median(np.array(recorded.arrivals.at_us) / 1e6) - np.median(drawn.arrival_ns / 1e9))
    specs = {spec.number: spec for spec in drawn.destinations}
    for fit in recorded.fits:
        spec = specs[fit.destination]
        if spec.limit_window_ns and fit.rejected >= MIN_FAILURES:
            true = spec.limit_calls / (spec.limit_window_ns / 1e9)
            if fit.limit.per_s:
                differences["limit"].append(fit.limit.per_s / true - 1)
            else:
                differences["limit missed"].append(true)
        elif not spec.limit_window_ns and fit.limit.per_s:
            differences["limit fitted without a true one"].append(fit.limit.per_s)
        rows = np.flatnonzero(drawn.destination == spec.number)
        if fit.latency.distance is not None:
            unqueued_ms = (
                drawn.work_ns[rows, 0].mean() * spec.work_factor / 1e6
                + 2 * drawn.delay_ns[spec.number - 1] / 1e6
            )
            differences["latency"].append(fit.latency.mean_ms / unqueued_ms - 1)
            differences["holds " + fit.latency.quality].append(1)
        fitted = [(o.kind, o.from_us / 1e6 - shift, o.until_us / 1e6 - shift) for o in fit.outages]
        for kind, low, high in outages(drawn, spec.number):
            near = [f for f in fitted if abs(f[1] - low) < near_s and abs(f[2] - high) < near_s]
            calls = ((drawn.arrival_ns[rows] / 1e9 > low) & (drawn.arrival_ns[rows] / 1e9 < high)).sum()
            if near:
                fitted.remove(near[0])
                differences[f"{kind}: found"].append(near[0][0] == kind)
                differences["edges"] += [abs(near[0][1] - low), abs(near[0][2] - high)]
            else:
                differences[
                    f"{kind}: missed" + (" (under three messages)" if calls < MIN_FAILURES else "")
                ].append(calls)
        differences["outages fitted without a true one"] += fitted


def main():
    """Compare all days of a folder, and print the differences."""
    parser = argparse.ArgumentParser()
    parser.add_argument("folder")
    parser.add_argument("--shift", type=int, default=0)
    parser.add_argument(
        "--near", type=float, default=1.5, help="tolerance for the start and end of an outage, in seconds"
    )
    arguments = parser.parse_args()
    differences, days = defaultdict(list), 0
    for name, tables, seed in SCENARIOS:
        files = sorted(scenario_folder(arguments.folder, name).glob("play-*/*.log"))
        if not files:
            continue
        days += 1
        drawn = draw_scenario(fleet_model((name, tables, seed)), seed + arguments.shift)
        logs = [(file.name, file.read_bytes().splitlines()) for file in files]
        compare(drawn, trace_recording.record_trace(logs, KEY), differences, arguments.near)
    print(f"{days} days")
    for name in sorted(differences):
        values = differences[name]
        if name in ("limit", "latency", "edges"):
            low, middle, high = np.quantile(values, (0.05, 0.5, 0.95))
            print(f"{name}: {len(values)}, middle {middle:+.2f}, 5% to 95% {low:+.2f} to {high:+.2f}")
        elif name.endswith(": found"):
            print(f"{name} {len(values)}, of these {sum(values)} of the right kind")
        else:
            print(f"{name}: {len(values)}")


if __name__ == "__main__":
    main()
