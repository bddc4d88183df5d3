"""Helpers for the tests of the platform's rules: replies of stand-ins, and a courier in its own process."""

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
    """Answers in turn, and `then` for ever; an answer may be something to await."""
    left = list(replies)
    return HttpStandIn(lambda request: left.pop(0) if left else then)


async def delayed_reply(seconds, reply=OK):
    await anyio.sleep(seconds)
    return reply


class CourierProcess:
    """A courier as the platform starts it."""

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

    async def end(self, how):
        self.process.send_signal(how)
        start = time.monotonic()
        code = await anyio.to_thread.run_sync(self.process.wait)
        return code, time.monotonic() - start
