"""The figures of the paper on retry strategies, computed again."""

from collections.abc import Sequence
from typing import Any

import numpy as np
from numpy.typing import NDArray

from pinspread.simulation.experiment_file import RetryPaper
from pinspread.simulation.random_streams import random_stream

PAPER_LAST_RETRY = {0.01: 35, 0.5: 5}  # most requests at once at the last retry, by randomness
PAPER_CHAIN_CALLS = 81


def retry_times(paper: RetryPaper, randomness: float, seed: int) -> NDArray[np.float64]:
    """When each request's retries go out, in ms after its first failure: [requests, retries].

    Args:
        paper: Says how many there are, and how their pauses grow.
        randomness: Each pause is stretched or cut by up to this fraction, from 0 to 1.
        seed: Of the random numbers.
    """
    shape = (paper.requests, paper.retries)
    scale = random_stream(seed, "paper", randomness).uniform(1 - randomness, 1 + randomness, shape)
    pauses = paper.base_ms * paper.factor ** np.arange(paper.retries) * scale
    times: NDArray[np.float64] = np.cumsum(pauses, axis=1)
    return times


def most_at_once(times_ms: NDArray[np.float64], step_ms: float) -> list[int]:
    """The most requests in one step of time, for each retry.

    Args:
        times_ms: [requests, retries].
        step_ms: Length of a step.
    """
    most = []
    for column in times_ms.T:
        first_step = column.min() // step_ms
        steps = (column // step_ms - first_step).astype(int)
        most.append(int(np.bincount(steps).max()))
    return most


def chain_calls(services: int, calls: int, retry_tokens: int | None = None) -> int:
    """Calls that the last of a chain of services sees for one request, where all of them fail.

    Args:
        services: The length of the chain.
        calls: How often each service calls the next for one call that it gets itself.
        retry_tokens: Retries that each service may make in all; None for any number.
    """
    seen = 0
    left = None if retry_tokens is None else [retry_tokens] * services

    def call(depth: int) -> None:
        nonlocal seen
        if depth == services:
            seen += 1
            return
        for attempt in range(calls):
            if attempt and left is not None:
                if left[depth] < 1:
                    return
                left[depth] -= 1
            call(depth + 1)

    call(0)
    return seen


def recompute_figures(paper: RetryPaper, seeds: Sequence[int]) -> dict[str, Any]:
    """The paper's numbers beside ours, as result.json holds them.

    These are the most concurrent requests at the last retry, and the calls at the end of the chain.
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
    most = np.array([most_at_once(retry_times(paper, randomness, seed), paper.step_ms) for seed in seeds])
    last_retry = most[:, -1]
    return {
        "last_retry_mean": float(last_retry.mean()),
        "last_retry_5_95": [float(share) for share in np.percentile(last_retry, (5, 95))],
        "paper": PAPER_LAST_RETRY.get(randomness),
        "by_retry": [float(mean) for mean in most.mean(axis=0)],
    }
