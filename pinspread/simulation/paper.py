"""The figures of the paper on retry strategies, counted again."""

import numpy as np

from pinspread.simulation.random_streams import random_stream


def waits(seed, requests, retries, base_ms, factor, randomness):
    """When each request's retries go out, in ms after its first failure: [requests, retries]."""
    scale = random_stream(seed, "paper", randomness).uniform(
        1 - randomness, 1 + randomness, (requests, retries)
    )
    return np.cumsum(base_ms * factor ** np.arange(retries) * scale, axis=1)


def most_at_once(times_ms, step_ms):
    """The most requests in one step, for each retry: [retries]."""
    found = []
    for column in times_ms.T:
        first = column.min() // step_ms
        found.append(int(np.bincount((column // step_ms - first).astype(int)).max()))
    return found


def chain(services, calls, tokens=None):
    """Calls that the last service sees for one request, where all fail; `tokens`: buckets of each service."""
    seen = 0
    left = [tokens] * services if tokens is not None else None

    def call(depth):
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


def recompute_figures(paper, seeds):
    """The paper's numbers beside ours: most concurrent requests at the last retry, and the chain."""
    found = {"randomness": {}, "chain": chain(paper.chain, paper.calls), "paper_chain": 81}
    for randomness in paper.randomness:
        most = [
            most_at_once(
                waits(s, paper.requests, paper.retries, paper.base_ms, paper.factor, randomness),
                paper.step_ms,
            )
            for s in seeds
        ]
        last = np.array(most)[:, -1]
        found["randomness"][str(randomness)] = {
            "last_retry_mean": float(last.mean()),
            "last_retry_5_95": [float(x) for x in np.percentile(last, (5, 95))],
            "paper": {0.01: 35, 0.5: 5}.get(randomness),
            "by_retry": [float(x) for x in np.array(most).mean(axis=0)],
        }
    found["chain_with_empty_buckets"] = chain(paper.chain, paper.calls, tokens=0)
    return found
