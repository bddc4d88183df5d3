"""Sub-commands that check, run and compare experiments. Each imports what it needs when it is called."""

from pathlib import Path
from typing import Annotated

import orjson
import typer

from pinspread.simulation.cli_common import File, Out, fail
from pinspread.simulation.results import PointResult, points_of


def check(file: File) -> None:
    """Print every problem of an experiment file with its location."""
    from pinspread.simulation.experiment import load_experiment
    from pinspread.simulation.experiment_file import ExperimentError

    try:
        experiment = load_experiment(str(file))
    except ExperimentError as error:
        fail(error)
    print(f"{file}: no problems; {len(experiment.points)} points, {len(experiment.seeds)} seeds")


def run(
    file: File,
    out: Out,
    processes: Annotated[int, typer.Option(help="how many runs at once; 0: one per core")] = 0,
    quiet: Annotated[bool, typer.Option(help="no progress bar")] = False,
    report: Annotated[bool, typer.Option(help="also write report.md and plots")] = True,
) -> None:
    """Run an experiment. After an interruption with Ctrl-C, the same command resumes it."""
    from pinspread.simulation.experiment import load_experiment
    from pinspread.simulation.experiment_file import ExperimentError
    from pinspread.simulation.report import write_report
    from pinspread.simulation.runs import run_experiment
    from pinspread.simulation.trace import TraceError

    try:
        result = run_experiment(load_experiment(str(file)), str(out), processes, quiet)
    except (ExperimentError, TraceError) as error:
        fail(error)
    if report:
        print(write_report(result, str(out)))
    for point in points_of(result) if "points" in result else []:
        services = [run.service for run in point.runs]
        print(
            f"{point.label}: service {sum(services) / len(services):.4f},"
            f" {point.broken_count} of {len(services)} runs broke a rule"
        )


def compare(
    a: Annotated[
        str,
        typer.Argument(
            metavar="A", help="FILE or FILE:VARIANT, where FILE is a result.json", show_default=False
        ),
    ],
    b: Annotated[str, typer.Argument(metavar="B", show_default=False)],
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
) -> None:
    """Compare two variants on the same days: differences with confidence intervals, and a verdict."""
    from pinspread.simulation.compare import compare_variants, format_comparison

    first, second = _load_point(a), _load_point(b)
    if first.seeds != second.seeds:
        fail(f"{a} and {b}: the days differ: the seeds are {first.seeds} and {second.seeds}")
    comparison = compare_variants(first, second)
    if as_json:
        print(orjson.dumps(comparison.to_document()).decode())
    else:
        print(format_comparison(comparison))


def _load_point(text: str) -> PointResult:
    """Return the point that FILE or FILE:VARIANT names: the first of the file, or of the variant."""
    path, _, name = text.partition(":")
    try:
        points = points_of(orjson.loads(Path(path).read_bytes()))
    except (OSError, orjson.JSONDecodeError, KeyError) as error:
        fail(f"{path}: no result of an experiment: {error}")
    named = next((point for point in points if not name or name in (point.variant, point.label)), None)
    if named is None:
        fail(f"{path}: has no variant {name!r}; it has {', '.join(repr(point.variant) for point in points)}")
    return named


def report(folder: Annotated[Path, typer.Argument(metavar="DIR", show_default=False)]) -> None:
    """Write report.md and the plots again from the result.json of a folder."""
    from pinspread.simulation.report import write_report

    try:
        print(write_report(orjson.loads((folder / "result.json").read_bytes()), str(folder)))
    except (OSError, orjson.JSONDecodeError) as error:
        fail(f"{folder}/result.json cannot be read: {error}")
