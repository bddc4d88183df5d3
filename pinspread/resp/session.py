"""A client connection of the RESP front: reads commands and writes their replies in order."""

import anyio
import anyio.lowlevel

from pinspread.resp import replies
from pinspread.resp.commands import CommandHandler
from pinspread.sockets import ClientConnection, Connection, IdleConnection, ReadBuffer, StreamEnd

# After so many malformed commands a connection ends at the next one, or once nothing is unanswered.
MAX_ERRORS = 8
ERROR_PAUSE_S = 0.02  # pause after malformed commands, multiplied by their number so far
MAX_ERROR_PAUSE_S = 1.0


class ClientSession:
    """The state of one connection.

    Args:
        handler: Executes the commands.
        client: The connection as the limiter counts it.

    Attributes:
        can_continue: The connection can be served further, in this process or in another one.
    """

    def __init__(self, handler: CommandHandler, client: ClientConnection) -> None:
        self.handler = handler
        self.client = client
        self.connection: Connection = client.connection
        self.buffer = ReadBuffer(lambda size: handler.limiter.reserve(client, size))
        self.can_continue = True
        self._errors = 0
        self._output: bytes | bytearray = b""
        self._min_bytes = 1  # minimum length of the next command
        client.timeout_reply = replies.NO_COMMAND_IN_TIME

    async def run(self, handed_over: IdleConnection | None = None) -> None:
        """Serve until the client ends the stream, or the stream can no longer be served.

        Args:
            handed_over: The state of this connection from another process, or from an earlier session.

        Raises:
            ConnectionRefusedError: A command needs more memory than the clients may use together.
            OSError: The connection is broken.
        """
        if handed_over is not None:
            self._restore(handed_over)
            await self.connection.write(self._output)
        while await self._answer_commands():
            if not await self.buffer.fill(self.connection, self._max_read()):
                return
        await self.connection.linger()

    async def _answer_commands(self) -> bool:
        """Answer all complete commands in the buffer; return whether to read more."""
        # A command that arrives in small pieces is parsed again only once it may be complete. Parsing it
        # from its first byte after each read would take a lot of CPU time.
        while self.can_continue and self._buffered() >= self._min_bytes:
            if not await self._answer_batch():
                return False
        return self.can_continue and not self.connection.finished and not self._may_end()

    def _may_end(self) -> bool:
        """Return whether the stream is to be ended, and nothing that the client sent is unanswered.

        Between the write of the last reply and the end of the stream nothing is awaited. A client that sends
        more only once it has all replies would otherwise always have sent more.
        """
        requested_end = StreamEnd.ONCE_IDLE if self._too_many_errors() else self.client.requested_end
        if requested_end is StreamEnd.NOT_REQUESTED or self._buffered():
            return False
        return requested_end is StreamEnd.AFTER_COMMAND or self.connection.is_idle()

    def _max_read(self) -> int | None:
        """Return how many bytes to read next: no more than the current command's if it is to be the last."""
        if self.client.requested_end is StreamEnd.AFTER_COMMAND:
            return max(1, self._min_bytes - self._buffered())
        return None

    def _too_many_errors(self) -> bool:
        return self._errors >= MAX_ERRORS

    def _buffered(self) -> int:
        return self.buffer.end - self.buffer.start

    async def _answer_batch(self) -> bool:
        """Execute a batch of commands and write the replies; false if the stream is to be ended."""
        output = self._output = bytearray()
        batch = self.handler.execute_batch(
            self.client, self.buffer, output, end_at_error=self._too_many_errors()
        )
        self.can_continue, self._min_bytes = batch.can_continue, batch.min_bytes
        if output:
            if replies.OK in output and not await self._wait_committed():
                # Whether the messages are replicated is unknown: BUSY would claim that they were not
                # accepted, OK that they are safe. A client that gets no reply submits the same id again.
                return False
            await self.connection.write(output)
        self._errors += batch.errors
        if self._may_end():
            return False
        if batch.errors and self.can_continue and not self._too_many_errors():
            # A client that repeats a malformed command as soon as it is rejected would use up the CPU.
            await anyio.sleep(min(ERROR_PAUSE_S * self._errors, MAX_ERROR_PAUSE_S))
        else:
            # Hundreds of commands may be in the buffer: other connections get a turn between batches.
            await anyio.lowlevel.checkpoint()
        return True

    async def _wait_committed(self) -> bool:
        """Wait until an OK may be written; false if the engine cannot confirm that the messages are safe.

        If a hot restart cancels the wait, the next process cannot continue the connection: replies to its
        commands may not be written yet, and the client would take the replies to later commands for them.
        """
        can_continue, self.can_continue = self.can_continue, False
        committed = await self.handler.engine.wait_committed()
        self.can_continue = can_continue
        return committed

    def _restore(self, handed_over: IdleConnection) -> None:
        self.client.answered = handed_over.answered
        self.client.submitted = handed_over.submitted
        self._errors = handed_over.errors
        self._output = handed_over.unsent
        self.buffer.preload(handed_over.unread)

    def detach(self) -> IdleConnection:
        """Return the state that another process needs to go on serving, after `run` was cancelled."""
        return IdleConnection(
            self.connection,
            self.client.answered,
            self.client.submitted,
            self._errors,
            unread=bytes(self.buffer.view()),
            unsent=bytes(self._output[len(self._output) - self.connection.unsent_bytes :]),
        )
