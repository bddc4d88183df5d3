"""Partners: endpoints with cores, queues and connection tables; limits, outages, the cold return.

An endpoint answers a call by a function that the caller gives: `answer(verdict, wait_ns)`.
"""

from collections import deque

from pinspread.policy.events import Outcome
from pinspread.simulation.engine import MS, SECOND

UP, CRASHED, SILENT, ERRORS, SHUT, FALLEN = range(6)
STATES = ("up", "crashed", "silent", "errors", "shut", "fallen")
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

    __slots__ = ("busy", "calls", "connections", "cores", "id", "life", "destination", "pools", "queue",
                 "queue_room", "state", "table")  # fmt: skip

    def __init__(self, id_, destination, cores, queue_room, table):
        self.id = id_
        self.destination = destination
        self.cores = cores
        self.queue_room = queue_room
        self.table = table  # connections that it takes; 0: any number
        self.queue = deque()
        self.busy = 0
        self.connections = 0
        self.pools = []  # of those who hold connections to it
        self.state = UP
        self.life = 0  # grows when what is in work is lost
        self.calls = 0


class Destination:
    """A partner: its limit, its outages, and what it can do at the moment."""

    def __init__(self, spec, engine, model, watch, first_id):
        p = model.partners
        self.spec = spec
        self.number = spec.number
        self.engine = engine
        self.watch = watch  # rules.Checker
        self.accepts = model.network.silent_accepts
        self.full_table = model.network.full_table
        self.slow_start_fraction, self.warm_ns = p.cold_from, int(p.warm_s * SECOND)
        self.multiple, self.fall_ns, self.slack = p.fall_multiple, int(p.fall_s * SECOND), p.fall_slack
        self.endpoints = [
            Endpoint(first_id + n, self, *one)
            for n, one in enumerate(zip(spec.cores, spec.queue, spec.table, strict=True))
        ]
        self.per_s = spec.per_s
        self.opens_ns = 0  # while shut: when it opens
        self.error_share = 0.0
        self.cold_ns = -1  # since when it is cold
        self.outages = []  # (until, state, size, whether it leaves cold), those that began since it was last up
        self.informed = set()  # couriers that saw it fail in the outage that is on, or was last
        self.lately = deque()  # (time, courier) of what reached it while cold
        self.span_start, self.span_count = 0, 0
        self.refused = self.refused_limit = self.falls = 0
        self.struck_ns = 0  # when the outage that is on, or was last, began
        self.fallen = []  # (time, begin and end of the outage, couriers of the calls that pushed it over)

    # --- troubles ---------------------------------------------------------------------------------

    def start_outage(self, state, until_ns, size=1.0, cold=True):
        """An outage begins: what is in work is lost where the process or the machine goes."""
        if self.endpoints[0].state == FALLEN:
            return
        if not self.outages:
            self.informed = set()
            self.struck_ns = self.engine.now
        self.outages.append((until_ns, state, size, cold))
        self._enter(state, until_ns, size)

    def _enter(self, state, until_ns, size):
        self.opens_ns = until_ns
        self.error_share = size
        self.cold_ns = -1
        for endpoint in self.endpoints:
            endpoint.state = state
            if state in (CRASHED, SILENT, FALLEN):
                self.lose(endpoint, reset=state != SILENT)

    def lose(self, endpoint, reset):
        endpoint.life += 1
        waiting, endpoint.queue, endpoint.busy = endpoint.queue, deque(), 0
        for pool in endpoint.pools:
            pool.broken(reset)
        if reset:
            for call in waiting:
                call[0].broken()

    def restore(self):
        """An outage is over: the partner comes back, unless another is on; cold, if any of them leaves it so."""
        if self.endpoints[0].state == FALLEN:
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
            endpoint.state = UP
        self.cold_ns = self.engine.now if cold else -1
        self.lately.clear()
        self.span_start, self.span_count = 0, 0

    def record_failure(self, courier):
        """A courier has seen a call or probe fail here, or be refused, while the outage lasts."""
        if self.endpoints[0].state != UP:
            self.informed.add(courier)

    def ability(self):
        """Share of its capacity that it can do now."""
        if self.cold_ns < 0:
            return 1.0
        since = self.engine.now - self.cold_ns
        if since >= self.warm_ns:
            self.cold_ns = -1
            return 1.0
        return self.slow_start_fraction + (1 - self.slow_start_fraction) * since / self.warm_ns

    def _weigh(self, courier):
        """Every call and probe that reaches a cold partner weighs; too much in a while, and it falls."""
        if self.cold_ns < 0:
            return
        now = self.engine.now
        ability = self.ability()
        lately = self.lately
        lately.append((now, courier))
        while lately[0][0] < now - self.fall_ns:
            lately.popleft()
        if self.cold_ns < 0 or self.endpoints[0].state != UP:
            return
        # The budget is over the whole window, also right after the return: present ability, a little slack.
        budget = self.multiple * ability * self.per_s * self.fall_ns / SECOND + self.slack
        if len(lately) > budget:
            self.falls += 1
            self.fallen.append((now, self.struck_ns, self.cold_ns, [c for _, c in lately]))
            informed = sum(c in self.informed for _, c in lately)
            self.watch.fell(self.number, now, informed, len(lately))
            self.start_outage(FALLEN, 1 << 62)

    # --- calls ------------------------------------------------------------------------------------

    def arrive(self, endpoint, call, work_ns, probe=False):
        """A call's last byte has come. `call` has `courier`, `chance` and answers by `answered`."""
        now = self.engine.now
        state = endpoint.state
        endpoint.calls += 1
        if state != UP:
            if state == CRASHED or state == FALLEN:
                call.broken()
                return
            if state == SILENT:
                return
            if state == ERRORS:
                if call.chance[2] < self.error_share:
                    self.engine.after(FAST_ERROR_NS, call.answered, Outcome.ERROR, 0)
                    return
            else:
                self._refuse(call, self.opens_ns - now)
                return
        self._weigh(call.courier)
        if endpoint.state != UP and state == UP:  # it fell over just now
            call.broken()
            return
        spec = self.spec
        if spec.span_ns:
            if now >= self.span_start + spec.span_ns:
                self.span_start += (now - self.span_start) // spec.span_ns * spec.span_ns
                self.span_count = 0
            if self.span_count >= spec.limit:
                if spec.refused_count:
                    self.span_count += 1
                self.refused_limit += 1
                self._refuse(call, self.span_start + spec.span_ns - now)
                return
            self.span_count += 1
        if endpoint.busy < endpoint.cores:
            self._work(endpoint, call, work_ns)
        elif len(endpoint.queue) < endpoint.queue_room:
            endpoint.queue.append((call, work_ns))
        else:
            self._refuse(call, 0)

    def _refuse(self, call, wait_ns):
        self.refused += 1
        told = wait_ns if wait_ns > 0 and call.chance[3] < self.spec.tells else 0
        call.answered(Outcome.OVERLOADED, told)

    def _work(self, endpoint, call, work_ns):
        endpoint.busy += 1
        call.runs()
        took = int(work_ns * self.spec.pace / self.ability())
        self.engine.after(took, self._done, endpoint, call, endpoint.life)

    def _done(self, endpoint, call, life):
        if life != endpoint.life:
            return  # it was lost with the process
        endpoint.busy -= 1
        call.answered(Outcome.OK, 0)
        while endpoint.queue and endpoint.busy < endpoint.cores:
            waiting, work_ns = endpoint.queue.popleft()
            self._work(endpoint, waiting, work_ns)

    def dial(self, endpoint):
        """A connection is wanted: 'up', 'refused', 'silent', or 'busy' where its first call gets a 503 and a close."""
        state = endpoint.state
        if state == SILENT and not self.accepts:
            return "silent"
        if state in (CRASHED, FALLEN):
            return "refused"
        if endpoint.table and endpoint.connections >= endpoint.table:
            for pool in endpoint.pools:
                pool.sweep()
            if endpoint.connections >= endpoint.table:
                return self.full_table
        return "up"
