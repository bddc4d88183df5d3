"""Runs of the simulation, recorded before its modules were renamed and split.

The recordings are files and texts that the command line writes; they contain no names of the package.
`PYTHONPATH=. python tests/recorded_runs.py FOLDER` records them again, with results written to that folder.
"""

import gzip
import json
import sys
from pathlib import Path

from typer.testing import CliRunner

from pinspread.simulation import cli

DATA = Path(__file__).parent / "data" / "runs"
EXPERIMENTS = ("troubled", "many", "replayed", "paper")
TEXTS = {
    "check": ["check", str(DATA / "troubled.toml")],
    "inspect": ["inspect", str(DATA.parent / "stored" / "trace")],
    "losses": ["losses", str(DATA.parent / "stored" / "logs"), "--partner", "1"],
}


def run_experiment(name: str, folder: Path) -> tuple[dict, str]:
    """Run an experiment in this process; return its result without the policy's digest, and its report."""
    completed = CliRunner().invoke(
        cli.app, ["run", str(DATA / f"{name}.toml"), "--out", str(folder), "--processes", "1", "--quiet"]
    )
    assert completed.exit_code == 0, completed.output
    result = json.loads((folder / "result.json").read_bytes())
    for point in result.get("points", ()):
        del point["module"]
    return result, (folder / "report.md").read_text()


def command_output(name: str) -> str:
    """Return what one of the commands of `TEXTS` prints, without the path of this checkout."""
    completed = CliRunner().invoke(cli.app, TEXTS[name])
    assert completed.exit_code == 0, completed.output
    return completed.output.replace(str(DATA.parent), "DATA")


def read_recording(name: str) -> str:
    """Return a recorded text."""
    return gzip.decompress((DATA / f"{name}.gz").read_bytes()).decode()


def record_all(folder: Path) -> None:
    """Write all recordings; the results of the experiments are written to `folder`."""
    texts = {name: command_output(name) for name in TEXTS}
    for name in EXPERIMENTS:
        result, report = run_experiment(name, folder / name)
        texts[f"{name}.json"] = json.dumps(result, sort_keys=True)
        texts[f"{name}.md"] = report
    for name, text in texts.items():
        (DATA / f"{name}.gz").write_bytes(gzip.compress(text.encode(), mtime=0))


if __name__ == "__main__":
    record_all(Path(sys.argv[1]))
