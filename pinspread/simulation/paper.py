"""Recomputes the figures of the paper on retry strategies."""

from collections.abc import Sequence
from typing import Any

import numpy as np
from numpy.typing import NDArray

from pinspread.simulation.experiment_file import RetryPaper
from pinspread.simulation.random_streams import random_stream

PAPER_LAST_RETRY = {0.01: 35, 0.5: 5}  # maximum of concurrent requests at the last retry, by randomness
PAPER_CHAIN_CALLS = 81


def retry_times(paper: RetryPaper, randomness: float, seed: int) -> NDArray[np.float64]:
    """Return the times of all retries in ms after the first failure of their request: [requests, retries].

    Args:
        paper: Numbers of requests and retries, and the growth of the pauses.
        randomness: Maximum fraction by which a pause is lengthened or shortened, from 0 to 1.
        seed: Seed of the random numbers.
    """
    shape = (paper.requests, paper.retries)
    scale = random_stream(seed, "paper", randomness).uniform(1 - randomness, 1 + randomness, shape)
    pauses = paper.base_ms * paper.factor ** np.arange(paper.retries) * scale
    times: NDArray[np.float64] = np.cumsum(pauses, axis=1)
    return times


def max_concurrent_requests(times_ms: NDArray[np.float64], step_ms: float) -> list[int]:
    """Return, for each retry, the maximum number of requests in one time step.

    Args:
        times_ms: Times of the retries in ms, [requests, retries].
        step_ms: Length of a time step in ms.
    """
    maxima = []
    for column in times_ms.T:
        first_step = column.min() // step_ms
        steps = (column // step_ms - first_step).astype(int)
        maxima.append(int(np.bincount(steps).max()))
    return maxima


def chain_calls(services: int, calls: int, retry_tokens: int | None = None) -> int:
    """Count the calls that the last service of a chain receives for one request if all calls fail.

    Args:
        services: The length of the chain.
        calls: Number of attempts that each service makes for each call that it receives.
        retry_tokens: Total number of retries that each service may make; None for no limit.
    """
    received = 0
    tokens_left = None if retry_tokens is None else [retry_tokens] * services

    def call(depth: int) -> None:
        nonlocal received
        if depth == services:
            received += 1
            return
        for attempt in range(calls):
            if attempt and tokens_left is not None:
                if tokens_left[depth] < 1:
                    return
                tokens_left[depth] -= 1
            call(depth + 1)

    call(0)
    return received


def recompute_figures(paper: RetryPaper, seeds: Sequence[int]) -> dict[str, Any]:
    """Return the recomputed figures beside the paper's, as result.json holds them.

    These are the maximum of concurrent requests at the last retry, and the calls at the end of the chain.
    """
    return {
        "randomness": {
            str(randomness): _last_retry_figures(paper, randomness, seeds) for randomness in paper.randomness
        },
        "chain": chain_calls(paper.chain, paper.calls),
        "paper_chain": PAPER_CHAIN_CALLS,
        "chain_with_empty_buckets": chain_calls(paper.chain, paper.calls, retry_tokens=0),
    }


def _last_retry_figures(paper: RetryPaper, randomness: float, seeds: Sequence[int]) -> dict[str, Any]:
    maxima = np.array(
        [max_concurrent_requests(retry_times(paper, randomness, seed), paper.step_ms) for seed in seeds]
    )
    last_retry = maxima[:, -1]
    return {
        "last_retry_mean": float(last_retry.mean()),
        "last_retry_5_95": [float(share) for share in np.percentile(last_retry, (5, 95))],
        "paper": PAPER_LAST_RETRY.get(randomness),
        "by_retry": [float(mean) for mean in maxima.mean(axis=0)],
    }
