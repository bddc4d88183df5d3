"""Plays a scenario of the simulation on real sockets, with real couriers among stand-ins.

What destinations decide (limits, queues, outages, warming up) is the simulation's `destination.Destination`
on a real clock; the network's delays are waits. Couriers are real processes, started and killed as the
scenario says, and each reaches every other party at addresses of its own.
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

LEAD_NS = SECOND // 5  # from all couriers ready to the scenario's beginning
FINAL_GRACE_S = 2.0  # after the longest deadline


class PlatformTestbed:
    """A scenario on loopback.

    Attributes:
        run: What the parts share and count; after `play`, what the metrics measure.
    """

    def __init__(self, model: FleetModel, scenario: Scenario, folder: Path | str) -> None:
        # Message ids come again with each play of a scenario: the journal of an earlier play would have the
        # couriers take them for finished.
        Path(folder).mkdir(parents=True, exist_ok=True)
        self.folder = Path(tempfile.mkdtemp(prefix="play-", dir=folder))
        self.run = PlatformRun(model, scenario)
        self.couriers: list[CourierProcess] = []
        self.platforms: list[PlatformStandIn] = []

    async def play(self) -> dict[str, Any]:
        """Play the scenario; its metrics, with what the stand-ins counted beside them."""
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
                        courier.end()
                tasks.cancel_scope.cancel()
        return self._measure()

    def _start_stand_ins(self, traffic: ClientTraffic, open_sockets: ExitStack, tasks: TaskGroup) -> None:
        """Start the stand-ins of each courier, and prepare its process."""
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
        """Wait for the scenario's end, and then until all messages have ended or must have."""
        run = self.run
        await anyio.sleep(run.engine.seconds_until(run.scenario.length_ns))
        longest_s = max(one.deadline_s for one in run.model.classes) + FINAL_GRACE_S
        with suppress(ConditionTimeoutError):  # `_measure` counts what is open as lost
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
    """Play a scenario on loopback, with logs and journals in a new folder under `folder`; its metrics."""
    return anyio.run(PlatformTestbed(model, scenario, folder).play)
