"""Admission control: sheds a fraction of the requests, which is adjusted to the scheduling delay of this process.

The control law is the best of the five that ``benchmarks/gates.py`` compares; docs/overload-design.md has the results.
The controller decides on each request once, after its head has been parsed and before any other work.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import NamedTuple

from lugtally import balancing
from lugtally.overload.delay_meter import DelayMeter, DelayPeriod, ResourceUsage
from lugtally.overload.shedding_order import SheddingOrder
from lugtally.units import NS_PER_MS

MIN_RETRY_AFTER_NS = 100 * NS_PER_MS
"""``Retry-After`` while nothing is shed, before jitter."""
MAX_RETRY_AFTER_NS = 2000 * NS_PER_MS
"""Upper limit of :attr:`OverloadLimits.max_retry_after_ns`."""
MIN_JITTER_FACTOR = 0.5
"""Lower limit of the random factor on ``Retry-After``."""
MAX_JITTER_FACTOR = 1.5
"""Upper limit of the random factor on ``Retry-After``."""
S_PER_NS = 1e-9
DELAY_GAIN = 1.25
"""Change of the shed fraction per period, for each second of delay above the target (alpha in RFC 8033)."""
DELAY_GROWTH_GAIN = 6.25
"""Change of the shed fraction per period, for each second by which the delay grew (beta in RFC 8033)."""
MAX_SHED_FRACTION_INCREASE = 0.1
"""Largest increase of the shed fraction in one period."""
MAX_IDLE_PERIODS = 200
"""Largest number of periods without requests that one call processes; the shed fraction is 0 after these."""
DECAY_FACTOR = 0.98
"""Factor on the shed fraction in a period whose standing delay, like the one before, is below half of the target."""
MIN_SHED_FRACTION = 0.001
"""A shed fraction that decays below this becomes 0."""


class ScaleThreshold(NamedTuple):
    """The factor on changes of the shed fraction while it is below ``below_fraction``."""

    below_fraction: float
    scale: float


SCALE_THRESHOLDS = (ScaleThreshold(0.01, 0.25), ScaleThreshold(0.1, 0.5))
"""Changes are scaled down while the shed fraction is small (RFC 8033, 4.2); from the last threshold the scale is 1."""


@dataclass(frozen=True, slots=True)
class OverloadLimits:
    """The limits that an operator can set.  Resource fractions are fractions of the configured resource limits."""

    target_ns: int = 10 * NS_PER_MS
    """Scheduling delay above which the shed fraction increases."""
    period_ns: int = 20 * NS_PER_MS
    """Interval between two adjustments of the shed fraction."""
    memory_fraction: float = 0.9
    """Fraction of resident memory at which every request is shed."""
    descriptors_fraction: float = 0.9
    """Fraction of open descriptors at which every request is shed."""
    max_shed_fraction: float = 0.97
    """Upper limit of the shed fraction.  Some requests must be admitted to detect when the overload has ended."""
    min_time_left_fraction: float = 0.5
    """A request is shed if less than this fraction of the typical response time remains until its deadline."""
    shed_first: tuple[str, ...] = ()
    """Names of the request classes that are shed before all others, in this order."""
    max_retry_after_ns: int = 0
    """Upper limit of ``Retry-After``; 0 if responses do not have this header."""


class ShedReason(Enum):
    """Why a request was shed.  The value is the key of its count in the status."""

    DELAY = "delay"
    DEADLINE = "hopeless"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


class AdmissionController:
    """Admits or sheds the requests of one sidecar."""

    def __init__(
        self, classes: tuple[balancing.RequestClass, ...], limits: OverloadLimits, seed: int, now_ns: int
    ) -> None:
        """Start with a shed fraction of 0.

        Raises:
            ValueError: ``limits.shed_first`` names an unknown class.
        """
        self.limits = limits
        self.meter = DelayMeter(limits.period_ns, now_ns)
        self.order = SheddingOrder(classes, limits.shed_first)
        self.shed_fraction = 0.0
        """The fraction of all requests that is shed because of delay."""
        self.shed_counts: dict[ShedReason, int] = dict.fromkeys(ShedReason, 0)
        self.admitted_count = 0
        self._random = Random(seed)
        self._last_standing_delay_ns = 0.0  # standing delay of the previous period
        self._last_mean_delay_ns = 0.0  # mean delay of the previous period

    def check(
        self, now_ns: int, class_index: int, time_left_ns: int, delay_ns: int, typical_duration_ns: float
    ) -> ShedReason | None:
        """Admit or shed a request: return ``None`` if it is admitted, otherwise the reason why it is shed.

        Args:
            now_ns: The current time.
            class_index: The class of the request.
            time_left_ns: Time from the last byte of the request until its deadline.
            delay_ns: Upper bound of the time for which the request has waited to be handled by this process.
            typical_duration_ns: Typical duration of a served attempt of the class; 0 if unknown.
        """
        meter = self.meter
        meter.record(delay_ns)
        if (period := meter.end_period(now_ns)) is not None:
            self._adjust(period)
        self.order.record_request(now_ns, class_index)
        reason = self._reason_to_shed(class_index, time_left_ns, delay_ns, typical_duration_ns)
        if reason is None:
            self.admitted_count += 1
        else:
            self.shed_counts[reason] += 1
        return reason

    def _reason_to_shed(
        self, class_index: int, time_left_ns: int, delay_ns: int, typical_duration_ns: float
    ) -> ShedReason | None:
        """Return the first reason to shed the request, or ``None``."""
        usage = self.meter.usage
        if usage.memory_fraction >= self.limits.memory_fraction:
            return ShedReason.MEMORY
        if usage.descriptors_fraction >= self.limits.descriptors_fraction:
            return ShedReason.DESCRIPTORS
        if time_left_ns - delay_ns < self.limits.min_time_left_fraction * typical_duration_ns:
            return ShedReason.DEADLINE
        if self.shed_fraction > 0.0:
            fraction = self.order.class_shed_fraction(class_index, self.shed_fraction)
            if fraction > 0.0 and (fraction >= 1.0 or self._random.random() < fraction):
                return ShedReason.DELAY
        return None

    def snapshot(self) -> dict[str, object]:
        """Return the state of the controller, by the keys of the status socket."""
        usage = self.meter.usage
        return {
            "refusing": self.is_shedding,
            "share": round(self.shed_fraction, 4),
            "let_in": self.admitted_count,
            "refused": {reason.value: count for reason, count in self.shed_counts.items()},
            "delay_ms": round(self.meter.mean_delay_ns / NS_PER_MS, 3),
            "worst_ms": round(self.meter.max_delay_ns / NS_PER_MS, 3),
            "cpu": round(usage.cpu_fraction, 3),
            "memory": round(usage.memory_fraction, 3),
            "descriptors": round(usage.descriptors_fraction, 3),
        }

    @property
    def is_shedding(self) -> bool:
        """Whether requests are shed because of delay, memory or descriptors."""
        usage = self.meter.usage
        return (
            self.shed_fraction > 0.0
            or usage.memory_fraction >= self.limits.memory_fraction
            or usage.descriptors_fraction >= self.limits.descriptors_fraction
        )

    def retry_after_ns(self) -> int:
        """Return the ``Retry-After`` of a shed request, which grows with the shed fraction; 0 if there is none.

        It has random jitter, so that clients do not retry at the same time.
        """
        max_ns = self.limits.max_retry_after_ns
        if not max_ns:
            return 0
        retry_after_ns = max(0.0, MIN_RETRY_AFTER_NS + self.shed_fraction * (max_ns - MIN_RETRY_AFTER_NS))
        return int(min(max_ns, retry_after_ns * self._random.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)))

    def update_when_idle(self, now_ns: int) -> None:
        """Adjust the shed fraction if no requests arrive, so that it decays after an overload.

        Call this periodically.
        """
        elapsed = self.meter.elapsed_periods(now_ns)
        if (period := self.meter.end_period(now_ns)) is None:
            return
        self._adjust(period)
        if not period.count:
            for _ in range(min(elapsed, MAX_IDLE_PERIODS) - 1):  # one call for each further period without requests
                self._adjust(period)

    def record_usage(self, usage: ResourceUsage) -> None:
        """Record a reading of the resources of the process."""
        self.meter.record_usage(usage)

    def _adjust(self, period: DelayPeriod) -> None:
        """Adjust the shed fraction to the standing delay, with the control law of PIE (RFC 8033, 4.2).

        The standing delay is the smaller of the mean delays of the last two periods.  It ignores a single long turn of
        the event loop, such as one with a garbage collection, because shedding cannot prevent that.
        """
        standing_delay_ns = min(period.mean_ns, self._last_mean_delay_ns)
        self._last_mean_delay_ns = period.mean_ns
        change = min(MAX_SHED_FRACTION_INCREASE, self._change_scale() * self._unscaled_change(standing_delay_ns))
        self.shed_fraction = min(self.limits.max_shed_fraction, max(0.0, self.shed_fraction + change))
        if standing_delay_ns < self.limits.target_ns / 2 and self._last_standing_delay_ns < self.limits.target_ns / 2:
            self._decay()
        self._last_standing_delay_ns = standing_delay_ns

    def _unscaled_change(self, standing_delay_ns: float) -> float:
        """Return the change of the shed fraction by the control law of PIE, before scaling."""
        target_ns = self.limits.target_ns
        delay_growth_ns = standing_delay_ns - self._last_standing_delay_ns
        if standing_delay_ns < target_ns:
            delay_growth_ns = min(0.0, delay_growth_ns)  # a delay that grows below the target is no overload
        return S_PER_NS * (DELAY_GAIN * (standing_delay_ns - target_ns) + DELAY_GROWTH_GAIN * delay_growth_ns)

    def _change_scale(self) -> float:
        """Return the factor on a change at the current shed fraction."""
        for threshold in SCALE_THRESHOLDS:
            if self.shed_fraction < threshold.below_fraction:
                return threshold.scale
        return 1.0

    def _decay(self) -> None:
        """Decrease the shed fraction by one step."""
        self.shed_fraction *= DECAY_FACTOR
        if self.shed_fraction < MIN_SHED_FRACTION:
            self.shed_fraction = 0.0
