"""The request metrics that operators read at ``GET /control/counters``, counted from 0 in each process."""

from __future__ import annotations

from typing import Any


class RequestMetrics:
    """Requests by class and how they ended, and attempts that were written completely.  Plain integers, no I/O."""

    __slots__ = ("_class_names", "success", "overload", "error", "dispatches")

    def __init__(self, class_names: tuple[str, ...]) -> None:
        self._class_names = class_names
        self.success = [0] * len(class_names)  # by class: served
        self.overload = [0] * len(class_names)  # by class: rejected; a client's retry does no harm
        self.error = [0] * len(class_names)  # by class: failed, or invalid
        self.dispatches = 0  # attempts whose last byte was written

    def record_success(self, class_index: int) -> None:
        """Count a request of that class that was served."""
        if 0 <= class_index < len(self.success):
            self.success[class_index] += 1

    def record_rejection(self, class_index: int) -> None:
        """Count a request of that class that was rejected."""
        if 0 <= class_index < len(self.overload):
            self.overload[class_index] += 1

    def record_failure(self, class_index: int) -> None:
        """Count a request of that class that failed."""
        if 0 <= class_index < len(self.error):
            self.error[class_index] += 1

    def record_dispatch(self) -> None:
        """Count an attempt whose last byte was written."""
        self.dispatches += 1

    def snapshot(self, in_progress: int, endpoint_count: int, disabled_count: int) -> dict[str, Any]:
        """Return the object of the page: what was counted, with the present values that are handed in."""
        return {
            "replies": {
                name: {"success": success, "overload": overload, "error": error}
                for name, success, overload, error in zip(
                    self._class_names, self.success, self.overload, self.error, strict=True
                )
            },
            "dispatches": self.dispatches,
            "concurrent": in_progress,
            "targets": endpoint_count,
            "targets_disabled": disabled_count,
        }
