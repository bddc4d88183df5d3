"""The platform's test bed on loopback: real couriers, compared with the simulation of the same scenario."""

import os
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import anyio
import orjson
import pytest

from pinspread.config import settings
from pinspread.simulation import simulate, trace, trace_recording, trace_replay
from pinspread.simulation.destination import ServingState
from pinspread.simulation.model import FleetModel
from pinspread.simulation.scenario import draw_scenario
from pinspread.testbed import platform
from pinspread.testbed.client_traffic import ClientTraffic
from pinspread.testbed.clients import Client
from pinspread.testbed.courier_logs import ObservedFailure, check_overloads
from pinspread.testbed.endpoint_stand_in import EndpointStandIn
from pinspread.testbed.loopback import wait_until
from pinspread.testbed.platform_configuration import courier_configuration
from pinspread.testbed.platform_run import PlatformRun
from pinspread.testbed.platform_stand_in import PlatformStandIn

ROOT = Path(__file__).parents[1]
CALM = {"length_s": 5, "traffic": {"load": 0.5}, "network": {"silent_accepts": True}}


def test_a_day_on_sockets_goes_as_the_model_says_and_its_logs_can_be_replayed(tmp_path):
    model = FleetModel.model_validate(CALM | {"couriers": {"count": 2}})
    scenario = draw_scenario(model, 4)
    measured = platform.play(model, scenario, tmp_path)
    simulated = simulate.Simulation(model, scenario).run()
    assert not measured["broken"] and measured["lost"] == 0
    assert measured["delivered"] == measured["messages"] == simulated["messages"]
    assert measured["service_unbroken"] == pytest.approx(simulated["service_unbroken"], abs=0.05)
    logs = [(p.name, p.read_bytes().splitlines()) for p in sorted(tmp_path.glob("play-*/*.log"))]
    recorded = trace_recording.record_trace(logs, b"sixteen bytes or more")
    assert len(recorded.arrivals.at_us) == measured["messages"] and recorded.instance_count == 2
    trace.write_trace(recorded, str(tmp_path / "t"))
    replayed = simulate.Simulation(model, trace_replay.replay_trace(str(tmp_path / "t"), model, 1)).run()
    assert replayed["messages"] == measured["messages"]
    replayed_ms, played_ms = replayed["latency_all"]["ms"]["50"], measured["latency_all"]["ms"]["50"]
    assert replayed_ms == pytest.approx(played_ms, rel=0.4)


def test_troubles_on_sockets_break_no_rule(tmp_path):
    model = FleetModel.model_validate(
        CALM
        | {
            "length_s": 8,
            "trouble": [
                {"kind": "crash", "at_s": 1.5, "length_s": 2, "share": 0.2},
                {"kind": "kill", "at_s": 2, "length_s": 1, "share": 0.7},
                {"kind": "replace", "at_s": 1, "share": 0.2},
                {"kind": "drain", "at_s": 1, "length_s": 3, "share": 0.1},
            ],
        }
    )
    measured = platform.play(model, draw_scenario(model, 2), tmp_path)
    assert not measured["broken"] and measured["lost"] == 0 and measured["payments_twice"] == 0
    assert measured["delivered"] > 0.8 * measured["messages"]


def test_the_demo_shows_what_became_of_the_traffic(tmp_path):
    command = [sys.executable, "-m", "pinspread", "demo", "--seconds", "4", "--keep", str(tmp_path)]
    completed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, env=os.environ)
    assert completed.returncode == 0, completed.stderr
    assert "payments run twice: 0; messages without an end: 0" in completed.stdout
    assert "refuses connections" in completed.stdout


@pytest.mark.parametrize("weights", [0.0, 0.3])
def test_couriers_on_sockets_are_configured_as_the_models_are(weights, tmp_path):
    model = FleetModel.model_validate(CALM | {"partners": {"weights": weights}})
    run = PlatformRun(model, draw_scenario(model, 3))
    endpoints = PlatformStandIn(run, 0, lambda notification: None).endpoint_list()
    configuration = orjson.loads(orjson.dumps(courier_configuration(run, 0, endpoints, str(tmp_path))))
    assert settings.read(configuration, {}).policy_settings == run.settings
    assert run.settings.weights_exact == (weights == 0)


def test_a_client_dials_again_where_its_kept_connection_was_closed():
    async def run_test():
        async def one_answer(stream):
            async with stream:
                await stream.receive()
                await stream.send(b"+OK\r\n")

        async with (
            await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(listener.serve, one_answer)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = Client(f"127.0.0.1:{port}", reconnect=True)
            for _ in range(3):
                assert await client.say("PING") == "+OK\r\n"
                await anyio.sleep(0.02)  # for the close to arrive
            tasks.cancel_scope.cancel()

    anyio.run(run_test)


@pytest.mark.parametrize("ended_before_answer", [False, True])
def test_a_client_without_an_answer_submits_under_the_same_id_at_the_same_courier(ended_before_answer):
    received = []  # (courier, id)

    async def run_test():
        model = FleetModel.model_validate(CALM)
        run = PlatformRun(model, draw_scenario(model, 3))

        def courier(number):
            async def answer(stream):
                async with stream:
                    received.append((number, (await stream.receive()).split(b"\r\n")[6].decode()))
                    if len(received) > 1:
                        await stream.send(b"+OK\r\n")
                    elif ended_before_answer:
                        clients.on_final({"id": received[0][1], "state": "failed"})
                    await anyio.sleep(1)

            return answer

        async with anyio.create_task_group() as tasks:
            couriers = []
            clients = ClientTraffic(run, couriers, tasks)
            for number in range(2):
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                tasks.start_soon(listener.serve, courier(number))
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                couriers.append(SimpleNamespace(address=f"127.0.0.1:{port}", ready=True, idle_clients=[]))
            # If it were asked again, it would give another courier each time.
            run.clients.instance_of = lambda row: len(received) % 2
            await clients._submit(0)
            tasks.cancel_scope.cancel()
        assert run.unanswered == 1

    anyio.run(run_test)
    assert received == received[:1] * (1 if ended_before_answer else 2)


def test_a_silent_partner_does_not_keep_connections_of_callers_that_are_gone():
    async def run_test():
        model = FleetModel.model_validate(CALM)
        run = PlatformRun(model, draw_scenario(model, 3))
        endpoint = run.endpoints[1]
        endpoint.connection_limit = 2
        stand_in = EndpointStandIn(run, endpoint, 0)
        host, port = stand_in.address.rsplit(":", 1)
        call = b"POST /x HTTP/1.1\r\nHost: p\r\nRequest-Id: 0000000000aaaaaa\r\nContent-Length: 0\r\n\r\n"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stand_in.listen)
            await wait_until(lambda: stand_in.listening is not None)
            endpoint.state = ServingState.SILENT
            callers = [await anyio.connect_tcp(host, int(port)) for _ in range(3)]
            for caller in callers:
                await caller.send(call)
            assert b" 503 " in await callers[2].receive()  # one above the connection limit
            assert endpoint.connections == 2
            for caller in callers:
                await caller.aclose()
            await wait_until(lambda: endpoint.connections == 0)
            tasks.cancel_scope.cancel()

    anyio.run(run_test)


@pytest.mark.parametrize(("failed_at_s", "broken"), [(6.0, True), (1.0, False), (10.0, False)])
def test_who_was_refused_a_connection_is_read_from_the_logs(failed_at_s, broken):
    model = FleetModel.model_validate(CALM)
    run = PlatformRun(model, draw_scenario(model, 3))
    # Destination 1 is down from 5 to 9 s and overloaded at 11 s; failures after 9 s are not of the outage.
    run.destinations[1].collapses.append((int(11e9), int(5e9), int(9e9), [0, 0, 1]))
    failures = [ObservedFailure(0, 1, int(failed_at_s * 1e9)), ObservedFailure(1, 2, int(6e9))]
    check_overloads(run, failures)
    assert bool(run.checker.counts["cold"]) == broken
