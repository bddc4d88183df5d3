"""Upgrades: one process takes over from the one before, under load; real processes, stand-in endpoints."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from contextlib import asynccontextmanager, suppress
from itertools import pairwise

import anyio
import orjson
import pytest
from standins import Client, HttpStandIn, configuration, host, listener, own_address, standing, until

from pinspread import sockets
from pinspread.core import journal_records
from pinspread.core.messages import NEVER_RAN
from pinspread.hot_restart.link import SOCKET_NAME, Link, PacketKind
from pinspread.policy.events import Outcome

pytestmark = pytest.mark.anyio

CLOCKS_APART_US = 10_000  # at most, between the Unix times of two processes' logs: each sets its own at start
UNTOLD = "its process did not tell"  # the note of an attempt that the new process gave up for the old one


class Deployment:
    """A courier whose clients' socket the platform holds, and its processes one after the other."""

    def __init__(self, folder, endpoint, platform):
        self.sock, self.address = listener()
        self.folder = folder
        (folder / "state").mkdir(exist_ok=True)
        self.file = folder / "config.json"
        self.configuration = configuration(folder / "state", callsOut=64)
        self.configuration["known"]["hosts"] = [host("s-1", endpoint), host("s-2", endpoint, 2)]
        self.configuration |= {"listen": self.address, "discovery": platform}
        self.processes = []

    def start(self, **more):
        """Another process, with an admin server of its own."""
        self.file.write_bytes(orjson.dumps(self.configuration))
        admin_address = own_address()
        env = os.environ | {
            "RELAY_CONFIG": str(self.file),
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_PASSED_SOCKET": str(self.sock.fileno()),
            "RELAY_ADMIN_ADDR": admin_address,
        }
        with open(self.folder / f"log{len(self.processes)}", "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "pinspread"],
                env=env | more,
                pass_fds=[self.sock.fileno()],
                stdout=log,
                stderr=log,
            )
        process.admin_address = admin_address
        self.processes.append(process)
        return process

    def end(self):
        for process in self.processes:
            process.kill()
            process.wait()
        self.sock.close()

    def events(self, n):
        lines = (self.folder / f"log{n}").read_bytes().splitlines()
        return [orjson.loads(line) for line in lines if line.startswith(b"{")]

    def attempts(self, id_):
        """The ends of a message's attempts as the processes logged them, in the attempts' order."""
        events = [event for n in range(len(self.processes)) for event in self.events(n)]
        found = [event for event in events if event["event"] == "attempt" and event["id"] == id_]
        return sorted(found, key=lambda event: event["number"])


async def call(address, said="GET /-/ready"):
    """The status that an admin server answers; 0 if nobody does."""
    try:
        connection = await sockets.dial(address)
        await connection.write(f"{said} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        with anyio.fail_after(2):
            heard = await connection.read()
        connection.close()
        return int(heard.split(b" ", 2)[1])
    except (OSError, IndexError, TimeoutError):
        return 0


async def ready(process, seconds=6.0):
    """Until its admin server answers that it is ready; how long it took."""
    began = time.monotonic()
    while await call(process.admin_address) != 200:
        assert time.monotonic() - began < seconds and process.poll() is None
        await anyio.sleep(0.02)
    return time.monotonic() - began


class Ledger:
    """What was submitted, what endpoints received, and which final results were notified."""

    def __init__(self):
        self.taken = {}  # id -> (class, key)
        self.order = {}  # key -> ids in the order handed in
        self.had = []  # ids, in the order in which calls came whole
        self.done = Counter()  # 200 written
        self.running = {}  # id -> connections of the calls that the endpoint has not answered
        self.live_twice = []  # ids of calls that came while the courier kept an earlier one's connection open
        self.called_again = set()  # ids of calls that came while an earlier one ran, which it had closed
        self.ends = {}
        self.trouble = []
        self.stop = False

    async def endpoint(self, request, connection):
        id_ = request[3].get("request-id")
        if id_ is None:
            return 200, [], b""
        self.had.append(id_)
        running = self.running.setdefault(id_, [])
        if running:
            # An endpoint runs on after its caller has timed out; the call is over once its connection is.
            self.called_again.add(id_)
            self.live_twice += [id_ for earlier in running if not earlier.is_finished()]
        running.append(connection)
        await anyio.sleep(self.duration_s(request))
        running.remove(connection)
        self.done[id_] += 1
        return 200, [], b""

    def duration_s(self, request):
        """How long a call takes at the endpoint."""
        return 0.02 if len(self.had) % 10 else 0.3

    def platform(self, request):
        if request[2] == "/v2/finals":
            for line in request[4].splitlines():
                notification = orjson.loads(line)
                self.ends.setdefault(notification["id"], set()).add(notification["state"])
            return 204, [], b""
        return 503, [], b""

    async def client(self, address, name, fresh=False):
        """Submit messages, one after the other, until `stop` is set."""
        client, n = Client(address, reconnect=True), 0
        while not self.stop:
            n += 1
            id_, cls = f"{name}.{n}", ("payment", "booking-change", "status-update")[n % 3]
            key = f"{hash(name) % 1000 + 1:x}" if cls == "booking-change" else "0"
            try:
                with anyio.fail_after(0.4):
                    answer = await client.enqueue(cls, id_, key, for_ms=8000, dest=1 + n % 2)
                if answer == "+OK\r\n":
                    self.taken[id_] = cls, key
                    if key != "0":
                        self.order.setdefault(key, []).append(id_)
                elif not answer.startswith("-BUSY"):
                    self.trouble.append((id_, answer))
            except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
                self.trouble.append((id_, repr(error)))
                client = Client(address, reconnect=True)
            if fresh and client.stream is not None:
                await client.stream.aclose()
                client = Client(address, reconnect=True)
            await anyio.sleep(0.005)

    def settled(self):
        return all(id_ in self.done or id_ in self.ends for id_ in self.taken)

    def logged(self):
        """Whether the logs have each attempt of the messages that were called again."""
        return all(len(self.deployment.attempts(id_)) >= self.had.count(id_) for id_ in self.called_again)

    def check(self, killed=False):
        """The rules; after a kill, calls that were out may have run, and payments among them fail."""
        assert self.settled(), [i for i in self.taken if i not in self.done and i not in self.ends]
        for id_, (cls, _) in self.taken.items():
            had = self.had.count(id_)
            assert had <= 1 or cls != "payment", f"{id_} went {had} times"
            if not killed:
                assert (id_ in self.done) != (id_ in self.ends), id_
            assert len(self.ends.get(id_, ())) <= 1
        if not killed:
            assert not self.live_twice
            assert self.logged()
            for id_ in self.called_again:
                self.check_one_at_a_time(id_)
        for ids in self.order.values():
            first = [i for n, i in enumerate(self.had) if i in set(ids) and i not in self.had[:n]]
            assert first == [i for i in ids if i in first]

    def check_one_at_a_time(self, id_):
        """Each attempt of a message timed out where it ran, connection and all, before the next began."""
        attempts = self.deployment.attempts(id_)
        for earlier, later in pairwise(attempts):
            began_us = later["at_us"] - later["elapsed_us"]
            assert earlier["at_us"] <= began_us + CLOCKS_APART_US, attempts
            ended = Outcome[earlier["outcome"]]
            assert (ended is Outcome.TIMEOUT and earlier["note"] != UNTOLD) or ended in NEVER_RAN, attempts


class Endpoint(HttpStandIn):
    """An endpoint that tells its ledger on which connection a call came."""

    def __init__(self, ledger):
        super().__init__()
        self.ledger = ledger

    def reply(self, request, connection, first):
        return self.ledger.endpoint(request, connection)


@asynccontextmanager
async def deployed(folder, clients=6):
    ledger = Ledger()
    async with standing(Endpoint(ledger)) as address, standing(HttpStandIn(ledger.platform)) as platform:
        made = ledger.deployment = Deployment(folder, address, platform)
        try:
            await ready(made.start())
            async with anyio.create_task_group() as tasks:
                for n in range(clients):
                    tasks.start_soon(ledger.client, made.address, f"c{n}", n % 2 == 0)
                yield made, ledger
                ledger.stop = True
            await until(ledger.settled, 10)
            with anyio.move_on_after(1):  # a process that was killed has not logged all of its attempts
                while not ledger.logged():
                    await anyio.sleep(0.01)
        finally:
            ledger.stop = True
            made.end()


async def test_two_upgrades_under_load_lose_nothing_and_nobody_notices(tmp_path):
    async with deployed(tmp_path) as (made, ledger):
        await anyio.sleep(0.5)
        for _ in range(2):
            old = made.processes[-1]
            new = made.start()
            await ready(new)
            assert await call(old.admin_address) != 200
            old.send_signal(signal.SIGTERM)
            with anyio.fail_after(3.7):
                while old.poll() is None:
                    await anyio.sleep(0.01)
            assert old.returncode == 0
            await anyio.sleep(0.5)
    ledger.check()
    assert not ledger.trouble and len(ledger.taken) > 200
    events = [e["event"] for e in made.events(1)]
    assert "handover_received" in events and "recovered" not in events and "handed_over" in events


async def test_a_call_is_live_until_the_courier_closes_its_connection():
    ledger = Ledger()
    ledger.duration_s = lambda request: 0.2
    request = b"POST /events HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
    async with standing(Endpoint(ledger)) as address:
        for id_, closed in ((b"kept", False), (b"closed", True)):
            first, second = await sockets.dial(address), await sockets.dial(address)
            await first.write(request % id_)
            await until(lambda id_=id_: id_.decode() in ledger.had)
            if closed:
                first.close()
            await second.write(request % id_)
            assert (await second.read()).startswith(b"HTTP/1.1 200 ")
            first.close()
            second.close()
    assert ledger.called_again == {"kept", "closed"} and ledger.live_twice == ["kept"]


async def test_an_attempt_that_times_out_during_an_upgrade_is_over_before_the_next_one(tmp_path):
    async with deployed(tmp_path, clients=0) as (made, ledger):
        ledger.duration_s = lambda request: 0 if len(ledger.had) > 1 else 6  # longer than any time-out
        assert await Client(made.address).enqueue("status-update", "m", for_ms=8000) == "+OK\r\n"
        ledger.taken["m"] = "status-update", "0"
        await until(lambda: ledger.had)
        new = made.start()
        await ready(new)
        assert [e["in_flight"] for e in made.events(1) if e["event"] == "handover_received"] == [1]
        await until(lambda: len(ledger.had) == 2)
        assert ledger.called_again == {"m"} and ledger.running["m"]
    ledger.check()
    assert [event["outcome"] for event in made.attempts("m")] == ["TIMEOUT", "OK"]


async def test_a_block_binds_both_processes_and_lasts(tmp_path):
    async with deployed(tmp_path, clients=0) as (made, ledger):
        old = made.processes[0]
        assert await call(old.admin_address, "PUT /-/endpoints/s-1/disable") == 200
        new = made.start()
        await ready(new)
        assert await call(old.admin_address, "PUT /-/endpoints/s-2/disable") == 200  # via the old one
        client = Client(made.address)
        for n in range(2):
            assert await client.enqueue("status-update", f"m{n}", dest=1 + n) == "+OK\r\n"
            ledger.taken[f"m{n}"] = "status-update", "0"
        await anyio.sleep(0.4)
        assert not ledger.had
        assert await call(new.admin_address, "PUT /-/endpoints/s-1/enable") == 200
        assert await call(old.admin_address, "PUT /-/endpoints/s-2/enable") == 200
        assert await call(old.admin_address, "PUT /-/endpoints/s-7/enable") == 404
        await until(ledger.settled)
    ledger.check()


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


async def test_a_journal_of_a_newer_version_is_refused_plainly_and_the_old_process_serves_on(tmp_path):
    async with deployed(tmp_path, clients=2) as (made, ledger):
        await anyio.sleep(0.3)
        with open(tmp_path / "state" / "journal", "ab") as file:
            file.write(journal_records.frame(bytes([99]) + bytes(8)))
        new = made.start()
        assert await anyio.to_thread.run_sync(new.wait) == 1
        said = (tmp_path / "log1").read_bytes().splitlines()[-1]
        assert b"a record of kind 99 of a newer version" in said
        await ready(made.processes[0], 3)
        made.processes[0].send_signal(signal.SIGHUP)
        await anyio.sleep(0.3)
    ledger.check()
    assert not ledger.trouble


async def test_settings_that_change_while_both_processes_are_there_count_in_the_one_that_owns(tmp_path):
    async with deployed(tmp_path, clients=0) as (made, _):
        old, new = made.processes[0], made.start()
        await ready(new)
        lanes = made.configuration["settings"]["lanes"]
        made.configuration["settings"]["lanes"] = [*lanes, lanes[-1] | {"name": "refund"}]
        made.file.write_bytes(orjson.dumps(made.configuration))
        for process in (old, new, old):
            process.send_signal(signal.SIGHUP)
        client = Client(made.address)
        with anyio.fail_after(3):
            while await client.enqueue("refund") != "+OK\r\n":
                await anyio.sleep(0.02)
        assert old.poll() is None
