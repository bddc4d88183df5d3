"""One client that sends small or unsound requests at full speed, also under ever new names."""

import socket
import time
from contextlib import suppress
from itertools import count

import anyio
import pytest
from pamqp import commands, header
from standins import AmqpClient, Client, marshal, running_courier, wait_until

from pinspread.amqp import frame_writer, frames, session
from pinspread.amqp.channel_methods import MAX_CONSUMERS
from pinspread.amqp.result_queue import FinalResultQueue
from pinspread.amqp.session_memory import CONSUMER_BYTES

pytestmark = pytest.mark.anyio

ANSWER_S = 0.4  # how long the platform's clients wait for an answer


async def test_a_client_that_consumes_under_ever_new_tags_is_closed_and_delays_nobody(tmp_path):
    """Guards against consumers without end, and against a process that is blocked when they leave."""
    async with running_courier(tmp_path) as courier:
        front, regular = courier.engine.fronts["amqp"], await AmqpClient.open(courier.amqp)
        greedy = await AmqpClient.open(courier.amqp)
        for number in range(MAX_CONSUMERS):
            answer = await greedy.ask(commands.Basic.Consume(0, f"queue-{number % 7}", f"tag-{number}"))
            assert isinstance(answer.method, commands.Basic.ConsumeOk)
        assert front.limiter.reserved_bytes >= MAX_CONSUMERS * CONSUMER_BYTES
        await greedy.ask(commands.Basic.Cancel("tag-0"))
        await greedy.ask(commands.Basic.Consume(0, "q", "tag-0"))  # there is room for one again
        closed = (await greedy.ask(commands.Basic.Consume(0, "q", "one-more"))).method
        assert (closed.name, closed.reply_code) == ("Connection.Close", 506)
        greedy.close()
        await wait_until(lambda: len(front.sessions) == 1)
        assert not len(front.queues) and front.limiter.reserved_bytes < MAX_CONSUMERS * CONSUMER_BYTES
        start = time.monotonic()
        await regular.publish("m1")
        assert isinstance((await regular.next()).method, commands.Basic.Ack)
        assert time.monotonic() - start < ANSWER_S


async def test_consumers_of_all_clients_together_share_the_limit_of_memory(tmp_path):
    """Guards against consumers without end on many connections."""
    async with running_courier(tmp_path, max_unread_bytes=100 * CONSUMER_BYTES) as courier:
        clients = [await AmqpClient.open(courier.amqp) for _ in range(2)]
        refused = 0
        for number, client in ((number, client) for number in range(60) for client in clients):
            answer = (await client.ask(commands.Basic.Consume(0, "q", f"tag-{number}"))).method
            if answer.name == "Connection.Close":
                refused += 1
                break
        assert refused and courier.engine.fronts["amqp"].limiter.reserved_bytes <= 100 * CONSUMER_BYTES


class CountingConsumer:
    """A consumer that counts how often it is compared with another."""

    comparisons = 0

    def __eq__(self, other):
        CountingConsumer.comparisons += 1
        return self is other

    def __hash__(self):
        return id(self)

    def has_capacity(self):
        return False


def test_consumers_leave_a_queue_without_a_search_through_all_others():
    """Guards against a process that is blocked for seconds while a client with many consumers leaves."""
    queue = FinalResultQueue("q")
    consumers = [CountingConsumer() for _ in range(2000)]
    for consumer in consumers:
        queue.add_consumer(consumer)
    for consumer in reversed(consumers):
        queue.remove_consumer(consumer)
    assert not queue.consumers and CountingConsumer.comparisons < 2000


@pytest.mark.parametrize("request_of", ["new queues", "channels", "cancelled consumers", "unacknowledged"])
async def test_what_a_client_asks_for_and_does_not_read_is_bounded(tmp_path, monkeypatch, request_of):
    """Guards against memory for the answers to a client that only sends."""
    if request_of == "unacknowledged":
        monkeypatch.setattr(frame_writer, "PAUSE_TIMEOUT_S", 0.5)
    methods = {
        "channels": lambda name: [(commands.Channel.Open(), 2), (commands.Channel.Close(0, "", 0, 0), 2)],
        "cancelled consumers": lambda name: [
            (commands.Basic.Consume(0, name, "t"), 1),
            (commands.Basic.Cancel("t"), 1),
        ],
    }.get(request_of, lambda name: [(commands.Queue.Declare(0, name), 1)])
    async with running_courier(tmp_path) as courier:
        front, regular = courier.engine.fronts["amqp"], await AmqpClient.open(courier.amqp)
        known = set(front.sessions)
        flooding = await AmqpClient.open(courier.amqp)
        (flooded,) = front.sessions - known
        flooded._connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        flooding.wire.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        held = []

        async def flood():
            with anyio.move_on_after(1.5), suppress(ConnectionResetError):
                for number in count(0, 100):
                    names = [f"name-{number + index:0200}" for index in range(100)]
                    data = [marshal(*method) for name in names for method in methods(name)]
                    await flooding.wire.write(b"".join(data))
                    held.append(flooded._writer.queued_bytes)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(flood)
            for number in range(10):
                await anyio.sleep(0.1)
                start = time.monotonic()
                await regular.publish(f"m{number}")
                assert isinstance((await regular.next()).method, commands.Basic.Ack)
                assert time.monotonic() - start < ANSWER_S
            assert max(held) <= frame_writer.PAUSE_BYTES + session.FRAMES_PER_TURN * 1024
        if request_of == "unacknowledged":
            await wait_until(lambda: flooded not in front.sessions)  # the pause has come to its end
        flooding.close()


async def test_errors_at_full_speed_fill_neither_the_log_nor_the_others_time(tmp_path, capfd):
    """Guards against a client that opens its channel again and repeats its error as soon as it is told."""
    request = [
        (commands.Queue.Declare(0, "missing", passive=True), 2),
        (commands.Channel.CloseOk(), 2),
        (commands.Channel.Open(), 2),
    ]
    data = b"".join(marshal(*method) for method in request) * 500
    async with running_courier(tmp_path) as courier:
        flooding = await AmqpClient.open(courier.amqp)
        await flooding.wire.send(commands.Channel.Open(), 2)
        await flooding.wire.write(data)
        await anyio.sleep(1.0)
        assert await Client(courier.address).say("PING") == "+PONG\r\n"
    errors = capfd.readouterr().out.count('"event":"malformed"')
    assert 5 < errors <= 1 / session.ERROR_PAUSE_S + 5


@pytest.mark.parametrize("in_content", [True, False])
async def test_a_heartbeat_on_another_channel_than_0_gets_an_error(tmp_path, in_content):
    """Guards against a session that ends by an assertion, and a client that is not told why."""
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        if in_content:
            properties = header.ContentHeader(0, 9, commands.Basic.Properties(message_id="m"))
            await client.wire.write(marshal(commands.Basic.Publish(0, "", "x")) + marshal(properties))
        await client.wire.write(frames.FRAME_HEAD.pack(frames.HEARTBEAT, 1, 0) + bytes([frames.FRAME_END]))
        closed = (await client.next()).method
        assert (closed.name, closed.reply_code) == ("Connection.Close", 501)
