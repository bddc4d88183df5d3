"""One run: a day, a variant's module, and what became of it."""

import numpy as np

from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import EndpointEntry, EndpointState, UpdateScope
from pinspread.policy.settings import DestinationKind, Idempotency, Settings, Tenant, TrafficClass
from pinspread.simulation import destination as partner
from pinspread.simulation import metrics as accounts
from pinspread.simulation.clients import Habits
from pinspread.simulation.destination import Endpoint, partners_of
from pinspread.simulation.engine import SECOND, Engine
from pinspread.simulation.instance import Courier
from pinspread.simulation.random_streams import stream, whole
from pinspread.simulation.rules import Checker
from pinspread.simulation.scenario import BOOTS, Day, quotas
from pinspread.simulation.variants import SETTINGS_KEYS

AFTER_NS = 30 * SECOND  # a day runs on so long for what is owed, unless all is over before
STATE_OF = {
    "crash": partner.CRASHED,
    "silent": partner.SILENT,
    "errors": partner.ERRORS,
    "shut": partner.SHUT,
}
REPLACED_NS = 3 * SECOND  # a replaced endpoint goes so long after its successor came
NEW_ID = 1_000_000
KILLED_NS = 3_700_000_000  # after SIGTERM


class Fleet:
    """Couriers, partners and clients in one virtual time."""

    def __init__(self, world, day: Day, module_seed: int | None = None, settings=None, sender=None):
        """`settings` replaces fields of the module's settings; `sender` is another class of sender."""
        self.world, self.day = world, day
        self.engine = Engine(world.couriers.count + len(day.partners))
        self.module_seed = day.seed if module_seed is None else module_seed
        self.sender = sender or DeliveryPolicy
        self.settings = module_settings(world, day, settings or {})
        self.checker = Checker(self.settings.classes, self.settings.max_attempts)
        self.partners, self.endpoints = partners_of(day, self.engine, world, self.checker)
        self.entries = {e.id: self._entry(e) for e in self.endpoints.values()}
        self.delays = day.delay_ns.tolist()
        low, high = world.network.list_late_s
        lag = stream(day.seed, "lag").uniform(low, high, world.couriers.count)
        self.lag_ns = (lag * SECOND).astype(np.int64).tolist()
        self.couriers = [Courier(n, self) for n in range(world.couriers.count)]
        n = len(day.at_ns)
        self.delivered_ns = np.full(n, -1, dtype=np.int64)
        self.ended_ns = np.full(n, -1, dtype=np.int64)
        self.effects = np.zeros(n, dtype=np.int16)
        self.attempts = np.zeros(n, dtype=np.int16)
        self.written = np.zeros(n, dtype=np.int16)  # calls that left a courier: each has draws of its own
        self.busy = self.unanswered = 0
        self.verdicts = {}
        self.calls_at, self.retries_at = [], []  # times in ns
        self.work_done_ns = 0
        self.habits = Habits(world, day)

    def _entry(self, endpoint, state=EndpointState.READY):
        spec = endpoint.partner.spec
        return EndpointEntry(endpoint.id, spec.number, 0, 0 if spec.big else 1, state, spec.weight)

    def make_sender(self, courier, start):
        """The module of a courier that starts."""
        return self.sender(self.settings, whole(self.module_seed, "module", courier, start))

    def run(self):
        """Play the day; gives its accounts."""
        engine, day, couriers = self.engine, self.day, self.couriers
        entries = list(self.entries.values())
        spread = stream(day.seed, "start").random(len(couriers)) * self.world.couriers.start_spread_s * SECOND
        for courier, at in zip(couriers, spread.tolist(), strict=True):
            engine.at(int(at), courier.start, entries)
        for trouble in day.troubles:
            self._plan(trouble)
        if len(day.at_ns):
            engine.at(int(day.at_ns[0]), self._arrival, 0)
        engine.run(day.length_ns)
        end = day.length_ns + AFTER_NS
        while engine.now < end and any(c.open for c in couriers):
            engine.run(engine.now + SECOND)
        self.checker.close(engine.now, {c.number for c in couriers if c.up})
        return accounts.of(self)

    # --- clients ----------------------------------------------------------------------------------

    def _arrival(self, row):
        late = self.day.late_ns
        if late is None:
            self.hand_in(row)
        else:  # so that those close together may change places
            self.engine.after(int(late[row]), self.hand_in, row)
        if row + 1 < len(self.day.at_ns):
            self.engine.at(int(self.day.at_ns[row + 1]), self._arrival, row + 1)

    def hand_in(self, row):
        """A client hands a message in, for the first time or again."""
        engine = self.engine
        deadline = self.habits.deadline_ns(row)
        if engine.now >= deadline:
            self.ended_ns[row] = engine.now
            return
        chosen = self.habits.courier(row)
        for step in range(len(self.couriers)):
            courier = self.couriers[(chosen + step) % len(self.couriers)]
            answer = courier.take(row, deadline, self)
            if answer is True:
                return
            if answer >= 0:
                self.busy += 1
                self._again(row, answer)
                return
        self.unanswered += 1
        engine.after(SECOND // 5, self.hand_in, row)

    def _again(self, row, told_ns):
        """After a busy answer or a return: again, if the client's habits and the time allow it."""
        wait = self.habits.again_ns(row, told_ns)
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
        self.calls_at.append(self.engine.now)
        if self.attempts[row]:
            self.retries_at.append(self.engine.now)
        self.attempts[row] += 1

    def effect(self, call):
        """An endpoint works on a message."""
        self.effects[call.held.row] += 1
        self.work_done_ns += call.work_ns

    def outcome(self, verdict):
        """A branch has ended."""
        self.verdicts[verdict] = self.verdicts.get(verdict, 0) + 1

    # --- troubles ---------------------------------------------------------------------------------

    def _plan(self, t):
        engine = self.engine
        if t.kind in STATE_OF:
            for number in t.targets:
                one = self.partners[number]
                engine.at(t.at_ns, one.strike, STATE_OF[t.kind], t.until_ns, t.size, t.leaves_cold)
                engine.at(t.until_ns, one.restore)
        elif t.kind in ("restart", "kill"):
            for number, at in t.restarts(len(self.couriers)):
                engine.at(at, self._restart, self.couriers[number], t.kind, t.down_ns)
        elif t.kind in ("drain", "replace"):
            for index in t.targets:
                engine.at(t.at_ns, self._change, index + 1, t.kind, t.until_ns)

    def _restart(self, courier, kind, down_ns):
        if not courier.up or courier.stopping:
            return
        low, high = self.world.couriers.boot_s
        drawn = float(self.day.boot[courier.number, courier.restarts % BOOTS])
        down_ns += int((low + (high - low) * drawn) * SECOND)
        if kind == "kill":
            courier.kill()
            self.engine.after(down_ns, self._back, courier)
        else:
            courier.stop()
            self._wait_for_end(courier, courier.life, self.engine.now + KILLED_NS, down_ns)

    def _wait_for_end(self, courier, life, killed_ns, down_ns):
        """It ends by itself, or by SIGKILL; down time counts from then."""
        if courier.life == life and self.engine.now < killed_ns:
            self.engine.after(SECOND // 50, self._wait_for_end, courier, life, killed_ns, down_ns)
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
        owner = endpoint.partner
        new = Endpoint(NEW_ID + id_, owner, endpoint.cores, endpoint.queue_room, endpoint.table)
        new.state = endpoint.state
        owner.endpoints.append(new)
        self.endpoints[new.id] = new
        self._list(new, EndpointState.READY)
        self._list(endpoint, EndpointState.DRAINING)
        self.engine.after(REPLACED_NS, self._go, endpoint)

    def _go(self, endpoint):
        self._list(endpoint, EndpointState.REMOVED)
        endpoint.partner.endpoints.remove(endpoint)
        endpoint.state = partner.CRASHED
        endpoint.partner.lose(endpoint, reset=True)

    def _list(self, endpoint, state):
        entry = self.entries[endpoint.id] = self._entry(endpoint, state)
        if state is EndpointState.REMOVED:
            del self.entries[endpoint.id]
        for courier, lag in zip(self.couriers, self.lag_ns, strict=True):
            self.engine.after(lag, self._tell, courier, entry)

    @staticmethod
    def _tell(courier, entry):
        if courier.up:
            courier.update_endpoints(UpdateScope.DELTA, [entry])


def module_settings(world, day, replaced):
    """What each module is told: from the world, with a variant's fields in their place."""
    c, p = world.couriers, world.partners
    classes = [
        TrafficClass(
            latency_objective_ns=int(one.aim_s * SECOND), deadline_ns=int(one.deadline_s * SECOND),
            effect=Idempotency(one.effect), deduplication_window_ns=int(one.window_s * SECOND), late_value_share=one.late_share,
            priority_weight=one.worth, in_order=one.in_order,
        )
        for one in world.classes
    ]  # fmt: skip
    told = {
        "classes": classes,
        "kinds": [DestinationKind(), DestinationKind()],
        "max_concurrent_calls": day.slots,
        "max_held_messages": day.held,
        "max_attempts": c.max_attempts,
        "senders": c.count,
        "over_quota_weight": world.traffic.over_share_worth,
        "value_halves": True,
        "tenants": [Tenant(q, t.share) for t, q in zip(world.teams, quotas(world), strict=True)],
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
