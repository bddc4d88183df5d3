"""The AMQP 0-9-1 front: publishers submit messages, consumers of `reply-to` receive their final results.

`basic.ack` means that a message is accepted and in the journal. A rejection is `basic.return`, which says
when the message may be published again, followed by `basic.nack`. Each final result is one message to the
queue that `reply-to` names, kept in the journal until a consumer acknowledges it.
"""

import socket

import anyio

from pinspread.amqp.publishing import FRONT_NAME
from pinspread.amqp.result_queue import PendingResult, ResultQueueRegistry
from pinspread.amqp.session import FrontServices, Session
from pinspread.core.engine import DeliveryEngine
from pinspread.core.log import log
from pinspread.core.messages import FinalResult, Message
from pinspread.sockets import ClientConnection, Connection, ConnectionLimiter, accept_forever

__all__ = ["FRONT_NAME", "AmqpFront"]

HEARTBEAT_S = 30
ANSWER_TIMEOUT_S = 0.15  # at shutdown: for answers to all that clients have sent
CLOSE_TIMEOUT_S = 0.05  # and for clients to answer Connection.Close
CLOSE_POLL_S = 0.005


class AmqpFront:
    """Connections of publishers and consumers, and the queues of final results.

    Args:
        engine: Accepts the messages.
        heartbeat_s: The heartbeat interval that clients are offered, in seconds.
        limiter: The limit on client connections; None for a limiter that only this front uses.

    Attributes:
        queues: The queues that hold results or serve consumers.
        sessions: The open connections.
    """

    reports_delivery = True
    # An ordering key continues once the final result of its message is in the journal, not once a consumer
    # has acknowledged it, as consumers may be away for a long time.
    ordered_by_ack = False

    def __init__(
        self,
        engine: DeliveryEngine,
        heartbeat_s: int = HEARTBEAT_S,
        limiter: ConnectionLimiter | None = None,
    ) -> None:
        self.engine = engine
        self.limiter = limiter or ConnectionLimiter(engine.clock)
        self.heartbeat_s = heartbeat_s
        self.queues = ResultQueueRegistry()
        self.sessions: set[Session] = set()

    async def run(self, sock: socket.socket) -> None:
        """Accept and serve connections until cancelled; the caller closes the socket."""
        async with anyio.create_task_group() as tasks:
            await accept_forever(sock, tasks, self.serve, self.limiter)

    async def serve(self, connection: Connection, client: ClientConnection) -> None:
        """Serve one connection to its end."""
        services = FrontServices(self.engine, self.queues, self.limiter)
        session = Session(services, connection, client, self.heartbeat_s)
        self.sessions.add(session)
        try:
            await session.run()
        except Exception as error:
            # If it were raised, an error in the session of one client would end the process for all.
            log("internal_error", where="amqp session", error=repr(error))
        finally:
            self.sessions.discard(session)

    async def close(self) -> None:
        """Answer what clients have sent, notify them of the shutdown, and wait for them briefly."""
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while not all(session.closing for session in self.sessions):
                for session in self.sessions:
                    session.request_end()
                await anyio.sleep(CLOSE_POLL_S)
        for session in self.sessions:
            session.announce_shutdown()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self.sessions:
                await anyio.sleep(CLOSE_POLL_S)

    async def notify(self, message: Message, final: FinalResult) -> None:
        """Deliver a final result; returns once a consumer has acknowledged it."""
        pending = PendingResult(message.id, final)
        queue = self.queues.get(message.reply["to"])
        queue.put(pending)
        await pending.acknowledged.wait()
