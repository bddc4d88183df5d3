"""Acknowledgements, attempts and notifications that wait for replication, over real sockets."""

from contextlib import suppress

import anyio
import pytest
from pamqp import commands
from standins import AmqpClient, Client, HttpStandIn, running_courier, serve_on_loopback, wait_until

from pinspread.policy.events import AttemptCompleted, Outcome

pytestmark = pytest.mark.anyio


class ReplicationStandIn:
    """A stand-in for replication: a test sets when it completes, its result, and why it is blocked."""

    def __init__(self):
        self.reason, self.completed, self.replicated = "", anyio.Event(), True
        self.wait_count = 0

    def blocked_reason(self):
        return self.reason

    async def wait_replicated(self):
        self.wait_count += 1
        await self.completed.wait()
        return self.replicated


async def test_ok_waits_for_replication_and_so_does_the_first_byte_of_an_attempt(tmp_path):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        replication = courier.engine.replication = ReplicationStandIn()
        replies = []
        async with anyio.create_task_group() as tasks:

            async def submit():
                replies.append(await Client(courier.address).enqueue())

            tasks.start_soon(submit)
            await wait_until(lambda: replication.wait_count >= 2)  # the answer, and the attempt
            await anyio.sleep(0.1)
            assert replies == [] and endpoint.requests == []
            (message,) = courier.engine.journal.open_messages.values()
            assert message.in_flight_since_unix_us  # recorded before the endpoint gets it, to be replicated
            replication.completed.set()
        assert replies == ["+OK\r\n"]
        await wait_until(lambda: len(endpoint.requests) == 1)
        await wait_until(lambda: not courier.engine.messages_by_id)


async def test_a_connection_whose_replies_wait_for_replication_is_closed_at_a_hand_over(tmp_path):
    async with running_courier(tmp_path, endpoints=[("127.0.0.1:1",)]) as courier:
        replication = courier.engine.replication = ReplicationStandIn()
        async with anyio.create_task_group() as tasks:

            async def submit():
                with pytest.raises(anyio.EndOfStream):
                    await Client(courier.address).enqueue()

            tasks.start_soon(submit)
            await wait_until(lambda: replication.wait_count)
            with anyio.fail_after(1):
                # If the connection was served by the successor without this reply, the client would take the
                # next reply for this one.
                assert await courier.engine.fronts["resp"].detach_connections() == []


async def test_waiting_for_replication_costs_no_attempt_and_is_not_counted_as_the_endpoints_time(tmp_path):
    endpoint, ended = HttpStandIn(), []
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        replication, handle = ReplicationStandIn(), courier.engine.policy.handle

        def record_and_handle(now_ns, events):
            ended.extend(e for e in events if type(e) is AttemptCompleted)
            return handle(now_ns, events)

        async def submit():
            with suppress(anyio.EndOfStream):  # the connection may be closed before the reply
                await Client(courier.address).enqueue(for_ms=9000)

        courier.engine.replication, courier.engine.policy.handle = replication, record_and_handle
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit)
            await wait_until(lambda: replication.wait_count >= 2)  # the answer, and the attempt
            await anyio.sleep(3.5)  # longer than the time-out of a call
            replication.completed.set()
        await wait_until(lambda: not courier.engine.messages_by_id)
    (attempt,) = ended
    assert attempt.outcome is Outcome.OK and attempt.elapsed_ns < 1_000_000_000


async def test_what_is_not_replicated_is_neither_acknowledged_nor_sent(tmp_path):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        replication = courier.engine.replication = ReplicationStandIn()
        replication.replicated = False
        replication.completed.set()
        with pytest.raises(anyio.EndOfStream):
            await Client(courier.address).enqueue(id_="a")  # closed: neither OK nor BUSY would be true
        assert endpoint.requests == []
        replication.reason = "too few copies"
        assert (await Client(courier.address).enqueue(id_="b")).startswith("-BUSY ")
        assert (await Client(courier.address).enqueue(id_="a")).startswith("-BUSY ")  # known, not replicated
        assert await Client(courier.address).say("PING") == "+PONG\r\n"
        assert "b" not in courier.engine.messages_by_id and endpoint.requests == []


async def test_a_notification_waits_for_replication_and_what_was_taken_over_meanwhile_has_none(tmp_path):
    platform = HttpStandIn(lambda request: (204, [], b""))
    async with (
        serve_on_loopback(platform) as platform_address,
        running_courier(tmp_path, platform=platform_address) as courier,
    ):
        replication = courier.engine.replication = ReplicationStandIn()
        replication.completed.set()
        client = Client(courier.address)
        for id_ in ("kept", "gone"):
            assert await client.enqueue(id_=id_, for_ms=400) == "+OK\r\n"
        replication.reason = "the lease of its own work is lost"
        await wait_until(lambda: all(message.final for message in courier.engine.messages_by_id.values()))
        await anyio.sleep(0.1)
        assert platform.requests == []
        assert courier.engine.release({"gone"}) == 1
        replication.reason = ""
        await wait_until(lambda: platform.lines)
        await anyio.sleep(0.1)
        assert [line["id"] for line in platform.lines] == ["kept"]
        assert set(courier.engine.journal.finished_ids) >= {"gone"} and not courier.engine.messages_by_id


async def test_a_message_taken_over_while_its_notification_is_under_way_is_not_ended_here(tmp_path):
    answered = anyio.Event()

    async def answer_late(_request):
        await answered.wait()
        return 204, [], b""

    platform = HttpStandIn(answer_late)
    async with (
        serve_on_loopback(platform) as platform_address,
        running_courier(tmp_path, platform=platform_address) as courier,
    ):
        replication = courier.engine.replication = ReplicationStandIn()
        replication.completed.set()
        client = Client(courier.address)
        assert await client.enqueue(id_="gone", for_ms=100) == "+OK\r\n"
        await wait_until(lambda: platform.requests)
        assert courier.engine.release({"gone"}) == 1
        answered.set()
        assert await client.enqueue(id_="next", for_ms=100) == "+OK\r\n"
        await wait_until(lambda: len(platform.lines) == 2)
        await wait_until(lambda: not courier.engine.messages_by_id)
        assert courier.engine.pending_notifications == {}


async def test_a_confirm_waits_for_replication_and_never_comes_without_it(tmp_path):
    async with running_courier(tmp_path) as courier:
        replication = courier.engine.replication = ReplicationStandIn()
        client = await AmqpClient.open(courier.amqp)
        await client.publish("m1")
        with pytest.raises(TimeoutError), anyio.fail_after(0.2):
            await client.next()
        replication.completed.set()
        method, _, _ = await client.next()
        assert isinstance(method, commands.Basic.Ack) and method.delivery_tag == 1
        replication.replicated = False
        await client.publish("m2")
        with pytest.raises(TimeoutError), anyio.fail_after(0.2):
            await client.next()
