"""The format of experiment files: TOML tables whose names and types are checked."""

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError

from pinspread.errors import PinspreadError
from pinspread.simulation.model import StrictModel


class ExperimentError(PinspreadError, ValueError):
    """An experiment file cannot be run; the text has one problem per line, each with its location."""


class ExperimentHeader(StrictModel):
    """The table `experiment`: what is run, and with which seeds."""

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    about: str = ""
    kind: Literal["days", "paper"] = "days"
    seeds: Annotated[int, Field(ge=1, le=100_000)] | list[int] = 10


class Variant(StrictModel):
    """One table of `variant`: a version of the policy, and the settings and world that differ."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9 ._-]{0,62}$")]
    constants: dict[str, Any] = {}  # of the policy
    settings: dict[str, Any] = {}  # fields of the policy's Settings
    world: dict[str, Any] = {}  # tables that replace the world's, key by key
    module: str = ""  # a folder with the modules of a policy package
    revision: str = ""  # or a git revision
    module_seed: int = 0  # another seed for the policy's own random numbers; scenarios stay the same


class Sweep(StrictModel):
    """The table `sweep`: one parameter that takes several values."""

    path: Annotated[str, Field(pattern=r"^(world|settings|constants)\.[A-Za-z_.0-9]+$")]
    values: Annotated[list[Any], Field(min_length=1)]


class RetryPaper(StrictModel):
    """The table `paper`: the parameters of the paper on retries."""

    requests: Annotated[int, Field(ge=1)] = 100
    retries: Annotated[int, Field(ge=1, le=12)] = 5
    base_ms: Annotated[float, Field(gt=0)] = 10.0
    factor: Annotated[float, Field(gt=1)] = 4.0
    randomness: list[Annotated[float, Field(ge=0, le=1)]] = [0.01, 0.5]
    step_ms: Annotated[float, Field(gt=0)] = 20.0
    chain: Annotated[int, Field(ge=1, le=8)] = 4
    calls: Annotated[int, Field(ge=1, le=6)] = 3


class ExperimentFile(StrictModel):
    """A whole experiment file."""

    experiment: ExperimentHeader
    world: dict[str, Any] = {}
    trace: str = ""  # a recorded trace that replaces the drawn arrivals
    variants: Annotated[list[Variant], Field(alias="variant")] = []
    sweep: Sweep | None = None
    paper: RetryPaper = RetryPaper()


def read_experiment_file(path: str) -> ExperimentFile:
    """Read a file and check the names and types in it.

    Raises:
        ExperimentError: The file cannot be read, is not TOML, or has unknown or wrong fields.
    """
    try:
        tables = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    try:
        return ExperimentFile.model_validate(tables)
    except ValidationError as error:
        lines = [f"{path}: {location or 'file'}: {message}" for location, message in field_problems(error)]
        raise ExperimentError("\n".join(lines)) from None


def field_problems(error: ValidationError, root: tuple[str, ...] = ()) -> list[tuple[str, str]]:
    """Return the location and the message of each problem; `root` precedes all locations."""
    return [
        (field_path((*root, *problem["loc"])), problem["msg"].removeprefix("Value error, "))
        for problem in error.errors()
    ]


def field_path(parts: Iterable[str | int]) -> str:
    """Return a location in a file, such as world.trouble[2].at_s."""
    text = ""
    for part in parts:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text
