"""Commands that were read, but not answered yet, when a connection is ended, closed or handed over."""

import select
import threading
from contextlib import asynccontextmanager

import anyio
import pytest
from in_process_service import ENQUEUE, command, running, service
from platform_helpers import acknowledging_platform
from standins import running_courier, serve_on_loopback, wait_until

from pinspread import sockets
from pinspread.resp import front, session
from pinspread.resp.commands import BATCH_SIZE, CommandHandler
from pinspread.service.handover import Handover, _limit_connections
from pinspread.sockets import IdleConnection, limiter

pytestmark = [pytest.mark.anyio, pytest.mark.usefixtures("clock_of_the_log")]

PING = command(b"PING")
UNKNOWN = command(b"NOPE")
PONG = b"+PONG\r\n"
MANY = 80  # commands of one write: more than two batches


@asynccontextmanager
async def serving_service(folder):
    async with serve_on_loopback(acknowledging_platform()) as platform:
        parts = service(folder, platform)
        async with running(parts) as done:
            await wait_until(lambda: parts.engine.serving)
            yield parts, done


async def dial_and_ping(address):
    connection = await sockets.dial(address)
    await connection.write(PING)
    assert await connection.read() == PONG
    return connection


async def read_to_end(connection):
    """Return all that comes until the end of the stream, which must not be a reset."""
    received = b""
    with anyio.fail_after(5):
        while chunk := await connection.read():
            received += chunk
    return received


# Guards against a stream that is ended between two batches, the second of which is in the session's buffer.
async def test_commands_behind_a_batch_are_answered_before_the_process_ends(tmp_path, monkeypatch):
    monkeypatch.setattr(front, "CLOSE_POLL_S", 0)  # it looks for idle connections between all other steps
    async with serving_service(tmp_path) as (parts, done):
        connection = await dial_and_ping(parts.settings.listen)
        resp_front = parts.components.resp_front
        close = resp_front.close

        async def send_then_close():
            connection.sock.send(ENQUEUE * MANY)
            await close()

        resp_front.close = send_then_close
        parts.leaving.set()
        await done.wait()
        assert await read_to_end(connection) == b"-BUSY 2000\r\n" * MANY


# Guards against a client that is never found idle, as it sends the next commands once all are answered.
async def test_a_client_that_never_pauses_gets_all_replies_or_none_to_its_last_write(tmp_path, monkeypatch):
    monkeypatch.setattr(front, "CLOSE_POLL_S", 0)
    async with serving_service(tmp_path) as (parts, done):
        connection = await dial_and_ping(parts.settings.listen)
        answered = []

        async def send_without_pause():
            while not answered or answered[-1] == MANY:
                await connection.write(PING * MANY)
                received = b""
                while len(received) < MANY * len(PONG) and (chunk := await connection.read()):
                    received += chunk
                answered.append(received.count(PONG))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_without_pause)
            await wait_until(lambda: len(answered) > 3)
            parts.leaving.set()
            await done.wait()
        assert answered[-1] == 0 and set(answered[:-1]) == {MANY}


# Guards against a stream that is cut behind a command that was read, where a client sends without end.
async def test_each_command_that_is_read_from_an_endless_sender_is_answered(tmp_path, monkeypatch):
    executed = []
    dispatch = CommandHandler._dispatch

    def count(*arguments):
        executed.append(1)
        return dispatch(*arguments)

    monkeypatch.setattr(CommandHandler, "_dispatch", count)
    async with serving_service(tmp_path) as (parts, done):
        connection = await dial_and_ping(parts.settings.listen)
        ended = threading.Event()

        def flood():
            while not ended.is_set():
                try:
                    select.select([], [connection.sock], [], 0.1)
                    connection.sock.send(PING * 5000)
                except BlockingIOError:
                    pass
                except OSError:
                    return  # the process has ended

        sender = threading.Thread(target=flood)
        sender.start()
        resp_front, received = parts.components.resp_front, []
        (client,) = resp_front.limiter.clients.values()

        async def read():
            received.append(await read_to_end(connection))

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read)
                await wait_until(lambda: len(executed) > 1000)
                await resp_front.close()
                assert client.connection.finished
                ended.set()
        finally:
            ended.set()
            await anyio.to_thread.run_sync(sender.join)
        assert received[0].count(PONG) == len(executed) - 1  # the first was read above
        parts.leaving.set()
        await done.wait()


@pytest.mark.parametrize("reason", ["idle", "limit reached"])
async def test_a_connection_with_commands_in_its_buffer_is_not_closed_for_being_idle(
    tmp_path, monkeypatch, reason
):
    monkeypatch.setattr(session, "ERROR_PAUSE_S", 0.3)  # the other commands wait behind this pause
    async with running_courier(tmp_path) as courier:
        connection = await sockets.dial(courier.address)
        await connection.write(UNKNOWN + PING * MANY)
        received = b""
        while received.count(PONG) < BATCH_SIZE - 1:
            received += await connection.read()
        client_limiter = courier.engine.fronts["resp"].limiter
        monkeypatch.setattr(limiter, "IDLE_TIMEOUT_US", -1)
        monkeypatch.setattr(limiter, "SILENCE_US", -1)
        if reason == "idle":
            client_limiter.close_overdue()
        else:
            assert not client_limiter._close_one(client_limiter.clients.values())
        monkeypatch.setattr(limiter, "IDLE_TIMEOUT_US", 10**9)
        while received.count(PONG) < MANY:
            received += await connection.read()
        await anyio.sleep(0.02)
        assert client_limiter._close_one(client_limiter.clients.values())  # now it is idle
        assert await read_to_end(connection) == b""


async def test_a_client_that_does_not_read_its_replies_is_closed_in_the_end(tmp_path, monkeypatch):
    monkeypatch.setattr(limiter, "IDLE_TIMEOUT_US", 50_000)
    monkeypatch.setattr(limiter, "STALLED_TIMEOUT_US", 300_000)
    echoed = command(b"PING", b"x" * 1000)
    async with running_courier(tmp_path) as courier:
        connection = await sockets.dial(courier.address)
        with anyio.move_on_after(0.5):
            while True:  # until its replies fill the buffers on both sides
                await connection.write(echoed * 100)
        client_limiter = courier.engine.fronts["resp"].limiter
        assert client_limiter.clients
        await wait_until(lambda: not client_limiter.clients)
        connection.close()


async def test_commands_behind_the_eighth_malformed_one_are_answered_before_the_end(tmp_path):
    async with running_courier(tmp_path) as courier:
        connection = await sockets.dial(courier.address)
        await connection.write(UNKNOWN * session.MAX_ERRORS + PING * MANY)
        received = await read_to_end(connection)
        assert received.count(b"-ERR") == session.MAX_ERRORS and received.count(PONG) == MANY
        connection = await sockets.dial(courier.address)
        await connection.write(UNKNOWN * BATCH_SIZE + PING * MANY + UNKNOWN + PING)
        received = await read_to_end(connection)
        assert received.count(b"-ERR") == BATCH_SIZE + 1 and received.count(PONG) == MANY


async def test_a_process_that_is_asked_to_leave_answers_what_it_has_read(tmp_path):
    async with serving_service(tmp_path) as (parts, done):
        connection = await dial_and_ping(parts.settings.listen)
        handover = Handover(parts.components, None, parts.tasks, parts.leaving, 10)
        connection.sock.send(ENQUEUE * MANY)
        await anyio.sleep(0)  # the session has read it, and has answered one batch at most
        handover.shut_down_for_successor()
        assert (await read_to_end(connection)).count(b"+OK\r\n") == MANY
        await done.wait()


async def test_a_connection_whose_stream_was_ended_is_not_handed_over(tmp_path):
    async with serving_service(tmp_path) as (parts, _):
        connection = await dial_and_ping(parts.settings.listen)
        resp_front = parts.components.resp_front
        (client,) = resp_front.limiter.clients.values()
        resp_front.limiter._close(client, "idle")
        assert await resp_front.detach_connections() == []
        assert await read_to_end(connection) == b""


async def test_connections_with_unread_commands_are_handed_over_before_idle_ones():
    sock = sockets.listen("127.0.0.1:0")
    address = f"127.0.0.1:{sock.getsockname()[1]}"
    peers, idle = [], []
    for _ in range(3):
        peers.append(await sockets.dial(address))
        idle.append(IdleConnection(sockets.Connection(sock.accept()[0]), answered=True, submitted=True))
    peers[2].sock.send(PING)
    await wait_until(lambda: not idle[2].connection.is_idle())
    assert _limit_connections(list(idle), 1) == [idle[2]]
    for closeable in (sock, idle[2].connection, *peers):
        closeable.close()
