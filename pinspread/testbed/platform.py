"""Plays a day on real sockets: partners that behave as the model's, discovery, notices, clients, couriers.

A partner's decisions (limits, queues, outages, the cold return) are the model's own `partner.Partner`, on a
clock that is the real one; what the model adds for the network is added here as waits. Couriers are real
processes, started and killed as the day says, each with addresses of its own to reach every other party at.
"""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from itertools import count
from pathlib import Path

import anyio
import numpy as np
import orjson

from pinspread import sockets
from pinspread.policy.events import Outcome
from pinspread.simulation import metrics as accounts
from pinspread.simulation.clients import ClientBehavior
from pinspread.simulation.destination import Endpoint, ServingState, build_destinations
from pinspread.simulation.engine import SECOND
from pinspread.simulation.random_streams import random_seed, random_stream
from pinspread.simulation.recorded_events import recorded
from pinspread.simulation.rules import RuleChecker
from pinspread.simulation.simulate import OUTAGE_STATES, REPLACED_NS, policy_settings
from pinspread.testbed.stand_ins import Client, HttpStandIn, until

CLIENT_WAITS_S = 0.4
LOOK_S = 0.05  # how soon a stand-in sees that a caller whose call it has not answered is gone
DRAIN_GRACE_NS = 300_000_000  # 250 ms, and the 50 more that sockets get
_blocks = count(os.getpid() % 200 * 64)  # blocks of addresses, so that stages side by side do not meet


class RealTimeEngine:
    """The model's engine on real time: `now` in nanoseconds since the day began."""

    def __init__(self):
        self.start_ns = time.monotonic_ns()
        self.events = 0

    @property
    def now(self):
        """The present; negative before the day begins."""
        return time.monotonic_ns() - self.start_ns

    def after(self, delay_ns, call, *what):
        """Call after a while."""
        asyncio.get_running_loop().call_later(max(0, delay_ns) / SECOND, call, *what)

    def at(self, when_ns, call, *what):
        """Call then."""
        self.after(when_ns - self.now, call, *what)


class IncomingCall:
    """A call that has come to a stand-in: the model's `Call` on a socket."""

    def __init__(self, stage, courier, row, work_ns, chance):
        self.stage, self.instance, self.row = stage, courier, row
        self.work_ns, self.draws = work_ns, chance
        self.alone = False  # the caller is gone
        self.reply = asyncio.get_running_loop().create_future()

    def work_started(self):
        """It takes effect."""
        if self.row is not None:
            self.stage.executions[self.row] += 1
            self.stage.work_done_ns += self.work_ns

    def respond(self, verdict, wait_ns):
        """The partner answers."""
        if self.alone and verdict is Outcome.OK and self.row is not None:
            self.stage.unheard += 1
        if not self.reply.done():
            self.reply.set_result((verdict, wait_ns))

    def reset(self):
        """The connection is reset."""
        if not self.reply.done():
            self.reply.set_result((Outcome.RESET, 0))


class _Unjudged:
    """Takes a partner's falls and says nothing of them."""

    @staticmethod
    def destination_collapsed(*what):
        """Judged later."""


class EndpointStandIn(HttpStandIn):
    """One endpoint as one courier reaches it."""

    def __init__(self, stage, endpoint, courier):
        super().__init__()
        self.stage, self.endpoint, self.courier = stage, endpoint, courier
        endpoint.connection_owners.append(self)
        self.address = stage.address(courier, 10 + endpoint.id)
        self.listening = None
        self.turned_away = set()  # connections too many for the endpoint's table

    async def listen(self):
        """Take connections until cancelled; while the endpoint is down, its address refuses them."""
        while True:
            with anyio.CancelScope() as self.listening:
                sock = sockets.listen(self.address)
                try:
                    await self.run(sock)
                finally:
                    sock.close()
            await until(
                lambda: self.endpoint.state not in (ServingState.CRASHED, ServingState.COLLAPSED), 1e6
            )

    async def serve(self, connection):
        """A connection, unless the endpoint is down or its table is full."""
        endpoint = self.endpoint
        if endpoint.state in (ServingState.CRASHED, ServingState.COLLAPSED):
            reset(connection)
            return
        if endpoint.connection_limit and endpoint.connections >= endpoint.connection_limit:
            self.turned_away.add(connection)
            try:
                await super().serve(connection)
            finally:
                self.turned_away.discard(connection)
            return
        endpoint.connections += 1
        self.stage.handshakes += 1
        try:
            await super().serve(connection)
        finally:
            endpoint.connections -= 1

    def close_expired(self):
        """Nothing to do: idle connections end by themselves."""

    def connection_lost(self, reset_all):
        """The endpoint is gone: with a reset all connections end."""
        if reset_all:
            for connection in list(self.open):
                reset(connection)
            self.listening.cancel()

    def reply(self, request, connection, first):
        """The model's answer, after the network's time."""
        return self._reply(request, connection, first)

    async def _reply(self, request, connection, first):
        stage, endpoint = self.stage, self.endpoint
        row, tries = None, 0
        if request[1] == "POST":
            row = int(request[3]["request-id"][:8], 16)
            told = stage.told_at.get((self.courier, endpoint.id))
            if told is not None and stage.engine.now > told + DRAIN_GRACE_NS:
                stage.past_drain += 1
            tries = int(stage.attempts[row]) % stage.scenario.attempt_draws.shape[1]
            stage.attempts[row] += 1
            work, chance = int(stage.scenario.work_ns[row, tries]), stage.scenario.attempt_draws[row, tries]
        else:
            work, chance = 5_000_000, (0.5, 0.5, 0.5, 0.5)
        delay = stage.delays[endpoint.destination.number - 1] / SECOND
        jitter = stage.model.network.jitter
        there, back = (delay * (1 + jitter * (2 * float(chance[n]) - 1)) for n in (0, 1))
        handshake = stage.model.network.handshake_ms / 1000 if first else 0.0
        await anyio.sleep(there + (2 * there if first else 0))
        if connection in self.turned_away:
            stage.outcomes[Outcome.OVERLOADED] = stage.outcomes.get(Outcome.OVERLOADED, 0) + 1
            await anyio.sleep(back)
            return 503, [("Connection", "close")], b""
        call = IncomingCall(stage, self.courier, row, work, chance)
        endpoint.destination.arrive(endpoint, call, work + int(handshake * SECOND))
        # Danger: a partner that is silent never answers; a connection whose other side has gone must not stay
        # in its endpoint's table for that.
        while not (await asyncio.wait({call.reply}, timeout=LOOK_S))[0]:
            if gone(connection):
                call.alone = True
                return None
        verdict, wait_ns = call.reply.result()
        stage.outcomes[verdict] = stage.outcomes.get(verdict, 0) + 1
        if verdict is Outcome.RESET:
            reset(connection)
            return None
        await anyio.sleep(back)
        if verdict is Outcome.OK:
            if row is not None and gone(connection):
                stage.unheard += 1  # it ran, and nobody is there to hear of it
            elif row is not None:
                stage.delivered(row, request[3]["request-id"])
            return 200, [], b""
        if verdict is Outcome.ERROR:
            return 500, [], b""
        if wait_ns:
            return 429, [("Retry-After", f"{wait_ns / SECOND:.3f}")], b""
        return 503, [], b""


def gone(connection):
    """Whether the other side has closed, or its process has ended."""
    try:
        return connection.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def reset(connection):
    """End a connection at once, with a reset."""
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    anyio.notify_closing(connection.sock)
    connection.close()


class PlatformStandIn(HttpStandIn):
    """Discovery and notices of one courier."""

    def __init__(self, stage, courier):
        super().__init__()
        self.stage, self.courier = stage, courier
        self.watchers = set()
        self.health = {}  # endpoint -> what this courier has been told of it, where that is not ready
        self.seq = 1

    def tell(self, endpoint, health):
        """This courier hears of a change."""
        self.seq += 1
        self.health[endpoint.id] = health
        entry = self.stage.host(endpoint, self.courier) | {"health": health}
        for news in self.watchers:
            news.put_nowait({"seq": self.seq, "whole": False, "hosts": [entry]})

    def reply(self, request, connection, first):
        """The list, a watch, or notices."""
        if request[1] == "POST":
            for line in request[4].splitlines():
                self.stage.notice(orjson.loads(line))
            return 204, [], b""
        if "watch=1" in request[2]:
            return self._watch(connection)
        return 200, [], orjson.dumps(self.stage.listed(self.courier))

    async def _watch(self, connection):
        await connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = orjson.dumps(self.stage.listed(self.courier)) + b"\n"
        news = asyncio.Queue()
        self.watchers.add(news)
        try:
            while True:
                await connection.write(b"%x\r\n%s\r\n" % (len(line), line))
                line = b"\n"
                with anyio.move_on_after(2):
                    line = orjson.dumps(await news.get()) + b"\n"
        finally:
            self.watchers.discard(news)


class CourierProcess:
    """A real courier, over its restarts."""

    def __init__(self, stage, number, folder):
        self.stage, self.number = stage, number
        self.folder = folder
        self.address = stage.address(number, 0)
        self.running = None
        self.clients = []  # free connections
        self.boots = []  # seconds from each start to PONG
        self.ready = False
        self.log = open(folder / f"courier{number}.log", "ab")  # noqa: SIM115  closed with the stage
        (folder / f"state{number}").mkdir(exist_ok=True)

    def start(self):
        """Start the process."""
        stage = self.stage
        told = configured(stage, self.number, self.address, str(self.folder / f"state{self.number}"))
        config = self.folder / f"config{self.number}.json"
        config.write_bytes(orjson.dumps(told))
        env = os.environ | {"RELAY_CONFIG": str(config)}
        command = [sys.executable, "-m", "pinspread"]
        root = Path(__file__).parents[2]
        self.running = subprocess.Popen(command, env=env, stdout=self.log, stderr=self.log, cwd=root)

    async def until_ready(self):
        """Wait for PONG; notes how long it took from the start."""
        began = time.monotonic()
        with anyio.fail_after(20):
            while True:
                try:
                    client = Client(self.address)
                    if (await client.say("PING")).startswith("+PONG"):
                        self.ready = True
                        self.boots.append(round(time.monotonic() - began, 3))
                        return
                except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                    await anyio.sleep(0.02)

    async def restart(self, kind, down_ns):
        """As the day says: SIGTERM or SIGKILL, and back after a while."""
        self.ready = False
        if kind == "restart":
            self.running.send_signal(signal.SIGTERM)
            with anyio.move_on_after(3.7):
                while self.running.poll() is None:
                    await anyio.sleep(0.02)
        self.end()
        await anyio.sleep(down_ns / SECOND)
        self.start()
        await self.until_ready()

    def end(self):
        """End the process."""
        if self.running is not None:
            if self.running.poll() is None:
                self.running.kill()
            self.running.wait()
        self.clients.clear()
        self.ready = False


class PlatformTestbed:
    """A day on loopback. After `play`, it has what `accounts.measure` needs."""

    def __init__(self, model, scenario, folder):
        self.model, self.scenario = model, scenario
        # Danger: ids come again with each play of a day; a journal of an earlier one would know them as over.
        Path(folder).mkdir(parents=True, exist_ok=True)
        self.folder = Path(tempfile.mkdtemp(prefix="play-", dir=folder))
        self.engine = RealTimeEngine()
        self.settings = policy_settings(model, scenario, {})
        self.checker = RuleChecker(self.settings.classes, self.settings.max_attempts)
        self.block = next(_blocks)
        # Who knew of an outage is told by the couriers' logs alone, after the day: `_blame`.
        self.destinations, self.endpoints = build_destinations(scenario, self.engine, model, _Unjudged)
        self.delays = scenario.delay_ns.tolist()
        n = len(scenario.arrival_ns)
        self.delivered_ns, self.ended_ns = np.full(n, -1, dtype=np.int64), np.full(n, -1, dtype=np.int64)
        self.executions = np.zeros(n, dtype=np.int16)
        self.attempts = np.zeros(n, dtype=np.int16)
        self.rejected = self.unanswered = self.handshakes = self.health_checks = self.work_done_ns = 0
        self.turns = 0
        self.outcomes, self.attempt_times_ns, self.retry_times_ns = {}, [], []
        self.taken, self.finals = {}, {}  # ids that were taken on -> row, and how they ended
        self.habits = ClientBehavior(model, scenario)
        self.processes, self.platforms = [], []
        self.first = len(self.endpoints)  # endpoints up to this number were there from the start
        low, high = model.network.list_late_s
        self.lag_s = random_stream(scenario.seed, "lag").uniform(low, high, model.couriers.count).tolist()
        self.unheard = 0  # calls that ran, and whose courier was gone when they were answered
        self.past_drain = 0  # calls to an endpoint after its courier's grace
        self.told_at = {}  # (courier, endpoint) -> when it was told that nothing may go there
        self.tasks = None

    @property
    def instances(self):
        """For `accounts`: one that holds what the stand-ins counted."""
        return [self]

    def address(self, courier, port):
        """An address of this stage's own; port 0 is where the courier listens."""
        place = self.block * 16 + courier
        return f"127.{10 + place // 62_500 % 200}.{place // 250 % 250}.{1 + place % 250}:{21_000 + port}"

    def host(self, endpoint, courier):
        """An endpoint as a courier's list shows it."""
        spec = endpoint.destination.spec
        return {
            "host": f"e{endpoint.id}", "dial": self.address(courier, 10 + endpoint.id), "site": "local",
            "class": "big" if spec.large else "small", "block": spec.number, "health": "ready",
            "share": spec.weight, "born_ms": 0,
        }  # fmt: skip

    def listed(self, courier):
        """The list as a courier is told it."""
        platform = self.platforms[courier]
        hosts = []
        for endpoint in self.endpoints.values():
            health = platform.health.get(endpoint.id, "ready" if endpoint.id <= self.first else "gone")
            if health != "gone":
                hosts.append(self.host(endpoint, courier) | {"health": health})
        return {"seq": platform.seq, "whole": True, "hosts": hosts}

    async def play(self):
        """Play the day; gives its accounts, with what the ledgers say beside them."""
        with ExitStack() as closing:
            async with anyio.create_task_group() as self.tasks:
                for number in range(self.model.couriers.count):
                    platform = PlatformStandIn(self, number)
                    self.platforms.append(platform)
                    self._listen(closing, platform, self.address(number, 1))
                    for endpoint in self.endpoints.values():
                        hop = EndpointStandIn(self, endpoint, number)
                        self.tasks.start_soon(hop.listen)
                    process = CourierProcess(self, number, self.folder)
                    closing.callback(process.log.close)
                    self.processes.append(process)
                try:
                    for process in self.processes:
                        process.start()
                    for process in self.processes:
                        await process.until_ready()
                    self.engine.start_ns = time.monotonic_ns() + SECOND // 5
                    self._plan()
                    await self._arrivals()
                    length_s = self.scenario.length_ns / SECOND
                    await anyio.sleep(max(0.0, length_s - self.engine.now / SECOND))
                    longest = max(c.deadline_s for c in self.model.classes) + 2
                    with anyio.move_on_after(longest):
                        await until(lambda: not (self.taken.keys() - self.finals.keys()), longest + 1)
                finally:
                    for process in self.processes:
                        process.end()
                self.tasks.cancel_scope.cancel()
        lost = len(self.taken.keys() - self.finals.keys())
        seen = {rule: count for rule, count in (("final", lost), ("drain", self.past_drain)) if count}
        self._read_logs()
        boots = [s for process in self.processes for s in process.boots[1:]]
        more = {"lost": lost, "taken": len(self.taken), "unheard": self.unheard, "boots_s": boots}
        return accounts.measure(self, seen) | more

    def _read_logs(self):
        """Probes and branches that reached nobody are known to the couriers alone."""
        begun = time.time() - self.engine.now / SECOND
        failed = []  # (courier, partner, time) of what failed
        self.attempt_times_ns, self.retry_times_ns, self.health_checks = [], [], 0
        for process in self.processes:
            for line in Path(process.log.name).read_bytes().splitlines():
                try:
                    event = recorded(orjson.loads(line))
                except orjson.JSONDecodeError:
                    continue  # cut by a kill
                if event.get("event") in ("probe", "branch") and event["verdict"] not in (
                    "OK",
                    "NOT_SENT",
                    "MOOT",
                ):
                    number = self.endpoints[int(event["hop"][1:])].destination.number
                    failed.append((process.number, number, int((event["at_us"] / 1e6 - begun) * SECOND)))
                if event.get("event") == "probe":
                    self.health_checks += 1
                elif event.get("event") == "branch" and event["verdict"] not in ("NOT_SENT", "MOOT"):
                    at = int(max(0, (event["at_us"] - event["took_us"]) / 1e6 - begun) * SECOND)
                    self.attempt_times_ns.append(at)
                    if event["n"]:
                        self.retry_times_ns.append(at)
        self._blame(failed)

    def _blame(self, failed):
        """Rule `cold` from the logs: who was refused a connection is known to nobody else."""
        for one in self.destinations.values():
            for now, from_ns, until_ns, pushed in one.collapses:
                knew = {c for c, number, at in failed if number == one.number and from_ns <= at < until_ns}
                self.checker.destination_collapsed(
                    one.number, now, sum(c in knew for c in pushed), len(pushed)
                )

    def _listen(self, closing, stand_in, address):
        sock = sockets.listen(address)
        closing.callback(sock.close)
        self.tasks.start_soon(stand_in.run, sock)

    def _plan(self):
        for t in self.scenario.faults:
            if t.kind in OUTAGE_STATES:
                for number in t.targets:
                    one = self.destinations[number]
                    self.engine.at(
                        t.at_ns,
                        one.start_outage,
                        OUTAGE_STATES[t.kind],
                        t.until_ns,
                        t.magnitude,
                        t.ends_in_slow_start,
                    )
                    self.engine.at(t.until_ns, one.end_outage)
            elif t.kind in ("restart", "kill"):
                for number, at in t.restart_times(len(self.processes)):
                    self.tasks.start_soon(self._restart, self.processes[number], at, t.kind, t.down_ns)
            elif t.kind in ("drain", "replace"):
                for index in t.targets:
                    self.tasks.start_soon(self._change, index + 1, t)

    async def _change(self, id_, trouble):
        """An endpoint drains for a while, or is replaced by another at a new address."""
        endpoint = self.endpoints[id_]
        await anyio.sleep(max(0, trouble.at_ns - self.engine.now) / SECOND)
        if trouble.kind == "replace":
            new = Endpoint(
                len(self.endpoints) + 1,
                endpoint.destination,
                endpoint.cores,
                endpoint.queue_limit,
                endpoint.connection_limit,
            )
            new.state = endpoint.state
            endpoint.destination.endpoints.append(new)
            self.endpoints[new.id] = new
            for number in range(len(self.processes)):
                self.tasks.start_soon(EndpointStandIn(self, new, number).listen)
            self._tell(new, "ready")
        self._tell(endpoint, "draining")
        if trouble.kind == "drain":
            await anyio.sleep(max(0, trouble.until_ns - self.engine.now) / SECOND)
            self._tell(endpoint, "ready")
            return
        await anyio.sleep(REPLACED_NS / SECOND)
        self._tell(endpoint, "gone")
        endpoint.destination.endpoints.remove(endpoint)
        endpoint.state = ServingState.CRASHED
        for hop in endpoint.connection_owners:
            hop.connection_lost(True)

    def _tell(self, endpoint, health):
        for platform, lag in zip(self.platforms, self.lag_s, strict=True):
            self.tasks.start_soon(self._tell_late, platform, lag, endpoint, health)

    async def _tell_late(self, platform, lag_s, endpoint, health):
        await anyio.sleep(lag_s)
        if health == "ready":
            self.told_at.pop((platform.courier, endpoint.id), None)
        else:
            self.told_at.setdefault((platform.courier, endpoint.id), self.engine.now)
        platform.tell(endpoint, health)

    async def _restart(self, process, at_ns, kind, down_ns):
        await anyio.sleep(max(0, at_ns - self.engine.now) / SECOND)
        await process.restart(kind, down_ns)

    # --- clients: open arrivals, so that a slow answer never puts a later message off ---------------

    async def _arrivals(self):
        for row, at in enumerate(self.scenario.arrival_ns.tolist()):
            wait = at - self.engine.now
            if wait > 0:
                await anyio.sleep(wait / SECOND)
            self.tasks.start_soon(self._hand_in, row)

    async def _hand_in(self, row):
        deadline = self.habits.deadline_ns(row)
        while True:
            left = deadline - self.engine.now
            if left <= 0:
                self.ended_ns[row] = self.engine.now
                return
            chosen = self.habits.instance_of(row)
            ready = [self.processes[(chosen + s) % len(self.processes)] for s in range(len(self.processes))]
            process = next((p for p in ready if p.ready), None)
            said = await self._say(process, row, left // 1_000_000) if process else ""
            if said.startswith("+"):
                return
            if not said.startswith("-BUSY"):
                self.unanswered += 1
                await anyio.sleep(0.2)
                continue
            self.rejected += 1
            words = said.split()
            if not await self._again(row, int(words[1]) if len(words) > 1 else 0):
                return

    async def _again(self, row, told_ms):
        """Wait as this client's habits say; false where it does not come again."""
        wait = self.habits.retry_delay_ns(row, told_ms * 1_000_000)
        if wait is None:
            self.ended_ns[row] = self.engine.now
            return False
        await anyio.sleep(wait / SECOND)
        return True

    async def _say(self, process, row, left_ms):
        scenario, model = self.scenario, self.model
        id_ = f"{row:08x}{int(self.habits.retries[row]):02x}{random_seed(scenario.seed, 'id', row, self.unanswered) & 0xFFFFFF:06x}"
        cls, team = (
            model.classes[scenario.class_index[row]].name,
            model.teams[scenario.tenant_index[row]].name,
        )
        options = f"c={cls},t={team},d={left_ms},k={row:016x},dest={int(scenario.destination[row])}"
        client = process.clients.pop() if process.clients else Client(process.address, again=True)
        self.taken[id_] = row  # it may be taken on though its answer is lost
        try:
            with anyio.fail_after(CLIENT_WAITS_S):
                said = await client.say(
                    "ENQUEUE", str(int(scenario.ordering_key[row])), id_, options, b"x" * 200
                )
        except (
            OSError,
            TimeoutError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            self.taken.pop(id_, None)
            if client.stream is not None:
                await client.stream.aclose()
            return ""
        if not said.startswith("+"):
            self.taken.pop(id_, None)
        process.clients.append(client)
        return said

    # --- ends -------------------------------------------------------------------------------------

    def delivered(self, row, id_):
        """A 200 goes out for a message that was handed in as `id_`."""
        now = self.engine.now
        if self.delivered_ns[row] < 0:
            self.delivered_ns[row] = self.ended_ns[row] = now
        self.finals.setdefault(id_, "delivered")

    def notice(self, told):
        """A notice came."""
        id_ = told["id"]
        row = int(id_[:8], 16)
        if self.finals.setdefault(id_, told["state"]) != told["state"]:
            return
        if self.delivered_ns[row] >= 0:
            return
        if told["state"] == "returned":
            self.tasks.start_soon(self._returned, row, told.get("after_ms", 0))
        else:
            self.ended_ns[row] = self.engine.now

    async def _returned(self, row, after_ms):
        if await self._again(row, after_ms):
            await self._hand_in(row)


def configured(stage, number, address, state):
    """A courier's configuration, in the platform's form."""
    model, scenario, s = stage.model, stage.scenario, stage.settings
    lanes = [
        {"name": c.name, "aimNs": int(c.aim_s * SECOND), "deadlineNs": int(c.deadline_s * SECOND),
         "effect": c.effect, "group": "all", "windowNs": int(c.window_s * SECOND), "serialByKey": c.in_order,
         "value": c.worth, "lateShare": c.late_share}
        for c in model.classes
    ]  # fmt: skip
    policy = {
        "dialTimeoutNs": int(model.couriers.dial_s * SECOND), "keepaliveNs": s.keepalive_ns,
        "maxRetryAfterNs": s.max_retry_after_ns, "mostHeld": s.max_held_messages, "probes": s.health_checks_allowed,
        "retryAfter": s.retry_after_allowed, "sendCap": s.max_attempts,
    }  # fmt: skip
    return {
        "name": f"n{number}", "listen": address, "discovery": stage.address(number, 1), "state": state,
        "seed": f"{random_seed(scenario.seed, 'module', number, time.time_ns()):x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": stage.listed(number),
        "settings": {
            "balancers": s.senders, "lanes": lanes, "policyLimits": policy,
            "overShareWorth": s.over_quota_weight, "prices": {"handshake": s.handshake_price},
            "projects": [{"name": t.name, "quotaRps": q.quota_per_s, "share": q.share}
                         for t, q in zip(model.teams, s.tenants, strict=True)],
            "rules": {"drainGraceNs": s.drain_grace_ns, "coldFrom": s.slow_start_fraction, "coldNs": s.slow_start_ns,
                      "tipMultiple": s.overload_multiple},
            "shapes": ["big", "small"],
            "specifics": {"bundleMax": [1, 1], "callsOut": s.max_concurrent_calls, "kindApart": [False, False], "late": "halves"},
            "weights": "nominal" if s.weights_exact else "rough", "zones": ["local"],
        },
    }  # fmt: skip


def play(model, scenario, folder):
    """Play a day on loopback; its accounts."""
    return anyio.run(PlatformTestbed(model, scenario, folder).play)
