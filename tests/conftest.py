"""Fixtures that several test files share, and the option that passes over the listed known failures."""

from pathlib import Path

import policy_helpers
import pytest

from pinspread.core import log as core_log

# Helper modules whose assertions pytest explains on failure, as it does those of test files.
pytest.register_assert_rewrite("amqp_dialogue", "amqp_front_sessions", "upgrade_deployment")


def pytest_addoption(parser):
    parser.addoption(
        "--pass-over", metavar="FILE", help="do not run the tests that FILE lists as known failures"
    )


def known_failures(config):
    """Return the ids of the tests in the file of known failures: its lines that begin with `test: `."""
    file = config.getoption("--pass-over")
    if not file or not Path(file).exists():
        return set()
    lines = Path(file).read_text().splitlines()
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def pytest_terminal_summary(terminalreporter, config):
    """Print the known failures that were passed over."""
    for test in sorted(known_failures(config)):
        terminalreporter.write_line(f"passed over, a known failure: {test}")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Leave out known failures, and run the long tests first, so that no worker runs one alone at the end."""
    known = known_failures(config)
    left_out = [item for item in items if item.nodeid in known]
    if len(left_out) < len(known):
        missing = sorted(known - {item.nodeid for item in left_out})
        raise pytest.UsageError(f"listed as known failures, but not collected: {missing}")
    config.hook.pytest_deselected(items=left_out)
    items[:] = [item for item in items if item.nodeid not in known]
    items.sort(key=lambda item: item.get_closest_marker("long") is None)


@pytest.fixture
def clock_of_the_log(monkeypatch):
    """Resets the log's clock after the test: a service sets one that needs a running event loop."""
    monkeypatch.setattr(core_log, "_clock", None)


@pytest.fixture
def anyio_backend():
    """Tests marked `anyio` run on asyncio, the event loop that the program itself uses."""
    return "asyncio"


@pytest.fixture(params=["first", "second"])
def policy_shape(request, monkeypatch):
    """Runs a test of the delivery policy with the settings of each of the two deployments."""
    monkeypatch.setattr(
        policy_helpers, "SHAPE", policy_helpers.SECOND_SHAPE if request.param == "second" else {}
    )
