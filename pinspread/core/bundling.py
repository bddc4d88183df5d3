"""Which branches of one turn share a call. No I/O, no clock."""

NEAR = 0.9  # share of the longest time-out from which a branch may share its call


def bundles(attempts, most):
    """Branches of one turn to one next hop, as they share calls: at most so many, of about the same time."""
    # Danger: one whose time is nearly up would cut its whole call short, and the others' part may have run.
    calls = []
    for attempt in sorted(attempts, key=lambda b: -b.timeout_us):
        if calls and len(calls[-1]) < most and attempt.timeout_us >= NEAR * calls[-1][0].timeout_us:
            calls[-1].append(attempt)
        else:
            calls.append([attempt])
    return [sorted(call, key=lambda b: b.message.number) for call in calls]
