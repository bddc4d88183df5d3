"""The transport to AMQP brokers against a stand-in broker that breaks at seeded random points."""

import random
import socket
from contextlib import suppress

import anyio
import pytest
from application_process import Application
from pamqp import commands, heartbeat
from platform_helpers import acknowledging_platform
from standins import (
    AmqpClient,
    BrokerStandIn,
    Client,
    HttpStandIn,
    running_courier,
    serve_on_loopback,
    wait_until,
)

from pinspread.policy.events import EndpointState

PAYMENTS, DESTINATIONS = 3000, 20

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("todo", "state", "effects", "tries"),
    [
        ("ack", "delivered", 1, 1),
        ("nack", "failed", 1, 1),  # it may have run: no retry
        ("kill", "failed", 1, 1),  # connection lost after the last byte, so it may have run: no retry
        ("lose", "failed", 0, 1),
        ("hang", "failed", 1, 1),  # no confirm in time: it may have run
        ("return", "returned", 0, None),  # unroutable: it never ran, so it is retried
    ],
)
async def test_what_a_brokers_answer_proves_of_a_payment(tmp_path, todo, state, effects, tries):
    seen = []
    broker = BrokerStandIn(lambda _, id_: seen.append(id_) or todo)
    async with (
        serve_on_loopback(broker) as address,
        running_courier(tmp_path, endpoints=[(address, "b", 1, "amqp")]) as courier,
    ):
        client = await AmqpClient.open(courier.amqp)
        await client.consume()
        await client.publish("p1", for_ms=700)
        result, _ = await client.next_final()
        assert result["state"] == state and len(broker.effects) == effects
        assert len(seen) > 1 if tries is None else len(seen) == tries


async def test_a_broker_that_stays_blocked_counts_as_retry_after_and_one_that_is_down_does_not(tmp_path):
    broker = BrokerStandIn()
    async with running_courier(tmp_path) as courier:
        async with serve_on_loopback(broker) as address:
            courier.update_endpoints(address, "b", 1, "amqp")
            client = Client(courier.address)
            await client.enqueue(id_="p1")
            await wait_until(lambda: broker.effects == ["p1"])
            await broker.send_to_all(commands.Connection.Blocked("disk"))
            await client.enqueue(id_="p2", for_ms=500)
            await wait_until(lambda: not courier.engine.attempts and not courier.engine.open_messages)
            assert courier.engine.retry_after_until_us[1] > courier.engine.clock.now() and broker.effects == [
                "p1"
            ]
            courier.engine.retry_after_until_us.clear()
            broker.kill()
        await anyio.sleep(1.1)
        await client.enqueue(id_="p3", for_ms=500)
        await wait_until(lambda: not courier.engine.open_messages)
        assert not courier.engine.retry_after_until_us


async def test_a_broker_that_is_removed_is_forgotten_with_its_last_pending_publish(tmp_path):
    broker = BrokerStandIn(lambda broker, id_: "wait")
    async with serve_on_loopback(broker) as address, running_courier(tmp_path) as courier:
        transport = courier.engine.transports["amqp"]
        courier.update_endpoints(address, "b", 1, "amqp")
        await Client(courier.address).enqueue(id_="p1")
        await wait_until(lambda: broker.effects == ["p1"])
        courier.update_endpoints(address, "b", 1, "amqp", state=EndpointState.REMOVED)
        assert not transport.connections and not transport.connect_locks and broker.streams
        for wire in broker.streams:
            await wire.send(commands.Basic.Ack(1, False), 1)
        await wait_until(lambda: not courier.engine.messages_by_id and not broker.streams)


async def test_a_payment_cut_short_before_its_last_byte_never_ran_and_goes_again(tmp_path):
    broker = BrokerStandIn()
    async with (
        serve_on_loopback(broker) as address,
        running_courier(tmp_path, endpoints=[(address, "b", 1, "amqp")]) as courier,
    ):
        client = Client(courier.address)
        await client.enqueue(id_="p1")
        await wait_until(lambda: broker.effects == ["p1"])
        broker_connection = courier.engine.transports["amqp"].connections["b"]
        broker_connection.stream.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        (broker_stream,) = broker.streams
        broker_stream.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        broker.reading = anyio.Event()
        for n in range(2, 9):  # more than the socket buffers hold while the broker does not read
            await client.enqueue(id_=f"p{n}", body=b"x" * 65_536)
        await wait_until(lambda: broker_connection.stream.connection.unsent_bytes)
        unfinished_id = broker_connection.pending[max(broker_connection.pending)].key[0]
        broker.kill()
        broker.reading.set()
        await wait_until(lambda: unfinished_id in broker.effects)
        assert len(broker.effects) == len(set(broker.effects))


@pytest.mark.parametrize(("tag", "multiple"), [(2, False), (2, True), (9, True)])
async def test_a_confirm_of_a_publish_that_was_never_begun_confirms_nothing(tmp_path, tag, multiple):
    broker, platform = BrokerStandIn(lambda broker, id_: "wait"), acknowledging_platform()
    async with (
        serve_on_loopback(broker) as address,
        serve_on_loopback(platform) as platform_address,
        running_courier(tmp_path, platform_address, endpoints=[(address, "b", 1, "amqp")]) as courier,
    ):
        await Client(courier.address).enqueue(id_="p1")
        await wait_until(lambda: broker.effects == ["p1"])
        (stream,) = broker.streams
        await stream.send(commands.Basic.Ack(tag, multiple), 1)
        await wait_until(lambda: not courier.engine.messages_by_id)
    assert [line["state"] for line in platform.lines] == ["failed"]
    assert broker.effects == ["p1"]


async def test_a_confirm_that_comes_before_the_last_byte_of_a_publish_proves_no_delivery(tmp_path):
    broker = BrokerStandIn()
    async with (
        serve_on_loopback(broker) as address,
        running_courier(tmp_path, endpoints=[(address, "b", 1, "amqp")]) as courier,
    ):
        client = Client(courier.address)
        await client.enqueue(id_="p1")
        await wait_until(lambda: broker.effects == ["p1"])
        broker_connection = courier.engine.transports["amqp"].connections["b"]
        broker_connection.stream.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        (broker_stream,) = broker.streams
        broker_stream.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        broker.reading = anyio.Event()
        for n in range(2, 9):
            await client.enqueue(id_=f"p{n}", body=b"x" * 65_536)
        await wait_until(lambda: broker_connection.stream.connection.unsent_bytes)
        unfinished_tag = max(broker_connection.pending)
        unfinished_id = broker_connection.pending[unfinished_tag].key[0]
        await broker_stream.send(commands.Basic.Ack(unfinished_tag, False), 1)
        await wait_until(lambda: broker_connection.closed_reason)
        broker.reading.set()
        await wait_until(lambda: unfinished_id in broker.effects)
        assert broker.effects.count(unfinished_id) == 1


async def test_a_blocked_broker_is_waited_for(tmp_path):
    broker = BrokerStandIn()
    async with (
        serve_on_loopback(broker) as address,
        running_courier(tmp_path, endpoints=[(address, "b", 1, "amqp")]) as courier,
    ):
        client = Client(courier.address)
        await client.enqueue(id_="p1")
        await wait_until(lambda: broker.effects == ["p1"])
        await broker.send_to_all(commands.Connection.Blocked("low on memory"))
        await anyio.sleep(0.05)
        await client.enqueue(id_="p2")
        await anyio.sleep(0.3)
        assert broker.effects == ["p1"]
        await broker.send_to_all(commands.Connection.Unblocked())
        await wait_until(lambda: broker.effects == ["p1", "p2"])


async def test_no_payment_takes_effect_twice_though_broker_and_instance_are_killed(tmp_path):
    """A few thousand payments, with a broker that fails at random points and a courier that is killed."""
    rng, kill_rng = random.Random(20), random.Random(21)
    breaks = kills = 0

    def plan(_, id_):
        nonlocal breaks
        draw = rng.random()
        breaks += draw < 0.03
        return "kill" if draw < 0.015 else "lose" if draw < 0.03 else "nack" if draw < 0.04 else "ack"

    broker, platform = BrokerStandIn(plan), HttpStandIn(lambda request: (204, [], b""))
    accepted, restarts = set(), 0
    async with serve_on_loopback(broker) as address, serve_on_loopback(platform) as platform_address:
        endpoints = [(address, f"b{n}", n, "amqp") for n in range(DESTINATIONS)]
        while len(accepted) < PAYMENTS:
            restarts += 1
            target_count = min(PAYMENTS, len(accepted) + kill_rng.randrange(150, 450))
            async with running_courier(tmp_path, platform_address, endpoints=endpoints) as courier:
                client = Client(courier.address)
                while len(accepted) < target_count:
                    id_, dest = f"p{len(accepted)}", len(accepted) % DESTINATIONS
                    if (await client.enqueue(id_=id_, for_ms=20_000, dest=dest)).startswith("+OK"):
                        accepted.add(id_)
                    else:
                        await anyio.sleep(0.01)
                    if kill_rng.random() < 0.005:
                        broker.kill()
                        kills += 1
                    await wait_until(lambda courier=courier: len(courier.engine.open_messages) < 80, 20)
                # the courier is killed here, with whatever is in flight or queued
        async with running_courier(tmp_path, platform_address, endpoints=endpoints) as courier:
            await wait_until(lambda: not courier.engine.messages_by_id, 30)
    finished_ids = {notice["id"] for notice in platform.lines}
    assert restarts > 5 and kills > 8 and breaks > 20
    assert len(broker.effects) == len(set(broker.effects))  # no payment took effect twice
    assert accepted <= finished_ids | set(broker.effects)  # each took effect or has a final result
    assert len(set(broker.effects)) > PAYMENTS // 2  # most payments are delivered between the failures


async def test_order_per_key_holds_at_a_broker_that_breaks_and_over_restarts(tmp_path):
    rng = random.Random(7)

    def plan(_, id_):
        draw = rng.random()
        return "kill" if draw < 0.03 else "lose" if draw < 0.06 else "return" if draw < 0.1 else "ack"

    broker, keys, sent = BrokerStandIn(plan), 5, 0
    async with serve_on_loopback(broker) as address:
        for _ in range(4):
            async with running_courier(tmp_path, endpoints=[(address, "b", 1, "amqp")]) as courier:
                client = await AmqpClient.open(courier.amqp)
                for _ in range(60):
                    key = f"booking-{rng.randrange(keys)}"
                    await client.publish(f"{key}/{sent}", "booking-change", for_ms=20_000, key=key)
                    assert isinstance((await client.next())[0], commands.Basic.Ack)
                    sent += 1
                    await wait_until(lambda courier=courier: len(courier.engine.open_messages) < 40, 20)
                # the courier is killed here, with whatever is in flight or queued
        async with running_courier(tmp_path, endpoints=[(address, "b", 1, "amqp")]) as courier:
            await wait_until(lambda: not courier.engine.open_messages, 30)
    for key in range(keys):
        first_effects = list(dict.fromkeys(int(e.split("/")[1]) for e in broker.effects if f"-{key}/" in e))
        assert len(first_effects) > 20 and first_effects == sorted(first_effects)


async def test_a_retry_after_holds_for_messages_of_both_fronts(tmp_path):
    answers = [(429, [("Retry-After", "0.4")], b"")]
    endpoint = HttpStandIn(lambda request: answers.pop() if answers else (200, [], b""))
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        client = await AmqpClient.open(courier.amqp)
        await client.publish("a1")
        await wait_until(lambda: len(endpoint.requests) == 1)
        await client.publish("a2")
        await Client(courier.address).enqueue(id_="r3")
        await wait_until(lambda: len(endpoint.requests) == 4)
        assert all(r[0] - endpoint.requests[0][0] >= 0.4 for r in endpoint.requests[1:])


async def test_a_process_killed_amid_payments_repeats_none(tmp_path):
    rng = random.Random(3)
    broker, platform = BrokerStandIn(), HttpStandIn(lambda request: (204, [], b""))
    broker.plan = lambda _, id_: "kill" if rng.random() < 0.01 else "ack"
    accepted = set()
    async with serve_on_loopback(broker) as address, serve_on_loopback(platform) as platform_address:
        for _ in range(4):
            process = Application(tmp_path, address, platform_address)
            client = await process.client()
            for _ in range(rng.randrange(60, 120)):
                id_ = f"p{len(accepted)}"
                answer = await client.say("ENQUEUE", "0", id_, "c=payment,t=all,d=20000,dest=1", "x")
                accepted |= {id_} if answer.startswith("+OK") else set()
            await process.kill()
        process = Application(tmp_path, address, platform_address)
        finished_ids = lambda: set(broker.effects) | {notice["id"] for notice in platform.lines}  # noqa: E731
        await wait_until(lambda: accepted <= finished_ids(), 20)
        await anyio.sleep(0.3)
        await process.kill()
    assert broker.logins == {"\0u\0s3cret"}
    assert len(accepted) > 200 and len(set(broker.effects)) > 100
    assert len(broker.effects) == len(set(broker.effects))


async def test_a_publish_that_is_not_confirmed_in_time_is_over_before_the_message_goes_again(tmp_path):
    """Guards against two live attempts for one message at a broker that hangs."""
    live = []  # at each publish of m1: how many connections hold one without a confirm

    def plan(broker, id_):
        if id_ == "m1":
            live.append(len(broker.streams))
        return "wait" if len(live) < 2 else "ack"

    broker = BrokerStandIn(plan)

    async def send_heartbeats():  # the broker is up, it only confirms nothing
        while True:
            await anyio.sleep(0.2)
            for stream in list(broker.streams):
                with suppress(OSError):
                    await stream.write(heartbeat.Heartbeat().marshal())

    async with (
        serve_on_loopback(broker) as address,
        running_courier(tmp_path, endpoints=[(address, "b", 1, "amqp")]) as courier,
    ):
        courier.tasks.start_soon(send_heartbeats)
        await Client(courier.address).enqueue("status-update", "m1", for_ms=15_000)
        await wait_until(lambda: broker.effects == ["m1"])
        (first,) = broker.streams
        await wait_until(lambda: len(live) == 2, 10)
        assert first not in broker.streams and live == [1, 1]
        await wait_until(lambda: not courier.engine.messages_by_id)


async def test_a_payment_that_is_not_confirmed_in_time_leaves_the_others_their_connection(tmp_path):
    """Guards against payments that fail because another one's confirm was late: none of them goes again."""
    broker = BrokerStandIn(lambda broker, id_: "wait" if id_ == "p1" else "ack")
    async with (
        serve_on_loopback(broker) as address,
        running_courier(tmp_path, endpoints=[(address, "b", 1, "amqp")]) as courier,
    ):
        client = Client(courier.address)
        await client.enqueue("payment", "p1", for_ms=700)
        await wait_until(lambda: broker.effects == ["p1"])
        (stream,) = broker.streams
        await wait_until(lambda: not courier.engine.open_messages)
        assert broker.streams == {stream}
