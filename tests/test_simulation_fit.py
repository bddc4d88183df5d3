"""Models fitted to recorded attempts: latencies, outages and rate limits."""

import numpy as np
import pytest

from pinspread.simulation.fit import RecordedAttempt, fit_destinations, fit_latency


def test_fits_say_how_well_they_hold():
    rng = np.random.default_rng(1)
    good = fit_latency(rng.lognormal(5, 0.4, 400))
    assert good.quality == "well" and good.sigma == pytest.approx(0.4, rel=0.1)
    bad = fit_latency(np.concatenate([np.full(200, 10.0), np.full(200, 900.0)]))
    assert bad.quality == "badly" and fit_latency([1.0] * 3).quality == "too few to tell"


def attempts_of(rows):
    return [RecordedAttempt(*row) for row in rows]


def test_fits_find_an_outage_and_a_limit():
    outcomes = [[0, n * 100_000, 1, "h", "OK", 50_000, 0, 0] for n in range(20)]
    outcomes += [[0, 2_000_000 + n * 300_000, 1, "h", "TIMEOUT", 250_000, 0, 0] for n in range(5)]
    outcomes += [[0, 4_000_000 + n * 100_000, 1, "h", "OK", 50_000, 0, 0] for n in range(20)]
    outcomes += [[0, 5_000_000 + n * 100_000, 1, "h", "FULL", 5_000, 400_000, 0] for n in range(4)]
    (fit,) = fit_destinations([1], attempts_of(sorted(outcomes, key=lambda o: o[1])))
    (outage,) = fit.outages
    assert outage.kind == "silent" and outage.failures == 5
    assert fit.limit.per_s == pytest.approx(9, abs=2) and fit.retry_after_share == 1


@pytest.mark.parametrize(
    ("failures", "expected"),
    [  # (end in ms, outcome, Retry-After in ms), after successes up to 1 s, before one from 9 s on
        ([(3000, "CONNECT_FAILED", 0), (4000, "RESET", 0), (5000, "RESET", 0)], ("crash", 1995, 7000)),
        ([(2000, "ERROR", 0), (2100, "ERROR", 0), (2200, "ERROR", 0), (4000, "OK", 0), (5000, "ERROR", 0),
          (5100, "ERROR", 0), (5200, "ERROR", 0)], ("errors", 1495, 7100)),
        ([(2000, "FULL", 6000), (3000, "FULL", 5000), (3100, "FULL", 4900)], ("shut", 1495, 8000)),
        ([(2000, "FULL", 300), (2100, "FULL", 200), (2200, "FULL", 100)], None),
        ([(2000, "TIMEOUT", 0), (2100, "TIMEOUT", 0)], None),
    ],
)  # fmt: skip
def test_an_outage_is_placed_between_the_successes_round_it(failures, expected):
    rows = [[0, n * 100_000, 1, "h", "OK", 10_000, 0, 0] for n in range(11)]
    rows += [
        [0, end_ms * 1000, 1, "h", outcome, 10_000, retry_after_ms * 1000, 0]
        for end_ms, outcome, retry_after_ms in failures
    ]
    rows += [[0, 9_010_000, 1, "h", "OK", 10_000, 0, 0]]
    (fit,) = fit_destinations([1], attempts_of(rows))
    outage_spans = [(o.kind, round(o.from_us / 1000), round(o.until_us / 1000)) for o in fit.outages]
    assert outage_spans == ([expected] if expected else [])
