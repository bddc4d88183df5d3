"""Plays a scenario with couriers of one cluster on loopback: a proxy between them, faults at scheduled times.

`play(scenario, folder)` returns the verdicts; every event goes to `folder/history.jsonl`. Only processes that
were started here are ended, by their process ids, and every wait has a time-out.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from pinspread.testbed import history_checker
from pinspread.testbed.cluster_faults import ClusterFaults
from pinspread.testbed.cluster_scenario import ClusterScenario, FaultEvent, ScenarioError
from pinspread.testbed.history import History
from pinspread.testbed.member_configuration import (
    LEASES_PORT,
    REPLICATION_PORT,
    ZONE_FILE,
    ClusterAddresses,
    zone,
)
from pinspread.testbed.member_process import MemberProcess
from pinspread.testbed.proxy import LinkRules, Proxy
from pinspread.testbed.replay import Views
from pinspread.testbed.resource import Resource
from pinspread.testbed.traffic import Traffic

READY_TIMEOUT_S = 30.0  # for all members that start at once to serve
READY_POLL_S = 0.05
VIEW_POLL_S = 0.02
HISTORY_FILE = "history.jsonl"


class ClusterTestbed:
    """A scenario of a cluster, played on loopback.

    Attributes:
        members: The couriers, in order of their numbers.
        history: The events of the couriers and of the test bed so far.
        rules: The faults that the proxy applies to the members' datagrams and streams.
    """

    def __init__(self, scenario: Mapping[str, Any], folder: Path | str) -> None:
        """Prepare a scenario, given as a table as in a scenario file, with all files in `folder`.

        Raises:
            ScenarioError: The scenario cannot be decoded.
        """
        self.scenario = ClusterScenario.from_table(scenario)
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.addresses = ClusterAddresses()
        self.history = History(self.folder / HISTORY_FILE)
        self.members = [
            MemberProcess(self.scenario, self.addresses, self.history, number, self.folder)
            for number in range(self.scenario.members)
        ]
        self.rules = LinkRules([member.id for member in self.members])
        real = {member.id: member.real for member in self.members}
        advertised_addresses = {member.id: member.advertised for member in self.members}
        self.proxy = Proxy(self.rules, real, advertised_addresses, self.scenario.seed)
        self.resource = Resource(self.history, self.addresses.resource)
        self.faults = ClusterFaults(self.members, self.rules, self.history, self.addresses)
        self.traffic: Traffic | None = None
        if self.scenario.traffic is not None:
            self.traffic = Traffic(self.scenario.traffic, self.addresses, self.history, self.members)
        self._traffic_task: asyncio.Task[None] | None = None
        (self.folder / ZONE_FILE).write_text("\n".join(zone(self.scenario, self.addresses)) + "\n")

    async def begin(self) -> None:
        """Open the proxy, start the members that are not late, and wait until they serve.

        Raises:
            ScenarioError: Not all of them served within `READY_TIMEOUT_S`.
        """
        await self._open_sockets()
        serving = asyncio.Event()
        if self.traffic is not None:
            self._traffic_task = asyncio.create_task(self.traffic.run(serving))
        prefix = self.addresses.prefix
        self.history.add("stage", "stage_began", members=len(self.members), prefix=prefix)
        initial = [member for member in self.members if member.id not in self.scenario.late]
        for member in initial:
            member.start()
        began = time.monotonic()
        while not all(member.serving.is_set() for member in initial):
            if time.monotonic() - began > READY_TIMEOUT_S:
                raise ScenarioError(
                    f"members not serving within {READY_TIMEOUT_S} s: "
                    f"{', '.join(member.id for member in initial if not member.serving.is_set())}"
                )
            await asyncio.sleep(READY_POLL_S)
        self.history.add("stage", "serving")
        serving.set()

    async def _open_sockets(self) -> None:
        lease_ports = [LEASES_PORT] if self.scenario.leases else []
        replication_ports = [REPLICATION_PORT] if self.scenario.replication is not None else []
        await self.proxy.open(lease_ports)
        await self.proxy.open_streams(lease_ports + replication_ports)
        if self.scenario.leases:
            await self.resource.open()

    async def act(self, fault: Mapping[str, Any]) -> None:
        """Cause a fault now, given as a table as in a scenario file.

        Raises:
            ScenarioError: The kind of fault or a member is unknown.
        """
        await self.faults.cause(FaultEvent.from_table(fault))

    async def stop_traffic(self) -> None:
        """Stop the clients and their stand-ins, if there are any."""
        if self._traffic_task is not None and self.traffic is not None and self.traffic.scope is not None:
            self.traffic.scope.cancel()
            await self._traffic_task

    def finish(self) -> None:
        """Stop every member that runs, then close the proxy, the resource and the history."""
        self.history.add("stage", "ending", proxy=self.proxy.counts)
        for member in self.members:
            member.request_shutdown()
        for member in self.members:
            member.wait_or_kill()
        for member in self.members:
            member.wait_for_last_lines()
        self.proxy.close()
        self.resource.close()
        self.history.close()

    def views(self) -> Views:
        """Each running member's view of the others, rebuilt from its `member` events so far."""
        views: Views = {}
        for line in self.history.lines():
            who = line["who"]
            if line.get("event") == "started":
                views[who] = {}
            elif line.get("event") == "member" and who in views:
                views[who][line["id"]] = line["state"]
        return {member.id: views.get(member.id, {}) for member in self.members if member.running()}

    async def until(self, condition: Callable[[Views], bool], timeout_s: float) -> float | None:
        """Wait until a condition on the views holds.

        Returns:
            The seconds it took; None if it did not hold within `timeout_s`.
        """
        began = time.monotonic()
        while time.monotonic() - began < timeout_s:
            if condition(self.views()):
                return time.monotonic() - began
            await asyncio.sleep(VIEW_POLL_S)
        return None

    async def run(self) -> list[dict[str, Any]]:
        """Play the scenario to its end and return the verdicts."""
        try:
            await self.begin()
            began = time.monotonic()
            for fault in self.scenario.faults:
                await asyncio.sleep(max(0, began + fault.at_s - time.monotonic()))
                await self.faults.cause(fault)
            await asyncio.sleep(max(0, began + self.scenario.seconds - time.monotonic()))
        finally:
            await self.stop_traffic()
            await asyncio.to_thread(self.finish)
        lines = history_checker.read_scenario(self.folder / HISTORY_FILE)
        return history_checker.check(lines, self.scenario.expectations)


def play(scenario: Mapping[str, Any], folder: Path | str) -> list[dict[str, Any]]:
    """Play a scenario, given as a table, with its history in `folder`, and return the verdicts."""
    return asyncio.run(ClusterTestbed(scenario, folder).run())
