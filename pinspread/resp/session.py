"""One client connection of the RESP front: reads commands, and writes their replies in order."""

import anyio
import anyio.lowlevel

from pinspread.resp import replies
from pinspread.resp.commands import CommandHandler
from pinspread.sockets import ClientConnection, Connection, IdleConnection, ReadBuffer

MAX_ERRORS = 8  # malformed commands after which a connection is closed
ERROR_PAUSE_S = 0.02  # after each of them, times their number
MAX_ERROR_PAUSE_S = 1.0


class ClientSession:
    """The state of one connection.

    Args:
        handler: What executes the commands.
        client: The connection as the limiter counts it.

    Attributes:
        following: The stream can still be followed: the connection may go on, here or in another process.
    """

    def __init__(self, handler: CommandHandler, client: ClientConnection) -> None:
        self.handler = handler
        self.client = client
        self.connection: Connection = client.connection
        self.buffer = ReadBuffer(lambda size: handler.limiter.reserve(client, size))
        self.following = True
        self._errors = 0
        self._output: bytes | bytearray = b""
        self._min_bytes = 1  # of the next command
        client.timeout_reply = replies.NO_COMMAND_IN_TIME

    async def run(self, handed_over: IdleConnection | None = None) -> None:
        """Serve until the client has ended the stream, or it cannot be followed any more.

        Args:
            handed_over: What another process, or an earlier session, has left of this connection.

        Raises:
            ConnectionRefusedError: There is no memory for a command of this client.
            OSError: The connection is broken.
        """
        if handed_over is not None:
            self._restore(handed_over)
            await self.connection.write(self._output)
        unread = handed_over is not None and self._buffered() > 0
        while unread or await self.buffer.fill(self.connection):
            unread = False
            # Parsed from its first byte at each read, a command that trickles in would cost a lot of time.
            while self.following and self._buffered() >= self._min_bytes:
                if not await self._answer_batch():
                    await self.connection.linger()
                    return
            if not self.following:
                await self.connection.linger()
                return

    def _buffered(self) -> int:
        return self.buffer.end - self.buffer.start

    async def _answer_batch(self) -> bool:
        """Answer some commands; false if the client must get nothing more."""
        output = self._output = bytearray()
        batch = self.handler.execute_batch(self.client, self.buffer, output)
        self.following, self._min_bytes = batch.following, batch.min_bytes
        if output:
            if replies.OK in output and not await self._wait_committed():
                # BUSY would say that nothing was accepted, OK that it is safe; neither is known. A client
                # that gets no reply submits the same id again.
                return False
            await self.connection.write(output)
        self._errors += batch.errors
        if batch.errors:
            # A client that sends the same again as soon as it is refused would take the CPU.
            self.following = self.following and self._errors < MAX_ERRORS
            pause_s = min(ERROR_PAUSE_S * self._errors, MAX_ERROR_PAUSE_S)
            await anyio.sleep(pause_s if self.following else 0)
        else:
            await anyio.lowlevel.checkpoint()  # hundreds of commands may be there at once: others in turn
        return True

    async def _wait_committed(self) -> bool:
        """Wait until an OK may be written; cut short by a hand-over, the connection cannot go on."""
        # Its replies may not be written yet, and without them the client would take later ones for these.
        following, self.following = self.following, False
        committed = await self.handler.engine.wait_committed()
        self.following = following
        return committed

    def _restore(self, handed_over: IdleConnection) -> None:
        self.client.answered = handed_over.answered
        self.client.submitted = handed_over.submitted
        self._errors = handed_over.errors
        self._output = handed_over.unsent
        self.buffer.preload(handed_over.unread)

    def detach(self) -> IdleConnection:
        """Return what another process needs to serve the connection on, once `run` was cancelled."""
        return IdleConnection(
            self.connection,
            self.client.answered,
            self.client.submitted,
            self._errors,
            unread=bytes(self.buffer.view()),
            unsent=bytes(self._output[len(self._output) - self.connection.unsent_bytes :]),
        )
