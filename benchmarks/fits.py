"""Fits against the truth: what recorded logs say of partners whose figures are known.

    python benchmarks/fits.py found/replays [--shift 0]

The folder and the shift are those of `benchmarks/replays.py`: each of its days has logs of real couriers and is
known to the last figure. Counted: limits (a partner is asked about if it refused for its limit at least three
times), outages by partner, and latencies against the time of a call that waits for nobody.
"""

import argparse
from collections import defaultdict

import numpy as np
from replays import SCENARIOS, place_of, world

from pinspread.simulation import trace_recording
from pinspread.simulation.fault_injection import OUTAGE_STATES
from pinspread.simulation.fit import MIN_FAILURES
from pinspread.simulation.scenario import draw_scenario

KEY = b"a key that hides nothing"


def outages(drawn, number):
    """The true outages of a partner: (kind, from, until), in seconds."""
    struck = [t for t in drawn.faults if t.kind in OUTAGE_STATES and number in t.targets]
    return [(t.kind, t.at_ns / 1e9, t.until_ns / 1e9) for t in struck]


def compare(drawn, recorded, seen, near_s):
    """Add one day's differences to `seen`; an outage is found if both its edges are within `near_s`."""
    shift = float(np.median(np.array(recorded.arrivals.at_us) / 1e6) - np.median(drawn.arrival_ns / 1e9))
    specs = {spec.number: spec for spec in drawn.destinations}
    for fit in recorded.fits:
        spec = specs[fit.destination]
        if spec.limit_window_ns and fit.rejected >= MIN_FAILURES:
            true = spec.limit_calls / (spec.limit_window_ns / 1e9)
            if fit.limit.per_s:
                seen["limit"].append(fit.limit.per_s / true - 1)
            else:
                seen["limit missed"].append(true)
        elif not spec.limit_window_ns and fit.limit.per_s:
            seen["limit made up"].append(fit.limit.per_s)
        rows = np.flatnonzero(drawn.destination == spec.number)
        if fit.latency.distance is not None:
            alone = (
                drawn.work_ns[rows, 0].mean() * spec.work_factor / 1e6
                + 2 * drawn.delay_ns[spec.number - 1] / 1e6
            )
            seen["latency"].append(fit.latency.mean_ms / alone - 1)
            seen["holds " + fit.latency.quality].append(1)
        found = [(o.kind, o.from_us / 1e6 - shift, o.until_us / 1e6 - shift) for o in fit.outages]
        for kind, low, high in outages(drawn, spec.number):
            near = [f for f in found if abs(f[1] - low) < near_s and abs(f[2] - high) < near_s]
            calls = ((drawn.arrival_ns[rows] / 1e9 > low) & (drawn.arrival_ns[rows] / 1e9 < high)).sum()
            if near:
                found.remove(near[0])
                seen[f"{kind}: found"].append(near[0][0] == kind)
                seen["edges"] += [abs(near[0][1] - low), abs(near[0][2] - high)]
            else:
                seen[f"{kind}: missed" + (" (under three messages)" if calls < MIN_FAILURES else "")].append(
                    calls
                )
        seen["outages made up"] += found


def main():
    """Compare all days of a folder; print what was seen."""
    parser = argparse.ArgumentParser()
    parser.add_argument("folder")
    parser.add_argument("--shift", type=int, default=0)
    parser.add_argument("--near", type=float, default=1.5, help="seconds by which an edge may be off")
    chosen = parser.parse_args()
    seen, days = defaultdict(list), 0
    for name, tables, seed in SCENARIOS:
        files = sorted(place_of(chosen.folder, name).glob("play-*/*.log"))
        if not files:
            continue
        days += 1
        drawn = draw_scenario(world((name, tables, seed)), seed + chosen.shift)
        logs = [(file.name, file.read_bytes().splitlines()) for file in files]
        compare(drawn, trace_recording.record_trace(logs, KEY), seen, chosen.near)
    print(f"{days} days")
    for name in sorted(seen):
        values = seen[name]
        if name in ("limit", "latency", "edges"):
            low, mid, high = np.quantile(values, (0.05, 0.5, 0.95))
            print(f"{name}: {len(values)}, middle {mid:+.2f}, 5% to 95% {low:+.2f} to {high:+.2f}")
        elif name.endswith(": found"):
            print(f"{name} {len(values)}, of these {sum(values)} of the right kind")
        else:
            print(f"{name}: {len(values)}")


if __name__ == "__main__":
    main()
