"""The deadline of a request: set by its time left, the requests pipelined behind it and the graceful shutdown."""

from __future__ import annotations

from lugtally.downstream.request_queue import RequestQueue
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.downstream.validation import RequestValidator, ValidatedRequest
from lugtally.units import NS_PER_MS

PIPELINE_SLACK_NS = 300 * NS_PER_MS
"""How long after its own deadline a pipelined request may be answered, because earlier responses are sent first."""


class RequestDeadlines:
    """Computes deadlines; one instance serves all requests."""

    def __init__(self, validator: RequestValidator, shutdown_state: ShutdownState) -> None:
        self._validator = validator
        self._shutdown_state = shutdown_state

    def deadline_ns(self, request: ValidatedRequest, queue: RequestQueue) -> int:
        """Return when the response to a request is due.

        The time left counts from the arrival of the request's last byte.  The requests in ``queue`` were received
        after this one and are answered after it, so their deadlines limit the deadline of this one.
        """
        deadline_ns = request.arrived_after_ns + request.time_left_ns
        for queued in queue:
            if (time_left_ns := self._validator.time_left_ns(queued.message)) is not None:
                deadline_ns = min(deadline_ns, queued.arrived_after_ns + time_left_ns + PIPELINE_SLACK_NS)
        return min(deadline_ns, self._shutdown_state.last_response_ns) if self._shutdown_state.closing else deadline_ns
