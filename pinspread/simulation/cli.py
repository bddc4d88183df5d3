"""The command line of the model: `pinspread fleet …`, and `pinspread demo`. Exit codes: 0 done, 2 unusable input."""

import sys
from pathlib import Path
from typing import Annotated

import orjson
import typer

app = typer.Typer(help="A model of the fleet: try settings and versions before a partner sees them.",
                  no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None)  # fmt: skip
File = Annotated[Path, typer.Argument(metavar="FILE", show_default=False)]
Out = Annotated[
    Path, typer.Option("--out", help="the folder for results; runs that are there are not run again")
]


def fail(error):
    """A line a problem on standard error, and exit code 2."""
    print(error, file=sys.stderr)
    raise typer.Exit(2)


@app.command()
def check(file: File):
    """Name every problem of an experiment file with its place."""
    from pinspread.simulation import experiment

    try:
        found = experiment.load_experiment(str(file))
    except experiment.ExperimentError as error:
        fail(error)
    print(f"{file}: no problems; {len(found.points)} points, {len(found.seeds)} seeds")


@app.command()
def losses(
    folder: Annotated[Path, typer.Argument(metavar="LOGS", show_default=False)],
    partner: Annotated[list[int] | None, typer.Option(help="second by second for this one, too")] = None,
):
    """Count where a day's messages went, from the logs (*.log) of all its couriers in a folder."""
    from pinspread.simulation import losses as counter

    if not any(folder.glob("*.log")):
        fail(f"{folder}: no *.log there")
    print(counter.format_report(counter.LossReport(folder), partner or ()))


@app.command()
def run(
    file: File,
    out: Out,
    processes: Annotated[int, typer.Option(help="how many at once; 0: all cores")] = 0,
    quiet: Annotated[bool, typer.Option(help="no progress bar")] = False,
    report: Annotated[bool, typer.Option(help="write report.md and plots too")] = True,
):
    """Run an experiment; stop it with Ctrl-C and start it again, and it goes on where it was."""
    from pinspread.simulation import experiment, runs, trace
    from pinspread.simulation import report as writer

    try:
        found = runs.run_experiment(experiment.load_experiment(str(file)), str(out), processes, quiet)
    except (experiment.ExperimentError, trace.TraceError) as error:
        fail(error)
    if report:
        print(writer.write_report(found, str(out)))
    for point in found.get("points", []):
        services = [r["service"] for r in point["runs"]]
        broken = sum(bool(r["broken"]) for r in point["runs"])
        name = point["variant"] if point["value"] is None else f"{point['variant']}, {point['value']}"
        print(
            f"{name}: service {sum(services) / len(services):.4f}, {broken} of {len(services)} runs broke a rule"
        )


@app.command()
def loopback(
    file: File,
    out: Annotated[Path, typer.Option("--out", help="a folder for logs, journals and accounts")],
    seed: Annotated[int, typer.Option(help="which day")] = 1,
    variant: Annotated[str, typer.Option(help="whose world; the couriers are this checkout's")] = "",
):
    """Play one day of an experiment on real sockets, with real couriers among stand-ins."""
    from pinspread.simulation import experiment
    from pinspread.simulation import scenario as scenarios
    from pinspread.simulation.model import FleetModel
    from pinspread.testbed import platform

    try:
        points = experiment.load_experiment(str(file)).points
    except experiment.ExperimentError as error:
        fail(error)
    point = next((p for p in points if variant in ("", p["variant"])), None)
    if point is None:
        fail(f"{file}: has no variant {variant!r}")
    model = FleetModel.model_validate(point["world"])
    scenario = scenarios.draw_scenario(model, seed)
    found = platform.play(model, scenario, out)
    (out / "accounts.json").write_bytes(orjson.dumps(found))
    for line in became(model, scenario, found):
        print(line)
    raise typer.Exit(1 if found["broken"] else 0)


@app.command()
def compare(
    a: Annotated[
        str, typer.Argument(metavar="A", help="FILE or FILE:VARIANT, of a result.json", show_default=False)
    ],
    b: Annotated[str, typer.Argument(metavar="B", show_default=False)],
    as_json: Annotated[bool, typer.Option("--json", help="for programs")] = False,
):
    """Compare two variants on the same days: differences with intervals, and a plain verdict."""
    from pinspread.simulation import compare as judge

    left, right = point_of(a), point_of(b)
    if left["seeds"] != right["seeds"]:
        fail(f"{a} and {b}: the days differ: other seeds")
    found = judge.compare_variants(left, right)
    print(orjson.dumps(found).decode() if as_json else judge.format_comparison(found))


def point_of(text):
    """The point that FILE or FILE:VARIANT names."""
    path, _, name = text.partition(":")
    try:
        result = orjson.loads(Path(path).read_bytes())
        points = result["points"]
    except (OSError, orjson.JSONDecodeError, KeyError) as error:
        fail(f"{path}: no result of an experiment: {error}")
    for point in points:
        if not name or name in (point["variant"], f"{point['variant']}, {point['value']}"):
            return point | {"seeds": result["seeds"]}
    fail(f"{path}: has no variant {name!r}; it has {', '.join(repr(p['variant']) for p in points)}")


@app.command()
def report(folder: Annotated[Path, typer.Argument(metavar="DIR", show_default=False)]):
    """Write report.md and the plots of a folder's result again."""
    from pinspread.simulation import report as writer

    try:
        print(writer.write_report(orjson.loads((folder / "result.json").read_bytes()), str(folder)))
    except (OSError, orjson.JSONDecodeError) as error:
        fail(f"{folder}/result.json: {error}")


@app.command()
def record(
    logs: Annotated[
        list[Path], typer.Argument(metavar="LOG...", help="one log a courier", show_default=False)
    ],
    out: Annotated[Path, typer.Option("--out", help="the trace")],
    key: Annotated[
        Path, typer.Option("--key", help="a file with the secret that hashes ids and keys, 16 bytes or more")
    ],
):
    """Turn couriers' logs into a trace, and say what was fitted and how well it holds."""
    from pinspread.simulation import trace

    try:
        found = trace.record_trace(
            [(p.name, p.read_bytes().splitlines()) for p in logs], key.read_bytes().strip()
        )
        trace.write_trace(found, str(out))
    except OSError as error:
        fail(error)
    except trace.TraceError as error:
        fail(error)
    show(found, out)


@app.command()
def inspect(file: File):
    """Check a trace and show what it holds."""
    from pinspread.simulation import trace

    try:
        show(trace.read_trace(str(file)), file)
    except trace.TraceError as error:
        fail(error)


def show(found, path):
    """A trace in words."""
    count = len(found["arrivals"]["at_us"])
    seconds = max(found["arrivals"]["at_us"]) / 1e6
    print(
        f"{path}: {count} messages in {seconds:.1f} s from {found['couriers']} couriers; {found['skipped_lines']} lines skipped"
    )
    for one in found["fits"]:
        fit = one["latency"]
        distance = "" if fit["distance"] is None else f" (distance {fit['distance']:.3f})"
        limit = (
            f"limit {one['limit_per_s']:.1f} a second, holds {one['limit_holds']}"
            if one["limit_per_s"]
            else one["limit_holds"]
        )
        print(
            f"partner {one['dest']}: {one['calls']} calls, mean {fit['mean_ms']:.0f} ms, log-normal holds {fit['holds']}{distance}; {limit}; {len(one['outages'])} outages"
        )


demo = typer.Typer(add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None)


@demo.command()
def play(
    seconds: Annotated[float, typer.Option(help="how long traffic comes")] = 20.0,
    keep: Annotated[Path | None, typer.Option(help="a folder for the courier's log and journal")] = None,
):
    """A real courier, three stand-in partners of which one goes down, and traffic; prints what became of it."""
    import tempfile

    from pinspread.simulation import scenario as scenarios
    from pinspread.simulation.model import FleetModel
    from pinspread.testbed import platform

    model = FleetModel.model_validate(
        {
            "length_s": seconds,
            "traffic": {"rate_per_s": 12.0, "load": 0.4},
            "partners": {"endpoints": 3, "per_partner": 1, "mean_per_partner": 1.0, "big_share": 0.0},
            "couriers": {"count": 1},
            "trouble": [{"kind": "crash", "at_s": seconds * 0.3, "length_s": seconds * 0.25, "share": 0.4}],
        }
    )
    scenario = scenarios.draw_scenario(model, 7)
    down = scenario.faults[0]
    print(
        f"one courier, three partners, {len(scenario.arrival_ns)} messages in {seconds:g} s; partner {down.targets[0]}"
        f" refuses connections from {down.at_ns / 1e9:.1f} to {down.until_ns / 1e9:.1f} s",
        flush=True,
    )
    with tempfile.TemporaryDirectory() as folder:
        found = platform.play(model, scenario, keep or folder)
    for line in became(model, scenario, found):
        print(line)
    raise typer.Exit(1 if found["broken"] else 0)


def became(model, scenario, found):
    """What became of a play, in a few lines."""
    yield f"{'class':16} {'messages':>8} {'delivered':>9} {'p50 ms':>7} {'p99 ms':>7}"
    for n, one in enumerate(model.classes):
        spread = found["latency"][one.name]
        ms = spread["ms"]
        yield (
            f"{one.name:16} {int((scenario.class_index == n).sum()):8} {spread['count']:9}"
            f" {ms.get('50', 0):7.0f} {ms.get('99', 0):7.0f}"
        )
    yield (
        f"{found['delivered']} of {found['messages']} delivered, {found['in_time']} within the wanted time;"
        f" {found['branches']} calls, {found['retries']} of them retries, {found['handshakes']} connections"
    )
    yield f"payments run twice: {found['payments_twice']}; messages without an end: {found['lost']}"
    yield f"service {found['service_unbroken']:.3f} of 1; worst 10 s {found['parts']['worst_10s']:.3f}"


stage = typer.Typer(help="The fault stage: couriers with membership on loopback, faults between them.",
                    no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None)  # fmt: skip


@stage.command("run")
def stage_run(file: File, out: Out = Path("found/stage")):
    """Play a scene; its history and verdicts go to OUT; exit code 1 if an expectation failed."""
    from pinspread.testbed import processes as cast

    try:
        scene = cast.load(str(file))
        print(f"playing {file}: {scene['members']} members for {scene['seconds']} s ...", flush=True)
        found = cast.play(scene, out)
    except (cast.ScenarioError, ValueError) as error:
        fail(error)
    for verdict in found:
        shown = {k: v for k, v in verdict.items() if k not in ("ok", "kind", "faults", "each_s")}
        print("ok  " if verdict["ok"] else "FAIL", verdict["kind"], orjson.dumps(shown).decode()[:300])
    (out / "verdicts.json").write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))
    from pinspread.testbed import history_checker as judge
    from pinspread.testbed import picture

    lines = judge.read_scene(out / "history.jsonl")
    marks = [(e["s"], e["do"] + " " + ",".join(e.get("who", []))) for e in scene.get("at", [])]
    picture.draw(lines, out / "members.png", marks)
    print(f"history: {out / 'history.jsonl'}; picture: {out / 'members.png'}")
    if not all(v["ok"] for v in found):
        raise typer.Exit(1)


@stage.command("check")
def stage_check(file: File):
    """Name a scene's problem, or say that it can be played."""
    from pinspread.testbed import processes as cast

    try:
        scene = cast.load(str(file))
    except cast.ScenarioError as error:
        fail(error)
    print(f"{file}: no problems; {scene['members']} members, {len(scene.get('at', []))} faults")
