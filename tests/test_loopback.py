"""The platform's testbed on loopback: real couriers, and the model's figures beside theirs."""

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
    world = FleetModel.model_validate(CALM | {"couriers": {"count": 2}})
    drawn = draw_scenario(world, 4)
    found = platform.play(world, drawn, tmp_path)
    said = simulate.Simulation(world, drawn).run()
    assert not found["broken"] and found["lost"] == 0
    assert found["delivered"] == found["messages"] == said["messages"]
    assert found["service_unbroken"] == pytest.approx(said["service_unbroken"], abs=0.05)
    logs = [(p.name, p.read_bytes().splitlines()) for p in sorted(tmp_path.glob("play-*/*.log"))]
    recorded = trace_recording.record_trace(logs, b"sixteen bytes or more")
    assert len(recorded.arrivals.at_us) == found["messages"] and recorded.instance_count == 2
    trace.write_trace(recorded, str(tmp_path / "t"))
    again = simulate.Simulation(world, trace_replay.replay_trace(str(tmp_path / "t"), world, 1)).run()
    assert again["messages"] == found["messages"]
    ours, theirs = again["latency_all"]["ms"]["50"], found["latency_all"]["ms"]["50"]
    assert ours == pytest.approx(theirs, rel=0.4)


def test_troubles_on_sockets_break_no_rule(tmp_path):
    world = FleetModel.model_validate(
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
    found = platform.play(world, draw_scenario(world, 2), tmp_path)
    assert not found["broken"] and found["lost"] == 0 and found["payments_twice"] == 0
    assert found["delivered"] > 0.8 * found["messages"]


def test_the_demo_shows_what_became_of_the_traffic(tmp_path):
    call = [sys.executable, "-m", "pinspread", "demo", "--seconds", "4", "--keep", str(tmp_path)]
    done = subprocess.run(call, capture_output=True, text=True, cwd=ROOT, env=os.environ)
    assert done.returncode == 0, done.stderr
    assert "payments run twice: 0; messages without an end: 0" in done.stdout
    assert "refuses connections" in done.stdout


@pytest.mark.parametrize("weights", [0.0, 0.3])
def test_couriers_on_sockets_are_told_what_the_models_are(weights, tmp_path):
    world = FleetModel.model_validate(CALM | {"partners": {"weights": weights}})
    run = PlatformRun(world, draw_scenario(world, 3))
    endpoints = PlatformStandIn(run, 0, lambda notification: None).endpoint_list()
    told = orjson.loads(orjson.dumps(courier_configuration(run, 0, endpoints, str(tmp_path))))
    assert settings.read(told, {}).policy_settings == run.settings
    assert run.settings.weights_exact == (weights == 0)


def test_a_client_dials_again_where_its_kept_connection_was_closed():
    async def scene():
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
                await anyio.sleep(0.02)  # the close comes in
            tasks.cancel_scope.cancel()

    anyio.run(scene)


@pytest.mark.parametrize("ends_unheard", [False, True])
def test_a_client_without_an_answer_submits_under_the_same_id_at_the_same_courier(ends_unheard):
    heard = []  # (courier, id)

    async def scene():
        world = FleetModel.model_validate(CALM)
        run = PlatformRun(world, draw_scenario(world, 3))

        def courier(number):
            async def answer(stream):
                async with stream:
                    heard.append((number, (await stream.receive()).split(b"\r\n")[6].decode()))
                    if len(heard) > 1:
                        await stream.send(b"+OK\r\n")
                    elif ends_unheard:
                        clients.on_final({"id": heard[0][1], "state": "failed"})
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
            run.clients.courier = lambda row: len(heard) % 2  # another one each time, were it asked again
            await clients._submit(0)
            tasks.cancel_scope.cancel()
        assert run.unanswered == 1

    anyio.run(scene)
    assert heard == heard[:1] * (1 if ends_unheard else 2)


def test_a_silent_partner_does_not_keep_the_places_of_callers_that_are_gone():
    async def scene():
        world = FleetModel.model_validate(CALM)
        run = PlatformRun(world, draw_scenario(world, 3))
        endpoint = run.endpoints[1]
        endpoint.connection_limit = 2
        hop = EndpointStandIn(run, endpoint, 0)
        host, port = hop.address.rsplit(":", 1)
        call = b"POST /x HTTP/1.1\r\nHost: p\r\nRequest-Id: 0000000000aaaaaa\r\nContent-Length: 0\r\n\r\n"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hop.listen)
            await wait_until(lambda: hop.listening is not None)
            endpoint.state = ServingState.SILENT
            callers = [await anyio.connect_tcp(host, int(port)) for _ in range(3)]
            for caller in callers:
                await caller.send(call)
            assert b" 503 " in await callers[2].receive()  # one too many for its table
            assert endpoint.connections == 2
            for caller in callers:
                await caller.aclose()
            await wait_until(lambda: endpoint.connections == 0)
            tasks.cancel_scope.cancel()

    anyio.run(scene)


@pytest.mark.parametrize(("failed_at_s", "broken"), [(6.0, True), (1.0, False), (10.0, False)])
def test_who_was_refused_a_connection_is_read_from_the_logs(failed_at_s, broken):
    world = FleetModel.model_validate(CALM)
    run = PlatformRun(world, draw_scenario(world, 3))
    # Down from 5 to 9 s, pushed over at 11 s; what failed after its return is no outage.
    run.destinations[1].collapses.append((int(11e9), int(5e9), int(9e9), [0, 0, 1]))
    seen = [ObservedFailure(0, 1, int(failed_at_s * 1e9)), ObservedFailure(1, 2, int(6e9))]
    check_overloads(run, seen)
    assert bool(run.checker.counts["cold"]) == broken
