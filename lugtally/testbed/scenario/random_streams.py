"""Random streams by name: each process draws from its own, so that adding one moves no other draw.

A stream is numpy's ``Generator`` over Philox (Salmon et al., "Parallel random numbers: as easy as 1, 2, 3", 2011),
keyed by a 128-bit hash of the seed and the name.  Two names share no numbers, whatever the order of use.  The names
are part of what a seed means: another name, or another order of draws, is another run.
"""

from __future__ import annotations

import numpy as np
import xxhash


def stream(seed: int, *name: object) -> np.random.Generator:
    """Return the generator of that name under that seed: the same at every call, from its first number on."""
    return np.random.Generator(np.random.Philox(key=xxhash.xxh3_128_intdigest(_key(seed, name))))


def unit(seed: int, *name: object) -> float:
    """Return one number in [0, 1) that belongs to the name alone: for draws by key, where no order exists."""
    return float((xxhash.xxh3_64_intdigest(_key(seed, name)) >> 11) * 2.0**-53)


def between(random: np.random.Generator, bounds: float | tuple[float, float]) -> float:
    """Draw a number evenly from a range, or return the number itself; a draw is used up either way."""
    draw = float(random.random())
    if isinstance(bounds, tuple):
        return bounds[0] + (bounds[1] - bounds[0]) * draw
    return float(bounds)


def _key(seed: int, name: tuple[object, ...]) -> bytes:
    return "/".join([str(seed), *map(str, name)]).encode()
