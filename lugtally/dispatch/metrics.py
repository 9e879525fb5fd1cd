"""The request counters of this process, which ``GET /control/counters`` and the status socket report."""

from __future__ import annotations

from typing import Any


class RequestMetrics:
    """Counts requests by class and result, and attempts whose request was sent completely.

    All counters are 0 when the process starts.

    Attributes:
        success: Served requests, by class.
        overload: Rejected requests, by class, including those that this sidecar shed.  The client may retry them.
        error: Failed requests, by class: an endpoint may have processed the request or declined it with a 4xx status,
            or its streamed response was truncated.  Requests that this sidecar finds invalid are not counted.
        dispatches: Attempts whose last byte was written.
        shed: Requests that this sidecar rejected because it was itself overloaded.
        disconnected: Requests whose client disconnected before the final answer.
    """

    __slots__ = ("_class_names", "success", "overload", "error", "dispatches", "shed", "disconnected")

    def __init__(self, class_names: tuple[str, ...]) -> None:
        self._class_names = class_names
        self.success = [0] * len(class_names)
        self.overload = [0] * len(class_names)
        self.error = [0] * len(class_names)
        self.dispatches = 0
        self.shed = 0
        self.disconnected = 0

    def record_success(self, class_index: int) -> None:
        """Count a served request.  An unknown class is ignored."""
        if 0 <= class_index < len(self.success):
            self.success[class_index] += 1

    def record_rejection(self, class_index: int) -> None:
        """Count a rejected request.  An unknown class is ignored."""
        if 0 <= class_index < len(self.overload):
            self.overload[class_index] += 1

    def record_shed(self, class_index: int | None) -> None:
        """Count a request that this sidecar rejected because it was itself overloaded or short of memory.

        A request of an unknown class is not counted as rejected.
        """
        if class_index is not None:
            self.shed += 1
            self.record_rejection(class_index)

    def record_failure(self, class_index: int) -> None:
        """Count a failed request.  An unknown class is ignored."""
        if 0 <= class_index < len(self.error):
            self.error[class_index] += 1

    def record_disconnect(self) -> None:
        """Count a request whose client disconnected before the final answer."""
        self.disconnected += 1

    def record_dispatch(self) -> None:
        """Count an attempt whose last byte was written."""
        self.dispatches += 1

    def snapshot(self, in_progress: int, endpoint_count: int, disabled_count: int) -> dict[str, Any]:
        """Return the body of the response to ``GET /control/counters``.  The arguments are the current numbers."""
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

    def request_counts(self, in_progress: int) -> dict[str, int]:
        """Return the number of requests in progress and of finished requests by result, by the status socket's keys."""
        return {
            "in_progress": in_progress,
            "served": sum(self.success),
            "busy": sum(self.overload) - self.shed,
            "failed": sum(self.error),
            "left": self.disconnected,
            "own_overload": self.shed,
        }
