"""The platform's rules on real sockets: one test a rule, against stand-ins."""

import os
import signal
import socket
import subprocess
import sys
import time

import anyio
import orjson
import pytest
from standins import (
    Client,
    Gate,
    HttpStandIn,
    answering,
    configuration,
    engine,
    host,
    listener,
    own_address,
    standing,
    until,
)

from pinspread import sockets
from pinspread.discovery.client import DiscoveryClient
from pinspread.policy.events import AttemptCompleted, EndpointState, UpdateScope
from pinspread.sockets import limiter

pytestmark = pytest.mark.anyio
OK = (200, [], b"")
HEARD = (204, [], b"")


def platform():
    return HttpStandIn(lambda request: HEARD)


def scripted(*replies, then=OK):
    """Answers in turn, and `then` for ever; an answer may be something to await."""
    left = list(replies)
    return HttpStandIn(lambda request: left.pop(0) if left else then)


async def late(seconds, reply=OK):
    await anyio.sleep(seconds)
    return reply


async def test_a_message_passes_on_unchanged_and_connections_are_reused(tmp_path):
    endpoint, body = HttpStandIn(), bytes(range(256)) * 256
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        client = Client(rig.address)
        assert await client.say("PING") == "+PONG\r\n"
        for n in range(4):
            assert await client.enqueue(id_=f"m{n}", body=body) == "+OK\r\n"
            await until(lambda: not rig.engine.messages_by_id)
        assert endpoint.connections == 1
        _, method, target, headers, sent = endpoint.requests[0]
        assert (method, target, sent, headers["idempotency-key"]) == ("POST", "/events", body, "ab12")
        assert 0 < float(headers["request-timeout"]) <= 5 and headers["request-id"] == "m0"


@pytest.mark.parametrize(
    ("words", "answer"),
    [
        (("NONSENSE",), "-ERR unknown"),
        (("ENQUEUE", "0"), "-ERR ENQUEUE takes"),
        (("ENQUEUE", "0", "m1", "c=nonsense,t=north,d=1,dest=1", ""), "-ERR unknown class"),
        (("ENQUEUE", "0", "m1", "c=payment,t=north,d=1,dest=1", "x" * 70_000), "-ERR a body"),
    ],
)
async def test_malformed_commands_get_an_error_and_the_connection_goes_on(tmp_path, words, answer):
    async with engine(tmp_path) as rig:
        client = Client(rig.address)
        assert (await client.say(*words)).startswith(answer)
        assert await client.say("ping") == "+PONG\r\n"
        assert not rig.engine.messages_by_id


async def test_a_stream_that_cannot_be_parsed_gets_an_error_and_ends(tmp_path):
    async with engine(tmp_path) as rig:
        stream = await anyio.connect_tcp(*rig.address.split(":"))
        await stream.send(b"GET / HTTP/1.1\r\n\r\n")
        assert (await stream.receive()).startswith(b"-ERR")
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()


@pytest.mark.parametrize("full", [{"disk_mb": 0.0004}, {"mostHeld": 1}])
async def test_without_capacity_the_answer_is_busy_with_a_time_and_nothing_is_accepted(tmp_path, full):
    async with engine(tmp_path, **full) as rig:
        rig.engine.open_messages[0] = None  # one place is taken
        assert await Client(rig.address).enqueue() == "-BUSY 1000\r\n"
        assert not rig.engine.messages_by_id


async def test_a_message_for_a_destination_that_does_not_exist_is_an_error(tmp_path):
    async with engine(tmp_path, endpoints=[("127.0.0.1:1",)]) as rig:
        assert await Client(rig.address).enqueue(dest=2) == "-ERR unknown dest: 2\r\n"
        assert await Client(rig.address).enqueue(dest=1) == "+OK\r\n"


async def ends(address, said):
    """All that a caller hears that says this and then waits; it must not be reset."""
    stream = await sockets.dial(address)
    await stream.write(said)
    heard = b""
    with anyio.fail_after(5):
        while piece := await stream.read():
            heard += piece
    stream.close()
    return heard


async def test_new_clients_are_served_though_silent_or_idle_ones_fill_the_limit(tmp_path, monkeypatch):
    monkeypatch.setattr(limiter, "SUBMITTER_GRACE_US", 300_000)
    async with engine(tmp_path, max_clients=4) as rig:
        usual = [Client(rig.address) for _ in range(2)]
        silent = [await sockets.dial(rig.address) for _ in range(10)]
        for client in usual:  # the silent give way at once, those that wait for their next command later
            assert await client.say("PING") == "+PONG\r\n"
        late_ones = [Client(rig.address) for _ in range(6)]
        for client in late_ones:
            assert await client.say("PING") == "+PONG\r\n"
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await usual[0].say("PING")
        for connection in silent:
            connection.close()


async def test_clients_that_send_one_command_and_stay_are_closed_before_no_more_can_connect(tmp_path):
    async with engine(tmp_path, max_clients=20) as rig:
        limiter = rig.engine.fronts["resp"].limiter
        pings = [Client(rig.address) for _ in range(3)]
        for client in pings:
            await client.say("PING")
        for n in range(16):
            assert await Client(rig.address).enqueue("status-update", id_=f"m{n}") == "+OK\r\n"
            await anyio.sleep(0.02)
        assert sum(client.submitted for client in limiter.clients.values()) <= limiter.max_submitters + 1 == 9
        assert await pings[0].say("PING") == "+PONG\r\n"  # the room is not full: only those gave way


@pytest.mark.parametrize(
    "said", [b"", b"*5\r\n$7\r\nENQ", b"*1\r\n$4\r\nPING\r\n*5\r\n$7\r\nENQ", b"*1\r\n$4\r\nPING\r\n"]
)
async def test_a_client_with_an_incomplete_command_or_long_idle_is_closed_in_time(
    tmp_path, monkeypatch, said
):
    monkeypatch.setattr(limiter, "COMMAND_TIMEOUT_US", 200_000)
    monkeypatch.setattr(limiter, "IDLE_TIMEOUT_US", 800_000)
    async with engine(tmp_path) as rig:
        start = time.monotonic()
        heard = await ends(rig.address, said)
        idle = said.endswith(b"PING\r\n")
        assert heard.endswith(b"+PONG\r\n" if idle else b"-ERR no whole command in time\r\n")
        assert (0.8 if idle else 0.2) <= time.monotonic() - start < (1.3 if idle else 0.7)
        assert not rig.engine.fronts["resp"].limiter.clients


async def test_the_error_is_received_though_much_is_still_unread(tmp_path):
    async with engine(tmp_path) as rig:
        huge = b"*1\r\n$60000000\r\n" + b"x" * 8_000_000
        assert await ends(rig.address, huge) == b"-ERR a string of 60000000 bytes\r\n"


async def test_hundreds_of_malformed_commands_are_cut_short_and_delay_nobody(tmp_path):
    async with engine(tmp_path) as rig, anyio.create_task_group() as tasks:
        for _ in range(4):
            tasks.start_soon(ends, rig.address, b"*1\r\n$4\r\nNOPE\r\n" * 40_000)
        await anyio.sleep(0.05)
        start = time.monotonic()
        assert await Client(rig.address).say("PING") == "+PONG\r\n"
        assert time.monotonic() - start < 0.2
        heard = await ends(rig.address, b"*1\r\n$4\r\nNOPE\r\n" * 900)
        assert 1 <= heard.count(b"-ERR") <= 40


async def test_commands_that_are_never_complete_share_a_limit_of_memory(tmp_path):
    async with engine(tmp_path, max_unread_bytes=100_000) as rig:
        half = b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\na\r\n$1\r\nb\r\n$60000\r\n" + b"x" * 50_000
        first = await sockets.dial(rig.address)
        await first.write(half)
        await until(lambda: rig.engine.fronts["resp"].limiter.reserved_bytes > 50_000)
        assert await ends(rig.address, half) == b"-BUSY 1000\r\n"
        first.close()
        await until(lambda: not rig.engine.fronts["resp"].limiter.reserved_bytes)


async def test_a_request_that_is_repeated_is_accepted_once(tmp_path):
    endpoint = HttpStandIn()
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        client = Client(rig.address)
        for _ in range(3):
            assert await client.enqueue(id_="same") == "+OK\r\n"
            await until(lambda: not rig.engine.messages_by_id)
        assert len(endpoint.requests) == 1


@pytest.mark.parametrize(
    ("reply", "payments", "state"),
    [
        ((500, [], b""), 1, "failed"),
        (None, 1, "failed"),  # the connection ends without an answer: it may have run
        ((429, [("Retry-After", "0.05")], b""), 2, None),
        ((503, [], b""), 2, None),
        ((503, [("X-Over-Slots", "1")], b""), 2, None),
        ((504, [], b""), 2, None),
        ((410, [], b""), 1, None),  # over: nothing more is owed
    ],
)
async def test_a_payment_is_retried_only_after_proof_that_it_never_ran(tmp_path, reply, payments, state):
    endpoint, platform_stand_in = scripted(reply), platform()
    async with (
        standing(endpoint) as address,
        standing(platform_stand_in) as platform_address,
        engine(tmp_path, platform_address, endpoints=[(address,)]) as rig,
    ):
        await Client(rig.address).enqueue()
        await until(lambda: not rig.engine.messages_by_id)
        assert len(endpoint.requests) == payments
        assert [line["state"] for line in platform_stand_in.lines] == ([state] if state else [])


@pytest.mark.parametrize(
    ("reply", "calls", "state"),
    [
        (b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n", 1, None),
        (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 40_000, 1, None),  # a head that does not end
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 1, None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na", 1, None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * (1 << 20), 1, None),
        (b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1, None),
        (b"HTTP/1.1 2x0 OK\r\n\r\n", 1, "failed"),
        (b"\x9e\x0f\xff noise\r\n", 1, "failed"),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\nab", 1, "failed"),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\nabc", 1, "failed"),
        (b"HTTP/1.1 504 Spent\r\nContent-Length: ten\r\n\r\n", 1, "failed"),
        (b"HTTP/1.1 429 Wait\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * (1 << 20), 1, "failed"),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" * 2, 2, None),  # a good one, twice
    ],
)
async def test_a_status_line_with_200_delivers_and_no_other_malformed_response_proves_anything(
    tmp_path, reply, calls, state
):
    endpoint, platform_stand_in = scripted(reply), platform()
    async with (
        standing(endpoint) as address,
        standing(platform_stand_in) as platform_address,
        engine(tmp_path, platform_address, endpoints=[(address,)]) as rig,
    ):
        await Client(rig.address).enqueue(for_ms=1500)
        await until(lambda: not rig.engine.messages_by_id)
        assert len(endpoint.requests) == calls
        assert [line["state"] for line in platform_stand_in.lines] == ([state] if state else [])


async def test_bytes_after_an_answer_never_answer_the_next_call(tmp_path):
    twice = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 2
    endpoint = scripted(twice, (500, [], b""))
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        client = Client(rig.address)
        for n in range(2):
            await client.enqueue(id_=f"m{n}")
            await until(lambda: not rig.engine.open_messages)
        assert endpoint.connections == 2 and rig.engine.messages_by_id["m1"].final.state.name == "FAILED"


async def test_retry_after_in_a_malformed_response_binds_from_its_head_on(tmp_path):
    endpoint = scripted(b"HTTP/1.1 429 Wait\r\nRetry-After: 0.6\r\nContent-Length: 9\r\n\r\n")
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        for n in range(3):
            await Client(rig.address).enqueue("status-update", id_=f"m{n}")
            await until(lambda: endpoint.requests)
            await anyio.sleep(0.1)
        await until(lambda: len(endpoint.requests) > 1)
        assert endpoint.requests[1][0] - endpoint.requests[0][0] >= 0.6


async def test_a_client_that_always_has_data_does_not_block_the_loop():
    sock, address = listener()
    theirs = await sockets.dial(address)
    ours, read = sockets.Connection(sock.accept()[0]), []
    await theirs.write(b"x" * 10_000)
    await anyio.sleep(0.05)

    async def read_on():
        for _ in range(10):
            read.append(await ours.read_into(bytearray(1000)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_on)
        for _ in range(3):
            await anyio.sleep(0)
        assert 0 < len(read) < 10  # others have had their turns between
    for each in (ours, theirs, sock):
        each.close()


async def test_small_writes_are_not_delayed_by_the_system():
    sock, address = listener()
    served = []

    async def serve(connection):
        served.append(connection)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sockets.accept_forever, sock, tasks, serve)
        dialled = await sockets.dial(address)
        await until(lambda: served)
        tasks.cancel_scope.cancel()
    for each in (dialled, *served):
        assert each.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        each.close()


async def test_a_client_that_sends_much_at_once_and_disconnects_delays_nobody(tmp_path):
    endpoint = scripted()
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        hasty = await sockets.dial(rig.address)
        words = [b"ENQUEUE", b"0", b"hasty%03d", b"c=status-update,t=north,d=5000,dest=1", b"x"]
        command = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w.replace(b"%03d", b"000")), w) for w in words)
        await hasty.write(b"".join(command % n for n in range(300)))
        hasty.close()
        assert await Client(rig.address).enqueue("status-update", "steady") == "+OK\r\n"
        await until(lambda: not rig.engine.messages_by_id)
        delivered = [r[3]["request-id"] for r in endpoint.requests]
        assert "steady" in delivered and len(set(delivered)) == len(delivered)


async def test_a_connection_that_is_ended_keeps_its_descriptor_until_its_own_task_closes_it():
    sock, address = listener()
    theirs = await sockets.dial(address)
    ours, seen = sockets.Connection(sock.accept()[0]), []

    async def wait():
        seen.append(await ours.read())
        ours.close()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.sleep(0.02)
        number = ours.sock.fileno()
        ours.shutdown()
        assert ours.sock.fileno() == number  # free now, another's wait on it would end with this one's
    assert seen == [b""] and ours.sock.fileno() == -1
    for each in (theirs, sock):
        each.close()


async def test_a_timed_out_payment_fails_and_its_connection_is_closed(tmp_path):
    endpoint, platform_stand_in = HttpStandIn(lambda request: late(30)), platform()
    async with (
        standing(endpoint) as address,
        standing(platform_stand_in) as platform_address,
        engine(tmp_path, platform_address, endpoints=[(address,)]) as rig,
    ):
        await Client(rig.address).enqueue(for_ms=300)
        await until(lambda: platform_stand_in.lines)
        assert platform_stand_in.lines == [{"id": "id1", "state": "failed"}] and len(endpoint.requests) == 1


async def test_retry_after_holds_back_all_messages_to_that_destination(tmp_path):
    endpoint = scripted((429, [("Retry-After", "0.4")], b""))
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        client = Client(rig.address)
        for _ in range(3):
            await client.enqueue("status-update")
            await anyio.sleep(0.05)
        await until(lambda: len(endpoint.requests) == 4)
        assert endpoint.requests[1][0] - endpoint.requests[0][0] >= 0.4


@pytest.mark.parametrize("change", ["drain", "wait", "deadline", "withdrawn"])
async def test_what_changes_while_a_call_is_dialled_keeps_it_unsent(tmp_path, monkeypatch, change):
    endpoint, gate = HttpStandIn(), Gate(monkeypatch)
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        core = rig.engine
        await Client(rig.address).enqueue(for_ms=100 if change == "deadline" else 5000)
        await until(lambda: gate.waiting)
        if change == "drain":
            rig.update_endpoints(address, state=EndpointState.DRAINING)
        elif change == "wait":
            core.retry_after_until_us[1] = core.clock.now() + 10**9
        elif change == "withdrawn":
            core.withdraw(core.messages_by_id["id1"])
        else:
            await until(lambda: core.messages_by_id["id1"].final)
        gate.open.set()
        await until(lambda: not core.attempts)
        assert not endpoint.requests


async def test_two_endpoints_of_other_destinations_are_never_called(tmp_path):
    endpoint = HttpStandIn()
    endpoints = [("127.0.0.1:1", "s-1", 1)]
    async with (
        standing(endpoint) as address,
        engine(tmp_path, endpoints=[*endpoints, (address, "s-2", 2)]) as rig,
    ):
        await Client(rig.address).enqueue(dest=1, for_ms=200)
        await anyio.sleep(0.4)
        assert not endpoint.requests


async def test_the_end_of_a_message_is_notified_at_once_and_until_it_is_acknowledged(tmp_path):
    answers = [(500, [], b""), None, HEARD]
    platform_stand_in = HttpStandIn(lambda request: answers.pop(0))
    endpoint = HttpStandIn(lambda request: (500, [], b""))
    async with (
        standing(endpoint) as address,
        standing(platform_stand_in) as platform_address,
        engine(tmp_path, platform_address, endpoints=[(address,)]) as rig,
    ):
        await Client(rig.address).enqueue(for_ms=20_000)
        await until(lambda: not rig.engine.messages_by_id)
        first, *_, last = platform_stand_in.requests
        assert first[0] - endpoint.requests[0][0] < 0.1 and last[0] - first[0] < 1
        assert len(platform_stand_in.requests) == 3 and first[4] == last[4]


async def test_an_ordering_key_goes_on_only_once_its_earlier_notification_is_acknowledged(tmp_path):
    slow = HttpStandIn(lambda request: late(0.3, HEARD))
    endpoint = scripted(*[(500, [], b"")] * 6)
    async with (
        standing(endpoint) as address,
        standing(slow) as platform_address,
        engine(tmp_path, platform_address, endpoints=[(address,)]) as rig,
    ):
        client = Client(rig.address)
        await client.enqueue("booking-change", key="77", for_ms=400)
        await client.enqueue("booking-change", id_="second", key="77")
        await until(lambda: any(r[3]["request-id"] == "second" for r in endpoint.requests))
        sent = next(r[0] for r in endpoint.requests if r[3]["request-id"] == "second")
        assert sent - slow.requests[0][0] >= 0.3


async def test_attempts_are_at_most_six_over_restarts_too(tmp_path):
    endpoint, platform_stand_in = HttpStandIn(lambda request: late(30)), platform()
    async with standing(endpoint) as address, standing(platform_stand_in) as platform_address:
        for _ in range(8):
            async with engine(tmp_path, platform_address, endpoints=[(address,)]) as rig:
                if not rig.engine.messages_by_id and not platform_stand_in.lines:
                    await Client(rig.address).enqueue("status-update", for_ms=20_000)
                before = len(endpoint.requests)
                await until(lambda before=before: len(endpoint.requests) > before or platform_stand_in.lines)
        assert len(endpoint.requests) == 6 and [line["state"] for line in platform_stand_in.lines] == [
            "returned"
        ]


async def test_an_idle_connection_that_the_endpoint_closed_is_not_written_to(tmp_path):
    endpoint = HttpStandIn()
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        client = Client(rig.address)
        for _ in range(2):
            await client.enqueue()
            await until(lambda: not rig.engine.messages_by_id)
            for connection in list(endpoint.open):
                connection.sock.shutdown(2)
        assert len(endpoint.requests) == endpoint.connections == 2


@pytest.mark.parametrize("how", ["drains", "left out"])
async def test_idle_connections_to_a_removed_endpoint_are_closed(tmp_path, how):
    endpoint = HttpStandIn()
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        await Client(rig.address).enqueue()
        await until(lambda: not rig.engine.messages_by_id and endpoint.open)
        if how == "drains":
            rig.update_endpoints(address, state=EndpointState.DRAINING)
        else:
            rig.engine.update_endpoints(UpdateScope.FULL, [])
        await until(lambda: not endpoint.open, 1.0)


async def test_idle_connections_are_closed_before_the_endpoint_would(tmp_path):
    endpoint = HttpStandIn()
    async with (
        standing(endpoint) as address,
        engine(tmp_path, endpoints=[(address,)], keepaliveNs=500_000_000) as rig,
    ):
        await Client(rig.address).enqueue()
        await until(lambda: endpoint.requests)
        await until(lambda: not endpoint.open, 1.0)


@pytest.mark.parametrize("where", ["accept", "send"])
async def test_a_fault_of_one_message_does_not_end_the_courier(tmp_path, monkeypatch, where):
    platform_stand_in = platform()
    async with (
        standing(platform_stand_in) as platform_address,
        engine(tmp_path, platform_address, endpoints=[("not an address",)]) as rig,
    ):
        if where == "accept":
            monkeypatch.setattr(rig.engine, "accept", lambda message: 1 / 0)
            with pytest.raises(anyio.EndOfStream):
                await Client(rig.address).enqueue()
        else:
            monkeypatch.setattr(rig.engine.transports["http"], "_call", None)
            await Client(rig.address).enqueue(for_ms=300)
            await until(lambda: platform_stand_in.lines)
        assert await Client(rig.address).say("PING") == "+PONG\r\n"


async def test_the_watch_follows_changes_and_survives_nonsense(tmp_path):
    lists = [b"nonsense\n", b"[]\n", b'{"seq":5,"whole":true,"hosts":[{"host":1}]}\n']
    whole = {"seq": 7, "whole": True, "hosts": [host("s-1", "127.0.0.1:9"), host("s-2", "127.0.0.1:9")]}
    change = {"seq": 8, "whole": False, "hosts": [host("s-1", "127.0.0.1:9", health="draining")]}
    lists.append(orjson.dumps(whole) + b"\n\n" + orjson.dumps(change) + b"\n")
    platform_stand_in = HttpStandIn(lambda request: (200, [], lists.pop(0) if lists else b""))
    async with standing(platform_stand_in) as address, engine(tmp_path) as rig:
        rig.tasks.start_soon(DiscoveryClient(address, rig.engine, rig.engine.settings).run)
        endpoints = rig.engine.endpoints
        await until(lambda: "s-1" in endpoints and not endpoints["s-1"].usable)
        assert endpoints["s-2"].usable
        await until(lambda: platform_stand_in.requests[-1][2] == "/api/targets?watch=1&from=8")


async def test_endpoints_that_are_replaced_all_day_leave_no_state(tmp_path, monkeypatch):
    from pinspread.policy import discovery

    monkeypatch.setattr(discovery, "REMOVED_KEPT_NS", 0)
    endpoint = HttpStandIn()
    async with standing(endpoint) as address, engine(tmp_path, coldNs=0) as rig:
        core, client = rig.engine, Client(rig.address)
        core.policy.context.settings.slow_start_ns = 0
        for n in range(6):  # each at the address of the one before
            rig.update_endpoints(address, f"s-{n}")
            await client.enqueue(id_=f"m{n}")
            await until(lambda: not core.messages_by_id and endpoint.open)
            core.retry_after_until_us[f"s-{n}"] = core.clock.now()
            rig.update_endpoints(address, f"s-{n}", state=EndpointState.REMOVED)
            await until(lambda: not endpoint.open)
        core.retry_after_until_us[1] = waits = core.clock.now() + 10**9
        rig.update_endpoints(address, "last")
        await until(lambda: not core.events.inbox)
        assert list(core.endpoints) == list(core.policy.discovery.endpoints) == ["last"]
        assert list(core.policy.discovery.destinations[1].endpoints) == ["last"]
        assert core.retry_after_until_us == {1: waits}  # what still binds is kept
        assert not core.transports["http"].pool.idle and endpoint.connections == 6


class Process:
    """A courier as the platform starts it."""

    def __init__(self, folder, endpoint, discovery):
        self.address = own_address()
        (folder / "state").mkdir(exist_ok=True)
        self.file = folder / "config.json"
        self.configuration = configuration(folder / "state")
        self.configuration["known"]["hosts"] = [host("s-1", endpoint)]
        self.configure(listen=self.address, discovery=discovery)
        self.env = os.environ | {
            "RELAY_CONFIG": str(self.file),
            "RELAY_DISCOVERY": discovery,
            "RELAY_STATE": str(folder / "state"),
        }
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pinspread"], env=self.env, stdout=subprocess.DEVNULL
        )
        self.client = Client(self.address)

    def configure(self, **changes):
        self.configuration |= changes
        self.file.write_bytes(orjson.dumps(self.configuration))

    async def ready(self):
        await answering(self.client)
        return self

    async def end(self, how):
        self.process.send_signal(how)
        start = time.monotonic()
        code = await anyio.to_thread.run_sync(self.process.wait)
        return code, time.monotonic() - start


async def test_after_a_kill_it_delivers_what_it_had_accepted_and_repeats_no_payment(tmp_path):
    endpoint, platform_stand_in = scripted(late(30), late(30)), platform()
    async with standing(endpoint) as address, standing(platform_stand_in) as platform_address:
        first = await Process(tmp_path, address, platform_address).ready()
        await first.client.enqueue("payment", "out", for_ms=20_000)
        await first.client.enqueue("status-update", "repeatable", for_ms=20_000)
        await until(lambda: len(endpoint.requests) == 2)
        await first.end(signal.SIGKILL)
        second = await Process(tmp_path, address, platform_address).ready()
        await until(lambda: len(endpoint.requests) == 3 and platform_stand_in.lines)
        assert endpoint.requests[2][3]["request-id"] == "repeatable"
        assert platform_stand_in.lines == [{"id": "out", "state": "failed"}]
        await second.end(signal.SIGKILL)


async def test_sigterm_finishes_what_is_in_flight_answers_busy_and_ends_in_time(tmp_path):
    endpoint, platform_stand_in = scripted(late(1.0), late(60)), platform()
    async with standing(endpoint) as address, standing(platform_stand_in) as platform_address:
        process = await Process(tmp_path, address, platform_address).ready()
        await process.client.enqueue(id_="out", for_ms=20_000)
        await until(lambda: endpoint.requests)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(process.end, signal.SIGTERM)
            await anyio.sleep(0.3)
            assert await process.client.enqueue(id_="more") == "-BUSY 2000\r\n"
            assert await Client(process.address).enqueue(id_="new") == "-BUSY 2000\r\n"
        assert process.process.returncode == 0
        again = await Process(tmp_path, address, platform_address).ready()
        await anyio.sleep(0.2)
        assert len(endpoint.requests) == 1 and not platform_stand_in.lines  # delivered: nothing is owed
        await again.client.enqueue("status-update", "hung", for_ms=20_000)
        await until(lambda: len(endpoint.requests) == 2)
        code, seconds = await again.end(signal.SIGTERM)
        assert code == 0 and seconds < 3.7


async def test_sighup_moves_watch_and_notifications_and_an_unreadable_file_changes_nothing(tmp_path):
    watches = [None, None]  # what the watches of the two discoveries have told

    def discovery(n):
        def answer(request):
            if request[2] == "/v2/finals":
                return HEARD
            watches[n] = request[2]
            news = {"seq": 9, "whole": True, "hosts": [host("s-1", endpoints[n])]}
            return late(0, (200, [], orjson.dumps(news) + b"\n"))

        return HttpStandIn(answer)

    refuses = [HttpStandIn(lambda request: (500, [], b"")) for _ in range(2)]
    old, new = discovery(0), discovery(1)
    async with standing(refuses[0]) as first, standing(refuses[1]) as second:
        endpoints = [first, second]
        async with standing(old) as before, standing(new) as after:
            process = await Process(tmp_path, first, before).ready()
            await until(lambda: watches[0])
            process.file.write_bytes(b"{")
            process.process.send_signal(signal.SIGHUP)
            await process.client.enqueue(id_="one")
            await until(lambda: old.lines == [{"id": "one", "state": "failed"}])
            process.configure(discovery=after)
            process.process.send_signal(signal.SIGHUP)
            await until(lambda: watches[1] == "/api/targets?watch=1&from=0")
            await anyio.sleep(0.1)
            asked = len(old.requests)
            await process.client.enqueue(id_="two")
            await until(lambda: [line for line in new.lines if line["id"] == "two"])
            assert refuses[1].requests and len(old.requests) == asked
            code, _ = await process.end(signal.SIGTERM)
            assert code == 0


@pytest.mark.parametrize(("couriers", "least", "most"), [(3, 3, 12), (40, 0, 1)])
async def test_couriers_take_turns_to_poll_a_discovery_service_that_rejects_them(
    tmp_path, couriers, least, most
):
    overbooked = HttpStandIn(lambda request: (503, [], b""))
    async with standing(overbooked) as address, engine(tmp_path) as rig:
        rig.engine.settings.policy_settings.senders = couriers
        rig.tasks.start_soon(DiscoveryClient(address, rig.engine, rig.engine.settings).run)
        await until(lambda: overbooked.requests)
        await anyio.sleep(0.95)  # one of 40 waits for a second at least
        assert least <= len(overbooked.requests) - 1 <= most


async def test_the_policy_learns_which_calls_had_a_connection_opened_for_them(tmp_path, monkeypatch):
    endpoint, heard = scripted((503, [], b""), (503, [], b"")), []
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        post = rig.engine.events.post
        monkeypatch.setattr(rig.engine.events, "post", lambda event: (heard.append(event), post(event)))
        await Client(rig.address).enqueue()
        await until(lambda: not rig.engine.messages_by_id)
    assert [event.opened for event in heard if type(event) is AttemptCompleted] == [True, False, False]


async def test_a_start_sends_nothing_by_the_old_list_before_the_first_answer(tmp_path):
    state, endpoint = tmp_path / "state", HttpStandIn()
    state.mkdir()
    async with engine(state) as rig:
        await Client(rig.address).enqueue("status-update", "owed", for_ms=9000)

    def discovery(request):
        if request[2] == "/v2/finals":
            return HEARD
        return late(0.15, (200, [], orjson.dumps(news) + b"\n"))

    async with standing(endpoint) as address, standing(HttpStandIn(discovery)) as where:
        news = {"seq": 9, "whole": True, "hosts": [host("s-1", address, health="draining")]}
        process = await Process(tmp_path, address, where).ready()  # its file still has it as ready
        await anyio.sleep(0.3)
        assert not endpoint.requests
        await process.end(signal.SIGKILL)


async def test_a_watch_that_moves_keeps_the_old_one_until_the_new_one_is_up(tmp_path):
    news = orjson.dumps({"seq": 5, "whole": True, "hosts": [host("s-1", "127.0.0.1:9")]}) + b"\n"
    stays = HttpStandIn(lambda request: (200, [], news))
    async with standing(stays) as address, engine(tmp_path) as rig:
        watch = DiscoveryClient(address, rig.engine, rig.engine.settings)
        rig.tasks.start_soon(watch.run)
        await until(lambda: "s-1" in rig.engine.endpoints)
        watch.change_address("127.0.0.1:1")  # nobody is there
        before = len(stays.requests)
        await until(lambda: len(stays.requests) > before + 1)
        moved = HttpStandIn(lambda request: (200, [], news.replace(b"s-1", b"s-2")))
        async with standing(moved) as there:
            watch.change_address(there)
            await until(lambda: "s-2" in rig.engine.endpoints)
            before = len(stays.requests)
            await anyio.sleep(0.5)
            assert len(stays.requests) == before


def test_a_log_that_nobody_reads_does_not_stall_the_courier():
    code = "from pinspread.core.log import log\nfor n in range(3000): log('e', n=n, text='x' * 100)"
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    assert process.wait(10) == 0
    lines = process.stdout.read().splitlines()
    assert 0 < len(lines) < 3000  # the rest was dropped, and no line was cut
    assert all(orjson.loads(line)["event"] == "e" for line in lines)


@pytest.mark.parametrize("broken", ["state", "listen"])
def test_what_keeps_a_courier_from_starting_is_logged_in_a_line(tmp_path, broken):
    sock, address = listener()
    settings_file = configuration(tmp_path)
    settings_file |= {"state": str(tmp_path / "none")} if broken == "state" else {"listen": address}
    (tmp_path / "c.json").write_bytes(orjson.dumps(settings_file))
    env = os.environ | {"RELAY_CONFIG": str(tmp_path / "c.json")}
    command = [sys.executable, "-m", "pinspread"]
    ended = subprocess.run(command, env=env, capture_output=True, timeout=10, text=True)
    sock.close()
    assert ended.returncode == 1 and ended.stderr.count("\n") == 1 and "pinspread: " in ended.stderr


@pytest.mark.parametrize("barred", [True, False], ids=["told to wait", "a silent probe"])
async def test_a_payment_that_waits_for_a_health_check_leaves_the_loop_idle(tmp_path, barred):
    async def silent():
        await anyio.sleep(2)
        return 200, [], b""

    def answer(request):
        if request[1] == "POST":
            return 503, [], b""
        return (429, [("Retry-After", "1.0")], b"") if barred else silent()

    endpoint = HttpStandIn(answer)
    async with standing(endpoint) as address, engine(tmp_path, endpoints=[(address,)]) as rig:
        client, turns = Client(rig.address), []
        found = rig.engine.policy
        await until(lambda: "s-1" in found.discovery.endpoints)
        found.discovery.endpoints["s-1"].failure_rate = 0.4
        handle = found.handle
        found.handle = lambda now, events: turns.append(now) or handle(now, events)
        for _ in range(2):
            assert await client.enqueue(for_ms=3000) == "+OK\r\n"
        await anyio.sleep(0.7)
        assert [r[1] for r in endpoint.requests] == ["GET"]
        assert len(turns) < 20
