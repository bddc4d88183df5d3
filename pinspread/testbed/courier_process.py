"""A real courier in its own process, started, restarted and killed as a scenario says."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import anyio
import orjson

from pinspread.simulation.engine import SECOND
from pinspread.testbed.clients import Client
from pinspread.testbed.platform_configuration import courier_configuration
from pinspread.testbed.platform_run import PlatformRun
from pinspread.testbed.platform_stand_in import PlatformStandIn

ROOT = Path(__file__).parents[2]
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 3.7  # from SIGTERM to SIGKILL
POLL_INTERVAL_S = 0.02


class CourierProcess:
    """One courier over its restarts.

    Attributes:
        address: Host and port at which it listens.
        ready: Whether it has answered a PING since its last start.
        idle_clients: Clients whose connections are not in use.
        start_times_s: Seconds from each start to the first PONG.
    """

    def __init__(self, run: PlatformRun, platform: PlatformStandIn, folder: Path) -> None:
        self.run = run
        self.platform = platform
        self.number = platform.courier
        self.folder = folder
        self.address = run.addresses.courier(self.number)
        self.process: subprocess.Popen[bytes] | None = None
        self.idle_clients: list[Client] = []
        self.start_times_s: list[float] = []
        self.ready = False
        self.log_path = folder / f"courier{self.number}.log"
        self._state = folder / f"state{self.number}"
        self._state.mkdir(exist_ok=True)

    def start(self) -> None:
        """Write the configuration and start the process."""
        endpoints = self.platform.endpoint_list()
        configuration = courier_configuration(self.run, self.number, endpoints, str(self._state))
        path = self.folder / f"config{self.number}.json"
        path.write_bytes(orjson.dumps(configuration))
        environment = os.environ | {"RELAY_CONFIG": str(path)}
        command = [sys.executable, "-m", "pinspread"]
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(command, env=environment, stdout=log, stderr=log, cwd=ROOT)

    async def wait_until_ready(self) -> None:
        """Wait for the first PONG, and record how long it took.

        Raises:
            TimeoutError: There was no PONG within `START_TIMEOUT_S`.
        """
        began = time.monotonic()
        with anyio.fail_after(START_TIMEOUT_S):
            while not await self._is_answering():
                await anyio.sleep(POLL_INTERVAL_S)
        self.ready = True
        self.start_times_s.append(round(time.monotonic() - began, 3))

    async def _is_answering(self) -> bool:
        try:
            return (await Client(self.address).say("PING")).startswith("+PONG")
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False

    async def restart(self, gracefully: bool, down_ns: int) -> None:
        """Stop the process by SIGTERM or by SIGKILL, and start it again after `down_ns`."""
        self.ready = False
        if gracefully and self.process is not None:
            self.process.send_signal(signal.SIGTERM)
            with anyio.move_on_after(STOP_TIMEOUT_S):
                while self.process.poll() is None:
                    await anyio.sleep(POLL_INTERVAL_S)
        self.kill_if_running()
        await anyio.sleep(down_ns / SECOND)
        self.start()
        await self.wait_until_ready()

    def kill_if_running(self) -> None:
        """Kill the process if it runs, and wait until it has ended."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
        self.idle_clients.clear()
        self.ready = False
