"""What says that an endpoint is still the same one: over restarts, full files and changed records."""

import dataclasses

import pytest
from discovery_stand_in import DiscoveryStandIn, list_line, watched
from platform_helpers import delayed_reply, scripted
from standins import Client, DialGate, HttpStandIn, host, running_courier, serve_on_loopback, wait_until

from pinspread.core.messages import Endpoint
from pinspread.discovery import departures, ready_endpoints
from pinspread.discovery.client import DiscoveryClient
from pinspread.discovery.endpoint_list import EndpointUpdate
from pinspread.discovery.ready_endpoints import ReadyEndpoints
from pinspread.policy.events import EndpointState

pytestmark = pytest.mark.anyio

DEPARTED = 400  # more than `list.left` holds


async def report(courier, discovery, sequence, *hosts, whole=False):
    """Report hosts on the first watch, and wait until the courier has applied them."""
    discovery.say(0, list_line(sequence, *hosts, whole=whole) + b"\n", head=whole)
    last = hosts[-1]
    await wait_until(lambda: (last["host"] in courier.engine.endpoints) == (last["health"] != "gone"))


@pytest.mark.parametrize("change", ["removed", "removed long ago", "moved", "given to another destination"])
async def test_a_start_by_an_old_list_sends_nothing_to_an_address_that_another_endpoint_has(
    tmp_path, monkeypatch, change
):
    """Guards against messages at another destination's endpoint after a kill while discovery is down."""
    elsewhere = HttpStandIn()  # what has the address now
    async with serve_on_loopback(elsewhere) as address:
        known, last = host("s-1", address), host("last", "127.0.0.1:9", dest=2)
        others = [host(f"s-{number:032}", "127.0.0.1:9", dest=2) for number in range(DEPARTED)]
        async with watched(tmp_path, monkeypatch) as (courier, discovery, _):
            await report(courier, discovery, 5, known, *others, whole=True)
            if change.startswith("removed"):
                await report(courier, discovery, 6, known | {"health": "gone"})
            elif change == "moved":
                await report(courier, discovery, 6, known | {"dial": "127.0.0.1:9"})
            else:
                await report(courier, discovery, 6, known | {"block": 2})
            if change == "removed long ago":
                gone = [entry | {"health": "gone"} for entry in others]
                await report(courier, discovery, 7, *gone)
            await report(courier, discovery, 8, last)
            assert await Client(courier.address).enqueue("status-update", "owed", for_ms=900) == "+OK\r\n"
        configured = {"seq": 5, "whole": True, "hosts": [known, *others]}
        discovery = DiscoveryStandIn()  # it is down at first
        async with running_courier(tmp_path) as courier:
            courier.tasks.start_soon(discovery.run)
            settings = dataclasses.replace(courier.engine.settings, cached_endpoints=configured)
            client = DiscoveryClient(discovery.address, courier.engine, settings)
            client.start()
            courier.tasks.start_soon(client.run)
            await wait_until(lambda: not courier.engine.open_messages)
            assert not elsewhere.requests
        discovery.sock.close()


@pytest.mark.parametrize(("damage", "expected"), [(None, 1), (b"damaged", 0), (b"", 0)])
async def test_a_full_or_damaged_file_leaves_endpoints_out_until_discovery_sends_the_whole_list(
    tmp_path, monkeypatch, damage, expected
):
    """Guards against endpoints that are left out for ever, since changes alone do not name them."""
    room = len(ready_endpoints.MAGIC) + ready_endpoints.FINGERPRINT_BYTES  # for one endpoint
    monkeypatch.setattr(ready_endpoints, "DISK_FRACTION", (room + 1) / 3_000_000)
    hosts = [host(f"s-{number}", "127.0.0.1:9") for number in range(3)]
    async with watched(tmp_path, monkeypatch) as (courier, discovery, _):
        await report(courier, discovery, 5, *hosts, whole=True)
    path = tmp_path / ready_endpoints.FILE_NAME
    assert path.stat().st_size == room
    if damage is not None:
        path.write_bytes(damage)
    restarted = DiscoveryStandIn()
    async with running_courier(tmp_path) as courier:
        courier.tasks.start_soon(restarted.run)
        configured = {"seq": 5, "whole": True, "hosts": hosts}
        settings = dataclasses.replace(courier.engine.settings, cached_endpoints=configured)
        client = DiscoveryClient(restarted.address, courier.engine, settings)
        client.start()
        assert len(courier.engine.endpoints) == expected
        courier.tasks.start_soon(client.run)
        await wait_until(lambda: restarted.watches)
        assert restarted.request_targets[0] == "/api/targets?watch=1&from=0"
        restarted.say(0, list_line(5, *hosts) + b"\n", head=True)
        await wait_until(lambda: len(courier.engine.endpoints) == 3)
    restarted.sock.close()


def test_a_report_that_could_not_be_written_is_written_later(tmp_path, monkeypatch):
    """Guards against a file that still confirms an endpoint after a folder that failed for a moment."""
    endpoint = Endpoint("s-1", "127.0.0.1:9", 1)
    ready = ReadyEndpoints(tmp_path, 3_000_000)
    ready.record(EndpointUpdate(1, True, []), [(endpoint, EndpointState.READY)])
    with monkeypatch.context() as patch:
        patch.setattr(ready_endpoints.Path, "write_bytes", _fail)
        ready.record(EndpointUpdate(2, False, []), [(endpoint, EndpointState.DRAINING)])
    assert ready.unsaved
    ready.save()
    assert not ready.unsaved
    restarted = ReadyEndpoints(tmp_path, 3_000_000)
    assert restarted.confirmed([(endpoint, EndpointState.READY)]) == [(endpoint, EndpointState.REMOVED)]


def _fail(*_):
    raise OSError("no space left")


def test_the_files_of_the_endpoint_list_hold_the_largest_fleet_within_the_folder(tmp_path):
    """Guards against a folder over its limit, and a fleet of 3,200 endpoints that does not fit."""
    ready = ReadyEndpoints(tmp_path, 3_000_000)
    endpoints = [Endpoint(f"s-{number:08x}", f"10.0.{number % 200}.1:6379", number) for number in range(3200)]
    ready.record(EndpointUpdate(1, True, []), [(endpoint, EndpointState.READY) for endpoint in endpoints])
    restarted = ReadyEndpoints(tmp_path, 3_000_000)
    listed = [(endpoint, EndpointState.READY) for endpoint in endpoints]
    assert restarted.confirmed(listed) == listed
    from pinspread.config import last_good
    from pinspread.core import journal

    parts = (ready_endpoints.DISK_FRACTION, departures.DISK_FRACTION, last_good.MAX_DISK_FRACTION)
    blocks = 10 * 512  # what each file may take beyond its size, and the small files
    assert 2 * (sum(parts) + journal.FILE_PERCENT / 100) + blocks / 3_000_000 <= 1


async def test_an_endpoint_that_drains_is_not_confirmed(tmp_path, monkeypatch):
    """Guards against calls to a draining endpoint after a kill while discovery is down."""
    entry = host("s-1", "127.0.0.1:9")
    async with watched(tmp_path, monkeypatch) as (courier, discovery, _):
        await report(courier, discovery, 5, entry, whole=True)
        await report(courier, discovery, 6, entry | {"health": "draining"})
        await wait_until(lambda: not courier.engine.endpoints["s-1"].usable)
    stored = ReadyEndpoints(tmp_path, 3_000_000)
    endpoint = Endpoint("s-1", "127.0.0.1:9", 1)
    assert stored.confirmed([(endpoint, EndpointState.READY)]) == [(endpoint, EndpointState.REMOVED)]


async def test_a_call_that_is_dialled_while_its_endpoint_changes_destination_is_not_written(
    tmp_path, monkeypatch
):
    """Guards against a message at another destination's endpoint, and attempts for it without an end."""
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        gate = DialGate(monkeypatch)
        await Client(courier.address).enqueue("payment", for_ms=600)
        await wait_until(lambda: gate.waiting)
        (message,) = courier.engine.open_messages.values()
        courier.update_endpoints(address, dest=2)
        gate.open.set()
        await wait_until(lambda: not courier.engine.open_messages)
        assert not endpoint.requests and message.attempts == 1


async def test_a_retry_after_holds_back_the_destination_that_was_called(tmp_path):
    """Guards against a wait for a destination that never asked for it, and none for the one that did."""
    refusal = delayed_reply(0.2, (429, [("Retry-After", "2")], b""))
    endpoint = scripted(refusal)
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        await Client(courier.address).enqueue("payment", for_ms=5000)
        await wait_until(lambda: endpoint.requests)
        courier.update_endpoints(address, dest=2)
        await wait_until(lambda: courier.engine.retry_after_until_us)
        assert list(courier.engine.retry_after_until_us) == [1]
