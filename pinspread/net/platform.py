"""Assembles a courier: the core with its fronts, transports, discovery and notices."""

import signal
from functools import partial

import anyio

from pinspread.amqp.broker import GUEST, BrokerTransport
from pinspread.amqp.front import NAME as AMQP
from pinspread.amqp.front import AmqpFront
from pinspread.config import settings
from pinspread.core.clock import Clock
from pinspread.core.courier import Courier
from pinspread.core.journal import Journal
from pinspread.core.log import log, use
from pinspread.decide import Sender
from pinspread.net import front, sockets
from pinspread.net.discovery import Discovery
from pinspread.net.http import HttpTransport, Pool


async def serve(told: settings.Told, amqp: settings.AmqpFile, reread, discover=None, login=GUEST):
    """Serve until SIGTERM or SIGINT; on SIGHUP, `reread(told)` tells what counts from now on.

    `discover(courier)` makes another discovery than the platform's.
    """
    clock = Clock()
    use(clock)
    journal = Journal(told.state, told.disk_bytes)
    courier = Courier(Sender(told.module, told.seed), told, clock, journal)
    pool = Pool(clock, told.keepalive_us)
    notices = front.Notices(told.discovery)
    courier.transports["http"] = HttpTransport(clock, pool, told.dial_us)
    room = sockets.Room(clock, *_legs(told))
    courier.fronts[front.NAME] = first = front.RespFront(courier, notices, room)
    courier.fronts[AMQP] = second = AmqpFront(courier, amqp.heartbeat_s, room)
    discovery = discover(courier) if discover else Discovery(told.discovery, courier, told)
    courier.subscribe = discovery.ask
    # The operators' door is there before all else: it says no until callers are heard.
    doors = [sockets.listen(told.admin)] if told.admin else []
    discovery.start()
    courier.recover()
    # From here on PING is answered: all that is owed is known again.
    listeners = [
        (one, sockets.listen(address))
        for one, address in ((first, told.listen), (second, amqp.listen))
        if address
    ]
    settings.keep_good(told)
    changed = partial(change, courier, reread, pool, room, discovery, notices)
    # Danger: a signal without a receiver ends the process and all that it serves.
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*wanted) as signals:
        async with anyio.create_task_group() as tasks:
            courier.transports["amqp"] = BrokerTransport(clock, tasks, told.dial_us, login)
            for run in (courier.run, notices.run, discovery.run, pool.run, room.run):
                tasks.start_soon(run)
            for one, sock in listeners:
                tasks.start_soon(one.run, sock)
            for sock in doors:
                tasks.start_soon(door(courier, told.sockets).run, sock)
            courier.serving = True
            log("serving", name=told.name, listen=told.listen, amqp=amqp.listen, admin=told.admin)
            async for signum in signals:
                if signum != signal.SIGHUP:
                    break
                changed()
            # A new configuration counts to the end: the notices of a courier that stops are still owed.
            tasks.start_soon(_follow_changes, signals, changed)
            await courier.stop()
            await second.close()
            tasks.cancel_scope.cancel()
    log("stopped")


def door(courier, most):
    """The operators' door; it is loaded only where it is on."""
    from pinspread.net.admin import Door

    return Door(courier, most)


async def _follow_changes(signals, changed):
    async for signum in signals:
        if signum == signal.SIGHUP:
            changed()


def change(courier, reread, pool, room, discovery, notices):
    """The configuration was replaced: it counts from now on, whole, or not at all."""
    old = courier.settings
    try:
        told, where, heard = reread(old)
    except settings.SettingsError as error:
        log("configuration_unusable", error=str(error), instead="what was in force")
        return
    fixed = [n for n in ("name", "listen", "state", "admin") if getattr(told, n) != getattr(old, n)]
    courier.settle(told)
    courier.transports["http"].dial_us = told.dial_us
    pool.keep_for(told.keepalive_us)
    room.resize(*_legs(told))
    courier.journal.resize(told.disk_bytes)
    discovery.settle(told)
    discovery.move(where)
    notices.move(heard)
    settings.keep_good(told)
    classes = {name: rules.cls.effect.value for name, rules in told.rules.items()}
    log("configuration", notices=heard, classes=classes, attempts=told.module.max_attempts, at_restart=fixed)


def _legs(told):
    """How many caller legs there may be, and how many bytes for them."""
    return told.sockets * 5 // 8, told.memory_bytes // 8
