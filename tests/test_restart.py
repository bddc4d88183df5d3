"""Restarts with open messages, and the start and end of the process: connections, signals and locks."""

import errno
from contextlib import suppress
from types import SimpleNamespace

import anyio
import pytest
from in_process_service import ENQUEUE, command, running, service
from standins import Client, HttpStandIn, listener, running_courier, serve_on_loopback, wait_until

from pinspread import sockets
from pinspread.core.folder_lock import FolderLock
from pinspread.core.journal import Journal
from pinspread.service import listeners
from pinspread.sockets import limiter

pytestmark = [pytest.mark.anyio, pytest.mark.usefixtures("clock_of_the_log")]


async def test_that_an_attempt_may_have_run_is_kept_over_two_restarts(tmp_path):
    answers = [anyio.sleep_forever(), (429, [("Retry-After", "60")], b"")]
    endpoint = HttpStandIn(lambda request: answers.pop(0))
    async with serve_on_loopback(endpoint) as address:
        # This courier is killed with the first attempt in flight.
        async with running_courier(tmp_path, endpoints=[(address,)]) as courier:
            await Client(courier.address).enqueue("booking-change", for_ms=60_000)
            await wait_until(lambda: endpoint.requests)
            written_us = courier.engine.messages_by_id["id1"].in_flight_since_unix_us
        # This courier is killed after an attempt that did not run.
        async with running_courier(tmp_path, endpoints=[(address,)]) as courier:
            await wait_until(lambda: len(endpoint.requests) == 2 and not courier.engine.attempts)
        async with running_courier(tmp_path) as courier:
            message = courier.engine.messages_by_id["id1"]
            assert (message.may_have_run_unix_us, message.attempts) == (written_us, 2)


async def test_an_unacknowledged_notification_is_sent_again_after_a_restart(tmp_path):
    endpoint = HttpStandIn(lambda request: (500, [], b""))  # the attempt may have run, so the payment fails
    silent, answering = HttpStandIn(lambda request: None), HttpStandIn(lambda request: (204, [], b""))
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(silent) as first,
        serve_on_loopback(answering) as second,
    ):
        async with running_courier(tmp_path, first, endpoints=[(address,)]) as courier:
            await Client(courier.address).enqueue("payment")
            await wait_until(lambda: silent.requests)  # killed while the notification is in flight
        async with running_courier(tmp_path, second, endpoints=[(address,)]) as courier:
            await wait_until(lambda: not courier.engine.messages_by_id)
        assert [r[4] for r in answering.requests] == [silent.requests[0][4]] and len(endpoint.requests) == 1


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
            incomplete = await sockets.dial(parts.settings.listen)
            await incomplete.write(ENQUEUE[:-5])
            stop = parts.engine.stop

            async def stop_then_send():
                await stop()
                connection.sock.send(ENQUEUE)  # unread in the kernel when the process is about to end

            parts.engine.stop = stop_then_send
            parts.leaving.set()
            await done.wait()
            received = b""
            while chunk := await connection.read():  # never a reset
                received += chunk
            assert received == b"-BUSY 2000\r\n"
            assert await idle.read() == b""
    assert not list(Journal(str(tmp_path), 3_000_000).recover())  # neither of the two was accepted


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
                if connection.is_idle():  # the client has not seen the end, and may send a command
                    sent.append(connection.sock.send(ENQUEUE))
                tasks.cancel_scope.cancel()

            scope = SimpleNamespace(cancel=last_moment)
            parts.tasks = SimpleNamespace(start_soon=tasks.start_soon, cancel_scope=scope)
            parts.leaving.set()
            await done.wait()
            with suppress(ConnectionResetError):
                assert await connection.read() == b""
    assert not sent  # a command sent then would get no reply


async def test_a_connection_whose_next_command_is_there_is_not_ended_for_having_been_idle(
    tmp_path, monkeypatch
):
    async with running_courier(tmp_path, endpoints=[("127.0.0.1:1",)]) as courier:
        connection = await sockets.dial(courier.address)
        await connection.write(command(b"PING"))
        assert await connection.read() == b"+PONG\r\n"
        client_limiter = courier.engine.fronts["resp"].limiter
        monkeypatch.setattr(limiter, "IDLE_TIMEOUT_US", -1)  # the idle time-out has just passed
        connection.sock.send(ENQUEUE)
        client_limiter.close_overdue()
        assert await connection.read() == b"+OK\r\n"


async def test_a_first_command_that_is_there_is_answered_though_the_loop_was_late(tmp_path):
    async with running_courier(tmp_path, endpoints=[("127.0.0.1:1",)]) as courier:
        connection = await sockets.dial(courier.address)
        client_limiter = courier.engine.fronts["resp"].limiter
        await wait_until(lambda: client_limiter.clients)
        (client,) = client_limiter.clients.values()
        connection.sock.send(ENQUEUE)
        client.waiting_since_us -= limiter.COMMAND_TIMEOUT_US + 1  # as if the loop had stood still so long
        client_limiter.close_overdue()
        assert await connection.read() == b"+OK\r\n"


async def test_sigterm_is_handled_while_another_process_owns_the_folder(tmp_path):
    async with serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform:
        other_lock = FolderLock(str(tmp_path))
        assert other_lock.acquire()
        parts = service(tmp_path, platform)
        async with running(parts) as done:
            await wait_until(lambda: parts.signals)
            parts.leaving.set()
            with anyio.fail_after(1):
                await done.wait()
        assert not (tmp_path / "journal").exists()  # it did not write to the folder
        other_lock.release()


async def test_sighup_between_the_reading_of_the_file_and_the_receiver_is_applied(tmp_path):
    async with serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform:
        parts = service(tmp_path, platform, early_sighup=[True])
        reloads = []
        parts.reloader.reload = lambda: reloads.append(parts.engine.serving)
        async with running(parts):
            await wait_until(lambda: reloads)
    assert reloads == [True]


async def test_an_address_that_the_previous_process_still_holds_is_waited_for(tmp_path, monkeypatch):
    async with serve_on_loopback(HttpStandIn(lambda request: (204, [], b""))) as platform_address:
        parts = service(tmp_path, platform_address)
        previous_listener = sockets.listen(parts.settings.listen)
        events = []

        def record_event(event, **fields):
            events.append(event)
            if event == "address_in_use":
                previous_listener.close()  # once the new process has found the address in use

        monkeypatch.setattr(listeners, "log", record_event)
        async with running(parts):
            await wait_until(lambda: parts.engine.serving)
    assert "address_in_use" in events


async def test_network_errors_of_accept_do_not_stop_the_server():
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
