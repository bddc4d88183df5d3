"""Plots a cluster's history: for each member, how many others see it alive, over the scenario's time."""

from collections.abc import Iterable, Sequence
from os import PathLike

from pinspread.testbed.history import Line
from pinspread.testbed.replay import SECOND_US, Replay

Point = tuple[float, int]


def alive_counts(lines: Sequence[Line]) -> dict[str, list[Point]]:
    """For each member, the times in seconds at which the number of others that see it alive changes.

    Each point is a time and the number from then on.
    """
    replay = Replay(lines)
    series: dict[str, list[Point]] = {member: [] for member in replay.members}
    for at_us, running, views in replay.moments():
        if at_us > replay.end_us:
            break
        at_s = (at_us - replay.begin_us) / SECOND_US
        for member, points in series.items():
            observers = running - {member}
            alive = sum(views.get(observer, {}).get(member) == "alive" for observer in observers)
            if not points or points[-1][1] != alive:
                points.append((at_s, alive))
    return series


def draw(lines: Sequence[Line], path: str | PathLike[str], faults: Iterable[tuple[float, str]] = ()) -> None:
    """Write the plot as a PNG.

    Args:
        lines: The history, in order of time.
        path: The file to write.
        faults: Vertical marks, each a time in seconds and a label.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    series = alive_counts(lines)
    figure, axes = pyplot.subplots(figsize=(10, 4 + len(series) * 0.1))
    for member, points in sorted(series.items()):
        times_s = [at_s for at_s, _ in points]
        counts = [count for _, count in points]
        axes.step(times_s, counts, where="post", label=member, linewidth=1)
    for at_s, text in faults:
        axes.axvline(at_s, color="grey", linestyle=":", linewidth=0.8)
        axes.annotate(text, (at_s, 0), rotation=90, fontsize=7, va="bottom")
    axes.set_xlabel("seconds since all served")
    axes.set_ylabel("others that see it alive")
    axes.set_xlim(left=0)
    axes.legend(fontsize=7, ncol=max(1, len(series) // 8), loc="lower right")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
