"""Fixtures that several test files share."""

import policy_helpers
import pytest

# Helper modules whose assertions pytest explains on failure, as it does those of test files.
pytest.register_assert_rewrite("amqp_dialogue", "amqp_front_sessions", "upgrade_deployment")


def pytest_collection_modifyitems(items):
    """Run the long tests first, so that no worker runs one alone at the end."""
    items.sort(key=lambda item: item.get_closest_marker("long") is None)


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
