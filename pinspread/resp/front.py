"""The RESP front: accepts client connections, and passes them to the next process at a hot restart."""

import socket
from collections.abc import Iterable

import anyio
import orjson

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
    accept_forever,
    serve_counted,
)

__all__ = ["NAME", "RespFront"]

CLOSE_TIMEOUT_S = 0.15  # at shutdown: for the last replies, and again for clients to close their connections
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
            self.scope = tasks.cancel_scope
            for idle in connections:
                tasks.start_soon(serve_counted, self.limiter, self.serve, idle.connection, idle)
            with anyio.CancelScope() as self._accepting:
                await accept_forever(sock, tasks, self.serve, self.limiter)
        self._stopped.set()

    async def close(self) -> None:
        """Shut down: answer commands that have arrived, end each stream, and wait briefly for the clients.

        If the process ended with a complete command unread, the kernel would reset the connection and the
        client would get no reply. A command that is sent while its stream is being ended gets no reply
        either, but its client sees the end of the stream first and submits the message again elsewhere.
        """
        if self._sock is None or self.scope is None or self.scope.cancel_called:
            return
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await anyio.sleep(0)  # lets connections in the backlog be accepted and read
            self._accepting.cancel()
            self._sock.close()  # later clients are refused at once instead of waiting in the backlog
            await self._end_streams()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self._clients():
                await anyio.sleep(CLOSE_POLL_S)

    def _clients(self) -> dict[Connection, ClientConnection]:
        """Return this front's connections among all that the limiter counts."""
        clients = self.limiter.clients.values()
        return {client.connection: client for client in clients if not client.has_heartbeat}

    async def _end_streams(self) -> None:
        """End the stream to each client once it has no unanswered command, until all are ended."""
        clients = self._clients()
        while clients:
            for connection, client in list(clients.items()):
                if connection not in self.limiter.clients:
                    del clients[connection]
                elif not client.mid_command and connection.is_idle():
                    connection.send_eof()
                    del clients[connection]
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
            connection.try_write(replies.busy(replies.OUT_OF_MEMORY_RETRY_MS))
            await connection.linger()
        except OSError:
            pass  # the client has closed the connection
        except anyio.get_cancelled_exc_class():
            if session.can_continue and self._detached is not None:
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
