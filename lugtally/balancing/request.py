"""The state that a balancer keeps for a request until its final answer."""

from __future__ import annotations

from lugtally.balancing.attempt_id import AttemptId
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.events import Request
from lugtally.balancing.settings import DeduplicationScope, Idempotency, Settings

SHARED_DOMAIN = 0
"""The deduplication domain of a request whose key is shared by all endpoints."""


class RequestState:
    """A request that has no final answer yet, and its attempts."""

    __slots__ = (
        "id",
        "class_index",
        "request_class",
        "tenant_index",
        "deadline_ns",
        "endpoint_ids",
        "in_flight",
        "first_sent_ns",
        "first_deduplication_domain",
        "possibly_processed",
        "retries",
        "awaiting_retry",
        "streaming",
    )

    def __init__(self, event: Request, settings: Settings, now_ns: int) -> None:
        self.id = event.id
        self.class_index = event.class_index
        self.tenant_index = event.tenant_index
        self.request_class = settings.request_class(event.class_index)
        self.deadline_ns = now_ns + event.time_left_ns
        self.endpoint_ids: list[int] = []
        """Endpoint id of each attempt, indexed by the attempt's number."""
        self.in_flight: set[int] = set()
        """Numbers of the attempts in flight."""
        self.first_sent_ns = 0
        """Time at which the first attempt in ``possibly_processed`` was sent."""
        self.first_deduplication_domain = -1
        """Deduplication domain of the first attempt in ``possibly_processed``; -1: there was none yet."""
        self.possibly_processed: set[int] = set()
        """Numbers of the attempts that their endpoints may have processed."""
        self.retries = 0
        self.awaiting_retry = False
        self.streaming = False
        """Whether a response is being streamed to the client: no other attempt or answer may follow."""

    @property
    def has_idempotency_key(self) -> bool:
        """Whether endpoints deduplicate the request by an idempotency key."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY

    @property
    def is_safe_to_retry(self) -> bool:
        """Whether a retry is safe at any endpoint and any time."""
        return not self.possibly_processed or self.request_class.idempotency is Idempotency.IDEMPOTENT

    @property
    def deduplication_end_ns(self) -> int:
        """Time until which endpoints recognise a retry by its key."""
        return self.first_sent_ns + self.request_class.deduplication_window_ns

    def deduplication_domain(self, endpoint: EndpointStats) -> int:
        """Return the domain of an endpoint, within which duplicates of this request are dropped."""
        scope = self.request_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return SHARED_DOMAIN
        return endpoint.zone if scope is DeduplicationScope.ZONE else endpoint.cell

    def add_attempt(self, now_ns: int, endpoint: EndpointStats) -> AttemptId:
        """Record that the next attempt is sent at ``now_ns``; return its id."""
        number = len(self.endpoint_ids)
        self.endpoint_ids.append(endpoint.id)
        self.in_flight.add(number)
        if not self.possibly_processed:
            self.first_sent_ns = now_ns
            self.first_deduplication_domain = self.deduplication_domain(endpoint)
        self.possibly_processed.add(number)
        return AttemptId(self.id, number)
