"""AMQP sessions of brokers: each function plays the broker; `test_amqp_bytes.py` runs them."""

import select
from contextlib import asynccontextmanager

import anyio
from amqp_dialogue import FRAME_MAX, message, method
from pamqp import body, commands, header
from standins import listener, wait_until

from pinspread.amqp.transport import BrokerTransport
from pinspread.core.messages import Attempt, Endpoint


class FixedClock:
    """A clock that stands, so that what is left of a message's time is the same in each run."""

    def now(self):
        return 1_000_000

    def unix(self, monotonic_us):
        return monotonic_us


class Publishing:
    """A transport whose broker is played by the script."""

    def __init__(self, dialogue, tasks):
        self.dialogue = dialogue
        self.tasks = tasks
        self.sock, self.address = listener()
        self.transport = BrokerTransport(FixedClock(), tasks, 1_000_000, heartbeat_s=0)
        self.attempts = 0

    def send(self, message_, route=None, timeout_us=5_000_000, why=""):
        """Start an attempt; gives what waits for its result."""
        self.attempts += 1
        endpoint = Endpoint("b", self.address, 1, scheme="amqp", route=route or {})
        attempt = Attempt(message_, self.attempts, endpoint, 1_000_000, timeout_us, lambda: why)
        found = []

        async def run():
            found.append(await self.transport.send(attempt))

        self.tasks.start_soon(run)

        async def result():
            await wait_until(lambda: found)
            (one,) = found
            self.dialogue.step("result", one.outcome.name, one.retry_after_us, one.note)

        return result

    async def accept(self):
        """The connection that the transport opens."""
        await wait_until(lambda: _readable(self.sock))
        peer, _ = self.sock.accept()
        self.dialogue.stream = await anyio.abc.SocketStream.from_socket(peer)

    async def greeted(self, tune=(8, FRAME_MAX, 0)):
        """Answer as a broker does until the channel is in confirm mode."""
        dialogue = self.dialogue
        await self.accept()
        await dialogue.hear()
        start = commands.Connection.Start(0, 9, {"product": "broker"}, "PLAIN", "en_US")
        await dialogue.exchange(method(start, 0))
        await dialogue.exchange(method(commands.Connection.Tune(*tune), 0))
        await dialogue.exchange(method(commands.Connection.OpenOk(), 0))
        await dialogue.exchange(method(commands.Channel.OpenOk()))
        await dialogue.exchange(method(commands.Confirm.SelectOk()))


def _readable(sock):
    return bool(select.select([sock], [], [], 0)[0])


@asynccontextmanager
async def publishing(dialogue):
    async with anyio.create_task_group() as tasks:
        side = Publishing(dialogue, tasks)
        try:
            yield side
        finally:
            side.sock.close()
            tasks.cancel_scope.cancel()


def returned(id_, attempt):
    """A publish that comes back as unroutable."""
    properties = commands.Basic.Properties(message_id=id_, headers={"attempt": attempt})
    return (
        method(commands.Basic.Return(312, "NO_ROUTE", "", "partner.1"))
        + method(header.ContentHeader(0, 1, properties))
        + method(body.ContentBody(b"x"))
    )


async def broker_publishing(dialogue, folder):
    """Connecting, publishes with their properties and headers, and confirms of each kind."""
    async with publishing(dialogue) as side:
        result = side.send(message("p1"))
        await side.greeted()
        await dialogue.say(b"\x08\0\0\0\0\0\0\xce")  # a heartbeat
        await dialogue.say(method(commands.Basic.Ack(1)))
        await result()
        result = side.send(
            message("p2", key=0x5C0F, idempotency_key="k1", body=b"y" * 9000, deadline_unix_us=1_000_500)
        )
        await dialogue.hear()
        await dialogue.say(method(commands.Basic.Nack(2)))
        await result()
        result = side.send(message("p3", class_name="booking-change", destination=7, body=b""))
        await dialogue.hear()
        await dialogue.say(returned("p3", 3), method(commands.Basic.Ack(3)))
        await result()
        several = []
        for number in (4, 5):
            several.append(side.send(message(f"p{number}")))
            await dialogue.hear()
        await dialogue.say(method(commands.Basic.Ack(5, True)))
        for result in several:
            await result()
        await side.send(message("p6"), why="not wanted any more")()
        await side.send(message("p7"), timeout_us=100_000)()
        await dialogue.hear()
        await dialogue.say(method(commands.Connection.Blocked("disk"), 0))
        await anyio.sleep(0.05)
        await side.send(message("p8"), timeout_us=100_000)()
        result = side.send(message("p9"))
        await dialogue.silent()
        await dialogue.exchange(method(commands.Connection.Unblocked(), 0))
        await dialogue.say(method(commands.Basic.Ack(7)))
        await result()
        await dialogue.silent()


async def broker_endings(dialogue, folder):
    """A broker's route, and how a connection ends from either side."""
    async with publishing(dialogue) as side:
        route = {"vhost": "/pay", "exchange": "in", "routing_key": "orders"}
        result = side.send(message("p1"), route)
        await side.greeted(tune=(0, 0, 30))
        await dialogue.exchange(method(commands.Channel.Close(404, "no exchange", 60, 40)))
        await result()
        await dialogue.closed()
        result = side.send(message("p2"))
        await side.greeted(tune=(8, 200_000, 0))
        await dialogue.exchange(method(commands.Connection.Close(320, "shutting down", 0, 0), 0))
        await result()
        await dialogue.closed()
        result = side.send(message("p3"))
        await side.accept()
        await dialogue.hear()
        await dialogue.say(method(commands.Connection.Close(403, "refused", 0, 0), 0))
        await result()
        await dialogue.closed()
        result = side.send(message("p4"))
        await side.accept()
        await dialogue.hear()
        await dialogue.say(method(commands.Connection.Tune(8, 4096, 0), 0))
        await result()
        await dialogue.closed()
        result = side.send(message("p5"))
        await side.greeted()
        await dialogue.say(b"\x09\0\1\0\0\0\0\xce")
        await result()
        await dialogue.closed()
