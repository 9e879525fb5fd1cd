"""In which order classes are shed, and how much of each: what may be repeated first, non-idempotent requests last.

The fraction of all requests to shed is laid over the classes' shares of the traffic in that order: a class that lies
below it is shed completely, one above it not at all, and the one in which it ends in part.
"""

from __future__ import annotations

from lugtally import balancing
from lugtally.balancing import Idempotency
from lugtally.units import NS_PER_S

IDEMPOTENCY_RANK = {Idempotency.IDEMPOTENT: 0, Idempotency.IDEMPOTENCY_KEY: 1, Idempotency.NON_IDEMPOTENT: 2}
TRAFFIC_HALVING_INTERVAL_NS = 2 * NS_PER_S
"""How often the counts of requests are halved, so that old traffic fades."""


class SheddingOrder:
    """The classes in the order in which they are shed, with their shares of the traffic."""

    def __init__(self, classes: tuple[balancing.RequestClass, ...], shed_first: tuple[str, ...] = ()) -> None:
        """Put the classes that ``shed_first`` names before the others, in that order.

        Raises:
            ValueError: it names a class that there is not.
        """
        self.order = _shedding_order(classes, shed_first)
        """Positions of the classes, first shed to last."""
        self._request_counts = [1.0] * len(classes)
        self._total_count = float(len(classes))
        self._last_halving_ns = 0
        self._bounds = [(0.0, 1.0)] * len(classes)
        self._update_bounds()

    def record_request(self, now_ns: int, class_index: int) -> None:
        """Count a request of that class."""
        self._request_counts[class_index] += 1
        self._total_count += 1
        if now_ns - self._last_halving_ns > TRAFFIC_HALVING_INTERVAL_NS:
            # Halving, not sliding: two list operations an interval, and the old half fades.
            self._last_halving_ns = now_ns
            self._request_counts = [count / 2 for count in self._request_counts]
            self._total_count /= 2
            self._update_bounds()

    def _update_bounds(self) -> None:
        """Lay the classes' shares of the traffic, in order, over the range from 0 to 1."""
        low = 0.0
        for class_index in self.order:
            high = low + self._request_counts[class_index] / self._total_count
            self._bounds[class_index] = (low, high)
            low = high

    def class_shed_fraction(self, class_index: int, shed_fraction: float) -> float:
        """Return the fraction of that class to shed where ``shed_fraction`` of all requests is shed."""
        low, high = self._bounds[class_index]
        if shed_fraction <= low:
            return 0.0
        return 1.0 if shed_fraction >= high else (shed_fraction - low) / (high - low)


def _shedding_order(classes: tuple[balancing.RequestClass, ...], shed_first: tuple[str, ...]) -> list[int]:
    positions = {request_class.name: position for position, request_class in enumerate(classes)}
    for name in shed_first:
        if name not in positions:
            raise ValueError(f"{name!r} is no class")

    def rank(position: int) -> tuple[int, float, int]:
        request_class = classes[position]
        return IDEMPOTENCY_RANK[request_class.idempotency], request_class.priority_weight, position

    first = [positions[name] for name in shed_first]
    return first + sorted((position for position in range(len(classes)) if position not in first), key=rank)
