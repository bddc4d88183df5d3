"""Events that cross: each test forces the bad order on real connections (docs/crossings.md has the list)."""

import anyio
import pytest
from standins import Client, HttpStandIn, courier, standing, until

from pinspread.interface import ListScope, ListState
from pinspread.net import http

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Gate:
    """Holds every dial to next hops until it is opened."""

    def __init__(self, monkeypatch):
        self.open, self.waiting, dial = anyio.Event(), 0, http.dial

        async def held(address):
            self.waiting += 1
            await self.open.wait()
            return await dial(address)

        monkeypatch.setattr(http, "dial", held)


@pytest.mark.parametrize("change", ["drain", "gone", "ban", "moved"])
async def test_a_list_read_twice_while_a_call_is_dialled_still_keeps_it_unsent(tmp_path, monkeypatch, change):
    hop = HttpStandIn()
    async with standing(hop) as address, courier(tmp_path, hops=[(address,)]) as rig:
        gate = Gate(monkeypatch)
        await Client(rig.address).enqueue("payment")
        await until(lambda: gate.waiting)
        rig.learn(address, scope=ListScope.FULL)  # as a watch does that was opened again
        if change == "drain":
            rig.learn(address, state=ListState.DRAINING)
        elif change == "gone":
            rig.learn(address, id_="s-2", scope=ListScope.FULL, state=ListState.DRAINING)
        elif change == "ban":
            assert await rig.courier.disable("s-1")
        else:
            rig.learn("127.0.0.1:1")  # the endpoint is elsewhere by now
        gate.open.set()
        await until(lambda: not rig.courier.branches)
        assert not hop.requests
