"""Runs an experiment on all cores: resumable, and byte-identical results for any number of processes."""

import hashlib
import multiprocessing
import os
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson
from tqdm import tqdm

from pinspread.simulation import variants
from pinspread.simulation.experiment import Experiment, ExperimentPoint
from pinspread.simulation.result_files import (
    FORMAT,
    canonical_json,
    days_result,
    manifest,
    paper_result,
    written_model,
)


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """A point, a seed, and the file that holds the measurements after the run."""

    point: ExperimentPoint
    seed: int
    file: Path

    def measurements(self) -> dict[str, Any] | None:
        """Return the measurements; None if the run has not finished or its file is truncated."""
        try:
            measured: dict[str, Any] = orjson.loads(self.file.read_bytes())
        except (OSError, orjson.JSONDecodeError):
            return None
        return measured


def run_point(point: ExperimentPoint, seed: int) -> dict[str, Any]:
    """Run a point with one seed in this process, and return its measurements."""
    # Imported here: a version of the policy has to be installed before the simulation is imported.
    from pinspread.simulation import scenario as scenarios
    from pinspread.simulation import simulate, trace_replay
    from pinspread.simulation.engine import SimulationStalledError
    from pinspread.simulation.random_streams import random_seed

    if point.trace:
        scenario = trace_replay.replay_trace(point.trace, point.model, seed)
    else:
        scenario = scenarios.draw_scenario(point.model, seed)
    policy_seed = random_seed(seed, "variant", point.policy_seed) if point.policy_seed else seed
    with variants.ConstantOverrides(point.constants):
        try:
            simulation = simulate.Simulation(point.model, scenario, policy_seed, point.settings)
            return simulation.run()
        except SimulationStalledError as error:
            # A policy that always sets a timer due at once delivers nothing: the run counts as one that broke
            # a rule.
            return {"service": 0.0, "service_unbroken": 0.0, "broken": {"stuck": 1}, "stuck": str(error)}


def run_key(point: ExperimentPoint, seed: int) -> str:
    """Return a hash of everything that a run depends on; results of finished runs are found by it."""
    depends_on = {
        "world": written_model(point),
        "settings": point.settings,
        "constants": point.constants,
        "module": point.policy_digest,
        "module_seed": point.policy_seed,
        "trace_sha256": point.trace_sha256,
    }
    code = hashlib.sha256()
    for file in sorted(Path(__file__).parent.glob("*.py")):
        code.update(file.read_bytes())
    return hashlib.sha256(canonical_json([FORMAT, depends_on, seed, code.hexdigest()])).hexdigest()[:24]


def run_experiment(
    experiment: Experiment, folder: str, processes: int = 0, quiet: bool = False
) -> dict[str, Any]:
    """Run what has no stored result yet, and write result.json and manifest.json.

    Args:
        experiment: The experiment to run.
        folder: The folder for results; runs whose results it already holds are not repeated.
        processes: Number of processes; 0 for one per core.
        quiet: Whether to hide the progress bar.

    Returns:
        The content of result.json.
    """
    path = Path(folder)
    (path / "runs").mkdir(parents=True, exist_ok=True)
    began = time.time()
    if experiment.kind == "paper":
        result = paper_result(experiment)
        runs_done = 0
    else:
        planned = _plan(experiment, path / "runs")
        missing = [run for run in planned if run.measurements() is None]
        runs_done = len(missing)
        _run_all(missing, processes or os.cpu_count() or 1, quiet)
        result = days_result(experiment, [run.measurements() for run in planned])
    _write_atomically(path / "result.json", canonical_json(result))
    document = manifest(experiment, result, runs_done, time.time() - began)
    _write_atomically(path / "manifest.json", orjson.dumps(document, option=orjson.OPT_INDENT_2))
    return result


def _write_atomically(file: Path, data: bytes) -> None:
    """Write a file completely or not at all."""
    part = file.with_name(file.name + ".part")
    part.write_bytes(data)
    part.replace(file)


# --- processes ------------------------------------------------------------------------------------


def _plan(experiment: Experiment, folder: Path) -> list[PlannedRun]:
    """Return all runs, ordered by point and then by seed."""
    return [
        PlannedRun(point, seed, folder / f"{run_key(point, seed)}.json")
        for point in experiment.points
        for seed in experiment.seeds
    ]


def _run_all(missing: list[PlannedRun], processes: int, quiet: bool) -> None:
    """Run the missing runs; those with the same version of the policy share a process pool."""
    by_version: dict[str, list[PlannedRun]] = {}
    for run in missing:
        by_version.setdefault(run.point.policy_digest, []).append(run)
    with tqdm(total=len(missing), disable=quiet or not missing, unit="run") as bar:
        for runs in by_version.values():
            if processes == 1 and runs[0].point.policy_sources is None:
                _run_here(runs, bar)
            else:
                _run_in_pool(runs, min(processes, len(runs)), bar)


def _run_here(runs: list[PlannedRun], bar: tqdm) -> None:
    for run in runs:
        _write_atomically(run.file, canonical_json(run_point(run.point, run.seed)))
        bar.update()


def _run_in_pool(runs: list[PlannedRun], processes: int, bar: tqdm) -> None:
    """Run the runs of one version of the policy in processes of their own."""
    spawn = multiprocessing.get_context("spawn")  # a new process has not imported any version of the policy
    sources = runs[0].point.policy_sources
    with ProcessPoolExecutor(
        processes, mp_context=spawn, initializer=variants.install_sources, initargs=(sources,)
    ) as pool:
        # The initializer has installed the sources, so they are not sent again with each run.
        files = {}
        for run in runs:
            point = replace(run.point, policy_sources=None)
            files[pool.submit(run_point, point, run.seed)] = run.file
        try:
            for future in as_completed(files):
                _write_atomically(files[future], canonical_json(future.result()))
                bar.update()
        except (KeyboardInterrupt, BrokenProcessPool):
            pool.shutdown(wait=False, cancel_futures=True)
            raise
