"""Runs of the simulation, recorded before its modules were renamed and split.

What is recorded are files and texts that the command line writes: no name of the package stands in them.
`PYTHONPATH=. python tests/recorded_runs.py FOLDER` records them anew, with its results in that folder.
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


def played(name: str, folder: Path) -> tuple[dict, str]:
    """Run an experiment in this process; its result, without the digest of the policy, and its report."""
    done = CliRunner().invoke(
        cli.app, ["run", str(DATA / f"{name}.toml"), "--out", str(folder), "--processes", "1", "--quiet"]
    )
    assert done.exit_code == 0, done.output
    result = json.loads((folder / "result.json").read_bytes())
    for point in result.get("points", ()):
        del point["module"]
    return result, (folder / "report.md").read_text()


def shown(name: str) -> str:
    """What one of the commands of `TEXTS` prints, without the path of this checkout."""
    done = CliRunner().invoke(cli.app, TEXTS[name])
    assert done.exit_code == 0, done.output
    return done.output.replace(str(DATA.parent), "DATA")


def recorded(name: str) -> str:
    """A recorded text."""
    return gzip.decompress((DATA / f"{name}.gz").read_bytes()).decode()


def record(folder: Path) -> None:
    """Write all recordings, by way of a folder for results."""
    texts = {name: shown(name) for name in TEXTS}
    for name in EXPERIMENTS:
        result, report = played(name, folder / name)
        texts[f"{name}.json"] = json.dumps(result, sort_keys=True)
        texts[f"{name}.md"] = report
    for name, text in texts.items():
        (DATA / f"{name}.gz").write_bytes(gzip.compress(text.encode(), mtime=0))


if __name__ == "__main__":
    record(Path(sys.argv[1]))
