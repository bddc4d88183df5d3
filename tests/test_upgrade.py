"""Upgrades under load, in which each process takes over from the previous one; endpoints are stand-ins."""

import signal

import anyio
import orjson
import pytest
from standins import Client, serve_on_loopback, wait_until
from upgrade_deployment import Endpoint, Ledger, call, deployed, suspended, wait_ready

from pinspread import sockets
from pinspread.core import journal_records

pytestmark = pytest.mark.anyio


async def test_two_upgrades_under_load_lose_nothing_and_nobody_notices(tmp_path):
    async with deployed(tmp_path) as (deployment, ledger):
        await anyio.sleep(0.5)
        for _ in range(2):
            old = deployment.processes[-1]
            new = deployment.start()
            await wait_ready(new)
            assert await call(old.admin_address) != 200
            old.send_signal(signal.SIGTERM)
            with anyio.fail_after(3.7):
                while old.poll() is None:
                    await anyio.sleep(0.01)
            assert old.returncode == 0
            await anyio.sleep(0.5)
    ledger.check()
    assert not ledger.client_errors and len(ledger.accepted) > 200
    events = [e["event"] for e in deployment.events(1)]
    assert "handover_received" in events and "recovered" not in events and "handed_over" in events


async def test_a_call_is_live_until_the_courier_closes_its_connection():
    ledger = Ledger()
    ledger.duration_s = lambda request: 0.2
    request = b"POST /events HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
    async with serve_on_loopback(Endpoint(ledger)) as address:
        for id_, closed in ((b"kept", False), (b"closed", True)):
            first, second = await sockets.dial(address), await sockets.dial(address)
            await first.write(request % id_)
            await wait_until(lambda id_=id_: id_.decode() in ledger.received)
            if closed:
                first.close()
            await second.write(request % id_)
            assert (await second.read()).startswith(b"HTTP/1.1 200 ")
            first.close()
            second.close()
    assert ledger.called_while_running == {"kept", "closed"} and ledger.overlapping_calls == ["kept"]


async def test_an_attempt_that_times_out_during_an_upgrade_is_over_before_the_next_one(tmp_path):
    async with deployed(tmp_path, clients=0) as (deployment, ledger):
        ledger.duration_s = lambda request: 0 if len(ledger.received) > 1 else 6  # longer than any time-out
        assert await Client(deployment.address).enqueue("status-update", "m", for_ms=8000) == "+OK\r\n"
        ledger.accepted["m"] = "status-update", "0"
        await wait_until(lambda: ledger.received)
        new = deployment.start()
        await wait_ready(new)
        assert [e["in_flight"] for e in deployment.events(1) if e["event"] == "handover_received"] == [1]
        await wait_until(lambda: len(ledger.received) == 2)
        assert ledger.called_while_running == {"m"} and ledger.running["m"]
    ledger.check()
    assert [event["outcome"] for event in deployment.attempts("m")] == ["TIMEOUT", "OK"]


async def test_the_end_that_the_old_process_reported_counts_though_the_new_one_reads_it_late(tmp_path):
    async with deployed(tmp_path, clients=0) as (deployment, ledger):
        ledger.duration_s = lambda request: 2.4
        assert await Client(deployment.address).enqueue("payment", "m", for_ms=3000) == "+OK\r\n"
        ledger.accepted["m"] = "payment", "0"
        await wait_until(lambda: ledger.received)
        new = deployment.start()
        await wait_ready(new, 2)
        async with suspended(new):
            await anyio.sleep(4)  # longer than the attempt's time-out and the time for its report
        await wait_until(lambda: deployment.attempts("m"))
    ledger.check()
    assert [event["outcome"] for event in deployment.attempts("m")] == ["OK"]


async def test_nothing_is_sent_again_while_an_old_process_that_hangs_may_still_be_sending(tmp_path):
    async with deployed(tmp_path, clients=0) as (deployment, ledger):
        ledger.duration_s = lambda request: 0 if len(ledger.received) > 1 else 6
        assert await Client(deployment.address).enqueue("status-update", "m", for_ms=8000) == "+OK\r\n"
        ledger.accepted["m"] = "status-update", "0"
        await wait_until(lambda: ledger.received)
        await wait_ready(deployment.start(), 2)
        async with suspended(deployment.processes[0]):
            await anyio.sleep(4)  # longer than the attempt's time-out and the time for its report
            assert ledger.received == ["m"]
    ledger.check()
    assert [event["outcome"] for event in deployment.attempts("m")] == ["TIMEOUT", "OK"]


async def test_a_message_ends_at_its_deadline_though_the_old_process_hangs(tmp_path):
    async with deployed(tmp_path, clients=0) as (deployment, ledger):
        ledger.duration_s = lambda request: 60
        assert await Client(deployment.address).enqueue("status-update", "m", for_ms=4500) == "+OK\r\n"
        ledger.accepted["m"] = "status-update", "0"
        await wait_until(lambda: ledger.received)
        await wait_ready(deployment.start(), 2)
        async with suspended(deployment.processes[0]):
            await wait_until(ledger.settled, 10)
    ledger.check()
    assert ledger.received == ["m"] and "m" in ledger.final_states


async def test_a_returned_message_comes_again_only_once_the_call_in_a_process_that_hangs_is_over(tmp_path):
    async with deployed(tmp_path, clients=0) as (deployment, ledger):
        ledger.duration_s = lambda request: 60 if len(ledger.received) < 2 else 0
        client = Client(deployment.address)
        assert await client.enqueue("status-update", "m", for_ms=3500) == "+OK\r\n"
        ledger.accepted["m"] = "status-update", "0"
        await wait_until(lambda: ledger.received)
        await wait_ready(deployment.start(), 2)
        client = Client(deployment.address)
        async with suspended(deployment.processes[0]):
            await wait_until(ledger.settled, 10)
            assert ledger.final_states["m"] == {"returned"}
            for _ in range(5):  # the first may be refused since the notification is not acknowledged yet
                assert await client.enqueue("status-update", "m", for_ms=3500) == "-BUSY 1000\r\n"
                await anyio.sleep(0.1)
        with anyio.fail_after(5):
            while await client.enqueue("status-update", "m", for_ms=3500) != "+OK\r\n":
                await anyio.sleep(0.05)
        await wait_until(lambda: len(ledger.received) == 2)
    assert not ledger.overlapping_calls


async def test_a_block_binds_both_processes_and_lasts(tmp_path):
    async with deployed(tmp_path, clients=0) as (deployment, ledger):
        old = deployment.processes[0]
        assert await call(old.admin_address, "PUT /-/endpoints/s-1/disable") == 200
        new = deployment.start()
        await wait_ready(new)
        assert await call(old.admin_address, "PUT /-/endpoints/s-2/disable") == 200  # via the old process
        client = Client(deployment.address)
        for n in range(2):
            assert await client.enqueue("status-update", f"m{n}", dest=1 + n) == "+OK\r\n"
            ledger.accepted[f"m{n}"] = "status-update", "0"
        await anyio.sleep(0.4)
        assert not ledger.received
        assert await call(new.admin_address, "PUT /-/endpoints/s-1/enable") == 200
        assert await call(old.admin_address, "PUT /-/endpoints/s-2/enable") == 200
        assert await call(old.admin_address, "PUT /-/endpoints/s-7/enable") == 404
        await wait_until(ledger.settled)
    ledger.check()


async def test_a_journal_of_a_newer_version_is_refused_plainly_and_the_old_process_serves_on(tmp_path):
    async with deployed(tmp_path, clients=2) as (deployment, ledger):
        await anyio.sleep(0.3)
        with open(tmp_path / "state" / "journal", "ab") as file:
            file.write(journal_records.frame(bytes([99]) + bytes(8)))
        new = deployment.start()
        assert await anyio.to_thread.run_sync(new.wait) == 1
        last_log_line = (tmp_path / "log1").read_bytes().splitlines()[-1]
        assert b"a record of kind 99 of a newer version" in last_log_line
        await wait_ready(deployment.processes[0], 3)
        deployment.processes[0].send_signal(signal.SIGHUP)
        await anyio.sleep(0.3)
    ledger.check()
    assert not ledger.client_errors


async def test_settings_that_change_while_both_processes_are_there_count_in_the_one_that_owns(tmp_path):
    async with deployed(tmp_path, clients=0) as (deployment, _):
        old, new = deployment.processes[0], deployment.start()
        await wait_ready(new)
        lanes = deployment.configuration["settings"]["lanes"]
        deployment.configuration["settings"]["lanes"] = [*lanes, lanes[-1] | {"name": "refund"}]
        deployment.file.write_bytes(orjson.dumps(deployment.configuration))
        for process in (old, new, old):
            process.send_signal(signal.SIGHUP)
        client = Client(deployment.address)
        with anyio.fail_after(3):
            while await client.enqueue("refund") != "+OK\r\n":
                await anyio.sleep(0.02)
        assert old.poll() is None
