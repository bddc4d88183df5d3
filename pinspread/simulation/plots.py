"""Plots of results, each as PNG and SVG. matplotlib is loaded here and nowhere else."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
matplotlib.rcParams["svg.hashsalt"] = "pinspread"  # the same plot gives the same file

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from pinspread.simulation.compare import interval  # noqa: E402


def save(figure, folder, name):
    """Write both forms; gives the PNG's name."""
    figure.tight_layout()
    figure.savefig(Path(folder) / f"{name}.png", dpi=110)
    figure.savefig(Path(folder) / f"{name}.svg", metadata={"Date": None})
    plt.close(figure)
    return f"{name}.png"


def over_time(points, folder, name="time"):
    """Service and load by second, the mean over runs with its middle half, troubles of the first run marked."""
    figure, axes = plt.subplots(2, 1, figsize=(9, 6), sharex=True)
    for point in points:
        runs = [r for r in point["runs"] if "series" in r]
        length = min(len(r["series"]["asked"]) for r in runs)
        asked = np.array([r["series"]["asked"][:length] for r in runs])
        earned = np.array([r["series"]["earned"][:length] for r in runs])
        kernel = np.ones(3)
        smooth = np.array([np.convolve(e, kernel, "same") / np.maximum(1e-9, np.convolve(a, kernel, "same"))
                           for a, e in zip(asked, earned, strict=True)])  # fmt: skip
        x = np.arange(length) + 0.5
        (line,) = axes[0].plot(x, smooth.mean(axis=0), label=label(point))
        low, high = np.quantile(smooth, (0.25, 0.75), axis=0)
        axes[0].fill_between(x, low, high, alpha=0.15, color=line.get_color())
        branches = np.mean([r["series"]["branches"][:length] for r in runs], axis=0)
        retries = np.mean([r["series"]["retries"][:length] for r in runs], axis=0)
        axes[1].plot(x, branches, color=line.get_color(), label=f"branches, {label(point)}")
        axes[1].plot(x, retries, color=line.get_color(), linestyle=":")
    first = next(r for r in points[0]["runs"] if "series" in r)
    axes[1].plot(np.arange(length) + 0.5, np.mean([r["series"]["first_tries"][:length] for r in runs], axis=0),
                 color="black", linewidth=0.8, label="first tries")  # fmt: skip
    for trouble in first["troubles"]:
        for ax in axes:
            ax.axvspan(trouble["at_s"], trouble["until_s"], color="grey", alpha=0.12)
        axes[0].text(trouble["at_s"], 0.02, trouble["kind"], rotation=90, fontsize=7, color="dimgrey")
    axes[0].set_ylabel("worth delivered over worth asked")
    axes[0].set_ylim(0, 1.05)
    axes[1].set_ylabel("a second (dotted: retries)")
    axes[1].set_xlabel("time in s; grey: troubles of the first run")
    axes[0].legend(fontsize=8)
    axes[1].legend(fontsize=8)
    return save(figure, folder, name)


def latencies(points, folder, name="latency"):
    """Distribution of the time from the first hand-in to delivery, all runs together."""
    figure, ax = plt.subplots(figsize=(7, 4))
    for point in points:
        whole = HdrHistogram(1, 120_000_000, 2)
        for run in point["runs"]:
            if "latency_all" in run:
                whole.add(HdrHistogram.decode(run["latency_all"]["hdr"].encode()))
        shares = np.concatenate([np.linspace(0, 99, 100), 100 - np.logspace(0, -2, 20)])
        ax.plot(
            [whole.get_value_at_percentile(p) / 1000 for p in shares], 1 - shares / 100, label=label(point)
        )
    ax.set_xscale("log")
    ax.set_yscale("log")
    ax.set_xlabel("ms from first hand-in to delivery")
    ax.set_ylabel("share that takes longer")
    ax.grid(alpha=0.3)
    ax.legend(fontsize=8)
    return save(figure, folder, name)


def retries(points, folder, name="retries"):
    """Retries against first tries, a dot a run."""
    figure, ax = plt.subplots(figsize=(6, 4))
    for point in points:
        runs = [r for r in point["runs"] if "retries" in r]
        ax.scatter([r["messages"] for r in runs], [r["retries"] for r in runs], s=14, label=label(point))
    ax.set_xlabel("first tries")
    ax.set_ylabel("retries")
    ax.legend(fontsize=8)
    return save(figure, folder, name)


def variants(points, folder, name="variants"):
    """Service of each variant with its interval, and the runs behind it."""
    figure, ax = plt.subplots(figsize=(7, 0.6 * len(points) + 1.4))
    for n, point in enumerate(points):
        values = [r["service"] for r in point["runs"]]
        mean, low, high = interval(values)
        ax.plot(values, np.full(len(values), n), ".", color="grey", alpha=0.4)
        ax.errorbar(mean, n, xerr=[[max(0, mean - low)], [max(0, high - mean)]], fmt="o", capsize=4)
    ax.set_yticks(range(len(points)), [label(p) for p in points])
    ax.set_xlabel("service (dots: runs; bars: 90% interval of the mean)")
    return save(figure, folder, name)


def sweep(points, folder, name="sweep", figure_name="service"):
    """A figure over the values of a sweep, a line a variant."""
    figure, ax = plt.subplots(figsize=(7, 4))
    for variant in dict.fromkeys(p["variant"] for p in points):
        mine = [p for p in points if p["variant"] == variant]
        found = [interval([r[figure_name] for r in p["runs"]]) for p in mine]
        x = [p["value"] for p in mine]
        numeric = all(isinstance(v, int | float) for v in x)
        at = x if numeric else list(range(len(x)))
        mean, low, high = np.array(found).T
        ax.errorbar(
            at,
            mean,
            yerr=[np.maximum(0, mean - low), np.maximum(0, high - mean)],
            marker="o",
            capsize=3,
            label=variant,
        )
        if not numeric:
            ax.set_xticks(at, [str(v) for v in x])
    ax.set_xlabel("value of the sweep")
    ax.set_ylabel(figure_name)
    ax.grid(alpha=0.3)
    ax.legend(fontsize=8)
    return save(figure, folder, name)


def label(point):
    """A point's name in a legend."""
    return point["variant"] if point["value"] is None else f"{point['variant']}, {point['value']}"
