"""The life cycle of one process: how it starts, serves, handles signals and shuts down.

Its options are passed in (`ServiceOptions`). Features that are off unless a configuration file turns them on
are imported only where they are used, so that a process without them does not load their modules.
"""

import signal
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import anyio

from pinspread import sockets
from pinspread.config import last_good
from pinspread.core.log import log, use_clock
from pinspread.core.ports import BackgroundService, EndpointAdmin
from pinspread.errors import JournalFormatError, JournalFullError
from pinspread.service.components import Components
from pinspread.service.options import ServiceOptions
from pinspread.service.ownership import acquire_folder
from pinspread.service.reload import SettingsReloader
from pinspread.service.serving import ServingTasks

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from pinspread.admin.server import AdminServer
    from pinspread.hot_restart.target import TransferredState
    from pinspread.service.handover import Handover

FIRST_LIST_TIMEOUT_S = 0.3  # how long a start waits for the current endpoint list before it sends messages

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def serve(options: ServiceOptions) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Raises:
        JournalFullError: The folder has no room for the journal.
        JournalFormatError: The journal is of a newer version.
        OSError: An address cannot be bound, or the folder cannot be acquired.
    """
    await Service(options).run()


class Service:
    """One process, from its start to its end.

    Attributes:
        settings: The settings at the start.
        engine: The engine of `components`.
        tasks: The task group; set once `run` has started.
        signals: The received signals; set once `run` has opened the receiver.
        leaving: Set when this process is to stop: on SIGTERM or SIGINT, or if another process waits for the
            folder or has taken over.
    """

    tasks: "TaskGroup"

    def __init__(self, options: ServiceOptions) -> None:
        use_clock(options.clock)
        self.settings = options.settings
        self.components = Components(options)
        self.engine = self.components.engine
        self.reloader = SettingsReloader(self.components, options)
        self.signals: Any = None
        self.leaving = anyio.Event()
        self._options = options
        self._handover: Handover | None = None  # set if hot restart is enabled

    async def run(self) -> None:
        """Serve until told to stop; raises what `serve` raises."""
        # The admin server starts first, and reports "not ready" until clients are served.
        admin_sockets = [sockets.listen(self.settings.admin)] if self.settings.admin else []
        # Without a receiver, a signal would kill the process, with everything that it serves.
        with self._options.open_signal_receiver(*_SIGNALS) as self.signals:
            # Otherwise a SIGHUP between the reading of the file and this line would be lost.
            self.reloader.pending = bool(self._options.early_sighup)
            async with anyio.create_task_group() as self.tasks:
                for sock in admin_sockets:
                    server = admin_server(
                        self.engine, self.settings.sockets, self.components.background_services
                    )
                    self.tasks.start_soon(server.run, sock)
                # SIGTERM may come during the start, which can wait for seconds for another process's lock.
                self.tasks.start_soon(self._follow_signals)
                failure = await self._start_and_serve()
                self.tasks.cancel_scope.cancel()
        if failure:
            raise failure
        log("stopped")

    async def _follow_signals(self) -> None:
        async for signum in self.signals:
            if signum == signal.SIGHUP:
                self.reloader.request()
            else:
                self.leaving.set()

    async def _start_and_serve(self) -> Exception | None:
        """Start, serve and shut down; return the error if the start failed."""
        try:
            await self._start()
        except (JournalFullError, JournalFormatError, OSError) as error:
            return error
        await self.leaving.wait()
        await self._shut_down()
        return None

    async def _start(self) -> None:
        settings, components = self.settings, self.components
        for background in components.background_services:
            await background.open()
            self.tasks.start_soon(background.run)
        components.connect_brokers(self.tasks, settings.connect_timeout_us, self._options.amqp_login)
        transferred = await self._take_over()
        if self.leaving.is_set() and not transferred:
            return  # all open messages are in the journal
        serving = ServingTasks(components, self.tasks)
        listeners = transferred.listeners if transferred else {}
        await serving.open_listeners(self._options, listeners, self.leaving)
        last_good.save(settings)
        serving.follow_discovery()
        if not transferred:
            # Changes of the list count as notified. Until the first answer has come, recovered messages would
            # be sent by the list saved before the restart, to endpoints that now drain or are removed.
            with anyio.move_on_after(FIRST_LIST_TIMEOUT_S):
                await components.discovery.first_answer.wait()
        for run in (self.engine.run, components.limiter.run):
            self.tasks.start_soon(run)
        serving.serve_clients(transferred.client_connections if transferred else [])
        self.engine.serving = True
        self.reloader.reload_if_pending()
        amqp = self._options.amqp.listen
        log("serving", name=settings.name, listen=settings.listen, amqp=amqp, admin=settings.admin)
        if self._hot_restart_enabled():
            self._start_handover(serving, transferred)

    async def _take_over(self) -> "TransferredState | None":
        """Take ownership of the folder and its messages; return what a previous process handed over."""
        if self._hot_restart_enabled():
            from pinspread.service import handover

            return await handover.take_over(self.components, self.settings.state)
        if await acquire_folder(self.components, self.settings.state, self.leaving):
            self.components.adopt_time_base()
            self.components.recover()
        return None

    def _hot_restart_enabled(self) -> bool:
        """Whether the platform holds the clients' listening socket, which lets another process take over."""
        return self.settings.inherited_listener_descriptor is not None

    def _start_handover(self, serving: ServingTasks, transferred: "TransferredState | None") -> None:
        from pinspread.service.handover import Handover

        max_connections = self.settings.sockets // 4  # they are briefly open in both processes
        self._handover = Handover(self.components, serving, self.tasks, self.leaving, max_connections)
        self._handover.start(transferred, self.settings.state)

    async def _shut_down(self) -> None:
        """Announce the departure, finish what is in flight, and then close the background services."""
        async with anyio.create_task_group() as tasks:  # run concurrently, since both must fit into 3.7 s
            for background in self.components.background_services:
                tasks.start_soon(background.announce_departure)
            if self.engine.serving:
                await self._finish()
        for background in self.components.background_services:
            await background.close()

    async def _finish(self) -> None:
        if self._handover and self._handover.successor:
            await self._handover.report_remaining()
            return
        await self.engine.stop()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.components.amqp_front.close)
            tasks.start_soon(self.components.resp_front.close)


def admin_server(
    engine: EndpointAdmin, max_sockets: int, background_services: Sequence[BackgroundService] = ()
) -> "AdminServer":
    """Create the admin server; its module is loaded only if it is on."""
    from pinspread.admin.server import AdminServer

    return AdminServer(engine, max_sockets, background_services)
