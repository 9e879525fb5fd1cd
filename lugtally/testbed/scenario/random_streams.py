"""Named random streams: each purpose draws from its own stream, so that a new stream changes no other draw.

A stream is numpy's ``Generator`` over Philox (Salmon et al., "Parallel random numbers: as easy as 1, 2, 3", 2011),
keyed by a 128-bit hash of the seed and the name.  Streams are independent of each other and of their order of use.
A seed reproduces a run only as long as the names and the order of draws within each stream stay the same.
"""

from __future__ import annotations

import numpy as np
import xxhash

from lugtally.testbed.scenario.scenario import Bounds, Range


def stream(seed: int, *name: object) -> np.random.Generator:
    """Return a new generator for a seed and name, at the start of its stream."""
    return np.random.Generator(np.random.Philox(key=xxhash.xxh3_128_intdigest(_key(seed, name))))


def named_uniform(seed: int, *name: object) -> float:
    """Return the number in [0, 1) that belongs to a seed and name, for draws without a fixed order."""
    return float((xxhash.xxh3_64_intdigest(_key(seed, name)) >> 11) * 2.0**-53)


def draw_from(random: np.random.Generator, values: Range) -> float:
    """Draw uniformly between bounds, or return a number as it is.  Both advance the generator by one draw."""
    draw = float(random.random())
    if isinstance(values, Bounds):
        return values.lower + (values.upper - values.lower) * draw
    return float(values)


def _key(seed: int, name: tuple[object, ...]) -> bytes:
    return "/".join([str(seed), *map(str, name)]).encode()
