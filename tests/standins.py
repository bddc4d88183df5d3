"""Stand-ins on loopback for the parties of a courier, written from their public specifications."""

import os
import socket
from contextlib import asynccontextmanager
from itertools import count

import anyio
from pamqp import commands, frame

from pinspread import sockets
from pinspread.amqp import frames
from pinspread.amqp.content import ContentAssembler
from pinspread.amqp.frame_stream import FrameStream
from pinspread.amqp.server import AmqpFront
from pinspread.amqp.transport import BrokerTransport
from pinspread.config import settings
from pinspread.core.clock import Clock
from pinspread.core.engine import DeliveryEngine
from pinspread.core.journal import Journal
from pinspread.core.messages import Endpoint
from pinspread.discovery.client import DiscoveryClient
from pinspread.http import transport as http_transport
from pinspread.http.pool import ConnectionPool
from pinspread.http.transport import HttpTransport
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import EndpointState, UpdateScope
from pinspread.resp import front
from pinspread.resp.notifications import NotificationSender
from pinspread.testbed.clients import AmqpClient, Client
from pinspread.testbed.courier_settings import configuration, host
from pinspread.testbed.loopback import listener, serve_on_loopback, wait_until
from pinspread.testbed.stand_ins import HttpStandIn

__all__ = [
    "AmqpClient",
    "BrokerStandIn",
    "Client",
    "DialGate",
    "HttpStandIn",
    "InProcessCourier",
    "configuration",
    "host",
    "listener",
    "marshal",
    "method_frame",
    "own_address",
    "running_courier",
    "serve_on_loopback",
    "wait_until",
    "wait_until_answering",
]

_ports = count(20_000 + os.getpid() % 750 * 16)  # under those that outgoing connections take


def own_address():
    """An address for a process to listen on, which no other run of the tests shares."""
    pid = os.getpid()
    return f"127.9.{pid // 250 % 250}.{1 + pid % 250}:{next(_ports)}"


class InProcessCourier:
    """A courier in this process with its fronts, and what tests need of it."""

    def __init__(self, engine, address, amqp, tasks):
        self.engine = engine
        self.address = address
        self.amqp = amqp
        self.tasks = tasks

    def update_endpoints(
        self, address, id_="s-1", dest=1, scheme="http", state=EndpointState.READY, scope=UpdateScope.DELTA
    ):
        """Have it learn of an endpoint."""
        endpoint = Endpoint(id_, address, dest, scheme=scheme, weight=500.0)
        self.engine.update_endpoints(scope, [(endpoint, state)])


@asynccontextmanager
async def running_courier(
    state, platform="127.0.0.1:1", endpoints=(), max_clients=512, max_unread_bytes=8 << 20, **limits
):
    """A courier that serves; it ends as if killed, with nothing but its journal left."""
    effective_settings = settings.read(configuration(state, **limits), {})
    clock = Clock()
    journal = Journal(effective_settings.state, effective_settings.disk_bytes)
    core = DeliveryEngine(
        DeliveryPolicy(effective_settings.policy_settings, effective_settings.seed),
        effective_settings,
        clock,
        journal,
    )
    pool = ConnectionPool(clock, effective_settings.keepalive_us)
    notifications = NotificationSender(platform)
    limiter = sockets.ConnectionLimiter(clock, max_clients, max_unread_bytes)
    core.transports["http"] = HttpTransport(clock, pool, effective_settings.connect_timeout_us)
    core.fronts["resp"] = resp = front.RespFront(core, notifications, limiter)
    core.fronts["amqp"] = amqp = AmqpFront(core, limiter=limiter)
    core.subscribe = DiscoveryClient(platform, core, effective_settings).poll
    async with anyio.create_task_group() as tasks:
        core.transports["amqp"] = BrokerTransport(clock, tasks, effective_settings.connect_timeout_us)
        (resp_sock, address), (amqp_sock, amqp_address) = listener(), listener()
        courier = InProcessCourier(core, address, amqp_address, tasks)
        for endpoint in endpoints:
            courier.update_endpoints(*endpoint)
        core.recover()
        core.serving = True
        for run in (core.run, notifications.run, pool.run, limiter.run):
            tasks.start_soon(run)
        tasks.start_soon(resp.run, resp_sock)
        tasks.start_soon(amqp.run, amqp_sock)
        yield courier
        tasks.cancel_scope.cancel()
    resp_sock.close()
    amqp_sock.close()
    journal.close()


class BrokerStandIn:
    """A broker's publishing side: counts what takes effect, and can be made to break at any point."""

    def __init__(self, plan=None):
        self.plan = plan or (lambda broker, id_: "ack")  # what becomes of a publish
        self.effects = []  # message ids, each time one takes effect
        self.links = set()
        self.logins = set()
        self.reading = anyio.Event()
        self.reading.set()

    async def run(self, sock):
        async with anyio.create_task_group() as tasks:
            await sockets.accept_forever(sock, tasks, self.serve)

    def kill(self, *wires):
        """These connections, or all, end at once with a reset."""
        for wire in wires or list(self.links):
            wire.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            anyio.notify_closing(wire.connection.sock)
            wire.connection.close()
            self.links.discard(wire)

    async def say(self, method):
        """A method of the connection, to all who are connected."""
        for wire in self.links:
            await wire.send(method)

    async def serve(self, connection):
        wire = FrameStream(connection, Clock())
        try:
            if await wire.read_protocol_header() != frames.PROTOCOL_HEADER:
                return
            await wire.send(commands.Connection.Start(0, 9, {}, "PLAIN", "en_US"))
            self.logins.add((await wire.read_method("Connection.StartOk")).response)
            await wire.send(commands.Connection.Tune(8, 4096, 1))
            await wire.read_method("Connection.TuneOk")
            await wire.read_method("Connection.Open")
            await wire.send(commands.Connection.OpenOk())
            await wire.read_method("Channel.Open")
            await wire.send(commands.Channel.OpenOk(), 1)
            await wire.read_method("Confirm.Select")
            await wire.send(commands.Confirm.SelectOk(), 1)
            self.links.add(wire)
            contents, tag = ContentAssembler(), 0
            while True:
                await self.reading.wait()
                channel, found = await wire.read_frame()
                if channel == 0:
                    continue
                content = contents.feed(found)
                if content is None:
                    continue
                method, properties, body = content
                tag += 1
                await self.published(wire, tag, method, properties, body)
        except OSError:
            pass
        finally:
            self.links.discard(wire)
            connection.close()

    async def published(self, wire, tag, method, properties, body):
        """Do with a publish what the plan says."""
        fate = self.plan(self, properties.message_id)
        if fate == "return":
            back = commands.Basic.Return(312, "NO_ROUTE", "", method.routing_key)
            await wire.write(frames.marshal_content(back, properties, body, 1))
        elif fate != "lose":
            self.effects.append(properties.message_id)
        if fate == "nack":
            await wire.send(commands.Basic.Nack(tag, False, False), 1)
        elif fate in ("kill", "lose"):
            self.kill(wire)
        elif fate in ("ack", "return"):
            await wire.send(commands.Basic.Ack(tag, False), 1)


async def wait_until_answering(client):
    """Wait until the process that the client calls answers, at most 10 s."""
    with anyio.fail_after(10):
        while True:
            try:
                assert await client.say("PING") == "+PONG\r\n"
            except OSError:
                await anyio.sleep(0.02)
            else:
                return


class DialGate:
    """Holds every dial to endpoints until it is opened."""

    def __init__(self, monkeypatch):
        self.open, self.waiting, dial = anyio.Event(), 0, http_transport.dial

        async def dial_once_open(address):
            self.waiting += 1
            await self.open.wait()
            return await dial(address)

        monkeypatch.setattr(http_transport, "dial", dial_once_open)


def method_frame(payload):
    """A method frame with any payload."""
    return frames.FRAME_HEAD.pack(1, 1, len(payload)) + payload + bytes([frames.FRAME_END])


def marshal(method, channel=1):
    return frame.marshal(method, channel)
