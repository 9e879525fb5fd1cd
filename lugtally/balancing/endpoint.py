"""The state that a balancer keeps for one endpoint."""

from __future__ import annotations

from lugtally.balancing.attempt_id import AttemptId
from lugtally.balancing.events import Endpoint


class EndpointStats:
    """An endpoint's entry in the endpoint list, and the measurements of this balancer's requests to it."""

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
        """Create an incomplete record: :meth:`reset` and :meth:`update` must be called before it is used."""
        self.id = endpoint_id
        self.rank = rank
        """Random number from 0 to 1 that orders the endpoints; the subset is the first ones in this order."""
        self.in_flight: dict[AttemptId, int] = {}
        """This balancer's attempts in flight there and the time at which each was sent, oldest first."""
        self.lost_responses = 0
        """Number of attempts in flight whose response is presumed lost."""

    @property
    def active(self) -> int:
        """Number of this balancer's attempts in flight, without those whose response is presumed lost."""
        return len(self.in_flight) - self.lost_responses

    def is_ejected(self, now_ns: int) -> bool:
        """Return whether outlier detection has ejected the endpoint, and the ejection lasts at ``now_ns``."""
        return self.ejected_until_ns > now_ns

    def update(self, entry: Endpoint) -> None:
        """Apply an entry of the endpoint list."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.state = entry.state
        self.started_ns = entry.started_ns

    def reset(self, now_ns: int, concurrency_limit: float, tokens: float) -> None:
        """Discard the measurements from before the restart of the endpoint's process.

        ``concurrency_limit`` is the initial limit on this balancer's requests in flight there; ``tokens`` is
        the initial content of its slow-start token bucket.
        """
        self.last_response_ns = now_ns
        self.load_estimate = 0.0
        """Estimated number of requests that were queued there at ``load_estimated_ns``."""
        self.load_estimated_ns = 0
        self.reported_load = 0.0
        """Requests of all balancers in flight there, according to its last load report."""
        self.last_used_ns = 0
        """Time at which a connection to it last carried a response; 0: never."""
        self.concurrency_limit = concurrency_limit
        self.limit_lowered_ns = 0
        self.slowness = 1.0
        """Response time of this balancer's requests as a multiple of their class's baseline, smoothed."""
        self.samples = 0
        """Number of responses that ``slowness`` is based on."""
        self.consecutive_failures = 0
        self.ejected_until_ns = 0
        self.tokens = tokens
        """Number of attempts that slow start allows at ``refilled_ns``."""
        self.refilled_ns = now_ns
