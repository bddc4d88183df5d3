"""The service of a courier's process, run in the process of the test, and commands for its clients."""

from contextlib import asynccontextmanager

import anyio
import pytest
from standins import configuration, own_address

from pinspread.config import settings
from pinspread.config.amqp_front import AmqpFile
from pinspread.service import Service, ServiceOptions


def service(folder, platform, **more):
    """The parts of a courier's process, run in this process; setting `leaving` stands for SIGTERM."""
    effective_settings = settings.read(
        configuration(folder) | {"listen": own_address(), "discovery": platform}, {}
    )
    options = ServiceOptions(effective_settings, AmqpFile(), lambda last: pytest.fail("no SIGHUP"), **more)
    return Service(options)


@asynccontextmanager
async def running(parts):
    done = anyio.Event()

    async def run():
        await parts.run()
        done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        yield done
        tasks.cancel_scope.cancel()


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


ENQUEUE = command(b"ENQUEUE", b"0", b"late", b"c=payment,t=north,d=5000,dest=1", b"x")
