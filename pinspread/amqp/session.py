"""One connection of a client, from the protocol header to the close."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count

import anyio
import anyio.lowlevel
from pamqp import base, commands, frame, heartbeat
from pamqp.common import FieldTable

from pinspread.amqp.channel import Channel
from pinspread.amqp.channel_methods import ChannelMethods
from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.amqp.frame_stream import FrameStream
from pinspread.amqp.frame_writer import FrameWriter
from pinspread.amqp.frames import FRAME_MAX, MIN_FRAME_MAX, PROTOCOL_HEADER, Payload
from pinspread.amqp.publishing import FRONT_NAME, Publisher
from pinspread.amqp.result_queue import ResultQueueRegistry
from pinspread.amqp.session_memory import CHANNEL_BYTES, MemoryUse, SessionMemory
from pinspread.core.engine import DeliveryEngine
from pinspread.core.log import log
from pinspread.sockets import ClientConnection, Connection, ConnectionLimiter

CONNECTION_CHANNEL = 0  # the channel of the connection's own methods
CHANNEL_MAX = 64
HANDSHAKE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0  # for a client to answer Connection.Close
FRAMES_PER_TURN = 32  # that one session handles before it yields to the others
ERROR_PAUSE_S = 0.02  # before the next frame is handled, after an error that closed a channel
VIRTUAL_HOST = "/"
MECHANISMS = "PLAIN ANONYMOUS"
LOCALE = "en_US"
# Clients check here whether the server supports an extension of the specification.
SERVER_PROPERTIES: FieldTable = {
    "product": "pinspread",
    "capabilities": {"publisher_confirms": True, "basic.nack": True},
}


@dataclass(frozen=True, slots=True)
class FrontServices:
    """The objects that all sessions of a front share.

    Attributes:
        engine: Accepts the messages.
        queues: The queues of final results.
        limiter: The limit on client connections and the memory held for them.
    """

    engine: DeliveryEngine
    queues: ResultQueueRegistry
    limiter: ConnectionLimiter


class Session:
    """One connection of a client.

    Args:
        services: The objects shared with the other sessions.
        connection: The connection, which the session closes when it ends.
        client: The limiter's record of the connection.
        heartbeat_s: The heartbeat interval that the client is offered, in seconds.

    Attributes:
        closing: Connection.Close was sent; frames that the client sends before its answer are ignored.
    """

    def __init__(
        self,
        services: FrontServices,
        connection: Connection,
        client: ClientConnection,
        heartbeat_s: int,
    ) -> None:
        self._client = client
        self._clock = services.engine.clock
        self._memory = SessionMemory(services.limiter, client)
        self._connection = connection
        self._heartbeat_s = heartbeat_s
        self._stream = FrameStream(connection, self._clock, self._reserve_buffer, self._note_incomplete)
        self._writer = FrameWriter(self._stream)
        self._channels: dict[int, Channel] = {}
        self.closing = False
        self._end_requested = False
        self._publisher = Publisher(services.engine, connection, self._writer, self._channels)
        self._methods = ChannelMethods(
            self._publisher, services.queues, self._writer, self._channels, self._memory
        )

    async def run(self) -> None:
        """Serve the connection to its end."""
        try:
            if not await self._open():
                return
            self._client.has_heartbeat = True  # heartbeats show when the client is lost
            self._client.timeout_reply = _CLOSE_INCOMPLETE
            self._client.command_answered(self._clock.now())
            async with anyio.create_task_group() as tasks:
                scope = tasks.cancel_scope
                tasks.start_soon(self._run_until_end, self._writer.run, scope)
                tasks.start_soon(self._run_until_end, self._exchange_heartbeats, scope)
                await self._run_until_end(self._read_frames, scope)
        finally:
            for channel in self._channels.values():
                channel.close()
            self._connection.close()

    def announce_shutdown(self) -> None:
        """Notify the client that the process shuts down."""
        if not self.closing:
            self.closing = True
            close = commands.Connection.Close(ReplyCode.CONNECTION_FORCED, "shutting down", 0, 0)
            self._writer.send(CONNECTION_CHANNEL, close)

    def request_end(self) -> None:
        """Have the client notified of the shutdown once all that it has sent is answered."""
        self._end_requested = True
        if self._connection.awaiting_input:  # otherwise the reader holds frames, and does it behind them
            self._announce_if_answered()

    def _announce_if_answered(self) -> None:
        # The answers precede the notification in the writer's queue, and a client that publishes more only
        # once it has them cannot have sent more yet.
        if not self._in_content() and not self._publisher.unconfirmed and self._stream.is_handled():
            self.announce_shutdown()

    def _in_content(self) -> bool:
        """Return whether the rest of a content is awaited on any channel."""
        return any(channel.contents.method is not None for channel in self._channels.values())

    async def _run_until_end(self, work: Callable[[], Awaitable[None]], scope: anyio.CancelScope) -> None:
        """Run one task of the session; cancel all of them when it ends or the connection is lost."""
        try:
            await work()
        except OSError as error:
            log("amqp_connection_closed", error=str(error))
        scope.cancel()

    async def _exchange_heartbeats(self) -> None:
        await self._stream.exchange_heartbeats(self._heartbeat_s)

    # --- opening and closing the connection -------------------------------------------------------------

    async def _open(self) -> bool:
        """Open the AMQP connection; return whether the client has completed the handshake."""
        opened = False
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                opened = await self._handshake()
        except AmqpError as error:
            await self._close(error)
        except (OSError, TimeoutError):
            pass  # the client has closed the connection, or was silent for too long
        return opened

    async def _handshake(self) -> bool:
        stream = self._stream
        if await stream.read_protocol_header() != PROTOCOL_HEADER:
            await self._connection.write(PROTOCOL_HEADER)  # the specification's answer to other protocols
            return False
        await stream.send(commands.Connection.Start(0, 9, SERVER_PROPERTIES, MECHANISMS, LOCALE))
        await stream.read_method("Connection.StartOk")
        await stream.send(commands.Connection.Tune(CHANNEL_MAX, FRAME_MAX, self._heartbeat_s))
        self._tune(await stream.read_method("Connection.TuneOk"))
        opened = await stream.read_method("Connection.Open")
        assert isinstance(opened, commands.Connection.Open)
        if opened.virtual_host != VIRTUAL_HOST:
            text = f"no virtual host {opened.virtual_host!r}"
            raise AmqpError(ReplyCode.NOT_ALLOWED, text, opened)
        await stream.send(commands.Connection.OpenOk())
        return True

    def _tune(self, tuned: base.Frame) -> None:
        """Adopt the limits that the client has chosen."""
        assert isinstance(tuned, commands.Connection.TuneOk)
        frame_max = tuned.frame_max or FRAME_MAX
        if not MIN_FRAME_MAX <= frame_max <= FRAME_MAX:
            raise AmqpError(ReplyCode.NOT_ALLOWED, f"frame_max {frame_max}", tuned)
        self._stream.frame_max = frame_max
        self._heartbeat_s = tuned.heartbeat

    async def _close(self, error: AmqpError) -> None:
        """Close the connection as the specification says: Close, then wait for CloseOk."""
        _log_malformed(error)
        close = commands.Connection.Close(error.code, error.text, error.class_id, error.method_id)
        with anyio.move_on_after(CLOSE_TIMEOUT_S), suppress(OSError, AmqpError):
            await self._writer.flush()
            await self._stream.send(close)
            payload: Payload | None = None
            try:
                while not isinstance(payload, commands.Connection.CloseOk):
                    _, payload = await self._stream.read_frame()
            except (AmqpError, ConnectionRefusedError):
                # A frame that is not well-formed, or too large for the room left, hides all that follow it.
                self._stream.buffer.clear()
                await self._connection.linger()

    # --- reading ----------------------------------------------------------------------------------------

    async def _read_frames(self) -> None:
        """Handle frames until the connection is closed from either side."""
        try:
            for handled in count(1):
                if not handled % FRAMES_PER_TURN:
                    # Otherwise a client that sends without a pause would keep the event loop to itself.
                    await anyio.lowlevel.checkpoint()
                await self._writer.wait_until_read()
                number, payload = await self._read_frame()
                if number == CONNECTION_CHANNEL:
                    if not await self._handle_on_connection(payload):
                        return
                elif not self.closing and not self._handle_on_channel(number, payload):
                    # A client that repeats the error as soon as it is told would fill the log.
                    await anyio.sleep(ERROR_PAUSE_S)
                self._note_frame()
        except AmqpError as error:
            await self._close(error)

    def _note_frame(self) -> None:
        """Update what depends on the frames handled so far, after each."""
        if self._in_content():
            self._note_incomplete()
        else:
            self._note_complete()
        self._memory.reserve(MemoryUse.ANSWERS, self._writer.queued_bytes)
        self._memory.reserve(MemoryUse.CHANNELS, len(self._channels) * CHANNEL_BYTES)
        if self._end_requested:
            self._announce_if_answered()

    async def _read_frame(self) -> tuple[int, Payload]:
        try:
            return await self._stream.read_frame()
        except ConnectionRefusedError as error:
            self._stream.buffer.clear()  # no frame behind this one can be read
            raise AmqpError(ReplyCode.RESOURCE_ERROR, str(error)) from None

    def _reserve_buffer(self, size: int) -> bool:
        return self._memory.reserve(MemoryUse.READ_BUFFER, size)

    def _note_incomplete(self) -> None:
        """Note that the rest of a frame or of a content is awaited: it has to come in time."""
        self._client.command_begun(self._clock.now())

    def _note_complete(self) -> None:
        """Note that the client has completed a request."""
        self._client.command_answered(self._clock.now())

    async def _handle_on_connection(self, payload: Payload) -> bool:
        """Handle a frame of channel 0; return whether the connection is still open."""
        if isinstance(payload, heartbeat.Heartbeat):
            return True
        if isinstance(payload, commands.Connection.Close):
            await self._stream.send(commands.Connection.CloseOk())
            return False
        if isinstance(payload, commands.Connection.CloseOk):
            return False
        raise AmqpError(ReplyCode.COMMAND_INVALID, "not a method of channel 0", payload)

    def _handle_on_channel(self, number: int, payload: Payload) -> bool:
        """Handle a frame of a channel, and close the channel on an error that concerns only it.

        Returns:
            Whether there was no such error.

        Raises:
            AmqpError: The whole connection is to be closed.
        """
        try:
            self._dispatch(number, payload)
        except AmqpError as error:
            if error.closes_connection:
                raise
            _log_malformed(error)
            self._close_channel(self._channels[number], error)
            return False
        return True

    def _dispatch(self, number: int, payload: Payload) -> None:
        if isinstance(payload, commands.Channel.Open):
            self._open_channel(number, payload)
            return
        channel = self._channels.get(number)
        if channel is None:
            raise AmqpError(ReplyCode.CHANNEL_ERROR, f"channel {number} is not open", payload)
        if channel.closing:
            self._handle_while_closing(channel, payload)
        else:
            self._feed(channel, payload)

    def _open_channel(self, number: int, method: commands.Channel.Open) -> None:
        if number in self._channels or number > CHANNEL_MAX:
            raise AmqpError(ReplyCode.CHANNEL_ERROR, f"channel {number} cannot be opened", method)
        if not self._memory.reserve(MemoryUse.CHANNELS, (1 + len(self._channels)) * CHANNEL_BYTES):
            raise AmqpError(ReplyCode.RESOURCE_ERROR, "no room for another channel", method)
        self._channels[number] = Channel(number, self._writer)
        self._writer.send(number, commands.Channel.OpenOk())

    def _close_channel(self, channel: Channel, error: AmqpError) -> None:
        channel.close()
        channel.closing = True
        close = commands.Channel.Close(error.code, error.text, error.class_id, error.method_id)
        self._writer.send(channel.number, close)

    def _handle_while_closing(self, channel: Channel, payload: Payload) -> None:
        """Wait for the answer to Channel.Close; other frames, sent before it arrived, are ignored."""
        if isinstance(payload, commands.Channel.CloseOk | commands.Channel.Close):
            del self._channels[channel.number]
        if isinstance(payload, commands.Channel.Close):
            self._writer.send(channel.number, commands.Channel.CloseOk())

    def _feed(self, channel: Channel, payload: Payload) -> None:
        """Add a frame to a channel's current method, and handle the method once it is complete."""
        received = channel.contents.feed(payload)
        if not isinstance(payload, base.Frame):
            self._reserve_contents(channel)
        if received is not None:
            self._note_complete()
            self._methods.handle(channel, received)

    def _reserve_contents(self, channel: Channel) -> None:
        size = sum(open_channel.contents.buffered for open_channel in self._channels.values())
        if not self._memory.reserve(MemoryUse.CONTENTS, size):
            text = "no room for more contents"
            raise AmqpError(ReplyCode.RESOURCE_ERROR, text, channel.contents.method)


# Sent to a client that has stopped within a frame or a content.
_CLOSE_INCOMPLETE = frame.marshal(
    commands.Connection.Close(ReplyCode.CONNECTION_FORCED, "no whole frame or content in time", 0, 0),
    CONNECTION_CHANNEL,
)


def _log_malformed(error: AmqpError) -> None:
    log("malformed", front=FRONT_NAME, code=error.code, error=error.text)
