"""Memory and answer times of a courier while other clients misbehave on its two fronts.

    .venv/bin/python benchmarks/client_floods.py CHECKOUT [--only NAME ...] [--seconds 8] [--clients 480]

Each scenario starts one courier of the checkout on loopback and a process of clients that misbehave: one that
sends small or unsound requests at full speed, or hundreds that stop within a request. Prints, for each: the
resident memory at first and at most, in megabytes, and the slowest answer that a regular client got on each
front meanwhile, in milliseconds; `-` if one got none within 5 s.
"""

import argparse
import multiprocessing
import os
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from itertools import count
from pathlib import Path
from typing import NamedTuple

import anyio
from pamqp import base, body, commands, frame, header, heartbeat

from pinspread.config.template import template
from pinspread.testbed.clients import AmqpClient, Client

CONNECT_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 5.0
PROBE_INTERVAL_S = 0.05
CHANNEL_MAX = 64
FRAME_MAX = 65_536
BODY_BYTES = 65_000
END_S = 2.0  # from the end of the clients that misbehave to the end of the scenario
BATCH = 64  # requests that are written together


class Addresses(NamedTuple):
    """Where a courier listens."""

    resp: tuple[str, int]
    amqp: tuple[str, int]


Probe = Callable[[str, float], Awaitable[float | None]]
"""Returns the slowest answer at an address until a time, in milliseconds; None if there was none."""


class Result(NamedTuple):
    """What a scenario showed."""

    first_mb: float
    peak_mb: float
    resp_ms: float | None
    amqp_ms: float | None


# --- clients that misbehave -----------------------------------------------------------------------------


def connect_amqp(address: tuple[str, int]) -> socket.socket:
    """Open a connection with one channel in confirm mode."""
    sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.sendall(b"AMQP\x00\x00\x09\x01")
    for answer in (
        commands.Connection.StartOk({}, "PLAIN", "\0guest\0guest", "en_US"),
        commands.Connection.TuneOk(CHANNEL_MAX, FRAME_MAX, 30),
    ):
        sock.recv(FRAME_MAX)
        sock.sendall(frame.marshal(answer, 0))
    sock.sendall(frame.marshal(commands.Connection.Open("/"), 0))
    sock.recv(FRAME_MAX)
    for method in (commands.Channel.Open(), commands.Confirm.Select()):
        sock.sendall(frame.marshal(method, 1))
        sock.recv(FRAME_MAX)
    return sock


def publish(headers: dict[str, object], *pieces: bytes) -> bytes:
    """Encode a publish whose body comes in these pieces, each in a frame."""
    properties = commands.Basic.Properties(headers=headers, message_id="x", reply_to="ends")
    size = sum(map(len, pieces))
    frames = [
        frame.marshal(commands.Basic.Publish(0, "", "x"), 1),
        frame.marshal(header.ContentHeader(0, size, properties), 1),
    ]
    return b"".join(frames + [frame.marshal(body.ContentBody(piece), 1) for piece in pieces])


def command(*words: bytes) -> bytes:
    """Encode a RESP command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def amqp_methods(name: str, fresh: str) -> list[tuple[base.Frame, int]]:
    """Return the methods of one request to the AMQP front, with their channels; `fresh` is a new name."""
    reopen = [(commands.Channel.CloseOk(), 2), (commands.Channel.Open(), 2)]
    requests: dict[str, list[tuple[base.Frame, int]]] = {
        "amqp-tags": [(commands.Basic.Consume(0, "q", fresh), 1)],
        "amqp-consumed-queues": [(commands.Basic.Consume(0, fresh, fresh), 1)],
        "amqp-silent-tags": [(commands.Basic.Consume(0, "q", fresh, nowait=True), 1)],
        "amqp-queues": [(commands.Queue.Declare(0, fresh), 1)],
        "amqp-missing-queues": [(commands.Queue.Declare(0, fresh, passive=True), 2), *reopen],
        "amqp-channels": [(commands.Channel.Open(), 2), (commands.Channel.Close(0, "", 0, 0), 2)],
        "amqp-cancels": [(commands.Basic.Consume(0, fresh, "t"), 1), (commands.Basic.Cancel("t"), 1)],
    }
    return requests[name]


def amqp_request(name: str, fresh: str) -> bytes:
    """Return one request of a client that floods the AMQP front."""
    if name == "amqp-heartbeats":
        return heartbeat.Heartbeat().marshal()
    if name == "amqp-unsound-publishes":
        reopen = (commands.Channel.CloseOk(), commands.Channel.Open(), commands.Confirm.Select())
        return publish({"class": fresh}, b"x") + b"".join(frame.marshal(method, 1) for method in reopen)
    return b"".join(frame.marshal(method, channel) for method, channel in amqp_methods(name, fresh))


def resp_request(name: str, fresh: str) -> bytes:
    """Return one request of a client that floods the RESP front."""
    id_ = fresh.encode()
    requests = {
        "resp-pings": (b"PING",),
        "resp-unknown-commands": (id_,),
        "resp-unknown-classes": (b"ENQUEUE", b"0", id_, b"c=%s,t=all,d=9,dest=1" % id_, b"x"),
        "resp-new-ids": (b"ENQUEUE", b"0", id_, b"c=payment,t=all,d=900,dest=1", b"x"),
    }
    return command(*requests[name])


def requests_of(name: str) -> Iterator[bytes]:
    """Yield the requests of one client, each under a new name."""
    encode = amqp_request if name.startswith("amqp") else resp_request
    for number in count():
        yield encode(name, f"name-{number:08}")


def flood(address: tuple[str, int], name: str, until_s: float, *, read: bool) -> None:
    """Send requests on one connection as fast as they are taken, and again on others when it is closed."""
    while time.monotonic() < until_s:
        with suppress(OSError):
            amqp = name.startswith("amqp")
            sock = connect_amqp(address) if amqp else socket.create_connection(address, CONNECT_TIMEOUT_S)
            sock.setblocking(False)
            _write_at_full_speed(sock, requests_of(name), until_s, read=read)


def _write_at_full_speed(
    sock: socket.socket, requests: Iterator[bytes], until_s: float, *, read: bool
) -> None:
    data = b""
    while time.monotonic() < until_s:
        data = data or b"".join(next(requests) for _ in range(BATCH))
        with suppress(BlockingIOError):
            data = data[sock.send(data) :]
        if read:
            with suppress(BlockingIOError):
                if not sock.recv(1 << 20):
                    return


def crowd(addresses: Addresses, name: str, clients: int, until_s: float) -> None:
    """Have hundreds of clients stop within a large request, or send one of very many short fields."""
    short_fields = {f"{number:x}": None for number in range(9000)}
    socks = []
    for _ in range(clients):
        with suppress(OSError):
            if name.startswith("amqp"):
                sock = connect_amqp(addresses.amqp)
                whole = publish(short_fields, b"x")
                if name == "amqp-half":
                    whole = publish({}, b"x" * BODY_BYTES)
                elif name == "amqp-half-content":
                    pieces = [b"x" * (BODY_BYTES // 2), b"x" * (BODY_BYTES // 2)]
                    whole = publish({}, *pieces)
            else:
                sock = socket.create_connection(addresses.resp, CONNECT_TIMEOUT_S)
                options = b"x" if name == "resp-half" else b"a=," * 30_000
                whole = command(
                    b"ENQUEUE", b"0", b"id", options, b"x" * (BODY_BYTES if name == "resp-half" else 1)
                )
            sock.settimeout(1)
            sock.sendall(whole[: -1000 if "half" in name else None])
            socks.append(sock)
    while time.monotonic() < until_s:
        time.sleep(0.1)


AMQP_FLOODS = (
    "amqp-tags",
    "amqp-consumed-queues",
    "amqp-silent-tags",
    "amqp-queues",
    "amqp-missing-queues",
    "amqp-channels",
    "amqp-cancels",
    "amqp-heartbeats",
    "amqp-unsound-publishes",
)
RESP_FLOODS = ("resp-pings", "resp-unknown-commands", "resp-unknown-classes", "resp-new-ids")
CROWDS = ("amqp-half", "amqp-half-content", "amqp-short-fields", "resp-half", "resp-short-fields")


def misbehave(addresses: Addresses, name: str, clients: int, until_s: float) -> None:
    """Play one scenario's clients until a time of the monotonic clock."""
    kind, _, suffix = name.partition("/")
    if kind in CROWDS:
        crowd(addresses, kind, clients, until_s)
    else:
        address = addresses.amqp if kind.startswith("amqp") else addresses.resp
        flood(address, kind, until_s, read=suffix != "unread")


# --- regular clients ------------------------------------------------------------------------------------


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    status = Path(f"/proc/{pid}/status").read_text().split()
    return int(status[status.index("VmRSS:") + 1]) / 1024


async def slowest_resp_ms(address: str, until_s: float) -> float | None:
    """Return the slowest answer to a PING, each on a connection of its own."""
    slowest = 0.0
    while time.monotonic() < until_s:
        start = time.monotonic()
        with anyio.move_on_after(ANSWER_TIMEOUT_S) as scope:
            try:
                client = Client(address)
                assert await client.say("PING") == "+PONG\r\n"
                if client.stream is not None:
                    await client.stream.aclose()
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                pass
        if scope.cancelled_caught:
            return None
        slowest = max(slowest, time.monotonic() - start)
        await anyio.sleep(PROBE_INTERVAL_S)
    return slowest * 1000


async def slowest_amqp_ms(address: str, until_s: float) -> float | None:
    """Return the slowest answer to a declared queue of a client that stays."""
    slowest = 0.0
    client = await AmqpClient.open(address)
    while time.monotonic() < until_s:
        start = time.monotonic()
        with anyio.move_on_after(ANSWER_TIMEOUT_S) as scope:
            await client.wire.send(commands.Queue.Declare(0, "regular"), 1)
            await client.wire.read_method("Queue.DeclareOk")
        if scope.cancelled_caught:
            return None
        slowest = max(slowest, time.monotonic() - start)
        await anyio.sleep(PROBE_INTERVAL_S)
    return slowest * 1000


# --- scenarios ------------------------------------------------------------------------------------------


def _application_file(folder: Path, addresses: Addresses) -> Path:
    text = template("floods").replace("127.0.0.1:6379", "{}:{}".format(*addresses.resp))
    text = text.replace("127.0.0.1:5672", "{}:{}".format(*addresses.amqp))
    text = text.replace('admin = "127.0.0.1:9600"', "").replace('"state"', f'"{folder}/state"')
    text = text.replace("partners.zone", f"{folder}/zone")
    (folder / "zone").write_text(
        "$TTL 60\n_http._tcp PTR b._http._tcp\nb._http._tcp SRV 0 0 9 host\n"
        'b._http._tcp TXT "dest=1" "rate=500"\nhost A 127.0.0.1\n'
    )
    path = folder / "floods.toml"
    path.write_text(text)
    return path


async def _play(name: str, addresses: Addresses, pid: int, seconds: float, clients: int) -> Result:
    resp, amqp = ("{}:{}".format(*address) for address in addresses)
    first_mb = peak_mb = resident_mb(pid)
    until_s = time.monotonic() + seconds
    slowest: dict[str, float | None] = {}
    leave_s = until_s - END_S  # what a courier does when such a client leaves counts as well
    process = multiprocessing.Process(target=misbehave, args=(addresses, name, clients, leave_s))

    async def note(front: str, work: Probe, address: str) -> None:
        slowest[front] = await work(address, until_s)

    async with anyio.create_task_group() as tasks:
        process.start()
        tasks.start_soon(note, "resp", slowest_resp_ms, resp)
        tasks.start_soon(note, "amqp", slowest_amqp_ms, amqp)
        while time.monotonic() < until_s:
            peak_mb = max(peak_mb, resident_mb(pid))
            await anyio.sleep(PROBE_INTERVAL_S)
    await anyio.to_thread.run_sync(process.join)
    return Result(first_mb, peak_mb, slowest["resp"], slowest["amqp"])


async def measure(checkout: str, name: str, seconds: float, clients: int) -> Result:
    """Start a courier of the checkout, and play one scenario."""
    host = f"127.8.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
    addresses = Addresses((host, 7101), (host, 7102))
    with tempfile.TemporaryDirectory() as folder:
        file = _application_file(Path(folder), addresses)
        arguments = [str(Path(".venv/bin/python").absolute()), "-m", "pinspread", "serve", "--app", str(file)]
        environment = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
        process = subprocess.Popen(arguments, cwd=checkout, env=environment, stdout=subprocess.DEVNULL)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                while True:
                    try:
                        assert await Client("{}:{}".format(*addresses.resp)).say("PING") == "+PONG\r\n"
                        break
                    except OSError:
                        await anyio.sleep(PROBE_INTERVAL_S)
            return await _play(name, addresses, process.pid, seconds, clients)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


def main() -> None:
    """Play the scenarios and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("checkout")
    scenarios = [
        *AMQP_FLOODS,
        "amqp-tags/unread",
        "amqp-queues/unread",
        *RESP_FLOODS,
        "resp-pings/unread",
        *CROWDS,
    ]
    parser.add_argument("--only", nargs="*", default=scenarios)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--clients", type=int, default=480)
    arguments = parser.parse_args()
    print(f"{'scenario':26} {'first MB':>9} {'peak MB':>8} {'RESP ms':>8} {'AMQP ms':>8}")
    for name in arguments.only:
        result = anyio.run(measure, arguments.checkout, name, arguments.seconds, arguments.clients)
        times = ["-" if value is None else f"{value:.0f}" for value in (result.resp_ms, result.amqp_ms)]
        print(
            f"{name:26} {result.first_mb:9.0f} {result.peak_mb:8.0f} {times[0]:>8} {times[1]:>8}", flush=True
        )


if __name__ == "__main__":
    main()
