"""Plays a scenario of the simulation on real sockets, with real couriers and stand-ins for other parties.

Destinations (limits, queues, outages, warming up) are the simulation's `destination.Destination` on a real
clock; the network's delays are waits. Couriers are real processes, started and killed as the scenario says,
and each of them has its own addresses for every other party.
"""

import tempfile
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from pinspread import sockets
from pinspread.simulation import metrics
from pinspread.simulation.engine import SECOND
from pinspread.simulation.model import FleetModel
from pinspread.simulation.scenario import Scenario
from pinspread.testbed.client_traffic import ClientTraffic
from pinspread.testbed.courier_logs import read_logs
from pinspread.testbed.courier_process import CourierProcess
from pinspread.testbed.endpoint_stand_in import EndpointStandIn
from pinspread.testbed.loopback import ConditionTimeoutError, wait_until
from pinspread.testbed.platform_faults import FaultSchedule
from pinspread.testbed.platform_run import PlatformRun
from pinspread.testbed.platform_stand_in import PlatformStandIn

LEAD_NS = SECOND // 5  # from when all couriers are ready to the scenario's beginning
FINAL_GRACE_S = 2.0  # after the longest deadline


class PlatformTestbed:
    """A scenario of the simulation, played on loopback.

    Attributes:
        run: The state and counters that the parts share, from which the metrics are computed.
    """

    def __init__(self, model: FleetModel, scenario: Scenario, folder: Path | str) -> None:
        # Each play of a scenario uses the same message ids. With the journals of an earlier play, couriers
        # would treat these messages as ended.
        Path(folder).mkdir(parents=True, exist_ok=True)
        self.folder = Path(tempfile.mkdtemp(prefix="play-", dir=folder))
        self.run = PlatformRun(model, scenario)
        self.couriers: list[CourierProcess] = []
        self.platforms: list[PlatformStandIn] = []

    async def play(self) -> dict[str, Any]:
        """Play the scenario and return its metrics, with further counts of the test bed."""
        with ExitStack() as open_sockets:
            async with anyio.create_task_group() as tasks:
                traffic = ClientTraffic(self.run, self.couriers, tasks)
                self._start_stand_ins(traffic, open_sockets, tasks)
                try:
                    await self._start_couriers()
                    FaultSchedule(self.run, tasks, self.couriers, self.platforms).start()
                    await traffic.submit_all()
                    await self._wait_for_finals()
                finally:
                    for courier in self.couriers:
                        courier.kill_if_running()
                tasks.cancel_scope.cancel()
        return self._measure()

    def _start_stand_ins(self, traffic: ClientTraffic, open_sockets: ExitStack, tasks: TaskGroup) -> None:
        """Start the stand-ins of each courier, and create its process object."""
        for number in range(self.run.model.couriers.count):
            platform = PlatformStandIn(self.run, number, traffic.on_final)
            self.platforms.append(platform)
            sock = sockets.listen(self.run.addresses.platform(number))
            open_sockets.callback(sock.close)
            tasks.start_soon(platform.run, sock)
            for endpoint in self.run.endpoints.values():
                tasks.start_soon(EndpointStandIn(self.run, endpoint, number).listen)
            self.couriers.append(CourierProcess(self.run, platform, self.folder))

    async def _start_couriers(self) -> None:
        """Start all couriers; the scenario begins shortly after the last is ready."""
        for courier in self.couriers:
            courier.start()
        for courier in self.couriers:
            await courier.wait_until_ready()
        self.run.engine.start_ns = time.monotonic_ns() + LEAD_NS

    async def _wait_for_finals(self) -> None:
        """Wait for the scenario's end, then until all messages have ended or must have ended."""
        run = self.run
        await anyio.sleep(run.engine.seconds_until(run.scenario.length_ns))
        longest_s = max(traffic_class.deadline_s for traffic_class in run.model.classes) + FINAL_GRACE_S
        with suppress(ConditionTimeoutError):  # `_measure` counts open messages as lost
            await wait_until(lambda: not run.open_messages(), longest_s)

    def _measure(self) -> dict[str, Any]:
        run = self.run
        lost = len(run.open_messages())
        violations = {"final": lost, "drain": run.calls_after_drain}
        read_logs(run, [(courier.number, courier.log_path) for courier in self.couriers])
        measured: dict[str, Any] = metrics.measure(run, {rule: n for rule, n in violations.items() if n})
        return measured | {
            "lost": lost,
            "taken": len(run.accepted),
            "unheard": run.unheard,
            "boots_s": [took for courier in self.couriers for took in courier.start_times_s[1:]],
        }


def play(model: FleetModel, scenario: Scenario, folder: Path | str) -> dict[str, Any]:
    """Play a scenario on loopback, with logs and journals in a new folder in `folder`; return its metrics."""
    return anyio.run(PlatformTestbed(model, scenario, folder).play)
