"""Comparison of two variants on the same days: paired differences with bootstrap intervals, and a verdict."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

import numpy as np
from numpy.typing import ArrayLike, NDArray
from scipy import stats

from pinspread.simulation.random_streams import random_stream
from pinspread.simulation.results import PointResult, RunResult, Violation

CONFIDENCE_LEVEL = 0.90  # of all intervals
RESAMPLES = 2000
MIN_RUNS = 5  # a bootstrap interval from fewer runs is not reliable
RELEVANT_DIFFERENCE = 0.005  # the smallest difference of service that someone would act on


class VerdictWord(StrEnum):
    """The outcome of a comparison."""

    BETTER = "better"
    WORSE = "worse"
    CANNOT_TELL = "cannot tell"


class Verdict(NamedTuple):
    """How the second side compares with the first, and the reason, as part of a sentence."""

    word: VerdictWord
    reason: str


class Interval(NamedTuple):
    """A mean and the bounds of its confidence interval."""

    mean: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Figure:
    """A figure of a run that comparisons cover, and how to read it from the run's result."""

    name: str
    read: Callable[[RunResult], float]
    more_is_better: bool


# Verdicts are about service. Stalled runs count in it; the other figures are
# compared over completed runs only.
SERVICE = Figure("service", lambda run: run.service, more_is_better=True)
FIGURES = (
    SERVICE,
    Figure("service, rules apart", lambda run: run.service_without_rules, more_is_better=True),
    Figure("whole run", lambda run: run.service_part("whole"), more_is_better=True),
    Figure("worst 10 s", lambda run: run.service_part("worst_10s"), more_is_better=True),
    Figure("worst class", lambda run: run.service_part("worst_class"), more_is_better=True),
    Figure("worst team", lambda run: run.service_part("worst_team"), more_is_better=True),
    Figure("late failures", lambda run: run.deductions["late_failures"], more_is_better=False),
    Figure("waste", lambda run: run.deductions["waste"], more_is_better=False),
    Figure("handshakes", lambda run: run.deductions["handshakes"], more_is_better=False),
    Figure("probes", lambda run: run.deductions["probes"], more_is_better=False),
    Figure("refused calls", lambda run: run.deductions["refused"], more_is_better=False),
    Figure("retries a message", lambda run: run.retries_per_message, more_is_better=False),
    Figure("p50 ms", lambda run: run.latency_ms(50), more_is_better=False),
    Figure("p99 ms", lambda run: run.latency_ms(99), more_is_better=False),
)


@dataclass(frozen=True, slots=True)
class Difference:
    """A figure on both sides of a comparison.

    Attributes:
        figure: The figure that is compared.
        first_mean: Its mean over the runs of the first side.
        second_mean: The same for the second side.
        interval: Confidence interval of the mean of second minus first, paired by seed.
        pairs: Number of pairs of runs.
        deviation: The standard deviation of these differences; 0 for a single pair.
    """

    figure: Figure
    first_mean: float
    second_mean: float
    interval: Interval
    pairs: int
    deviation: float

    def describe(self) -> str:
        """Describe the difference and its interval as part of a sentence."""
        mean, low, high = self.interval
        return f"{self.figure.name} {mean:+.4f}, 90% interval {low:+.4f} to {high:+.4f}"


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run that broke a rule."""

    seed: int
    rules: dict[str, int]
    first: Violation


@dataclass(frozen=True, slots=True)
class ComparedSide:
    """One side of a comparison: its label, and those of its runs that broke a rule."""

    label: str
    broken: list[BrokenRun]


@dataclass(frozen=True, slots=True)
class Comparison:
    """Two points compared on the same days; differences and verdict are of the second against the first."""

    first: ComparedSide
    second: ComparedSide
    verdict: Verdict
    differences: list[Difference]

    def to_document(self) -> dict[str, Any]:
        """Return the JSON object that `pinspread fleet compare --json` prints."""
        sides = (("a", self.first), ("b", self.second))
        return {
            **{key: side.label for key, side in sides},
            "verdict": self.verdict.word,
            "why": self.verdict.reason,
            "figures": [_difference_document(difference) for difference in self.differences],
            "broken": {
                key: [
                    {"seed": run.seed, "rules": run.rules, "first": run.first.record} for run in side.broken
                ]
                for key, side in sides
            },
        }


def _difference_document(difference: Difference) -> dict[str, Any]:
    return {
        "figure": difference.figure.name,
        "a": difference.first_mean,
        "b": difference.second_mean,
        "difference": difference.interval.mean,
        "low": difference.interval.low,
        "high": difference.interval.high,
        "more_is_better": difference.figure.more_is_better,
        "pairs": difference.pairs,
        "sd": difference.deviation,
    }


def interval(
    values: ArrayLike, level: float = CONFIDENCE_LEVEL, seed: int = 0, resamples: int = RESAMPLES
) -> Interval:
    """Return the mean of some values and its bootstrap interval.

    This is the expanded percentile interval (Hesterberg 2014, "What teachers should know about the
    bootstrap"). The plain percentile interval is too narrow for a dozen runs: by the factor sqrt(n/(n-1)),
    and by how much wider Student's t is than the normal distribution. docs/fleet.md gives the
    measured coverage.

    Args:
        values: One for each run.
        level: Confidence level, between 0 and 1.
        seed: Seed of the resampling.
        resamples: Number of resamples.
    """
    sample: NDArray[np.float64] = np.asarray(values, dtype=float)
    n, mean = len(sample), float(sample.mean())
    if n < 2 or np.ptp(sample) == 0:
        return Interval(mean, mean, mean)
    rng = random_stream(seed, "bootstrap", n)
    means = sample[rng.integers(0, n, (resamples, n))].mean(axis=1)
    tail = stats.norm.cdf(np.sqrt(n / (n - 1)) * stats.t.ppf((1 - level) / 2, n - 1))
    low, high = np.quantile(means, (tail, 1 - tail))
    return Interval(mean, float(low), float(high))


def measure_difference(
    figure: Figure, first: Sequence[RunResult], second: Sequence[RunResult]
) -> Difference | None:
    """Compare a figure over runs in the same order of seeds; None where no pair of runs has the figure."""
    pairs = [
        (figure.read(a), figure.read(b))
        for a, b in zip(first, second, strict=True)
        if figure is SERVICE or (a.completed and b.completed)
    ]
    if not pairs:
        return None
    a, b = np.array(pairs).T
    return Difference(
        figure=figure,
        first_mean=float(a.mean()),
        second_mean=float(b.mean()),
        interval=interval(b - a),
        pairs=len(pairs),
        deviation=float((b - a).std(ddof=1)) if len(pairs) > 1 else 0.0,
    )


def difference_verdict(difference: Difference) -> Verdict:
    """Judge a difference: better, worse, or cannot tell, with how many more runs would decide it."""
    n, (mean, low, high) = difference.pairs, difference.interval
    if mean == low == high == 0:
        return Verdict(VerdictWord.CANNOT_TELL, f"the two were the same in all {n} pairs of runs")
    if n < MIN_RUNS:
        return Verdict(
            VerdictWord.CANNOT_TELL,
            f"{n} pairs of runs are too few for an interval; run {MIN_RUNS - n} more",
        )
    if low > 0 or high < 0:
        improved = (low > 0) is difference.figure.more_is_better
        return Verdict(VerdictWord.BETTER if improved else VerdictWord.WORSE, difference.describe())
    half_width = (high - low) / 2
    if abs(mean) < RELEVANT_DIFFERENCE and half_width < RELEVANT_DIFFERENCE:
        reason = f"{difference.describe()}: if there is a difference, it is under {RELEVANT_DIFFERENCE}"
        return Verdict(VerdictWord.CANNOT_TELL, reason)
    # The half width shrinks with the root of the number of runs. It has to fall below the measured
    # difference, or below the smallest relevant one if that is larger.
    detectable = max(abs(mean), RELEVANT_DIFFERENCE)
    more = max(1, int(np.ceil(n * (half_width / detectable) ** 2 - n)))
    needed = f"about {more} more pairs of runs would tell a difference of {detectable:.4f}"
    return Verdict(VerdictWord.CANNOT_TELL, f"{difference.describe()}; {needed}")


def unbroken_pairs(
    first: Sequence[RunResult], second: Sequence[RunResult]
) -> list[tuple[RunResult, RunResult]]:
    """Return the pairs of runs on the same day in which neither run broke a rule."""
    pairs = zip(first, second, strict=True)
    return [(a, b) for a, b in pairs if not a.broken_rules and not b.broken_rules]


def compare_points(first: Sequence[RunResult], second: Sequence[RunResult]) -> Verdict:
    """Judge two sides: first by broken rules, then by service on the days on which neither broke a rule.

    The service of a run that broke a rule counts as 0. One such day among twenty shifts the mean by more than
    a bootstrap interval can account for, so the days on which only one side broke a rule are compared by an
    exact binomial test.
    """
    pairs = list(zip(first, second, strict=True))
    only_second_broke = sum(not a.broken_rules and bool(b.broken_rules) for a, b in pairs)
    only_first_broke = sum(bool(a.broken_rules) and not b.broken_rules for a, b in pairs)
    p_value = (
        stats.binomtest(only_first_broke, only_first_broke + only_second_broke).pvalue
        if only_first_broke + only_second_broke
        else 1.0
    )
    first_broken = sum(bool(run.broken_rules) for run in first)
    second_broken = sum(bool(run.broken_rules) for run in second)
    days = f"rules broken on {first_broken} and {second_broken} of {len(pairs)} days"
    if p_value < 1 - CONFIDENCE_LEVEL:
        word = VerdictWord.BETTER if only_first_broke > only_second_broke else VerdictWord.WORSE
        return Verdict(word, f"{days}; chance alone would differ so with p = {p_value:.2g}")
    unbroken = unbroken_pairs(first, second)
    difference = measure_difference(SERVICE, [a for a, _ in unbroken], [b for _, b in unbroken])
    if difference is None:
        return Verdict(VerdictWord.CANNOT_TELL, f"{days}: none is left on which both kept them")
    word, reason = difference_verdict(difference)
    if first_broken + second_broken:
        reason += f" (the {len(unbroken)} days without a broken rule; {days})"
    return Verdict(word, reason)


def compare_variants(
    first: PointResult, second: PointResult, labels: tuple[str, str] | None = None
) -> Comparison:
    """Compare two points with the same seeds.

    Args:
        first: The baseline.
        second: The point that the verdict is about.
        labels: Labels of the two; the names of their variants by default.
    """
    first_label, second_label = labels or (first.variant, second.variant)
    differences = [measure_difference(figure, first.runs, second.runs) for figure in FIGURES]
    return Comparison(
        first=ComparedSide(first_label, _broken_runs(first)),
        second=ComparedSide(second_label, _broken_runs(second)),
        verdict=compare_points(first.runs, second.runs),
        differences=[difference for difference in differences if difference is not None],
    )


def _broken_runs(point: PointResult) -> list[BrokenRun]:
    return [
        BrokenRun(seed, run.broken_rules, run.first_violation)
        for seed, run in zip(point.seeds, point.runs, strict=True)
        if run.broken_rules
    ]


def format_comparison(comparison: Comparison) -> str:
    """Format a comparison as Markdown: verdict, table of differences, runs that broke a rule."""
    first, second = comparison.first, comparison.second
    lines = [
        f"**{second.label} against {first.label}: {comparison.verdict.word}.** {comparison.verdict.reason}.",
        "",
        f"| figure | {first.label} | {second.label} | difference | 90% interval |",
        "| --- | ---: | ---: | ---: | ---: |",
    ]
    for difference in comparison.differences:
        mean, low, high = difference.interval
        lines.append(
            f"| {difference.figure.name} | {difference.first_mean:.4f} | {difference.second_mean:.4f} |"
            f" {mean:+.4f} | {low:+.4f} to {high:+.4f} |"
        )
    for side in (first, second):
        for run in side.broken:
            rules = ", ".join(f"{rule} ({count})" for rule, count in run.rules.items())
            at = "" if run.first.at_s is None else f" at {run.first.at_s} s"
            broken = f"service counts as 0, broken: {rules};{at} {run.first.reason}."
            lines += ["", f"{side.label}, seed {run.seed}: {broken}"]
    return "\n".join(lines)
