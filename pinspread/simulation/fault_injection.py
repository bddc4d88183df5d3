"""Carries out the faults of a scenario: outages, restarts, and endpoints that are drained or replaced."""

from typing import TYPE_CHECKING

from pinspread.policy.events import EndpointState
from pinspread.simulation.endpoint import Endpoint, ServingState
from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.instance import Instance
from pinspread.simulation.scenario import START_DRAWS, ScheduledFault

if TYPE_CHECKING:
    from pinspread.simulation.simulate import Simulation

# State of a destination's endpoints during an outage, by the kind of fault in experiment files.
OUTAGE_STATES = {
    "crash": ServingState.CRASHED,
    "silent": ServingState.SILENT,
    "errors": ServingState.FAILING,
    "shut": ServingState.REJECTING,
}
REPLACEMENT_OVERLAP_NS = 3 * SECOND  # from the listing of the new endpoint to the removal of the old
FIRST_REPLACEMENT_ID = 1_000_000
SIGKILL_AFTER_NS = 3700 * MS  # after SIGTERM, if the process has not ended by then
EXIT_POLL_NS = 20 * MS


class FaultInjector:
    """Schedules faults on the engine of a simulation."""

    def __init__(self, simulation: "Simulation") -> None:
        self._simulation = simulation
        self._engine = simulation.engine
        self._directory = simulation.directory

    def schedule(self, fault: ScheduledFault) -> None:
        """Schedule a fault; bursts are already part of the arrivals."""
        if fault.kind in OUTAGE_STATES:
            self._schedule_outages(fault)
        elif fault.kind in ("restart", "kill"):
            instances = self._simulation.instances
            for number, at_ns in fault.restart_times(len(instances)):
                self._engine.at(at_ns, self._restart, instances[number], fault.kind, fault.down_ns)
        elif fault.kind == "drain":
            for index in fault.targets:
                self._engine.at(fault.at_ns, self._drain, index + 1, fault.until_ns)
        elif fault.kind == "replace":
            for index in fault.targets:
                self._engine.at(fault.at_ns, self._replace, index + 1)

    def _schedule_outages(self, fault: ScheduledFault) -> None:
        state = OUTAGE_STATES[fault.kind]
        for number in fault.targets:
            destination = self._simulation.destinations[number]
            outage = (state, fault.until_ns, fault.magnitude, fault.ends_in_slow_start)
            self._engine.at(fault.at_ns, destination.start_outage, *outage)
            self._engine.at(fault.until_ns, destination.end_outage)

    # --- restarts ---------------------------------------------------------------------------------

    def _restart(self, instance: Instance, kind: str, down_ns: int) -> None:
        if not instance.up or instance.stopping:
            return
        absent_ns = down_ns + self._start_duration_ns(instance)
        if kind == "kill":
            instance.kill()
            self._engine.after(absent_ns, self._start, instance)
        else:
            instance.stop()
            kill_ns = self._engine.now + SIGKILL_AFTER_NS
            self._await_exit(instance, instance.incarnation, kill_ns, absent_ns)

    def _start_duration_ns(self, instance: Instance) -> int:
        shortest_s, longest_s = self._simulation.model.couriers.boot_s
        draws = self._simulation.scenario.start_draws
        draw = float(draws[instance.number, instance.starts % START_DRAWS])
        return int((shortest_s + (longest_s - shortest_s) * draw) * SECOND)

    def _await_exit(self, instance: Instance, incarnation: int, kill_ns: int, absent_ns: int) -> None:
        """Wait until the process ends, by itself or by SIGKILL, and start it again `absent_ns` later."""
        if instance.incarnation == incarnation and self._engine.now < kill_ns:
            self._engine.after(EXIT_POLL_NS, self._await_exit, instance, incarnation, kill_ns, absent_ns)
            return
        if instance.up:
            instance.kill()
        self._engine.after(absent_ns, self._start, instance)

    def _start(self, instance: Instance) -> None:
        if not instance.up:  # an overlapping restart may have started it already
            instance.start(list(self._directory.entries.values()))

    # --- changes of the endpoint list -------------------------------------------------------------

    def _drain(self, id_: int, until_ns: int) -> None:
        endpoint = self._directory.endpoints[id_]
        self._directory.announce(endpoint, EndpointState.DRAINING)
        self._engine.at(until_ns, self._directory.announce, endpoint, EndpointState.READY)

    def _replace(self, id_: int) -> None:
        old = self._directory.endpoints[id_]
        destination = old.destination
        new_id = FIRST_REPLACEMENT_ID + id_
        new = Endpoint(new_id, destination, old.cores, old.queue_limit, old.connection_limit)
        new.state = old.state
        destination.endpoints.append(new)
        self._directory.endpoints[new_id] = new
        self._directory.announce(new, EndpointState.READY)
        self._directory.announce(old, EndpointState.DRAINING)
        self._engine.after(REPLACEMENT_OVERLAP_NS, self._remove, old)

    def _remove(self, endpoint: Endpoint) -> None:
        self._directory.announce(endpoint, EndpointState.REMOVED)
        endpoint.destination.endpoints.remove(endpoint)
        endpoint.state = ServingState.CRASHED
        endpoint.destination.discard_work(endpoint, reset=True)
