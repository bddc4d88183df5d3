"""Plots of results, each as PNG and SVG. matplotlib is loaded here and nowhere else."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
matplotlib.rcParams["svg.hashsalt"] = "pinspread"  # the same plot gives the same file

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402
from numpy.typing import NDArray  # noqa: E402

from pinspread.simulation.compare import interval  # noqa: E402
from pinspread.simulation.results import PointResult, RunResult  # noqa: E402

DPI = 110
SMOOTHED_S = 3  # seconds over which service over time is averaged
LARGEST_LATENCY_US = 120_000_000  # that a histogram holds
SIGNIFICANT_DIGITS = 2  # of a histogram
US_PER_MS = 1000


def plot_over_time(points: Sequence[PointResult], folder: Path) -> str:
    """Service and load by second, the mean over runs with its middle half, faults of the first run marked.

    Like the other plots it writes a PNG and an SVG into the folder, and returns the name of the PNG.
    """
    figure, (service, load) = plt.subplots(2, 1, figsize=(9, 6), sharex=True)
    for point in points:
        _draw_over_time(point, service, load)
    last_runs = points[-1].completed_runs
    first_tries = _per_second(last_runs, "first_tries").mean(axis=0)
    seconds = np.arange(len(first_tries)) + 0.5
    load.plot(seconds, first_tries, color="black", linewidth=0.8, label="first tries")
    for fault in points[0].completed_runs[0].faults:
        for axes in (service, load):
            axes.axvspan(fault.from_s, fault.until_s, color="grey", alpha=0.12)
        service.text(fault.from_s, 0.02, fault.kind, rotation=90, fontsize=7, color="dimgrey")
    service.set_ylabel("worth delivered over worth asked")
    service.set_ylim(0, 1.05)
    load.set_ylabel("a second (dotted: retries)")
    load.set_xlabel("time in s; grey: troubles of the first run")
    service.legend(fontsize=8)
    load.legend(fontsize=8)
    return _save(figure, folder, "time")


def _draw_over_time(point: PointResult, service: Axes, load: Axes) -> None:
    runs = point.completed_runs
    earned, asked = _per_second(runs, "earned"), _per_second(runs, "asked")
    smooth = np.array([_smoothed_ratio(e, a) for e, a in zip(earned, asked, strict=True)])
    seconds = np.arange(smooth.shape[1]) + 0.5
    (line,) = service.plot(seconds, smooth.mean(axis=0), label=point.label)
    low, high = np.quantile(smooth, (0.25, 0.75), axis=0)
    color = line.get_color()
    service.fill_between(seconds, low, high, alpha=0.15, color=color)
    branches = _per_second(runs, "branches").mean(axis=0)
    load.plot(seconds, branches, color=color, label=f"branches, {point.label}")
    load.plot(seconds, _per_second(runs, "retries").mean(axis=0), color=color, linestyle=":")


def _per_second(runs: Sequence[RunResult], name: str) -> NDArray[np.float64]:
    """A figure of each run by second, cut to the shortest run: [runs, seconds]."""
    length = min(len(run.per_second(name)) for run in runs)
    return np.array([run.per_second(name)[:length] for run in runs])


def _smoothed_ratio(earned: NDArray[np.float64], asked: NDArray[np.float64]) -> NDArray[np.float64]:
    """Earned over asked, both averaged over `SMOOTHED_S`: [seconds]."""
    kernel = np.ones(SMOOTHED_S)
    asked = np.maximum(1e-9, np.convolve(asked, kernel, "same"))
    ratio: NDArray[np.float64] = np.convolve(earned, kernel, "same") / asked
    return ratio


def plot_latencies(points: Sequence[PointResult], folder: Path) -> str:
    """Distribution of the time from the first submission to delivery, all runs together."""
    figure, axes = plt.subplots(figsize=(7, 4))
    percentiles = np.concatenate([np.linspace(0, 99, 100), 100 - np.logspace(0, -2, 20)])
    for point in points:
        histogram = HdrHistogram(1, LARGEST_LATENCY_US, SIGNIFICANT_DIGITS)
        for run in point.completed_runs:
            histogram.add(HdrHistogram.decode(run.latency_histogram.encode()))
        latencies_ms = [histogram.get_value_at_percentile(one) / US_PER_MS for one in percentiles]
        axes.plot(latencies_ms, 1 - percentiles / 100, label=point.label)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("ms from first hand-in to delivery")
    axes.set_ylabel("share that takes longer")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return _save(figure, folder, "latency")


def plot_retries(points: Sequence[PointResult], folder: Path) -> str:
    """Retries against first tries, a dot a run."""
    figure, axes = plt.subplots(figsize=(6, 4))
    for point in points:
        runs = point.completed_runs
        axes.scatter([run.messages for run in runs], [run.retries for run in runs], s=14, label=point.label)
    axes.set_xlabel("first tries")
    axes.set_ylabel("retries")
    axes.legend(fontsize=8)
    return _save(figure, folder, "retries")


def plot_variants(points: Sequence[PointResult], folder: Path) -> str:
    """Service of each point with its interval, and the runs behind it."""
    figure, axes = plt.subplots(figsize=(7, 0.6 * len(points) + 1.4))
    for row, point in enumerate(points):
        services = [run.service for run in point.runs]
        mean, low, high = interval(services)
        axes.plot(services, np.full(len(services), row), ".", color="grey", alpha=0.4)
        axes.errorbar(mean, row, xerr=[[max(0, mean - low)], [max(0, high - mean)]], fmt="o", capsize=4)
    axes.set_yticks(range(len(points)), [point.label for point in points])
    axes.set_xlabel("service (dots: runs; bars: 90% interval of the mean)")
    return _save(figure, folder, "variants")


def plot_sweep(points: Sequence[PointResult], folder: Path) -> str:
    """Service over the values of a sweep, a line a variant."""
    figure, axes = plt.subplots(figsize=(7, 4))
    for variant in dict.fromkeys(point.variant for point in points):
        _draw_sweep([point for point in points if point.variant == variant], axes)
    axes.set_xlabel("value of the sweep")
    axes.set_ylabel("service")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return _save(figure, folder, "sweep")


def _draw_sweep(points: Sequence[PointResult], axes: Axes) -> None:
    """One variant; values that are no numbers stand in their order."""
    intervals = [interval([run.service for run in point.runs]) for point in points]
    mean, low, high = np.array(intervals).T
    values = [point.value for point in points]
    numeric = all(isinstance(value, int | float) for value in values)
    places = values if numeric else list(range(len(values)))
    below, above = np.maximum(0, mean - low), np.maximum(0, high - mean)
    axes.errorbar(places, mean, yerr=[below, above], marker="o", capsize=3, label=points[0].variant)
    if not numeric:
        axes.set_xticks(places, [str(value) for value in values])


def _save(figure: Figure, folder: Path, name: str) -> str:
    """Write both forms, and return the PNG's name."""
    figure.tight_layout()
    figure.savefig(folder / f"{name}.png", dpi=DPI)
    figure.savefig(folder / f"{name}.svg", metadata={"Date": None})
    plt.close(figure)
    return f"{name}.png"
