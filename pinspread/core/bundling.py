"""Which attempts of one turn share a call. No I/O, no clock."""

from collections.abc import Iterable

from pinspread.core.messages import Attempt

SIMILAR_TIMEOUT_FRACTION = 0.9  # of the longest time-out of a call, from which an attempt may join it


def group_into_calls(attempts: Iterable[Attempt], max_size: int) -> list[list[Attempt]]:
    """Group the attempts of one turn at one endpoint into the calls that carry them.

    Args:
        attempts: Attempts at the same endpoint.
        max_size: How many attempts one call may carry.

    Returns:
        The calls, those with the longest time-outs first; within a call the attempts are in the order of
        their messages' numbers.
    """
    # An attempt whose time is nearly up would cut its whole call short, and the others' part may have run: so
    # only attempts with similar time-outs share a call.
    calls: list[list[Attempt]] = []
    for attempt in sorted(attempts, key=lambda attempt: -attempt.timeout_us):
        call = calls[-1] if calls else []
        if 0 < len(call) < max_size and attempt.timeout_us >= SIMILAR_TIMEOUT_FRACTION * call[0].timeout_us:
            call.append(attempt)
        else:
            calls.append([attempt])
    return [sorted(call, key=lambda attempt: attempt.message.number) for call in calls]
