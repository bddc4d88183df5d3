"""Assembles a node: the engine with fronts, transports, discovery and notifications; how they start and end.

What a process is made of is passed in (`ServiceOptions`). What only a configuration file turns on is imported
where it is turned on, so that a process that does without it does not load it.
"""

import errno
import os
import signal
import socket
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple, cast

import anyio
import anyio.abc

from pinspread import sockets
from pinspread.amqp.server import FRONT_NAME as AMQP
from pinspread.amqp.server import AmqpFront
from pinspread.amqp.transport import GUEST_LOGIN, BrokerTransport
from pinspread.config import last_good
from pinspread.config.amqp_front import AmqpFile
from pinspread.config.settings import EffectiveSettings, SettingsError
from pinspread.core.clock import Clock
from pinspread.core.engine import DeliveryEngine
from pinspread.core.folder_lock import FolderLock
from pinspread.core.journal import Journal
from pinspread.core.log import log, use_clock
from pinspread.core.ports import BackgroundService, Discovery, EndpointAdmin, Transport
from pinspread.discovery.client import DiscoveryClient
from pinspread.errors import JournalFormatError, JournalFullError
from pinspread.http.pool import ConnectionPool
from pinspread.http.transport import HttpTransport
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.resp.front import NAME as RESP
from pinspread.resp.front import RespFront
from pinspread.resp.notifications import NotificationSender

if TYPE_CHECKING:
    from pinspread.admin.server import AdminServer
    from pinspread.core.ownership import EngineState
    from pinspread.hot_restart.source import HandoverPayload, Successor
    from pinspread.hot_restart.target import TransferredState

LISTEN_RETRY_S = 0.05  # between attempts to listen where another process still does
LISTEN_ATTEMPTS = 40
LOCK_TIMEOUT_S = 5.0  # how long a start waits for a process that still owns the folder
LOCK_RETRY_S = 0.02
HANDED_OVER_S = 10.0  # how long a process that has handed over waits for its SIGTERM
FIRST_LIST_S = 0.3  # how long a start waits for the present list before it sends what it recovered
REPORT_S = 3.2  # at SIGTERM after a hand-over, for the attempts that are still in flight here

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_FIXED_SETTINGS = ("name", "listen", "state", "admin")  # they count from the next start only


class ReloadedSettings(NamedTuple):
    """What counts after SIGHUP: the settings, where discovery is, and the notifications' address."""

    settings: EffectiveSettings
    discovery_source: Any  # an address of the platform's, or the records of DNS-SD
    notification_address: str


@dataclass(slots=True)
class ServiceOptions:
    """What a process is made of.

    Attributes:
        settings: The settings at the start.
        amqp: Where the AMQP front listens.
        reload: Reads the configuration again, given the settings in force; SettingsError if it is unusable.
        make_discovery: Makes another discovery than the platform's.
        amqp_login: The PLAIN response for brokers.
        background_services: What runs beside serving.
        early_sighup: Not empty if SIGHUP came since before the configuration was read.
        clock: The clock of the process.
        open_signal_receiver: Receives signals in place of their default actions.
    """

    settings: EffectiveSettings
    amqp: AmqpFile
    reload: Callable[[EffectiveSettings], ReloadedSettings]
    make_discovery: Callable[[DeliveryEngine], Discovery] | None = None
    amqp_login: str = GUEST_LOGIN
    background_services: Sequence[BackgroundService] = ()
    early_sighup: Sequence[bool] = ()
    clock: Clock = field(default_factory=Clock)
    open_signal_receiver: Callable[..., Any] = anyio.open_signal_receiver


async def serve(options: ServiceOptions) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Raises:
        JournalFullError: The folder has no room.
        JournalFormatError: The journal is of a newer version.
        OSError: An address or the folder cannot be had.
    """
    await Service(options).run()


class Service:
    """One process: its parts, and how they start, pause for a hand-over, and end."""

    def __init__(self, options: ServiceOptions) -> None:
        settings = options.settings
        self.settings = settings
        self.amqp_settings = options.amqp
        self.background_services = list(options.background_services)
        self.clock = options.clock
        use_clock(self.clock)
        self.lock = FolderLock(settings.state)
        journal = Journal(settings.state, settings.disk_bytes)
        policy = DeliveryPolicy(settings.policy_settings, settings.seed)
        self.engine = DeliveryEngine(policy, settings, self.clock, journal)
        self.pool = ConnectionPool(self.clock, settings.keepalive_us)
        self.notifications = NotificationSender(settings.discovery)
        self.limiter = sockets.ConnectionLimiter(self.clock, *_connection_limits(settings))
        self._connect_engine()
        make_discovery = options.make_discovery or self._platform_discovery
        self.discovery = make_discovery(self.engine)
        self.engine.subscribe = self.discovery.poll
        for background in self.background_services:
            background.attach(self.engine)
        self.listeners: dict[str, socket.socket] = {}  # by the name of their front
        self.tasks: Any = None  # the task group, once it runs
        self.signals: Any = None
        self.reload_pending = False  # SIGHUP came before there was anything to change
        self.leaving = anyio.Event()  # SIGTERM or SIGINT came, or another process waits for the folder
        self._options = options
        self._settings_in_force = settings
        self._successor: Successor | None = None  # the process that this one hands over to
        self._pausable: list[anyio.CancelScope] = []  # of the tasks that pause for a hand-over

    def _connect_engine(self) -> None:
        """Give the engine its transports and fronts."""
        engine, settings = self.engine, self.settings
        self.http_transport = HttpTransport(
            self.clock, self.pool, settings.connect_timeout_us, settings.load_reports_enabled
        )
        engine.transports["http"] = self.http_transport
        self.resp_front = RespFront(engine, self.notifications, self.limiter)
        self.amqp_front = AmqpFront(engine, self.amqp_settings.heartbeat_s, self.limiter)
        engine.fronts[RESP] = self.resp_front
        engine.fronts[AMQP] = self.amqp_front

    def _platform_discovery(self, engine: DeliveryEngine) -> Discovery:
        return DiscoveryClient(self.settings.discovery, engine, self.settings)

    # --- from start to end ----------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve to the end; errors as `serve` has them."""
        # The admin server is there before all else: it says "not ready" until clients are served.
        admin_sockets = [sockets.listen(self.settings.admin)] if self.settings.admin else []
        # A signal without a receiver would end the process and all that it serves.
        with self._options.open_signal_receiver(*_SIGNALS) as self.signals:
            # SIGHUP between the reading of the file and this line would otherwise never be heeded.
            self.reload_pending = bool(self._options.early_sighup)
            async with anyio.create_task_group() as self.tasks:
                for sock in admin_sockets:
                    server = admin_server(self.engine, self.settings.sockets, self.background_services)
                    self.tasks.start_soon(server.run, sock)
                # SIGTERM may come while another process still owns the folder, for seconds.
                self.tasks.start_soon(self._follow_signals)
                failure = await self._start_and_serve()
                self.tasks.cancel_scope.cancel()
        if failure:
            raise failure
        log("stopped")

    async def _start_and_serve(self) -> Exception | None:
        """Start, serve and shut down; gives the error that the start failed with."""
        try:
            await self._start()
        except (JournalFullError, JournalFormatError, OSError) as error:
            return error
        await self.leaving.wait()
        await self._shut_down()
        return None

    async def _start(self) -> None:
        settings, engine = self.settings, self.engine
        for background in self.background_services:
            await background.open()
            self.tasks.start_soon(background.run)
        broker_transport = BrokerTransport(
            self.clock, self.tasks, settings.connect_timeout_us, self._options.amqp_login
        )
        engine.transports["amqp"] = cast("Transport", broker_transport)  # bundles go by HTTP only
        transferred = await self._take_over()
        if self.leaving.is_set() and not transferred:
            return  # all that is owed is in the journal
        await self._open_listeners(transferred)
        last_good.save(settings)
        self._start_discovery()
        if not transferred:
            # What the list says by now counts as told. What was recovered would go out by the last list from
            # before the end, to endpoints that drain or are gone, until the first answer has come.
            with anyio.move_on_after(FIRST_LIST_S):
                await self.discovery.first_answer.wait()
        for run in (engine.run, self.pool.run, self.limiter.run):
            self.tasks.start_soon(run)
        self._serve_clients(transferred.client_connections if transferred else [])
        engine.serving = True
        if self.reload_pending and not engine.successor:
            self.reload_settings()
        amqp = self.amqp_settings.listen
        log("serving", name=settings.name, listen=settings.listen, amqp=amqp, admin=settings.admin)
        if self._hot_restart_enabled():
            self._start_hot_restart(transferred)

    async def _shut_down(self) -> None:
        """Announce the departure, finish what is in flight, and close what depends on that."""
        async with anyio.create_task_group() as tasks:  # beside each other: both count in the 3.7 s
            for background in self.background_services:
                tasks.start_soon(background.announce_departure)
            if self.engine.serving:
                await self._finish()
        for background in self.background_services:
            await background.close()

    async def _finish(self) -> None:
        if not self._successor:
            await self.engine.stop()
            await self.amqp_front.close()
            await self.resp_front.close()
            return
        with anyio.move_on_after(REPORT_S):
            while self.engine.attempts or self.engine.health_checks or self._successor.queue:
                await anyio.sleep(0.01)

    # --- owning the folder ----------------------------------------------------------------------------

    async def _take_over(self) -> "TransferredState | None":
        """Own the folder and all that is owed; gives what a process before has handed over."""
        transferred = None
        if self._hot_restart_enabled():
            from pinspread.hot_restart import target

            transferred = await target.take_over(
                self.settings.state, self.lock, self.engine.journal, self.engine.policy
            )
        elif not await self._lock_and_prepare():
            return None
        if transferred is None or transferred.state is None:
            self.discovery.start()
            self.engine.recover()
            return None
        self.engine.resume_from_handover(cast("EngineState", transferred.state))
        self.discovery.resume(transferred.state["discovery"])
        self.pool.attach_all(transferred.idle_connections)
        return transferred

    async def _lock_and_prepare(self) -> bool:
        """Own the folder, with background services ready for its recovery; false if SIGTERM came meanwhile.

        Then this process may not own the folder, and must not write there.
        """
        await self._acquire_lock()
        if self.background_services and not self.leaving.is_set():
            await self._prepare_recovery()
        return not self.leaving.is_set()

    async def _acquire_lock(self) -> None:
        # A process that is ending may still write to the journal; two writers would tear it.
        try:
            with anyio.fail_after(LOCK_TIMEOUT_S):
                while not self.lock.acquire() and not self.leaving.is_set():
                    await anyio.sleep(LOCK_RETRY_S)
        except TimeoutError:
            raise OSError(f"{self.settings.state}: another process owns it; end that one first") from None

    async def _prepare_recovery(self) -> None:
        """Have background services learn what is owed, from other nodes' answers; SIGTERM ends that."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_leaving, tasks.cancel_scope)
            for background in self.background_services:
                await background.before_recovery()
            tasks.cancel_scope.cancel()

    async def _cancel_on_leaving(self, scope: anyio.CancelScope) -> None:
        await self.leaving.wait()
        scope.cancel()

    # --- clients and discovery ------------------------------------------------------------------------

    async def _open_listeners(self, transferred: "TransferredState | None") -> None:
        """Listen for clients: from here on PING is answered, since all that is owed is known again."""
        settings = self.settings
        if settings.listen:
            inherited = inherited_listener(settings.inherited_listener_descriptor)
            self.listeners[RESP] = inherited or await self._listen(settings.listen)
        if self.amqp_settings.listen:
            taken_over = transferred.listeners.get(AMQP) if transferred else None
            self.listeners[AMQP] = taken_over or await self._listen(self.amqp_settings.listen)

    async def _listen(self, address: str) -> socket.socket:
        """A listening socket; a process that is just ending may still hold the address."""
        for _ in range(LISTEN_ATTEMPTS):
            try:
                return sockets.listen(address)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or self.leaving.is_set():
                    raise
                log("address_in_use", address=address)
                await anyio.sleep(LISTEN_RETRY_S)
        return sockets.listen(address)

    def _start_discovery(self) -> None:
        """Follow the endpoint list, and send notifications."""
        self._start_pausable(self.notifications.run)
        self._start_pausable(self.discovery.run)

    def _serve_clients(self, connections: list[sockets.IdleConnection]) -> None:
        """Accept clients, and serve those whose connections came from the process before."""
        if RESP in self.listeners:
            self.tasks.start_soon(self.resp_front.run, self.listeners[RESP], connections)
        if AMQP in self.listeners:
            self._start_pausable(self.amqp_front.run, self.listeners[AMQP])

    def _start_pausable(self, run: Callable[..., Awaitable[None]], *arguments: object) -> None:
        scope = anyio.CancelScope()
        self._pausable.append(scope)
        self.tasks.start_soon(_run_within, scope, run, *arguments)

    # --- signals --------------------------------------------------------------------------------------

    async def _follow_signals(self) -> None:
        async for signum in self.signals:
            if signum != signal.SIGHUP:
                self.leaving.set()
            elif not self.engine.serving:
                self.reload_pending = True  # there is nothing to change yet
            elif not self.engine.successor:
                # A new configuration counts to the end: notifications of a node that stops are still owed.
                self.reload_settings()

    def reload_settings(self) -> None:
        """Put the configuration in force that was written since: whole, or not at all."""
        old = self._settings_in_force
        try:
            new, discovery_source, notification_address = self._options.reload(old)
        except SettingsError as error:
            log("configuration_unusable", error=str(error), instead="what was in force")
            return
        at_restart = [name for name in _FIXED_SETTINGS if getattr(new, name) != getattr(old, name)]
        self._apply_settings(new)
        self.discovery.apply_settings(new)
        self.discovery.change_address(discovery_source)
        self.notifications.change_address(notification_address)
        last_good.save(new)
        classes = {name: rules.traffic_class.effect.value for name, rules in new.delivery_rules.items()}
        attempts = new.policy_settings.max_attempts
        log(
            "configuration",
            notices=notification_address,
            classes=classes,
            attempts=attempts,
            at_restart=at_restart,
        )

    def _apply_settings(self, new: EffectiveSettings) -> None:
        self._settings_in_force = new
        self.engine.apply_settings(new)
        self.http_transport.dial_us = new.connect_timeout_us
        self.http_transport.reports = new.load_reports_enabled
        self.pool.set_keepalive(new.keepalive_us)
        self.limiter.resize(*_connection_limits(new))
        self.engine.journal.resize(new.disk_bytes)

    # --- hot restart ----------------------------------------------------------------------------------

    def _hot_restart_enabled(self) -> bool:
        """Whether the platform holds the clients' socket, so that another process may take over."""
        return self.settings.inherited_listener_descriptor is not None

    def _start_hot_restart(self, transferred: "TransferredState | None") -> None:
        """Hear the process before, if it handed over, and wait for the next one."""
        from pinspread.hot_restart import source, target

        if transferred:
            self.tasks.start_soon(target.follow_predecessor, transferred.link, self.engine, self.clock)
        self.tasks.start_soon(source.HandoverListener(self, self.settings.state).run)

    def leave_to_successor(self) -> None:
        """Another process waits for the folder: finish and end."""
        if self.resp_front.scope:
            self.resp_front.scope.cancel()  # the other also serves the clients that come from now on
        self.leaving.set()

    async def pause_for_handover(self, successor: "Successor") -> "HandoverPayload":
        """Stop acting, and give all that goes over."""
        from pinspread.hot_restart.source import HandoverPayload
        from pinspread.hot_restart.state_codec import pack_state
        from pinspread.hot_restart.target import IdleEndpointConnection

        await self.amqp_front.close()
        scopes, self._pausable = self._pausable, []
        for scope in scopes:
            scope.cancel()
        connections = await self.resp_front.detach_connections()
        self._successor = successor
        engine_state = self.engine.pause_for_handover(successor)
        state = {**engine_state, "discovery": self.discovery.snapshot()}
        return HandoverPayload(
            packed_state=pack_state(state),
            attempts_in_flight=len(engine_state["out"]),
            client_connections=_within_limit(connections, self.settings.sockets // 4),
            idle_connections=[IdleEndpointConnection(*idle) for idle in self.pool.detach_all()],
            listeners={name: sock for name, sock in self.listeners.items() if name != RESP},
            lock_descriptor=self.lock.fd,
        )

    def resume_after_handover(self, payload: "HandoverPayload") -> None:
        """The next process did not take over: serve on."""
        self.pool.attach_all(payload.idle_connections)
        self._successor = None
        self.engine.cancel_handover()
        self._start_discovery()
        self._serve_clients(payload.client_connections)
        log("resumed", client_connections=len(payload.client_connections))

    def finish_handover(self, payload: "HandoverPayload") -> None:
        """The next process owns everything."""
        payload.close_connections()
        self.lock.release()
        self.tasks.start_soon(self._leave_in_time)

    async def _leave_in_time(self) -> None:
        await anyio.sleep(HANDED_OVER_S)
        self.leaving.set()


def _within_limit(connections: list[sockets.IdleConnection], limit: int) -> list[sockets.IdleConnection]:
    """As many connections as may be open twice for a moment; first those go that wait for nothing."""
    connections.sort(
        key=lambda idle: (not (idle.unread or idle.unsent), not idle.submitted, not idle.answered)
    )
    for idle in connections[limit:]:
        idle.connection.close()
    return connections[:limit]


async def _run_within(
    scope: anyio.CancelScope, run: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    with scope:
        await run(*arguments)


def inherited_listener(descriptor: int | None) -> socket.socket | None:
    """The listening socket that the platform holds for all processes of a node; None if there is none."""
    if descriptor is None:
        return None
    try:
        return _listening_copy(descriptor)
    except OSError as error:
        log("no_passed_socket", number=descriptor, error=str(error))
        return None


def _listening_copy(descriptor: int) -> socket.socket:
    sock = socket.socket(fileno=os.dup(descriptor))
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError("it does not listen")
    sock.setblocking(False)
    return sock


def admin_server(
    engine: EndpointAdmin, max_sockets: int, background_services: Sequence[BackgroundService] = ()
) -> "AdminServer":
    """The admin server; it is loaded only where it is on."""
    from pinspread.admin.server import AdminServer

    return AdminServer(engine, max_sockets, background_services)


def _connection_limits(settings: EffectiveSettings) -> tuple[int, int]:
    """How many connections of clients there may be, and how many bytes for them."""
    return settings.sockets * 5 // 8, settings.memory_bytes // 8
