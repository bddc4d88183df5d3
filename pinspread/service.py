"""Assembles a courier: the core with its fronts, transports, discovery and notices."""

import errno
import os
import signal
import socket
from functools import partial

import anyio

from pinspread import sockets
from pinspread.amqp.server import FRONT_NAME as AMQP
from pinspread.amqp.server import AmqpFront
from pinspread.amqp.transport import GUEST_LOGIN, BrokerTransport
from pinspread.config import settings
from pinspread.core.clock import Clock
from pinspread.core.engine import DeliveryEngine
from pinspread.core.folder_lock import FolderLock
from pinspread.core.journal import Journal
from pinspread.core.log import log, use_clock
from pinspread.discovery.client import Discovery
from pinspread.errors import JournalFormatError, JournalFullError
from pinspread.http.transport import HttpTransport, Pool
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.resp import front

BOUND_S, BOUND_TRIES = 0.05, 40  # between tries to listen where another process still does
OWNER_S = 5.0  # how long a start waits for a process that still owns the folder
HANDED_S = 10.0  # how long a process that has handed over waits for its SIGTERM
FIRST_LIST_S = 0.3  # how long a start waits for the list as it is now, before it sends what is owed
FINISH_S = 3.2  # and after that, for what it has out


async def serve(
    told: settings.EffectiveSettings,
    amqp: settings.AmqpFile,
    reread,
    discover=None,
    login=GUEST_LOGIN,
    background_services=(),
    early=(),
):
    """Serve until SIGTERM or SIGINT; on SIGHUP, `reread(told)` tells what counts from now on.

    `discover(courier)` makes another discovery than the platform's; `background_services` run beside serving;
    `early` is not empty if SIGHUP came since before the configuration was read.
    """
    await Service(told, amqp, reread, discover, login, background_services, early).run()


class Service:
    """One process: its parts, and how they begin, rest and end."""

    def __init__(self, told, amqp, reread, discover, login, background_services=(), early=()):
        self.told, self.amqp, self.login = told, amqp, login
        self.background_services = list(background_services)
        self.clock = clock = Clock()
        use_clock(clock)
        self.owner = FolderLock(told.state)
        journal = Journal(told.state, told.disk_bytes)
        self.engine = engine = DeliveryEngine(
            DeliveryPolicy(told.policy_settings, told.seed), told, clock, journal
        )
        self.pool = Pool(clock, told.keepalive_us)
        self.notices = front.NotificationSender(told.discovery)
        engine.transports["http"] = HttpTransport(
            clock, self.pool, told.connect_timeout_us, told.load_reports_enabled
        )
        self.room = sockets.ConnectionLimiter(clock, *_legs(told))
        engine.fronts[front.NAME] = self.first = front.RespFront(engine, self.notices, self.room)
        engine.fronts[AMQP] = self.second = AmqpFront(engine, amqp.heartbeat_s, self.room)
        self.discovery = discover(engine) if discover else Discovery(told.discovery, engine, told)
        engine.subscribe = self.discovery.poll
        for background in self.background_services:
            background.attach(engine)
        self.change = partial(change, engine, reread, self.pool, self.room, self.discovery, self.notices)
        self.listening = {}  # name of a front -> its socket
        self.tasks = None
        self.scopes = []  # of what rests while another process takes over
        self.signals = None
        self.early = early
        self.again = False  # SIGHUP came before there was anything to change
        self.leaving = anyio.Event()
        self.at_rest = False

    async def run(self):
        """Serve to the end."""
        failed = None
        # The operators' door is there before all else: it says no until callers are heard.
        doors = [sockets.listen(self.told.admin)] if self.told.admin else []
        # Danger: a signal without a receiver ends the process and all that it serves.
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*wanted) as self.signals:
            # Danger: one that came between the reading of the file and this line would never be heeded.
            self.again = bool(self.early)
            async with anyio.create_task_group() as self.tasks:
                for sock in doors:
                    self.tasks.start_soon(
                        door(self.engine, self.told.sockets, self.background_services).run, sock
                    )
                # Danger: SIGTERM may come while another process still owns the folder, for seconds.
                self.tasks.start_soon(self._follow_signals)
                try:
                    await self._begin()
                except (JournalFullError, JournalFormatError, OSError) as error:
                    failed = error
                else:
                    await self.leaving.wait()
                    await self._leave()
                self.tasks.cancel_scope.cancel()
        if failed:
            raise failed
        log("stopped")

    async def _leave(self):
        """Say so to the fleet, finish what is out, and part with what depends on that."""
        async with anyio.create_task_group() as tasks:  # beside each other: both count in the 3.7 s
            for background in self.background_services:
                tasks.start_soon(background.announce_departure)
            if self.engine.serving:
                await self._end()
        for background in self.background_services:
            await background.close()

    async def _begin(self):
        told, engine, tasks = self.told, self.engine, self.tasks
        for background in self.background_services:
            await background.open()
            tasks.start_soon(background.run)
        engine.transports["amqp"] = BrokerTransport(self.clock, tasks, told.connect_timeout_us, self.login)
        before = await self._take_over()
        if self.leaving.is_set() and not before:
            return  # all that is owed is in the journal
        legs, sockets_ = (before.legs, before.sockets) if before else ((), {})
        # From here on PING is answered: all that is owed is known again.
        if told.listen:
            self.listening[front.NAME] = inherited(told.inherited_listener_descriptor) or await self._listen(
                told.listen
            )
        if self.amqp.listen:
            self.listening[AMQP] = sockets_.get(AMQP) or await self._listen(self.amqp.listen)
        settings.keep_good(told)
        self._follow()
        if not before:
            # Danger: what the list says by now counts as told. What is owed would go out by the last list of
            # before the end, to endpoints that drain or are gone, until the first answer has come.
            with anyio.move_on_after(FIRST_LIST_S):
                await self.discovery.first_answer.wait()
        for run in (engine.run, self.pool.run, self.room.run):
            tasks.start_soon(run)
        self._hear(legs)
        engine.serving = True
        if self.again and not engine.successor:
            self.change()
        log("serving", name=told.name, listen=told.listen, amqp=self.amqp.listen, admin=told.admin)
        if told.inherited_listener_descriptor is not None:
            from pinspread.hot_restart import transfer as succession

            if before:
                tasks.start_soon(succession.follow, before.link, engine, self.clock)
            tasks.start_soon(succession.Succession(self, told.state).run)

    async def _take_over(self):
        """Own the folder and all that is owed; gives what a process before has handed over, or None."""
        told, engine = self.told, self.engine
        before = None
        if told.inherited_listener_descriptor is not None:
            from pinspread.hot_restart import transfer as succession

            before = await succession.inherit(told.state, self.owner, engine.journal, engine.policy)
        else:
            await self._own()
            if self.background_services and not self.leaving.is_set():
                await self._before_recovery()
            if self.leaving.is_set():
                return None  # Danger: it may not own the folder, and must not write there
        if before is None or before.state is None:
            self.discovery.start()
            engine.recover()
            return None
        engine.resume_from_handover(before.state)
        self.discovery.resume(before.state["discovery"])
        self.pool.adopt(before.idle)
        return before

    async def _before_recovery(self):
        """Have background_services know what is owed, which takes others that answer; SIGTERM ends that."""

        async def follow(scope):
            await self.leaving.wait()
            scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow, tasks.cancel_scope)
            for background in self.background_services:
                await background.before_recovery()
            tasks.cancel_scope.cancel()

    async def _own(self):
        # Danger: a process that is ending may still write to the journal; two would tear it.
        try:
            with anyio.fail_after(OWNER_S):
                while not self.owner.acquire() and not self.leaving.is_set():
                    await anyio.sleep(0.02)
        except TimeoutError:
            raise OSError(f"{self.told.state}: another process owns it; end that one first") from None

    def _follow(self):
        """Follow discovery, post notices."""
        for run in (self.notices.run, self.discovery.run):
            scope = anyio.CancelScope()
            self.scopes.append(scope)
            self.tasks.start_soon(_within, scope, run)

    def _hear(self, legs):
        """Hear callers."""
        if front.NAME in self.listening:
            self.tasks.start_soon(self.first.run, self.listening[front.NAME], legs)
        if AMQP in self.listening:
            scope = anyio.CancelScope()
            self.scopes.append(scope)
            self.tasks.start_soon(_within, scope, self.second.run, self.listening[AMQP])

    async def _listen(self, address):
        """A listening socket; a process that is just ending may still hold the address."""
        for _ in range(BOUND_TRIES):
            try:
                return sockets.listen(address)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or self.leaving.is_set():
                    raise
                log("address_in_use", address=address)
                await anyio.sleep(BOUND_S)
        return sockets.listen(address)

    async def _follow_signals(self):
        async for signum in self.signals:
            if signum != signal.SIGHUP:
                self.leaving.set()
            elif not self.engine.serving:
                self.again = True  # there is nothing to change yet
            elif not self.engine.successor:
                # A new configuration counts to the end: the notices of a courier that stops are still owed.
                self.change()

    def leave(self):
        """Another process waits for the folder."""
        if self.first.scope:
            self.first.scope.cancel()  # it also hears the callers that come from now on
        self.leaving.set()

    async def _end(self):
        if not self.engine.successor:
            await self.engine.stop()
            await self.second.close()
            await self.first.close()
            return
        with anyio.move_on_after(FINISH_S):
            while self.engine.attempts or self.engine.health_checks or self.engine.successor.queue:
                await anyio.sleep(0.01)

    # --- what an upgrade asks of the old process ------------------------------------------------------

    async def rest(self, successor) -> dict:
        """Come to rest, and give all that goes over."""
        from pinspread.hot_restart import transfer as succession

        await self.second.close()
        scopes, self.scopes = self.scopes, []
        for scope in scopes:
            scope.cancel()
        legs = await self.first.part()
        state = self.engine.pause_for_handover(successor) | {"discovery": self.discovery.snapshot()}
        return {
            "blob": succession.packed(state),
            "state": state,
            "legs": _chosen(legs, self.told.sockets // 4),
            "idle": self.pool.part(),
            "sockets": {name: sock for name, sock in self.listening.items() if name != front.NAME},
            "lock": self.owner.fd,
        }

    def resume(self, given):
        """The other process did not take over: serve on."""
        self.pool.adopt(given["idle"])
        self.engine.cancel_handover()
        self._follow()
        self._hear(given["legs"])
        log("resumed", legs=len(given["legs"]))

    def given(self, given):
        """The other process owns all."""
        for connection in [k.connection for k in given["legs"]] + [idle[3] for idle in given["idle"]]:
            connection.close()
        self.owner.release()
        self.tasks.start_soon(self._leave_in_time)

    async def _leave_in_time(self):
        await anyio.sleep(HANDED_S)
        self.leaving.set()


def _chosen(legs, most):
    """As many legs as may be open twice for a moment; others end, first those that wait for nothing."""
    legs.sort(key=lambda kept: (not (kept.unread or kept.unsent), not kept.submitted, not kept.answered))
    for kept in legs[most:]:
        kept.connection.close()
    return legs[:most]


async def _within(scope, run, *arguments):
    with scope:
        await run(*arguments)


def inherited(number):
    """The listening socket that the platform holds for all processes of a courier; None if there is none."""
    if number is None:
        return None
    try:
        sock = socket.socket(fileno=os.dup(number))
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError("it does not listen")
        sock.setblocking(False)
        return sock
    except OSError as error:
        log("no_passed_socket", number=number, error=str(error))
        return None


def door(engine, most, background_services=()):
    """The operators' door; it is loaded only where it is on."""
    from pinspread.admin.server import AdminServer

    return AdminServer(engine, most, background_services)


def change(engine, reread, pool, room, discovery, notices):
    """The configuration was replaced: it counts from now on, whole, or not at all."""
    old = engine.settings
    try:
        told, where, heard = reread(old)
    except settings.SettingsError as error:
        log("configuration_unusable", error=str(error), instead="what was in force")
        return
    fixed = [n for n in ("name", "listen", "state", "admin") if getattr(told, n) != getattr(old, n)]
    engine.apply_settings(told)
    engine.transports["http"].dial_us = told.connect_timeout_us
    engine.transports["http"].reports = told.load_reports_enabled
    pool.keep_for(told.keepalive_us)
    room.resize(*_legs(told))
    engine.journal.resize(told.disk_bytes)
    discovery.apply_settings(told)
    discovery.change_address(where)
    notices.move(heard)
    settings.keep_good(told)
    classes = {name: rules.traffic_class.effect.value for name, rules in told.delivery_rules.items()}
    log(
        "configuration",
        notices=heard,
        classes=classes,
        attempts=told.policy_settings.max_attempts,
        at_restart=fixed,
    )


def _legs(told):
    """How many caller legs there may be, and how many bytes for them."""
    return told.sockets * 5 // 8, told.memory_bytes // 8
