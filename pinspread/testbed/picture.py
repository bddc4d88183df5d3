"""The stage's report as a picture: for each member, how many others see it alive, over the scene's time."""

from pinspread.testbed import history_checker as judge


def counts(lines):
    """{id: [(seconds, how many running members see it alive)]} from a history's lines."""
    replay = judge.Replay(lines)
    series = {m: [] for m in replay.members}
    for when, running, views in replay.states():
        if when > replay.end:
            break
        s = (when - replay.begin) / judge.SECOND_US
        for m in series:
            seen = sum(1 for seer in running if seer != m and views.get(seer, {}).get(m) == "alive")
            if not series[m] or series[m][-1][1] != seen:
                series[m].append((s, seen))
    return series


def draw(lines, path, faults=()):
    """Write a PNG to `path`; `faults` are (seconds, text) marks."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    series = counts(lines)
    figure, axes = pyplot.subplots(figsize=(10, 4 + len(series) * 0.1))
    for m, points in sorted(series.items()):
        xs = [x for x, _ in points]
        ys = [y for _, y in points]
        axes.step(xs, ys, where="post", label=m, linewidth=1)
    for s, text in faults:
        axes.axvline(s, color="grey", linestyle=":", linewidth=0.8)
        axes.annotate(text, (s, 0), rotation=90, fontsize=7, va="bottom")
    axes.set_xlabel("seconds since all served")
    axes.set_ylabel("others that see it alive")
    axes.set_xlim(left=0)
    axes.legend(fontsize=7, ncol=max(1, len(series) // 8), loc="lower right")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
