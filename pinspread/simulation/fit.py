"""Models of destinations fitted to recorded attempts: latency, rate limit and outages, with quality of fit.

Times are in microseconds unless a name says otherwise.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import numpy as np
from numpy.typing import ArrayLike, NDArray
from scipy import stats

MIN_SAMPLES = 20  # no distribution is fitted to fewer latencies
MIN_FAILURES = 3  # consecutive failures that count as an outage, and rejections that show a rate limit
LIMIT_SPAN_US = 1_000_000  # the window over which a rate limit is assumed to count calls
LONG_RETRY_AFTER_US = 2_500_000  # longer than any rate limit's window: the destination is closed
MERGE_GAP_US = 5_000_000  # outages by fast errors with a shorter gap between them are merged into one
MIN_LATENCY_MS = 0.001  # shorter latencies count as this, since their logarithms are taken
DEFAULT_SIGMA = 0.5  # standard deviation of the logarithms where too few latencies were recorded
LILLIEFORS_1_PERCENT = 1.031  # critical distance at the 1% level, times the root of the sample size
MAX_ROUGH_DISTANCE = 0.15  # a fit with a smaller distance holds roughly
# Interquartile range of the calls at a rate limit over their median, up to which it holds well or roughly.
MAX_GOOD_SPREAD = 0.3
MAX_ROUGH_SPREAD = 1.0

SUCCESS = "OK"
REJECTED = "FULL"
FAILURES = ("CONNECT_FAILED", "TIMEOUT", "ERROR", "RESET")
# The kind of fault that each recorded outcome indicates. Of outcomes with equal counts the first here wins.
FAULT_KINDS = {
    "CONNECT_FAILED": "crash",
    "TIMEOUT": "silent",
    "ERROR": "errors",
    "RESET": "crash",
    "FULL": "shut",
}


class FitQuality(StrEnum):
    """How well a fit matches the recorded attempts; the values stand in trace files."""

    WELL = "well"
    ROUGHLY = "roughly"
    BADLY = "badly"
    TOO_FEW = "too few to tell"
    NO_LIMIT = "no limit shows"


class RecordedAttempt(NamedTuple):
    """A recorded attempt; its fields are in the order of a trace file's columns.

    Attributes:
        message: Number of its message, in order of arrival.
        end_us: Time of its end.
        destination: Number of the destination.
        endpoint: Hash of the endpoint's name.
        outcome: The recorded outcome: OK, FULL, one of `FAILURES`, or another.
        elapsed_us: Its duration.
        retry_after_us: Retry-After of its answer; 0 without one.
        idle_us: How long its connection had been idle; negative for a new connection.
    """

    message: int
    end_us: int
    destination: int
    endpoint: str
    outcome: str
    elapsed_us: int
    retry_after_us: int
    idle_us: int

    @property
    def start_us(self) -> int:
        """Time at which it was sent."""
        return self.end_us - self.elapsed_us

    @property
    def failed(self) -> bool:
        """Whether it indicates an outage: a failure, or a rejection with a long Retry-After."""
        if self.outcome == REJECTED:
            return self.retry_after_us > LONG_RETRY_AFTER_US
        return self.outcome in FAILURES


@dataclass(frozen=True, slots=True)
class LatencyFit:
    """A log-normal distribution of latencies.

    Attributes:
        count: Number of latencies.
        mean_ms: Their mean; 0 without latencies.
        sigma: Standard deviation of their natural logarithms.
        distance: Kolmogorov-Smirnov distance from the fitted distribution; None where none was fitted.
        quality: Quality of the fit; TOO_FEW where none was fitted.
    """

    count: int
    mean_ms: float
    sigma: float
    distance: float | None
    quality: FitQuality


@dataclass(frozen=True, slots=True)
class LimitFit:
    """A rate limit.

    Attributes:
        per_s: Calls per second that succeeded while others were rejected; 0 where no limit is visible.
        quality: Quality of the fit; NO_LIMIT where no limit is visible.
    """

    per_s: float
    quality: FitQuality


@dataclass(frozen=True, slots=True)
class Outage:
    """A period in which a destination failed."""

    kind: str
    from_us: int
    until_us: int
    failures: int


@dataclass(frozen=True, slots=True)
class DestinationFit:
    """The models fitted to one destination, and counts of what was recorded.

    Attributes:
        destination: Its number in the logs.
        calls: Number of attempts that ended.
        endpoints: Number of endpoints that were called.
        max_in_flight: Maximum number of attempts in flight at once.
        latency: Fit of the latencies of successful attempts.
        limit: Its rate limit.
        retry_after_share: Share of the rejections that carried a Retry-After.
        rejected: Number of rejected attempts.
        outages: Its outages, in order of time.
    """

    destination: int
    calls: int
    endpoints: int
    max_in_flight: int
    latency: LatencyFit
    limit: LimitFit
    retry_after_share: float
    rejected: int
    outages: list[Outage]


def fit_destinations(
    destinations: Iterable[int], attempts: Iterable[RecordedAttempt]
) -> list[DestinationFit]:
    """Return a fit for each destination, in order of their numbers.

    Args:
        destinations: Numbers of all destinations; repetitions are ignored.
        attempts: All attempts, in order of their ends.
    """
    by_destination: dict[int, list[RecordedAttempt]] = {number: [] for number in sorted(set(destinations))}
    for attempt in attempts:
        by_destination[attempt.destination].append(attempt)
    return [_fit_destination(number, records) for number, records in by_destination.items()]


def _fit_destination(number: int, attempts: list[RecordedAttempt]) -> DestinationFit:
    succeeded = [attempt for attempt in attempts if attempt.outcome == SUCCESS]
    rejected = [attempt for attempt in attempts if attempt.outcome == REJECTED]
    latencies_ms = np.array([attempt.elapsed_us for attempt in succeeded], dtype=float) / 1000
    with_retry_after = [attempt.retry_after_us > 0 for attempt in rejected]
    return DestinationFit(
        destination=number,
        calls=len(attempts),
        endpoints=len({attempt.endpoint for attempt in attempts}),
        max_in_flight=_max_in_flight(attempts),
        latency=fit_latency(latencies_ms),
        limit=_fit_limit(succeeded, rejected),
        retry_after_share=float(np.mean(with_retry_after)) if rejected else 0.0,
        rejected=len(rejected),
        outages=_find_outages(attempts),
    )


def fit_latency(latencies_ms: ArrayLike) -> LatencyFit:
    """Fit a log-normal distribution, and measure the quality of the fit.

    `quality` compares the Kolmogorov-Smirnov distance with the critical value at the 1% level for fitted
    parameters (Lilliefors). Large samples of real latencies seldom pass, so the distance is returned too.

    Args:
        latencies_ms: Latencies in milliseconds, [attempts].
    """
    sample: NDArray[np.float64] = np.asarray(latencies_ms, dtype=float)
    count = len(sample)
    if count < MIN_SAMPLES:
        return LatencyFit(
            count=count,
            mean_ms=float(sample.mean()) if count else 0.0,
            sigma=DEFAULT_SIGMA,
            distance=None,
            quality=FitQuality.TOO_FEW,
        )
    logarithms = np.log(np.maximum(sample, MIN_LATENCY_MS))
    mean, sigma = float(logarithms.mean()), float(logarithms.std(ddof=1))
    distance = float(stats.kstest(logarithms, stats.norm(mean, max(sigma, 1e-9)).cdf).statistic)
    if distance < LILLIEFORS_1_PERCENT / np.sqrt(count):
        quality = FitQuality.WELL
    elif distance < MAX_ROUGH_DISTANCE:
        quality = FitQuality.ROUGHLY
    else:
        quality = FitQuality.BADLY
    return LatencyFit(count, float(sample.mean()), sigma, distance, quality)


def _max_in_flight(attempts: Iterable[RecordedAttempt]) -> int:
    """Return the maximum number of attempts in flight at once."""
    starts = [(attempt.start_us, 1) for attempt in attempts]
    ends = [(attempt.end_us, -1) for attempt in attempts]
    peak = in_flight = 0
    for _, change in sorted(starts + ends):
        in_flight += change
        peak = max(peak, in_flight)
    return peak


def _fit_limit(succeeded: Sequence[RecordedAttempt], rejected: Sequence[RecordedAttempt]) -> LimitFit:
    """Estimate the limit as the median number of calls that succeeded in the second before a rejection."""
    limited = [attempt for attempt in rejected if 0 < attempt.retry_after_us <= LONG_RETRY_AFTER_US]
    if len(limited) < MIN_FAILURES:
        return LimitFit(0.0, FitQuality.NO_LIMIT)
    ends_us = np.array([attempt.end_us for attempt in succeeded], dtype=float)
    counts = [
        int(((ends_us > attempt.end_us - LIMIT_SPAN_US) & (ends_us <= attempt.end_us)).sum())
        for attempt in limited
    ]
    median = float(np.median(counts))
    lower, upper = np.percentile(counts, (25, 75))
    spread = float(upper - lower)
    if spread <= MAX_GOOD_SPREAD * max(1.0, median):
        quality = FitQuality.WELL
    elif spread <= MAX_ROUGH_SPREAD * median:
        quality = FitQuality.ROUGHLY
    else:
        quality = FitQuality.BADLY
    return LimitFit(max(1.0, median), quality)


def _find_outages(attempts: Iterable[RecordedAttempt]) -> list[Outage]:
    """Find runs of failures without a success between them; nearby outages by fast errors are merged.

    An outage began at an unknown time between the last success and the first failure, so the midpoint is
    taken; its end is estimated likewise.
    """
    outages: list[Outage] = []
    failures: list[RecordedAttempt] = []
    last_success_us: int | None = None
    for attempt in attempts:
        if attempt.failed:
            failures.append(attempt)
        elif attempt.outcome == SUCCESS:
            if len(failures) >= MIN_FAILURES:
                outages.append(_outage(failures, last_success_us, attempt.start_us))
            failures = []
            last_success_us = attempt.end_us
    if len(failures) >= MIN_FAILURES:
        outages.append(_outage(failures, last_success_us, None))
    return _merge_outages(outages)


def _outage(failures: Sequence[RecordedAttempt], before_us: int | None, after_us: int | None) -> Outage:
    """Return the outage that consecutive failures indicate, between the successes before and after them."""
    first_us, last_us = failures[0].start_us, failures[-1].end_us
    counts = Counter(attempt.outcome for attempt in failures)
    kind = FAULT_KINDS[max(FAULT_KINDS, key=lambda outcome: counts[outcome])]
    if kind == "shut":  # the Retry-After of the rejections gives the end
        last_us = after_us = max(attempt.end_us + attempt.retry_after_us for attempt in failures)
    from_us = first_us if before_us is None else min(first_us, (before_us + first_us) // 2)
    until_us = last_us if after_us is None else max(last_us, (last_us + after_us) // 2)
    return Outage(kind, max(0, from_us), until_us, len(failures))


def _merge_outages(outages: Iterable[Outage]) -> list[Outage]:
    """Merge outages by fast errors that lie close together: some calls succeed during such an outage."""
    merged: list[Outage] = []
    for outage in outages:
        last = merged[-1] if merged else None
        if (
            last is not None
            and last.kind == outage.kind == "errors"
            and outage.from_us - last.until_us < MERGE_GAP_US
        ):
            merged[-1] = Outage(last.kind, last.from_us, outage.until_us, last.failures + outage.failures)
        else:
            merged.append(outage)
    return merged
