"""The RESP front: accepts client connections, and passes them to the next process at a hot restart."""

import socket
from collections.abc import Iterable

import anyio
import anyio.lowlevel
import orjson
from anyio.abc import TaskGroup

from pinspread.core.engine import DeliveryEngine
from pinspread.core.log import log
from pinspread.core.messages import FinalResult, FinalState, Message
from pinspread.resp import replies
from pinspread.resp.commands import NAME, CommandHandler
from pinspread.resp.notifications import NotificationSender
from pinspread.resp.session import ClientSession
from pinspread.sockets import (
    ClientConnection,
    Connection,
    ConnectionLimiter,
    IdleConnection,
    StreamEnd,
    accept_forever,
    accept_waiting,
    serve_counted,
)

__all__ = ["NAME", "RespFront"]

# At shutdown: how long clients are answered until nothing of theirs is unanswered; then how long until each
# has the reply to the command that was read last; and how long clients have to close their connections.
ANSWER_TIMEOUT_S = 0.15
LAST_REPLY_TIMEOUT_S = 0.05
CLOSE_TIMEOUT_S = 0.15
CLOSE_POLL_S = 0.005


class RespFront:
    """Serves the client connections of a listening socket.

    Args:
        engine: The engine that accepts the messages.
        notifications: Sends final results to the platform.
        limiter: The limit on client connections if it is shared with other fronts; by default a limit of its
            own.

    Attributes:
        scope: The cancel scope of all tasks that `run` has started; None before that.
        shares_listener: Another process accepts at the same listening socket, or will.
    """

    reports_delivery = False  # the platform learns of deliveries without a notification
    ordered_by_ack = True

    def __init__(
        self,
        engine: DeliveryEngine,
        notifications: NotificationSender,
        limiter: ConnectionLimiter | None = None,
    ) -> None:
        self.limiter = limiter or ConnectionLimiter(engine.clock)
        self.notifications = notifications
        self.scope: anyio.CancelScope | None = None
        self.shares_listener = False
        self._tasks: TaskGroup | None = None
        self._handler = CommandHandler(engine, self.limiter)
        self._accepting = anyio.CancelScope()
        self._sock: socket.socket | None = None
        self._stopped = anyio.Event()
        # The connections for another process; None unless `detach_connections` is collecting them.
        self._detached: list[IdleConnection] | None = None

    async def run(self, sock: socket.socket, connections: Iterable[IdleConnection] = ()) -> None:
        """Accept and serve until cancelled or detached.

        Args:
            sock: The listening socket.
            connections: Connections to go on serving: from another process, or from a hot restart that was
                declined.
        """
        self._stopped, self._sock = anyio.Event(), sock
        async with anyio.create_task_group() as tasks:
            self.scope, self._tasks = tasks.cancel_scope, tasks
            for idle in connections:
                tasks.start_soon(serve_counted, self.limiter, self.serve, idle.connection, idle)
            with anyio.CancelScope() as self._accepting:
                await accept_forever(sock, tasks, self.serve, self.limiter)
        self._stopped.set()

    async def close(self) -> None:
        """Shut down: answer commands that have arrived, end each stream, and wait briefly for the clients.

        A command that was read must be answered before its stream ends. One that is sent while its stream is
        being ended gets no reply, but its client sees the end of the stream and submits the message again
        elsewhere. If the process ended with bytes unread, the kernel would reset the connection, and the
        client might lose replies.
        """
        if self._sock is None or self._tasks is None or self._tasks.cancel_scope.cancel_called:
            return
        self._accepting.cancel()
        if not self.shares_listener:
            accept_waiting(self._sock, self._tasks, self.serve, self.limiter)
        self._sock.close()  # later clients are refused at once instead of waiting in the backlog
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            await self._end_streams(StreamEnd.ONCE_IDLE)
        with anyio.move_on_after(LAST_REPLY_TIMEOUT_S):
            await self._end_streams(StreamEnd.AFTER_COMMAND)
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self._clients():
                await anyio.sleep(CLOSE_POLL_S)

    def _clients(self) -> list[ClientConnection]:
        """Return this front's connections among all that the limiter counts."""
        return [client for client in self.limiter.clients.values() if not client.has_heartbeat]

    async def _end_streams(self, requested_end: StreamEnd) -> None:
        """Have each stream ended, until all are: here if its session waits for input, else by the session."""
        await anyio.lowlevel.checkpoint()  # connections that were just accepted are counted by their tasks
        while clients := [client for client in self._clients() if not client.connection.finished]:
            for client in clients:
                client.requested_end = requested_end
                if client.is_idle() and not client.mid_command:
                    client.connection.send_eof()
            await anyio.sleep(CLOSE_POLL_S)

    async def detach_connections(self) -> list[IdleConnection]:
        """Stop accepting and reading, and return all connections that another process can go on serving."""
        detached = self._detached = []
        if self.scope is not None:
            self.scope.cancel()
        await self._stopped.wait()
        self._detached = None
        return detached

    async def serve(
        self, connection: Connection, client: ClientConnection, handed_over: IdleConnection | None = None
    ) -> None:
        """Serve one client connection, and close it unless it is being passed to another process."""
        session = ClientSession(self._handler, client)
        collected = False
        try:
            await session.run(handed_over)
        except ConnectionRefusedError as error:
            log("malformed", error=str(error))
            session.buffer.clear()
            connection.try_write(replies.busy(replies.OUT_OF_MEMORY_RETRY_MS))
            await connection.linger()
        except OSError:
            pass  # the client has closed the connection
        except anyio.get_cancelled_exc_class():
            if session.can_continue and not connection.finished and self._detached is not None:
                self._detached.append(session.detach())
                collected = True
            raise
        except Exception as error:
            # An unexpected error on one connection must not end the process and all other connections.
            log("internal_error", where="client connection", error=repr(error))
        finally:
            if not collected:
                connection.close()

    async def notify(self, message: Message, final: FinalResult) -> None:
        """Notify the platform of a final result; returns once the platform has acknowledged it."""
        state = "failed" if final.state is FinalState.FAILED else "returned"
        notification: dict[str, str | int] = {"id": message.id, "state": state}
        if final.retry_after_ms:
            notification["after_ms"] = final.retry_after_ms
        await self.notifications.send(orjson.dumps(notification))
