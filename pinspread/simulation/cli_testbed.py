"""Sub-commands of the cluster test bed: `pinspread stage …`."""

import tempfile
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import orjson
import typer

from pinspread.simulation.cli_common import EXIT_FAILED, File, Out, fail

MAX_VIOLATIONS = 10  # shown of a seed
MAX_DETAIL_CHARACTERS = 300  # a verdict's details are cut after so many
# Keys of a verdict that its printed details leave out; "ok" and "kind" are printed in front of them.
HIDDEN_KEYS = ("ok", "kind", "faults", "each_s")


def run(file: File, out: Out = Path("found/stage")) -> None:
    """Run a scenario; write its history and verdicts to OUT. Exit code 1 if an expectation failed."""
    from pinspread.testbed import cluster
    from pinspread.testbed.cluster_scenario import ScenarioError, load

    try:
        scenario = load(str(file))
        print(f"playing {file}: {scenario['members']} members for {scenario['seconds']} s ...", flush=True)
        verdicts = cluster.play(scenario, out)
    except (ScenarioError, ValueError) as error:
        fail(error)
    _print_verdicts(verdicts)
    (out / "verdicts.json").write_bytes(orjson.dumps(verdicts, option=orjson.OPT_INDENT_2))
    _plot(scenario, out)
    if not all(verdict["ok"] for verdict in verdicts):
        raise typer.Exit(EXIT_FAILED)


def check(file: File) -> None:
    """Check a scenario file; print its first problem, or that it has none."""
    from pinspread.testbed.cluster_scenario import ScenarioError, load

    try:
        scenario = load(str(file))
    except ScenarioError as error:
        fail(error)
    print(f"{file}: no problems; {scenario['members']} members, {len(scenario.get('at', []))} faults")


def soak(seed: int = 1, seconds: float = 20.0, count: int = 1, out: Out = Path("found/soak")) -> None:
    """Play COUNT seeds from SEED on with faults at every side; exit code 1 if a rule was broken."""
    import anyio

    from pinspread.testbed import soak as soak_run

    clean = True
    for number in range(seed, seed + count):
        folder = Path(tempfile.mkdtemp(prefix=f"{number}-", dir=_made(out)))
        result = anyio.run(soak_run.play, number, seconds, folder)
        print(f"{result}; replay: {soak_run.replay_command(number, seconds)}", flush=True)
        for violation in result.violations[:MAX_VIOLATIONS]:
            print(f"  {violation.rule.name} {violation.message_id}: {violation.detail}")
        clean = clean and result.clean
    if not clean:
        raise typer.Exit(EXIT_FAILED)


def _made(folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def _print_verdicts(verdicts: Iterable[Mapping[str, Any]]) -> None:
    for verdict in verdicts:
        details = {key: value for key, value in verdict.items() if key not in HIDDEN_KEYS}
        shown = orjson.dumps(details).decode()[:MAX_DETAIL_CHARACTERS]
        print("ok  " if verdict["ok"] else "FAIL", verdict["kind"], shown)


def _plot(scenario: Mapping[str, Any], folder: Path) -> None:
    """Plot the members over time with the faults marked, and print the paths of history and plot."""
    from pinspread.testbed import history_checker, plot

    history, picture = folder / "history.jsonl", folder / "members.png"
    faults: Sequence[Mapping[str, Any]] = scenario.get("at", [])
    marks = [(fault["s"], f"{fault['do']} {','.join(fault.get('who', []))}") for fault in faults]
    plot.draw(history_checker.read_scenario(history), picture, marks)
    print(f"history: {history}; picture: {picture}")
