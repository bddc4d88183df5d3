"""Sub-commands that read couriers' logs and recorded traffic."""

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from pinspread.simulation.cli_common import File, fail

if TYPE_CHECKING:
    from pinspread.simulation.fit import DestinationFit
    from pinspread.simulation.trace import Trace


def losses(
    folder: Annotated[Path, typer.Argument(metavar="LOGS", show_default=False)],
    partner: Annotated[list[int] | None, typer.Option(help="second by second for this one, too")] = None,
) -> None:
    """Count where a day's messages went, from the logs (*.log) of all its couriers in a folder."""
    from pinspread.simulation.losses import LossReport, format_report

    if not any(folder.glob("*.log")):
        fail(f"{folder}: no *.log there")
    print(format_report(LossReport(folder), partner or ()))


def record(
    logs: Annotated[
        list[Path], typer.Argument(metavar="LOG...", help="one log a courier", show_default=False)
    ],
    out: Annotated[Path, typer.Option("--out", help="the trace")],
    key: Annotated[
        Path, typer.Option("--key", help="a file with the secret that hashes ids and keys, 16 bytes or more")
    ],
) -> None:
    """Turn couriers' logs into a trace, and say what was fitted and how well it holds."""
    from pinspread.simulation.trace import TraceError, write_trace
    from pinspread.simulation.trace_recording import record_trace

    try:
        lines_of = [(log.name, log.read_bytes().splitlines()) for log in logs]
        trace = record_trace(lines_of, key.read_bytes().strip())
        write_trace(trace, str(out))
    except (OSError, TraceError) as error:
        fail(error)
    _show(trace, out)


def inspect(file: File) -> None:
    """Check a trace and show what it holds."""
    from pinspread.simulation.trace import TraceError, read_trace

    try:
        _show(read_trace(str(file)), file)
    except TraceError as error:
        fail(error)


def _show(trace: "Trace", path: Path) -> None:
    """Print what a trace holds."""
    arrivals_us = trace.arrivals.at_us
    print(
        f"{path}: {len(arrivals_us)} messages in {max(arrivals_us) / 1e6:.1f} s"
        f" from {trace.instance_count} couriers; {trace.skipped_lines} lines skipped"
    )
    for fit in trace.fits:
        print(_describe(fit))


def _describe(fit: "DestinationFit") -> str:
    """What was fitted to one destination, in a line."""
    latency, limit = fit.latency, fit.limit
    distance = "" if latency.distance is None else f" (distance {latency.distance:.3f})"
    limited = f"limit {limit.per_s:.1f} a second, holds {limit.quality}" if limit.per_s else limit.quality
    return (
        f"partner {fit.destination}: {fit.calls} calls, mean {latency.mean_ms:.0f} ms, log-normal holds"
        f" {latency.quality}{distance}; {limited}; {len(fit.outages)} outages"
    )
