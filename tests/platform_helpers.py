"""Helpers for the tests of the platform's rules: stand-ins with given replies, and a courier process."""

import os
import subprocess
import sys
import time

import anyio
import orjson
from standins import (
    Client,
    HttpStandIn,
    configuration,
    host,
    own_address,
    wait_until_answering,
)

OK = (200, [], b"")
ACKNOWLEDGED = (204, [], b"")


def acknowledging_platform():
    return HttpStandIn(lambda request: ACKNOWLEDGED)


def scripted(*replies, then=OK):
    """Return a stand-in that gives these replies in turn, then always `then`; a reply may be awaitable."""
    remaining = list(replies)
    return HttpStandIn(lambda request: remaining.pop(0) if remaining else then)


async def delayed_reply(seconds, reply=OK):
    await anyio.sleep(seconds)
    return reply


class CourierProcess:
    """A courier in its own process, started as the platform starts it."""

    def __init__(self, folder, endpoint, discovery):
        self.address = own_address()
        (folder / "state").mkdir(exist_ok=True)
        self.file = folder / "config.json"
        self.configuration = configuration(folder / "state")
        self.configuration["known"]["hosts"] = [host("s-1", endpoint)]
        self.configure(listen=self.address, discovery=discovery)
        self.env = os.environ | {
            "RELAY_CONFIG": str(self.file),
            "RELAY_DISCOVERY": discovery,
            "RELAY_STATE": str(folder / "state"),
        }
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pinspread"], env=self.env, stdout=subprocess.DEVNULL
        )
        self.client = Client(self.address)

    def configure(self, **changes):
        self.configuration |= changes
        self.file.write_bytes(orjson.dumps(self.configuration))

    async def ready(self):
        await wait_until_answering(self.client)
        return self

    async def end(self, signal_number):
        """Send a signal; return the exit code and the seconds until the process ended."""
        self.process.send_signal(signal_number)
        start = time.monotonic()
        code = await anyio.to_thread.run_sync(self.process.wait)
        return code, time.monotonic() - start
