"""Moving averages of the duration of served attempts."""

from __future__ import annotations

NEW_DURATION_WEIGHT = 0.1
"""The weight, from 0 to 1, of a new duration in the moving average of its class."""


class ServiceTimes:
    """The exponentially weighted moving average of the duration of served attempts, by request class."""

    __slots__ = ("_average_ns",)

    def __init__(self) -> None:
        self._average_ns: dict[int, float] = {}

    def record(self, class_index: int, duration_ns: int) -> None:
        """Add the duration of a served attempt to the average of its class."""
        average_ns = self._average_ns.setdefault(class_index, float(duration_ns))
        self._average_ns[class_index] = average_ns + NEW_DURATION_WEIGHT * (duration_ns - average_ns)

    def average_ns(self, class_index: int) -> float:
        """Return the average duration of the class; 0 if no attempt of the class has been served."""
        return self._average_ns.get(class_index, 0.0)
