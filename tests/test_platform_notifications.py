"""The platform's rules for final results: notified until acknowledged, and in order for an ordering key."""

import anyio
import pytest
from platform_helpers import ACKNOWLEDGED, delayed_reply, scripted
from standins import AmqpClient, Client, HttpStandIn, running_courier, serve_on_loopback, wait_until

from pinspread.core import notifications
from pinspread.testbed import clients

pytestmark = pytest.mark.anyio


async def test_the_end_of_a_message_is_notified_at_once_and_until_it_is_acknowledged(tmp_path):
    replies = [(500, [], b""), None, ACKNOWLEDGED]
    platform_stand_in = HttpStandIn(lambda request: replies.pop(0))
    endpoint = HttpStandIn(lambda request: (500, [], b""))
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(platform_stand_in) as platform_address,
        running_courier(tmp_path, platform_address, endpoints=[(address,)]) as courier,
    ):
        await Client(courier.address).enqueue(for_ms=20_000)
        await wait_until(lambda: not courier.engine.messages_by_id)
        first, *_, last = platform_stand_in.requests
        assert first[0] - endpoint.requests[0][0] < 0.1 and last[0] - first[0] < 1
        assert len(platform_stand_in.requests) == 3 and first[4] == last[4]


async def test_an_ordering_key_goes_on_only_once_its_earlier_notification_is_acknowledged(tmp_path):
    slow_platform = HttpStandIn(lambda request: delayed_reply(0.3, ACKNOWLEDGED))
    endpoint = scripted(*[(500, [], b"")] * 6)
    async with (
        serve_on_loopback(endpoint) as address,
        serve_on_loopback(slow_platform) as platform_address,
        running_courier(tmp_path, platform_address, endpoints=[(address,)]) as courier,
    ):
        client = Client(courier.address)
        await client.enqueue("booking-change", key="77", for_ms=400)
        await client.enqueue("booking-change", id_="second", key="77")
        await wait_until(lambda: any(r[3]["request-id"] == "second" for r in endpoint.requests))
        sent_s = next(r[0] for r in endpoint.requests if r[3]["request-id"] == "second")
        assert sent_s - slow_platform.requests[0][0] >= 0.3


async def test_a_post_without_an_answer_does_not_make_later_notifications_late(tmp_path):
    platform = HttpStandIn(
        lambda request: anyio.sleep_forever() if len(platform.requests) == 1 else ACKNOWLEDGED
    )
    endpoint = HttpStandIn(lambda request: (500, [], b""))
    async with (
        serve_on_loopback(platform) as discovery,
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, discovery, [(address,)]) as courier,
    ):
        client = Client(courier.address)
        await client.enqueue(id_="first")
        await wait_until(lambda: platform.requests)
        await client.enqueue(id_="second", for_ms=150)
        await wait_until(lambda: any(line["id"] == "second" for line in platform.lines), 0.15 + 0.3)


@pytest.mark.parametrize("restarts", [False, True])
async def test_notifications_that_nobody_acknowledges_wait_in_turn_and_all_go_out_later(
    tmp_path, monkeypatch, restarts
):
    """Guards against kilobytes of memory for each result while the platform is away, and lost results."""
    monkeypatch.setattr(notifications, "MAX_UNDER_WAY", 3)
    down, up = HttpStandIn(lambda request: (503, [], b"")), HttpStandIn(lambda request: ACKNOWLEDGED)
    ids = [f"m{number:02}" for number in range(20)]
    async with (
        serve_on_loopback(down) as down_address,
        serve_on_loopback(up) as up_address,
    ):
        async with running_courier(tmp_path, down_address) as courier:
            for number, id_ in enumerate(ids):
                assert await Client(courier.address).enqueue(id_=id_, for_ms=200 + number) == "+OK\r\n"
            await wait_until(lambda: not courier.engine.open_messages)
            under_way = courier.engine.notifications
            assert (under_way.under_way, len(under_way.waiting)) == (3, len(ids) - 3)
            if not restarts:
                courier.engine.fronts["resp"].notifications.change_address(up_address)
                await wait_until(lambda: not courier.engine.messages_by_id)
                assert not under_way.under_way and not under_way.waiting
        if restarts:
            async with running_courier(tmp_path, up_address) as courier:
                await wait_until(lambda: not courier.engine.messages_by_id)
    assert sorted(line["id"] for line in up.lines) == ids


async def test_a_consumer_that_acknowledges_nothing_keeps_no_other_from_its_results(tmp_path, monkeypatch):
    """Guards against results of one AMQP queue that wait for those of another."""
    monkeypatch.setattr(notifications, "MAX_UNDER_WAY", 2)
    async with running_courier(tmp_path) as courier:
        publisher = await AmqpClient.open(courier.amqp)
        for number in range(6):  # nobody consumes these
            await publisher.publish(f"m{number}", for_ms=100)
            await publisher.next()
        await wait_until(lambda: not courier.engine.open_messages)
        monkeypatch.setattr(clients, "REPLY_QUEUE", "other")
        await publisher.publish("consumed", for_ms=100)
        await publisher.next()
        consumer = await AmqpClient.open(courier.amqp)
        await consumer.consume("other")
        assert (await consumer.next_final())[0]["id"] == "consumed"
