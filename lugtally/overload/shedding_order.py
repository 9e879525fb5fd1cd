"""The order in which request classes are shed, and how much of each: idempotent first, non-idempotent last.

Each class occupies an interval between 0 and 1 whose length is its share of the traffic, in shedding order.  The
shed fraction is a point between 0 and 1: classes below the point are shed completely, classes above it are admitted,
and the class that contains it is shed in part.
"""

from __future__ import annotations

from typing import NamedTuple

from lugtally import balancing
from lugtally.balancing import Idempotency
from lugtally.units import NS_PER_S

IDEMPOTENCY_RANK = {Idempotency.IDEMPOTENT: 0, Idempotency.IDEMPOTENCY_KEY: 1, Idempotency.NON_IDEMPOTENT: 2}
"""Classes with a lower rank are shed first."""
TRAFFIC_HALVING_INTERVAL_NS = 2 * NS_PER_S
"""Interval at which the request counts are halved, so that the weight of old traffic decays."""


class TrafficRange(NamedTuple):
    """The interval between 0 and 1 that a class occupies."""

    low: float
    high: float


class SheddingOrder:
    """Holds the classes in the order in which they are shed, with their shares of the traffic."""

    def __init__(self, classes: tuple[balancing.RequestClass, ...], shed_first: tuple[str, ...] = ()) -> None:
        """Determine the order.  The classes that ``shed_first`` names come first, in the order of ``shed_first``.

        Raises:
            ValueError: ``shed_first`` names an unknown class.
        """
        self.order = _shedding_order(classes, shed_first)
        """The class indices in shedding order: the first class is shed first."""
        self._request_counts = [1.0] * len(classes)
        self._total_count = float(len(classes))
        self._last_halving_ns = 0
        self._ranges = [TrafficRange(0.0, 1.0)] * len(classes)  # by class index
        self._update_ranges()

    def record_request(self, now_ns: int, class_index: int) -> None:
        """Count a request of the class."""
        self._request_counts[class_index] += 1
        self._total_count += 1
        if now_ns - self._last_halving_ns > TRAFFIC_HALVING_INTERVAL_NS:
            # Halving is cheaper than a sliding window: it costs two list operations per interval.
            self._last_halving_ns = now_ns
            self._request_counts = [count / 2 for count in self._request_counts]
            self._total_count /= 2
            self._update_ranges()

    def _update_ranges(self) -> None:
        """Place the classes' shares of the traffic on the range from 0 to 1, in the shedding order."""
        low = 0.0
        for class_index in self.order:
            high = low + self._request_counts[class_index] / self._total_count
            self._ranges[class_index] = TrafficRange(low, high)
            low = high

    def class_shed_fraction(self, class_index: int, shed_fraction: float) -> float:
        """Return the fraction of the class to shed if ``shed_fraction`` of all requests is shed."""
        low, high = self._ranges[class_index]
        if shed_fraction <= low:
            return 0.0
        return 1.0 if shed_fraction >= high else (shed_fraction - low) / (high - low)


def _shedding_order(classes: tuple[balancing.RequestClass, ...], shed_first: tuple[str, ...]) -> list[int]:
    """Return the class indices in the order of ``shed_first``, then by idempotency, priority weight and index."""
    class_indices = {request_class.name: index for index, request_class in enumerate(classes)}
    for name in shed_first:
        if name not in class_indices:
            raise ValueError(f"{name!r} is an unknown class")

    def sort_key(class_index: int) -> tuple[int, float, int]:
        request_class = classes[class_index]
        return IDEMPOTENCY_RANK[request_class.idempotency], request_class.priority_weight, class_index

    first = [class_indices[name] for name in shed_first]
    others = [class_index for class_index in range(len(classes)) if class_index not in first]
    return first + sorted(others, key=sort_key)
