"""Decides which attempts of one turn share a call. No I/O, no clock."""

from collections.abc import Iterable

from pinspread.core.messages import Attempt

SIMILAR_TIMEOUT_FRACTION = 0.9  # smallest time-out that may join a call, relative to the call's longest


def group_into_calls(attempts: Iterable[Attempt], max_size: int) -> list[list[Attempt]]:
    """Group the attempts of one turn at one endpoint into the calls that carry them.

    Args:
        attempts: Attempts at the same endpoint.
        max_size: The maximum number of attempts in one call.

    Returns:
        The calls, ordered by time-out from the longest; the attempts within a call are ordered by their
        messages' numbers.
    """
    # The whole call ends at the earliest time-out of its attempts, when the others may have run. So only
    # attempts with similar time-outs share a call.
    calls: list[list[Attempt]] = []
    for attempt in sorted(attempts, key=lambda attempt: -attempt.timeout_us):
        call = calls[-1] if calls else []
        if 0 < len(call) < max_size and attempt.timeout_us >= SIMILAR_TIMEOUT_FRACTION * call[0].timeout_us:
            call.append(attempt)
        else:
            calls.append([attempt])
    return [sorted(call, key=lambda attempt: attempt.message.number) for call in calls]
