"""Functions that the parts of a scenario share for drawing random numbers."""

from collections.abc import Iterable

import numpy as np
from numpy.typing import NDArray


def draw(rng: np.random.Generator, bounds: tuple[float, float]) -> float:
    """Draw a number uniformly from a range."""
    return float(rng.uniform(*bounds))


def normalized(shares: Iterable[float]) -> NDArray[np.float64]:
    """Return the shares scaled so that they sum to 1."""
    values = np.array(list(shares), dtype=float)
    result: NDArray[np.float64] = values / values.sum()
    return result
