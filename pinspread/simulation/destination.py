"""Destinations: endpoints with cores, queues and connection tables; limits, outages, the cold return.

An endpoint answers a call by a function that the caller gives: `answer(verdict, wait_ns)`.
"""

from collections import deque
from enum import Enum, auto

from pinspread.policy.events import Outcome
from pinspread.simulation.engine import MS, SECOND


class ServingState(Enum):
    """How an endpoint treats what reaches it."""

    UP = auto()
    CRASHED = auto()  # its process is down: connections are refused
    SILENT = auto()  # it never answers
    FAILING = auto()  # it answers with errors at once, all or a share
    REJECTING = auto()  # it rejects all, and may say until when
    COLLAPSED = auto()  # it was overloaded while it warmed up, and stays down


FAST_ERROR_NS = 5 * MS


def build_destinations(scenario, engine, model, watch):
    """The partners of a day by number, and their endpoints by id."""
    partners, endpoints = {}, {}
    for spec in scenario.destinations:
        one = partners[spec.number] = Destination(spec, engine, model, watch, len(endpoints) + 1)
        endpoints.update((e.id, e) for e in one.endpoints)
    return partners, endpoints


class Endpoint:
    """One endpoint: calls in work, calls that wait, connections that it holds."""

    __slots__ = ("busy", "calls", "connections", "cores", "id", "incarnation", "destination", "connection_owners", "queue",
                 "queue_limit", "state", "connection_limit")  # fmt: skip

    def __init__(self, id_, destination, cores, queue_room, table):
        self.id = id_
        self.destination = destination
        self.cores = cores
        self.queue_limit = queue_room
        self.connection_limit = table  # connections that it takes; 0: any number
        self.queue = deque()
        self.busy = 0
        self.connections = 0
        self.connection_owners = []  # of those who hold connections to it
        self.state = ServingState.UP
        self.incarnation = 0  # grows when what is in work is lost
        self.calls = 0


class Destination:
    """A partner: its limit, its outages, and what it can do at the moment."""

    def __init__(self, spec, engine, model, watch, first_id):
        p = model.partners
        self.spec = spec
        self.number = spec.number
        self.engine = engine
        self.observer = watch  # rules.Checker
        self.accepts_while_silent = model.network.silent_accepts
        self.full_table = model.network.full_table
        self.slow_start_fraction, self.warm_ns = p.cold_from, int(p.warm_s * SECOND)
        self.multiple, self.fall_ns, self.slack = p.fall_multiple, int(p.fall_s * SECOND), p.fall_slack
        self.endpoints = [
            Endpoint(first_id + n, self, *one)
            for n, one in enumerate(zip(spec.cores, spec.queue_limits, spec.connection_limits, strict=True))
        ]
        self.capacity_per_s = spec.capacity_per_s
        self.reopens_ns = 0  # while shut: when it opens
        self.error_share = 0.0
        self.warming_since_ns = -1  # since when it is cold
        self.outages = []  # (until, state, size, whether it leaves cold), those that began since it was last up
        self.informed_instances = set()  # couriers that saw it fail in the outage that is on, or was last
        self.recent_arrivals = deque()  # (time, courier) of what reached it while cold
        self.window_start_ns, self.window_calls = 0, 0
        self.rejected = self.rejected_over_limit = self.falls = 0
        self.outage_start_ns = 0  # when the outage that is on, or was last, began
        self.collapses = []  # (time, begin and end of the outage, couriers of the calls that pushed it over)

    # --- troubles ---------------------------------------------------------------------------------

    def start_outage(self, state, until_ns, size=1.0, cold=True):
        """An outage begins: what is in work is lost where the process or the machine goes."""
        if self.endpoints[0].state is ServingState.COLLAPSED:
            return
        if not self.outages:
            self.informed_instances = set()
            self.outage_start_ns = self.engine.now
        self.outages.append((until_ns, state, size, cold))
        self._enter(state, until_ns, size)

    def _enter(self, state, until_ns, size):
        self.reopens_ns = until_ns
        self.error_share = size
        self.warming_since_ns = -1
        for endpoint in self.endpoints:
            endpoint.state = state
            if state in (ServingState.CRASHED, ServingState.SILENT, ServingState.COLLAPSED):
                self.discard_work(endpoint, reset=state is not ServingState.SILENT)

    def discard_work(self, endpoint, reset):
        endpoint.incarnation += 1
        waiting, endpoint.queue, endpoint.busy = endpoint.queue, deque(), 0
        for pool in endpoint.connection_owners:
            pool.connection_lost(reset)
        if reset:
            for call in waiting:
                call[0].reset()

    def end_outage(self):
        """An outage is over: the partner comes back, unless another is on; cold, if any of them leaves it so."""
        if self.endpoints[0].state is ServingState.COLLAPSED:
            return
        # Danger: an outage that ends inside another must not bring the partner back in its middle.
        on = [outage for outage in self.outages if outage[0] > self.engine.now]
        if on:
            until_ns, state, size, _ = on[-1]
            self._enter(state, until_ns, size)
            return
        cold = any(outage[3] for outage in self.outages)
        self.outages.clear()
        for endpoint in self.endpoints:
            endpoint.state = ServingState.UP
        self.warming_since_ns = self.engine.now if cold else -1
        self.recent_arrivals.clear()
        self.window_start_ns, self.window_calls = 0, 0

    def record_failure(self, courier):
        """A courier has seen a call or probe fail here, or be refused, while the outage lasts."""
        if self.endpoints[0].state is not ServingState.UP:
            self.informed_instances.add(courier)

    def capacity_fraction(self):
        """Share of its capacity that it can do now."""
        if self.warming_since_ns < 0:
            return 1.0
        since = self.engine.now - self.warming_since_ns
        if since >= self.warm_ns:
            self.warming_since_ns = -1
            return 1.0
        return self.slow_start_fraction + (1 - self.slow_start_fraction) * since / self.warm_ns

    def _weigh(self, courier):
        """Every call and probe that reaches a cold partner weighs; too much in a while, and it falls."""
        if self.warming_since_ns < 0:
            return
        now = self.engine.now
        capacity_fraction = self.capacity_fraction()
        lately = self.recent_arrivals
        lately.append((now, courier))
        while lately[0][0] < now - self.fall_ns:
            lately.popleft()
        if self.warming_since_ns < 0 or self.endpoints[0].state is not ServingState.UP:
            return
        # The budget is over the whole window, also right after the return: present capacity_fraction, a little slack.
        budget = self.multiple * capacity_fraction * self.capacity_per_s * self.fall_ns / SECOND + self.slack
        if len(lately) > budget:
            self.falls += 1
            self.collapses.append((now, self.outage_start_ns, self.warming_since_ns, [c for _, c in lately]))
            informed = sum(c in self.informed_instances for _, c in lately)
            self.observer.destination_collapsed(self.number, now, informed, len(lately))
            self.start_outage(ServingState.COLLAPSED, 1 << 62)

    # --- calls ------------------------------------------------------------------------------------

    def arrive(self, endpoint, call, work_ns, probe=False):
        """A call's last byte has come. `call` has `instance`, `draws` and answers by `respond`."""
        now = self.engine.now
        state = endpoint.state
        endpoint.calls += 1
        if state is not ServingState.UP:
            if state is ServingState.CRASHED or state is ServingState.COLLAPSED:
                call.reset()
                return
            if state is ServingState.SILENT:
                return
            if state is ServingState.FAILING:
                if call.draws[2] < self.error_share:
                    self.engine.after(FAST_ERROR_NS, call.respond, Outcome.ERROR, 0)
                    return
            else:
                self._refuse(call, self.reopens_ns - now)
                return
        self._weigh(call.instance)
        if endpoint.state is not ServingState.UP and state is ServingState.UP:  # it fell over just now
            call.reset()
            return
        spec = self.spec
        if spec.limit_window_ns:
            if now >= self.window_start_ns + spec.limit_window_ns:
                self.window_start_ns += (
                    (now - self.window_start_ns) // spec.limit_window_ns * spec.limit_window_ns
                )
                self.window_calls = 0
            if self.window_calls >= spec.limit_calls:
                if spec.rejections_count:
                    self.window_calls += 1
                self.rejected_over_limit += 1
                self._refuse(call, self.window_start_ns + spec.limit_window_ns - now)
                return
            self.window_calls += 1
        if endpoint.busy < endpoint.cores:
            self._work(endpoint, call, work_ns)
        elif len(endpoint.queue) < endpoint.queue_limit:
            endpoint.queue.append((call, work_ns))
        else:
            self._refuse(call, 0)

    def _refuse(self, call, wait_ns):
        self.rejected += 1
        told = wait_ns if wait_ns > 0 and call.draws[3] < self.spec.retry_after_share else 0
        call.respond(Outcome.OVERLOADED, told)

    def _work(self, endpoint, call, work_ns):
        endpoint.busy += 1
        call.work_started()
        took = int(work_ns * self.spec.work_factor / self.capacity_fraction())
        self.engine.after(took, self._done, endpoint, call, endpoint.incarnation)

    def _done(self, endpoint, call, incarnation):
        if incarnation != endpoint.incarnation:
            return  # it was lost with the process
        endpoint.busy -= 1
        call.respond(Outcome.OK, 0)
        while endpoint.queue and endpoint.busy < endpoint.cores:
            waiting, work_ns = endpoint.queue.popleft()
            self._work(endpoint, waiting, work_ns)

    def dial(self, endpoint):
        """A connection is wanted: 'up', 'refused', 'silent', or 'busy' where its first call gets a 503 and a close."""
        state = endpoint.state
        if state is ServingState.SILENT and not self.accepts_while_silent:
            return "silent"
        if state in (ServingState.CRASHED, ServingState.COLLAPSED):
            return "refused"
        if endpoint.connection_limit and endpoint.connections >= endpoint.connection_limit:
            for pool in endpoint.connection_owners:
                pool.close_expired()
            if endpoint.connections >= endpoint.connection_limit:
                return self.full_table
        return "up"
