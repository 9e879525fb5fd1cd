"""The figures that operators read at ``GET /control/counters``, counted from 0 in each process."""

from __future__ import annotations

from typing import Any


class RequestMetrics:
    """Requests by class and how they ended, and attempts written whole.  Plain integers, no I/O."""

    __slots__ = ("_names", "success", "overload", "error", "dispatches")

    def __init__(self, names: tuple[str, ...]) -> None:
        self._names = names
        self.success = [0] * len(names)  # by class: served
        self.overload = [0] * len(names)  # a busy reply: asking again does no harm
        self.error = [0] * len(names)  # failed, or at fault
        self.dispatches = 0  # attempts whose last byte was written

    def record_success(self, cls: int) -> None:
        """A request of that class was served."""
        if 0 <= cls < len(self.success):
            self.success[cls] += 1

    def record_rejection(self, cls: int) -> None:
        """A request of that class got a busy reply."""
        if 0 <= cls < len(self.overload):
            self.overload[cls] += 1

    def record_failure(self, cls: int) -> None:
        """A request of that class failed."""
        if 0 <= cls < len(self.error):
            self.error[cls] += 1

    def record_dispatch(self) -> None:
        """Count an attempt whose last byte was written."""
        self.dispatches += 1

    def snapshot(self, concurrent: int, targets: int, disabled: int) -> dict[str, Any]:
        """The object of the page, with what the books hold and what is in force now."""
        return {
            "replies": {
                name: {"success": self.success[at], "overload": self.overload[at], "error": self.error[at]}
                for at, name in enumerate(self._names)
            },
            "dispatches": self.dispatches,
            "concurrent": concurrent,
            "targets": targets,
            "targets_disabled": disabled,
        }
