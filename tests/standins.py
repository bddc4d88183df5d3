"""A courier in the test's process, and stand-ins on loopback for the parties that it talks to.

The stand-ins are written from the public specifications of their protocols.
"""

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

_ports = count(20_000 + os.getpid() % 750 * 16)  # below the range of ports for outgoing connections


def own_address():
    """Return an address for a process to listen on, which no concurrent run of the tests uses."""
    pid = os.getpid()
    return f"127.9.{pid // 250 % 250}.{1 + pid % 250}:{next(_ports)}"


class InProcessCourier:
    """A running courier in this process: its engine, the addresses of its fronts, and its task group."""

    def __init__(self, engine, address, amqp, tasks):
        self.engine = engine
        self.address = address
        self.amqp = amqp
        self.tasks = tasks

    def update_endpoints(
        self, address, id_="s-1", dest=1, scheme="http", state=EndpointState.READY, scope=UpdateScope.DELTA
    ):
        """Add or change an endpoint of the courier."""
        endpoint = Endpoint(id_, address, dest, scheme=scheme, weight=500.0)
        self.engine.update_endpoints(scope, [(endpoint, state)])


@asynccontextmanager
async def running_courier(
    state, platform="127.0.0.1:1", endpoints=(), max_clients=512, max_unread_bytes=8 << 20, **limits
):
    """Run a courier in this process; it ends as if killed, and only its journal is left."""
    effective_settings = settings.read(configuration(state, **limits), {})
    clock = Clock()
    journal = Journal(effective_settings.state, effective_settings.disk_bytes)
    core = DeliveryEngine(
        DeliveryPolicy(effective_settings.policy_settings, effective_settings.seed),
        effective_settings,
        clock,
        journal,
    )
    notifications = NotificationSender(platform)
    limiter = sockets.ConnectionLimiter(clock, max_clients, max_unread_bytes)
    core.transports["http"] = HttpTransport(clock, effective_settings.connect_timeout_us)
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
        for run in (core.run, notifications.run, limiter.run):
            tasks.start_soon(run)
        tasks.start_soon(resp.run, resp_sock)
        tasks.start_soon(amqp.run, amqp_sock)
        yield courier
        tasks.cancel_scope.cancel()
    resp_sock.close()
    amqp_sock.close()
    journal.close()


class BrokerStandIn:
    """The publishing side of a broker: records the messages that take effect, and fails as a test wants.

    `plan(broker, message id)` returns what to do with a published message: "ack" or "nack" confirms it so,
    "return" returns it as unroutable and acknowledges it, "kill" and "lose" reset the connection, and any
    other value sends no confirm. The message takes effect in each case but "return" and "lose".
    """

    def __init__(self, plan=None):
        self.plan = plan or (lambda broker, id_: "ack")
        self.effects = []  # the id of each message that took effect, once for each time
        self.streams = set()  # the open connections that are ready for publishing
        self.logins = set()
        self.routes = {}  # message id -> virtual host, exchange and routing key of its latest publish
        self.reading = anyio.Event()  # a test replaces it by one that is not set, to stop reading
        self.reading.set()

    async def run(self, sock):
        async with anyio.create_task_group() as tasks:
            await sockets.accept_forever(sock, tasks, self.serve)

    def kill(self, *targets):
        """Reset these connections, or all of them if none is given."""
        for stream in targets or list(self.streams):
            stream.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            anyio.notify_closing(stream.connection.sock)
            stream.connection.close()
            self.streams.discard(stream)

    async def send_to_all(self, method):
        """Send a method of channel 0 on each open connection."""
        for stream in self.streams:
            await stream.send(method)

    async def serve(self, connection):
        stream = FrameStream(connection, Clock())
        try:
            if await stream.read_protocol_header() != frames.PROTOCOL_HEADER:
                return
            await stream.send(commands.Connection.Start(0, 9, {}, "PLAIN", "en_US"))
            self.logins.add((await stream.read_method("Connection.StartOk")).response)
            await stream.send(commands.Connection.Tune(8, 4096, 1))
            await stream.read_method("Connection.TuneOk")
            opened = await stream.read_method("Connection.Open")
            await stream.send(commands.Connection.OpenOk())
            await stream.read_method("Channel.Open")
            await stream.send(commands.Channel.OpenOk(), 1)
            await stream.read_method("Confirm.Select")
            await stream.send(commands.Confirm.SelectOk(), 1)
            self.streams.add(stream)
            contents, tag = ContentAssembler(), 0
            while True:
                await self.reading.wait()
                channel, payload = await stream.read_frame()
                if channel == 0:
                    continue
                content = contents.feed(payload)
                if content is None:
                    continue
                method, properties, body = content
                tag += 1
                route = opened.virtual_host, method.exchange, method.routing_key
                self.routes[properties.message_id] = route
                await self.handle_publish(stream, tag, method, properties, body)
        except OSError:
            pass
        finally:
            self.streams.discard(stream)
            connection.close()

    async def handle_publish(self, stream, tag, method, properties, body):
        """Handle a published message as the plan says."""
        action = self.plan(self, properties.message_id)
        if action == "return":
            returned = commands.Basic.Return(312, "NO_ROUTE", "", method.routing_key)
            await stream.write(frames.marshal_content(returned, properties, body, 1))
        elif action != "lose":
            self.effects.append(properties.message_id)
        if action == "nack":
            await stream.send(commands.Basic.Nack(tag, False, False), 1)
        elif action in ("kill", "lose"):
            self.kill(stream)
        elif action in ("ack", "return"):
            await stream.send(commands.Basic.Ack(tag, False), 1)


async def wait_until_answering(client):
    """Wait at most 10 s until the process that the client is for answers a PING."""
    with anyio.fail_after(10):
        while True:
            try:
                assert await client.say("PING") == "+PONG\r\n"
            except OSError:
                await anyio.sleep(0.02)
            else:
                return


class DialGate:
    """Holds each connection attempt to an endpoint until `open` is set; `waiting` counts them."""

    def __init__(self, monkeypatch):
        self.open, self.waiting, dial = anyio.Event(), 0, http_transport.dial

        async def dial_once_open(address):
            self.waiting += 1
            await self.open.wait()
            return await dial(address)

        monkeypatch.setattr(http_transport, "dial", dial_once_open)


def method_frame(payload):
    """Encode a method frame on channel 1 with an arbitrary payload, which may be malformed."""
    return frames.FRAME_HEAD.pack(1, 1, len(payload)) + payload + bytes([frames.FRAME_END])


def marshal(method, channel=1):
    return frame.marshal(method, channel)
