"""Experiments: checks a file and derives the points to run; reports every problem with its location."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from pinspread.simulation.experiment_file import (
    ExperimentError,
    ExperimentFile,
    Sweep,
    Variant,
    field_problems,
    read_experiment_file,
)
from pinspread.simulation.model import FleetModel
from pinspread.simulation.policy_sources import (
    VariantError,
    constant_names,
    read_sources,
    setting_names,
    source_digest,
)


@dataclass(frozen=True, slots=True)
class ExperimentPoint:
    """One variant at one value of the sweep; it is run once for each seed.

    Attributes:
        variant: The variant's name.
        value: The value of the sweep; None without a sweep.
        model: The model of the fleet.
        settings: Replaced settings of the policy, by key of the file.
        constants: Replaced constants of the policy, by key of the file.
        policy_digest: A hash of the policy's source texts.
        policy_sources: These texts by module name; None for the policy of this checkout.
        policy_seed: Replaces the seed of the policy's random numbers; 0 to keep that of the run.
        trace: Path of the trace that is replayed; empty for drawn arrivals.
        trace_sha256: SHA-256 of that file, as hexadecimal digits.
    """

    variant: str
    value: Any
    model: FleetModel
    settings: dict[str, Any]
    constants: dict[str, Any]
    policy_digest: str
    policy_sources: dict[str, str] | None
    policy_seed: int
    trace: str
    trace_sha256: str


@dataclass(frozen=True, slots=True)
class _PointTables:
    """The tables that a file gives for a point."""

    location: str
    world: dict[str, Any]
    settings: dict[str, Any]
    constants: dict[str, Any]


class Experiment:
    """A checked experiment.

    Args:
        file: The content of the file.
        folder: The folder of the file, to which its paths are relative.

    Attributes:
        points: The points to run with each seed, in order.
        seeds: The seeds; each gives all points the same random numbers.

    Raises:
        ExperimentError: The file has problems; the text lists all of them, one a line.
    """

    def __init__(self, file: ExperimentFile, folder: Path):
        self.file = file
        self.name = file.experiment.name
        self.kind = file.experiment.kind
        seeds = file.experiment.seeds
        self.seeds = list(range(1, seeds + 1)) if isinstance(seeds, int) else seeds
        self.points: list[ExperimentPoint] = []
        self._folder = folder
        self._problems: list[str] = []
        self._sources: dict[tuple[str, str], dict[str, str]] = {}  # by folder and revision
        self._trace = str(folder / file.trace) if file.trace else ""
        self._trace_sha256 = self._digest_trace()
        for number, variant in enumerate(file.variants or [Variant(name="as is")]):
            self._add_variant(f"variant[{number}]", variant)
        self._check_names()
        if self._problems:
            raise ExperimentError("\n".join(dict.fromkeys(self._problems)))

    def _digest_trace(self) -> str:
        if not self._trace:
            return ""
        try:
            return hashlib.sha256(Path(self._trace).read_bytes()).hexdigest()
        except OSError as error:
            self._problems.append(f"trace: {self._trace}: {error.strerror}")
            return ""

    def _check_names(self) -> None:
        names = [variant.name for variant in self.file.variants]
        self._problems += [
            f"variant[{number}].name: {name!r} occurs more than once"
            for number, name in enumerate(names)
            if name in names[:number]
        ]

    def _add_variant(self, location: str, variant: Variant) -> None:
        """Add a variant's points, one for each value of the sweep."""
        if variant.module and variant.revision:
            self._problems.append(f"{location}: has both module and revision, expected at most one")
            return
        try:
            sources = self._read_sources(variant)
        except VariantError as error:
            self._problems.append(f"{location}.{'module' if variant.module else 'revision'}: {error}")
            return
        for value, tables in self._tables_of(location, variant):
            self._check_policy_keys(tables, sources)
            self._add_point(variant, value, tables, sources)

    def _read_sources(self, variant: Variant) -> dict[str, str]:
        folder = str(self._folder / variant.module) if variant.module else ""
        version = (folder, variant.revision)
        if version not in self._sources:
            self._sources[version] = read_sources(folder, variant.revision)
        return self._sources[version]

    def _tables_of(self, location: str, variant: Variant) -> Iterator[tuple[Any, _PointTables]]:
        """Yield each value of the sweep with the tables that result from it."""
        world = merge_tables(self.file.world, variant.world)
        sweep = self.file.sweep
        if sweep is None:
            yield None, _PointTables(location, world, variant.settings, variant.constants)
            return
        for number, value in enumerate(sweep.values):
            tables = {"world": world, "settings": variant.settings, "constants": variant.constants}
            root, swept = _swept_tables(sweep, value)
            tables[root] = merge_tables(tables[root], swept)
            yield value, _PointTables(f"{location}, sweep.values[{number}]", **tables)

    def _check_policy_keys(self, tables: _PointTables, sources: dict[str, str]) -> None:
        """Record settings and constants that the policy does not have."""
        known_constants = constant_names(sources)
        for name in tables.constants:
            if name not in known_constants:
                self._problems.append(f"{tables.location}.constants.{name}: the policy has no such constant")
        known_settings = setting_names(sources)
        for name, value in tables.settings.items():
            location = f"{tables.location}.settings.{name}"
            if name not in known_settings:
                self._problems.append(f"{location}: the policy has no such setting")
            elif not isinstance(value, int | float):
                self._problems.append(f"{location}: must be a number, true or false, not {value!r}")

    def _add_point(self, variant: Variant, value: Any, tables: _PointTables, sources: dict[str, str]) -> None:
        try:
            model = FleetModel.model_validate(tables.world)
        except ValidationError as error:
            self._problems += [
                f"{tables.location}: {location}: {message}"
                for location, message in field_problems(error, ("world",))
            ]
            return
        self.points.append(
            ExperimentPoint(
                variant=variant.name,
                value=value,
                model=model,
                settings=tables.settings,
                constants=tables.constants,
                policy_digest=source_digest(sources),
                policy_sources=sources if variant.module or variant.revision else None,
                policy_seed=variant.module_seed,
                trace=self._trace,
                trace_sha256=self._trace_sha256,
            )
        )


def merge_tables(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Merge two tables key by key; values other than tables are replaced."""
    merged = dict(base)
    for name, value in changes.items():
        old = merged.get(name)
        if isinstance(old, dict) and isinstance(value, dict):
            merged[name] = merge_tables(old, value)
        else:
            merged[name] = value
    return merged


def _swept_tables(sweep: Sweep, value: Any) -> tuple[str, dict[str, Any]]:
    """Return the root of a sweep's path, and a value wrapped in the tables below that root.

    `world.couriers.count` and 5 give "world" and {"couriers": {"count": 5}}.
    """
    root, *names = sweep.path.split(".")
    for name in reversed(names):
        value = {name: value}
    return root, value


def load_experiment(path: str) -> Experiment:
    """Read and check an experiment file.

    Raises:
        ExperimentError: The file has problems; the text lists all of them, one a line, with locations.
    """
    file = read_experiment_file(path)
    try:
        return Experiment(file, Path(path).parent)
    except ExperimentError as error:
        raise ExperimentError("\n".join(f"{path}: {line}" for line in str(error).splitlines())) from None
