"""Race conditions (docs/crossings.md lists them): each test forces the harmful order on real connections."""

import dataclasses
import time
from contextlib import suppress

import anyio
import orjson
import pytest
from discovery_stand_in import DiscoveryStandIn, list_line, watched
from standins import (
    Client,
    DialGate,
    HttpStandIn,
    host,
    running_courier,
    serve_on_loopback,
    wait_until,
)

from pinspread import sockets
from pinspread.core.messages import DeliveryRules, Endpoint
from pinspread.discovery import client as discovery_client
from pinspread.http import transport as http_transport
from pinspread.policy import outlier_detection
from pinspread.policy.events import EndpointState, UpdateScope
from pinspread.policy.settings import DeduplicationScope
from pinspread.policy.state import MS

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("change", ["drain", "gone", "ban", "moved"])
async def test_a_list_read_twice_while_a_call_is_dialled_still_keeps_it_unsent(tmp_path, monkeypatch, change):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        gate = DialGate(monkeypatch)
        await Client(courier.address).enqueue("payment")
        await wait_until(lambda: gate.waiting)
        courier.update_endpoints(address, scope=UpdateScope.FULL)  # as a reopened watch does
        if change == "drain":
            courier.update_endpoints(address, state=EndpointState.DRAINING)
        elif change == "gone":
            courier.update_endpoints(address, id_="s-2", scope=UpdateScope.FULL, state=EndpointState.DRAINING)
        elif change == "ban":
            assert await courier.engine.disable("s-1")
        else:
            courier.update_endpoints("127.0.0.1:1")  # the endpoint has another address now
        gate.open.set()
        await wait_until(lambda: not courier.engine.attempts)
        assert not endpoint.requests


@pytest.mark.parametrize(
    ("answer", "behind", "ends"),
    [
        # Delivered, whatever follows or does not follow the status line.
        (b"HTTP/1.1 200 OK\r\nContent-Le", "DRAIN_TIMEOUT_S", []),
        # The attempt did not run.
        (
            b"HTTP/1.1 503 x\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n",
            "SLOT_PAUSE_S",
            ["returned"],
        ),
    ],
)
async def test_what_an_answer_has_proven_stands_though_the_time_ends_after_it(
    tmp_path, monkeypatch, answer, behind, ends
):
    monkeypatch.setattr(http_transport, behind, 60)  # so that the message's deadline passes first
    endpoint, platform = HttpStandIn(lambda request: answer), HttpStandIn(lambda request: (204, [], b""))
    async with (
        serve_on_loopback(platform) as platform_address,
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, platform_address, endpoints=[(address,)]) as courier,
    ):
        assert await Client(courier.address).enqueue("payment", for_ms=300) == "+OK\r\n"
        await wait_until(lambda: not courier.engine.messages_by_id)
    assert len(endpoint.requests) == 1
    assert [line["state"] for line in platform.lines] == ends


async def test_a_repeat_whose_window_ends_while_it_is_dialled_is_not_written(tmp_path, monkeypatch):
    endpoint = HttpStandIn(lambda request: None)  # every call ends with a reset, so it may have run
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        core = courier.engine
        await Client(courier.address).enqueue("booking-change", "keyed", for_ms=60_000)
        gate = DialGate(monkeypatch)
        await wait_until(lambda: len(endpoint.requests) == 1 and gate.waiting)
        rules = core.messages_by_id["keyed"].rules
        # As if dialling for the repeat took as long as the deduplication window.
        core.clock.offset_us += rules.traffic_class.deduplication_window_ns // 1000
        gate.open.set()
        await wait_until(lambda: not core.attempts)
        assert len(endpoint.requests) == 1


async def test_a_repeat_after_a_restart_goes_to_the_zone_that_drops_it(tmp_path):
    waits = [anyio.sleep_forever()]  # killed with this attempt in flight: it may have run
    endpoints = [HttpStandIn(lambda request: waits.pop() if waits else (200, [], b"")), HttpStandIn()]
    async with serve_on_loopback(endpoints[0]) as far, serve_on_loopback(endpoints[1]) as near:
        for n in range(2):
            async with running_courier(tmp_path) as courier:
                if n == 0:
                    rules = courier.engine.settings.delivery_rules["booking-change"]
                    by_zone = dataclasses.replace(rules.traffic_class, group=DeduplicationScope.ZONE)
                    courier.engine.settings.delivery_rules["booking-change"] = DeliveryRules(
                        by_zone, rules.max_attempts
                    )
                courier.engine.update_endpoints(
                    UpdateScope.FULL, [(Endpoint("far", far, 1, zone=1), EndpointState.READY)]
                )
                if n == 0:
                    await Client(courier.address).enqueue("booking-change", for_ms=60_000)
                    await wait_until(lambda: endpoints[0].requests)
                    continue
                courier.engine.update_endpoints(
                    UpdateScope.DELTA, [(Endpoint("near", near, 1, zone=0), EndpointState.READY)]
                )
                await wait_until(lambda: not courier.engine.messages_by_id)
    assert not endpoints[1].requests and len(endpoints[0].requests) == 2


S1 = host("s-1", "127.0.0.1:9")
GONE = S1 | {"health": "gone"}


@pytest.mark.parametrize("how", ["no head", "head only", "first line only", "half a line", "a trickle"])
async def test_a_silent_watch_is_reopened_again_and_again_before_what_it_missed_counts(
    tmp_path, monkeypatch, how
):
    async with watched(tmp_path, monkeypatch, 2) as (courier, discovery, _):
        start = time.monotonic()

        async def trickle(n):
            with suppress(OSError):  # the courier closes it once another watch is up
                for byte in list_line(2, GONE) * 40:
                    discovery.say(n, bytes([byte]))
                    await anyio.sleep(0.02)

        for n in range(2):  # the first two watches are silent
            await wait_until(lambda n=n: len(discovery.watches) > n)
            if how != "no head":
                discovery.say(n, head=True)
            if how in ("first line only", "half a line"):
                discovery.say(n, list_line(1, S1) + b"\n")
            if how == "half a line":
                discovery.say(n, list_line(2, GONE)[:40])
            if how == "a trickle":
                courier.tasks.start_soon(trickle, n)
        await wait_until(lambda: len(discovery.watches) > 2)
        last = len(discovery.watches) - 1
        discovery.say(last, list_line(2, S1 | {"health": "draining"}) + b"\n", head=True)
        await wait_until(
            lambda: "s-1" in courier.engine.endpoints and not courier.engine.endpoints["s-1"].usable
        )
        assert 2 * (time.monotonic() - start) < 6.0  # the first watch was silent from its start


async def test_discovery_that_was_unreachable_is_heard_on_a_waiting_watch_or_on_a_new_one(
    tmp_path, monkeypatch
):
    async with watched(tmp_path, monkeypatch) as (courier, discovery, _):
        await wait_until(lambda: len(discovery.watches) == 3)  # unanswered watches are kept open in parallel
        discovery.say(0, list_line(1, S1) + b"\n", head=True)  # on the watch that has been open longest
        await wait_until(lambda: courier.engine.endpoints)
        seen = len(discovery.request_targets)
        await anyio.sleep(0.1)
        # At most one more watch, which was being opened; then no more are opened.
        assert len(discovery.request_targets) <= seen + 1


@pytest.mark.parametrize("how", ["moved", "silent"])
async def test_late_bytes_of_an_old_watch_do_not_undo_the_newer_list(tmp_path, monkeypatch, how):
    async with watched(tmp_path, monkeypatch) as (courier, discovery, watch):
        discovery.say(0, list_line(5, S1) + b"\n", head=True)
        await wait_until(lambda: courier.engine.endpoints)
        newer, index = discovery, 1
        if how == "moved":
            newer, index = DiscoveryStandIn(), 0
            courier.tasks.start_soon(newer.run)
            watch.change_address(newer.address)
        await wait_until(lambda: len(newer.watches) > index)
        # The data of both watches has arrived before the courier reads either; the newer watch's came first.
        newer.say(index, list_line(9, S1 | {"health": "draining"}) + b"\n", head=True)
        discovery.say(0, list_line(6, S1, whole=False) + b"\n")
        await wait_until(lambda: watch.sequence == 9)
        await anyio.sleep(0.05)
        assert not courier.engine.endpoints["s-1"].usable and watch.sequence == 9
        newer.sock.close()


async def test_a_watch_may_indent_its_lists_over_several_lines(tmp_path, monkeypatch):
    async with watched(tmp_path, monkeypatch) as (courier, discovery, watch):
        endpoint_list = {"seq": 5, "whole": True, "hosts": [host('"s-{[1\\"', "127.0.0.1:9"), S1]}
        discovery.say(0, b"\n" + orjson.dumps(endpoint_list, option=orjson.OPT_INDENT_2) + b"\n\n", head=True)
        await wait_until(lambda: len(courier.engine.endpoints) == 2 and watch.sequence == 5)
        assert len(discovery.request_targets) == 1


BAD_PARTS = [
    {"host": ["x"]},
    {"host": 7},
    {"host": ""},
    {"dial": 9},
    {"dial": "nowhere"},
    {"block": "1"},
    {"block": -1},
    {"share": "nan"},
    {"share": -1},
    {"site": {}},
    {"health": []},
]


@pytest.mark.parametrize("bad", BAD_PARTS)
async def test_a_list_with_parts_of_other_types_is_logged_and_ends_nothing(tmp_path, monkeypatch, bad):
    logged = []
    monkeypatch.setattr(discovery_client, "log", lambda event, **_: logged.append(event))
    async with watched(tmp_path, monkeypatch) as (courier, discovery, _):
        entry = host("s-2", "127.0.0.1:9") | bad
        discovery.say(0, list_line(5, S1) + b"\n" + list_line(6, entry, whole=False) + b"\n", head=True)
        discovery.say(0, list_line(7, S1 | {"health": "gone", "dial": None}, whole=False) + b"\n")
        await wait_until(lambda: not courier.engine.endpoints)  # its report on a known endpoint still counts
        assert await Client(courier.address).say("PING") == "+PONG\r\n"
    assert logged.count("malformed_endpoint") == 2


@pytest.mark.parametrize("seq", ["a b", -1, None, 1.5])
async def test_a_version_that_is_no_number_breaks_the_watch_and_not_the_courier(tmp_path, monkeypatch, seq):
    async with watched(tmp_path, monkeypatch) as (courier, discovery, _):
        discovery.say(0, list_line(seq, S1) + b"\n", head=True)
        await wait_until(lambda: len(discovery.watches) == 2)
        assert await Client(courier.address).say("PING") == "+PONG\r\n"


@pytest.mark.parametrize("bar", ["told wait", "notice"])
async def test_a_call_that_is_blocked_after_it_was_chosen_uses_up_no_attempt(tmp_path, monkeypatch, bar):
    longest_ns = 2000 * MS if bar == "told wait" else 50 * MS
    monkeypatch.setattr(outlier_detection, "MAX_TIMEOUT_NS", longest_ns)
    partial = b"HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\n"  # its body never comes
    endpoint = HttpStandIn(
        lambda request: (200, [], b"") if request[3]["request-id"] == "second" else partial
    )
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        core = courier.engine
        core.settings.delivery_rules["booking-change"] = DeliveryRules(
            core.settings.delivery_rules["booking-change"].traffic_class, 2
        )
        if bar == "notice":
            # As if the notification of an earlier message of the key was not acknowledged.
            core.pending_notifications[0x77] = 1
        else:
            await Client(courier.address).enqueue("status-update", "first", for_ms=1500)
            # The transport reports Retry-After at once; the policy gets it only when the attempt ends.
            await wait_until(lambda: core.retry_after_until_us)
        results = []
        complete = core.attempt_runner.complete
        core.attempt_runner.complete = lambda attempt, result: (
            results.append(result),
            complete(attempt, result),
        )
        assert await Client(courier.address).enqueue("booking-change", "second", key="77") == "+OK\r\n"
        await wait_until(
            lambda: len([r for r in results if r.note]) >= 3 or "second" not in core.messages_by_id, 20
        )
        core.pending_notifications.pop(0x77, None)
        core.retry_after_until_us.clear()
        await wait_until(lambda: any(r[3]["request-id"] == "second" for r in endpoint.requests), 20)


async def test_what_is_read_after_we_ended_a_connection_is_not_accepted(tmp_path):
    async with running_courier(tmp_path, endpoints=[("127.0.0.1:1",)]) as courier:
        connection = await sockets.dial(courier.address)
        await connection.write(b"*1\r\n$4\r\nPING\r\n")
        assert await connection.read() == b"+PONG\r\n"
        limiter = courier.engine.fronts["resp"].limiter
        (client,) = limiter.clients.values()
        body = b"x" * 6000  # so large that the second is still unread when the first is parsed
        command = b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nm%d\r\n$31\r\nc=payment,t=north,d=5000,dest=1\r\n"
        connection.sock.send(b"".join(command % n + b"$6000\r\n" + body + b"\r\n" for n in (1, 2)))
        limiter._close(client, "idle")  # both commands have just arrived, and are read after this
        with suppress(ConnectionResetError):
            assert await connection.read() == b""
        await wait_until(lambda: client.connection.sock.fileno() < 0)  # everything has been read
        assert not courier.engine.messages_by_id


@pytest.mark.parametrize("way", ["draining", "gone", "left out"])
async def test_a_restart_while_discovery_is_unreachable_keeps_to_the_drains_received_before(
    tmp_path, monkeypatch, way
):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform_address,
    ):
        ready = host("s-1", address)
        async with watched(tmp_path, monkeypatch) as (courier, discovery, _):
            discovery.say(0, list_line(5, ready) + b"\n", head=True)
            await wait_until(lambda: courier.engine.endpoints)
            left_out = way == "left out"
            update = list_line(6) if left_out else list_line(6, ready | {"health": way}, whole=False)
            discovery.say(0, update + b"\n")
            await wait_until(lambda: not any(h.usable for h in courier.engine.endpoints.values()))
            assert await Client(courier.address).enqueue("status-update", "owed", for_ms=700) == "+OK\r\n"
        discovery = DiscoveryStandIn()  # it does not answer at first
        async with running_courier(tmp_path, platform_address) as courier:
            courier.tasks.start_soon(discovery.run)
            old = {"seq": 5, "whole": True, "hosts": [ready]}  # as in the configuration
            settings_ = dataclasses.replace(courier.engine.settings, cached_endpoints=old)
            watch = discovery_client.DiscoveryClient(discovery.address, courier.engine, settings_)
            watch.start()
            courier.tasks.start_soon(watch.run)
            # Until the message's deadline has passed.
            await wait_until(lambda: discovery.watches and not courier.engine.messages_by_id)
            assert not endpoint.requests
            assert await Client(courier.address).enqueue("status-update", "later") == "+OK\r\n"
            discovery.say(len(discovery.watches) - 1, list_line(7, ready) + b"\n", head=True)
            await wait_until(lambda: not courier.engine.messages_by_id)
            assert [r[3]["request-id"] for r in endpoint.requests] == ["later"]
        discovery.sock.close()


@pytest.mark.parametrize("whole", [True, False])
async def test_a_line_that_arrives_again_after_a_later_one_does_not_undo_a_drain(
    tmp_path, monkeypatch, whole
):
    async with watched(tmp_path, monkeypatch) as (courier, discovery, watch):
        draining = S1 | {"health": "draining"}
        discovery.say(0, list_line(7, S1) + b"\n", head=True)
        discovery.say(0, list_line(8, draining, whole=False) + b"\n")
        await wait_until(lambda: courier.engine.endpoints and not courier.engine.endpoints["s-1"].usable)
        discovery.say(0, list_line(7, S1, whole=whole) + b"\n")
        await wait_until(lambda: len(discovery.watches) > 1)
        assert not courier.engine.endpoints["s-1"].usable
        assert discovery.request_targets[1].endswith("from=0")
        discovery.say(1, list_line(3, S1) + b"\n", head=True)  # the service counts anew
        await wait_until(lambda: courier.engine.endpoints["s-1"].usable)
        assert watch.sequence == 3
