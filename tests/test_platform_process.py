"""The platform's rules for the courier process: kills, signals, its log, and failing starts."""

import os
import signal
import subprocess
import sys

import anyio
import orjson
import pytest
from platform_helpers import ACKNOWLEDGED, CourierProcess, acknowledging_platform, delayed_reply, scripted
from standins import (
    Client,
    HttpStandIn,
    configuration,
    host,
    listener,
    serve_on_loopback,
    wait_until,
)

pytestmark = pytest.mark.anyio


async def test_after_a_kill_it_delivers_what_it_had_accepted_and_repeats_no_payment(tmp_path):
    endpoint, platform_stand_in = scripted(delayed_reply(30), delayed_reply(30)), acknowledging_platform()
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(platform_stand_in) as platform_address,
    ):
        first = await CourierProcess(tmp_path, address, platform_address).ready()
        await first.client.enqueue("payment", "out", for_ms=20_000)
        await first.client.enqueue("status-update", "repeatable", for_ms=20_000)
        await wait_until(lambda: len(endpoint.requests) == 2)
        await first.end(signal.SIGKILL)
        second = await CourierProcess(tmp_path, address, platform_address).ready()
        await wait_until(lambda: len(endpoint.requests) == 3 and platform_stand_in.lines)
        assert endpoint.requests[2][3]["request-id"] == "repeatable"
        assert platform_stand_in.lines == [{"id": "out", "state": "failed"}]
        await second.end(signal.SIGKILL)


async def test_sigterm_finishes_what_is_in_flight_answers_busy_and_ends_in_time(tmp_path):
    endpoint, platform_stand_in = scripted(delayed_reply(1.0), delayed_reply(60)), acknowledging_platform()
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(platform_stand_in) as platform_address,
    ):
        process = await CourierProcess(tmp_path, address, platform_address).ready()
        await process.client.enqueue(id_="out", for_ms=20_000)
        await wait_until(lambda: endpoint.requests)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(process.end, signal.SIGTERM)
            await anyio.sleep(0.3)
            assert await process.client.enqueue(id_="more") == "-BUSY 2000\r\n"
            assert await Client(process.address).enqueue(id_="new") == "-BUSY 2000\r\n"
        assert process.process.returncode == 0
        restarted = await CourierProcess(tmp_path, address, platform_address).ready()
        await anyio.sleep(0.2)
        assert len(endpoint.requests) == 1 and not platform_stand_in.lines  # delivered: nothing is left to do
        await restarted.client.enqueue("status-update", "hung", for_ms=20_000)
        await wait_until(lambda: len(endpoint.requests) == 2)
        code, seconds = await restarted.end(signal.SIGTERM)
        assert code == 0 and seconds < 3.7


async def test_sighup_moves_watch_and_notifications_and_an_unreadable_file_changes_nothing(tmp_path):
    watches = [None, None]  # the target of the last watch request to each of the two discovery services

    def discovery(n):
        def answer(request):
            if request[2] == "/v2/finals":
                return ACKNOWLEDGED
            watches[n] = request[2]
            update = {"seq": 9, "whole": True, "hosts": [host("s-1", endpoints[n])]}
            return delayed_reply(0, (200, [], orjson.dumps(update) + b"\n"))

        return HttpStandIn(answer)

    failing_endpoints = [HttpStandIn(lambda request: (500, [], b"")) for _ in range(2)]
    old, new = discovery(0), discovery(1)
    async with (
        serve_on_loopback(failing_endpoints[0]) as first,
        serve_on_loopback(failing_endpoints[1]) as second,
    ):
        endpoints = [first, second]
        async with serve_on_loopback(old) as before, serve_on_loopback(new) as after:
            process = await CourierProcess(tmp_path, first, before).ready()
            await wait_until(lambda: watches[0])
            process.file.write_bytes(b"{")
            process.process.send_signal(signal.SIGHUP)
            await process.client.enqueue(id_="one")
            await wait_until(lambda: old.lines == [{"id": "one", "state": "failed"}])
            process.configure(discovery=after)
            process.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: watches[1] == "/api/targets?watch=1&from=0")
            await anyio.sleep(0.1)
            old_requests = len(old.requests)
            await process.client.enqueue(id_="two")
            await wait_until(lambda: [line for line in new.lines if line["id"] == "two"])
            assert failing_endpoints[1].requests and len(old.requests) == old_requests
            code, _ = await process.end(signal.SIGTERM)
            assert code == 0


def test_a_log_that_nobody_reads_does_not_stall_the_courier():
    code = "from pinspread.core.log import log\nfor n in range(3000): log('e', n=n, text='x' * 100)"
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    assert process.wait(10) == 0
    lines = process.stdout.read().splitlines()
    assert 0 < len(lines) < 3000  # the other lines were dropped, none was cut
    assert all(orjson.loads(line)["event"] == "e" for line in lines)


@pytest.mark.parametrize("broken", ["state", "listen"])
def test_what_keeps_a_courier_from_starting_is_logged_in_a_line(tmp_path, broken):
    sock, address = listener()
    settings_file = configuration(tmp_path)
    settings_file |= {"state": str(tmp_path / "none")} if broken == "state" else {"listen": address}
    (tmp_path / "c.json").write_bytes(orjson.dumps(settings_file))
    env = os.environ | {"RELAY_CONFIG": str(tmp_path / "c.json")}
    command = [sys.executable, "-m", "pinspread"]
    finished = subprocess.run(command, env=env, capture_output=True, timeout=10, text=True)
    sock.close()
    assert finished.returncode == 1 and finished.stderr.count("\n") == 1 and "pinspread: " in finished.stderr
