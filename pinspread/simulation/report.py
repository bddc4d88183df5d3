"""Markdown report of a result, with plots, for readers who do not know the experiment."""

from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from pinspread.simulation.compare import compare_variants, format_comparison, interval
from pinspread.simulation.results import PointResult, RunResult, points_of

MAX_PLOTTED = 4  # points in one plot; if there are more, only the first and the last are shown


def write_report(result: Mapping[str, Any], folder: str) -> Path:
    """Write report.md and its plots.

    Args:
        result: The content of result.json.
        folder: The folder to write to; it is created if missing.

    Returns:
        The path of report.md.
    """
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    text = _paper_report(result) if result["kind"] == "paper" else _days_report(result, path)
    file = path / "report.md"
    file.write_text(text)
    return file


def _days_report(result: Mapping[str, Any], folder: Path) -> str:
    points = points_of(result)
    lines = [f"# {result['experiment']}", ""]
    if result["about"]:
        lines += [result["about"], ""]
    lines += [_introduction(points[0]), ""]
    lines += _variant_table(points)
    lines.append("")
    for point in points[1:]:
        lines += _comparison_section(points, point)
    lines += _plots_section(points, folder)
    return "\n".join(lines)


def _introduction(point: PointResult) -> str:
    world = point.world
    traffic = world["traffic"]
    return (
        f"{len(point.seeds)} days of {world['length_s']:g} s, drawn anew for each seed and the same for every"
        f" variant: {world['couriers']['count']} couriers, {world['partners']['endpoints']} endpoints,"
        f" {traffic['rate_per_s']:g} messages a second at {traffic['load']:.0%} of full load."
        " Service and its parts run from 0 to 1; a run that breaks a rule counts as 0."
    )


def _variant_table(points: Sequence[PointResult]) -> list[str]:
    return [
        "| variant | service | 90% interval | whole | worst 10 s | worst class | deductions | p50 ms | p99 ms"
        " | retries a message | runs that broke a rule |",
        "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
        *(_variant_row(point) for point in points),
    ]


def _variant_row(point: PointResult) -> str:
    mean, low, high = interval([run.service for run in point.runs])

    def mean_of(read: Callable[[RunResult], float]) -> float:
        runs = point.completed_runs
        return sum(map(read, runs)) / max(1, len(runs))

    cells = [
        point.label,
        f"{mean:.4f}",
        f"{low:.4f} to {high:.4f}",
        f"{mean_of(lambda run: run.service_part('whole')):.4f}",
        f"{mean_of(lambda run: run.service_part('worst_10s')):.4f}",
        f"{mean_of(lambda run: run.service_part('worst_class')):.4f}",
        f"{mean_of(lambda run: sum(run.deductions.values())):.4f}",
        f"{mean_of(lambda run: run.latency_ms(50)):.0f}",
        f"{mean_of(lambda run: run.latency_ms(99)):.0f}",
        f"{mean_of(lambda run: run.retries_per_message):.3f}",
        f"{point.broken_count} of {len(point.runs)}",
    ]
    return f"| {' | '.join(cells)} |"


def _comparison_section(points: Sequence[PointResult], point: PointResult) -> list[str]:
    """Compare a point with the first one, or with the first variant at the same value of the sweep."""
    base = points[0]
    if point.value != base.value and point.variant != base.variant:
        base = next(other for other in points if other.variant == base.variant and other.value == point.value)
    comparison = compare_variants(base, point, (base.label, point.label))
    return [f"## {point.label}", "", format_comparison(comparison), ""]


def _plots_section(points: Sequence[PointResult], folder: Path) -> list[str]:
    from pinspread.simulation import plots  # imported here since it loads matplotlib

    shown = points if len(points) <= MAX_PLOTTED else [points[0], points[-1]]
    titles = [
        ("Service and load over time", plots.plot_over_time(shown, folder)),
        ("Time to delivery", plots.plot_latencies(shown, folder)),
        ("Retries against first tries", plots.plot_retries(shown, folder)),
        ("Service by variant", plots.plot_variants(points, folder)),
    ]
    if any(point.value is not None for point in points):
        titles.append(("Over the sweep", plots.plot_sweep(points, folder)))
    lines = ["## Plots", ""]
    for title, file_name in titles:
        lines += [f"![{title}]({file_name})", ""]
    return lines


def _paper_report(result: Mapping[str, Any]) -> str:
    figures = result["paper"]
    lines = [
        f"# {result['experiment']}",
        "",
        "The most requests in one step at the last retry, beside the paper's:",
        "",
        "| randomness | mean over seeds | 5% to 95% | paper |",
        "| ---: | ---: | ---: | ---: |",
    ]
    for randomness, last_retry in figures["randomness"].items():
        low, high = last_retry["last_retry_5_95"]
        lines.append(
            f"| {randomness} | {last_retry['last_retry_mean']:.1f} | {low:.0f} to {high:.0f} |"
            f" {last_retry['paper']} |"
        )
    lines += [
        "",
        f"Calls that the last service of the chain sees for one request: {figures['chain']}"
        f" (the paper: {figures['paper_chain']}); with empty buckets: {figures['chain_with_empty_buckets']}.",
        "",
    ]
    return "\n".join(lines)
