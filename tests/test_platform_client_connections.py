"""The platform's rules for client connections: limits, time-outs, and a fair share of the event loop."""

import socket
import time

import anyio
import pytest
from platform_helpers import scripted
from standins import Client, listener, running_courier, serve_on_loopback, wait_until

from pinspread import sockets
from pinspread.sockets import limiter

pytestmark = pytest.mark.anyio


async def send_and_read_to_end(address, data):
    """Send these bytes; return all replies until the courier ends the stream, which it must not reset."""
    stream = await sockets.dial(address)
    await stream.write(data)
    replies = b""
    with anyio.fail_after(5):
        while received := await stream.read():
            replies += received
    stream.close()
    return replies


async def test_new_clients_are_served_though_silent_or_idle_ones_fill_the_limit(tmp_path, monkeypatch):
    monkeypatch.setattr(limiter, "SUBMITTER_GRACE_US", 300_000)
    async with running_courier(tmp_path, max_clients=4) as courier:
        first_clients = [Client(courier.address) for _ in range(2)]
        silent = [await sockets.dial(courier.address) for _ in range(10)]
        for client in first_clients:  # silent connections are closed first, idle ones only later
            assert await client.say("PING") == "+PONG\r\n"
        later_clients = [Client(courier.address) for _ in range(6)]
        for client in later_clients:
            assert await client.say("PING") == "+PONG\r\n"
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await first_clients[0].say("PING")
        for connection in silent:
            connection.close()


async def test_clients_that_send_one_command_and_stay_are_closed_before_no_more_can_connect(tmp_path):
    async with running_courier(tmp_path, max_clients=20) as courier:
        limiter = courier.engine.fronts["resp"].limiter
        ping_clients = [Client(courier.address) for _ in range(3)]
        for client in ping_clients:
            await client.say("PING")
        for n in range(16):
            assert await Client(courier.address).enqueue("status-update", id_=f"m{n}") == "+OK\r\n"
            await anyio.sleep(0.02)
        assert sum(client.submitted for client in limiter.clients.values()) <= limiter.max_submitters + 1 == 9
        # The limit on all connections is not reached, so only clients that submitted messages were closed.
        assert await ping_clients[0].say("PING") == "+PONG\r\n"


@pytest.mark.parametrize(
    "data", [b"", b"*5\r\n$7\r\nENQ", b"*1\r\n$4\r\nPING\r\n*5\r\n$7\r\nENQ", b"*1\r\n$4\r\nPING\r\n"]
)
async def test_a_client_with_an_incomplete_command_or_long_idle_is_closed_in_time(
    tmp_path, monkeypatch, data
):
    monkeypatch.setattr(limiter, "COMMAND_TIMEOUT_US", 200_000)
    monkeypatch.setattr(limiter, "IDLE_TIMEOUT_US", 800_000)
    async with running_courier(tmp_path) as courier:
        start = time.monotonic()
        replies = await send_and_read_to_end(courier.address, data)
        idle = data.endswith(b"PING\r\n")
        assert replies.endswith(b"+PONG\r\n" if idle else b"-ERR no whole command in time\r\n")
        assert (0.8 if idle else 0.2) <= time.monotonic() - start < (1.3 if idle else 0.7)
        assert not courier.engine.fronts["resp"].limiter.clients


async def test_the_error_is_received_though_much_is_still_unread(tmp_path):
    async with running_courier(tmp_path) as courier:
        huge = b"*1\r\n$60000000\r\n" + b"x" * 8_000_000
        assert await send_and_read_to_end(courier.address, huge) == b"-ERR a string of 60000000 bytes\r\n"


async def test_hundreds_of_malformed_commands_are_cut_short_and_delay_nobody(tmp_path):
    async with running_courier(tmp_path) as courier, anyio.create_task_group() as tasks:
        for _ in range(4):
            tasks.start_soon(send_and_read_to_end, courier.address, b"*1\r\n$4\r\nNOPE\r\n" * 40_000)
        await anyio.sleep(0.05)
        start = time.monotonic()
        assert await Client(courier.address).say("PING") == "+PONG\r\n"
        assert time.monotonic() - start < 0.2
        replies = await send_and_read_to_end(courier.address, b"*1\r\n$4\r\nNOPE\r\n" * 900)
        assert 1 <= replies.count(b"-ERR") <= 40


async def test_commands_that_are_never_complete_share_a_limit_of_memory(tmp_path):
    async with running_courier(tmp_path, max_unread_bytes=100_000) as courier:
        half = b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\na\r\n$1\r\nb\r\n$60000\r\n" + b"x" * 50_000
        first = await sockets.dial(courier.address)
        await first.write(half)
        await wait_until(lambda: courier.engine.fronts["resp"].limiter.reserved_bytes > 50_000)
        assert await send_and_read_to_end(courier.address, half) == b"-BUSY 1000\r\n"
        first.close()
        await wait_until(lambda: not courier.engine.fronts["resp"].limiter.reserved_bytes)


async def test_a_client_that_always_has_data_does_not_block_the_loop():
    sock, address = listener()
    peer = await sockets.dial(address)
    accepted, read_sizes = sockets.Connection(sock.accept()[0]), []
    await peer.write(b"x" * 10_000)
    await anyio.sleep(0.05)

    async def read_repeatedly():
        for _ in range(10):
            read_sizes.append(await accepted.read_into(bytearray(1000)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_repeatedly)
        for _ in range(3):
            await anyio.sleep(0)
        assert 0 < len(read_sizes) < 10  # other tasks got their turns between the reads
    for closeable in (accepted, peer, sock):
        closeable.close()


async def test_small_writes_are_not_delayed_by_the_system():
    sock, address = listener()
    served = []

    async def serve(connection):
        served.append(connection)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sockets.accept_forever, sock, tasks, serve)
        dialled = await sockets.dial(address)
        await wait_until(lambda: served)
        tasks.cancel_scope.cancel()
    for connection in (dialled, *served):
        assert connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        connection.close()


async def test_a_client_that_sends_much_at_once_and_disconnects_delays_nobody(tmp_path):
    endpoint = scripted()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        burst_client = await sockets.dial(courier.address)
        words = [b"ENQUEUE", b"0", b"hasty%03d", b"c=status-update,t=north,d=5000,dest=1", b"x"]
        command = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w.replace(b"%03d", b"000")), w) for w in words)
        await burst_client.write(b"".join(command % n for n in range(300)))
        burst_client.close()
        assert await Client(courier.address).enqueue("status-update", "steady") == "+OK\r\n"
        await wait_until(lambda: not courier.engine.messages_by_id)
        delivered = [r[3]["request-id"] for r in endpoint.requests]
        assert "steady" in delivered and len(set(delivered)) == len(delivered)


async def test_a_connection_that_is_ended_keeps_its_descriptor_until_its_own_task_closes_it():
    sock, address = listener()
    peer = await sockets.dial(address)
    accepted, received = sockets.Connection(sock.accept()[0]), []

    async def wait():
        received.append(await accepted.read())
        accepted.close()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.sleep(0.02)
        descriptor = accepted.sock.fileno()
        accepted.shutdown()
        # If the descriptor were free now, another socket could get its number, and that socket's wait would
        # end together with this one's.
        assert accepted.sock.fileno() == descriptor
    assert received == [b""] and accepted.sock.fileno() == -1
    for closeable in (peer, sock):
        closeable.close()
