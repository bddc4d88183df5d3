"""The AMQP front against a stand-in client: one test for each rule, on real sockets."""

import anyio
import pytest
from pamqp import commands
from standins import (
    AmqpClient,
    Client,
    HttpStandIn,
    marshal,
    method_frame,
    running_courier,
    serve_on_loopback,
    wait_until,
)

from pinspread.amqp import frames
from pinspread.amqp.errors import ReplyCode
from pinspread.amqp.frame_stream import FrameStream
from pinspread.sockets import dial

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("status", "cls", "state"),
    [(200, "payment", "delivered"), (500, "payment", "failed"), (503, "status-update", "returned")],
)
async def test_an_accepted_message_is_acked_and_its_one_final_result_goes_to_reply_to(
    tmp_path, status, cls, state
):
    endpoint = HttpStandIn(lambda request: (status, [], b""))
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        client = await AmqpClient.open(courier.amqp)
        await client.consume()
        await client.publish("m1", cls, for_ms=600)
        method, _, _ = await client.next()
        assert isinstance(method, commands.Basic.Ack) and method.delivery_tag == 1
        result, _ = await client.next_final()
        assert (result["id"], result["state"]) == ("m1", state)
        await wait_until(lambda: not courier.engine.messages_by_id)  # dropped once the result is acknowledged
        with pytest.raises(TimeoutError), anyio.fail_after(0.2):
            await client.next_final()
        assert endpoint.requests[0][3]["request-id"] == "m1"


async def test_a_rejection_is_a_return_with_when_to_publish_again_and_then_a_nack(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        await client.publish("m1")
        assert isinstance((await client.next())[0], commands.Basic.Ack)
        courier.engine.stopping = True
        await client.publish("m2", body=b"any\0body")
        returned, properties, body = await client.next()
        assert isinstance(returned, commands.Basic.Return) and body == b"any\0body"
        assert properties.headers["after-ms"] > 0 and properties.message_id == "m2"
        method, _, _ = await client.next()
        assert isinstance(method, commands.Basic.Nack) and method.delivery_tag == 2


async def test_a_final_result_is_kept_until_acked_over_consumers_and_restarts(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        await client.publish("m1", for_ms=100)  # no endpoint: returned when its time is up
        await client.consume()
        result, first = await client.next_final(ack=False)
        client.close()
        client = await AmqpClient.open(courier.amqp)
        await client.consume()
        again, second = await client.next_final(ack=False)
        assert result == again and (first.redelivered, second.redelivered) == (False, True)
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        await client.consume()
        assert (await client.next_final())[0] == result
        await wait_until(lambda: not courier.engine.messages_by_id)
    async with running_courier(tmp_path) as courier:
        assert not courier.engine.messages_by_id


async def test_prefetch_limits_unacked_deliveries_and_requeued_results_come_first(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        for n in (1, 2):
            await client.publish(f"m{n}", for_ms=50 * n)
            await client.next()
        await wait_until(lambda: len(courier.engine.fronts["amqp"].queues.get("ends").waiting) == 2)
        await client.consume(prefetch=1)
        result, method = await client.next_final(ack=False)
        await client.wire.send(commands.Basic.Nack(method.delivery_tag, False, True), 1)
        again, method = await client.next_final()
        assert result["id"] == again["id"] == "m1" and method.redelivered
        assert (await client.next_final())[0]["id"] == "m2"


async def test_a_result_that_is_refused_for_good_makes_room_for_the_next(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        for n in (1, 2):
            await client.publish(f"m{n}", for_ms=50 * n)
            await client.next()
        await wait_until(lambda: len(courier.engine.fronts["amqp"].queues.get("ends").waiting) == 2)
        await client.consume(prefetch=1)
        result, method = await client.next_final(ack=False)
        await client.wire.send(commands.Basic.Nack(method.delivery_tag, False, False), 1)
        with anyio.fail_after(1):
            assert (result["id"], (await client.next_final())[0]["id"]) == ("m1", "m2")


async def test_an_answer_that_waits_when_the_connection_is_closed_is_written_once(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        declare = commands.Queue.Declare(0, "q")
        await client.wire.write(marshal(declare) + method_frame(b"\0\0\0\0"))  # both arrive in one read
        names = [(await client.next())[0].name for _ in range(2)]
        assert names == ["Queue.DeclareOk", "Connection.Close"]


async def test_what_cannot_be_decoded_is_named_without_addresses_of_memory(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        await client.wire.write(method_frame(marshal(commands.Basic.Ack(1))[7:-1][:-3]))
        method, _, _ = await client.next()
        assert method.reply_code == ReplyCode.SYNTAX_ERROR
        assert "Basic.Ack" in method.reply_text and "0x" not in method.reply_text


@pytest.mark.parametrize(
    ("send", "code"),
    [
        (lambda c: c.publish("m1", class_name="nonsense"), ReplyCode.PRECONDITION_FAILED),
        (lambda c: c.publish("m 1"), ReplyCode.PRECONDITION_FAILED),
        (lambda c: c.publish("m1", for_ms="soon"), ReplyCode.PRECONDITION_FAILED),
        (lambda c: c.publish("m1", dest="x"), ReplyCode.PRECONDITION_FAILED),
        (lambda c: c.publish("m1", exchange="no such"), ReplyCode.NOT_FOUND),
        (lambda c: c.publish("m1", body=b"x" * 65537), ReplyCode.CONTENT_TOO_LARGE),
        (lambda c: c.wire.send(commands.Basic.Consume(0, "q", "t", no_ack=True), 1), 406),
        (lambda c: c.wire.send(commands.Basic.Ack(7), 1), ReplyCode.PRECONDITION_FAILED),
        (lambda c: c.wire.send(commands.Queue.Declare(0, "q", passive=True), 1), ReplyCode.NOT_FOUND),
        (lambda c: c.wire.send(commands.Tx.Select(), 1), ReplyCode.NOT_IMPLEMENTED),
        (lambda c: c.wire.send(commands.Basic.Ack(1), 5), ReplyCode.CHANNEL_ERROR),
        (lambda c: c.wire.send(commands.Channel.Open(), 1), ReplyCode.CHANNEL_ERROR),
        (lambda c: c.wire.write(method_frame(b"\0\0\0\0")), ReplyCode.SYNTAX_ERROR),
        (lambda c: c.wire.write(b"\x09\0\1\0\0\0\0\xce"), ReplyCode.FRAME_ERROR),
        (lambda c: c.wire.write(b"\x01\0\1\x0f\0\0\0"), ReplyCode.FRAME_ERROR),
        (lambda c: c.wire.write(frames.FRAME_HEAD.pack(3, 1, 1) + b"x\xce"), ReplyCode.UNEXPECTED_FRAME),
    ],
)
async def test_errors_have_the_specifications_reply_codes_and_nothing_is_accepted(tmp_path, send, code):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        await send(client)
        method, _, _ = await client.next()
        assert (method.name, method.reply_code) == (
            "Channel.Close" if code < 500 else "Connection.Close",
            code,
        )
        if code < 500:  # an error of the channel: the connection stays open for another channel
            await client.wire.send(commands.Channel.CloseOk(), 1)
            assert isinstance((await client.ask(commands.Channel.Open()))[0], commands.Channel.OpenOk)
        assert (
            not courier.engine.messages_by_id
            and len((await AmqpClient.open(courier.amqp)).wire.buffer.view()) == 0
        )


async def test_publishing_without_confirms_is_refused(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp, confirms=False)
        await client.publish("m1")
        assert (await client.next())[0].reply_code == ReplyCode.PRECONDITION_FAILED


async def test_a_client_is_notified_that_the_process_ends(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        await courier.engine.fronts["amqp"].close()
        assert (await client.next())[0].reply_code == ReplyCode.CONNECTION_FORCED


# Guards against publishes that were read, or lay unread, and got no confirm before the connection's close.
async def test_all_publishes_that_have_arrived_are_confirmed_before_the_process_ends(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        client.wire.connection.sock.setblocking(True)  # all are in the kernel before the close begins
        for n in range(80):
            await client.publish(f"m{n}")
        client.wire.connection.sock.setblocking(False)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(courier.engine.fronts["amqp"].close)
            confirmed = 0
            while not isinstance(method := (await client.next())[0], commands.Connection.Close):
                confirmed += isinstance(method, commands.Basic.Ack)
        assert confirmed == 80 == len(courier.engine.messages_by_id)
        assert method.reply_code == ReplyCode.CONNECTION_FORCED


async def test_a_client_whose_frames_are_still_unread_is_not_closed_for_silence(tmp_path):
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        stream = client.wire  # it has nothing to read, and no task that reads
        stream.received_us -= 10_000_000
        await client.publish("m1")
        await wait_until(lambda: not stream.connection.is_idle())  # the confirm
        with anyio.move_on_after(0.6) as waited:
            await stream.exchange_heartbeats(1)
        assert waited.cancelled_caught


async def test_another_protocol_is_answered_with_the_protocol_header(tmp_path):
    async with running_courier(tmp_path) as courier:
        host, port = courier.amqp.split(":")
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(b"AMQP\0\1\0\0")
        assert await stream.receive() == frames.PROTOCOL_HEADER


async def test_a_silent_client_is_closed_and_one_with_heartbeats_stays(tmp_path):
    async with running_courier(tmp_path) as courier:
        courier.engine.fronts["amqp"].heartbeat_s = 1
        client = await AmqpClient.open(courier.amqp)  # the client has chosen no heartbeats
        idle_stream = FrameStream(client.wire.connection, client.wire.clock)
        with anyio.move_on_after(0.2):
            await idle_stream.read_frame()
        wire = FrameStream(await dial(courier.amqp), courier.engine.clock)
        await wire.connection.write(frames.PROTOCOL_HEADER)
        await wire.read_method("Connection.Start")
        await wire.send(commands.Connection.StartOk({}, "PLAIN", "\0a\0b", "en_US"))
        await wire.read_method("Connection.Tune")
        await wire.send(commands.Connection.TuneOk(8, 4096, 1))
        await wire.send(commands.Connection.Open("/"))
        await wire.read_method("Connection.OpenOk")
        with pytest.raises(OSError), anyio.fail_after(4):
            while True:
                assert (await wire.read_frame())[1].name == "Heartbeat"
        assert len(courier.engine.fronts["amqp"].sessions) == 1


async def test_order_per_key_holds_across_both_fronts(tmp_path):
    async def slow():
        await anyio.sleep(0.05)
        return 200, [], b""

    endpoint = HttpStandIn(lambda request: slow())
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        client, resp = await AmqpClient.open(courier.amqp), Client(courier.address)
        await client.publish("a1", "booking-change", key="5c0f")
        await client.next()
        assert await resp.enqueue("booking-change", "r2", key="5c0f") == "+OK\r\n"
        await client.publish("a3", "booking-change", key="5c0f")
        await wait_until(lambda: len(endpoint.requests) == 3)
        assert [r[3]["request-id"] for r in endpoint.requests] == ["a1", "r2", "a3"]
        assert all(
            b[0] - a[0] >= 0.05 for a, b in zip(endpoint.requests, endpoint.requests[1:], strict=False)
        )


@pytest.mark.parametrize(("status", "again"), [(200, False), (500, False), (503, True)])
async def test_a_finished_id_is_not_delivered_again_but_a_returned_one_may_be(tmp_path, status, again):
    endpoint = HttpStandIn(lambda request: (status, [], b""))
    async with serve_on_loopback(endpoint) as address:
        async with running_courier(tmp_path, endpoints=[(address,)]) as courier:
            client = await AmqpClient.open(courier.amqp)
            await client.publish("m1", for_ms=100)
            assert (await client.next())[0].name == "Basic.Ack"
            await wait_until(lambda: not courier.engine.open_messages)
            await client.publish("m1")  # before its final result was consumed
            methods = [(await client.next())[0].name for _ in range(2 if again else 1)]
            assert methods == (["Basic.Return", "Basic.Nack"] if again else ["Basic.Ack"])
            await client.consume()
            await client.next_final()
            await wait_until(lambda: not courier.engine.messages_by_id)
        # The same after a restart, for a publisher that missed the confirm.
        async with running_courier(tmp_path) as courier:
            client = await AmqpClient.open(courier.amqp)
            await client.publish("m1")
            assert isinstance((await client.next())[0], commands.Basic.Ack)
            assert ("m1" in courier.engine.messages_by_id) is again


async def test_a_silent_client_is_closed_in_time_and_one_that_does_not_read_is_ended(tmp_path, monkeypatch):
    from pinspread.amqp import frame_writer, session

    monkeypatch.setattr(session, "HANDSHAKE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(frame_writer, "MAX_UNSENT_BYTES", 100_000)
    async with running_courier(tmp_path) as courier:
        silent = await dial(courier.amqp)
        with anyio.fail_after(1):
            assert await silent.read() == b""
        silent.close()
        client = await AmqpClient.open(courier.amqp)
        courier.engine.stopping = True  # each publish is returned with its body
        with pytest.raises(OSError), anyio.fail_after(10):
            for n in range(1000):
                await client.publish(f"m{n}", body=b"x" * 60_000)
        client.close()


async def test_a_publish_for_an_unknown_destination_closes_the_channel(tmp_path):
    async with running_courier(tmp_path, endpoints=[("127.0.0.1:1",)]) as courier:
        client = await AmqpClient.open(courier.amqp)
        await client.publish("m1", dest=2)
        method, _, _ = await client.next()
        assert (
            isinstance(method, commands.Channel.Close) and method.reply_code == ReplyCode.PRECONDITION_FAILED
        )


async def test_contents_that_are_never_complete_share_a_limit_of_memory(tmp_path):
    async with running_courier(tmp_path, max_unread_bytes=10_000) as courier:
        client = await AmqpClient.open(courier.amqp)
        content = frames.marshal_content(
            commands.Basic.Publish(0, "", "p", False), commands.Basic.Properties(), b"x" * 60_000, 1, 4096
        )
        await client.wire.write(content[:-100])
        with anyio.fail_after(2):
            method, _, _ = await client.next()
        assert isinstance(method, commands.Connection.Close) and method.reply_code == ReplyCode.RESOURCE_ERROR


async def test_queues_that_hold_nothing_and_serve_nobody_are_forgotten(tmp_path):
    async with running_courier(tmp_path) as courier:
        queues = courier.engine.fronts["amqp"].queues
        client = await AmqpClient.open(courier.amqp)
        await client.publish("m1", for_ms=100)
        # The queue holds a final result that no consumer has received yet.
        await wait_until(lambda: "ends" in queues)
        for n in range(5):
            await client.ask(commands.Queue.Declare(queue=f"q{n}"))
        await client.consume()
        await client.next_final()
        client.close()
        await wait_until(lambda: not queues)
