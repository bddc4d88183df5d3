"""Sub-commands that read couriers' logs and traces."""

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from pinspread.simulation.cli_common import File, fail

if TYPE_CHECKING:
    from pinspread.simulation.fit import DestinationFit
    from pinspread.simulation.trace import Trace


def losses(
    folder: Annotated[Path, typer.Argument(metavar="LOGS", show_default=False)],
    partner: Annotated[
        list[int] | None, typer.Option(help="number of a partner whose outcomes are also shown by second")
    ] = None,
) -> None:
    """Count how a day's messages and attempts ended, from the logs (*.log) of all couriers in a folder."""
    from pinspread.simulation.losses import LossReport, format_report

    if not any(folder.glob("*.log")):
        fail(f"{folder}: the folder has no *.log file")
    print(format_report(LossReport(folder), partner or ()))


def record(
    logs: Annotated[
        list[Path], typer.Argument(metavar="LOG...", help="one log per courier", show_default=False)
    ],
    out: Annotated[Path, typer.Option("--out", help="trace file to write")],
    key: Annotated[
        Path,
        typer.Option(
            "--key", help="file with the secret for hashing ids, keys and endpoints, at least 16 bytes"
        ),
    ],
) -> None:
    """Make a trace from couriers' logs; print the fitted models and the quality of each fit."""
    from pinspread.simulation.trace import TraceError, write_trace
    from pinspread.simulation.trace_recording import record_trace

    try:
        lines_of = [(log.name, log.read_bytes().splitlines()) for log in logs]
        trace = record_trace(lines_of, key.read_bytes().strip())
        write_trace(trace, str(out))
    except (OSError, TraceError) as error:
        fail(error)
    _print_summary(trace, out)


def inspect(file: File) -> None:
    """Check a trace and print a summary."""
    from pinspread.simulation.trace import TraceError, read_trace

    try:
        _print_summary(read_trace(str(file)), file)
    except TraceError as error:
        fail(error)


def _print_summary(trace: "Trace", path: Path) -> None:
    """Print a summary of a trace."""
    arrivals_us = trace.arrivals.at_us
    print(
        f"{path}: {len(arrivals_us)} messages in {max(arrivals_us) / 1e6:.1f} s"
        f" from {trace.instance_count} couriers; {trace.skipped_lines} lines skipped"
    )
    for fit in trace.fits:
        print(_describe_fit(fit))


def _describe_fit(fit: "DestinationFit") -> str:
    """Describe the models fitted to one destination in a line."""
    latency, limit = fit.latency, fit.limit
    distance = "" if latency.distance is None else f" (distance {latency.distance:.3f})"
    limited = f"limit {limit.per_s:.1f} a second, holds {limit.quality}" if limit.per_s else limit.quality
    return (
        f"partner {fit.destination}: {fit.calls} calls, mean {latency.mean_ms:.0f} ms, log-normal holds"
        f" {latency.quality}{distance}; {limited}; {len(fit.outages)} outages"
    )
