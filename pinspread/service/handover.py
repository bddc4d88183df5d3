"""Hot restart in one process: taking over from the previous process, and handing over to the next one.

It is loaded only if the platform holds the clients' listening socket, which lets another process take over.
"""

from typing import TYPE_CHECKING, cast

import anyio

from pinspread.core.log import log
from pinspread.hot_restart import source, target
from pinspread.hot_restart.predecessor import Predecessor
from pinspread.hot_restart.state_codec import pack_state
from pinspread.resp.front import NAME as RESP
from pinspread.service.components import Components
from pinspread.service.serving import ServingTasks
from pinspread.sockets import IdleConnection

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from pinspread.core.ownership import EngineState

SIGTERM_TIMEOUT_S = 10.0  # how long a process waits for its SIGTERM after it has handed over
REPORT_TIMEOUT_S = 3.2  # after SIGTERM, to finish and report attempts still in flight here
REPORT_POLL_S = 0.01


async def take_over(components: Components, folder: str) -> target.TransferredState | None:
    """Take ownership of the folder and its messages; return what a previous process handed over, if any.

    Raises:
        JournalFormatError: The journal is of a newer version; the previous process continues to serve.
        OSError: The folder cannot be locked.
    """
    engine = components.engine
    transferred = await target.take_over(folder, components.lock, engine.journal, engine.policy)
    components.adopt_time_base()
    if transferred.state is None:
        components.recover()
        return None
    engine.resume_from_handover(cast("EngineState", transferred.state))
    components.discovery.resume(transferred.state["discovery"])
    transferred.close_idle_connections()
    return transferred


class Handover:
    """Hands over from this process to the next one (implements `hot_restart.source.TransferableService`).

    Attributes:
        engine: The engine whose state is handed over.
        lock: The folder's lock, which is handed over last.
        successor: The process that this one is handing or has handed over to; None without one.
    """

    def __init__(
        self,
        components: Components,
        serving: ServingTasks,
        tasks: "TaskGroup",
        leaving: anyio.Event,
        max_connections: int,
    ) -> None:
        self.engine = components.engine
        self.lock = components.lock
        self.successor: source.Successor | None = None
        self._components = components
        self._serving = serving
        self._tasks = tasks
        self._leaving = leaving
        self._max_connections = max_connections

    def start(self, transferred: target.TransferredState | None, folder: str) -> None:
        """Follow the previous process's reports, if it handed over, and listen for the next process."""
        if transferred and transferred.link:
            predecessor = Predecessor(transferred.link, self.engine, self._components.clock)
            self._tasks.start_soon(predecessor.follow)
        self._tasks.start_soon(source.HandoverListener(self, folder).run)

    def shut_down_for_successor(self) -> None:
        """Finish and end, since another process is waiting for the folder."""
        self._tasks.start_soon(self._leave)

    async def _leave(self) -> None:
        await self._components.resp_front.close()  # new clients are left to the other process
        self._leaving.set()

    async def pause_for_handover(self, successor: source.Successor) -> source.HandoverPayload:
        """Stop all activity, and return everything that is to be transferred."""
        connections = await self._serving.pause()
        self.successor = successor
        engine_state = self.engine.pause_for_handover(successor)
        state = {**engine_state, "discovery": self._components.discovery.snapshot()}
        return source.HandoverPayload(
            packed_state=pack_state(state),
            attempts_in_flight=len(engine_state["attempts_in_flight"]),
            client_connections=_limit_connections(connections, self._max_connections),
            listeners={name: sock for name, sock in self._serving.listeners.items() if name != RESP},
            lock_descriptor=self.lock.fd,
        )

    def resume_after_handover(self, payload: source.HandoverPayload) -> None:
        """Continue to serve, since the next process did not take over."""
        self.successor = None
        self.engine.cancel_handover()
        self._serving.follow_discovery()
        self._serving.serve_clients(payload.client_connections)
        log("resumed", client_connections=len(payload.client_connections))

    def finish_handover(self, payload: source.HandoverPayload) -> None:
        """Release what this process still holds; the next process now owns everything."""
        payload.close_connections()
        self.lock.release()
        self._tasks.start_soon(self._stop_after_timeout)

    async def report_remaining(self) -> None:
        """Wait up to `REPORT_TIMEOUT_S` until calls in flight here have ended and their reports are sent."""
        successor = self.successor
        with anyio.move_on_after(REPORT_TIMEOUT_S):
            while self.engine.attempts or self.engine.health_checks or (successor and successor.queue):
                await anyio.sleep(REPORT_POLL_S)

    async def _stop_after_timeout(self) -> None:
        await anyio.sleep(SIGTERM_TIMEOUT_S)
        self._leaving.set()


def _limit_connections(connections: list[IdleConnection], limit: int) -> list[IdleConnection]:
    """Keep at most `limit` connections, since they are briefly open in both processes; close the others.

    Connections with unanswered input or unsent output are kept first, then those whose clients have
    submitted messages, then those that were answered before.
    """
    connections.sort(key=lambda idle: (idle.is_answered(), not idle.submitted, not idle.answered))
    for idle in connections[limit:]:
        idle.connection.close()
    return connections[:limit]
