"""The faults of a scenario on real sockets: outages, restarts, and endpoints drained or replaced."""

from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup

from pinspread.simulation.destination import Endpoint, ServingState
from pinspread.simulation.engine import SECOND
from pinspread.simulation.fault_injection import OUTAGE_STATES, REPLACEMENT_OVERLAP_NS
from pinspread.simulation.random_streams import random_stream
from pinspread.simulation.scenario import ScheduledFault
from pinspread.testbed.courier_process import CourierProcess
from pinspread.testbed.endpoint_stand_in import EndpointStandIn
from pinspread.testbed.platform_run import PlatformRun
from pinspread.testbed.platform_stand_in import DRAINING, GONE, READY, PlatformStandIn

RESTARTS = ("restart", "kill")
ENDPOINT_CHANGES = ("drain", "replace")


class FaultSchedule:
    """Causes the scenario's faults at their times.

    Attributes:
        lag_s: For each courier, the seconds from a change of the endpoint list to its notification.
    """

    def __init__(
        self,
        run: PlatformRun,
        tasks: TaskGroup,
        couriers: Sequence[CourierProcess],
        platforms: Sequence[PlatformStandIn],
    ) -> None:
        self.run = run
        self.tasks = tasks
        self.couriers = couriers
        self.platforms = platforms
        low, high = run.model.network.list_late_s
        count = run.model.couriers.count
        self.lag_s: list[float] = random_stream(run.scenario.seed, "lag").uniform(low, high, count).tolist()

    def start(self) -> None:
        """Schedule all faults."""
        for fault in self.run.scenario.faults:
            if fault.kind in OUTAGE_STATES:
                self._schedule_outages(fault)
            elif fault.kind in RESTARTS:
                for number, at_ns in fault.restart_times(len(self.couriers)):
                    self.tasks.start_soon(self._restart, self.couriers[number], at_ns, fault)
            elif fault.kind in ENDPOINT_CHANGES:
                for index in fault.targets:
                    self.tasks.start_soon(self._change_endpoint, self.run.endpoints[index + 1], fault)

    def _schedule_outages(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            destination = self.run.destinations[number]
            state = OUTAGE_STATES[fault.kind]
            outage = (state, fault.until_ns, fault.magnitude, fault.ends_in_slow_start)
            self.run.engine.at(fault.at_ns, destination.start_outage, *outage)
            self.run.engine.at(fault.until_ns, destination.end_outage)

    async def _restart(self, courier: CourierProcess, at_ns: int, fault: ScheduledFault) -> None:
        await anyio.sleep(self.run.engine.seconds_until(at_ns))
        await courier.restart(fault.kind == "restart", fault.down_ns)

    async def _change_endpoint(self, endpoint: Endpoint, fault: ScheduledFault) -> None:
        """Drain an endpoint until the fault ends, or replace it by another at a new address."""
        await anyio.sleep(self.run.engine.seconds_until(fault.at_ns))
        if fault.kind == "drain":
            self._notify(endpoint, DRAINING)
            await anyio.sleep(self.run.engine.seconds_until(fault.until_ns))
            self._notify(endpoint, READY)
            return
        self._notify(self._add_successor(endpoint), READY)
        self._notify(endpoint, DRAINING)
        await anyio.sleep(REPLACEMENT_OVERLAP_NS / SECOND)
        self._notify(endpoint, GONE)
        endpoint.destination.endpoints.remove(endpoint)
        endpoint.state = ServingState.CRASHED
        for stand_in in endpoint.connection_owners:
            stand_in.connection_lost(True)

    def _add_successor(self, endpoint: Endpoint) -> Endpoint:
        """Add an endpoint with the same properties and state as `endpoint`, at a new address."""
        new_id = len(self.run.endpoints) + 1
        successor = Endpoint(
            new_id, endpoint.destination, endpoint.cores, endpoint.queue_limit, endpoint.connection_limit
        )
        successor.state = endpoint.state
        endpoint.destination.endpoints.append(successor)
        self.run.endpoints[new_id] = successor
        for number in range(len(self.couriers)):
            self.tasks.start_soon(EndpointStandIn(self.run, successor, number).listen)
        return successor

    def _notify(self, endpoint: Endpoint, health: str) -> None:
        """Notify all couriers of a change of an endpoint, each after its own delay."""
        for platform, lag_s in zip(self.platforms, self.lag_s, strict=True):
            self.tasks.start_soon(self._notify_late, platform, lag_s, endpoint, health)

    async def _notify_late(
        self, platform: PlatformStandIn, lag_s: float, endpoint: Endpoint, health: str
    ) -> None:
        await anyio.sleep(lag_s)
        draining_since, key = self.run.draining_since, (platform.courier, endpoint.id)
        if health == READY:
            draining_since.pop(key, None)
        else:
            draining_since.setdefault(key, self.run.engine.now)
        platform.update(endpoint, health)
