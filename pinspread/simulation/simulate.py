"""One run: a day, a variant's module, and what became of it."""

import numpy as np

from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import EndpointEntry, EndpointState, UpdateScope
from pinspread.policy.settings import DestinationKind, Idempotency, Settings, Tenant, TrafficClass
from pinspread.simulation import metrics as accounts
from pinspread.simulation.clients import ClientBehavior
from pinspread.simulation.destination import Endpoint, ServingState, build_destinations
from pinspread.simulation.engine import SECOND, Engine
from pinspread.simulation.instance import Instance
from pinspread.simulation.policy_sources import SETTINGS_KEYS
from pinspread.simulation.random_streams import random_seed, random_stream
from pinspread.simulation.rules import RuleChecker
from pinspread.simulation.scenario import START_DRAWS, Scenario, tenant_quotas

AFTER_NS = 30 * SECOND  # a day runs on so long for what is owed, unless all is over before
OUTAGE_STATES = {
    "crash": ServingState.CRASHED,
    "silent": ServingState.SILENT,
    "errors": ServingState.FAILING,
    "shut": ServingState.REJECTING,
}
REPLACED_NS = 3 * SECOND  # a replaced endpoint goes so long after its successor came
NEW_ID = 1_000_000
KILLED_NS = 3_700_000_000  # after SIGTERM


class Simulation:
    """Couriers, partners and clients in one virtual time."""

    def __init__(
        self, model, scenario: Scenario, policy_seed: int | None = None, settings=None, policy_class=None
    ):
        """`settings` replaces fields of the module's settings; `policy_class` is another class of policy."""
        self.model, self.scenario = model, scenario
        self.engine = Engine(model.couriers.count + len(scenario.destinations))
        self.policy_seed = scenario.seed if policy_seed is None else policy_seed
        self.policy_class = policy_class or DeliveryPolicy
        self.settings = policy_settings(model, scenario, settings or {})
        self.checker = RuleChecker(self.settings.classes, self.settings.max_attempts)
        self.destinations, self.endpoints = build_destinations(scenario, self.engine, model, self.checker)
        self.entries = {e.id: self._entry(e) for e in self.endpoints.values()}
        self.delays = scenario.delay_ns.tolist()
        low, high = model.network.list_late_s
        lag = random_stream(scenario.seed, "lag").uniform(low, high, model.couriers.count)
        self.lag_ns = (lag * SECOND).astype(np.int64).tolist()
        self.instances = [Instance(n, self) for n in range(model.couriers.count)]
        n = len(scenario.arrival_ns)
        self.delivered_ns = np.full(n, -1, dtype=np.int64)
        self.ended_ns = np.full(n, -1, dtype=np.int64)
        self.executions = np.zeros(n, dtype=np.int16)
        self.attempts = np.zeros(n, dtype=np.int16)
        self.written = np.zeros(n, dtype=np.int16)  # calls that left a courier: each has draws of its own
        self.rejected = self.unanswered = 0
        self.outcomes = {}
        self.attempt_times_ns, self.retry_times_ns = [], []  # times in ns
        self.work_done_ns = 0
        self.client_behavior = ClientBehavior(model, scenario)

    def _entry(self, endpoint, state=EndpointState.READY):
        spec = endpoint.destination.spec
        return EndpointEntry(endpoint.id, spec.number, 0, 0 if spec.large else 1, state, spec.weight)

    def make_policy(self, courier, start):
        """The module of a courier that starts."""
        return self.policy_class(self.settings, random_seed(self.policy_seed, "module", courier, start))

    def run(self):
        """Play the day; gives its accounts."""
        engine, scenario, couriers = self.engine, self.scenario, self.instances
        entries = list(self.entries.values())
        spread = (
            random_stream(scenario.seed, "start").random(len(couriers))
            * self.model.couriers.start_spread_s
            * SECOND
        )
        for courier, at in zip(couriers, spread.tolist(), strict=True):
            engine.at(int(at), courier.start, entries)
        for trouble in scenario.faults:
            self._plan(trouble)
        if len(scenario.arrival_ns):
            engine.at(int(scenario.arrival_ns[0]), self._arrival, 0)
        engine.run(scenario.length_ns)
        end = scenario.length_ns + AFTER_NS
        while engine.now < end and any(c.open for c in couriers):
            engine.run(engine.now + SECOND)
        self.checker.close(engine.now, {c.number for c in couriers if c.up})
        return accounts.measure(self)

    # --- clients ----------------------------------------------------------------------------------

    def _arrival(self, row):
        late = self.scenario.submit_delay_ns
        if late is None:
            self.hand_in(row)
        else:  # so that those close together may change places
            self.engine.after(int(late[row]), self.hand_in, row)
        if row + 1 < len(self.scenario.arrival_ns):
            self.engine.at(int(self.scenario.arrival_ns[row + 1]), self._arrival, row + 1)

    def hand_in(self, row):
        """A client hands a message in, for the first time or again."""
        engine = self.engine
        deadline = self.client_behavior.deadline_ns(row)
        if engine.now >= deadline:
            self.ended_ns[row] = engine.now
            return
        chosen = self.client_behavior.instance_of(row)
        for step in range(len(self.instances)):
            courier = self.instances[(chosen + step) % len(self.instances)]
            answer = courier.take(row, deadline, self)
            if answer is True:
                return
            if answer >= 0:
                self.rejected += 1
                self._again(row, answer)
                return
        self.unanswered += 1
        engine.after(SECOND // 5, self.hand_in, row)

    def _again(self, row, told_ns):
        """After a busy answer or a return: again, if the client's habits and the time allow it."""
        wait = self.client_behavior.retry_delay_ns(row, told_ns)
        if wait is None:
            self.ended_ns[row] = self.engine.now
        else:
            self.engine.after(wait, self.hand_in, row)

    def ended(self, row, how, after_ns):
        """A courier tells a message's end."""
        now = self.engine.now
        if how == "delivered":
            if self.delivered_ns[row] < 0:
                self.delivered_ns[row] = now
            self.ended_ns[row] = now
        elif how == "returned":
            self._again(row, after_ns)
        else:
            self.ended_ns[row] = now

    # --- what couriers report ---------------------------------------------------------------------

    def sent(self, call):
        """A branch has been started."""
        row = call.held.row
        self.attempt_times_ns.append(self.engine.now)
        if self.attempts[row]:
            self.retry_times_ns.append(self.engine.now)
        self.attempts[row] += 1

    def effect(self, call):
        """An endpoint works on a message."""
        self.executions[call.held.row] += 1
        self.work_done_ns += call.work_ns

    def outcome(self, verdict):
        """A branch has ended."""
        self.outcomes[verdict] = self.outcomes.get(verdict, 0) + 1

    # --- troubles ---------------------------------------------------------------------------------

    def _plan(self, t):
        engine = self.engine
        if t.kind in OUTAGE_STATES:
            for number in t.targets:
                one = self.destinations[number]
                engine.at(
                    t.at_ns,
                    one.start_outage,
                    OUTAGE_STATES[t.kind],
                    t.until_ns,
                    t.magnitude,
                    t.ends_in_slow_start,
                )
                engine.at(t.until_ns, one.end_outage)
        elif t.kind in ("restart", "kill"):
            for number, at in t.restart_times(len(self.instances)):
                engine.at(at, self._restart, self.instances[number], t.kind, t.down_ns)
        elif t.kind in ("drain", "replace"):
            for index in t.targets:
                engine.at(t.at_ns, self._change, index + 1, t.kind, t.until_ns)

    def _restart(self, courier, kind, down_ns):
        if not courier.up or courier.stopping:
            return
        low, high = self.model.couriers.boot_s
        drawn = float(self.scenario.start_draws[courier.number, courier.starts % START_DRAWS])
        down_ns += int((low + (high - low) * drawn) * SECOND)
        if kind == "kill":
            courier.kill()
            self.engine.after(down_ns, self._back, courier)
        else:
            courier.stop()
            self._wait_for_end(courier, courier.incarnation, self.engine.now + KILLED_NS, down_ns)

    def _wait_for_end(self, courier, incarnation, killed_ns, down_ns):
        """It ends by itself, or by SIGKILL; down time counts from then."""
        if courier.incarnation == incarnation and self.engine.now < killed_ns:
            self.engine.after(SECOND // 50, self._wait_for_end, courier, incarnation, killed_ns, down_ns)
            return
        if courier.up:
            courier.kill()
        self.engine.after(down_ns, self._back, courier)

    def _back(self, courier):
        if not courier.up:  # else another restart has brought it back
            courier.start(list(self.entries.values()))

    def _change(self, id_, kind, until_ns):
        endpoint = self.endpoints[id_]
        if kind == "drain":
            self._list(endpoint, EndpointState.DRAINING)
            self.engine.at(until_ns, self._list, endpoint, EndpointState.READY)
            return
        owner = endpoint.destination
        new = Endpoint(NEW_ID + id_, owner, endpoint.cores, endpoint.queue_limit, endpoint.connection_limit)
        new.state = endpoint.state
        owner.endpoints.append(new)
        self.endpoints[new.id] = new
        self._list(new, EndpointState.READY)
        self._list(endpoint, EndpointState.DRAINING)
        self.engine.after(REPLACED_NS, self._go, endpoint)

    def _go(self, endpoint):
        self._list(endpoint, EndpointState.REMOVED)
        endpoint.destination.endpoints.remove(endpoint)
        endpoint.state = ServingState.CRASHED
        endpoint.destination.discard_work(endpoint, reset=True)

    def _list(self, endpoint, state):
        entry = self.entries[endpoint.id] = self._entry(endpoint, state)
        if state is EndpointState.REMOVED:
            del self.entries[endpoint.id]
        for courier, lag in zip(self.instances, self.lag_ns, strict=True):
            self.engine.after(lag, self._tell, courier, entry)

    @staticmethod
    def _tell(courier, entry):
        if courier.up:
            courier.update_endpoints(UpdateScope.DELTA, [entry])


def policy_settings(model, scenario, replaced):
    """What each module is told: from the world, with a variant's fields in their place."""
    c, p = model.couriers, model.partners
    classes = [
        TrafficClass(
            latency_objective_ns=int(one.aim_s * SECOND), deadline_ns=int(one.deadline_s * SECOND),
            effect=Idempotency(one.effect), deduplication_window_ns=int(one.window_s * SECOND), late_value_share=one.late_share,
            priority_weight=one.worth, in_order=one.in_order,
        )
        for one in model.classes
    ]  # fmt: skip
    told = {
        "classes": classes,
        "kinds": [DestinationKind(), DestinationKind()],
        "max_concurrent_calls": scenario.max_concurrent_calls,
        "max_held_messages": scenario.max_held_messages,
        "max_attempts": c.max_attempts,
        "senders": c.count,
        "over_quota_weight": model.traffic.over_share_worth,
        "value_halves": True,
        "tenants": [Tenant(q, t.share) for t, q in zip(model.teams, tenant_quotas(model), strict=True)],
        "weights_known": True,
        "weights_exact": p.weights == 0,
        "health_checks_allowed": c.probes,
        "retry_after_allowed": c.max_come_back_s > 0,
        "max_retry_after_ns": int(c.max_come_back_s * SECOND),
        "keepalive_ns": int(c.keepalive_s * SECOND),
        "drain_grace_ns": SECOND // 4,
        "slow_start_fraction": p.cold_from,
        "slow_start_ns": int(p.warm_s * SECOND),
        "overload_multiple": p.fall_multiple,
        "handshake_price": 0.02,
    }
    return Settings(**(told | {SETTINGS_KEYS.get(key, key): value for key, value in replaced.items()}))
