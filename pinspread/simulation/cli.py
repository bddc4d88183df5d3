"""The command line of the simulation and the test beds: `pinspread fleet …`, `demo` and `stage`.

Exit codes: 0 done, 1 a rule was broken or an expectation failed, 2 unusable input.
"""

from pathlib import Path

import orjson
import typer

from pinspread.simulation import cli_experiments, cli_loopback, cli_traffic
from pinspread.simulation.cli_common import File, Out, fail

app = typer.Typer(
    help="A model of the fleet: try settings and versions before a partner sees them.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
for command in (
    cli_experiments.check,
    cli_traffic.losses,
    cli_experiments.run,
    cli_loopback.loopback,
    cli_experiments.compare,
    cli_experiments.report,
    cli_traffic.record,
    cli_traffic.inspect,
):
    app.command()(command)

demo = typer.Typer(add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None)
demo.command(
    "play",
    help="A real courier, three stand-in partners of which one goes down, and traffic;"
    " prints what became of it.",
)(cli_loopback.demo)

stage = typer.Typer(
    help="The fault stage: couriers with membership on loopback, faults between them.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)


@stage.command("run")
def stage_run(file: File, out: Out = Path("found/stage")) -> None:
    """Play a scene; its history and verdicts go to OUT; exit code 1 if an expectation failed."""
    from pinspread.testbed import cluster
    from pinspread.testbed.cluster_scenario import ScenarioError, load

    try:
        scenario = load(str(file))
        print(f"playing {file}: {scenario['members']} members for {scenario['seconds']} s ...", flush=True)
        found = cluster.play(scenario, out)
    except (ScenarioError, ValueError) as error:
        fail(error)
    for verdict in found:
        shown = {k: v for k, v in verdict.items() if k not in ("ok", "kind", "faults", "each_s")}
        print("ok  " if verdict["ok"] else "FAIL", verdict["kind"], orjson.dumps(shown).decode()[:300])
    (out / "verdicts.json").write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))
    from pinspread.testbed import history_checker, plot

    lines = history_checker.read_scenario(out / "history.jsonl")
    marks = [(e["s"], e["do"] + " " + ",".join(e.get("who", []))) for e in scenario.get("at", [])]
    plot.draw(lines, out / "members.png", marks)
    print(f"history: {out / 'history.jsonl'}; picture: {out / 'members.png'}")
    if not all(v["ok"] for v in found):
        raise typer.Exit(1)


@stage.command("check")
def stage_check(file: File) -> None:
    """Name a scene's problem, or say that it can be played."""
    from pinspread.testbed.cluster_scenario import ScenarioError, load

    try:
        scenario = load(str(file))
    except ScenarioError as error:
        fail(error)
    print(f"{file}: no problems; {scenario['members']} members, {len(scenario.get('at', []))} faults")
