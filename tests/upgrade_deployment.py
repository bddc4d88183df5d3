"""A courier that is upgraded under load: its processes and clients, and a ledger of what happened."""

import os
import signal
import subprocess
import sys
import time
from collections import Counter
from contextlib import asynccontextmanager
from itertools import pairwise

import anyio
import orjson
from standins import Client, HttpStandIn, configuration, host, listener, own_address, standing, until

from pinspread import sockets
from pinspread.core.messages import NEVER_RAN
from pinspread.policy.events import Outcome

CLOCKS_APART_US = 10_000  # at most, between the Unix times of two processes' logs: each sets its own at start
UNTOLD = "not reported in time"  # the note of an attempt that the new process gave up for the old one


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


@asynccontextmanager
async def stopped(process):
    """A process that does nothing while the block runs, as on a machine that has no time for it."""
    process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)
