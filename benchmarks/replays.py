"""Compares runs on loopback with the model: is the measured service inside the model's 90% interval?

    python benchmarks/replays.py found/replays [--models 40] [--side 3] [--shift 0]

Each scenario is a model and a seed. The model simulates that day with many seeds of the policy's random numbers; the
interval is the 5% to 95% quantile of their service. On loopback it is run once, with real couriers.
"""

import argparse
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path

import numpy as np
import orjson

from pinspread.simulation import simulate
from pinspread.simulation.model import FleetModel
from pinspread.simulation.random_streams import random_stream
from pinspread.simulation.scenario import draw_scenario

# On loopback the day begins when all couriers are ready.
BASE = {"length_s": 20.0, "network": {"silent_accepts": True}, "couriers": {"start_spread_s": 0.0}}
# Delay from a message's time to its entry in the courier's log: minimum, and mean of an exponential part. Of 673
# messages in a run, 5% were under 1.0 ms, half under 1.7 ms and 5% over 2.7 ms; messages close together may swap places.
SUBMIT_DELAY_MS = 0.9, 0.9
SCENARIOS = [
    ("calm", {"traffic": {"load": 0.45}}, 101),
    ("usual load", {}, 102),
    ("clumps", {"traffic": {"clump_share": 0.3}}, 103),
    ("outage, refusing connections", {"trouble": [{"kind": "crash", "at_s": 5, "length_s": 6}]}, 104),
    ("outage, silent", {"trouble": [{"kind": "silent", "at_s": 5, "length_s": 6}]}, 105),
    ("fast errors", {"trouble": [{"kind": "errors", "at_s": 5, "length_s": 6, "size": 0.8}]}, 106),
    ("shut", {"trouble": [{"kind": "shut", "at_s": 5, "length_s": 6}]}, 107),
    ("mass restart", {"trouble": [{"kind": "kill", "at_s": 6, "length_s": 4, "share": 0.9, "batch": 0.3}]}, 108),
    ("silence during a mass restart", {"trouble": [
        {"kind": "silent", "at_s": 5, "length_s": 7},
        {"kind": "kill", "at_s": 6, "length_s": 4, "share": 0.9, "batch": 0.3}]}, 109),
    ("overload", {"traffic": {"load": 1.15}}, 110),
    ("overload and clumps", {"traffic": {"load": 1.1, "clump_share": 0.18}}, 111),
    ("burst", {"trouble": [{"kind": "burst", "at_s": 6, "length_s": 5, "size": 2.0}]}, 112),
]  # fmt: skip


def fleet_model(scenario):
    """Return the scenario's model; its tables replace those of `BASE`."""
    return FleetModel.model_validate(BASE | scenario[1])


def simulate_service(scenario, seed):
    """Return the service of one simulated run; the seed draws the policy's choices, jitter, start times and clients' timing."""
    fleet = fleet_model(scenario)
    drawn = draw_scenario(fleet, scenario[2])
    rng = random_stream(seed, "replay")
    drawn.attempt_draws[:, :, :2] = rng.random(drawn.attempt_draws.shape[:2] + (2,))
    drawn.start_draws = rng.random(drawn.start_draws.shape)
    delay_ms = SUBMIT_DELAY_MS[0] + rng.exponential(SUBMIT_DELAY_MS[1], len(drawn.arrival_ns))
    drawn.submit_delay_ns = (delay_ms * 1e6).astype(np.int64)
    return simulate.Simulation(fleet, drawn, seed).run()["service_unbroken"]


def scenario_folder(folder, name):
    """Return the folder of a scenario's run on loopback."""
    return Path(folder) / name.replace(" ", "-").replace(",", "")


def loopback(scenario, folder, shift):
    """Run a scenario on loopback in a separate process, and return its measurements."""
    run_folder = scenario_folder(folder, scenario[0])
    call = [sys.executable, __file__, str(run_folder), "--one", scenario[0], "--shift", str(shift)]
    completed = subprocess.run(call, capture_output=True, text=True, timeout=180)
    if completed.returncode:
        return {"error": completed.stderr.strip().splitlines()[-1] if completed.stderr else "no output"}
    return orjson.loads((run_folder / "accounts.json").read_bytes())


def main():
    """Run all scenarios on loopback and in the model; print the table and write it to a file."""
    parser = argparse.ArgumentParser()
    parser.add_argument("folder")
    parser.add_argument("--models", type=int, default=40)
    parser.add_argument("--side", type=int, default=3)
    parser.add_argument("--one", default="")
    parser.add_argument("--shift", type=int, default=0, help="added to the seeds, to draw other days")
    chosen = parser.parse_args()
    SCENARIOS[:] = [(name, tables, seed + chosen.shift) for name, tables, seed in SCENARIOS]
    folder = Path(chosen.folder)
    if chosen.one:
        from pinspread.testbed import platform

        scenario = next(s for s in SCENARIOS if s[0] == chosen.one)
        measured = platform.play(
            fleet_model(scenario), draw_scenario(fleet_model(scenario), scenario[2]), folder
        )
        (folder / "accounts.json").write_bytes(orjson.dumps(measured))
        return
    folder.mkdir(parents=True, exist_ok=True)
    with ThreadPoolExecutor(chosen.side) as pool:
        played = list(pool.map(lambda s: loopback(s, folder, chosen.shift), SCENARIOS))
    with ProcessPoolExecutor() as pool:
        jobs = [(s, n) for s in SCENARIOS for n in range(1, chosen.models + 1)]
        services = list(pool.map(simulate_service, *zip(*jobs, strict=True), chunksize=4))
    lines = [
        "| replay | loopback | model, 5% to 95% | inside | rules broken, lost |",
        "| --- | ---: | ---: | --- | --- |",
    ]
    inside = 0
    for n, (scenario, result) in enumerate(zip(SCENARIOS, played, strict=True)):
        low, high = np.quantile(services[n * chosen.models : (n + 1) * chosen.models], (0.05, 0.95))
        if "error" in result:
            lines.append(
                f"| {scenario[0]} | failed: {result['error'][:80]} | {low:.4f} to {high:.4f} | no | |"
            )
            continue
        value = result["service_unbroken"]
        is_inside = low <= value <= high
        inside += is_inside
        lines.append(
            f"| {scenario[0]} | {value:.4f} | {low:.4f} to {high:.4f} | {'yes' if is_inside else 'no'} |"
            f" {result['broken'] or 'none'}, {result['lost']} |"
        )
    lines.append(f"\n{inside} of {len(SCENARIOS)} inside.")
    text = "\n".join(lines)
    (folder / "replays.md").write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main()
