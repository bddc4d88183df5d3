"""Metrics of a simulated day, and verdicts of comparisons between variants."""

import numpy as np
import pytest
from simulation_helpers import run_simulation, world

from pinspread.simulation.compare import FIGURES, compare_variants, format_comparison, interval
from pinspread.simulation.engine import SECOND
from pinspread.simulation.metrics import MessageTable, message_values, service_parts
from pinspread.simulation.results import PointResult, RunResult


def one_payment(age, within_quota):
    return MessageTable(np.array([0]), np.array([2]), np.array([0]), np.array([within_quota]), age)


@pytest.mark.parametrize(
    ("age_s", "share"), [(-1, 0), (1, 1), (2, 1), (4, 0.5), (6, 0.3), (20, 0.3), (21, 0)], ids=str
)
def test_priority_weight_halves_with_each_further_objective_down_to_its_least_and_to_nothing(age_s, share):
    age = np.array([int(age_s * SECOND)])
    # Payments have a latency objective of 2 s, a deadline of 20 s and a minimum share of 30%.
    possible, earned = message_values(world(), one_payment(age, True))
    assert possible[0] == 5 and earned[0] == pytest.approx(5 * share)
    _, over = message_values(world(), one_payment(age, False))
    assert over[0] == pytest.approx(earned[0] * 0.2)


def test_service_weighs_the_whole_the_worst_class_and_the_worst_tenant():
    arrival_ns = np.arange(0, 30, 0.5) * SECOND
    n = len(arrival_ns)
    class_index, tenant_index = np.arange(n) % 3, np.arange(n) % 2
    age = np.where((arrival_ns >= 10 * SECOND) & (arrival_ns < 20 * SECOND), -1, SECOND)
    table = MessageTable(arrival_ns.astype(np.int64), class_index, tenant_index, np.ones(n, dtype=bool), age)
    parts = service_parts(world(), table, 30 * SECOND)
    assert parts["worst_10s"] == 0
    total = 0.3 * parts["whole"] + 0.2 * parts["worst_class"] + 0.1 * parts["worst_team"]
    assert parts["total"] == pytest.approx(total)


def test_the_interval_of_noise_holds_its_mean_nine_times_in_ten():
    rng = np.random.default_rng(4)
    covered = 0
    for n in range(400):
        low, high = interval(rng.standard_normal(12), seed=n)[1:]
        covered += low <= 0 <= high
    assert 0.85 <= covered / 400 <= 0.95


def result(name, services):
    measured = run_simulation(world(length_s=4))
    runs = [measured | {"service": s, "service_unbroken": s} for s in services]
    return PointResult.from_record({"variant": name, "runs": runs}, range(len(services)))


@pytest.mark.parametrize(
    ("shift", "word", "why"),
    [
        ([0.0] * 8, "cannot tell", "the same in all 8"),
        ([0.05, 0.06, 0.05, 0.04, 0.05, 0.06, 0.05, 0.05], "better", "+0.05"),
        ([-0.05, -0.06, -0.05, -0.04, -0.05, -0.06, -0.05, -0.05], "worse", "-0.05"),
        ([0.1, -0.1, 0.2, -0.15, 0.12, -0.2, 0.03, 0.0], "cannot tell", "more pairs"),
        ([0.1, 0.1, 0.1], "cannot tell", "too few"),
    ],
)
def test_verdicts_of_comparisons_are_plain(shift, word, why):
    base = [0.80 + n / 100 for n in range(len(shift))]
    comparison = compare_variants(
        result("a", base), result("b", [b + s for b, s in zip(base, shift, strict=True)])
    )
    assert comparison.verdict.word == word and why in comparison.verdict.reason
    assert comparison.verdict.reason in format_comparison(comparison)
    output = comparison.to_document()
    assert (output["verdict"], output["why"]) == comparison.verdict and len(output["figures"]) == len(FIGURES)


@pytest.mark.parametrize(
    ("a_broke", "b_broke", "word", "why"),
    [
        ((), (3,), "cannot tell", "rules broken on 0 and 1 of 20 days"),  # one day is not significant
        ((), range(8), "worse", "p = 0.0078"),
        (range(8), (), "better", "p = 0.0078"),
        (range(20), range(20), "cannot tell", "none is left"),
    ],
)
def test_a_rule_broken_on_one_day_gives_no_verdict_but_on_many_days_it_does(a_broke, b_broke, word, why):
    services = [0.8 + n / 1000 for n in range(20)]
    sides = []
    for name, broke in (("a", a_broke), ("b", b_broke)):
        side = result(name, services)
        for n in broke:
            record = side.runs[n].record | {"service": 0.0, "broken": {"cold": 1}}
            side.runs[n] = RunResult(record)
        sides.append(side)
    comparison = compare_variants(*sides)
    assert comparison.verdict.word == word and why in comparison.verdict.reason
    assert format_comparison(comparison).count("service counts as 0") == len(a_broke) + len(b_broke)
