"""The soak: a courier process that is restarted again and again, with faults on all its sides.

Everything that goes wrong is drawn from a seed: answers, drains, the process's clock and system calls, and
restarts. A `DeliveryLedger` judges the rules by what clients, endpoints and the platform observed. Odd seeds
play an application's file with both fronts and DNS-SD, even ones the platform's configuration and discovery.
"""

import random
import signal
import subprocess
import sys
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import orjson
from anyio.abc import TaskGroup

from pinspread.testbed.clients import Client
from pinspread.testbed.courier_settings import configuration, host
from pinspread.testbed.delivery_ledger import DeliveryLedger, Violation
from pinspread.testbed.faulty_endpoint import AnswerFault, FaultyEndpoint, RandomPlan
from pinspread.testbed.faulty_platform import FaultyPlatform
from pinspread.testbed.faulty_process import ProcessFaults, command
from pinspread.testbed.ledger_clients import (
    CLASS_RULES,
    CONNECTION_ERRORS,
    Load,
    submit_for,
    wait_until_resolved,
)
from pinspread.testbed.ledger_publishers import LedgerPublisher, consume_results
from pinspread.testbed.loopback import listener
from pinspread.testbed.platform_stand_in import DRAINING, READY
from pinspread.testbed.soak_application import write_application

DESTINATIONS = (1, 2)
ENDPOINTS_PER_DESTINATION = 2
LOAD = Load(clients=16, interval_s=0.15, deadline_s=4.0, destinations=DESTINATIONS)
STATUSES = ((200, 80), (503, 10), (429, 5), (500, 5))
PUBLISHERS = 8
FAULT_SHARE = 0.08
PLATFORM_STATUSES = ((204, 19), (500, 1))
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL
DOWN_S = 0.6  # from SIGKILL to the next start
READY_TIMEOUT_S = 10.0
POLL_S = 0.02
RESTART_INTERVAL_S = (3.0, 7.0)
DRAIN_INTERVAL_S = (0.5, 2.0)
CLOCK_STEPS_S = (0.0, 0.0, 5.0, -5.0, 3600.0, -3600.0)
SOCKET_FAILURES = (0.0, 0.01, 0.03)
PLATFORM_FAULTS = (AnswerFault.COPY_AT_ONCE, AnswerFault.COPY_LATER, AnswerFault.PIECES, AnswerFault.CUT)


class SoakResult(NamedTuple):
    """What a seed showed.

    Attributes:
        seed: The seed.
        accepted: How many messages were accepted.
        calls: How many calls the endpoints received.
        restarts: How many times the courier was restarted.
        violations: The broken rules.
        crashes: The exit codes of processes that ended by themselves.
    """

    seed: int
    accepted: int
    calls: int
    restarts: int
    violations: list[Violation]
    crashes: list[int]

    @property
    def clean(self) -> bool:
        """Whether no rule was broken and no process ended by itself."""
        return not self.violations and not self.crashes

    def __str__(self) -> str:
        """Format the result as one line."""
        broken = sorted({violation.rule.name for violation in self.violations})
        verdict = "clean" if self.clean else f"BROKEN {', '.join(broken)} crashes {self.crashes}"
        return (
            f"seed {self.seed}: {verdict}; {self.accepted} accepted, {self.calls} calls,"
            f" {self.restarts} restarts, {len(self.violations)} violations"
        )


@dataclass
class SoakCourier:
    """The courier over its restarts.

    Attributes:
        folder: Where its configuration, state folder and log are.
        address: Where it listens, host:port.
        ledger: Receives its restarts.
        random: Draws its faults and restarts.
        amqp: The address of its AMQP front, host:port; "" for none.
        arguments: The arguments of its command.
        crashes: The exit codes of processes that ended by themselves.
    """

    folder: Path
    address: str
    ledger: DeliveryLedger
    random: random.Random
    amqp: str = ""
    arguments: list[str] = field(default_factory=list)
    crashes: list[int] = field(default_factory=list)
    _process: subprocess.Popen[bytes] | None = None
    _starts: int = 0

    def configure(self, platform: str, hosts: list[dict[str, Any]]) -> None:
        """Write its configuration: the platform's form, or with an AMQP front an application's file."""
        state = self.folder / "state"
        state.mkdir()
        if self.amqp:
            self.arguments = write_application(self.folder, self.address, self.amqp, platform, hosts)
            return
        settings = configuration(state) | {"listen": self.address, "discovery": platform}
        settings["known"]["hosts"] = hosts
        (self.folder / "config.json").write_bytes(orjson.dumps(settings))

    async def start(self) -> None:
        """Start a process with faults drawn anew, and wait until it answers.

        Raises:
            TimeoutError: It did not answer in time.
        """
        faults = self._draw_faults()
        environment = faults.environment() | {"RELAY_CONFIG": str(self.folder / "config.json")}
        with open(self.folder / "courier.log", "ab") as log:
            log.write(f"start {self._starts}: {faults}\n".encode())
            log.flush()
            self._process = subprocess.Popen(
                command(*self.arguments), env=environment, stdout=log, stderr=log
            )
        self._starts += 1
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self._answers():
                await anyio.sleep(POLL_S)

    def _draw_faults(self) -> ProcessFaults:
        draw = self.random
        fails_s = draw.uniform(1, 4)
        return ProcessFaults(
            seed=draw.randrange(1 << 30),
            clock_step_s=draw.choice(CLOCK_STEPS_S),
            clock_after_s=draw.choice((0.0, 2.0)),
            socket_failures=draw.choice(SOCKET_FAILURES),
            folder_fails_s=draw.choice(((0.0, 0.0), (fails_s, fails_s + draw.uniform(0.1, 1.0)))),
        )

    async def _answers(self) -> bool:
        client = Client(self.address)
        try:
            return (await client.say("PING")).startswith("+PONG")
        except CONNECTION_ERRORS:
            return False
        finally:
            if client.stream is not None:
                await client.stream.aclose()

    async def restart_forever(self) -> None:
        """Restart it at random times until cancelled, by SIGKILL or by SIGTERM with SIGKILL behind it."""
        while True:
            await anyio.sleep(self.random.uniform(*RESTART_INTERVAL_S))
            begun_s = time.monotonic()
            await self._end(gracefully=self.random.random() < 0.5)
            await anyio.sleep(DOWN_S)
            with anyio.CancelScope(shield=True):
                await self.start()
            self.ledger.restarted(begun_s)

    async def _end(self, gracefully: bool) -> None:
        process = self._process
        if process is None:
            return
        if process.poll() is not None:
            self.crashes.append(process.returncode)
        elif gracefully:
            process.send_signal(signal.SIGTERM)
            with anyio.move_on_after(KILL_AFTER_S):
                while process.poll() is None:
                    await anyio.sleep(POLL_S)
        self.kill()

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


async def change_endpoints(platform: FaultyPlatform, draw: random.Random) -> None:
    """Drain endpoints and make them ready again, repeat lines and end watches, at random until cancelled."""
    while True:
        await anyio.sleep(draw.uniform(*DRAIN_INTERVAL_S))
        name = draw.choice(list(platform.hosts))
        event = draw.random()
        if event < 0.6:
            draining = platform.hosts[name]["health"] == DRAINING
            platform.change(name, READY if draining else DRAINING)
        elif event < 0.8:
            platform.repeat_last_line()
        else:
            platform.end_watches()


async def play(seed: int, seconds: float, folder: Path) -> SoakResult:
    """Play one seed.

    Args:
        seed: The seed of everything that is drawn.
        seconds: How long clients submit messages.
        folder: An empty folder, where the courier's log is left.
    """
    draw = random.Random(seed)
    ledger = DeliveryLedger(CLASS_RULES)
    platform = FaultyPlatform(
        ledger, RandomPlan(seed, PLATFORM_FAULTS, FAULT_SHARE, PLATFORM_STATUSES, (0.0, 0.01))
    )
    amqp = _free_address() if seed % 2 else ""
    courier = SoakCourier(folder, _free_address(), ledger, random.Random(draw.random()), amqp)
    async with AsyncExitStack() as servers, anyio.create_task_group() as tasks:
        endpoints = await _serve_endpoints(seed, ledger, platform, servers, tasks)
        discovery_sock, discovery = listener()
        servers.callback(discovery_sock.close)
        tasks.start_soon(platform.run, discovery_sock)
        courier.configure(discovery, list(platform.hosts.values()))
        try:
            await courier.start()
            await _run_traffic(seed, seconds, courier, platform, draw)
        finally:
            courier.kill()
        tasks.cancel_scope.cancel()
    return SoakResult(
        seed,
        sum(message.accepted_s is not None for message in ledger.messages.values()),
        sum(len(endpoint.requests) for endpoint in endpoints),
        len(ledger.restarts),
        ledger.violations(),
        courier.crashes,
    )


async def _serve_endpoints(
    seed: int, ledger: DeliveryLedger, platform: FaultyPlatform, servers: AsyncExitStack, tasks: TaskGroup
) -> list[FaultyEndpoint]:
    endpoints = []
    faults = list(AnswerFault)[1:]
    for destination in DESTINATIONS:
        for number in range(ENDPOINTS_PER_DESTINATION):
            name = f"s-{destination}-{number}"
            plan = RandomPlan(seed + 10 * destination + number, faults, FAULT_SHARE, STATUSES, (0.005, 0.08))
            endpoint = FaultyEndpoint(ledger, name, destination, plan)
            sock, address = listener()
            servers.callback(sock.close)
            tasks.start_soon(endpoint.run, sock)
            platform.hosts[name] = host(name, address, destination)
            endpoints.append(endpoint)
    return endpoints


async def _run_traffic(
    seed: int, seconds: float, courier: SoakCourier, platform: FaultyPlatform, draw: random.Random
) -> None:
    async with anyio.create_task_group() as faults:
        faults.start_soon(courier.restart_forever)
        if courier.amqp:
            faults.start_soon(consume_results, courier.amqp, courier.ledger)
        else:
            faults.start_soon(change_endpoints, platform, random.Random(draw.random()))
        async with anyio.create_task_group() as publishers:
            for number in range(PUBLISHERS if courier.amqp else 0):
                publisher = LedgerPublisher(number, courier.amqp, courier.ledger, LOAD, seed)
                publishers.start_soon(publisher.run)
            publishers.start_soon(_cancel_after, seconds, publishers.cancel_scope)
            await submit_for(seconds, courier.address, courier.ledger, seed, LOAD)
        await wait_until_resolved(courier.ledger, LOAD)
        faults.cancel_scope.cancel()


async def _cancel_after(seconds: float, scope: anyio.CancelScope) -> None:
    await anyio.sleep(seconds)
    scope.cancel()


def _free_address() -> str:
    sock, address = listener()
    sock.close()
    return address


def replay_command(seed: int, seconds: float) -> str:
    """Return the command that plays a seed again."""
    return f"{Path(sys.executable).name} -m pinspread stage soak --seed {seed} --seconds {seconds:g}"
