"""Clients of a courier's fronts: RESP2 and AMQP 0-9-1, written from the public specifications."""

from typing import Any, Self, TypedDict, Unpack

import anyio
import anyio.abc
import orjson
from pamqp import base, commands

from pinspread import sockets
from pinspread.amqp import frames
from pinspread.amqp.content import ContentAssembler, ReceivedMethod
from pinspread.amqp.frame_stream import FrameStream
from pinspread.core.clock import Clock

CHANNEL = 1
CHANNEL_MAX = 8
FRAME_MAX = 4096
REPLY_QUEUE = "ends"
ANSWER_TIMEOUT_S = 5.0


class SubmissionOptions(TypedDict, total=False):
    """Options of a message that are seldom given.

    Attributes:
        dest: Number of the destination; 1 by default.
        body: The payload; one byte by default.
        more: Further options of `ENQUEUE`, each preceded by a comma.
    """

    dest: int
    body: bytes
    more: str


class Client:
    """A client of the courier's RESP2 front; it connects when its first command is sent.

    Attributes:
        address: Host and port of the courier.
        reconnect: Whether to connect again, once, if the courier has closed a kept connection.
        stream: The connection; None while there is none.
        submitted: How many messages `enqueue` has submitted.
    """

    def __init__(self, address: str, reconnect: bool = False) -> None:
        """Create a client.

        Args:
            address: Host and port of the courier.
            reconnect: Whether to connect again, once, if the courier has closed a kept connection.
        """
        self.address = sockets.split_address(address)
        self.reconnect = reconnect
        self.stream: anyio.abc.ByteStream | None = None
        self.submitted = 0

    async def say(self, *words: str | bytes) -> str:
        """Send a command and return its answer as received.

        Raises:
            OSError: The connection cannot be opened.
            anyio.EndOfStream: The courier closed the connection before it answered.
            anyio.BrokenResourceError: The connection broke.
        """
        kept = self.stream
        try:
            return await self._call(words)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            if not self.reconnect or kept is None:
                raise
        await kept.aclose()
        self.stream = None
        return await self._call(words)

    async def _call(self, words: tuple[str | bytes, ...]) -> str:
        if self.stream is None:
            self.stream = await anyio.connect_tcp(*self.address)
        parts = [word if isinstance(word, bytes) else word.encode() for word in words]
        request = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
        await self.stream.send(request)
        answer = await self.stream.receive()
        while not answer.endswith(b"\r\n"):  # the rest would be taken for the answer to the next command
            answer += await self.stream.receive()
        return answer.decode()

    async def enqueue(
        self,
        class_name: str = "payment",
        id_: str | None = None,
        key: str = "0",
        for_ms: int = 5000,
        **options: Unpack[SubmissionOptions],
    ) -> str:
        """Submit a message of the tenant `north`, with a deadline in `for_ms`, and return the answer."""
        self.submitted += 1
        fields = (
            f"c={class_name},t=north,d={for_ms},k=ab12,dest={options.get('dest', 1)}{options.get('more', '')}"
        )
        id_ = id_ or f"id{self.submitted}"
        return await self.say("ENQUEUE", key, id_, fields, options.get("body", b"x"))


class AmqpClient:
    """A publisher and consumer at a courier's AMQP front, on one channel."""

    def __init__(self, wire: FrameStream) -> None:
        self.wire = wire
        self.contents = ContentAssembler()

    @classmethod
    async def open(cls, address: str, confirms: bool = True) -> Self:
        """Connect, log in and open the channel.

        Args:
            address: Host and port of the courier's AMQP front.
            confirms: Whether to select publisher confirms.

        Raises:
            OSError: The connection cannot be opened.
            TimeoutError: An answer took too long.
        """
        self = cls(FrameStream(await sockets.dial(address), Clock()))
        await self.wire.connection.write(frames.PROTOCOL_HEADER)
        await self.wire.read_method("Connection.Start")
        await self.wire.send(commands.Connection.StartOk({}, "PLAIN", "\0a\0b", "en_US"))
        await self.wire.read_method("Connection.Tune")
        await self.wire.send(commands.Connection.TuneOk(CHANNEL_MAX, FRAME_MAX, 0))
        await self.ask(commands.Connection.Open("/"), channel=0)
        await self.ask(commands.Channel.Open())
        if confirms:
            await self.ask(commands.Confirm.Select())
        return self

    async def ask(self, method: base.Frame, channel: int = CHANNEL) -> ReceivedMethod:
        """Send a method and return the next method received."""
        await self.wire.send(method, channel)
        return await self.next()

    async def next(self) -> ReceivedMethod:
        """Return the next method received, with its content if it has any.

        Raises:
            TimeoutError: No method came within `ANSWER_TIMEOUT_S`.
        """
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            while True:
                channel, payload = await self.wire.read_frame()
                if channel == 0 and isinstance(payload, base.Frame):
                    return ReceivedMethod(payload, None, None)
                if channel and (received := self.contents.feed(payload)):
                    return received

    async def publish(
        self,
        id_: str,
        class_name: str = "payment",
        body: bytes = b"x",
        for_ms: int | str = 5000,
        exchange: str = "",
        **headers: Any,
    ) -> None:
        """Publish a message without waiting for its confirm."""
        fields: dict[str, Any] = {"class": class_name, "tenant": "north", "dest": 1} | headers
        properties = commands.Basic.Properties(
            headers=fields, message_id=id_, expiration=str(for_ms), reply_to=REPLY_QUEUE
        )
        method = commands.Basic.Publish(0, exchange, "partner", False)
        await self.wire.write(frames.marshal_content(method, properties, body, CHANNEL, FRAME_MAX))

    async def consume(self, queue: str = REPLY_QUEUE, prefetch: int = 0) -> ReceivedMethod:
        """Start to consume final results; returns the answer to Basic.Consume."""
        await self.ask(commands.Basic.Qos(0, prefetch))
        return await self.ask(commands.Basic.Consume(0, queue, "c"))

    async def next_final(self, ack: bool = True) -> tuple[dict[str, Any], commands.Basic.Deliver]:
        """Return the next final result, decoded, and the Basic.Deliver that carried it.

        Args:
            ack: Whether to acknowledge the delivery.
        """
        while True:
            method, _, body = await self.next()
            if isinstance(method, commands.Basic.Deliver):
                if ack:
                    await self.wire.send(commands.Basic.Ack(method.delivery_tag or 0), CHANNEL)
                return orjson.loads(body or b""), method

    def close(self) -> None:
        """Close the connection."""
        self.wire.connection.close()
