"""Retry budget of a destination, and the backoff between attempts."""

from random import Random

from pinspread.policy.events import Outcome
from pinspread.policy.state import MS

BUCKET_CAP = 10.0  # tokens of a new destination, and the maximum
RETRY_COST = 1.0  # tokens that a failed retry takes
REFILL = 0.1  # tokens that a success adds
BACKOFF_BASE_NS = 10 * MS  # median wait before the first retry
BACKOFF_FACTOR = 4  # growth of the wait from retry to retry
JITTER = (0.5, 1.5)  # range of the random factor of every wait


class RetryBudget:
    """Token bucket that failed retries empty and successes refill."""

    __slots__ = ("retries_in_flight", "tokens")

    def __init__(self) -> None:
        self.tokens, self.retries_in_flight = BUCKET_CAP, 0

    def allows_retry(self) -> bool:
        """Whether a token is left for one more retry besides those in flight."""
        return self.tokens - self.retries_in_flight >= 1

    def record(self, outcome: Outcome, retry: bool) -> None:
        """Account for an attempt that ended."""
        self.retries_in_flight -= retry
        if outcome is Outcome.OK:
            self.tokens = min(BUCKET_CAP, self.tokens + REFILL)
        elif retry and outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self.tokens = max(0.0, self.tokens - RETRY_COST)


def backoff_ns(random: Random, n: int) -> int:
    """The jittered exponential wait before retry or health check `n`, counted from 0."""
    return int(BACKOFF_BASE_NS * BACKOFF_FACTOR ** min(n, 20) * random.uniform(*JITTER))
