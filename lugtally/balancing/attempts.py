"""The attempts of one balancer that are in flight."""

from __future__ import annotations

from lugtally.balancing.attempt_id import AttemptId
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.events import AttemptFinished, AttemptResult
from lugtally.balancing.request import RequestState


class InFlightAttempt:
    """One attempt in flight: what was recorded when it was sent, and later its result."""

    __slots__ = (
        "endpoint",
        "class_index",
        "request_class",
        "sent_ns",
        "endpoint_started_ns",
        "was_alone_at_endpoint",
        "idle_ns",
        "is_overdue",
        "is_lost",
        "result",
        "duration_ns",
        "load_report",
    )

    def __init__(self, endpoint: EndpointStats, request: RequestState, sent_ns: int, idle_ns: int) -> None:
        self.endpoint = endpoint
        self.class_index = request.class_index
        self.request_class = request.request_class
        self.sent_ns = sent_ns
        self.endpoint_started_ns = endpoint.started_ns
        self.was_alone_at_endpoint = not endpoint.in_flight
        """Whether this balancer had no other attempt in flight at the endpoint when this one was sent."""
        self.idle_ns = idle_ns
        """How long the endpoint's connections had been idle; 0: one was in use, or a new one is opened."""
        self.is_overdue = False
        self.is_lost = False
        """Whether its response is presumed lost."""
        self.result = AttemptResult.CANCELLED
        """Set together with ``duration_ns``: provisionally once it is overdue, finally when it finishes."""
        self.duration_ns = 0
        self.load_report: tuple[float, ...] | None = None


class InFlightAttempts:
    """The attempts in flight by id; also updates the attempts in flight of each endpoint."""

    def __init__(self) -> None:
        self.by_id: dict[AttemptId, InFlightAttempt] = {}
        self.lost_responses = 0
        """Number of attempts whose response is presumed lost."""

    def __len__(self) -> int:
        return len(self.by_id)

    @property
    def active(self) -> int:
        """Number of attempts in flight, without those whose response is presumed lost."""
        return len(self.by_id) - self.lost_responses

    def start(self, now_ns: int, request: RequestState, endpoint: EndpointStats, idle_ns: int) -> AttemptId:
        """Record that the next attempt of a request is sent; return its id."""
        attempt_id = request.add_attempt(now_ns, endpoint)
        self.by_id[attempt_id] = InFlightAttempt(endpoint, request, now_ns, idle_ns)
        endpoint.in_flight[attempt_id] = now_ns
        return attempt_id

    def mark_lost(self, attempt: InFlightAttempt) -> None:
        """Record that the response of an attempt is presumed lost."""
        attempt.is_lost = True
        attempt.endpoint.lost_responses += 1
        self.lost_responses += 1

    def finish(self, event: AttemptFinished) -> InFlightAttempt | None:
        """Record that an attempt has finished; return it, or ``None`` if it was not in flight."""
        attempt_id = AttemptId(event.request_id, event.attempt)
        return self._remove(attempt_id, event.result, event.duration_ns, event.load_report)

    def finish_on_stream_start(self, now_ns: int, attempt_id: AttemptId) -> InFlightAttempt | None:
        """Finish an attempt whose response begins to stream; return it, or ``None`` if it was not in flight.

        The endpoint has done its work: the rest is sent at the client's speed and adds no load to it.
        """
        attempt = self.by_id.get(attempt_id)
        if attempt is None:
            return None
        return self._remove(attempt_id, AttemptResult.OK, now_ns - attempt.sent_ns, None)

    def _remove(
        self,
        attempt_id: AttemptId,
        result: AttemptResult,
        duration_ns: int,
        load_report: tuple[float, ...] | None,
    ) -> InFlightAttempt | None:
        attempt = self.by_id.pop(attempt_id, None)
        if attempt is None:
            return None
        attempt.result = result
        attempt.duration_ns = duration_ns
        attempt.load_report = load_report
        attempt.endpoint.in_flight.pop(attempt_id, None)
        if attempt.is_lost:
            attempt.endpoint.lost_responses -= 1
            self.lost_responses -= 1
        return attempt
