"""The two clocks of the process, in integer nanoseconds."""

from __future__ import annotations

import time

monotonic_ns = time.monotonic_ns
"""Return the time of the clock that timers and the balancer run on.  It never goes back.

The function itself and no call of it: a request asks for the time some forty times.
"""


def wall_clock_ns() -> int:
    """Return Unix time.  It may step."""
    return time.time_ns()
