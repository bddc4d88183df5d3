"""Stand-ins on loopback for the parties of a courier, written from their public specifications."""

import os
import socket
import time
from contextlib import asynccontextmanager
from itertools import count

import anyio
import h11
import orjson
from pamqp import base, commands, frame

from pinspread.amqp import frames
from pinspread.amqp.broker import BrokerTransport
from pinspread.amqp.front import AmqpFront
from pinspread.config import settings
from pinspread.core.clock import Clock
from pinspread.core.courier import Courier
from pinspread.core.journal import Journal
from pinspread.core.transactions import NextHop
from pinspread.decide import Sender
from pinspread.interface import ListScope, ListState
from pinspread.net import front, sockets
from pinspread.net.discovery import Discovery
from pinspread.net.http import HttpTransport, Pool

SECOND = 1_000_000_000


def listener():
    """A listening socket on a free loopback port, and its address."""
    sock = sockets.listen("127.0.0.1:0")
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


_ports = count(20_000 + os.getpid() % 750 * 16)  # under those that outgoing connections take


def own_address():
    """An address for a process to listen on, which no other run of the tests shares."""
    pid = os.getpid()
    return f"127.9.{pid // 250 % 250}.{1 + pid % 250}:{next(_ports)}"


def configuration(state, **limits):
    """A courier's configuration, as the platform writes it."""
    lane = {"aimNs": 3 * SECOND, "deadlineNs": 24 * SECOND, "group": "all", "lateShare": 0.5, "value": 1.0}
    lanes = [
        lane | {"name": "booking-change", "effect": "by_key", "serialByKey": True, "windowNs": 25 * SECOND},
        lane | {"name": "status-update", "effect": "repeatable", "windowNs": 5 * SECOND},
        lane | {"name": "payment", "effect": "once", "windowNs": 5 * SECOND},
    ]
    policy = {
        "dialTimeoutNs": SECOND,
        "keepaliveNs": 15 * SECOND,
        "maxRetryAfterNs": 2 * SECOND,
        "mostHeld": 100,
        "probes": True,
        "retryAfter": True,
        "sendCap": 6,
    }
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "state": str(state),
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": limits.pop("disk_mb", 3)},
        "known": {"seq": 1, "whole": True, "hosts": []},
        "settings": {
            "balancers": 2,
            "lanes": lanes,
            "policyLimits": policy | limits,
            "projects": [{"name": "north", "quotaRps": 15.0, "share": 1.0}],
            "rules": {"drainGraceNs": SECOND // 4, "coldFrom": 0.2, "coldNs": 9 * SECOND, "tipMultiple": 2.0},
            "shapes": ["big-partner"],
            "specifics": {"bundleMax": [1], "callsOut": 64, "kindApart": [False]},
            "weights": "nominal",
            "zones": ["addis"],
        },
    }


def host(id_, address, dest=1, health="ready"):
    """An entry of discovery's list."""
    return {
        "host": id_,
        "dial": address,
        "site": "addis",
        "class": "big-partner",
        "block": dest,
        "health": health,
        "share": 50.0,
        "born_ms": 0,
    }


class Rig:
    """A courier in this process with its fronts, and what tests need of it."""

    def __init__(self, courier, address, amqp, tasks):
        self.courier = courier
        self.address = address
        self.amqp = amqp
        self.tasks = tasks

    def learn(self, address, id_="s-1", dest=1, scheme="http", state=ListState.READY, scope=ListScope.DELTA):
        """Tell it of a next hop."""
        hop = NextHop(id_, address, dest, scheme=scheme, weight=500.0)
        self.courier.learn(scope, [(hop, state)])


@asynccontextmanager
async def courier(state, platform="127.0.0.1:1", hops=(), legs=512, leg_bytes=8 << 20, **limits):
    """A courier that serves; it ends as if killed, with nothing but its journal left."""
    told = settings.read(configuration(state, **limits), {})
    clock = Clock()
    journal = Journal(told.state, told.disk_bytes)
    core = Courier(Sender(told.module, told.seed), told, clock, journal)
    pool = Pool(clock, told.keepalive_us)
    notices = front.Notices(platform)
    room = sockets.Room(clock, legs, leg_bytes)
    core.transports["http"] = HttpTransport(clock, pool, told.dial_us)
    core.fronts["resp"] = resp = front.RespFront(core, notices, room)
    core.fronts["amqp"] = amqp = AmqpFront(core, room=room)
    core.subscribe = Discovery(platform, core, told).ask
    async with anyio.create_task_group() as tasks:
        core.transports["amqp"] = BrokerTransport(clock, tasks, told.dial_us)
        (resp_sock, address), (amqp_sock, amqp_address) = listener(), listener()
        rig = Rig(core, address, amqp_address, tasks)
        for hop in hops:
            rig.learn(*hop)
        core.recover()
        for run in (core.run, notices.run, pool.run, room.run):
            tasks.start_soon(run)
        tasks.start_soon(resp.run, resp_sock)
        tasks.start_soon(amqp.run, amqp_sock)
        yield rig
        tasks.cancel_scope.cancel()
    resp_sock.close()
    journal.close()


async def until(true, seconds=5.0):
    """Wait until something holds."""
    end = time.monotonic() + seconds
    while not true():
        assert time.monotonic() < end, "waited in vain"
        await anyio.sleep(0.005)


class Client:
    """A client of the platform's RESP2."""

    def __init__(self, address):
        host_, port = sockets.split_address(address)
        self.address = host_, port
        self.stream = None
        self.serial = 0

    async def say(self, *words):
        """One command and its answer."""
        if self.stream is None:
            self.stream = await anyio.connect_tcp(*self.address)
        words = [w if isinstance(w, bytes) else w.encode() for w in words]
        await self.stream.send(
            b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)
        )
        return (await self.stream.receive()).decode()

    async def enqueue(self, cls="payment", id_=None, key="0", for_ms=5000, dest=1, body=b"x", more=""):
        """Hand one message in."""
        self.serial += 1
        options = f"c={cls},t=north,d={for_ms},k=ab12,dest={dest}{more}"
        return await self.say("ENQUEUE", key, id_ or f"id{self.serial}", options, body)


class HttpStandIn:
    """A next hop, or the platform: answers each request as `answer(self, request)` says."""

    def __init__(self, answer=None):
        self.answer = answer or (lambda request: (200, [], b""))
        self.requests = []  # (time, method, target, headers, body)
        self.connections = 0
        self.open = set()

    async def run(self, sock):
        async with anyio.create_task_group() as tasks:
            await sockets.accept_forever(sock, tasks, self.serve)

    async def serve(self, connection):
        self.connections += 1
        self.open.add(connection)
        try:
            while True:
                wire = h11.Connection(h11.SERVER)
                request, body = None, b""
                while type(event := wire.next_event()) is not h11.EndOfMessage:
                    if event is h11.NEED_DATA:
                        wire.receive_data(await connection.read())
                    elif type(event) is h11.Request:
                        request = event
                    elif type(event) is h11.Data:
                        body += bytes(event.data)
                    else:
                        return
                headers = {k.decode(): v.decode() for k, v in request.headers}
                found = time.monotonic(), request.method.decode(), request.target.decode(), headers, body
                self.requests.append(found)
                reply = self.answer(found)
                if reply is None:
                    return
                if hasattr(reply, "__await__"):
                    reply = await reply
                if isinstance(reply, bytes):
                    await connection.write(reply)  # as it is, and the connection stays open
                    continue
                status, more, data = reply
                head = [*more, ("Content-Length", str(len(data)))]
                out = wire.send(h11.Response(status_code=status, headers=head, reason=b""))
                await connection.write(out + wire.send(h11.Data(data=data)) + wire.send(h11.EndOfMessage()))
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            self.open.discard(connection)
            connection.close()

    @property
    def lines(self):
        """The notices that came, decoded."""
        return [orjson.loads(line) for r in self.requests for line in r[4].splitlines()]


@asynccontextmanager
async def standing(stand_in):
    """A stand-in that serves; gives its address."""
    sock, address = listener()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stand_in.run, sock)
        yield address
        tasks.cancel_scope.cancel()
    sock.close()


class Broker:
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
        wire = frames.Wire(connection, Clock())
        try:
            if await wire.greeting() != frames.GREETING:
                return
            await wire.send(commands.Connection.Start(0, 9, {}, "PLAIN", "en_US"))
            self.logins.add((await wire.method("Connection.StartOk")).response)
            await wire.send(commands.Connection.Tune(8, 4096, 1))
            await wire.method("Connection.TuneOk")
            await wire.method("Connection.Open")
            await wire.send(commands.Connection.OpenOk())
            await wire.method("Channel.Open")
            await wire.send(commands.Channel.OpenOk(), 1)
            await wire.method("Confirm.Select")
            await wire.send(commands.Confirm.SelectOk(), 1)
            self.links.add(wire)
            contents, tag = frames.Contents(), 0
            while True:
                await self.reading.wait()
                channel, found = await wire.frame()
                if channel == 0:
                    continue
                whole = contents.feed(found)
                if whole is None:
                    continue
                method, properties, body = whole
                tag += 1
                await self.published(wire, tag, method, properties, body)
        except OSError:
            pass
        finally:
            self.links.discard(wire)
            connection.close()

    async def published(self, wire, tag, method, properties, body):
        """Do with a publish what the plan says."""
        todo = self.plan(self, properties.message_id)
        if todo == "return":
            back = commands.Basic.Return(312, "NO_ROUTE", "", method.routing_key)
            await wire.write(frames.content(back, properties, body, 1))
        elif todo != "lose":
            self.effects.append(properties.message_id)
        if todo == "nack":
            await wire.send(commands.Basic.Nack(tag, False, False), 1)
        elif todo in ("kill", "lose"):
            self.kill(wire)
        elif todo in ("ack", "return"):
            await wire.send(commands.Basic.Ack(tag, False), 1)


class AmqpClient:
    """A publisher and consumer at the courier's AMQP front."""

    def __init__(self, wire):
        self.wire = wire
        self.contents = frames.Contents()

    @classmethod
    async def open(cls, address, confirms=True):
        self = cls(frames.Wire(await sockets.dial(address), Clock()))
        await self.wire.connection.write(frames.GREETING)
        await self.wire.method("Connection.Start")
        await self.wire.send(commands.Connection.StartOk({}, "PLAIN", "\0a\0b", "en_US"))
        await self.wire.method("Connection.Tune")
        await self.wire.send(commands.Connection.TuneOk(8, 4096, 0))
        await self.ask(commands.Connection.Open("/"), channel=0)
        await self.ask(commands.Channel.Open())
        if confirms:
            await self.ask(commands.Confirm.Select())
        return self

    async def ask(self, method, channel=1):
        """Send a method and give the next thing that comes."""
        await self.wire.send(method, channel)
        return await self.next()

    async def next(self):
        """The next (method, properties, body)."""
        with anyio.fail_after(5):
            while True:
                channel, found = await self.wire.frame()
                if channel == 0 and isinstance(found, base.Frame):
                    return found, None, None
                if channel and (whole := self.contents.feed(found)):
                    return whole

    async def publish(self, id_, cls="payment", body=b"x", for_ms=5000, exchange="", **headers):
        """Publish one message without waiting for its confirm."""
        told = {"class": cls, "tenant": "north", "dest": 1} | headers
        properties = commands.Basic.Properties(
            headers=told, message_id=id_, expiration=str(for_ms), reply_to="ends"
        )
        method = commands.Basic.Publish(0, exchange, "partner", False)
        await self.wire.write(frames.content(method, properties, body, 1, 4096))

    async def consume(self, queue="ends", prefetch=0):
        """Consume ends."""
        await self.ask(commands.Basic.Qos(0, prefetch))
        return await self.ask(commands.Basic.Consume(0, queue, "c"))

    async def end(self, ack=True):
        """The next end that is delivered: its told JSON, and the delivery."""
        while True:
            method, _, body = await self.next()
            if isinstance(method, commands.Basic.Deliver):
                if ack:
                    await self.wire.send(commands.Basic.Ack(method.delivery_tag), 1)
                return orjson.loads(body), method

    def close(self):
        self.wire.connection.close()


def malformed(payload):
    """A method frame with any payload."""
    return frames.FRAME_HEAD.pack(1, 1, len(payload)) + payload + bytes([frames.FRAME_END])


def marshal(method, channel=1):
    return frame.marshal(method, channel)
