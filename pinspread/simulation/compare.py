"""Two variants on the same days: paired differences with bootstrap intervals, and a plain verdict."""

import numpy as np
from scipy import stats

from pinspread.simulation.random_streams import random_stream

LEVEL = 0.90
RESAMPLES = 2000
LEAST_RUNS = 5  # under that no interval is honest
MATTERS = 0.005  # a difference of service that someone would act on
FIGURES = (
    ("service", lambda r: r["service"], True),
    ("service, rules apart", lambda r: r["service_unbroken"], True),
    ("whole run", lambda r: r["parts"]["whole"], True),
    ("worst 10 s", lambda r: r["parts"]["worst_10s"], True),
    ("worst class", lambda r: r["parts"]["worst_class"], True),
    ("worst team", lambda r: r["parts"]["worst_team"], True),
    ("late failures", lambda r: r["deductions"]["late_failures"], False),
    ("waste", lambda r: r["deductions"]["waste"], False),
    ("handshakes", lambda r: r["deductions"]["handshakes"], False),
    ("probes", lambda r: r["deductions"]["probes"], False),
    ("refused calls", lambda r: r["deductions"]["refused"], False),
    ("retries a message", lambda r: r["retries"] / max(1, r["messages"]), False),
    ("p50 ms", lambda r: r["latency_all"]["ms"].get("50", 0.0), False),
    ("p99 ms", lambda r: r["latency_all"]["ms"].get("99", 0.0), False),
)


def interval(values, level=LEVEL, seed=0, resamples=RESAMPLES):
    """The mean of some values and its bootstrap interval: (mean, low, high).

    The expanded percentile interval (Hesterberg 2014, "What teachers should know about the bootstrap"): the
    plain one is too narrow for a dozen runs, by the root of n/(n-1) and by what Student's t is wider than
    the normal distribution. Its coverage is measured in docs/fleet.md.
    """
    values = np.asarray(values, dtype=float)
    n, mean = len(values), float(values.mean())
    if n < 2 or np.ptp(values) == 0:
        return mean, mean, mean
    rng = random_stream(seed, "bootstrap", n)
    means = values[rng.integers(0, n, (resamples, n))].mean(axis=1)
    tail = stats.norm.cdf(np.sqrt(n / (n - 1)) * stats.t.ppf((1 - level) / 2, n - 1))
    low, high = np.quantile(means, (tail, 1 - tail))
    return mean, float(low), float(high)


def figures(a_runs, b_runs):
    """Each figure's means and the interval of B minus A, over runs in the same order of seeds."""
    found = []
    for name, read, more_is_better in FIGURES:
        pairs = [
            (read(a), read(b)) for a, b in zip(a_runs, b_runs, strict=True) if "parts" in a and "parts" in b
        ]
        if name == "service":  # a run that broke a rule, or got stuck, counts as 0 here
            pairs = [(read(a), read(b)) for a, b in zip(a_runs, b_runs, strict=True)]
        if not pairs:
            continue
        a, b = np.array(pairs).T
        mean, low, high = interval(b - a)
        found.append({"figure": name, "a": float(a.mean()), "b": float(b.mean()), "difference": mean,
                      "low": low, "high": high, "more_is_better": more_is_better, "pairs": len(pairs),
                      "sd": float((b - a).std(ddof=1)) if len(pairs) > 1 else 0.0})  # fmt: skip
    return found


def verdict(figure):
    """Better, worse, or cannot tell (and how many more runs would): a word and a sentence."""
    n, name = figure["pairs"], figure["figure"]
    if figure["difference"] == figure["low"] == figure["high"] == 0:
        return "cannot tell", f"the two were the same in all {n} pairs of runs"
    if n < LEAST_RUNS:
        return "cannot tell", f"{n} pairs of runs are too few for an interval; run {LEAST_RUNS - n} more"
    if figure["low"] > 0 or figure["high"] < 0:
        good = (figure["low"] > 0) is figure["more_is_better"]
        span = f"{figure['difference']:+.4f}, 90% interval {figure['low']:+.4f} to {figure['high']:+.4f}"
        return ("better" if good else "worse"), f"{name} {span}"
    # The half width shrinks with the root of the runs; it must come under what is seen, or what matters.
    aim = max(abs(figure["difference"]), MATTERS)
    half = (figure["high"] - figure["low"]) / 2
    more = max(1, int(np.ceil(n * (half / aim) ** 2 - n)))
    why = f"{name} {figure['difference']:+.4f}, 90% interval {figure['low']:+.4f} to {figure['high']:+.4f}"
    if abs(figure["difference"]) < MATTERS and half < MATTERS:
        return "cannot tell", f"{why}: if there is a difference, it is under {MATTERS}"
    return "cannot tell", f"{why}; about {more} more pairs of runs would tell a difference of {aim:.4f}"


def unbroken_pairs(a_runs, b_runs):
    """The pairs of days on which neither broke a rule."""
    return [(a, b) for a, b in zip(a_runs, b_runs, strict=True) if not a["broken"] and not b["broken"]]


def compare_points(a, b):
    """The verdict on two points and why: rules first, then service on the days on which both kept them.

    A run that broke a rule counts as 0, and one such day among twenty moves a mean further than any bootstrap
    of it can know. So days that differ in rules are counted, by an exact test.
    """
    pairs = list(zip(a["runs"], b["runs"], strict=True))
    lost = sum(not x["broken"] and bool(y["broken"]) for x, y in pairs)
    won = sum(bool(x["broken"]) and not y["broken"] for x, y in pairs)
    chance = stats.binomtest(won, won + lost).pvalue if won + lost else 1.0
    a_broke, b_broke = (sum(bool(run["broken"]) for run in side["runs"]) for side in (a, b))
    days = f"rules broken on {a_broke} and {b_broke} of {len(pairs)} days"
    if chance < 1 - LEVEL:
        return (
            "better" if won > lost else "worse",
            f"{days}; chance alone would differ so with p = {chance:.2g}",
        )
    both = unbroken_pairs(a["runs"], b["runs"])
    if not both:
        return "cannot tell", f"{days}: none is left on which both kept them"
    word, why = verdict(figures(*zip(*both, strict=True))[0])
    return (
        word,
        why if not a_broke + b_broke else f"{why} (the {len(both)} days without a broken rule; {days})",
    )


def compare_variants(a, b):
    """Two points of results with the same seeds: verdict, reason and the figures."""
    found = figures(a["runs"], b["runs"])
    word, why = compare_points(a, b)
    broken = {}
    for side, point in (("a", a), ("b", b)):
        broken[side] = [
            {
                "seed": seed,
                "rules": run["broken"],
                "first": (run.get("breaks") or [{"why": run.get("stuck", "")}])[0],
            }
            for seed, run in zip(point.get("seeds", range(len(point["runs"]))), point["runs"], strict=True)
            if run["broken"]
        ]
    return {
        "a": a["variant"],
        "b": b["variant"],
        "verdict": word,
        "why": why,
        "figures": found,
        "broken": broken,
    }


def format_comparison(found) -> str:
    """A comparison as a Markdown table."""
    lines = [
        f"**{found['b']} against {found['a']}: {found['verdict']}.** {found['why']}.",
        "",
        f"| figure | {found['a']} | {found['b']} | difference | 90% interval |",
        "| --- | ---: | ---: | ---: | ---: |",
    ]
    for f in found["figures"]:
        lines.append(
            f"| {f['figure']} | {f['a']:.4f} | {f['b']:.4f} | {f['difference']:+.4f} |"
            f" {f['low']:+.4f} to {f['high']:+.4f} |"
        )
    for side in ("a", "b"):
        for one in found["broken"][side]:
            rules = ", ".join(f"{rule} ({count})" for rule, count in one["rules"].items())
            first = one["first"]
            at = f" at {first['at_s']} s" if "at_s" in first else ""
            lines.append("")
            lines.append(
                f"{found[side]}, seed {one['seed']}: service counts as 0, broken: {rules};{at} {first['why']}."
            )
    return "\n".join(lines)
