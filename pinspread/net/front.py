"""The platform's front: RESP2 caller legs in, notices out."""

import anyio
import orjson

from pinspread.core.courier import Busy
from pinspread.core.log import log
from pinspread.core.transactions import State, Transaction
from pinspread.net import resp
from pinspread.net.http import Exchange
from pinspread.net.sockets import ReadBuffer, accept_forever, dial

NAME = "resp"
NOTICE_S = 1.0  # how long one POST of notices may take; answered at once as a rule
AGAIN_S = (0.05, 0.1, 0.2, 0.4)  # waits between tries, the last for all further ones
MOST_NOTICES = 200


class RespFront:
    """Caller legs on a listening socket."""

    tells_delivery = False  # the platform sees a delivery by itself
    over_when_heard = True

    def __init__(self, courier, notices, room=None):
        self.courier = courier
        self.notices = notices
        self.room = room

    async def run(self, sock):
        """Accept and serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            await accept_forever(sock, tasks, self.serve, self.room)

    async def serve(self, connection):
        """One caller leg."""
        buffer = ReadBuffer()
        try:
            while await buffer.fill(connection):
                answers = bytearray()
                follow = self._commands(connection, buffer, answers)
                if answers:
                    await connection.write(answers)
                if not follow:
                    return
        except OSError:
            pass  # the client is gone
        except Exception as error:
            # Danger: one caller leg's trouble would end the process and all that it serves.
            log("fault", where="caller leg", error=repr(error))
        finally:
            connection.close()

    def _commands(self, connection, buffer, answers):
        """Answer all whole commands; false if the stream cannot be followed any more."""
        while buffer.end:
            try:
                found = resp.parse(buffer.view())
                if found is None:
                    return True
                arguments, size = found
                answers += self._command(connection, arguments)
                buffer.consume(size)
            except resp.ProtocolError as error:
                log("malformed", error=str(error))
                answers += _error(error)
                return False
        return True

    def _command(self, connection, arguments):
        name = bytes(arguments[0][:16]).upper()
        try:
            if name == b"ENQUEUE":
                return self._enqueue(connection, *resp.enqueue(arguments))
            if name == b"PING":
                return b"+PONG\r\n" if len(arguments) == 1 else _bulk(arguments[1])
            raise resp.CommandError(f"unknown command {name!r}")
        except resp.CommandError as error:
            log("malformed", error=str(error))
            return _error(error)
        except Busy as error:
            log("busy", why=str(error))
            return b"-BUSY %d\r\n" % error.after_ms

    def _enqueue(self, connection, key, id_, options, body):
        courier = self.courier
        told = courier.settings
        cls, tenant = options["c"], options.get("t", "")
        if not told.knows(cls, tenant):
            raise resp.CommandError(f"unknown class or tenant: {cls[:32]!r}, {tenant[:32]!r}")
        if connection.ended():
            # Danger: a client that has stopped waiting hands the message in again under another id.
            raise Busy(0, "the caller has gone")
        courier.take(
            Transaction(
                number=0,
                id=id_,
                cls=cls,
                tenant=tenant,
                dest=options["dest"],
                key=key if cls in told.keyed else 0,
                idempotency=options.get("k", ""),
                until_unix_us=courier.clock.unix(courier.clock.now()) + options["d"] * 1000,
                body=bytes(body),
                front=NAME,
            )
        )
        return b"+OK\r\n"

    async def notify(self, transaction, final):
        """Have the platform told, and return when it has answered."""
        line = {"id": transaction.id, "state": "failed" if final.state is State.FAILED else "returned"}
        if final.after_ms:
            line["after_ms"] = final.after_ms
        await self.notices.tell(orjson.dumps(line))


class Notices:
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
        reused = self.connection is not None and self.connected_to == address and self.connection.quiet()
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
