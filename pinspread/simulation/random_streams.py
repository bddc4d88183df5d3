"""Independent random number streams, derived from one seed and the name of a purpose.

Variants that are compared must meet the same arrivals, work and faults (common random numbers). Each purpose
therefore draws from a stream of its own: a draw more for one purpose does not shift those of another.
The names are part of what a seed means: changing one changes all recorded runs.
"""

import zlib

import numpy as np

SEED_MASK = 2**63 - 1


def random_stream(seed: int, *name: object) -> np.random.Generator:
    """Return the generator of a purpose.

    Args:
        seed: Seed of the run; its lowest 63 bits count.
        name: Parts of the purpose's name, which are told apart by their `str`.
    """
    words = [zlib.crc32(str(part).encode()) for part in name]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed & SEED_MASK, *words])))


def random_seed(seed: int, *name: object) -> int:
    """Return an integer of 63 bits, drawn from the stream of that name, as a seed for another generator."""
    return int(random_stream(seed, *name).integers(0, SEED_MASK))
