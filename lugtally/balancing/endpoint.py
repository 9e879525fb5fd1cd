"""What a balancer knows of one endpoint."""

from __future__ import annotations

from lugtally.balancing.attempt_id import AttemptId
from lugtally.balancing.events import Endpoint


class EndpointStats:
    """One endpoint: its entry in the endpoint list, and what this balancer learned from its own requests."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "state",
        "started_ns",
        "rank",
        "in_flight",
        "lost_responses",
        "last_response_ns",
        "last_used_ns",
        "load_estimate",
        "load_estimated_ns",
        "reported_load",
        "concurrency_limit",
        "limit_lowered_ns",
        "slowness",
        "samples",
        "consecutive_failures",
        "ejected_until_ns",
        "tokens",
        "refilled_ns",
    )

    def __init__(self, endpoint_id: int, rank: float) -> None:
        """Make a record that :meth:`reset` and :meth:`update` complete before it is used."""
        self.id = endpoint_id
        self.rank = rank
        """Position in the random order from which the subset is drawn, from 0 to 1."""
        self.in_flight: dict[AttemptId, int] = {}
        """Own attempts in flight and the instant at which each was sent, oldest first."""
        self.lost_responses = 0
        """Number of attempts in flight whose response is considered lost."""

    @property
    def active(self) -> int:
        """Number of own attempts in flight that the endpoint presumably works on."""
        return len(self.in_flight) - self.lost_responses

    def is_ejected(self, now_ns: int) -> bool:
        """Return whether outlier detection keeps requests from the endpoint at ``now_ns``."""
        return self.ejected_until_ns > now_ns

    def update(self, entry: Endpoint) -> None:
        """Apply an entry of the endpoint list."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.state = entry.state
        self.started_ns = entry.started_ns

    def reset(self, now_ns: int, concurrency_limit: float, tokens: float) -> None:
        """Discard what was learned of an earlier process of the endpoint.

        ``concurrency_limit`` is the first limit on own requests in flight there; ``tokens`` is the first
        content of its slow-start bucket.
        """
        self.last_response_ns = now_ns
        self.load_estimate = 0.0
        """Estimated number of requests that wait there, as of ``load_estimated_ns``."""
        self.load_estimated_ns = 0
        self.reported_load = 0.0
        """Requests from all balancers in flight there, according to its last load report."""
        self.last_used_ns = 0
        """Instant at which a connection to it last carried a response; 0: never."""
        self.concurrency_limit = concurrency_limit
        self.limit_lowered_ns = 0
        self.slowness = 1.0
        """Own response times as a multiple of the class's baseline, smoothed."""
        self.samples = 0
        """Number of responses that ``slowness`` is based on."""
        self.consecutive_failures = 0
        self.ejected_until_ns = 0
        self.tokens = tokens
        """Number of sends that slow start still allows."""
        self.refilled_ns = now_ns
