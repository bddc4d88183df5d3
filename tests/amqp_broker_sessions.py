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
    """A clock that stands still, so that the remaining time of a message is the same in each run."""

    def now(self):
        return 1_000_000

    def unix(self, monotonic_us):
        return monotonic_us


class BrokerSession:
    """A transport that is connected to a broker played by the script."""

    def __init__(self, dialogue, tasks):
        self.dialogue = dialogue
        self.tasks = tasks
        self.sock, self.address = listener()
        self.transport = BrokerTransport(FixedClock(), tasks, 1_000_000, heartbeat_s=0)
        self.attempts = 0

    def start_attempt(self, message_, route=None, timeout_us=5_000_000, skip_reason=""):
        """Start an attempt; return a function that waits for its result and adds it to the dialogue."""
        self.attempts += 1
        endpoint = Endpoint("b", self.address, 1, scheme="amqp", route=route or {})
        attempt = Attempt(message_, self.attempts, endpoint, 1_000_000, timeout_us, lambda: skip_reason)
        results = []

        async def run():
            results.append(await self.transport.send(attempt))

        self.tasks.start_soon(run)

        async def result():
            await wait_until(lambda: results)
            (attempt_result,) = results
            self.dialogue.add_step(
                "result", attempt_result.outcome.name, attempt_result.retry_after_us, attempt_result.note
            )

        return result

    async def accept(self):
        """Accept the connection that the transport opens."""
        await wait_until(lambda: _readable(self.sock))
        peer, _ = self.sock.accept()
        self.dialogue.stream = await anyio.abc.SocketStream.from_socket(peer)

    async def open_channel(self, tune=(8, FRAME_MAX, 0)):
        """Answer as a broker does until the channel is in confirm mode."""
        dialogue = self.dialogue
        await self.accept()
        await dialogue.read()
        start = commands.Connection.Start(0, 9, {"product": "broker"}, "PLAIN", "en_US")
        await dialogue.exchange(method(start, 0))
        await dialogue.exchange(method(commands.Connection.Tune(*tune), 0))
        await dialogue.exchange(method(commands.Connection.OpenOk(), 0))
        await dialogue.exchange(method(commands.Channel.OpenOk()))
        await dialogue.exchange(method(commands.Confirm.SelectOk()))


def _readable(sock):
    return bool(select.select([sock], [], [], 0)[0])


@asynccontextmanager
async def broker_session(dialogue):
    async with anyio.create_task_group() as tasks:
        session = BrokerSession(dialogue, tasks)
        try:
            yield session
        finally:
            session.sock.close()
            tasks.cancel_scope.cancel()


def unroutable_return(id_, attempt):
    """The frames that return a publish as unroutable."""
    properties = commands.Basic.Properties(message_id=id_, headers={"attempt": attempt})
    return (
        method(commands.Basic.Return(312, "NO_ROUTE", "", "partner.1"))
        + method(header.ContentHeader(0, 1, properties))
        + method(body.ContentBody(b"x"))
    )


async def broker_publishing(dialogue, folder):
    """Connecting, publishes with their properties and headers, and confirms of each kind."""
    async with broker_session(dialogue) as session:
        result = session.start_attempt(message("p1"))
        await session.open_channel()
        await dialogue.write(b"\x08\0\0\0\0\0\0\xce")  # a heartbeat
        await dialogue.write(method(commands.Basic.Ack(1)))
        await result()
        result = session.start_attempt(
            message("p2", key=0x5C0F, idempotency_key="k1", body=b"y" * 9000, deadline_unix_us=1_000_500)
        )
        await dialogue.read()
        await dialogue.write(method(commands.Basic.Nack(2)))
        await result()
        result = session.start_attempt(message("p3", class_name="booking-change", destination=7, body=b""))
        await dialogue.read()
        await dialogue.write(unroutable_return("p3", 3), method(commands.Basic.Ack(3)))
        await result()
        several = []
        for number in (4, 5):
            several.append(session.start_attempt(message(f"p{number}")))
            await dialogue.read()
        await dialogue.write(method(commands.Basic.Ack(5, True)))
        for result in several:
            await result()
        await session.start_attempt(message("p6"), skip_reason="not wanted any more")()
        await session.start_attempt(message("p7"), timeout_us=100_000)()
        await dialogue.read()
        await dialogue.write(method(commands.Connection.Blocked("disk"), 0))
        await anyio.sleep(0.05)
        await session.start_attempt(message("p8"), timeout_us=100_000)()
        result = session.start_attempt(message("p9"))
        await dialogue.expect_silence()
        await dialogue.exchange(method(commands.Connection.Unblocked(), 0))
        await dialogue.write(method(commands.Basic.Ack(7)))
        await result()
        await dialogue.expect_silence()


async def broker_endings(dialogue, folder):
    """Publishing by an endpoint's route, and connections that are closed from either side."""
    async with broker_session(dialogue) as session:
        route = {"vhost": "/pay", "exchange": "in", "routing_key": "orders"}
        result = session.start_attempt(message("p1"), route)
        await session.open_channel(tune=(0, 0, 30))
        await dialogue.exchange(method(commands.Channel.Close(404, "no exchange", 60, 40)))
        await result()
        await dialogue.expect_close()
        result = session.start_attempt(message("p2"))
        await session.open_channel(tune=(8, 200_000, 0))
        await dialogue.exchange(method(commands.Connection.Close(320, "shutting down", 0, 0), 0))
        await result()
        await dialogue.expect_close()
        result = session.start_attempt(message("p3"))
        await session.accept()
        await dialogue.read()
        await dialogue.write(method(commands.Connection.Close(403, "refused", 0, 0), 0))
        await result()
        await dialogue.expect_close()
        result = session.start_attempt(message("p4"))
        await session.accept()
        await dialogue.read()
        await dialogue.write(method(commands.Connection.Tune(8, 4096, 0), 0))
        await result()
        await dialogue.expect_close()
        result = session.start_attempt(message("p5"))
        await session.open_channel()
        await dialogue.write(b"\x09\0\1\0\0\0\0\xce")
        await result()
        await dialogue.expect_close()
