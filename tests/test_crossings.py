"""Events that cross: each test forces the bad order on real connections (docs/crossings.md has the list)."""

import dataclasses

import anyio
import pytest
from standins import Client, HttpStandIn, courier, standing, until

from pinspread.core.transactions import NextHop, Rules
from pinspread.interface import Group, ListScope, ListState
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


@pytest.mark.parametrize(
    ("answer", "behind", "ends"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Le", "REST_S", []),  # delivered, whatever comes or does not come behind
        (
            b"HTTP/1.1 503 x\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n",
            "SLOT_S",
            ["returned"],
        ),  # never ran
    ],
)
async def test_what_an_answer_has_proven_stands_though_the_time_ends_behind_it(
    tmp_path, monkeypatch, answer, behind, ends
):
    monkeypatch.setattr(http, behind, 60)  # so the message's time ends first
    hop, told = HttpStandIn(lambda request: answer), HttpStandIn(lambda request: (204, [], b""))
    async with standing(told) as heard, standing(hop) as address:
        async with courier(tmp_path, heard, hops=[(address,)]) as rig:
            assert await Client(rig.address).enqueue("payment", for_ms=300) == "+OK\r\n"
            await until(lambda: not rig.courier.ids)
    assert len(hop.requests) == 1
    assert [line["state"] for line in told.lines] == ends


async def test_a_repeat_whose_window_ends_while_it_is_dialled_is_not_written(tmp_path, monkeypatch):
    hop = HttpStandIn(lambda request: None)  # every call ends as a reset: it may have run
    async with standing(hop) as address, courier(tmp_path, hops=[(address,)]) as rig:
        core = rig.courier
        await Client(rig.address).enqueue("booking-change", "keyed", for_ms=60_000)
        gate = Gate(monkeypatch)
        await until(lambda: len(hop.requests) == 1 and gate.waiting)
        rules = core.ids["keyed"].rules
        core.clock.offset_us += rules.cls.window_ns // 1000  # the repeat's dial takes so long
        gate.open.set()
        await until(lambda: not core.branches)
        assert len(hop.requests) == 1


async def test_a_repeat_after_a_restart_goes_to_the_zone_that_drops_it(tmp_path):
    waits = [anyio.sleep_forever()]  # killed with this one out: it may have run
    hops = [HttpStandIn(lambda request: waits.pop() if waits else (200, [], b"")), HttpStandIn()]
    async with standing(hops[0]) as far, standing(hops[1]) as near:
        for n in range(2):
            async with courier(tmp_path) as rig:
                if n == 0:
                    lane = rig.courier.settings.rules["booking-change"]
                    by_zone = dataclasses.replace(lane.cls, group=Group.ZONE)
                    rig.courier.settings.rules["booking-change"] = Rules(by_zone, lane.max_attempts)
                rig.courier.learn(ListScope.FULL, [(NextHop("far", far, 1, zone=1), ListState.READY)])
                if n == 0:
                    await Client(rig.address).enqueue("booking-change", for_ms=60_000)
                    await until(lambda: hops[0].requests)
                    continue
                rig.courier.learn(ListScope.DELTA, [(NextHop("near", near, 1, zone=0), ListState.READY)])
                await until(lambda: not rig.courier.ids)
    assert not hops[1].requests and len(hops[0].requests) == 2
