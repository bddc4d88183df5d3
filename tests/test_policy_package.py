"""The policy package as a whole: determinism, validation of settings, and its limits."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from policy_helpers import settings

from pinspread.policy.settings import TrafficClass
from pinspread.policy.state import SECOND

pytestmark = pytest.mark.usefixtures("policy_shape")


SCRIPT = """
import hashlib, sys; sys.path.insert(0, "tests")
from policy_helpers import PolicyDriver
from pinspread.policy.events import Outcome
from pinspread.policy.state import MS
driver = PolicyDriver(endpoints=(("a", 1), ("b", 1), ("c", 2)))
log = []
for n in range(300):
    log += driver.accept(cls=n % 5, destination=1 + n % 3, key=n % 4, after=20 * MS)
    out = [r for r, m in driver.sender.messages.items() if m.in_flight]
    if out:
        outcome = list(Outcome)[n % 8]
        log += driver.complete(out[0], outcome)
print(hashlib.sha256(repr(log).encode()).hexdigest(), len(log))
"""


def test_same_events_give_the_same_actions_across_hash_seeds():
    outputs = set()
    for seed in ("0", "1", "77"):
        run = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env={"PYTHONHASHSEED": seed, "PATH": "", "PYTHONPATH": "."},
            cwd=Path(__file__).parent.parent,
            capture_output=True,
            text=True,
            check=True,
        )
        outputs.add(run.stdout)
    assert len(outputs) == 1
    assert int(outputs.pop().split()[1]) > 200


def test_invalid_settings_name_the_field():
    with pytest.raises(ValueError, match="calls_out"):
        settings(max_concurrent_calls=0)
    with pytest.raises(ValueError, match="cold_from"):
        settings(slow_start_fraction=0)
    with pytest.raises(ValueError, match=r"classes\[0\].deadline_ns"):
        settings(classes=[TrafficClass(SECOND, 0)])


def test_the_policy_stays_within_its_limits():
    root = Path(__file__).parents[1]
    listed = tomllib.loads((root / "deploy/balancer.toml").read_text())["policy"]
    undecided = {"__init__.py", "actions.py", "events.py", "settings.py", "state.py"}  # types only
    there = {path.name for path in (root / "pinspread/policy").iterdir() if path.suffix == ".py"}
    assert {Path(name).name for name in listed} == there - undecided and len(listed) == len(set(listed))
    texts = [(root / name).read_text().splitlines() for name in listed]
    assert max(len(line) for lines in texts for line in lines) <= 110
    assert (
        "pinspread/policy/settings.py"
        in (root / "pinspread/policy/delivery_policy.py").read_text().splitlines()[0]
    )
