"""The admin server under load and among silent connections, and the time of an upgrade, on real processes.

    .venv/bin/python benchmarks/daily.py [--calls 200] [--silent 300] [--upgrades 3]

All connections are on loopback. Prints the share of answers within 1 s, their median and longest time in
milliseconds, and for each upgrade how long the new process took until it was ready, and how many messages of
the load met a refused, reset or silent connection.
"""

import argparse
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
import orjson

from pinspread import sockets
from pinspread.testbed.clients import Client
from pinspread.testbed.courier_settings import configuration, host
from pinspread.testbed.loopback import listener, serve_on_loopback
from pinspread.testbed.stand_ins import HttpStandIn


class Processes:
    """Successive processes of one courier, which inherit its listening socket."""

    def __init__(self, folder, endpoint, platform):
        self.sock, self.address = listener()
        self.folder = Path(folder)
        (self.folder / "state").mkdir()
        base_configuration = configuration(self.folder / "state")
        base_configuration["known"]["hosts"] = [host("s-1", endpoint)]
        self.configuration = base_configuration | {"listen": self.address, "discovery": platform}
        self.count = 0

    def start(self):
        """Start another process; return the address of its admin server, and the process."""
        self.count += 1
        admin_address = f"127.77.{os.getpid() % 250}.{self.count}:9600"
        file = self.folder / "config.json"
        file.write_bytes(orjson.dumps(self.configuration | {"admin_addr": admin_address}))
        env = os.environ | {"RELAY_CONFIG": str(file), "RELAY_PASSED_SOCKET": str(self.sock.fileno())}
        command = [sys.executable, "-m", "pinspread"]
        devnull = subprocess.DEVNULL
        return admin_address, subprocess.Popen(
            command, env=env, pass_fds=[self.sock.fileno()], stdout=devnull
        )


async def ask_ready(admin_address):
    """Ask whether the process is ready; return the seconds until the answer, and its status, 0 for none."""
    began = time.monotonic()
    try:
        connection = await sockets.dial(admin_address)
        await connection.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        with anyio.fail_after(5):
            status = int((await connection.read()).split(b" ", 2)[1])
        connection.close()
    except (OSError, TimeoutError, IndexError):
        status = 0
    return time.monotonic() - began, status


async def wait_until_ready(admin_address):
    """Wait until the admin server answers that the process is ready; return the seconds that took."""
    began = time.monotonic()
    while (await ask_ready(admin_address))[1] != 200:
        await anyio.sleep(0.01)
    return time.monotonic() - began


async def load(address, errors, stop):
    """Submit messages until `stop` is set; errors of messages are added to `errors`."""
    client, n = Client(address, reconnect=True), 0
    while not stop.is_set():
        n += 1
        try:
            with anyio.fail_after(0.4):
                await client.enqueue("status-update", f"{id(client):x}.{n}")
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
            errors.append(repr(error))
            client = Client(address, reconnect=True)
        await anyio.sleep(0.01)


async def main(options):
    """Measure the admin server under load and among silent connections, then upgrades; print the figures."""
    stop, errors = anyio.Event(), []
    platform = HttpStandIn(lambda request: (204 if request[2] == "/v2/finals" else 503, [], b""))
    with tempfile.TemporaryDirectory() as folder:
        async with (
            serve_on_loopback(HttpStandIn()) as endpoint,
            serve_on_loopback(platform) as platform_address,
        ):
            processes = Processes(folder, endpoint, platform_address)
            admin_address, process = processes.start()
            await wait_until_ready(admin_address)
            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(load, processes.address, errors, stop)
                silent_connections = [await sockets.dial(processes.address) for _ in range(options.silent)]
                silent_connections += [await sockets.dial(admin_address) for _ in range(options.silent // 4)]
                answers = [await ask_ready(admin_address) for _ in range(options.calls)]
                times = sorted(1000 * seconds for seconds, status in answers if status == 200)
                share = sum(t < 1000 for t in times) / options.calls
                print(
                    f"admin server: {share:.3f} in time,"
                    f" median {statistics.median(times):.1f} ms, longest {times[-1]:.1f} ms"
                )
                for connection in silent_connections:
                    connection.close()
                for n in range(options.upgrades):
                    new_admin_address, new = processes.start()
                    took = await wait_until_ready(new_admin_address)
                    process.send_signal(signal.SIGTERM)
                    await anyio.to_thread.run_sync(process.wait)
                    process = new
                    print(
                        f"upgrade {n + 1}: ready after {took:.2f} s, {len(errors)} messages met errors so far"
                    )
                stop.set()
            process.send_signal(signal.SIGTERM)
            await anyio.to_thread.run_sync(process.wait)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for name, value in (("calls", 200), ("silent", 300), ("upgrades", 3)):
        parser.add_argument(f"--{name}", type=int, default=value)
    anyio.run(main, parser.parse_args())
