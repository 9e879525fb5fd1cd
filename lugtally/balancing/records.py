"""What a balancer remembers: plain records of endpoints, attempts, requests, and of each concern.

Instants and durations are integer nanoseconds on the clock of the events.  The modules of the concerns hold
the functions that decide; each writes its own record and reads the others'.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from lugtally.balancing.actions import Action
from lugtally.balancing.events import AttemptResult, Endpoint, Request
from lugtally.balancing.settings import DeduplicationScope, Settings
from lugtally.balancing.structures import DeadlineQueue, SlidingCounter
from lugtally.units import NS_PER_S


class EndpointStats:
    """What this balancer knows of one endpoint, nearly all of it from its own requests."""

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
        """:meth:`reset` and :meth:`update` follow, before anything else."""
        self.id = endpoint_id
        self.rank = rank
        """Position in the random order from which the subset is drawn."""
        self.in_flight: dict[tuple[str, int], int] = {}
        """Own attempts in flight and when each was sent, oldest first."""
        self.lost_responses = 0
        """How many of these are overdue while later ones are answered soon."""

    @property
    def active(self) -> int:
        """Own attempts in flight that the endpoint seems to work on."""
        return len(self.in_flight) - self.lost_responses

    def update(self, entry: Endpoint) -> None:
        """Take over what the endpoint list says."""
        self.zone, self.cell, self.state = entry.zone, entry.cell, entry.state
        self.started_ns = entry.started_ns

    def reset(self, now: int, concurrency_limit: float, tokens: float) -> None:
        """Forget what was learnt of the process before: a new one has started.

        ``concurrency_limit`` is the first limit on own requests in flight there; ``tokens`` is the first
        content of its slow-start bucket.
        """
        self.last_response_ns = now
        self.load_estimate = 0.0
        """Requests that seem to wait there, as of ``load_estimated_ns``."""
        self.load_estimated_ns = 0
        self.reported_load = 0.0
        """Requests that it holds, from all balancers, by its last report."""
        self.last_used_ns = 0
        """When a connection to it last carried a response."""
        self.concurrency_limit = concurrency_limit
        self.limit_lowered_ns = 0
        self.slowness = 1.0
        """Own response times as a multiple of the class's baseline."""
        self.samples = 0
        self.consecutive_failures = 0
        self.ejected_until_ns = 0
        self.tokens = tokens
        """Sends that slow start still allows."""
        self.refilled_ns = now


class InFlightAttempt:
    """An attempt in flight."""

    __slots__ = (
        "endpoint",
        "class_index",
        "request_class",
        "sent_ns",
        "endpoint_started_ns",
        "was_only_one",
        "unused_ns",
        "is_overdue",
        "is_lost",
        "result",
        "took_ns",
        "load_report",
    )

    def __init__(self, endpoint: EndpointStats, request: RequestState, sent_ns: int, unused_ns: int) -> None:
        self.endpoint = endpoint
        self.class_index = request.class_index
        self.request_class = request.request_class
        self.sent_ns = sent_ns
        self.endpoint_started_ns = endpoint.started_ns
        self.was_only_one = not endpoint.in_flight
        """Nothing else of ours was in flight there."""
        self.unused_ns = unused_ns
        """How long its connection had not been used; 0: a fresh one."""
        self.is_overdue = False
        self.is_lost = False
        self.result = AttemptResult.CANCELLED
        """How it ended, or is taken to end while it is overdue; with ``took_ns`` valid from then on."""
        self.took_ns = 0
        self.load_report: tuple[float, ...] | None = None


class RequestState:
    """A request that is owed its final answer."""

    __slots__ = (
        "id",
        "class_index",
        "request_class",
        "tenant_index",
        "deadline_ns",
        "endpoint_ids",
        "in_flight",
        "first_sent_ns",
        "first_domain",
        "may_have_run",
        "retries",
        "awaiting_retry",
        "streaming",
    )

    def __init__(self, event: Request, settings: Settings, now: int) -> None:
        self.id, self.class_index, self.tenant_index = event.id, event.class_index, event.tenant_index
        self.request_class = settings.request_class(event.class_index)
        self.deadline_ns = now + event.time_left_ns
        self.endpoint_ids: list[int] = []
        """Where each attempt went, by its number."""
        self.in_flight: set[int] = set()
        self.first_sent_ns = 0
        self.first_domain = -1
        """The deduplication domain of the first attempt that may have run."""
        self.may_have_run: dict[int, int] = {}
        """Attempts that are not proven not to have run, and when each was sent."""
        self.retries = 0
        self.awaiting_retry = False
        self.streaming = False

    @property
    def deduplication_ends_ns(self) -> int:
        """Until when endpoints recognise a repeat by its key."""
        return self.first_sent_ns + self.request_class.deduplication_window_ns

    def deduplication_domain(self, endpoint: EndpointStats) -> int:
        """Return the number of the domain that drops duplicates of this request at an endpoint."""
        scope = self.request_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return 0
        return endpoint.zone if scope is DeduplicationScope.ZONE else endpoint.cell


class RetryBudgetState:
    """First attempts and further ones in a sliding window of as many seconds."""

    __slots__ = ("requests", "retries", "_current_until_ns")

    def __init__(self, window_s: int) -> None:
        self.requests = SlidingCounter(window_s, NS_PER_S)
        self.retries = SlidingCounter(window_s, NS_PER_S)
        self._current_until_ns = 0

    def advance(self, now: int) -> None:
        """Move the window on; each event calls this, and few find another second."""
        if now >= self._current_until_ns:
            self.requests.advance(now)
            self.retries.advance(now)
            second = now // NS_PER_S
            # In second 0 the counters start anew at each call: 0 is also their mark for no time yet.
            self._current_until_ns = (second + 1) * NS_PER_S if second else 0


@dataclass(slots=True)
class LatencyState:
    """Latency baselines by class, what follows from them, and the load seen at endpoints."""

    congested_at: float
    """Response times, against the baseline, at which an endpoint has too much in flight."""
    prompt_below: float
    """Response times, against the baseline, up to which a missing response is no queue."""
    headroom: float
    """Baselines in the tightest latency objective."""
    report_column: int
    """The field of the load reports that is used; -1: none."""
    baseline_ns: dict[int, float] = field(default_factory=dict)
    recent_ns: dict[int, float] = field(default_factory=dict)
    """Good responses of endpoints with nothing else of ours in flight, smoothed."""
    samples: dict[int, int] = field(default_factory=dict)
    mean_load: float = 0.0
    """Requests that seem to wait at an endpoint, over all of them, smoothed."""
    reports_seen: bool = False


@dataclass(slots=True)
class PriorityState:
    """Priorities by class and tenant, relative to the best, and the demand that they are weighed by."""

    relative: dict[tuple[int, int], float] = field(default_factory=dict)
    lowest: float = 1.0
    """The smallest of the relative priorities within quotas."""
    demand: dict[tuple[int, int], float] = field(default_factory=dict)
    """First attempts by class and tenant, fading."""


@dataclass(slots=True)
class AdmissionState:
    """The logarithm of the probability that a request is admitted; above 0 all are."""

    log_probability: float
    last_outcome_ns: int = 0


@dataclass(slots=True)
class ConcurrencyState:
    """The limit on own requests in flight, and what it is drawn up from."""

    limit: float
    fleet_limit: float
    """Requests that all balancers together should let an endpoint hold."""
    work_done: float = 0.0
    """Baselines of the responses since the last update."""
    throughput: float = 0.0
    """The same a nanosecond, smoothed: in flight if none queue (Little's law)."""
    updates: int = 0
    own_load: float = 0.0
    """Own requests in flight, times how long, fading."""
    fleet_load: float = 0.0
    """Requests held at an endpoint, times how long, fading."""
    objective_share: float = 0.0
    """The part of their latency objectives that responses take, smoothed."""
    min_objective_share: float = 0.0


@dataclass(slots=True)
class StaleConnectionState:
    """How long connections may be unused before they are suspected dead."""

    safe_unused_ns: int = 0
    """Connections unused for longer are closed before use; 0: never."""
    silent_attempts: int = 0
    """Attempts on unused connections without a response, in a row."""


@dataclass(slots=True)
class SubsetState:
    """The endpoints that this balancer sends to, and their weights in the draw."""

    cross_zone_weight: float
    members: list[EndpointStats] = field(default_factory=list)
    warm_members: int = 1
    """Members that count as warm."""
    is_outdated: bool = False
    """Members and weights are to be drawn up anew before the next pick."""
    mean_in_flight: float = 0.0
    """Own requests in flight, smoothed."""
    candidates: list[EndpointStats] = field(default_factory=list)
    """Members that are not ejected; all where that leaves none."""
    weights: list[float] = field(default_factory=list)
    """Cumulative weights of the candidates."""
    zone_aware_weights: list[float] = field(default_factory=list)
    """The same with the preference for the own zone."""


@dataclass(slots=True)
class BalancerState:
    """Everything that one balancer remembers."""

    settings: Settings
    rng: Random
    """The one stream of random numbers: the order of its draws is part of the behaviour."""
    budget: RetryBudgetState
    latency: LatencyState
    admission: AdmissionState
    concurrency: ConcurrencyState
    subset: SubsetState
    priority: PriorityState = field(default_factory=PriorityState)
    stale: StaleConnectionState = field(default_factory=StaleConnectionState)
    endpoints: dict[int, EndpointStats] = field(default_factory=dict)
    usable: list[EndpointStats] = field(default_factory=list)
    """Endpoints that may be sent to, in their random order."""
    poll_failures: int = 0
    actions: list[Action] = field(default_factory=list)
    """What the event at hand has led to so far."""
    requests: dict[str, RequestState] = field(default_factory=dict)
    attempts: dict[tuple[str, int], InFlightAttempt] = field(default_factory=dict)
    """All attempts in flight, by request and number."""
    lost_responses: int = 0
    """How many of these wait for a response that is taken for lost."""
    overdue: DeadlineQueue = field(default_factory=DeadlineQueue)
    overdue_timer_ns: int = 0
    """When the timer for these fires; 0: none is set."""

    @property
    def active(self) -> int:
        """Attempts in flight that endpoints seem to work on."""
        return len(self.attempts) - self.lost_responses

    def start_attempt(
        self, now: int, request: RequestState, endpoint: EndpointStats, unused_ns: int
    ) -> tuple[str, int]:
        """Record that an attempt goes out; return its key in ``attempts``."""
        number = len(request.endpoint_ids)
        request.endpoint_ids.append(endpoint.id)
        request.in_flight.add(number)
        if not request.may_have_run:
            request.first_sent_ns, request.first_domain = now, request.deduplication_domain(endpoint)
        request.may_have_run[number] = now
        key = request.id, number
        self.attempts[key] = InFlightAttempt(endpoint, request, now, unused_ns)
        endpoint.in_flight[key] = now
        return key

    def mark_lost(self, attempt: InFlightAttempt) -> None:
        """Record that an attempt's response is taken for lost."""
        attempt.is_lost = True
        attempt.endpoint.lost_responses += 1
        self.lost_responses += 1

    def finish_attempt(
        self,
        key: tuple[str, int],
        result: AttemptResult,
        took_ns: int,
        load_report: tuple[float, ...] | None = None,
    ) -> InFlightAttempt | None:
        """Record that an attempt is no longer in flight at its endpoint; return it if it was."""
        attempt = self.attempts.pop(key, None)
        if attempt is not None:
            attempt.result, attempt.took_ns, attempt.load_report = result, took_ns, load_report
            attempt.endpoint.in_flight.pop(key, None)
            attempt.endpoint.lost_responses -= attempt.is_lost
            self.lost_responses -= attempt.is_lost
        return attempt
