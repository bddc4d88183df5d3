"""Random streams by name: the same seed and name give the same numbers, whatever else is drawn."""

import zlib

import numpy as np


def stream(seed: int, *name) -> np.random.Generator:
    """A generator of its own for a purpose.

    Two variants that see the same seed must meet the same arrivals, work and troubles (common random
    numbers), so nothing may be drawn from a stream that another purpose also draws from.
    """
    words = [zlib.crc32(str(part).encode()) for part in name]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed & (2**63 - 1), *words])))


def whole(seed: int, *name) -> int:
    """One whole number of 63 bits, as a seed for another generator."""
    return int(stream(seed, *name).integers(0, 2**63 - 1))
