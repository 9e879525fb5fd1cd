"""The monotonic clock and the wall clock, in integer nanoseconds."""

from __future__ import annotations

import time

monotonic_ns = time.monotonic_ns
"""Return the current time of the monotonic clock, which the timers and the balancer use.

An alias instead of a wrapper function, because each request reads the clock about forty times.
"""


def wall_clock_ns() -> int:
    """Return the current Unix time.  It may jump forwards or backwards."""
    return time.time_ns()
