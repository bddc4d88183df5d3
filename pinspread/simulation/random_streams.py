"""Independent random number streams, derived from one seed and the name of a purpose.

Variants that are compared must meet the same arrivals, work and faults (common random numbers). Each purpose
therefore draws from a stream of its own: an additional draw for one purpose does not shift those of another.
The stream depends on the seed and the name: changing a name changes all recorded runs.
"""

import zlib

import numpy as np

SEED_MASK = 2**63 - 1


def random_stream(seed: int, *name: object) -> np.random.Generator:
    """Return the generator of a purpose.

    Args:
        seed: Seed of the run; only its lowest 63 bits are used.
        name: Parts of the purpose's name, which are distinguished by their `str`.
    """
    words = [zlib.crc32(str(part).encode()) for part in name]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed & SEED_MASK, *words])))


def random_seed(seed: int, *name: object) -> int:
    """Return a 63-bit seed for another generator, drawn from the stream of that name."""
    return int(random_stream(seed, *name).integers(0, SEED_MASK))
