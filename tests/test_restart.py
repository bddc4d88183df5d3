"""Restarts with messages open: what was out, what was untried, and what is remembered over two in a row."""

import anyio
import pytest
from standins import Client, HttpStandIn, courier, standing, until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_what_may_have_run_before_one_kill_may_have_run_after_the_next_one_too(tmp_path):
    answers = [anyio.sleep_forever(), (429, [("Retry-After", "60")], b"")]
    hop = HttpStandIn(lambda request: answers.pop(0))
    async with standing(hop) as address:
        async with courier(tmp_path, hops=[(address,)]) as rig:  # killed with the first branch out
            await Client(rig.address).enqueue("booking-change", for_ms=60_000)
            await until(lambda: hop.requests)
            written_us = rig.courier.ids["id1"].live_us
        async with courier(tmp_path, hops=[(address,)]) as rig:  # killed after one that surely never ran
            await until(lambda: len(hop.requests) == 2 and not rig.courier.branches)
        async with courier(tmp_path) as rig:
            t = rig.courier.ids["id1"]
            assert (t.may_run_us, t.branches) == (written_us, 2)
