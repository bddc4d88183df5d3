"""The rule checker of the simulation, shown by delivery policies that each break one rule."""

from dataclasses import replace

import pytest
from simulation_helpers import run_simulation, world

from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import EndpointsChanged, EndpointState, UpdateScope
from pinspread.simulation.engine import MS
from pinspread.simulation.rules import RULES
from pinspread.simulation.scenario import draw_scenario
from pinspread.simulation.simulate import Simulation

TROUBLED = {
    "trouble": [
        {"kind": "silent", "at_s": 4, "length_s": 4, "share": 0.3},
        {"kind": "kill", "at_s": 5, "length_s": 3, "share": 0.7, "batch": 0.4},
        {"kind": "replace", "at_s": 3, "share": 0.3},
        {"kind": "shut", "at_s": 6, "length_s": 4, "share": 0.3},
    ]
}


class Forgets(DeliveryPolicy):
    """Gives late messages no answer."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.dispatcher.reject_or_fail = self.dispatcher.end


class Repeats(DeliveryPolicy):
    """Sends a payment again though it may have run."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.dispatcher.may_repeat = lambda message, at_ns: at_ns < message.deadline_ns


class Drains(DeliveryPolicy):
    """Does not take endpoints off."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.update = self.discovery.update
        self.discovery.update = self.update_ready

    def update_ready(self, event):
        for entry in event.entries:
            entry = replace(entry, state=EndpointState.READY)
            self.update(EndpointsChanged(UpdateScope.DELTA, [entry]))


class Pushes(DeliveryPolicy):
    """Looks and sends without waits at what is down or cold."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.limits.wait_ns = lambda endpoint, n, steps=1, refused=False: MS
        self.limits.ramp_next_ns = lambda endpoint, calls: self.context.now_ns


class Hurries(DeliveryPolicy):
    """Takes no told wait to heart."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.limits.apply_retry_after = lambda endpoint, retry_after_ns: None


class Overtakes(DeliveryPolicy):
    """Minds no key."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.dispatcher._ready_from_ns = lambda message: message.ready_ns


class Starts(DeliveryPolicy):
    """Takes what was out when its process ended for never run."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        accept = self.dispatcher.accept
        self.dispatcher.accept = lambda event, destination: accept(
            replace(event, may_have_run_ns=0), destination
        )


BROKEN = dict(zip(RULES, (Forgets, Repeats, Drains, Pushes, Hurries, Overtakes), strict=True))


@pytest.mark.parametrize("rule", RULES)
def test_the_checker_catches_a_policy_that_breaks_a_rule(rule):
    busy = world(couriers={"count": 2}, **TROUBLED)
    if rule == "cold":
        busy = world(
            partners={"fall_slack": 1},
            trouble=[{"kind": "crash", "at_s": 3, "length_s": 4, "share": 0.9}],
        )
    found = [run_simulation(busy, seed, policy_class=BROKEN[rule]) for seed in (1, 2, 3)]
    assert any(one["broken"].get(rule) for one in found)
    broke = next(one for one in found if one["broken"].get(rule))
    assert broke["service"] == 0 < broke["service_unbroken"]
    assert any(b["rule"] == rule and b["why"] and b["at_s"] > 0 for b in broke["breaks"])


def test_the_checker_catches_a_payment_that_is_retried_after_a_restart():
    kills = [{"kind": "kill", "at_s": at, "length_s": 1, "share": 1.0, "batch": 1.0} for at in (3, 6, 9)]
    busy = world(trouble=kills)
    assert not run_simulation(busy, policy_class=DeliveryPolicy)["broken"].get("repeat")
    found = run_simulation(busy, policy_class=Starts)
    assert any("may have run" in b["why"] for b in found["breaks"])  # the checker's word
    assert found["payments_twice"] and found["broken"]["repeat"]  # and the ledger's


def test_restarts_that_overlap_leave_each_courier_running_once():
    kills = [
        {"kind": kind, "at_s": 3, "length_s": 1, "share": 1.0, "batch": 1.0} for kind in ("kill", "restart")
    ]
    fleet = Simulation(world(trouble=kills), draw_scenario(world(trouble=kills), 1))
    fleet.run()
    assert [c.starts for c in fleet.instances] == [2, 2, 2] and all(c.up for c in fleet.instances)


def test_the_policy_as_it_is_keeps_the_rules_on_a_day_with_faults():
    found = run_simulation(world(**TROUBLED), 1)
    assert not found["broken"] and found["payments_twice"] == 0
    assert 0.5 < found["service"] < 1 and found["delivered"] + found["failed"] == found["messages"]


def test_a_restart_resumes_accepted_messages_and_without_a_journal_they_are_lost():
    kill = [{"kind": "kill", "at_s": 5, "length_s": 1, "share": 1.0, "batch": 1.0}]
    calm = {"traffic": {"clump_share": 0.0, "load": 0.3}}
    kept = run_simulation(world(trouble=kill, **calm))
    gone = run_simulation(world(trouble=kill, couriers={"resume": False}, **calm))
    assert kept["failed"] < gone["failed"]
