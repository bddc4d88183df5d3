"""Restarts with messages open: what was out, what was untried, and what is remembered over two in a row."""

import errno
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

import anyio
import pytest
from standins import (
    Client,
    HttpStandIn,
    configuration,
    listener,
    own_address,
    running_courier,
    serve_on_loopback,
    wait_until,
)

from pinspread import sockets
from pinspread.config import settings
from pinspread.config.amqp_front import AmqpFile
from pinspread.core import log as core_log
from pinspread.core.folder_lock import FolderLock
from pinspread.core.journal import Journal
from pinspread.service import Service, ServiceOptions, listeners
from pinspread.sockets import limiter

pytestmark = pytest.mark.anyio


async def test_what_may_have_run_before_one_kill_may_have_run_after_the_next_one_too(tmp_path):
    answers = [anyio.sleep_forever(), (429, [("Retry-After", "60")], b"")]
    endpoint = HttpStandIn(lambda request: answers.pop(0))
    async with serve_on_loopback(endpoint) as address:
        async with running_courier(
            tmp_path, endpoints=[(address,)]
        ) as courier:  # killed with the first attempt out
            await Client(courier.address).enqueue("booking-change", for_ms=60_000)
            await wait_until(lambda: endpoint.requests)
            written_us = courier.engine.messages_by_id["id1"].in_flight_since_unix_us
        async with running_courier(
            tmp_path, endpoints=[(address,)]
        ) as courier:  # killed after one that surely never ran
            await wait_until(lambda: len(endpoint.requests) == 2 and not courier.engine.attempts)
        async with running_courier(tmp_path) as courier:
            t = courier.engine.messages_by_id["id1"]
            assert (t.may_have_run_unix_us, t.attempts) == (written_us, 2)


async def test_an_unacknowledged_notification_is_sent_again_after_a_restart(tmp_path):
    endpoint = HttpStandIn(lambda request: (500, [], b""))  # it may have run: the payment fails
    unheard, heard = HttpStandIn(lambda request: None), HttpStandIn(lambda request: (204, [], b""))
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(unheard) as first,
        serve_on_loopback(heard) as second,
    ):
        async with running_courier(tmp_path, first, endpoints=[(address,)]) as courier:
            await Client(courier.address).enqueue("payment")
            await wait_until(lambda: unheard.requests)  # and killed, with the notification in flight
        async with running_courier(tmp_path, second, endpoints=[(address,)]) as courier:
            await wait_until(lambda: not courier.engine.messages_by_id)
        assert [r[4] for r in heard.requests] == [unheard.requests[0][4]] and len(endpoint.requests) == 1


@pytest.fixture(autouse=True)
def clock_of_the_log(monkeypatch):
    """A service gives the log its clock, which needs a running loop: it is taken back after the test."""
    monkeypatch.setattr(core_log, "_clock", None)


def service(folder, platform, **more):
    """The parts of a process, in this one; `leaving` stands for SIGTERM."""
    effective_settings = settings.read(
        configuration(folder) | {"listen": own_address(), "discovery": platform}, {}
    )
    options = ServiceOptions(effective_settings, AmqpFile(), lambda last: pytest.fail("no SIGHUP"), **more)
    return Service(options)


@asynccontextmanager
async def running(parts):
    done = anyio.Event()

    async def run():
        await parts.run()
        done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        yield done
        tasks.cancel_scope.cancel()


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


ENQUEUE = command(b"ENQUEUE", b"0", b"late", b"c=payment,t=north,d=5000,dest=1", b"x")


@pytest.mark.parametrize("known", [True, False])
async def test_a_complete_request_in_the_last_moment_before_the_end_has_its_answer(tmp_path, known):
    async with serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform:
        parts = service(tmp_path, platform)
        async with running(parts) as done:
            await wait_until(lambda: parts.engine.serving)
            connection = await sockets.dial(parts.settings.listen)
            if known:
                await connection.write(command(b"PING"))
                assert await connection.read() == b"+PONG\r\n"
            idle = await sockets.dial(parts.settings.listen)
            half = await sockets.dial(parts.settings.listen)
            await half.write(ENQUEUE[:-5])
            stop = parts.engine.stop

            async def stopped():
                await stop()
                connection.sock.send(ENQUEUE)  # it is in the kernel, unread, when the process is about to end

            parts.engine.stop = stopped
            parts.leaving.set()
            await done.wait()
            heard = b""
            while piece := await connection.read():  # never a reset
                heard += piece
            assert heard == b"-BUSY 2000\r\n"
            assert await idle.read() == b""
    assert not list(Journal(str(tmp_path), 3_000_000).recover())  # neither it nor the half one was taken on


async def test_the_process_ends_only_after_its_clients_have_seen_their_connections_end(tmp_path):
    sent = []
    async with serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform:
        parts = service(tmp_path, platform)
        async with running(parts) as done:
            await wait_until(lambda: parts.engine.serving)
            connection = await sockets.dial(parts.settings.listen)
            await connection.write(command(b"PING"))
            assert await connection.read() == b"+PONG\r\n"
            tasks = parts.tasks

            def last_moment():
                if connection.is_idle():  # this client has not seen the end: it may still ask
                    sent.append(connection.sock.send(ENQUEUE))
                tasks.cancel_scope.cancel()

            scope = SimpleNamespace(cancel=last_moment)
            parts.tasks = SimpleNamespace(start_soon=tasks.start_soon, cancel_scope=scope)
            parts.leaving.set()
            await done.wait()
            with suppress(ConnectionResetError):
                assert await connection.read() == b""
    assert not sent  # whatever it asks then is answered by nobody


async def test_a_connection_whose_next_command_is_there_is_not_ended_for_having_been_idle(
    tmp_path, monkeypatch
):
    async with running_courier(tmp_path, endpoints=[("127.0.0.1:1",)]) as courier:
        connection = await sockets.dial(courier.address)
        await connection.write(command(b"PING"))
        assert await connection.read() == b"+PONG\r\n"
        client_limiter = courier.engine.fronts["resp"].limiter
        monkeypatch.setattr(limiter, "IDLE_TIMEOUT_US", -1)  # it has been idle for too long just now
        connection.sock.send(ENQUEUE)
        client_limiter.close_overdue()
        assert await connection.read() == b"+OK\r\n"


async def test_a_first_command_that_is_there_is_answered_though_the_loop_was_late(tmp_path):
    async with running_courier(tmp_path, endpoints=[("127.0.0.1:1",)]) as courier:
        connection = await sockets.dial(courier.address)
        client_limiter = courier.engine.fronts["resp"].limiter
        await wait_until(lambda: client_limiter.clients)
        (ours,) = client_limiter.clients.values()
        connection.sock.send(ENQUEUE)
        ours.waiting_since_us -= limiter.COMMAND_TIMEOUT_US + 1  # nothing ran for so long
        client_limiter.close_overdue()
        assert await connection.read() == b"+OK\r\n"


async def test_sigterm_is_handled_while_another_process_owns_the_folder(tmp_path):
    async with serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform:
        other = FolderLock(str(tmp_path))
        assert other.acquire()
        parts = service(tmp_path, platform)
        async with running(parts) as done:
            await wait_until(lambda: parts.signals)
            parts.leaving.set()
            with anyio.fail_after(1):
                await done.wait()
        assert not (tmp_path / "journal").exists()  # it never wrote there
        other.release()


async def test_sighup_between_the_reading_of_the_file_and_the_receiver_is_applied(tmp_path):
    async with serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform:
        parts = service(tmp_path, platform, early_sighup=[True])
        changed = []
        parts.reloader.reload = lambda: changed.append(parts.engine.serving)
        async with running(parts):
            await wait_until(lambda: changed)
    assert changed == [True]


async def test_an_address_that_the_previous_process_still_holds_is_waited_for(tmp_path, monkeypatch):
    async with serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform_address:
        parts = service(tmp_path, platform_address)
        before = sockets.listen(parts.settings.listen)
        said = []

        def heard(event, **more):
            said.append(event)
            if event == "address_in_use":
                before.close()  # now that the new one has met it

        monkeypatch.setattr(listeners, "log", heard)
        async with running(parts):
            await wait_until(lambda: parts.engine.serving)
    assert "address_in_use" in said


async def test_an_error_of_the_network_at_accept_ends_nothing():
    sock, address = listener()

    class Faulty:
        errors = [errno.EPROTO, errno.ENETDOWN, errno.ENOMEM, errno.EPERM]

        def accept(self):
            if self.errors:
                raise OSError(self.errors.pop(), "on its way")
            return sock.accept()

        def fileno(self):
            return sock.fileno()

    served = []

    async def serve(connection):
        served.append(connection)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sockets.accept_forever, Faulty(), tasks, serve)
        client = await sockets.dial(address)
        await wait_until(lambda: served)
        tasks.cancel_scope.cancel()
    client.close()
    sock.close()
