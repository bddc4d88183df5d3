"""Hot restart in one process: taking over from the one before, and handing over to the next one.

It is loaded only where the platform holds the clients' socket, so that another process may take over.
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

HANDED_OVER_S = 10.0  # how long a process that has handed over waits for its SIGTERM
REPORT_S = 3.2  # at SIGTERM after a hand-over, for the attempts that are still in flight here
REPORT_POLL_S = 0.01


async def take_over(components: Components, folder: str) -> target.TransferredState | None:
    """Own the folder and all that is owed; gives what a process before has handed over.

    Raises:
        JournalFormatError: The journal is of a newer version; the process before goes on serving.
        OSError: The folder cannot be locked.
    """
    engine = components.engine
    transferred = await target.take_over(folder, components.lock, engine.journal, engine.policy)
    if transferred.state is None:
        components.recover()
        return None
    engine.resume_from_handover(cast("EngineState", transferred.state))
    components.discovery.resume(transferred.state["discovery"])
    components.pool.attach_all(transferred.idle_connections)
    return transferred


class Handover:
    """Hands this process over to the next one (`hot_restart.source.TransferableService`).

    Attributes:
        engine: The engine that is handed over.
        lock: The folder's lock, which is handed over last.
        successor: The process that this one hands over to, once it has asked.
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
        """Follow the reports of the process before, if it handed over, and wait for the next one."""
        if transferred and transferred.link:
            predecessor = Predecessor(transferred.link, self.engine, self._components.clock)
            self._tasks.start_soon(predecessor.follow)
        self._tasks.start_soon(source.HandoverListener(self, folder).run)

    def leave_to_successor(self) -> None:
        """Another process waits for the folder: finish and end."""
        if self._components.resp_front.scope:
            self._components.resp_front.scope.cancel()  # the other also serves the clients that come now
        self._leaving.set()

    async def pause_for_handover(self, successor: source.Successor) -> source.HandoverPayload:
        """Stop acting, and give all that goes over."""
        connections = await self._serving.pause()
        self.successor = successor
        engine_state = self.engine.pause_for_handover(successor)
        state = {**engine_state, "discovery": self._components.discovery.snapshot()}
        idle_connections = self._components.pool.detach_all()
        return source.HandoverPayload(
            packed_state=pack_state(state),
            attempts_in_flight=len(engine_state["attempts_in_flight"]),
            client_connections=_within_limit(connections, self._max_connections),
            idle_connections=[target.IdleEndpointConnection(*idle) for idle in idle_connections],
            listeners={name: sock for name, sock in self._serving.listeners.items() if name != RESP},
            lock_descriptor=self.lock.fd,
        )

    def resume_after_handover(self, payload: source.HandoverPayload) -> None:
        """The next process did not take over: serve on."""
        self._components.pool.attach_all(payload.idle_connections)
        self.successor = None
        self.engine.cancel_handover()
        self._serving.follow_discovery()
        self._serving.serve_clients(payload.client_connections)
        log("resumed", client_connections=len(payload.client_connections))

    def finish_handover(self, payload: source.HandoverPayload) -> None:
        """The next process owns everything."""
        payload.close_connections()
        self.lock.release()
        self._tasks.start_soon(self._leave_in_time)

    async def report_remaining(self) -> None:
        """Wait for what is in flight here to end and to be reported to the next process."""
        successor = self.successor
        with anyio.move_on_after(REPORT_S):
            while self.engine.attempts or self.engine.health_checks or (successor and successor.queue):
                await anyio.sleep(REPORT_POLL_S)

    async def _leave_in_time(self) -> None:
        await anyio.sleep(HANDED_OVER_S)
        self._leaving.set()


def _within_limit(connections: list[IdleConnection], limit: int) -> list[IdleConnection]:
    """As many connections as may be open twice for a moment; first those go that wait for nothing."""
    connections.sort(
        key=lambda idle: (not (idle.unread or idle.unsent), not idle.submitted, not idle.answered)
    )
    for idle in connections[limit:]:
        idle.connection.close()
    return connections[:limit]
