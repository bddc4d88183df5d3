"""Content and encoding of the result files of experiments: result.json and manifest.json."""

import hashlib
import platform
from collections.abc import Mapping, Sequence
from importlib.metadata import version
from typing import Any

import orjson

from pinspread.simulation import paper
from pinspread.simulation.experiment import Experiment, ExperimentPoint

FORMAT = 1
LIBRARIES = ("numpy", "scipy", "hdrhistogram", "orjson", "pydantic")


def canonical_json(value: Any) -> bytes:
    """Encode a value with sorted keys and without spaces, so that equal results give equal bytes."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS | orjson.OPT_SERIALIZE_NUMPY)


def paper_result(experiment: Experiment) -> dict[str, Any]:
    """Return the content of result.json for an experiment of kind `paper`."""
    return {
        "format": FORMAT,
        "experiment": experiment.name,
        "kind": "paper",
        "paper": paper.recompute_figures(experiment.file.paper, experiment.seeds),
    }


def days_result(experiment: Experiment, runs: Sequence[Mapping[str, Any] | None]) -> dict[str, Any]:
    """Return the content of result.json for an experiment of kind `days`.

    Args:
        experiment: The experiment that was run.
        runs: The measurements of all runs, ordered by point and then by seed.
    """
    points = []
    for number, point in enumerate(experiment.points):
        first = number * len(experiment.seeds)
        points.append(_written_point(point) | {"runs": runs[first : first + len(experiment.seeds)]})
    return {
        "format": FORMAT,
        "experiment": experiment.name,
        "kind": "days",
        "about": experiment.file.experiment.about,
        "seeds": experiment.seeds,
        "points": points,
    }


def _written_point(point: ExperimentPoint) -> dict[str, Any]:
    return {
        "variant": point.variant,
        "value": point.value,
        "settings": point.settings,
        "constants": point.constants,
        "module": point.policy_digest,
        "world": written_model(point),
        "module_seed": point.policy_seed,
    }


def written_model(point: ExperimentPoint) -> dict[str, Any]:
    """Return a point's model under the keys of experiment files."""
    return point.model.model_dump(mode="json", by_alias=True, warnings=False)


def manifest(
    experiment: Experiment, result: Mapping[str, Any], runs_done: int, took_s: float
) -> dict[str, Any]:
    """Return the content of manifest.json.

    Args:
        experiment: The experiment that was run.
        result: The content of result.json.
        runs_done: Number of runs that were executed now rather than read from earlier results.
        took_s: Duration of the whole command in seconds.
    """
    settings = canonical_json(experiment.file.model_dump(mode="json", by_alias=True))
    versions = {name: version(name) for name in LIBRARIES} | {"python": platform.python_version()}
    return {
        "format": FORMAT,
        "experiment": experiment.name,
        "result_sha256": hashlib.sha256(canonical_json(result)).hexdigest(),
        "settings_sha256": hashlib.sha256(settings).hexdigest(),
        "seeds": experiment.seeds,
        "modules": sorted({point.policy_digest for point in experiment.points}),
        "versions": versions,
        "runs_done_now": runs_done,
        "took_s": round(took_s, 2),
    }
