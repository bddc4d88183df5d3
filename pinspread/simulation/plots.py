"""Plots of results, each as PNG and SVG. In the simulation only this module imports matplotlib."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
matplotlib.rcParams["svg.hashsalt"] = "pinspread"  # equal plots give equal files

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402
from numpy.typing import NDArray  # noqa: E402

from pinspread.simulation.compare import interval  # noqa: E402
from pinspread.simulation.results import PointResult, RunResult  # noqa: E402

DPI = 110
SMOOTHING_S = 3  # window of the moving average of service over time
MAX_LATENCY_US = 120_000_000  # largest latency in a histogram
SIGNIFICANT_DIGITS = 2  # precision of a histogram
US_PER_MS = 1000


def plot_over_time(points: Sequence[PointResult], folder: Path) -> str:
    """Plot service and load by second: mean and interquartile range over runs, faults of the first run.

    Like the other plot functions it writes a PNG and an SVG into the folder, and returns the name of the PNG.
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
    service.set_ylabel("earned value over possible value")
    service.set_ylim(0, 1.05)
    load.set_ylabel("per second (dotted: retries)")
    load.set_xlabel("time in s; grey: faults of the first run")
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
    load.plot(seconds, branches, color=color, label=f"attempts, {point.label}")
    load.plot(seconds, _per_second(runs, "retries").mean(axis=0), color=color, linestyle=":")


def _per_second(runs: Sequence[RunResult], name: str) -> NDArray[np.float64]:
    """Return a figure of each run by second, truncated to the shortest run: [runs, seconds]."""
    length = min(len(run.per_second(name)) for run in runs)
    return np.array([run.per_second(name)[:length] for run in runs])


def _smoothed_ratio(earned: NDArray[np.float64], asked: NDArray[np.float64]) -> NDArray[np.float64]:
    """Return earned over asked, both averaged over `SMOOTHING_S`: [seconds]."""
    kernel = np.ones(SMOOTHING_S)
    asked = np.maximum(1e-9, np.convolve(asked, kernel, "same"))
    ratio: NDArray[np.float64] = np.convolve(earned, kernel, "same") / asked
    return ratio


def plot_latencies(points: Sequence[PointResult], folder: Path) -> str:
    """Plot the distribution of the time from first submission to delivery, over all runs."""
    figure, axes = plt.subplots(figsize=(7, 4))
    percentiles = np.concatenate([np.linspace(0, 99, 100), 100 - np.logspace(0, -2, 20)])
    for point in points:
        histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        for run in point.completed_runs:
            histogram.add(HdrHistogram.decode(run.latency_histogram.encode()))
        latencies_ms = [
            histogram.get_value_at_percentile(percentile) / US_PER_MS for percentile in percentiles
        ]
        axes.plot(latencies_ms, 1 - percentiles / 100, label=point.label)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("ms from first submission to delivery")
    axes.set_ylabel("share of messages that take longer")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return _save(figure, folder, "latency")


def plot_retries(points: Sequence[PointResult], folder: Path) -> str:
    """Plot retries against first attempts, with a dot for each run."""
    figure, axes = plt.subplots(figsize=(6, 4))
    for point in points:
        runs = point.completed_runs
        axes.scatter([run.messages for run in runs], [run.retries for run in runs], s=14, label=point.label)
    axes.set_xlabel("first tries")
    axes.set_ylabel("retries")
    axes.legend(fontsize=8)
    return _save(figure, folder, "retries")


def plot_variants(points: Sequence[PointResult], folder: Path) -> str:
    """Plot the service of each point: mean with its interval, and a dot for each run."""
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
    """Plot service over the values of a sweep, with a line for each variant."""
    figure, axes = plt.subplots(figsize=(7, 4))
    for variant in dict.fromkeys(point.variant for point in points):
        _draw_sweep([point for point in points if point.variant == variant], axes)
    axes.set_xlabel("value of the sweep")
    axes.set_ylabel("service")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return _save(figure, folder, "sweep")


def _draw_sweep(points: Sequence[PointResult], axes: Axes) -> None:
    """Draw the line of one variant; values that are not numbers are spaced evenly in their order."""
    intervals = [interval([run.service for run in point.runs]) for point in points]
    mean, low, high = np.array(intervals).T
    values = [point.value for point in points]
    numeric = all(isinstance(value, int | float) for value in values)
    positions = values if numeric else list(range(len(values)))
    below, above = np.maximum(0, mean - low), np.maximum(0, high - mean)
    axes.errorbar(positions, mean, yerr=[below, above], marker="o", capsize=3, label=points[0].variant)
    if not numeric:
        axes.set_xticks(positions, [str(value) for value in values])


def _save(figure: Figure, folder: Path, name: str) -> str:
    """Write a figure as PNG and SVG; return the name of the PNG."""
    figure.tight_layout()
    figure.savefig(folder / f"{name}.png", dpi=DPI)
    figure.savefig(folder / f"{name}.svg", metadata={"Date": None})
    plt.close(figure)
    return f"{name}.png"
