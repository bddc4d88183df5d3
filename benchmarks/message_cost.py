"""Processor time per message, memory and start-up time of couriers of several checkouts.

    .venv/bin/python benchmarks/message_cost.py CHECKOUT [CHECKOUT ...] [--rounds 5] [--messages 4000]

Each round starts one courier of each checkout in turn, on loopback, submits messages on a few connections and
waits until a stand-in endpoint has received them all. Prints, for each checkout, the median and the minimum
over the rounds of: milliseconds of processor time from the start to PONG, microseconds of processor time per
message, and megabytes of resident memory at the end.
"""

import argparse
import os
import signal
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import anyio
import orjson

from pinspread.testbed.clients import Client
from pinspread.testbed.courier_settings import configuration, host
from pinspread.testbed.loopback import listener, serve_on_loopback, wait_until
from pinspread.testbed.stand_ins import HttpStandIn

CLIENTS = 8
WARM_UP_MESSAGES = 500
LIST_WEIGHT = 5000.0  # calls per second in the endpoint's list entry: so many that no rate limit is reached
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TIMEOUT_S = 120.0


class Cost(NamedTuple):
    """Processor time and memory that one courier used."""

    start_ms: float
    message_us: float
    memory_mb: float


def processor_s(pid: int) -> float:
    """Return the user and system time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    status = Path(f"/proc/{pid}/status").read_text().split()
    return int(status[status.index("VmRSS:") + 1]) / 1024


async def ping(address: str) -> None:
    """Wait until a courier answers PONG."""
    with anyio.fail_after(TIMEOUT_S):
        while True:
            try:
                if (await Client(address).say("PING")).startswith("+PONG"):
                    return
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                await anyio.sleep(0.02)


async def submit(client: Client, prefix: str, count: int) -> None:
    """Submit messages one after the other; a rejected one is submitted again."""
    for number in range(count):
        while not (await client.enqueue("status-update", f"{prefix}.{number}")).startswith("+"):
            await anyio.sleep(0.01)


async def load(address: str, endpoint: HttpStandIn, prefix: str, count: int) -> None:
    """Submit messages on a few connections, and wait until the endpoint has received them all."""
    before = len(endpoint.requests)
    async with anyio.create_task_group() as tasks:
        for number in range(CLIENTS):
            tasks.start_soon(submit, Client(address), f"{prefix}.{number}", count // CLIENTS)
    await wait_until(lambda: len(endpoint.requests) - before >= count // CLIENTS * CLIENTS, TIMEOUT_S)


async def measure(checkout: Path, messages: int) -> Cost:
    """Run one courier of a checkout under load, and return its cost."""
    endpoint = HttpStandIn()
    platform = HttpStandIn(lambda request: (204 if request.method == "POST" else 503, [], b""))
    sock, address = listener()
    sock.close()
    with tempfile.TemporaryDirectory() as folder:
        async with (
            serve_on_loopback(endpoint) as endpoint_address,
            serve_on_loopback(platform) as platform_address,
        ):
            config = configuration(Path(folder) / "state", mostHeld=1000)
            config |= {"listen": address, "discovery": platform_address}
            config["known"]["hosts"] = [host("s-1", endpoint_address) | {"share": LIST_WEIGHT}]
            (Path(folder) / "state").mkdir()
            file = Path(folder) / "config.json"
            file.write_bytes(orjson.dumps(config))
            env = os.environ | {"RELAY_CONFIG": str(file)}
            command = [sys.executable, "-m", "pinspread"]
            with subprocess.Popen(command, cwd=checkout, env=env, stdout=subprocess.DEVNULL) as process:
                try:
                    await ping(address)
                    start_s = processor_s(process.pid)
                    await load(address, endpoint, "warm", WARM_UP_MESSAGES)
                    before_s = processor_s(process.pid)
                    await load(address, endpoint, "m", messages)
                    taken_s = processor_s(process.pid) - before_s
                    memory_mb = resident_mb(process.pid)
                finally:
                    process.send_signal(signal.SIGTERM)
    return Cost(start_s * 1000, taken_s / messages * 1e6, memory_mb)


def main(options: argparse.Namespace) -> None:
    """Measure all checkouts in turn, and print a line for each."""
    costs_by_checkout: dict[Path, list[Cost]] = {checkout: [] for checkout in options.checkouts}
    for _ in range(options.rounds):
        for checkout in options.checkouts:
            costs_by_checkout[checkout].append(anyio.run(measure, checkout, options.messages))
    for checkout, costs in costs_by_checkout.items():
        columns = [
            f"{name} {statistics.median(values):.1f} (minimum {min(values):.1f})"
            for name, values in zip(Cost._fields, zip(*costs, strict=True), strict=True)
        ]
        print(f"{checkout}: {', '.join(columns)}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("checkouts", nargs="+", type=Path, metavar="CHECKOUT")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--messages", type=int, default=4000)
    main(parser.parse_args())
