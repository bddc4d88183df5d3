"""The courier on the platform: the core with the platform's front, next hops, discovery and notices."""

import signal

import anyio

from pinspread.amqp.broker import BrokerTransport
from pinspread.amqp.front import NAME as AMQP
from pinspread.amqp.front import AmqpFront
from pinspread.config import settings
from pinspread.core.clock import Clock
from pinspread.core.courier import Courier
from pinspread.core.journal import Journal
from pinspread.core.log import log
from pinspread.decide import Sender
from pinspread.net import front, sockets
from pinspread.net.discovery import Discovery
from pinspread.net.http import HttpTransport, Pool


async def serve(told: settings.Told, amqp: settings.AmqpFile):
    """Serve until SIGTERM or SIGINT."""
    clock = Clock()
    journal = Journal(told.state, told.disk_bytes)
    courier = Courier(Sender(told.module, told.seed), told, clock, journal)
    pool = Pool(clock, told.keepalive_us)
    notices = front.Notices(told.discovery)
    courier.transports["http"] = HttpTransport(clock, pool, told.dial_us)
    courier.fronts[front.NAME] = resp = front.RespFront(courier, notices)
    courier.fronts[AMQP] = second = AmqpFront(courier, amqp.heartbeat_s)
    discovery = Discovery(told.discovery, courier, told)
    courier.subscribe = discovery.ask
    discovery.start()
    courier.recover()
    sock = sockets.listen(told.listen)  # from here on PING is answered: all that is owed is known again
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            for run in (courier.run, notices.run, discovery.run, pool.run):
                tasks.start_soon(run)
            courier.transports["amqp"] = BrokerTransport(clock, tasks, told.dial_us)
            tasks.start_soon(resp.run, sock)
            if amqp.listen:
                tasks.start_soon(second.run, sockets.listen(amqp.listen))
            log("serving", name=told.name, listen=told.listen, amqp=amqp.listen)
            async for _ in signals:
                break
            await courier.stop()
            await second.close()
            tasks.cancel_scope.cancel()
    log("stopped")


def main():
    """Serve as the platform starts a courier."""
    anyio.run(serve, settings.from_environment(), settings.amqp_file())
