"""The command line of the simulation: report, messages and exit codes."""

import subprocess
import sys

import pytest
from simulation_helpers import ROOT


def test_the_smoke_experiment_leaves_a_report_with_its_plots(tmp_path):
    command = [
        sys.executable,
        "-m",
        "pinspread",
        "fleet",
        "run",
        ROOT / "experiments/smoke.toml",
        "--out",
        tmp_path,
    ]
    completed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert completed.returncode == 0, completed.stderr
    report = (tmp_path / "report.md").read_text()
    assert "no jitter against as is" in report
    for name in ("time", "latency", "retries", "variants"):
        assert f"{name}.png" in report and (tmp_path / f"{name}.svg").stat().st_size > 1000


@pytest.mark.parametrize(
    ("words", "code", "said"),
    [
        (["fleet", "check", "experiments/smoke.toml"], 0, "no problems"),
        (["fleet", "check", "no-such.toml"], 2, "no-such.toml"),
        (["fleet", "run", "experiments/smoke.toml"], 2, "--out"),
        (["fleet", "inspect", "README.md"], 2, "no trace"),
        (["fleet", "compare", "README.md", "README.md"], 2, "no result"),
        (["fleet", "loopback", "experiments/smoke.toml", "--out", "x", "--variant", "x"], 2, "no variant"),
        (["fleet", "walk"], 2, "walk"),
        (["demo", "--seconds", "soon"], 2, "--seconds"),
    ],
)
def test_the_command_line_says_what_is_wrong_and_exits_as_stated(words, code, said):
    command = [sys.executable, "-m", "pinspread", *words]
    completed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert completed.returncode == code and said in completed.stdout + completed.stderr
    assert "Traceback" not in completed.stderr
