"""Admission control: which requests are shed, by a fraction that follows the sidecar's own delay.

The rule that won in ``benchmarks/gates.py`` (docs/overload-design.md has the table of all five).  The controller sees
a request's head before anything is done for it, and never again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from lugtally import balancing
from lugtally.overload.delay_meter import DelayMeter, DelayPeriod, ResourceUsage
from lugtally.overload.shedding_order import SheddingOrder
from lugtally.units import NS_PER_MS

MIN_RETRY_AFTER_NS = 100 * NS_PER_MS
MAX_RETRY_AFTER_NS = 2000 * NS_PER_MS
DELAY_GAIN = 1.25
"""How much the shed fraction moves in a period, for each second of delay beyond the target (RFC 8033's alpha)."""
DELAY_GROWTH_GAIN = 6.25
"""How much the shed fraction moves in a period, for each second by which the delay grew (RFC 8033's beta)."""
MAX_INCREASE = 0.1
"""The most that the shed fraction rises in one period."""
MAX_IDLE_PERIODS = 200
"""Of 20 ms; after that many without a request nothing is shed any more."""
DECAY = 0.98
"""Of the shed fraction in each period in which the delay is well below the target."""
MIN_SHED_FRACTION = 0.001
"""A fraction that has decayed below this is 0."""


@dataclass(frozen=True, slots=True)
class OverloadLimits:
    """What the operator may set; fractions are of what the configuration grants the sidecar."""

    target_ns: int = 10 * NS_PER_MS
    """Own delay that is no overload."""
    period_ns: int = 20 * NS_PER_MS
    """Between two adjustments of the shed fraction."""
    memory_fraction: float = 0.9
    """Resident memory from which on every request is shed."""
    descriptors_fraction: float = 0.9
    """Open descriptors from which on every request is shed."""
    max_shed_fraction: float = 0.97
    """The most that is shed for delay: some must come in to show that it is over."""
    min_time_left_fraction: float = 0.5
    """A request is admitted only with this part of the typical response time left."""
    shed_first: tuple[str, ...] = ()
    """Names of the classes that are shed before the others, in that order."""
    max_retry_after_ns: int = 0
    """The longest ``Retry-After``; 0: clients get none."""


class ShedReason(Enum):
    """Why a request was shed."""

    DELAY = "own delay"
    HOPELESS = "it cannot be answered in time any more"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


class AdmissionController:
    """The admission of one sidecar."""

    def __init__(
        self, classes: tuple[balancing.RequestClass, ...], limits: OverloadLimits, seed: int, now_ns: int
    ) -> None:
        """Start with nothing shed.

        Raises:
            ValueError: ``limits.shed_first`` names a class that there is not.
        """
        self.limits = limits
        self.meter = DelayMeter(limits.period_ns, now_ns)
        self.order = SheddingOrder(classes, limits.shed_first)
        self.shed_fraction = 0.0
        """The fraction of all requests to shed for delay."""
        self.rejected: dict[ShedReason, int] = dict.fromkeys(ShedReason, 0)
        self.admitted = 0
        self._random = Random(seed)
        self._last_standing_ns = 0.0  # standing delay of the period before
        self._last_mean_ns = 0.0  # mean delay of the period before

    def check(
        self, now_ns: int, class_index: int, time_left_ns: int, delay_ns: int, typical_duration_ns: float
    ) -> ShedReason | None:
        """Return ``None`` where the request may come in, else why not.

        ``time_left_ns`` is what remains until the deadline that the request states, counted from its last byte;
        ``delay_ns`` bounds how long it has waited for this process since; ``typical_duration_ns`` is how long a
        response typically takes.
        """
        meter = self.meter
        meter.record(delay_ns)
        if (period := meter.end_period(now_ns)) is not None:
            self._adjust(period)
        self.order.record_request(now_ns, class_index)
        reason = self._reason_to_shed(class_index, time_left_ns, delay_ns, typical_duration_ns)
        if reason is None:
            self.admitted += 1
        else:
            self.rejected[reason] += 1
        return reason

    def _reason_to_shed(
        self, class_index: int, time_left_ns: int, delay_ns: int, typical_duration_ns: float
    ) -> ShedReason | None:
        usage = self.meter.usage
        if usage.memory_fraction >= self.limits.memory_fraction:
            return ShedReason.MEMORY
        if usage.descriptors_fraction >= self.limits.descriptors_fraction:
            return ShedReason.DESCRIPTORS
        if time_left_ns - delay_ns < self.limits.min_time_left_fraction * typical_duration_ns:
            return ShedReason.HOPELESS
        if self.shed_fraction > 0.0:
            fraction = self.order.class_shed_fraction(class_index, self.shed_fraction)
            if fraction > 0.0 and (fraction >= 1.0 or self._random.random() < fraction):
                return ShedReason.DELAY
        return None

    def snapshot(self) -> dict[str, object]:
        """Return the state for people, by the keys of the status socket."""
        usage = self.meter.usage
        return {
            "refusing": self.is_shedding,
            "share": round(self.shed_fraction, 4),
            "let_in": self.admitted,
            "refused": {reason.name.lower(): count for reason, count in self.rejected.items()},
            "delay_ms": round(self.meter.mean_delay_ns / NS_PER_MS, 3),
            "worst_ms": round(self.meter.max_delay_ns / NS_PER_MS, 3),
            "cpu": round(usage.cpu_fraction, 3),
            "memory": round(usage.memory_fraction, 3),
            "descriptors": round(usage.descriptors_fraction, 3),
        }

    @property
    def is_shedding(self) -> bool:
        """Whether requests are shed for delay, or for want of memory or descriptors."""
        usage = self.meter.usage
        return (
            self.shed_fraction > 0.0
            or usage.memory_fraction >= self.limits.memory_fraction
            or usage.descriptors_fraction >= self.limits.descriptors_fraction
        )

    def retry_after_ns(self) -> int:
        """Return when a shed client may come back: the longer, the more is shed.

        It is spread at random, so that not all come back at once.
        """
        max_ns = self.limits.max_retry_after_ns
        if not max_ns:
            return 0
        retry_after_ns = max(0.0, MIN_RETRY_AFTER_NS + self.shed_fraction * (max_ns - MIN_RETRY_AFTER_NS))
        return int(min(max_ns, retry_after_ns * self._random.uniform(0.5, 1.5)))

    def update_when_idle(self, now_ns: int) -> None:
        """Adjust the shed fraction where no request comes, so that an overload does not outlive its cause.

        To be called periodically.
        """
        elapsed = self.meter.elapsed_periods(now_ns)
        if (period := self.meter.end_period(now_ns)) is None:
            return
        self._adjust(period)
        if not period.count:
            for _ in range(min(elapsed, MAX_IDLE_PERIODS) - 1):  # each empty period counts, as if it had been seen
                self._adjust(period)

    def read(self, usage: ResourceUsage) -> None:
        """Take a reading of the process's resources."""
        self.meter.read(usage)

    def _adjust(self, period: DelayPeriod) -> None:
        """Move the shed fraction by PIE's law (RFC 8033, 4.2) on the standing delay: the lesser of two periods' means.

        One long turn, of a garbage collection or of the machine, is over before anything could be done about it.
        """
        standing_ns = min(period.mean_ns, self._last_mean_ns)
        self._last_mean_ns = period.mean_ns
        increase = min(MAX_INCREASE, self._scale() * self._raw_change(standing_ns))
        self.shed_fraction = min(self.limits.max_shed_fraction, max(0.0, self.shed_fraction + increase))
        if standing_ns < self.limits.target_ns / 2 and self._last_standing_ns < self.limits.target_ns / 2:
            self._decay()
        self._last_standing_ns = standing_ns

    def _raw_change(self, standing_ns: float) -> float:
        """Return the change by PIE's law, before it is scaled."""
        target_ns = self.limits.target_ns
        growth_ns = standing_ns - self._last_standing_ns
        if standing_ns < target_ns:
            growth_ns = min(0.0, growth_ns)  # growth below the target is no overload yet
        return 1e-9 * (DELAY_GAIN * (standing_ns - target_ns) + DELAY_GROWTH_GAIN * growth_ns)

    def _scale(self) -> float:
        """Return the factor of a change: smaller steps while little is shed, as RFC 8033 has it."""
        if self.shed_fraction < 0.01:
            return 0.25
        return 0.5 if self.shed_fraction < 0.1 else 1.0

    def _decay(self) -> None:
        self.shed_fraction *= DECAY
        if self.shed_fraction < MIN_SHED_FRACTION:
            self.shed_fraction = 0.0
