"""Sub-commands that run a scenario on real sockets: `fleet loopback`, and `demo`."""

import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import orjson
import typer

from pinspread.simulation.cli_common import EXIT_FAILED, File, fail

if TYPE_CHECKING:
    from pinspread.simulation.model import FleetModel
    from pinspread.simulation.scenario import Scenario

DEMO_SEED = 7


def loopback(
    file: File,
    out: Annotated[Path, typer.Option("--out", help="folder for logs, journals and accounts.json")],
    seed: Annotated[int, typer.Option(help="seed from which the day is drawn")] = 1,
    variant: Annotated[
        str,
        typer.Option(
            help="variant whose model is used; the couriers run this version of the code whatever the variant"
        ),
    ] = "",
) -> None:
    """Run one day of an experiment on real sockets, with real couriers and stand-in destinations."""
    from pinspread.simulation.experiment import load_experiment
    from pinspread.simulation.experiment_file import ExperimentError
    from pinspread.simulation.scenario import draw_scenario

    try:
        points = load_experiment(str(file)).points
    except ExperimentError as error:
        fail(error)
    point = next((point for point in points if variant in ("", point.variant)), None)
    if point is None:
        fail(f"{file}: has no variant {variant!r}")
    scenario = draw_scenario(point.model, seed)
    measured = _play(point.model, scenario, out)
    (out / "accounts.json").write_bytes(orjson.dumps(measured))
    _report_and_exit(point.model, scenario, measured)


def demo(
    seconds: Annotated[float, typer.Option(help="duration of the traffic")] = 20.0,
    keep: Annotated[
        Path | None, typer.Option(help="folder in which the courier's log and journal are kept")
    ] = None,
) -> None:
    """Run a short day with one real courier and three destinations, one of which goes down."""
    from pinspread.simulation.model import FleetModel
    from pinspread.simulation.scenario import draw_scenario

    outage = {"kind": "crash", "at_s": seconds * 0.3, "length_s": seconds * 0.25, "share": 0.4}
    model = FleetModel.model_validate(
        {
            "length_s": seconds,
            "traffic": {"rate_per_s": 12.0, "load": 0.4},
            "partners": {"endpoints": 3, "per_partner": 1, "mean_per_partner": 1.0, "big_share": 0.0},
            "couriers": {"count": 1},
            "trouble": [outage],
        }
    )
    scenario = draw_scenario(model, DEMO_SEED)
    fault = scenario.faults[0]
    print(
        f"one courier, three partners, {len(scenario.arrival_ns)} messages in {seconds:g} s;"
        f" partner {fault.targets[0]} refuses connections from {fault.at_ns / 1e9:.1f}"
        f" to {fault.until_ns / 1e9:.1f} s",
        flush=True,
    )
    with tempfile.TemporaryDirectory() as folder:
        measured = _play(model, scenario, keep or Path(folder))
    _report_and_exit(model, scenario, measured)


def _play(model: "FleetModel", scenario: "Scenario", folder: Path) -> dict[str, Any]:
    """Run a scenario with real couriers, whose files go to the folder, and return the measurements."""
    from pinspread.testbed import platform

    return platform.play(model, scenario, folder)


def _report_and_exit(model: "FleetModel", scenario: "Scenario", measured: dict[str, Any]) -> None:
    """Print a summary of the measurements; exit with 1 if a rule was broken, else with 0."""
    for line in _summary(model, scenario, measured):
        print(line)
    raise typer.Exit(EXIT_FAILED if measured["broken"] else 0)


def _summary(model: "FleetModel", scenario: "Scenario", measured: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of a summary of the messages' results."""
    yield f"{'class':16} {'messages':>8} {'delivered':>9} {'p50 ms':>7} {'p99 ms':>7}"
    for index, traffic_class in enumerate(model.classes):
        latency = measured["latency"][traffic_class.name]
        messages = int((scenario.class_index == index).sum())
        p50_ms, p99_ms = (latency["ms"].get(percentile, 0) for percentile in ("50", "99"))
        yield f"{traffic_class.name:16} {messages:8} {latency['count']:9} {p50_ms:7.0f} {p99_ms:7.0f}"
    yield (
        f"{measured['delivered']} of {measured['messages']} delivered,"
        f" {measured['in_time']} within their latency objective; {measured['branches']} attempts,"
        f" {measured['retries']} of them retries, {measured['handshakes']} connections"
    )
    yield f"payments run twice: {measured['payments_twice']}; messages without an end: {measured['lost']}"
    yield (
        f"service {measured['service_unbroken']:.3f} of 1; worst 10 s {measured['parts']['worst_10s']:.3f}"
    )
