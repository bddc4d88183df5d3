"""The metrics of a simulated day, and the verdicts of comparisons between variants."""

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
    asked, earned = message_values(world(), one_payment(age, True))  # 2 s, 20 s, 30%
    assert asked[0] == 5 and earned[0] == pytest.approx(5 * share)
    _, over = message_values(world(), one_payment(age, False))
    assert over[0] == pytest.approx(earned[0] * 0.2)


def test_service_weighs_the_whole_the_worst_class_and_the_worst_tenant():
    at = np.arange(0, 30, 0.5) * SECOND
    n = len(at)
    cls, team = np.arange(n) % 3, np.arange(n) % 2
    age = np.where((at >= 10 * SECOND) & (at < 20 * SECOND), -1, SECOND)
    table = MessageTable(at.astype(np.int64), cls, team, np.ones(n, dtype=bool), age)
    found = service_parts(world(), table, 30 * SECOND)
    assert found["worst_10s"] == 0
    total = 0.3 * found["whole"] + 0.2 * found["worst_class"] + 0.1 * found["worst_team"]
    assert found["total"] == pytest.approx(total)


def test_the_interval_of_noise_holds_its_mean_nine_times_in_ten():
    rng = np.random.default_rng(4)
    held = 0
    for n in range(400):
        low, high = interval(rng.standard_normal(12), seed=n)[1:]
        held += low <= 0 <= high
    assert 0.85 <= held / 400 <= 0.95


def result(name, services):
    one = run_simulation(world(length_s=4))
    runs = [one | {"service": s, "service_unbroken": s} for s in services]
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
    found = compare_variants(
        result("a", base), result("b", [b + s for b, s in zip(base, shift, strict=True)])
    )
    assert found.verdict.word == word and why in found.verdict.reason
    assert found.verdict.reason in format_comparison(found)
    shown = found.to_document()
    assert (shown["verdict"], shown["why"]) == found.verdict and len(shown["figures"]) == len(FIGURES)


@pytest.mark.parametrize(
    ("a_broke", "b_broke", "word", "why"),
    [
        ((), (3,), "cannot tell", "rules broken on 0 and 1 of 20 days"),  # one day is no proof
        ((), range(8), "worse", "p = 0.0078"),
        (range(8), (), "better", "p = 0.0078"),
        (range(20), range(20), "cannot tell", "none is left"),
    ],
)
def test_a_rare_broken_rule_is_no_verdict_and_many_are_one(a_broke, b_broke, word, why):
    services = [0.8 + n / 1000 for n in range(20)]
    sides = []
    for name, broke in (("a", a_broke), ("b", b_broke)):
        side = result(name, services)
        for n in broke:
            record = side.runs[n].record | {"service": 0.0, "broken": {"cold": 1}}
            side.runs[n] = RunResult(record)
        sides.append(side)
    found = compare_variants(*sides)
    assert found.verdict.word == word and why in found.verdict.reason
    assert format_comparison(found).count("service counts as 0") == len(a_broke) + len(b_broke)
