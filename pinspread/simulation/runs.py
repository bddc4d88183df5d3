"""Running an experiment over all cores: resumable, and the same bytes whatever the number of processes."""

import hashlib
import multiprocessing
import os
import platform
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from importlib.metadata import version
from pathlib import Path

import orjson
from tqdm import tqdm

from pinspread.simulation import paper, variants
from pinspread.simulation.experiment import Experiment, canonical

FORMAT = 1
LIBRARIES = ("numpy", "scipy", "hdrhistogram", "orjson", "pydantic")


def one(point: dict, seed: int) -> dict:
    """One run, in this process: the accounts of a point and a seed."""
    from pinspread.simulation import scenario as scenarios
    from pinspread.simulation import simulate, trace
    from pinspread.simulation.engine import SimulationStalledError
    from pinspread.simulation.model import FleetModel
    from pinspread.simulation.random_streams import random_seed

    model = FleetModel.model_validate(point["world"])
    scenario = (
        trace.replay(point["trace"], model, seed) if point["trace"] else scenarios.draw_scenario(model, seed)
    )
    module_seed = random_seed(seed, "variant", point["module_seed"]) if point["module_seed"] else seed
    with variants.Constants(point["constants"]):
        try:
            return simulate.Simulation(model, scenario, module_seed, point["settings"]).run()
        except SimulationStalledError as error:
            # A module that spins serves nobody: the run counts, as a run that broke.
            return {"service": 0.0, "service_unbroken": 0.0, "broken": {"stuck": 1}, "stuck": str(error)}


def _worker(texts):
    variants.install(texts)


def key_of(point: dict, seed: int) -> str:
    """What a finished run is found by: a hash of all that it depends on."""
    plain = {
        name: value for name, value in point.items() if name not in ("texts", "variant", "value", "trace")
    }
    model = hashlib.sha256()
    for file in sorted(Path(__file__).parent.glob("*.py")):
        model.update(file.read_bytes())
    return hashlib.sha256(canonical([FORMAT, plain, seed, model.hexdigest()])).hexdigest()[:24]


def run(experiment: Experiment, out: str, processes: int = 0, quiet: bool = False) -> dict:
    """Run what has not been run yet and write result.json and manifest.json; gives the result."""
    folder = Path(out)
    (folder / "runs").mkdir(parents=True, exist_ok=True)
    began = time.time()
    if experiment.kind == "paper":
        result = {"format": FORMAT, "experiment": experiment.name, "kind": "paper",
                  "paper": paper.run(experiment.file.paper, experiment.seeds)}  # fmt: skip
        done = 0
    else:
        wanted, files = [], {}
        for n, point in enumerate(experiment.points):
            for seed in experiment.seeds:
                file = files[n, seed] = folder / "runs" / f"{key_of(point, seed)}.json"
                if _finished(file) is None:
                    wanted.append((n, seed))
        done = len(wanted)
        _run_all(experiment, wanted, files, processes or os.cpu_count(), quiet)
        result = {
            "format": FORMAT,
            "experiment": experiment.name,
            "kind": "days",
            "about": experiment.file.experiment.about,
            "seeds": experiment.seeds,
            "points": [
                {
                    name: point[name]
                    for name in (
                        "variant",
                        "value",
                        "settings",
                        "constants",
                        "module",
                        "world",
                        "module_seed",
                    )
                }
                | {"runs": [_finished(files[n, seed]) for seed in experiment.seeds]}
                for n, point in enumerate(experiment.points)
            ],
        }
    text = canonical(result)
    _write(folder / "result.json", text)
    manifest = {
        "format": FORMAT,
        "experiment": experiment.name,
        "result_sha256": hashlib.sha256(text).hexdigest(),
        "settings_sha256": hashlib.sha256(
            canonical(experiment.file.model_dump(mode="json", by_alias=True))
        ).hexdigest(),
        "seeds": experiment.seeds,
        "modules": sorted({p["module"] for p in experiment.points}),
        "versions": {name: version(name) for name in LIBRARIES} | {"python": platform.python_version()},
        "runs_done_now": done,
        "took_s": round(time.time() - began, 2),
    }
    _write(folder / "manifest.json", orjson.dumps(manifest, option=orjson.OPT_INDENT_2))
    return result


def _run_all(experiment, wanted, files, processes, quiet):
    by_module = {}
    for n, seed in wanted:
        by_module.setdefault(experiment.points[n]["module"], []).append((n, seed))
    with tqdm(total=len(wanted), disable=quiet or not wanted, unit="run") as bar:
        for jobs in by_module.values():
            texts = experiment.points[jobs[0][0]]["texts"]
            if processes == 1 and texts is None:
                for n, seed in jobs:
                    _write(files[n, seed], canonical(one(experiment.points[n], seed)))
                    bar.update()
                continue
            spawn = multiprocessing.get_context("spawn")  # nothing of this process is loaded there yet
            count = min(processes, len(jobs))
            with ProcessPoolExecutor(count, mp_context=spawn, initializer=_worker, initargs=(texts,)) as pool:
                out = {
                    pool.submit(one, experiment.points[n] | {"texts": None}, seed): files[n, seed]
                    for n, seed in jobs
                }
                try:
                    for future in as_completed(out):
                        _write(out[future], canonical(future.result()))
                        bar.update()
                except (KeyboardInterrupt, BrokenProcessPool):
                    pool.shutdown(wait=False, cancel_futures=True)
                    raise


def _finished(file):
    """A run's accounts, or none where it has not finished (or its file was cut)."""
    try:
        return orjson.loads(file.read_bytes())
    except (OSError, orjson.JSONDecodeError):
        return None


def _write(file, data):
    """Whole or not at all."""
    part = file.with_name(file.name + ".part")
    part.write_bytes(data)
    part.replace(file)
