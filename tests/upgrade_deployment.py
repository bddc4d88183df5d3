"""A courier that is upgraded under load: its processes, its clients, and a ledger of what happened."""

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
from standins import (
    Client,
    HttpStandIn,
    configuration,
    host,
    listener,
    own_address,
    serve_on_loopback,
    wait_until,
)

from pinspread import sockets
from pinspread.core.messages import NEVER_RAN
from pinspread.policy.events import Outcome

MAX_CLOCK_OFFSET_US = 10_000  # between the Unix times in two processes' logs: each sets its own at its start
UNREPORTED_NOTE = "not reported in time"  # the note of an attempt that the old process did not report


class Deployment:
    """A courier whose listening socket the platform holds, and its successive processes."""

    def __init__(self, folder, endpoint, platform):
        self.sock, self.address = listener()
        self.folder = folder
        (folder / "state").mkdir(exist_ok=True)
        self.file = folder / "config.json"
        self.configuration = configuration(folder / "state", callsOut=64)
        self.configuration["known"]["hosts"] = [host("s-1", endpoint), host("s-2", endpoint, 2)]
        self.configuration |= {"listen": self.address, "discovery": platform}
        self.processes = []

    def start(self, **environment):
        """Start another process, with its own admin server."""
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
                env=env | environment,
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
        """The log events of a message's ended attempts, from all processes, ordered by attempt number."""
        events = [event for n in range(len(self.processes)) for event in self.events(n)]
        attempt_events = [event for event in events if event["event"] == "attempt" and event["id"] == id_]
        return sorted(attempt_events, key=lambda event: event["number"])


async def call(address, request_line="GET /-/ready"):
    """The HTTP status that an admin server answers with; 0 if there is no answer."""
    try:
        connection = await sockets.dial(address)
        await connection.write(f"{request_line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        with anyio.fail_after(2):
            response = await connection.read()
        connection.close()
        return int(response.split(b" ", 2)[1])
    except (OSError, IndexError, TimeoutError):
        return 0


async def wait_ready(process, seconds=6.0):
    """Wait until the process's admin server reports that it is ready; return how long that took."""
    started_at = time.monotonic()
    while await call(process.admin_address) != 200:
        assert time.monotonic() - started_at < seconds and process.poll() is None
        await anyio.sleep(0.02)
    return time.monotonic() - started_at


class Ledger:
    """Records what was accepted, what the endpoints received, and which final results were notified."""

    def __init__(self):
        self.accepted = {}  # id -> (class, key)
        self.accepted_by_key = {}  # key -> ids, in the order in which they were submitted
        self.received = []  # ids, in the order in which complete calls arrived
        self.answered = Counter()  # id -> number of calls answered with 200
        self.running = {}  # id -> connections of calls that the endpoint has not answered yet
        self.overlapping_calls = []  # ids called while an earlier call's connection was still open
        self.called_while_running = set()  # ids called while an earlier call still ran at the endpoint
        self.final_states = {}
        self.client_errors = []
        self.stop = False

    async def endpoint(self, request, connection):
        id_ = request[3].get("request-id")
        if id_ is None:
            return 200, [], b""
        self.received.append(id_)
        running = self.running.setdefault(id_, [])
        if running:
            # An endpoint keeps running after its caller has timed out; the call is over once its connection
            # is closed.
            self.called_while_running.add(id_)
            self.overlapping_calls += [id_ for earlier in running if not earlier.is_finished()]
        running.append(connection)
        await anyio.sleep(self.duration_s(request))
        running.remove(connection)
        self.answered[id_] += 1
        return 200, [], b""

    def duration_s(self, request):
        """How long a call takes at the endpoint, in seconds."""
        return 0.02 if len(self.received) % 10 else 0.3

    def platform(self, request):
        if request[2] == "/v2/finals":
            for line in request[4].splitlines():
                notification = orjson.loads(line)
                self.final_states.setdefault(notification["id"], set()).add(notification["state"])
            return 204, [], b""
        return 503, [], b""

    async def client(self, address, name, reconnect_each_time=False):
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
                    self.accepted[id_] = cls, key
                    if key != "0":
                        self.accepted_by_key.setdefault(key, []).append(id_)
                elif not answer.startswith("-BUSY"):
                    self.client_errors.append((id_, answer))
            except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
                self.client_errors.append((id_, repr(error)))
                client = Client(address, reconnect=True)
            if reconnect_each_time and client.stream is not None:
                await client.stream.aclose()
                client = Client(address, reconnect=True)
            await anyio.sleep(0.005)

    def settled(self):
        return all(id_ in self.answered or id_ in self.final_states for id_ in self.accepted)

    def all_logged(self):
        """Whether the logs contain every attempt of the messages in `called_while_running`."""
        return all(
            len(self.deployment.attempts(id_)) >= self.received.count(id_)
            for id_ in self.called_while_running
        )

    def check(self, killed=False):
        """Check all invariants.

        After a kill, calls that were in flight may have run, and payments among them fail.
        """
        assert self.settled(), [
            i for i in self.accepted if i not in self.answered and i not in self.final_states
        ]
        for id_, (cls, _) in self.accepted.items():
            times_received = self.received.count(id_)
            assert times_received <= 1 or cls != "payment", f"{id_} was called {times_received} times"
            if not killed:
                assert (id_ in self.answered) != (id_ in self.final_states), id_
            assert len(self.final_states.get(id_, ())) <= 1
        if not killed:
            assert not self.overlapping_calls
            assert self.all_logged()
            for id_ in self.called_while_running:
                self.check_one_at_a_time(id_)
        for ids in self.accepted_by_key.values():
            first = [i for n, i in enumerate(self.received) if i in set(ids) and i not in self.received[:n]]
            assert first == [i for i in ids if i in first]

    def check_one_at_a_time(self, id_):
        """Check that each attempt timed out, with its connection closed, before the next one began."""
        attempts = self.deployment.attempts(id_)
        for earlier, later in pairwise(attempts):
            later_started_us = later["at_us"] - later["elapsed_us"]
            assert earlier["at_us"] <= later_started_us + MAX_CLOCK_OFFSET_US, attempts
            earlier_outcome = Outcome[earlier["outcome"]]
            assert (
                earlier_outcome is Outcome.TIMEOUT and earlier["note"] != UNREPORTED_NOTE
            ) or earlier_outcome in NEVER_RAN, attempts


class Endpoint(HttpStandIn):
    """An endpoint that passes each call's connection to its ledger."""

    def __init__(self, ledger):
        super().__init__()
        self.ledger = ledger

    def reply(self, request, connection, first):
        return self.ledger.endpoint(request, connection)


@asynccontextmanager
async def deployed(folder, clients=6):
    ledger = Ledger()
    async with (
        serve_on_loopback(Endpoint(ledger)) as address,
        serve_on_loopback(HttpStandIn(ledger.platform)) as platform,
    ):
        new_deployment = ledger.deployment = Deployment(folder, address, platform)
        try:
            await wait_ready(new_deployment.start())
            async with anyio.create_task_group() as tasks:
                for n in range(clients):
                    tasks.start_soon(ledger.client, new_deployment.address, f"c{n}", n % 2 == 0)
                yield new_deployment, ledger
                ledger.stop = True
            await wait_until(ledger.settled, 10)
            with anyio.move_on_after(1):  # a killed process has not logged all of its attempts
                while not ledger.all_logged():
                    await anyio.sleep(0.01)
        finally:
            ledger.stop = True
            new_deployment.end()


@asynccontextmanager
async def suspended(process):
    """Suspend a process while the block runs, as on an overloaded machine that does not schedule it."""
    process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)
