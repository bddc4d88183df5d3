"""When a watch that ended is opened again."""

REOPEN_DELAY_S = 0.2  # where few instances share a discovery service
SMALL_FLEET = 4  # instances that may reopen theirs so often; more of them take their turns
MAX_DOUBLINGS = 2  # of the delay while no watch comes up


def reopen_delay_s(failures: int, instances: int, chance: float) -> float:
    """Return the seconds until a watch is opened again.

    A discovery service that is overloaded, or was away, would otherwise be asked by the whole fleet in one
    instant, and then five times a second by each. It would reject all, and nobody would learn of anything.
    Here a fleet asks as often in a second as a few instances do, and less while it is rejected. That has
    a price, for an instance that alone lost its watch may get no changes for seconds.

    Args:
        failures: How many watches in a row did not come up.
        instances: How many instances share the discovery service.
        chance: A random number from 0 to 1, which spreads the instances.
    """
    fleet = max(1.0, instances / SMALL_FLEET)
    doublings = min(failures, MAX_DOUBLINGS) * (1 - 1 / fleet)
    return float(REOPEN_DELAY_S * fleet * 2**doublings * (0.5 + chance))
