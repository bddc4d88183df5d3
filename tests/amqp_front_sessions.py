"""AMQP sessions of clients of the front: each function plays the client; `test_amqp_bytes.py` runs them."""

from contextlib import asynccontextmanager

import anyio
from amqp_dialogue import FRAME_MAX, GREETING, message, method, publish
from pamqp import body, commands, header
from standins import running_courier, wait_until

from pinspread.core.messages import FinalResult, FinalState


@asynccontextmanager
async def client(dialogue, courier):
    """Open a new connection to the front."""
    host, port = courier.amqp.split(":")
    async with await anyio.connect_tcp(host, int(port)) as dialogue.stream:
        yield dialogue


async def open_connection(dialogue, channels=(1,), confirms=True):
    """Open the connection and channels."""
    await dialogue.exchange(GREETING)
    await dialogue.exchange(method(commands.Connection.StartOk({}, "PLAIN", "\0a\0b", "en_US"), 0))
    await dialogue.write(method(commands.Connection.TuneOk(8, FRAME_MAX, 0), 0))
    await dialogue.exchange(method(commands.Connection.Open("/"), 0))
    for channel in channels:
        await dialogue.exchange(method(commands.Channel.Open(), channel))
        if confirms:
            await dialogue.exchange(method(commands.Confirm.Select(), channel))


async def close_connection(dialogue):
    """Close the connection as a client does."""
    await dialogue.exchange(method(commands.Connection.Close(200, "bye", 0, 0), 0))
    await dialogue.expect_close()


async def front_greetings(dialogue, folder):
    """Other protocols, and errors while the connection is being opened."""
    invalid_openings = [
        [commands.Connection.TuneOk(8, 1024, 0)],
        [commands.Connection.TuneOk(8, 100_000, 0)],
        [commands.Connection.TuneOk(8, 0, 0), commands.Connection.Open("other")],
        [commands.Connection.Open("/")],
    ]
    async with running_courier(folder) as courier:
        async with client(dialogue, courier):
            await dialogue.exchange(b"AMQP\0\1\0\0")
            await dialogue.expect_close()
        async with client(dialogue, courier):
            await dialogue.exchange(GREETING)
            await dialogue.exchange(method(commands.Channel.Open(), 0))
            await dialogue.write(method(commands.Connection.CloseOk(), 0))
            await dialogue.expect_close()
        for methods in invalid_openings:
            async with client(dialogue, courier):
                await dialogue.exchange(GREETING)
                await dialogue.exchange(
                    method(commands.Connection.StartOk({}, "PLAIN", "\0a\0b", "en_US"), 0)
                )
                await dialogue.exchange(*(method(m, 0) for m in methods))
                await dialogue.write(method(commands.Connection.CloseOk(), 0))
                await dialogue.expect_close()


async def front_publishing(dialogue, folder):
    """Messages that are accepted, and others that are rejected with a time to publish them again."""
    async with running_courier(folder) as courier, client(dialogue, courier):
        await open_connection(dialogue, channels=(1, 3))
        await dialogue.exchange(publish())
        await dialogue.exchange(publish())  # the same id again: it is already accepted
        headers = {"key": "5c0f", "idempotency-key": "k1", "class": "booking-change"}
        await dialogue.exchange(publish(b"y" * 9000, channel=3, properties={"message_id": "m2"}, **headers))
        courier.engine.stopping = True
        await dialogue.exchange(publish(b"any\0body", properties={"message_id": "m3"}))
        await dialogue.exchange(
            publish(b"z" * 9000, channel=3, properties={"message_id": "m4"}, key="booking-7")
        )
        await dialogue.exchange(publish(b"", properties={"message_id": "m5", "content_type": "text/plain"}))
        parts = publish(b"in parts", properties={"message_id": "m6"})
        for offset in range(0, len(parts), 16):
            await dialogue.write(parts[offset : offset + 16])
        await dialogue.read()
        await dialogue.exchange(publish())  # accepted before
        await dialogue.exchange(method(commands.Channel.Flow(True)))
        await dialogue.exchange(method(commands.Channel.Flow(False), 3))
        await dialogue.exchange(method(commands.Basic.Qos(0, 7)))
        await dialogue.exchange(method(commands.Confirm.Select(), 3))
        await dialogue.write(method(commands.Confirm.Select(nowait=True), 3))
        await dialogue.exchange(method(commands.Channel.Close(200, "done", 0, 0)))
        await dialogue.exchange(method(commands.Channel.Open()))
        await close_connection(dialogue)


async def front_queues(dialogue, folder):
    """Declaring queues and subscribing to them."""
    async with running_courier(folder) as courier, client(dialogue, courier):
        await open_connection(dialogue, confirms=False)
        await dialogue.exchange(method(commands.Queue.Declare(0, "q")))
        await dialogue.exchange(method(commands.Queue.Declare(0, "")))
        await dialogue.exchange(method(commands.Basic.Consume(0, "q", "c1")))
        await dialogue.exchange(method(commands.Basic.Consume(0, "q", "")))
        await dialogue.write(method(commands.Basic.Consume(0, "q", "c3", nowait=True)))
        await dialogue.write(method(commands.Queue.Declare(0, "q2", nowait=True)))
        await dialogue.exchange(method(commands.Queue.Declare(0, "q", passive=True)))
        await dialogue.exchange(method(commands.Basic.Cancel("c1")))
        await dialogue.write(method(commands.Basic.Cancel("c3", nowait=True)))
        await dialogue.exchange(method(commands.Basic.Cancel("unknown")))
        await dialogue.exchange(method(commands.Queue.Declare(0, "q", passive=True)))
        await close_connection(dialogue)


def soft_errors():
    """Frames that make the front close the channel, with a reply code under 500."""
    consume = commands.Basic.Consume
    return [
        publish(**{"class": "nonsense"}),
        publish(tenant="nobody"),
        publish(dest="x"),
        publish(dest=70_000),
        publish(properties={"message_id": "m 1"}),
        publish(properties={"message_id": ""}),
        publish(properties={"reply_to": ""}),
        publish(properties={"expiration": "soon"}),
        publish(properties={"expiration": "99999999999"}),
        publish(properties={"headers": {}}),
        publish(properties={"headers": {"class": "payment", "tenant": "north"}}),
        publish(properties={"headers": {"dest": 1}}),
        publish(properties={"message_id": "x" * 65}),
        publish(key="\u00e9" * 20, properties={"reply_to": ""}),
        publish(**{"idempotency-key": "a b"}),
        publish(exchange="none"),
        publish(b"x" * 65_537),
        method(consume(0, "q", "t", no_ack=True)),
        method(commands.Basic.Ack(7)),
        method(commands.Basic.Nack(7)),
        method(commands.Basic.Reject(7)),
        method(commands.Basic.Ack(7, True)),
        method(commands.Queue.Declare(0, "q" * 200, passive=True)),
    ]


async def front_soft_errors(dialogue, folder):
    """Malformed messages and requests that cannot be met end their channel; the connection goes on."""
    async with running_courier(folder) as courier, client(dialogue, courier):
        await open_connection(dialogue, confirms=False)
        reopen = method(commands.Channel.CloseOk()) + method(commands.Channel.Open())
        await dialogue.exchange(publish())  # confirms are not selected
        for invalid in soft_errors():
            await dialogue.exchange(reopen)
            await dialogue.exchange(method(commands.Confirm.Select()))
            # A method that the client sends before it receives the Close is not answered.
            await dialogue.exchange(invalid, method(commands.Basic.Qos(0, 1)))
        await dialogue.exchange(method(commands.Channel.Close(200, "crossing", 0, 0)))
        await dialogue.exchange(method(commands.Channel.Open()))
        await close_connection(dialogue)


def hard_errors():
    """Frames that make the front close the connection."""
    start = method(commands.Basic.Publish(0, "", "partner", False))
    size_1 = method(header.ContentHeader(0, 1, commands.Basic.Properties(message_id="m")))
    body_1 = method(body.ContentBody(b"x"))
    return [
        method(commands.Tx.Select()),
        method(commands.Basic.Get(0, "q")),
        method(commands.Basic.Ack(1), 5),
        method(commands.Channel.Open()),
        method(commands.Channel.Open(), 65),
        method(commands.Channel.Open(), 0),
        b"\x01\0\1\0\0\0\4\0\0\0\0\xce",
        b"\x01\0\1\0\0\0\4\0\x0a\0\x0b\xce",
        b"\x09\0\1\0\0\0\0\xce",
        b"\x01\0\1\x0f\0\0\0",
        b"\x03\0\1\0\0\0\1xx",
        body_1,
        size_1,
        start + body_1,
        start + size_1 + size_1,
        start + start,
        start + size_1 + method(body.ContentBody(b"xy")),
        method(commands.Basic.Consume(0, "q", "t", nowait=True))
        + method(commands.Basic.Consume(0, "q", "t")),
    ]


async def front_hard_errors(dialogue, folder):
    """Violations of the protocol close the connection, by Close and CloseOk."""
    async with running_courier(folder) as courier:
        for invalid in hard_errors():
            async with client(dialogue, courier):
                await open_connection(dialogue)
                await dialogue.exchange(invalid)
                # Nothing is answered after the Close.
                await dialogue.write(
                    method(commands.Basic.Qos(0, 1)), method(commands.Connection.CloseOk(), 0)
                )
                await dialogue.expect_close()
    (folder / "small").mkdir()
    async with (
        running_courier(folder / "small", max_unread_bytes=10_000) as courier,
        client(dialogue, courier),
    ):
        await open_connection(dialogue)
        await dialogue.exchange(publish(b"x" * 60_000)[:-100])
        await dialogue.write(method(commands.Connection.CloseOk(), 0))
        await dialogue.expect_close()


class Results:
    """Final results that the front is to deliver, and which of them have been acknowledged."""

    def __init__(self, dialogue, front, tasks):
        self.dialogue = dialogue
        self.front = front
        self.tasks = tasks
        self.acknowledged_ids = []

    def put(self, id_, state, after_ms=0):
        self.tasks.start_soon(self._notify, id_, FinalResult(state, after_ms))

    async def _notify(self, id_, final):
        await self.front.notify(message(id_), final)
        self.acknowledged_ids.append(id_)

    async def expect_acknowledged(self, *ids):
        """Wait until results are acknowledged, which must be these and no others."""
        await wait_until(lambda: len(self.acknowledged_ids) >= len(ids))
        self.dialogue.add_step("acknowledged", *self.acknowledged_ids)
        assert set(self.acknowledged_ids) == set(ids)
        self.acknowledged_ids = []


@asynccontextmanager
async def results(dialogue, courier):
    async with anyio.create_task_group() as tasks:
        yield Results(dialogue, courier.engine.fronts["amqp"], tasks)
        tasks.cancel_scope.cancel()


async def front_deliveries(dialogue, folder):
    """Final results of each kind are delivered until they are acknowledged."""
    states = FinalState
    async with (
        running_courier(folder) as courier,
        client(dialogue, courier),
        results(dialogue, courier) as queue,
    ):
        await open_connection(dialogue, channels=(1, 2), confirms=False)
        queue.put("m1", states.DELIVERED)
        queue.put("m2", states.FAILED)
        await anyio.sleep(0.02)
        await dialogue.exchange(method(commands.Queue.Declare(0, "ends", passive=True)))
        await dialogue.exchange(method(commands.Basic.Consume(0, "ends", "c")))
        queue.put("m3", states.RETURNED, 1500)
        await dialogue.read()
        queue.put("m4", states.RETURNED)
        await dialogue.read()
        await dialogue.write(method(commands.Basic.Ack(2)))
        await queue.expect_acknowledged("m2")
        await dialogue.exchange(method(commands.Basic.Nack(3, False, True)))  # m3 is delivered again
        await dialogue.exchange(method(commands.Basic.Reject(1, True)))  # m1 is delivered again
        await dialogue.write(method(commands.Basic.Nack(4, False, False)))  # m4 is not requeued
        await queue.expect_acknowledged("m4")
        await dialogue.exchange(method(commands.Basic.Nack(6, True, True)))  # m1 and m3
        await dialogue.write(method(commands.Basic.Ack(0, True)))
        await queue.expect_acknowledged("m1", "m3")
        await dialogue.write(method(commands.Basic.Ack(0, True)))  # nothing is unacknowledged: no error
        await dialogue.exchange(method(commands.Basic.Cancel("c")))
        # Prefetch, two consumers in turn, and the unacknowledged deliveries of a closed channel.
        await dialogue.exchange(method(commands.Basic.Qos(0, 1)), method(commands.Basic.Qos(0, 1), 2))
        await dialogue.exchange(method(commands.Basic.Consume(0, "ends", "d")))
        await dialogue.exchange(method(commands.Basic.Consume(0, "ends", "e"), 2))
        for number in range(5, 9):
            queue.put(f"m{number}", states.DELIVERED)
        await dialogue.read()
        await dialogue.exchange(method(commands.Basic.Ack(1), 2))
        await queue.expect_acknowledged("m6")
        await dialogue.exchange(method(commands.Channel.Close(200, "done", 0, 0)))
        await dialogue.exchange(method(commands.Basic.Ack(2), 2))
        await queue.expect_acknowledged("m7")
        await dialogue.exchange(method(commands.Basic.Ack(3, True), 2))
        await queue.expect_acknowledged("m5")
        await dialogue.write(method(commands.Basic.Reject(4, False), 2))
        await queue.expect_acknowledged("m8")
        await close_connection(dialogue)


async def front_redelivery(dialogue, folder):
    """Unacknowledged results of a lost consumer go to the next one; a shutdown closes the connection."""
    async with running_courier(folder) as courier, results(dialogue, courier) as queue:
        async with client(dialogue, courier):
            await open_connection(dialogue, confirms=False)
            await dialogue.exchange(method(commands.Basic.Consume(0, "ends", "c")))
            queue.put("m1", FinalState.FAILED)
            await dialogue.read()
        await anyio.sleep(0.05)
        async with client(dialogue, courier):
            await open_connection(dialogue, confirms=False)
            await dialogue.exchange(method(commands.Basic.Consume(0, "ends", "c")))
            await dialogue.write(method(commands.Basic.Ack(1)))
            await queue.expect_acknowledged("m1")
            await queue.front.close()
            await dialogue.read()
            await dialogue.write(method(commands.Connection.CloseOk(), 0))
            await dialogue.expect_close()
