"""Admission controllers that ``gates.py`` compares.  All times are in seconds.

Four adjust ``shed_fraction``, the fraction of requests to shed, to the queueing delay of the sidecar's event loop:

- a limit on the standing delay, as in CoDel (Nichols and Jacobson, 2012; RFC 8289);
- PIE (RFC 8033);
- AIMD on the delay (Chiu and Jain, 1989);
- a gradient limiter, which scales the admitted fraction by the ratio of target and measured delay (Brakmo and
  Peterson's Vegas, 1995, as in adaptive concurrency limits).

They also shed requests that can no longer meet their deadline (Dean and Barroso, "The Tail at Scale", 2013).  The fifth
controller does only that.
"""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt

MEAN_RESPONSE_TIME_S = 0.04  # of a server
TARGET_DELAY_S = 0.010
MAX_SHED_FRACTION = 0.97
MIN_ADMITTED_FRACTION = 0.03


class AdmissionController:
    """Interface of the controllers, and the baseline that sheds nothing."""

    name = "none"

    def __init__(self) -> None:
        self.shed_fraction = 0.0

    def update(self, now_s: float, mean_delay_s: float, min_delay_s: float) -> None:
        """Adjust ``shed_fraction`` to the queueing delays of the last control period."""

    def cannot_meet_deadline(self, delay_s: float, time_left_s: float) -> bool:
        """Return whether a request that has waited for ``delay_s`` can no longer be answered before its deadline."""
        return False


class DeadlineController(AdmissionController):
    """Sheds only requests that can no longer meet their deadline."""

    name = "deadline only"

    def cannot_meet_deadline(self, delay_s: float, time_left_s: float) -> bool:
        """Return whether the remaining time is shorter than the mean response time of a server."""
        return time_left_s - delay_s < MEAN_RESPONSE_TIME_S


class StandingDelayController(DeadlineController):
    """Increases the shed fraction while the minimum delay of each period is at or above the target.

    The first increase comes once the delay has not been below the target for 100 ms.  The n-th increase is followed by
    the next one after 100 ms/sqrt(n).
    """

    name = "standing delay"

    def __init__(self) -> None:
        super().__init__()
        self._last_below_target_at, self._increase_count, self._next_increase_at = 0.0, 0, 0.0

    def update(self, now_s: float, mean_delay_s: float, min_delay_s: float) -> None:
        """Adjust the shed fraction to the minimum delay."""
        if min_delay_s < TARGET_DELAY_S:
            self._last_below_target_at, self._increase_count = now_s, 0
            self.shed_fraction = max(0.0, self.shed_fraction - 0.02)
        elif now_s - self._last_below_target_at >= 0.1 and now_s >= self._next_increase_at:
            self._increase_count += 1
            self._next_increase_at = now_s + 0.1 / sqrt(self._increase_count)
            self.shed_fraction = min(MAX_SHED_FRACTION, self.shed_fraction + 0.05)


class PieController(DeadlineController):
    """Proportional-integral controller of RFC 8033, 4.2.  The gains are scaled down while the shed fraction is small.

    The standing delay is the smaller of the mean delays of the last two periods.
    """

    name = "PIE on standing delay"
    delay_gain, delay_growth_gain = 1.25, 6.25  # alpha and beta of RFC 8033, in 1/s, for a period of 20 ms

    def __init__(self) -> None:
        super().__init__()
        self._last_standing_delay_s = self._last_mean_delay_s = 0.0

    def update(self, now_s: float, mean_delay_s: float, min_delay_s: float) -> None:
        """Adjust the shed fraction to the standing delay and its growth."""
        standing_delay_s = min(mean_delay_s, self._last_mean_delay_s)
        self._last_mean_delay_s = mean_delay_s
        delay_change_s = standing_delay_s - self._last_standing_delay_s
        delay_growth_s = delay_change_s if standing_delay_s >= TARGET_DELAY_S else min(0.0, delay_change_s)
        change = self.delay_gain * (standing_delay_s - TARGET_DELAY_S) + self.delay_growth_gain * delay_growth_s
        scale = 0.25 if self.shed_fraction < 0.01 else 0.5 if self.shed_fraction < 0.1 else 1.0
        self.shed_fraction = min(MAX_SHED_FRACTION, max(0.0, self.shed_fraction + min(0.1, scale * change)))
        if standing_delay_s < TARGET_DELAY_S / 2 and self._last_standing_delay_s < TARGET_DELAY_S / 2:
            self.shed_fraction *= 0.98
        self._last_standing_delay_s = standing_delay_s


class AimdController(DeadlineController):
    """Increases the admitted fraction additively, or decreases it multiplicatively if the delay exceeds the target."""

    name = "AIMD"

    def update(self, now_s: float, mean_delay_s: float, min_delay_s: float) -> None:
        """Adjust the shed fraction to the mean delay."""
        admitted_fraction = 1 - self.shed_fraction
        admitted_fraction = admitted_fraction * 0.85 if mean_delay_s > TARGET_DELAY_S else admitted_fraction + 0.01
        self.shed_fraction = 1 - min(1.0, max(MIN_ADMITTED_FRACTION, admitted_fraction))


class GradientController(DeadlineController):
    """Moves the admitted fraction smoothly toward its product with target/delay.

    An added headroom lets the fraction grow again after the delay has fallen.
    """

    name = "gradient"

    def update(self, now_s: float, mean_delay_s: float, min_delay_s: float) -> None:
        """Adjust the shed fraction to the ratio of target and mean delay."""
        admitted_fraction = 1 - self.shed_fraction
        gradient = min(1.0, max(0.5, TARGET_DELAY_S / max(1e-6, mean_delay_s)))
        unsmoothed_fraction = admitted_fraction * gradient + 0.02 * sqrt(admitted_fraction)
        self.shed_fraction = 1 - min(
            1.0, max(MIN_ADMITTED_FRACTION, 0.7 * admitted_fraction + 0.3 * unsmoothed_fraction)
        )


ControllerFactory = Callable[[], AdmissionController]
CONTROLLER_FACTORIES: list[ControllerFactory] = [
    AdmissionController,
    DeadlineController,
    StandingDelayController,
    PieController,
    AimdController,
    GradientController,
]
