"""Admission controllers that ``gates.py`` compares.

Each turns the queueing delay of the sidecar's event loop into ``shed_fraction``, the share of requests to reject:

- a standing delay in the manner of CoDel (Nichols and Jacobson, 2012; RFC 8289);
- PIE (RFC 8033);
- AIMD on the delay (Chiu and Jain, 1989);
- the gradient of the delay on the admitted rate (Brakmo and Peterson's Vegas, 1995, as in adaptive concurrency limits);
- rejecting only what can no longer meet its deadline (Dean and Barroso, "The Tail at Scale", 2013).
"""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt

SERVICE_S = 0.04  # mean time at a server
TARGET_DELAY_S = 0.010
MAX_SHED_FRACTION = 0.97
MIN_ADMITTED = 0.03


class AdmissionController:
    """A controller that rejects nothing, and the interface of the others."""

    name = "none"

    def __init__(self) -> None:
        self.shed_fraction = 0.0

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Adjust ``shed_fraction`` to the delays of the last period, in seconds."""

    def is_hopeless(self, age: float, time_left: float) -> bool:
        """Return whether a request of this age can no longer be answered in time."""
        return False


class DeadlineOnly(AdmissionController):
    """Rejects only requests that can no longer meet their deadline."""

    name = "deadline only"

    def is_hopeless(self, age: float, time_left: float) -> bool:
        """Return whether the time left is shorter than the time at a server."""
        return time_left - age < SERVICE_S


class StandingDelay(DeadlineOnly):
    """Rejects more the longer the minimum delay exceeds the target.

    The first increase comes after 100 ms, the n-th one 100 ms/sqrt(n) after the one before.
    """

    name = "standing delay"

    def __init__(self) -> None:
        super().__init__()
        self._below_target_at, self._increases, self._next_increase_at = 0.0, 0, 0.0

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Adjust the share to the minimum delay."""
        if min_delay < TARGET_DELAY_S:
            self._below_target_at, self._increases = now, 0
            self.shed_fraction = max(0.0, self.shed_fraction - 0.02)
        elif now - self._below_target_at >= 0.1 and now >= self._next_increase_at:
            self._increases += 1
            self._next_increase_at = now + 0.1 / sqrt(self._increases)
            self.shed_fraction = min(MAX_SHED_FRACTION, self.shed_fraction + 0.05)


class Pie(DeadlineOnly):
    """Proportional-integral controller: RFC 8033, 4.2, with the gains scaled down while little is rejected."""

    name = "PIE on standing delay"
    alpha, beta = 1.25, 6.25  # gains in 1/s, for a period of 20 ms

    def __init__(self) -> None:
        super().__init__()
        self._last_delay = self._last_mean = 0.0

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Adjust the share by the standing delay and its growth."""
        delay = min(mean_delay, self._last_mean)
        self._last_mean = mean_delay
        change_of_delay = delay - self._last_delay
        growth = change_of_delay if delay >= TARGET_DELAY_S else min(0.0, change_of_delay)
        change = self.alpha * (delay - TARGET_DELAY_S) + self.beta * growth
        scale = 0.25 if self.shed_fraction < 0.01 else 0.5 if self.shed_fraction < 0.1 else 1.0
        self.shed_fraction = min(MAX_SHED_FRACTION, max(0.0, self.shed_fraction + min(0.1, scale * change)))
        if delay < TARGET_DELAY_S / 2 and self._last_delay < TARGET_DELAY_S / 2:
            self.shed_fraction *= 0.98
        self._last_delay = delay


class Aimd(DeadlineOnly):
    """Additive increase of the admitted share while the delay is short, multiplicative decrease while it is long."""

    name = "AIMD"

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Adjust the share to the mean delay."""
        admitted = 1 - self.shed_fraction
        admitted = admitted * 0.85 if mean_delay > TARGET_DELAY_S else admitted + 0.01
        self.shed_fraction = 1 - min(1.0, max(MIN_ADMITTED, admitted))


class Gradient(DeadlineOnly):
    """The admitted share follows target/delay, smoothed, with slack that lets it grow again."""

    name = "gradient"

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Adjust the share to the ratio of target and mean delay."""
        admitted = 1 - self.shed_fraction
        gradient = min(1.0, max(0.5, TARGET_DELAY_S / max(1e-6, mean_delay)))
        wanted = admitted * gradient + 0.02 * sqrt(admitted)
        self.shed_fraction = 1 - min(1.0, max(MIN_ADMITTED, 0.7 * admitted + 0.3 * wanted))


MakeController = Callable[[], AdmissionController]
CONTROLLERS: list[MakeController] = [AdmissionController, DeadlineOnly, StandingDelay, Pie, Aimd, Gradient]
