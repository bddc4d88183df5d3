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


class OmitsFinalResults(DeliveryPolicy):
    """Gives messages past their deadline no final result."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.dispatcher.reject_or_fail = self.dispatcher.end


class RepeatsNonIdempotent(DeliveryPolicy):
    """Sends a payment again although it may have taken effect."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.dispatcher.may_repeat = lambda message, at_ns: at_ns < message.deadline_ns


class IgnoresDraining(DeliveryPolicy):
    """Keeps sending to endpoints that are draining or removed."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.update = self.discovery.update
        self.discovery.update = self.update_ready

    def update_ready(self, event):
        for entry in event.entries:
            entry = replace(entry, state=EndpointState.READY)
            self.update(EndpointsChanged(UpdateScope.DELTA, [entry]))


class IgnoresPacing(DeliveryPolicy):
    """Sends messages and health checks without waits to a destination that is down or warming up."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.limits.wait_ns = lambda endpoint, n, steps=1, refused=False: MS
        self.limits.ramp_next_ns = lambda endpoint, calls: self.context.now_ns


class IgnoresRetryAfter(DeliveryPolicy):
    """Ignores Retry-After."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.limits.apply_retry_after = lambda endpoint, retry_after_ns: None


class IgnoresOrderingKeys(DeliveryPolicy):
    """Ignores ordering keys."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.dispatcher._ready_from_ns = lambda message: message.ready_ns


class ForgetsEarlierAttempts(DeliveryPolicy):
    """Treats attempts that were in flight when its process ended as if they had never run."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        accept = self.dispatcher.accept
        self.dispatcher.accept = lambda event, destination: accept(
            replace(event, may_have_run_ns=0), destination
        )


VIOLATING_POLICIES = dict(
    zip(
        RULES,
        (
            OmitsFinalResults,
            RepeatsNonIdempotent,
            IgnoresDraining,
            IgnoresPacing,
            IgnoresRetryAfter,
            IgnoresOrderingKeys,
        ),
        strict=True,
    )
)


@pytest.mark.parametrize("rule", RULES)
def test_the_checker_catches_a_policy_that_breaks_a_rule(rule):
    model = world(couriers={"count": 2}, **TROUBLED)
    if rule == "cold":
        model = world(
            partners={"fall_slack": 1},
            trouble=[{"kind": "crash", "at_s": 3, "length_s": 4, "share": 0.9}],
        )
    results = [run_simulation(model, seed, policy_class=VIOLATING_POLICIES[rule]) for seed in (1, 2, 3)]
    assert any(result["broken"].get(rule) for result in results)
    violating = next(result for result in results if result["broken"].get(rule))
    assert violating["service"] == 0 < violating["service_unbroken"]
    assert any(
        violation["rule"] == rule and violation["why"] and violation["at_s"] > 0
        for violation in violating["breaks"]
    )


def test_the_checker_catches_a_payment_that_is_retried_after_a_restart():
    kills = [{"kind": "kill", "at_s": at, "length_s": 1, "share": 1.0, "batch": 1.0} for at in (3, 6, 9)]
    model = world(trouble=kills)
    assert not run_simulation(model, policy_class=DeliveryPolicy)["broken"].get("repeat")
    result = run_simulation(model, policy_class=ForgetsEarlierAttempts)
    assert any("may have run" in violation["why"] for violation in result["breaks"])  # found by the checker
    assert result["payments_twice"] and result["broken"]["repeat"]  # and by the count of executions


def test_restarts_that_overlap_leave_each_courier_running_once():
    kills = [
        {"kind": kind, "at_s": 3, "length_s": 1, "share": 1.0, "batch": 1.0} for kind in ("kill", "restart")
    ]
    simulation = Simulation(world(trouble=kills), draw_scenario(world(trouble=kills), 1))
    simulation.run()
    assert [instance.starts for instance in simulation.instances] == [2, 2, 2] and all(
        instance.up for instance in simulation.instances
    )


def test_the_policy_as_it_is_keeps_the_rules_on_a_day_with_faults():
    result = run_simulation(world(**TROUBLED), 1)
    assert not result["broken"] and result["payments_twice"] == 0
    assert 0.5 < result["service"] < 1 and result["delivered"] + result["failed"] == result["messages"]


def test_a_restart_resumes_accepted_messages_and_without_a_journal_they_are_lost():
    kill = [{"kind": "kill", "at_s": 5, "length_s": 1, "share": 1.0, "batch": 1.0}]
    calm = {"traffic": {"clump_share": 0.0, "load": 0.3}}
    resumed = run_simulation(world(trouble=kill, **calm))
    lost = run_simulation(world(trouble=kill, couriers={"resume": False}, **calm))
    assert resumed["failed"] < lost["failed"]
