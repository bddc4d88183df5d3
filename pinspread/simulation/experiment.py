"""Experiment files: a world, variants, seeds and a sweep; checked, every problem with its place."""

import hashlib
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import orjson
from pydantic import Field, ValidationError

from pinspread.simulation import variants
from pinspread.simulation.model import FleetModel, StrictModel


class ExperimentError(ValueError):
    """The file cannot be run; one problem a line, each with its place."""


class Head(StrictModel):
    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    about: str = ""
    kind: Literal["days", "paper"] = "days"
    seeds: Annotated[int, Field(ge=1, le=100_000)] | list[int] = 10


class Variant(StrictModel):
    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9 ._-]{0,62}$")]
    constants: dict[str, Any] = {}  # of the policy
    settings: dict[str, Any] = {}  # fields of interface.Settings
    world: dict[str, Any] = {}  # tables that replace the world's, key by key
    module: str = ""  # a folder with the modules of a policy package
    revision: str = ""  # or a git revision
    module_seed: int = 0  # another seed for the module's own chance, on the same days


class Sweep(StrictModel):
    path: Annotated[str, Field(pattern=r"^(world|settings|constants)\.[A-Za-z_.0-9]+$")]
    values: Annotated[list[Any], Field(min_length=1)]


class Paper(StrictModel):
    """The figures of the paper on retries."""

    requests: Annotated[int, Field(ge=1)] = 100
    retries: Annotated[int, Field(ge=1, le=12)] = 5
    base_ms: Annotated[float, Field(gt=0)] = 10.0
    factor: Annotated[float, Field(gt=1)] = 4.0
    randomness: list[Annotated[float, Field(ge=0, le=1)]] = [0.01, 0.5]
    step_ms: Annotated[float, Field(gt=0)] = 20.0
    chain: Annotated[int, Field(ge=1, le=8)] = 4
    calls: Annotated[int, Field(ge=1, le=6)] = 3


class File(StrictModel):
    experiment: Head
    world: dict[str, Any] = {}
    trace: str = ""  # a recorded trace in place of drawn arrivals
    variants: Annotated[list[Variant], Field(alias="variant")] = []
    sweep: Sweep | None = None
    paper: Paper = Paper()


def merged(base: dict, more: dict) -> dict:
    """Tables merged key by key; all else replaced."""
    found = dict(base)
    for name, value in more.items():
        old = found.get(name)
        found[name] = merged(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return found


def at_path(path: str, value) -> dict:
    """A value as tables: `world.couriers.count` and 5 give {"couriers": {"count": 5}}, below the first name."""
    for name in reversed(path.split(".")[1:]):
        value = {name: value}
    return value


class Experiment:
    """A checked file: `points` are what is run for each seed."""

    def __init__(self, file: File, folder: Path):
        self.file = file
        head = file.experiment
        self.name, self.kind = head.name, head.kind
        self.seeds = list(range(1, head.seeds + 1)) if isinstance(head.seeds, int) else head.seeds
        self.trace = str(folder / file.trace) if file.trace else ""
        self.points, problems, self.trace_sha256 = [], [], ""
        if self.trace:
            try:
                self.trace_sha256 = hashlib.sha256(Path(self.trace).read_bytes()).hexdigest()
            except OSError as error:
                problems.append(f"trace: {self.trace}: {error.strerror}")
        texts_of = {}
        for n, variant in enumerate(file.variants or [Variant(name="as is")]):
            place = f"variant[{n}]"
            source = (str(folder / variant.module) if variant.module else "", variant.revision)
            if variant.module and variant.revision:
                problems.append(f"{place}: give either module or revision")
                continue
            try:
                if source not in texts_of:
                    texts_of[source] = variants.texts(*source)
            except variants.VariantError as error:
                problems.append(f"{place}.{'module' if variant.module else 'revision'}: {error}")
                continue
            text = texts_of[source]
            values = file.sweep.values if file.sweep else [None]
            for k, value in enumerate(values):
                problems += self._point(place, variant, text, source != ("", ""), value, k)
        names = [v.name for v in file.variants]
        problems += [
            f"variant[{n}].name: {name!r} stands twice" for n, name in enumerate(names) if name in names[:n]
        ]
        if problems:
            raise ExperimentError("\n".join(dict.fromkeys(problems)))

    def _point(self, place, variant, text, foreign, value, k):
        """One variant at one value of the sweep; gives its problems."""
        problems, sweep = [], self.file.sweep
        parts = {"world": merged(self.file.world, variant.world), "settings": variant.settings,
                 "constants": variant.constants}  # fmt: skip
        if sweep:
            root = sweep.path.split(".")[0]
            parts[root] = merged(parts[root], at_path(sweep.path, value))
            place = f"{place}, sweep.values[{k}]"
        for what, there in (
            ("constants", variants.constants_of(text)),
            ("settings", variants.settings_of(text)),
        ):
            for name, one in parts[what].items():
                if name not in there:
                    problems.append(f"{place}.{what}.{name}: the module has none of that name")
                elif what == "settings" and not isinstance(one, int | float):
                    problems.append(f"{place}.{what}.{name}: must be a number or true or false, not {one!r}")
        try:
            world = FleetModel.model_validate(parts["world"])
        except ValidationError as error:
            for one in error.errors():
                problems.append(
                    f"{place}: {place_of(('world', *one['loc']))}: {one['msg'].removeprefix('Value error, ')}"
                )
            return problems
        self.points.append(
            {
                "variant": variant.name,
                "value": value,
                "world": world.model_dump(mode="json", by_alias=True, warnings=False),
                "settings": parts["settings"],
                "constants": parts["constants"],
                "module": variants.digest(text),
                "texts": text if foreign else None,
                "module_seed": variant.module_seed,
                "trace": self.trace,
                "trace_sha256": self.trace_sha256,
            }
        )
        return problems


def place_of(parts) -> str:
    """A place in a file: world.trouble[2].at_s."""
    text = ""
    for part in parts:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text


def load(path: str) -> Experiment:
    """An experiment file that is well; `ExperimentError` with all problems otherwise."""
    try:
        raw = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    try:
        file = File.model_validate(raw)
    except ValidationError as error:
        lines = [
            f"{path}: {place_of(e['loc']) or 'file'}: {e['msg'].removeprefix('Value error, ')}"
            for e in error.errors()
        ]
        raise ExperimentError("\n".join(lines)) from None
    try:
        return Experiment(file, Path(path).parent)
    except ExperimentError as error:
        raise ExperimentError("\n".join(f"{path}: {line}" for line in str(error).splitlines())) from None


def canonical(value) -> bytes:
    """The one text of a value: sorted names, no spaces, so that equal results are equal bytes."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS | orjson.OPT_SERIALIZE_NUMPY)
