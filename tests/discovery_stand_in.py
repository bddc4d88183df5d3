"""A discovery whose watches a test writes to, line by line."""

from contextlib import asynccontextmanager, suppress

import anyio
import orjson
from standins import listener, running_courier, wait_until

from pinspread import sockets
from pinspread.discovery import backoff
from pinspread.discovery import client as discovery_client


class DiscoveryStandIn:
    """A discovery stand-in whose watches a test writes to; `request_targets` has the target of each watch."""

    def __init__(self):
        self.sock, self.address = listener()
        self.request_targets, self.watches = [], []

    async def run(self):
        async with anyio.create_task_group() as tasks:
            await sockets.accept_forever(self.sock, tasks, self.serve)

    async def serve(self, connection):
        request = await connection.read()
        if not request:
            return  # closed before it sent a request
        self.request_targets.append(request.split()[1].decode())
        self.watches.append(connection)
        with suppress(OSError):  # a reset, if the courier closes a watch that has unread bytes
            while await connection.read():
                pass

    def say(self, n, text=b"", head=False):
        """Write to watch `n` as one segment."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" if head else b""
        self.watches[n].sock.send(head + (b"%x\r\n%s\r\n" % (len(text), text) if text else b""))


def list_line(seq, *hosts, whole=True):
    return orjson.dumps({"seq": seq, "whole": whole, "hosts": hosts})


@asynccontextmanager
async def watched(tmp_path, monkeypatch, faster=4):
    """A courier and its discovery, with the time-outs of watches divided by `faster`."""
    for name in ("LINE_TIMEOUT_S", "FIRST_LINE_TIMEOUT_S", "RESPONSE_TIMEOUT_S", "OPEN_INTERVAL_S"):
        monkeypatch.setattr(discovery_client, name, getattr(discovery_client, name) / faster)
    monkeypatch.setattr(backoff, "REOPEN_DELAY_S", backoff.REOPEN_DELAY_S / faster)
    discovery = DiscoveryStandIn()
    async with running_courier(tmp_path, discovery.address) as courier:
        courier.tasks.start_soon(discovery.run)
        watch = discovery_client.DiscoveryClient(discovery.address, courier.engine, courier.engine.settings)
        courier.tasks.start_soon(watch.run)
        await wait_until(lambda: discovery.watches)
        yield courier, discovery, watch
    discovery.sock.close()
