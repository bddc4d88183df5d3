"""The platform's front: RESP2 caller legs in, notices out."""

import anyio
import anyio.lowlevel
import orjson

from pinspread.core.log import log
from pinspread.core.messages import FinalState, Message
from pinspread.errors import RejectedError
from pinspread.http.transport import Exchange
from pinspread.resp import parser as resp
from pinspread.sockets import (
    ConnectionLimiter,
    IdleConnection,
    ReadBuffer,
    accept_forever,
    dial,
    serve_counted,
)

NAME = "resp"
NOTICE_S = 1.0  # how long one POST of notices may take; answered at once as a rule
AGAIN_S = (0.05, 0.1, 0.2, 0.4)  # waits between tries, the last for all further ones
MOST_NOTICES = 200
AT_ONCE = 32  # commands of one caller leg that are answered before others have their turn
MOST_ERRORS = 8  # malformed commands after which a caller leg is closed
ERROR_S = 0.02  # rest of a leg after each, and longer from one to the next
MOST_PING = 1024
CLOSE_S = 0.15  # at the end of the process: for answers, and for clients to end their legs
TAKEN = b"+OK\r\n"


class RespFront:
    """Caller legs on a listening socket."""

    reports_delivery = False  # the platform sees a delivery by itself
    ordered_by_notice = True

    def __init__(self, engine, notices, room=None):
        self.engine = engine
        self.notices = notices
        self.room = room or ConnectionLimiter(engine.clock)
        self.scope = None  # of what `run` has started
        self.accepting = None  # the scope of the task that accepts
        self.sock = None
        self.over = anyio.Event()
        self.kept = None  # legs that are to go to another process, while they are collected

    async def run(self, sock, legs=()):
        """Accept and serve until cancelled, or parted; `legs` are Kept, from another process or time."""
        self.over, self.sock = anyio.Event(), sock
        async with anyio.create_task_group() as tasks:
            self.scope = tasks.cancel_scope
            for kept in legs:
                tasks.start_soon(serve_counted, self.room, self.serve, kept.connection, kept)
            with anyio.CancelScope() as self.accepting:
                await accept_forever(sock, tasks, self.serve, self.room)
        self.over.set()

    async def close(self):
        """The process ends: answer what has come, say on each leg that no more will, and wait briefly."""
        # Danger: a process that ends with a whole command unread resets its connection, and the client has
        # no answer. What crosses this end is sent once more elsewhere, for its client sees the end first.
        if self.sock is None or self.scope.cancel_called:
            return
        with anyio.move_on_after(CLOSE_S):
            await anyio.sleep(0)  # newcomers that wait are accepted, and heard
            self.accepting.cancel()
            self.sock.close()  # who comes now is refused, and nobody waits in its queue
            legs = {leg.connection: leg for leg in self.room.clients.values() if not leg.has_heartbeat}
            while legs:
                for connection, leg in list(legs.items()):
                    if connection not in self.room.clients:
                        del legs[connection]
                    elif not leg.mid_command and connection.is_idle():
                        connection.send_eof()
                        del legs[connection]
                await anyio.sleep(0.005)
        with anyio.move_on_after(CLOSE_S):
            while any(not leg.has_heartbeat for leg in self.room.clients.values()):
                await anyio.sleep(0.005)

    async def part(self) -> list:
        """Stop accepting and reading, and give all legs that can go on elsewhere, as Kept."""
        self.kept = []
        self.scope.cancel()
        await self.over.wait()
        kept, self.kept = self.kept, None
        return kept

    async def serve(self, connection, leg, kept=None):
        """One caller leg."""
        buffer = ReadBuffer(lambda size: self.room.reserve(leg, size))
        leg.timeout_reply = b"-ERR no whole command in time\r\n"
        errors, answers, follow = 0, b"", True
        need = 1
        try:
            if kept:
                leg.answered, leg.submitted, errors, answers = (
                    kept.answered,
                    kept.submitted,
                    kept.errors,
                    kept.unsent,
                )
                buffer.preload(kept.unread)
                await connection.write(answers)
            while buffer.end > buffer.start and kept or await buffer.fill(connection):
                kept = None
                # Danger: parsed from its first byte at each read, a command that trickles in costs a lot.
                while follow and buffer.end - buffer.start >= need:
                    answers = bytearray()
                    follow, need, wrong = self._commands(connection, leg, buffer, answers)
                    if answers:
                        if TAKEN in answers and not await self.engine.wait_committed():
                            # Danger: BUSY would say that nothing was taken on, OK that it is safe; neither is
                            # known. A client that hears nothing hands the same id in again.
                            await connection.linger()
                            return
                        await connection.write(answers)
                    errors += wrong
                    if wrong:
                        # Danger: who sends the same again as soon as it is turned away would take the core.
                        follow = follow and errors < MOST_ERRORS
                        await anyio.sleep(min(ERROR_S * errors, 1.0) if follow else 0)
                    else:
                        await anyio.lowlevel.checkpoint()  # hundreds of commands at once: others in turn
                if not follow:
                    await connection.linger()
                    return
        except ConnectionRefusedError as error:
            log("malformed", error=str(error))
            connection.try_write(b"-BUSY 1000\r\n")
            await connection.linger()
        except OSError:
            pass  # the client is gone
        except anyio.get_cancelled_exc_class():
            if follow and self.kept is not None:
                unsent = bytes(answers[len(answers) - connection.unsent_bytes :])
                unread = bytes(buffer.view())
                self.kept.append(
                    IdleConnection(connection, leg.answered, leg.submitted, errors, unread, unsent)
                )
                connection = None
            raise
        except Exception as error:
            # Danger: one caller leg's trouble would end the process and all that it serves.
            log("fault", where="caller leg", error=repr(error))
        finally:
            if connection is not None:
                connection.close()

    def _commands(self, connection, leg, buffer, answers):
        """Answer whole commands, a few at a time.

        Gives whether the stream can still be followed, the bytes that the next command has at the least, and
        how many commands were malformed.
        """
        wrong = 0
        for _ in range(AT_ONCE):
            if not buffer.end:
                break
            try:
                arguments, size = resp.parse(buffer.view())
                if arguments is None:
                    leg.command_begun(self.engine.clock.now())
                    return True, size, wrong
                self.room.reserve(leg, 0)
                good, answer = self._command(connection, leg, arguments)
                answers += answer
                buffer.consume(size)
            except resp.ProtocolError as error:
                log("malformed", error=str(error))
                answers += _error(error)
                return False, 1, wrong + 1
            if good:
                leg.command_answered(self.engine.clock.now())
            else:
                wrong += 1
        return True, 1, wrong

    def _command(self, connection, leg, arguments):
        """Whether it was well-formed, and its answer."""
        name = bytes(arguments[0][:16]).upper()
        try:
            if name == b"ENQUEUE":
                answer = self._enqueue(connection, *resp.enqueue(arguments))
                leg.submitted = True
                return True, answer
            if name == b"PING" and sum(map(len, arguments)) < MOST_PING:
                return True, b"+PONG\r\n" if len(arguments) == 1 else _bulk(arguments[1])
            raise resp.CommandError(f"unknown command {name!r}")
        except resp.CommandError as error:
            log("malformed", error=str(error))
            return False, _error(error)
        except RejectedError as error:
            log("busy", why=str(error))
            return True, b"-BUSY %d\r\n" % error.retry_after_ms

    def _enqueue(self, connection, key, id_, options, body):
        engine = self.engine
        cls, tenant = options["c"], options.get("t", "")
        unknown = engine.unknown_reason(cls, tenant, options["dest"])
        if unknown:
            raise resp.CommandError(unknown)
        if connection.is_finished():
            # Danger: a client that has stopped waiting hands the message in again under another id.
            raise RejectedError(0, "the caller has gone")
        engine.accept(
            Message(
                number=0,
                id=id_,
                class_name=cls,
                tenant=tenant,
                destination=options["dest"],
                key=key,
                idempotency_key=options.get("k", ""),
                deadline_unix_us=engine.clock.unix(engine.clock.now()) + options["d"] * 1000,
                body=bytes(body),
                front=NAME,
            )
        )
        return TAKEN

    async def notify(self, message, final):
        """Have the platform told, and return when it has answered."""
        line = {"id": message.id, "state": "failed" if final.state is FinalState.FAILED else "returned"}
        if final.retry_after_ms:
            line["after_ms"] = final.retry_after_ms
        await self.notices.tell(orjson.dumps(line))


class NotificationSender:
    """Posts notices to the platform, those of one moment together, until each is answered."""

    def __init__(self, address):
        self.address = address
        self.waiting = []  # (line, event)
        self.wake = anyio.Event()
        self.connection = None
        self.connected_to = ""

    def move(self, address):
        """From now on the platform hears notices there; those that are not answered yet go there too."""
        self.address = address

    async def tell(self, line: bytes):
        """Returns when this line has been answered."""
        answered = anyio.Event()
        self.waiting.append((line, answered))
        self.wake.set()
        await answered.wait()

    async def run(self):
        """Post whatever waits, until cancelled."""
        tries = 0
        while True:
            await self.wake.wait()
            batch = self.waiting[:MOST_NOTICES]
            status = await self._post(b"\n".join(line for line, _ in batch) + b"\n")
            if status == 400 and len(batch) > 1:
                # Danger: one line that cannot be read must not hold back the others.
                status = 204
                for line, _ in batch:
                    one = await self._post(line + b"\n")
                    status = one if one not in (204, 400) else status
            if status not in (204, 400):
                log("notices_unheard", status=status, waiting=len(self.waiting))
                await anyio.sleep(AGAIN_S[min(tries, len(AGAIN_S) - 1)])
                tries += 1
                continue
            tries = 0
            if status == 400:
                log("notice_refused", lines=[line for line, _ in batch])
            del self.waiting[: len(batch)]
            for _, answered in batch:
                answered.set()
            if not self.waiting:
                self.wake = anyio.Event()

    async def _post(self, body):
        """The status of the answer; 0 if none came."""
        address = self.address
        reused = self.connection is not None and self.connected_to == address and self.connection.is_idle()
        try:
            with anyio.fail_after(NOTICE_S):
                if not reused:
                    self._drop()
                    self.connection = await dial(address)
                    self.connected_to = address
                exchange = Exchange(self.connection)
                await exchange.request(
                    "POST", "/v2/finals", address, [("Content-Type", "application/x-ndjson")], body
                )
                status, _ = await exchange.response()
                await exchange.finish()
            if not exchange.reusable:
                self._drop()
            return status
        except (OSError, TimeoutError, ValueError):
            self._drop()  # a notice does no harm when it comes twice
            return 0

    def _drop(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def _error(error):
    text = str(error).encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")
    return b"-ERR " + text + b"\r\n"


def _bulk(view):
    return b"$%d\r\n" % len(view) + bytes(view) + b"\r\n"
