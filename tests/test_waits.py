"""What waits for replication, on both fronts and towards endpoints, over real sockets."""

from contextlib import suppress

import anyio
import pytest
from pamqp import commands
from standins import AmqpClient, Client, HttpStandIn, running_courier, serve_on_loopback, wait_until

from pinspread.policy.events import AttemptCompleted, Outcome

pytestmark = pytest.mark.anyio


class ReplicationService:
    """Copies that a test holds back."""

    def __init__(self):
        self.why, self.open, self.ok = "", anyio.Event(), True
        self.waited = 0

    def blocked_reason(self):
        return self.why

    async def wait_replicated(self):
        self.waited += 1
        await self.open.wait()
        return self.ok


async def test_ok_waits_for_replication_and_so_does_the_first_byte_of_an_attempt(tmp_path):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        copies = courier.engine.replication = ReplicationService()
        said = []
        async with anyio.create_task_group() as tasks:

            async def hand_in():
                said.append(await Client(courier.address).enqueue())

            tasks.start_soon(hand_in)
            await wait_until(lambda: copies.waited >= 2)  # the answer, and the attempt
            await anyio.sleep(0.1)
            assert said == [] and endpoint.requests == []
            (held,) = courier.engine.journal.open_messages.values()
            assert held.in_flight_since_unix_us  # the replicas get the attempt before the endpoint does
            copies.open.set()
        assert said == ["+OK\r\n"]
        await wait_until(lambda: len(endpoint.requests) == 1)
        await wait_until(lambda: not courier.engine.messages_by_id)


async def test_a_connection_whose_replies_wait_for_replication_is_closed_at_a_hand_over(tmp_path):
    async with running_courier(tmp_path, endpoints=[("127.0.0.1:1",)]) as courier:
        copies = courier.engine.replication = ReplicationService()
        async with anyio.create_task_group() as tasks:

            async def submit():
                with pytest.raises(anyio.EndOfStream):
                    await Client(courier.address).enqueue()

            tasks.start_soon(submit)
            await wait_until(lambda: copies.waited)
            with anyio.fail_after(1):
                # Served on without its reply, the next one would be taken for this one.
                assert await courier.engine.fronts["resp"].detach_connections() == []


async def test_waiting_for_replication_costs_no_attempt_and_is_not_counted_as_the_endpoints_time(tmp_path):
    endpoint, ended = HttpStandIn(), []
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        copies, handle = ReplicationService(), courier.engine.policy.handle

        def heard(now_ns, events):
            ended.extend(e for e in events if type(e) is AttemptCompleted)
            return handle(now_ns, events)

        async def hand_in():
            with suppress(anyio.EndOfStream):  # a caller does not wait so long
                await Client(courier.address).enqueue(for_ms=9000)

        courier.engine.replication, courier.engine.policy.handle = copies, heard
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hand_in)
            await wait_until(lambda: copies.waited >= 2)  # the answer, and the attempt
            await anyio.sleep(3.5)  # longer than a call may take
            copies.open.set()
        await wait_until(lambda: not courier.engine.messages_by_id)
    (only,) = ended
    assert only.outcome is Outcome.OK and only.elapsed_ns < 1_000_000_000


async def test_what_is_not_replicated_is_neither_acknowledged_nor_sent(tmp_path):
    endpoint = HttpStandIn()
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        copies = courier.engine.replication = ReplicationService()
        copies.ok = False
        copies.open.set()
        with pytest.raises(anyio.EndOfStream):
            await Client(courier.address).enqueue(id_="a")  # closed: neither answer would be true
        assert endpoint.requests == []
        copies.why = "too few copies"
        assert (await Client(courier.address).enqueue(id_="b")).startswith("-BUSY ")
        assert (await Client(courier.address).enqueue(id_="a")).startswith(
            "-BUSY "
        )  # known, but not promised
        assert await Client(courier.address).say("PING") == "+PONG\r\n"
        assert "b" not in courier.engine.messages_by_id and endpoint.requests == []


async def test_a_notification_waits_for_replication_and_what_was_taken_over_meanwhile_has_none(tmp_path):
    platform = HttpStandIn(lambda request: (204, [], b""))
    async with serve_on_loopback(platform) as heard, running_courier(tmp_path, platform=heard) as courier:
        copies = courier.engine.replication = ReplicationService()
        copies.open.set()
        client = Client(courier.address)
        for id_ in ("kept", "gone"):
            assert await client.enqueue(id_=id_, for_ms=400) == "+OK\r\n"
        copies.why = "the lease of its own work is lost"
        await wait_until(lambda: all(t.final for t in courier.engine.messages_by_id.values()))
        await anyio.sleep(0.1)
        assert platform.requests == []
        assert courier.engine.release({"gone"}) == 1
        copies.why = ""
        await wait_until(lambda: platform.lines)
        await anyio.sleep(0.1)
        assert [line["id"] for line in platform.lines] == ["kept"]
        assert set(courier.engine.journal.finished_ids) >= {"gone"} and not courier.engine.messages_by_id


async def test_what_is_taken_over_while_its_notification_is_under_way_ends_nothing(tmp_path):
    answered = anyio.Event()

    async def answer_late(_request):
        await answered.wait()
        return 204, [], b""

    platform = HttpStandIn(answer_late)
    async with serve_on_loopback(platform) as heard, running_courier(tmp_path, platform=heard) as courier:
        copies = courier.engine.replication = ReplicationService()
        copies.open.set()
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
        copies = courier.engine.replication = ReplicationService()
        client = await AmqpClient.open(courier.amqp)
        await client.publish("m1")
        with pytest.raises(TimeoutError), anyio.fail_after(0.2):
            await client.next()
        copies.open.set()
        method, _, _ = await client.next()
        assert isinstance(method, commands.Basic.Ack) and method.delivery_tag == 1
        copies.ok = False
        await client.publish("m2")
        with pytest.raises(TimeoutError), anyio.fail_after(0.2):
            await client.next()
