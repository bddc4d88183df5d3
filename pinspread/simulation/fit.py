"""What recorded outcomes tell of each partner: latency, limit, outages, and how well each fit holds."""

import numpy as np
from scipy import stats

LEAST = 20  # outcomes under which no distribution is fitted
FAILURES = ("CONNECT_FAILED", "TIMEOUT", "ERROR", "RESET")
MIN_FAILURES = 3  # failures that make an outage
SPAN_US = 1_000_000
LONG_TOLD_US = 2_500_000  # a told wait longer than any limit's span: it is shut
JOIN_US = 5_000_000  # spans of errors closer than this are one outage


def fit_destinations(arrivals, outcomes) -> list:
    """A fit for each partner, in order of their numbers. Outcomes are in order of their ends."""
    by_dest = {dest: [] for dest in sorted(set(arrivals["dest"]))}
    for one in outcomes:
        by_dest[one[2]].append(one)
    return [_partner(dest, found) for dest, found in by_dest.items()]


def _partner(dest, found):
    ok = np.array([(o[1], o[5]) for o in found if o[4] == "OK"], dtype=float).reshape(-1, 2)
    full = [o for o in found if o[4] == "FULL"]
    limit, well = _limit(ok, full)
    return {
        "dest": dest,
        "calls": len(found),
        "hops": len({o[3] for o in found}),
        "most_out": _most_out(found),
        "latency": fit_latency(ok[:, 1] / 1000),
        "limit_per_s": limit,
        "limit_holds": well,
        "tells": float(np.mean([o[6] > 0 for o in full])) if full else 0.0,
        "refused": len(full),
        "outages": _outages(found),
    }


def fit_latency(ms) -> dict:
    """A log-normal by its logarithms, and a Kolmogorov-Smirnov distance that says how well it holds.

    `holds` compares the distance with the 1% bound for fitted parameters (Lilliefors); large samples of real
    latencies seldom meet it, so the distance itself is given too.
    """
    ms = np.asarray(ms, dtype=float)
    if len(ms) < LEAST:
        mean = float(ms.mean()) if len(ms) else 0.0
        return {"count": len(ms), "mean_ms": mean, "sigma": 0.5, "distance": None, "holds": "too few to tell"}
    logs = np.log(np.maximum(ms, 0.001))
    mu, sigma = float(logs.mean()), float(logs.std(ddof=1))
    distance = float(stats.kstest(logs, stats.norm(mu, max(sigma, 1e-9)).cdf).statistic)
    bound = 1.031 / np.sqrt(len(ms))
    word = "well" if distance < bound else "roughly" if distance < 0.15 else "badly"
    return {
        "count": len(ms),
        "mean_ms": float(ms.mean()),
        "sigma": sigma,
        "distance": distance,
        "holds": word,
    }


def _most_out(found):
    """The most calls that were out at once."""
    edges = sorted([(o[1] - o[5], 1) for o in found] + [(o[1], -1) for o in found])
    most = now = 0
    for _, step in edges:
        now += step
        most = max(most, now)
    return most


def _limit(ok, full):
    """Calls a second that went through where others were refused; 0 where no limit shows."""
    told = [o for o in full if 0 < o[6] <= LONG_TOLD_US]
    if len(told) < MIN_FAILURES:
        return 0.0, "no limit shows"
    counts = []
    for one in told:
        inside = (ok[:, 0] > one[1] - SPAN_US) & (ok[:, 0] <= one[1])
        counts.append(int(inside.sum()))
    mid = float(np.median(counts))
    spread = float(np.subtract(*np.percentile(counts, (75, 25))))
    return max(1.0, mid), "well" if spread <= 0.3 * max(1.0, mid) else "roughly" if spread <= mid else "badly"


KIND = {"CONNECT_FAILED": "crash", "TIMEOUT": "silent", "ERROR": "errors", "RESET": "crash", "FULL": "shut"}


def _failed(one):
    return one[4] in FAILURES or one[4] == "FULL" and one[6] > LONG_TOLD_US


def _outages(found):
    """Failures in a row at one partner, with no success between them; those of fast errors are joined.

    Nothing tells when an outage began but that it lies between the last success and the first failure: the
    middle is taken, and of its end likewise.
    """
    rows, row, ok = [], [], []  # of (failures, last success before, first success after), microseconds
    for one in found:
        if _failed(one):
            row.append(one)
        elif one[4] == "OK":
            if len(row) >= MIN_FAILURES:
                rows.append((row, ok[-1] if ok else None, one[1] - one[5]))
            row = []
            ok.append(one[1])
    if len(row) >= MIN_FAILURES:
        rows.append((row, ok[-1] if ok else None, None))
    return _joined([_outage(*one) for one in rows])


def _outage(row, before, after):
    first, last = row[0][1] - row[0][5], row[-1][1]
    words = [o[4] for o in row]
    kind = KIND[max(KIND, key=words.count)]
    if kind == "shut":  # its refusals tell when it opens
        last = after = max(o[1] + o[6] for o in row)
    return {
        "kind": kind,
        "from_us": max(0, first if before is None else min(first, (before + first) // 2)),
        "until_us": last if after is None else max(last, (last + after) // 2),
        "failures": len(row),
    }


def _joined(outages):
    """Fast errors let some calls through: spans of them that lie close together are one outage."""
    joined = []
    for one in outages:
        last = joined[-1] if joined else None
        if last and one["kind"] == last["kind"] == "errors" and one["from_us"] - last["until_us"] < JOIN_US:
            last["until_us"] = one["until_us"]
            last["failures"] += one["failures"]
        else:
            joined.append(one)
    return joined
