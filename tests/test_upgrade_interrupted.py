"""Upgrades that fail at some packet: a process is killed, the link is closed, or the data is damaged."""

import os
import socket
from contextlib import suppress

import anyio
import pytest
from standins import Client
from upgrade_deployment import deployed, wait_ready

from pinspread.hot_restart.link import SOCKET_NAME, Link, PacketKind

pytestmark = pytest.mark.anyio


class FaultyProxy:
    """Forwards packets between the processes of an upgrade; injects a fault at the first packet of a kind."""

    def __init__(self, deployment, fault, kind):
        self.deployment, self.fault, self.kind = deployment, fault, kind
        self.path = deployment.folder / "state" / SOCKET_NAME
        self.old_process_path = self.path.with_name("real")
        self.path.rename(self.old_process_path)
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.sock.bind(str(self.path))
        self.sock.listen()
        self.sock.setblocking(False)

    async def run(self):
        await anyio.wait_readable(self.sock)
        new = Link(self.sock.accept()[0])
        old = Link(socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET))
        old.sock.connect(str(self.old_process_path))
        self.old_process_path.rename(self.path)  # later connections go to the old process directly
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.forward, old, new, tasks.cancel_scope)
            tasks.start_soon(self.forward, new, old, tasks.cancel_scope)
        for closable in (old, new, self):
            closable.sock.close()

    async def forward(self, source, sink, scope):
        with suppress(OSError):
            while True:
                kind, data, descriptor = await source.receive()
                if kind == self.kind:
                    self.kind = None
                    old, new = self.deployment.processes[-2:]
                    for process in {"kill old": [old], "kill new": [new]}.get(self.fault, ()):
                        process.kill()
                        process.wait()
                    data = data[: len(data) // 2] if self.fault == "garble" else data
                    if self.fault == "cut":
                        scope.cancel()
                try:
                    await (sink.send(kind, data, descriptor) if not scope.cancel_called else anyio.sleep(0))
                finally:
                    if descriptor is not None:
                        os.close(descriptor)
        scope.cancel()


STEPS = {
    "kill old": ("HELLO", "STATE", "CLIENT_CONNECTION", "LOCK", "TAKEN_OVER", "ATTEMPT_COMPLETED"),
    "kill new": ("STATE", "LOCK", "TAKEN_OVER", "ATTEMPT_COMPLETED"),
    "cut": ("LOCK", "TAKEN_OVER"),
    "garble": ("HELLO", "STATE", "ATTEMPT_COMPLETED"),
}


@pytest.mark.parametrize(("fault", "kind"), [(fault, kind) for fault in STEPS for kind in STEPS[fault]])
async def test_an_upgrade_that_breaks_at_any_message_loses_and_doubles_nothing(tmp_path, fault, kind):
    async with deployed(tmp_path, clients=4) as (deployment, ledger):
        await anyio.sleep(0.3)
        proxy = FaultyProxy(deployment, fault, PacketKind[kind])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(proxy.run)
            new = deployment.start()
            if fault == "kill new":
                await anyio.to_thread.run_sync(new.wait)
                # The old process continues to serve, and hands over to the next one.
                if kind not in ("TAKEN_OVER", "ATTEMPT_COMPLETED"):
                    assert await wait_ready(deployment.processes[0], 3) < 3
                    assert await Client(deployment.address).say("PING") == "+PONG\r\n"
                else:
                    deployment.processes[0].kill()  # it has handed over; the platform starts another
                new = deployment.start()
            await wait_ready(new)
            deployment.processes[0].terminate()
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()
    ledger.check(killed=True)
    assert len(ledger.accepted) > 20
