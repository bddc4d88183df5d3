"""The fault stage: N real couriers with membership on loopback, the proxy between them, a timeline of
faults.

A scene is a TOML file:

    members = 5                 # m0 .. m4
    late = ["m4"]               # not started until a fault `start` says so
    seconds = 20
    seed = 1
    service = ""                # members find their seeds by this DNS-SD service instead of a list
    [tuning]                    # goes into every courier's [members] table
    period_s = 0.2
    [leases]                    # optional: figures of every courier's [leases] table, and
    voters = 3                  #   the first so many members vote
    tasks = ["sweep"]           #   held and acted on at the stage's stand-in resource, every act_s
    act_s = 0.1
    [copies]                    # optional: figures of every courier's [copies] table
    [traffic]                   # optional: callers, a partner and the platform (traffic.py), and their figures
    [[at]]                      # a fault at a time (who may be "@leader" or "@holder:TASK"): do = pause resume kill term wipe flip start loss delay
    s = 4                       #   duplicate cut split heal offset garbage stranger
    do = "pause"
    who = ["m3"]
    [[expect]]                  # see judge.py
    kind = "never_dead"

`play(scene, folder)` runs it and gives the verdicts; every line goes to `folder/history.jsonl`. The stage
ends only the processes that it started, by their ids, and every wait has a bound.
"""

import asyncio
import os
import queue
import shutil
import signal
import subprocess
import sys
import threading
import time
import tomllib
from itertools import count
from pathlib import Path

import orjson

from pinspread.config.template import template
from pinspread.membership import codec as wire
from pinspread.simulation.recorded_events import recorded
from pinspread.testbed import history_checker as judge
from pinspread.testbed.faults import Proxy, Rules
from pinspread.testbed.resource import Resource
from pinspread.testbed.traffic import Traffic

PORT, LEASES_PORT, COPIES_PORT, RESOURCE_PORT = 7946, 7947, 7948, 9700
RESOURCE_HOST = 200
READY_S = 30.0  # for all members to serve
END_S = 4.0  # for a SIGTERM to end a member, after which SIGKILL
_blocks = count(os.getpid() % 200 * 8)
SIGNALS = {"pause": signal.SIGSTOP, "resume": signal.SIGCONT, "kill": signal.SIGKILL, "term": signal.SIGTERM}


class ScenarioError(Exception):
    """A scene that cannot be played; the text says why."""


def now_us():
    return time.monotonic_ns() // 1000


class History:
    """Lines from every process and from the stage, in one file, which a thread of its own writes.

    Danger: a disk that stalls would stall the proxy, and with it all that the couriers say to each other.
    """

    def __init__(self, path):
        self.file = open(path, "wb")  # noqa: SIM115  closed by the stage
        self.lines = []
        self.lock = threading.Lock()
        self.waiting = queue.SimpleQueue()
        self.writer = threading.Thread(target=self._write, daemon=True)
        self.writer.start()

    def add(self, who, event, **fields):
        self.note({"mono_us": now_us(), "who": who, "event": event, **fields})

    def note(self, line):
        with self.lock:
            self.lines.append(line)
        self.waiting.put(line)

    def _write(self):
        while (line := self.waiting.get()) is not None:
            self.file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
        self.file.close()

    def close(self):
        self.waiting.put(None)
        self.writer.join()


class MemberProcess:
    """One member's process, over its restarts."""

    def __init__(self, stage, number):
        self.stage, self.number, self.id = stage, number, f"m{number}"
        self.real = (f"{stage.prefix}.{10 + number}", PORT)
        self.front = (f"{stage.prefix}.{100 + number}", PORT)
        self.folder = stage.folder / self.id
        self.offset_ms, self.clock_rate = 0, 1.0
        self.process = None
        self.ending = False  # told to end, and not started again since
        self.reader = None
        self.serving = threading.Event()

    def config(self):
        s = self.stage
        text = template(self.id)
        for port, old in ((6379, "127.0.0.1:6379"), (5672, "127.0.0.1:5672"), (9600, "127.0.0.1:9600")):
            text = text.replace(old, f"{self.real[0]}:{port}")
        text = text.replace('folder = "state"', f'folder = "{self.folder / "state"}"')
        text = text.replace('zone_file = "partners.zone"', f'zone_file = "{s.folder / "partners.zone"}"')
        by_service = s.scene.get("service", "")
        seeds = [] if by_service else [f"{c.front[0]}:{PORT}" for c in s.cast[:2] if c is not self]
        tuning = "".join(f"{k} = {orjson.dumps(v).decode()}\n" for k, v in s.tuning.items())
        text += (
            f'\n[members]\nid = "{self.id}"\nlisten = "{self.real[0]}:{PORT}"\n'
            f'advertise = "{self.front[0]}:{PORT}"\nseeds = {orjson.dumps(seeds).decode()}\n'
            f'fleet = "{s.fleet}"\nservice = "{by_service}"\nclock_offset_ms = {self.offset_ms}\n'
            f"clock_rate = {self.clock_rate}\n{tuning}"
        )
        if s.traffic:
            text = text.replace("127.0.0.1:8500", s.traffic.platform())
            text = text.replace("quota_per_s = 30.0", "quota_per_s = 300.0")
        if s.copies is not None:
            figures = "".join(f"{k} = {orjson.dumps(v).decode()}\n" for k, v in s.copies.items())
            text += f'\n[copies]\nlisten = "{self.real[0]}:{COPIES_PORT}"\n{figures}'
        return text + (self._leases() if s.leases else "")

    def _leases(self):
        s = self.stage
        figures = dict(s.leases)
        voters, tasks, act_s = figures.pop("voters", 3), figures.pop("tasks", ()), figures.pop("act_s", 0.1)
        lines = ["", "[leases]", f'listen = "{self.real[0]}:{LEASES_PORT}"']
        lines.append(f'advertise = "{self.front[0]}:{LEASES_PORT}"')
        lines += [f"{k} = {v}" for k, v in figures.items()]
        for c in s.cast[:voters]:
            lines += ["[[leases.voter]]", f'id = "{c.id}"', f'address = "{c.front[0]}:{LEASES_PORT}"']
        for task in tasks:
            lines += ["[[leases.task]]", f'name = "{task}"', f"every_s = {act_s}"]
            lines.append(f'address = "{s.prefix}.{RESOURCE_HOST}:{RESOURCE_PORT}"')
        return "\n".join(lines) + "\n"

    def start(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "courier.toml"
        path.write_text(self.config())
        self.serving.clear()
        self.ending = False
        root = Path(__file__).parents[2]
        command = [sys.executable, "-m", "pinspread", "serve", "--app", str(path)]
        self.process = subprocess.Popen(
            command, cwd=root, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )
        self.stage.history.add(self.id, "started", pid=self.process.pid, offset_ms=self.offset_ms)
        self.reader = threading.Thread(target=self._read, args=(self.process,), daemon=True)
        self.reader.start()

    def _read(self, process):
        history = self.stage.history
        for raw in process.stdout:
            try:
                line = recorded(orjson.loads(raw))
            except orjson.JSONDecodeError:
                line = {"event": "text", "text": raw.decode("utf-8", "replace").rstrip()[:500]}
            if not isinstance(line, dict):
                continue
            if line.get("event") == "serving":
                self.serving.set()
            if line.get("event") in ("fault", "internal_error") or "Traceback" in line.get("text", ""):
                line["event"] = "fault"
            line.setdefault("mono_us", now_us())
            history.note(line | {"who": self.id})
        code = process.wait()
        history.add(self.id, "exited", code=code)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, what):
        process = self.process
        if process is not None and process.poll() is None:
            self.ending = what == "term"
            process.send_signal(SIGNALS[what])
            self.stage.history.add(self.id, "signalled", do=what)

    def ask_to_end(self):
        """SIGCONT and SIGTERM; this process alone, by its id."""
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)

    def end(self):
        """Wait for its end, and SIGKILL after END_S."""
        process = self.process
        if process is None or process.poll() is not None:
            return
        try:
            process.wait(END_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


class ClusterTestbed:
    """A scene on loopback."""

    def __init__(self, scene, folder):
        self.scene, self.folder = scene, Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        block = next(_blocks)
        self.prefix = f"127.{20 + block // 250 % 200}.{block % 250}"
        self.fleet = scene.get("fleet", "stage")
        self.tuning = scene.get("tuning", {})
        self.leases, self.copies = scene.get("leases"), scene.get("copies")
        self.started = asyncio.Event()
        self.cast = [MemberProcess(self, n) for n in range(scene["members"])]
        self.by_id = {c.id: c for c in self.cast}
        self.history = History(self.folder / "history.jsonl")
        self.traffic = Traffic(self, **scene["traffic"]) if "traffic" in scene else None
        self.rules = Rules([c.id for c in self.cast])
        real = {c.id: c.real for c in self.cast}
        self.resource = Resource(self.history, (f"{self.prefix}.{RESOURCE_HOST}", RESOURCE_PORT))
        self.proxy = Proxy(self.rules, real, {c.id: c.front for c in self.cast}, scene.get("seed", 0))
        (self.folder / "partners.zone").write_text("\n".join(self._zone()) + "\n")

    def _zone(self):
        """The zone of all couriers' discovery: no partners; with `service`, the first two as seeds."""
        yield "$TTL 60"
        service = self.scene.get("service")
        for c in self.cast[:2] if service else ():
            yield f"{service} PTR {c.id}.{service}"
            yield f"{c.id}.{service} SRV 0 0 {PORT} {c.id}.members"
            yield f"{c.id}.members A {c.front[0]}"
        if self.traffic:
            yield from self.traffic.zone()

    def who(self, event):
        names = event.get("who") or list(self.by_id)
        return [self.by_id[n] for n in map(self.called, names) if n]

    def called(self, name):
        """A member's id; `@leader` and `@holder:TASK` are who it is by now, empty if nobody is known."""
        if not name.startswith("@"):
            return name
        event, field = ("quorum_leader", "leader") if name == "@leader" else ("lease_held", "who")
        task = name.partition(":")[2]
        with self.history.lock:
            for line in reversed(self.history.lines):
                if line.get("event") == event and line.get("task", "") == task and line.get(field):
                    return line[field]
        return ""

    async def act(self, event):
        do = event["do"]
        self.history.add("stage", "at", fault=event)
        if do in SIGNALS:
            for c in self.who(event):
                c.signal(do)
        elif do == "wipe":
            for c in self.who(event):
                c.signal("kill")
                if c.process:
                    c.process.wait()
                shutil.rmtree(c.folder / "state", ignore_errors=True)
                self.history.add(c.id, "signalled", do="wipe")
        elif do == "flip":
            for c in self.who(event):
                path = next((c.folder / "state").glob(event.get("file", "journal")), None)
                if path is not None and path.stat().st_size:
                    self.history.add(c.id, "flipped", **flip(path))
        elif do == "start":
            for c in self.who(event):
                if c.ending:  # as whoever restarts it would wait
                    await asyncio.to_thread(c.end)
                if not c.running():
                    c.start()
        elif do == "offset":
            for c in self.who(event):
                c.offset_ms, c.clock_rate = event.get("ms", 0), event.get("rate", 1.0)
        elif do in ("loss", "delay", "duplicate", "cut"):
            what = {
                "loss": {"loss": event.get("share", 0.0)},
                "delay": {"delay_s": event.get("delay_s", 0.0), "jitter_s": event.get("jitter_s", 0.0)},
                "duplicate": {"duplicate": event.get("share", 0.0)},
                "cut": {"cut": True},
            }[do]
            self.rules.change(event.get("from", ()), event.get("to", ()), **what)
        elif do == "split":
            self.rules.split([[n for n in map(self.called, g) if n] for g in event["groups"]])
        elif do == "heal":
            self.rules.heal()
        elif do in ("garbage", "stranger"):
            await self._strange(event)
        else:
            raise ScenarioError(f"unknown fault {do!r}")

    async def _strange(self, event):
        """Datagrams from no member: random bytes, or well-formed ones of another fleet."""
        import random

        rng = random.Random(event.get("seed", 7))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, (f"{self.prefix}.250", 0)
        )
        try:
            for c in self.who(event):
                for n in range(event.get("count", 20)):
                    if event["do"] == "garbage":
                        data = rng.randbytes(rng.randrange(1, 200))
                    else:
                        ping = {"t": "ping", "from": "x", "from_at": f"{self.prefix}.250:1", "inc": 0}
                        data = wire.encode(ping | {"up": [], "seq": n, "to": c.id}, b"another")
                    transport.sendto(data, (c.real[0], event.get("port", PORT)))
        finally:
            transport.close()

    async def begin(self, late=()):
        """Open the proxy, start the members that are not held back, wait until they serve."""
        more = [LEASES_PORT] if self.leases else []
        await self.proxy.open(more)
        await self.proxy.open_streams(more + ([COPIES_PORT] if self.copies is not None else []))
        if self.leases:
            await self.resource.open()
        if self.traffic:
            self.playing = asyncio.create_task(self.traffic.run(self.started))
        self.history.add("stage", "stage_began", members=len(self.cast), prefix=self.prefix)
        for c in self.cast:
            if c.id not in late:
                c.start()
        began = time.monotonic()
        while not all(c.serving.is_set() for c in self.cast if c.id not in late):
            if time.monotonic() - began > READY_S:
                raise ScenarioError("members did not all serve in time")
            await asyncio.sleep(0.05)
        self.history.add("stage", "serving")
        self.started.set()

    async def hush(self):
        """End the traffic and its stand-ins."""
        if self.traffic and self.traffic.scope:
            self.traffic.scope.cancel()
            await self.playing

    def finish(self):
        """End every member that runs, by its id, and close the proxy and the history."""
        self.history.add("stage", "ending", proxy=self.proxy.counts)
        self._end_all()
        self.proxy.close()
        self.resource.close()
        self.history.close()

    def views(self):
        """Each running member's table as its lines have told it so far: {seer: {id: state}}."""
        with self.history.lock:
            lines = list(self.history.lines)
        views = {}
        for line in lines:
            if line.get("event") == "started":
                views[line["who"]] = {}
            elif line.get("event") == "member" and line["who"] in views:
                views[line["who"]][line["id"]] = line["state"]
        return {c.id: views.get(c.id, {}) for c in self.cast if c.running()}

    async def until(self, test, most_s):
        """Wait until `test(views)` holds; the seconds it took, or None after `most_s`."""
        began = time.monotonic()
        while time.monotonic() - began < most_s:
            if test(self.views()):
                return time.monotonic() - began
            await asyncio.sleep(0.02)
        return None

    async def run(self):
        """The scene to its end; the verdicts."""
        timeline = sorted(self.scene.get("at", []), key=lambda e: e["s"])
        try:
            await self.begin(set(self.scene.get("late", ())))
            began = time.monotonic()
            for event in timeline:
                await asyncio.sleep(max(0, began + event["s"] - time.monotonic()))
                await self.act(event)
            await asyncio.sleep(max(0, began + self.scene["seconds"] - time.monotonic()))
        finally:
            await self.hush()
            await asyncio.to_thread(self.finish)
        lines = judge.read_scene(self.folder / "history.jsonl")
        return judge.judge(lines, self.scene.get("expect", []))

    def _end_all(self):
        for c in self.cast:
            c.ask_to_end()
        for c in self.cast:
            c.end()
        for c in self.cast:
            if c.reader:
                c.reader.join(5)


def flip(path):
    """Flip one bit of a file, a third from its start; where, and how large it is."""
    with open(path, "r+b") as file:
        size = file.seek(0, os.SEEK_END)
        at = file.seek(size // 3)
        byte = file.read(1)[0]
        file.seek(at)
        file.write(bytes([byte ^ 1]))
    return {"at": at, "size": size}


def load(path):
    """A scene from its file; SceneError if it cannot be read."""
    try:
        with open(path, "rb") as file:
            scene = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    if not isinstance(scene.get("members"), int) or not 1 <= scene["members"] <= 60:
        raise ScenarioError(f"{path}: members: from 1 to 60")
    if not isinstance(scene.get("seconds"), int | float) or not 0 < scene["seconds"] <= 3600:
        raise ScenarioError(f"{path}: seconds: above 0, at most 3600")
    return scene


def play(scene, folder):
    """Run a scene (a dict as `load` gives) with its history in `folder`; the verdicts."""
    return asyncio.run(ClusterTestbed(scene, folder).run())
