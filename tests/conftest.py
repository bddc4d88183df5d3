"""Fixtures that several test files share."""

import pytest


@pytest.fixture
def anyio_backend():
    """Tests marked `anyio` run on asyncio, the event loop that the program itself uses."""
    return "asyncio"
