"""Upgrades that break at any message between the two processes, by a kill, a cut or damaged data."""

import os
import socket
from contextlib import suppress

import anyio
import pytest
from standins import Client
from upgrade_deployment import deployed, ready

from pinspread.hot_restart.link import SOCKET_NAME, Link, PacketKind

pytestmark = pytest.mark.anyio


class Between:
    """Stands between two processes of an upgrade, and does its deed at the first message of a kind."""

    def __init__(self, made, deed, kind):
        self.made, self.deed, self.kind = made, deed, kind
        self.path = made.folder / "state" / SOCKET_NAME
        self.real = self.path.with_name("real")
        self.path.rename(self.real)
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.sock.bind(str(self.path))
        self.sock.listen()
        self.sock.setblocking(False)

    async def run(self):
        await anyio.wait_readable(self.sock)
        new = Link(self.sock.accept()[0])
        old = Link(socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET))
        old.sock.connect(str(self.real))
        self.real.rename(self.path)  # whoever asks next finds the old process itself
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.forward, old, new, tasks.cancel_scope)
            tasks.start_soon(self.forward, new, old, tasks.cancel_scope)
        for each in (old, new, self):
            each.sock.close()

    async def forward(self, source, sink, scope):
        with suppress(OSError):
            while True:
                kind, data, fd = await source.receive()
                if kind == self.kind:
                    self.kind = None
                    old, new = self.made.processes[-2:]
                    for process in {"kill old": [old], "kill new": [new]}.get(self.deed, ()):
                        process.kill()
                        process.wait()
                    data = data[: len(data) // 2] if self.deed == "garble" else data
                    if self.deed == "cut":
                        scope.cancel()
                try:
                    await (sink.send(kind, data, fd) if not scope.cancel_called else anyio.sleep(0))
                finally:
                    if fd is not None:
                        os.close(fd)
        scope.cancel()


STEPS = {
    "kill old": ("HELLO", "STATE", "CLIENT_CONNECTION", "LOCK", "TAKEN_OVER", "ATTEMPT_COMPLETED"),
    "kill new": ("STATE", "LOCK", "TAKEN_OVER", "ATTEMPT_COMPLETED"),
    "cut": ("LOCK", "TAKEN_OVER"),
    "garble": ("HELLO", "STATE", "ATTEMPT_COMPLETED"),
}


@pytest.mark.parametrize(("deed", "kind"), [(deed, kind) for deed in STEPS for kind in STEPS[deed]])
async def test_an_upgrade_that_breaks_at_any_message_loses_and_doubles_nothing(tmp_path, deed, kind):
    async with deployed(tmp_path, clients=4) as (made, ledger):
        await anyio.sleep(0.3)
        between = Between(made, deed, PacketKind[kind])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(between.run)
            new = made.start()
            if deed == "kill new":
                await anyio.to_thread.run_sync(new.wait)
                if kind not in (
                    "TAKEN_OVER",
                    "ATTEMPT_COMPLETED",
                ):  # the old one serves on, and hands over to the next
                    assert await ready(made.processes[0], 3) < 3
                    assert await Client(made.address).say("PING") == "+PONG\r\n"
                else:
                    made.processes[0].kill()  # it has handed over; the platform starts another
                new = made.start()
            await ready(new)
            made.processes[0].terminate()
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()
    ledger.check(killed=True)
    assert len(ledger.taken) > 20
