"""What recorded attempts tell of each destination: latency, rate limit, outages, and how well each fit holds.

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

MIN_SAMPLES = 20  # latencies under which no distribution is fitted
MIN_FAILURES = 3  # failures in a row that make an outage, and rejections that make a limit
LIMIT_SPAN_US = 1_000_000  # the span of time in which a limit is taken to count
LONG_RETRY_AFTER_US = 2_500_000  # a Retry-After longer than any limit's span: the destination is closed
JOIN_US = 5_000_000  # outages by fast errors that are closer than this are one outage
MIN_LATENCY_MS = 0.001  # what is shorter counts as this, since logarithms are taken
DEFAULT_SIGMA = 0.5  # of the logarithms, where too few latencies were recorded
LILLIEFORS_1_PERCENT = 1.031  # the bound of the distance, times the root of the sample's size
MAX_ROUGH_DISTANCE = 0.15  # up to which a distribution holds roughly
MAX_GOOD_SPREAD = 0.3  # quartile range of the calls at a limit, over their median, up to which it holds well
MAX_ROUGH_SPREAD = 1.0  # the same for a limit that holds roughly

SUCCESS = "OK"
REJECTED = "FULL"
FAILURES = ("CONNECT_FAILED", "TIMEOUT", "ERROR", "RESET")
# The kind of fault that shows as a recorded outcome. Of several with equal counts the first is taken.
FAULT_KINDS = {
    "CONNECT_FAILED": "crash",
    "TIMEOUT": "silent",
    "ERROR": "errors",
    "RESET": "crash",
    "FULL": "shut",
}


class FitQuality(StrEnum):
    """How well a fit holds, in the words of trace files."""

    WELL = "well"
    ROUGHLY = "roughly"
    BADLY = "badly"
    TOO_FEW = "too few to tell"
    NO_LIMIT = "no limit shows"


class RecordedAttempt(NamedTuple):
    """An attempt that was recorded, in the order of a trace file's columns.

    Attributes:
        message: Number of its message, in order of arrival.
        end_us: When it ended.
        destination: Number of the destination.
        endpoint: Hash of the endpoint's name.
        outcome: The recorded word: OK, FULL, or one of `FAILURES`, among others.
        elapsed_us: How long it took.
        retry_after_us: Its Retry-After; 0 where it has none.
        idle_us: How long its connection had been idle; negative for a new one.
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
        """When it was sent."""
        return self.end_us - self.elapsed_us

    @property
    def failed(self) -> bool:
        """Whether it shows that the destination is out: a failure, or a rejection for a long time."""
        if self.outcome == REJECTED:
            return self.retry_after_us > LONG_RETRY_AFTER_US
        return self.outcome in FAILURES


@dataclass(frozen=True, slots=True)
class LatencyFit:
    """A log-normal distribution of latencies.

    Attributes:
        count: How many latencies there were.
        mean_ms: Their mean; 0 where there were none.
        sigma: Standard deviation of their natural logarithms.
        distance: Kolmogorov-Smirnov distance from the fitted distribution; None where none was fitted.
        quality: How well it holds; TOO_FEW where none was fitted.
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
        per_s: Calls a second that went through where others were rejected; 0 where no limit shows.
        quality: How well it holds; NO_LIMIT where none shows.
    """

    per_s: float
    quality: FitQuality


@dataclass(frozen=True, slots=True)
class Outage:
    """A span of time in which a destination failed."""

    kind: str
    from_us: int
    until_us: int
    failures: int


@dataclass(frozen=True, slots=True)
class DestinationFit:
    """What was recorded of one destination.

    Attributes:
        destination: Its number in the logs.
        calls: How many attempts ended.
        endpoints: How many endpoints were called.
        max_in_flight: The most attempts that were in flight at once.
        latency: Of the attempts that succeeded.
        limit: Its rate limit.
        retry_after_share: The share of rejections that had a Retry-After.
        rejected: How many attempts were rejected.
        outages: In order of time.
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
        destinations: Numbers of all destinations, each once or more often.
        attempts: In order of their ends.
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
    """Fit a log-normal distribution, and measure how well it holds.

    `quality` compares the Kolmogorov-Smirnov distance with the 1% bound for fitted parameters (Lilliefors);
    large samples of real latencies seldom meet it, so the distance itself is given too.

    Args:
        latencies_ms: Milliseconds, [attempts].
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
    """The most attempts that were in flight at once."""
    starts = [(attempt.start_us, 1) for attempt in attempts]
    ends = [(attempt.end_us, -1) for attempt in attempts]
    most = in_flight = 0
    for _, change in sorted(starts + ends):
        in_flight += change
        most = max(most, in_flight)
    return most


def _fit_limit(succeeded: Sequence[RecordedAttempt], rejected: Sequence[RecordedAttempt]) -> LimitFit:
    """Take the calls that succeeded in the second before a rejection as the limit."""
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
    """Failures in a row, with no success between them; outages by fast errors are joined.

    Nothing tells when an outage began but that it lies between the last success and the first failure: the
    middle is taken, and of its end likewise.
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
    return _join_outages(outages)


def _outage(failures: Sequence[RecordedAttempt], before_us: int | None, after_us: int | None) -> Outage:
    """The outage that failures in a row show, between the success before them and the one after them."""
    first_us, last_us = failures[0].start_us, failures[-1].end_us
    counts = Counter(attempt.outcome for attempt in failures)
    kind = FAULT_KINDS[max(FAULT_KINDS, key=lambda outcome: counts[outcome])]
    if kind == "shut":  # the rejections tell when it opens
        last_us = after_us = max(attempt.end_us + attempt.retry_after_us for attempt in failures)
    from_us = first_us if before_us is None else min(first_us, (before_us + first_us) // 2)
    until_us = last_us if after_us is None else max(last_us, (last_us + after_us) // 2)
    return Outage(kind, max(0, from_us), until_us, len(failures))


def _join_outages(outages: Iterable[Outage]) -> list[Outage]:
    """Fast errors let some calls through: spans of them that lie close together are one outage."""
    joined: list[Outage] = []
    for outage in outages:
        last = joined[-1] if joined else None
        if (
            last is not None
            and last.kind == outage.kind == "errors"
            and outage.from_us - last.until_us < JOIN_US
        ):
            joined[-1] = Outage(last.kind, last.from_us, outage.until_us, last.failures + outage.failures)
        else:
            joined.append(outage)
    return joined
