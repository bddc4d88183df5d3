"""One Markdown report of a result, with its plots, for someone who wasn't there."""

from pathlib import Path

from pinspread.simulation import compare
from pinspread.simulation.compare import interval


def write_report(result: dict, folder: str) -> Path:
    """Write report.md and its plots into a folder."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    text = _paper(result) if result["kind"] == "paper" else _days(result, folder)
    file = folder / "report.md"
    file.write_text(text)
    return file


def _days(result, folder):
    from pinspread.simulation import plots

    points = result["points"]
    lines = [f"# {result['experiment']}", ""]
    if result["about"]:
        lines += [result["about"], ""]
    world = points[0]["world"]
    lines += [
        f"{len(result['seeds'])} days of {world['length_s']:g} s, drawn anew for each seed and the same for every variant:"
        f" {world['couriers']['count']} couriers, {world['partners']['endpoints']} endpoints,"
        f" {world['traffic']['rate_per_s']:g} messages a second at {world['traffic']['load']:.0%} of full load."
        " Service and its parts run from 0 to 1; a run that breaks a rule counts as 0.",
        "",
        "| variant | service | 90% interval | whole | worst 10 s | worst class | deductions | p50 ms | p99 ms | retries a message | runs that broke a rule |",
        "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for point in points:
        runs = point["runs"]
        whole = [r for r in runs if "parts" in r]
        mean, low, high = interval([r["service"] for r in runs])

        def of(read, whole=whole):
            return sum(map(read, whole)) / max(1, len(whole))

        lines.append(
            f"| {plots.label(point)} | {mean:.4f} | {low:.4f} to {high:.4f} | {of(lambda r: r['parts']['whole']):.4f} |"
            f" {of(lambda r: r['parts']['worst_10s']):.4f} | {of(lambda r: r['parts']['worst_class']):.4f} |"
            f" {of(lambda r: sum(r['deductions'].values())):.4f} |"
            f" {of(lambda r: r['latency_all']['ms'].get('50', 0)):.0f} | {of(lambda r: r['latency_all']['ms'].get('99', 0)):.0f} |"
            f" {of(lambda r: r['retries'] / max(1, r['messages'])):.3f} | {sum(bool(r['broken']) for r in runs)} of {len(runs)} |"
        )
    lines.append("")
    first = points[0]
    for other in points[1:]:
        if other["value"] != first["value"] and other["variant"] != first["variant"]:
            base = next(
                p for p in points if p["variant"] == first["variant"] and p["value"] == other["value"]
            )
        else:
            base = first
        seeds = {"seeds": result["seeds"]}
        found = compare.compare_variants(
            base | seeds | {"variant": plots.label(base)}, other | seeds | {"variant": plots.label(other)}
        )
        lines += [f"## {plots.label(other)}", "", compare.format_comparison(found), ""]
    lines += ["## Plots", ""]
    swept = any(p["value"] is not None for p in points)
    shown = points if len(points) <= 4 else [points[0], points[-1]]
    for title, name in (
        ("Service and load over time", plots.over_time(shown, folder)),
        ("Time to delivery", plots.latencies(shown, folder)),
        ("Retries against first tries", plots.retries(shown, folder)),
        ("Service by variant", plots.variants(points, folder)),
        *([("Over the sweep", plots.sweep(points, folder))] if swept else []),
    ):
        lines += [f"![{title}]({name})", ""]
    return "\n".join(lines)


def _paper(result):
    found = result["paper"]
    lines = [
        f"# {result['experiment']}",
        "",
        "The most requests in one step at the last retry, beside the paper's:",
        "",
        "| randomness | mean over seeds | 5% to 95% | paper |",
        "| ---: | ---: | ---: | ---: |",
    ]
    for randomness, one in found["randomness"].items():
        low, high = one["last_retry_5_95"]
        lines.append(
            f"| {randomness} | {one['last_retry_mean']:.1f} | {low:.0f} to {high:.0f} | {one['paper']} |"
        )
    lines += [
        "",
        f"Calls that the last service of the chain sees for one request: {found['chain']}"
        f" (the paper: {found['paper_chain']}); with empty buckets: {found['chain_with_empty_buckets']}.",
        "",
    ]
    return "\n".join(lines)
