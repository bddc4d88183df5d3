"""Which modules a process loads: serving must not load the simulation or the cluster packages."""

import subprocess
import sys

from simulation_helpers import ROOT


def loaded_by(code):
    """The names of the modules that a new process has loaded after it has run `code`."""
    run = subprocess.run(
        [sys.executable, "-c", f"import sys\n{code}\nprint(*sys.modules)"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=True,
    )
    return run.stdout.split()


def test_the_serving_process_loads_no_simulation_testbed_or_cluster():
    loaded = loaded_by("import pinspread.__main__, pinspread.service")
    heavy = (
        "numpy",
        "scipy",
        "matplotlib",
        "hdrh",
        "cryptography",
        "typer",
        "tqdm",
        "pinspread.simulation",
        "pinspread.testbed",
    )
    heavy += (
        "pinspread.membership",
        "pinspread.leases",
        "pinspread.replication",
        "msgpack",
        "xxhash",
        "pysyncobj",
    )  # loaded only if a file turns them on
    assert "pinspread.core.engine" in loaded
    assert [name for name in loaded if name.startswith(heavy)] == []


def test_a_command_that_serves_nothing_loads_no_event_loop():
    loaded = loaded_by("from pinspread.__main__ import main; main(['version'])")
    assert "pinspread.config.settings" in loaded
    assert [
        name for name in loaded if name.startswith(("anyio", "asyncio", "ssl", "pinspread.service"))
    ] == []
