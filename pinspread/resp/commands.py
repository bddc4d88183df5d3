"""The commands of the RESP front: executes them and encodes their replies."""

from typing import NamedTuple

from pinspread.core.engine import DeliveryEngine
from pinspread.core.log import log
from pinspread.core.message_fields import InvalidFieldError
from pinspread.core.messages import Message
from pinspread.core.time_units import US_PER_MS
from pinspread.errors import RejectedError
from pinspread.resp import replies
from pinspread.resp.parser import CommandError, EnqueueRequest, ProtocolError, parse, parse_enqueue
from pinspread.sockets import ClientConnection, Connection, ConnectionLimiter, ReadBuffer

NAME = "resp"  # of this front, in the journal
BATCH_SIZE = 32  # commands of one connection that are executed before other connections get a turn
MAX_NAME_BYTES = 16  # of a command's name
MAX_PING_BYTES = 1024  # of all arguments of a PING


class BatchResult(NamedTuple):
    """The state of a connection after a batch of commands.

    Attributes:
        can_continue: Further commands can be executed; false after a protocol error, or the last allowed one.
        min_bytes: Minimum length of the next command in bytes: with less in the buffer it is incomplete.
        errors: Number of malformed commands in the batch.
    """

    can_continue: bool
    min_bytes: int
    errors: int


class Reply(NamedTuple):
    """The reply to a command, and whether the command was well-formed."""

    well_formed: bool
    data: bytes


class CommandHandler:
    """Executes the commands of all connections.

    Args:
        engine: The engine that accepts the messages.
        limiter: The limiter that counts the connections.
    """

    def __init__(self, engine: DeliveryEngine, limiter: ConnectionLimiter) -> None:
        self.engine = engine
        self.limiter = limiter

    def execute_batch(
        self, client: ClientConnection, buffer: ReadBuffer, output: bytearray, *, end_at_error: bool = False
    ) -> BatchResult:
        """Execute complete commands in the buffer, up to `BATCH_SIZE`, and append the replies to `output`.

        Args:
            client: The connection as the limiter counts it.
            buffer: The bytes that were read.
            output: Receives the replies.
            end_at_error: No command behind a malformed one is executed.
        """
        errors = 0
        for _ in range(BATCH_SIZE):
            if not buffer.end:
                break
            try:
                arguments, size = parse(buffer.view())
            except ProtocolError as error:
                log("malformed", error=str(error))
                output += replies.error(error)
                return BatchResult(False, 1, errors + 1)
            if arguments is None:
                client.command_begun(self.engine.clock.now())
                return BatchResult(True, size, errors)
            reply = self._execute(client, arguments)
            output += reply.data
            buffer.consume(size)
            if reply.well_formed:
                client.command_answered(self.engine.clock.now())
            else:
                errors += 1
                if end_at_error:
                    return BatchResult(False, 1, errors)
        return BatchResult(True, 1, errors)

    def _execute(self, client: ClientConnection, arguments: list[memoryview]) -> Reply:
        try:
            return Reply(True, self._dispatch(client, arguments))
        except InvalidFieldError as error:
            log("malformed", error=str(error))
            return Reply(False, replies.error(error))
        except RejectedError as error:
            log("rejected", reason=str(error))
            return Reply(True, replies.busy(error.retry_after_ms))

    def _dispatch(self, client: ClientConnection, arguments: list[memoryview]) -> bytes:
        name = bytes(arguments[0][:MAX_NAME_BYTES]).upper()
        if name == b"ENQUEUE":
            self._enqueue(client.connection, parse_enqueue(arguments))
            client.submitted = True
            return replies.OK
        if name == b"PING" and sum(map(len, arguments)) < MAX_PING_BYTES:
            return replies.PONG if len(arguments) == 1 else replies.bulk(arguments[1])
        raise CommandError(f"unknown command {name!r}")

    def _enqueue(self, connection: Connection, request: EnqueueRequest) -> None:
        engine, options = self.engine, request.options
        unknown = engine.unknown_reason(options.class_name, options.tenant, options.destination)
        if unknown:
            raise CommandError(unknown)
        if connection.peer_has_left():
            # A client that no longer waits for the reply submits the message again, maybe under another id.
            # Accepted here as well, it would be delivered twice. That holds for all commands that it wrote
            # before it left and that were not read by then.
            raise RejectedError(0, "the client connection has been closed")
        engine.accept(
            Message(
                number=0,
                id=request.id,
                class_name=options.class_name,
                tenant=options.tenant,
                destination=options.destination,
                key=request.key,
                idempotency_key=options.idempotency_key,
                deadline_unix_us=engine.clock.unix(engine.clock.now()) + options.deadline_ms * US_PER_MS,
                body=bytes(request.body),
                front=NAME,
            )
        )
