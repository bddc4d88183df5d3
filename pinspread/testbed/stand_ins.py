"""Parties of a courier as stand-ins on loopback: partners, the platform, clients. From their public specifications.

The tests script them; `stage` plays a world with them.
"""

import time
from contextlib import asynccontextmanager

import anyio
import h11
import orjson
from pamqp import base, commands

from pinspread import sockets
from pinspread.amqp import frames
from pinspread.amqp.content import ContentAssembler
from pinspread.amqp.frame_stream import FrameStream
from pinspread.core.clock import Clock

SECOND = 1_000_000_000


def listener():
    """A listening socket on a free loopback port, and its address."""
    sock = sockets.listen("127.0.0.1:0")
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


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


async def until(true, seconds=5.0):
    """Wait until something holds."""
    end = time.monotonic() + seconds
    while not true():
        assert time.monotonic() < end, "waited in vain"
        await anyio.sleep(0.005)


class Client:
    """A client of the platform's RESP2."""

    def __init__(self, address, again=False):
        """With `again`, a kept connection that the courier has closed is dialled again, once."""
        host_, port = sockets.split_address(address)
        self.address = host_, port
        self.again = again
        self.stream = None
        self.serial = 0

    async def say(self, *words):
        """One command and its answer."""
        kept = self.again and self.stream is not None
        try:
            return await self._say(words)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            if not kept:
                raise
            await self.stream.aclose()
            self.stream = None
            return await self._say(words)

    async def _say(self, words):
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


class AmqpClient:
    """A publisher and consumer at the courier's AMQP front."""

    def __init__(self, wire):
        self.wire = wire
        self.contents = ContentAssembler()

    @classmethod
    async def open(cls, address, confirms=True):
        self = cls(FrameStream(await sockets.dial(address), Clock()))
        await self.wire.connection.write(frames.PROTOCOL_HEADER)
        await self.wire.read_method("Connection.Start")
        await self.wire.send(commands.Connection.StartOk({}, "PLAIN", "\0a\0b", "en_US"))
        await self.wire.read_method("Connection.Tune")
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
                channel, found = await self.wire.read_frame()
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
        await self.wire.write(frames.marshal_content(method, properties, body, 1, 4096))

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
        first = True
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
                reply = self.reply(found, connection, first)
                first = False
                if hasattr(reply, "__await__"):
                    reply = await reply
                if reply is None:
                    return
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

    def reply(self, request, connection, first):
        """What to answer: bytes as they are, (status, headers, body), None for a close, or one to await."""
        return self.answer(request)

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
