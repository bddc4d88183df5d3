"""A broker that speaks as much of AMQP 0-9-1 as a publisher with confirms needs."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from pamqp import commands, frame, header
from pamqp.body import ContentBody
from pamqp.heartbeat import Heartbeat

PROTOCOL_HEADER_BYTES = 8
FRAME_MAX = 131_072


@dataclass
class Publish:
    """One publish whose last byte has arrived."""

    connection: "BrokerConnection"
    tag: int
    exchange: str
    routing_key: str
    message_id: str
    attempt: int
    body: bytes
    confirmed: bool = False

    def confirm(self) -> None:
        """Send the ack, if the connection is still open."""
        self.confirmed = True
        self.connection.send(commands.Basic.Ack(self.tag, False), 1)


@dataclass
class BrokerConnection:
    """One connection of a publisher."""

    writer: asyncio.StreamWriter
    open: bool = True
    published: int = 0
    method: commands.Basic.Publish | None = None
    properties: commands.Basic.Properties | None = None
    size: int = 0
    body: bytearray = field(default_factory=bytearray)

    def send(self, method: object, channel: int = 0) -> None:
        """Write a method, if the connection is still open."""
        if self.open:
            self.writer.write(frame.marshal(method, channel))


class Broker:
    """A broker on 127.0.0.1.

    Args:
        on_publish: Called with each publish that has arrived; it confirms it, now or later.
    """

    def __init__(self, on_publish: Callable[[Publish], None]) -> None:
        self._on_publish = on_publish
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = BrokerConnection(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readexactly(PROTOCOL_HEADER_BYTES)
            connection.send(commands.Connection.Start(0, 9, {"product": "stand-in"}, "PLAIN", "en_US"))
            while True:
                head = await reader.readexactly(7)
                rest = await reader.readexactly(int.from_bytes(head[3:7]) + 1)
                _, channel, payload = frame.unmarshal(head + rest)
                if not self._handle(connection, channel, payload):
                    break
                await writer.drain()
        connection.open = False
        writer.close()

    def _handle(self, connection: BrokerConnection, channel: int, payload: object) -> bool:
        answers = {
            commands.Connection.StartOk: lambda: commands.Connection.Tune(1, FRAME_MAX, 30),
            commands.Connection.Open: commands.Connection.OpenOk,
            commands.Channel.Open: commands.Channel.OpenOk,
            commands.Confirm.Select: commands.Confirm.SelectOk,
            commands.Channel.Close: commands.Channel.CloseOk,
        }
        if isinstance(payload, commands.Connection.Close):
            connection.send(commands.Connection.CloseOk())
            return False
        if isinstance(payload, Heartbeat):
            connection.writer.write(Heartbeat().marshal())
        elif type(payload) in answers:
            connection.send(answers[type(payload)](), channel)
        else:
            self._collect(connection, payload)
        return True

    def _collect(self, connection: BrokerConnection, payload: object) -> None:
        if isinstance(payload, commands.Basic.Publish):
            connection.method, connection.body = payload, bytearray()
            connection.published += 1
            return
        if isinstance(payload, header.ContentHeader):
            connection.properties, connection.size = payload.properties, payload.body_size
        elif isinstance(payload, ContentBody):
            connection.body += payload.value
        if connection.method is None or connection.properties is None:
            return
        if len(connection.body) < connection.size:
            return
        method, properties = connection.method, connection.properties
        connection.method = connection.properties = None
        self._on_publish(
            Publish(
                connection,
                connection.published,
                method.exchange,
                method.routing_key,
                str(properties.message_id),
                int((properties.headers or {}).get("attempt", 0)),
                bytes(connection.body),
            )
        )
