"""The delay before a watch that ended is opened again."""

REOPEN_DELAY_S = 0.2  # for a fleet of at most `SMALL_FLEET` instances
SMALL_FLEET = 4  # with more instances each waits longer, so that together they ask no more often
# Changes count as reported 6 s after discovery can be reached again, however large the fleet is. The rest of
# that time is for the request.
MAX_REOPEN_DELAY_S = 4.0
MAX_DOUBLINGS = 2  # maximum number of doublings of the delay while watches fail


def reopen_delay_s(failures: int, instances: int, chance: float) -> float:
    """Return the seconds until a watch is opened again.

    With a fixed delay, a discovery service that is overloaded, or was unreachable, would get requests from
    the whole fleet at once, and then five a second from each instance. It would reject all of them, and no
    instance would get any changes. With this delay a large fleet sends as many requests a second as a few
    instances do, and fewer while they are rejected, up to the fleet size at which the delay is bounded by
    `MAX_REOPEN_DELAY_S`. The price is that an instance that alone lost its watch may get no changes for
    seconds.

    Args:
        failures: How many watches in a row have failed before their response began.
        instances: How many instances share the discovery service.
        chance: A random number from 0 to 1, which spreads the instances over time.
    """
    fleet = max(1.0, instances / SMALL_FLEET)
    doublings = min(failures, MAX_DOUBLINGS) * (1 - 1 / fleet)
    longest_s = min(1.5 * REOPEN_DELAY_S * fleet * 2**doublings, MAX_REOPEN_DELAY_S)
    return longest_s * (0.5 + chance) / 1.5
