"""Stand-ins for the platform, endpoints and clients, and a courier process; the standard library alone.

Each follows the users' protocol page. Where that page is silent, it behaves like a sound server or client.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
EMPTY_LINE_INTERVAL_S = 2.0
CLIENT_TIMEOUT_S = 0.4
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL
RESTART_AFTER_S = 0.6  # from SIGKILL to the next start
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def free_port() -> int:
    """Return a TCP port of loopback that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


class Record:
    """The file `record.txt`: one line an event, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w")  # noqa: SIM115 (closed with the process)
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, *parts: object) -> None:
        """Write a line."""
        print(f"{self.now():9.4f}", *parts, file=self.file, flush=True)


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes] | None:
    """Read one HTTP request: method, target, headers by lower-case name, body; None at the stream's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


class HttpParty:
    """An HTTP server on a port of its own, which keeps connections alive unless told to close."""

    def __init__(self) -> None:
        self.port = 0
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or again on the one it had."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{self.port}"

    async def stop(self) -> None:
        """Stop listening and reset all connections, as when its process ends."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self.reply(request, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if request[2].get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer is gone, or the case is over
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(
        self, request: tuple[str, str, dict[str, str], bytes], writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the bytes of the answer; None to end the connection."""
        raise NotImplementedError


def http_answer(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Encode an answer."""
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Platform(HttpParty):
    """The agent of one courier: the endpoint list, watches, and the receiver of notices.

    Attributes:
        hosts: The entries of the list, by id.
        notices: When the first notice of each message came, by the message's id, and its state.
        watches: How many watches have been opened.
    """

    def __init__(self, name: str, record: Record) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.sequence = 1
        self.hosts: dict[str, dict[str, object]] = {}
        self.notices: dict[str, tuple[float, str]] = {}
        self.watches = 0
        self.changes: list[tuple[int, dict[str, object]]] = []
        self.queues: set[asyncio.Queue[dict[str, object]]] = set()

    def add(self, host: str, dial: str, block: int, kind: str = "small") -> None:
        """Put an endpoint on the list before the start."""
        entry = {"host": host, "dial": dial, "site": "one", "class": kind, "block": block}
        self.hosts[host] = entry | {"health": "ready", "share": 20.0, "born_ms": 0}

    def whole(self) -> dict[str, object]:
        """Return the whole list."""
        return {"seq": self.sequence, "whole": True, "hosts": list(self.hosts.values())}

    async def reply(
        self, request: tuple[str, str, dict[str, str], bytes], writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Take notices, serve the list, or a watch."""
        method, target, _, body = request
        if method == "POST":
            for line in body.splitlines():
                notice = json.loads(line)
                self.notices.setdefault(notice["id"], (self.record.now(), notice["state"]))
                self.record.write(f"platform {self.name}: notice", notice)
            return http_answer(204)
        if "watch=1" not in target:
            return http_answer(200, {}, json.dumps(self.whole()).encode())
        self.watches += 1
        self.record.write(f"platform {self.name}: watch opened", target)
        writer.write(WATCH_HEAD)
        line = json.dumps(self.whole()).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            line = b"\n"
            await asyncio.sleep(EMPTY_LINE_INTERVAL_S)


class Endpoint(HttpParty):
    """One endpoint: answers each call with what `choose` returns for its id, after a service time.

    Attributes:
        runs: How often each message has run, by its id.
        delivered: When the first 200 of each message was written, by the message's id.
    """

    def __init__(self, name: str, record: Record, choose: Callable[[str], int], service_s: float) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.choose = choose
        self.service_s = service_s
        self.runs: dict[str, int] = {}
        self.delivered: dict[str, float] = {}

    async def reply(
        self, request: tuple[str, str, dict[str, str], bytes], writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Run a call and answer it; probes are answered 200."""
        method, _, headers, _ = request
        if method != "POST":
            return http_answer(200)
        id_ = headers["request-id"]
        self.runs[id_] = self.runs.get(id_, 0) + 1
        await asyncio.sleep(self.service_s)
        status = self.choose(id_)
        self.record.write(f"endpoint {self.name}: {id_} answered {status}")
        if status == 200:
            self.delivered.setdefault(id_, self.record.now())
        return http_answer(status)


def traffic_class(name: str, effect: str, deadline_s: float, **more: object) -> dict[str, object]:
    """Return a class of the settings."""
    second = 1_000_000_000
    return {
        "name": name,
        "effect": effect,
        "aimNs": 2 * second,
        "deadlineNs": int(deadline_s * second),
        "group": "all",
        "windowNs": 25 * second,
        "lateShare": 0.5,
        "value": 1.0,
        "streamed": False,
        **more,
    }


def small_settings() -> dict[str, object]:
    """Return settings like those of a small deployment: two couriers, one zone, three classes."""
    second = 1_000_000_000
    return {
        "az": 0,
        "balancers": 2,
        "clients": {"marksRetry": False},
        "lanes": [
            traffic_class("change", "by_key", 24, serialByKey=True),
            traffic_class("status", "repeatable", 16),
            traffic_class("payment", "once", 20),
        ],
        "me": 0,
        "membershipMode": "pushed",
        "overShareWorth": 0.2,
        "policyLimits": {
            "dialTimeoutNs": second,
            "keepaliveNs": 15 * second,
            "maxRetryAfterNs": 2 * second,
            "mayCancel": True,
            "mayDuplicate": False,
            "mayTell": False,
            "mostHeld": 229,
            "multiplex": 8,
            "probes": True,
            "retryAfter": True,
            "sendCap": 6,
        },
        "prices": {"handshake": 0.02, "crossZone": 0.0, "probe": 0.014},
        "projects": [{"name": "north", "quotaRps": 30.0, "share": 1.0}],
        "report": {"fields": [], "how": "none"},
        "rules": {
            "answerSlackNs": 20_000_000,
            "coldFrom": 0.2,
            "coldNs": 9 * second,
            "drainGraceNs": 250_000_000,
            "mustAskInNs": 10 * second,
            "orderPauseNs": 0,
            "tipAfterNs": 1_500_000_000,
            "tipMultiple": 2.0,
        },
        "serviceType": "deliver",
        "shapes": ["big", "small"],
        "specifics": {
            "bundleMax": [1, 1],
            "callsOut": 9,
            "kindApart": [False, False],
            "late": "halves",
            "zoneFee": [0.0],
        },
        "weights": "nominal",
        "worthBy": "request",
        "zones": ["one"],
    }


class Courier:
    """A courier process, started by the command `run` of the deploy file.

    Attributes:
        configuration: What its configuration file holds; `write` writes it.
        environment: The variables that tell it of its addresses and folders.
    """

    def __init__(self, folder: Path, platform: Platform, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.port = free_port()
        self.address = f"{LOOPBACK}:{self.port}"
        self.file = folder / "config.json"
        self.log_path = folder / "courier.log"
        self.process: subprocess.Popen[bytes] | None = None
        for name in ("state", "tmp"):
            (folder / name).mkdir(exist_ok=True)
        self.configuration: dict[str, object] = {
            "name": "n1",
            "listen": self.address,
            "discovery": platform.address,
            "state": str(folder / "state"),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": platform.whole(),
            "settings": small_settings(),
        }
        self.environment = os.environ | {
            "RELAY_NAME": "n1",
            "RELAY_LISTEN": self.address,
            "RELAY_DISCOVERY": platform.address,
            "RELAY_STATE": str(folder / "state"),
            "RELAY_CONFIG": str(self.file),
            "TMPDIR": str(folder / "tmp"),
        }

    def write(self, configuration: dict[str, object] | None = None) -> None:
        """Write the configuration file: `configuration`, or the courier's own."""
        self.file.write_text(json.dumps(configuration or self.configuration))

    async def start(self) -> None:
        """Start the process and wait until it answers PING.

        Raises:
            RuntimeError: It ends before that, or is not ready within 30 s.
        """
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=self.environment, stdout=log, stderr=log
            )
        self.record.write("courier started")
        for _ in range(600):
            if self.process.poll() is not None:
                raise RuntimeError(f"the courier ended with {self.process.returncode} at its start")
            if await self._pong():
                self.record.write("courier ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the courier was not ready within 30 s")

    async def _pong(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        except OSError:
            return False
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            return await asyncio.wait_for(reader.readline(), 1.0) == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.record.write("signal", signal.Signals(number).name)
            self.process.send_signal(number)

    async def ended(self, within_s: float) -> bool:
        """Wait until the process has ended; return whether it has within that time."""
        until = time.monotonic() + within_s
        while self.process is not None and self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        ended = self.process is None or self.process.poll() is not None
        if ended and self.process is not None:
            self.record.write("courier ended with", self.process.returncode)
        return ended

    def kill(self) -> None:
        """End the process at once, for good."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def logged(self, words: str) -> int:
        """Return how many lines of its log hold these words."""
        return sum(words in line for line in self.log_path.read_text(errors="replace").splitlines())


def enqueue(id_: str, options: str, body: bytes = b"hello", key: str = "0000000000000000") -> bytes:
    """Encode an ENQUEUE command."""
    parts = [b"ENQUEUE", key.encode(), id_.encode(), options.encode(), body]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


async def hand_in(port: int, command: bytes) -> str:
    """Hand in one message on a new connection; return the answer's line, or "" without one in 400 ms."""
    writer = None
    try:
        async with asyncio.timeout(CLIENT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(command)
            return (await reader.readline()).decode("latin-1").strip()
    except (OSError, TimeoutError):
        return ""
    finally:
        if writer is not None:
            writer.close()


async def until(condition: Callable[[], bool], within_s: float) -> bool:
    """Wait until a condition holds; return whether it did within that time."""
    end = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.01)
    return True


def play(case: Callable[[Path, Record, bool], object], folder: Path) -> int:
    """Run a case in a temporary folder; return the exit code: 0 held, 1 broken, 2 could not run."""
    import tempfile

    signal.signal(signal.SIGTERM, signal.default_int_handler)  # a script that is told to end ends its courier
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble", trouble)
    code = 2
    with tempfile.TemporaryDirectory() as temporary, contextlib.suppress(KeyboardInterrupt):
        try:
            code = asyncio.run(asyncio.wait_for(case(Path(temporary), record, trouble), 110))
        except Exception as error:
            record.write("could not run:", repr(error))
    record.write("exit code", code)
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    return code
