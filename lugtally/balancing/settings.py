"""The configuration of a balancer: request classes, tenants and limits.  Times are integer nanoseconds.

Each default is the safest value for a setting that is missing.  Classes, tenants and zones are referred to
by their positions.  The external keys of these fields are in :mod:`lugtally.config.balancing_settings`.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from math import inf

from lugtally.units import NS_PER_MS, NS_PER_S


class Idempotency(Enum):
    """Whether a request may be retried after an endpoint may have processed one of its attempts."""

    IDEMPOTENT = "idempotent"
    """It may always be retried, or rejected so that the client retries it."""
    IDEMPOTENCY_KEY = "idempotency_key"
    """It may be retried only where, and only as long as, endpoints deduplicate it by its key."""
    NON_IDEMPOTENT = "non_idempotent"
    """It may be retried or rejected only if it is certain that no attempt was processed."""


class DeduplicationScope(Enum):
    """Which endpoints share their record of idempotency keys, and therefore drop each other's duplicates."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _validate_numbers(record: object, *, positive: tuple[str, ...] = ()) -> None:
    """Validate the numeric fields of a dataclass instance; those named in ``positive`` must not be 0.

    Raises:
        ValueError: a field is not a number, negative or not finite; the text names the first such field.
    """
    for field in fields(record):  # type: ignore[arg-type]
        value = getattr(record, field.name)
        is_numeric_field = isinstance(field.default, (int, float)) and not isinstance(field.default, bool)
        if is_numeric_field and not isinstance(value, (int, float)):
            raise ValueError(f"{field.name}: {value!r} is not a number")
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        if not value >= 0 or value == inf:
            raise ValueError(f"{field.name}: must be a finite, non-negative number, not {value!r}")
        if field.name in positive and value == 0:
            raise ValueError(f"{field.name}: must be above 0")


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    The defaults suit a request about which nothing is known: it is never retried once it may have run.

    Raises:
        ValueError: a field is not a number or out of its range; the text names the field.
    """

    name: str = ""
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    deduplication_window_ns: int = 0
    """How long after the first attempt endpoints recognise a retry by its key."""
    latency_objective_ns: int = NS_PER_S
    deadline_ns: int = 5 * NS_PER_S
    priority_weight: float = 1.0
    """Value of a response within the latency objective, relative to other classes."""
    late_priority_weight: float = 0.0
    """Fraction of that value that a response after the objective, but before the deadline, still has."""
    stream: bool = False

    def __post_init__(self) -> None:
        if not isinstance(self.idempotency, Idempotency):
            raise ValueError(f"idempotency: {self.idempotency!r} is unknown")
        if not isinstance(self.deduplication_scope, DeduplicationScope):
            raise ValueError(f"deduplication_scope: {self.deduplication_scope!r} is unknown")
        _validate_numbers(self, positive=("latency_objective_ns", "deadline_ns"))


UNKNOWN_CLASS = RequestClass()
"""The class of requests whose class index is not configured."""


@dataclass(slots=True)
class Tenant:
    """A tenant, with a quota in requests per second over all balancers together."""

    name: str = ""
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _validate_numbers(self)


@dataclass(slots=True)
class Settings:
    """The configuration of one balancer.

    Raises:
        ValueError: a field is not a number or out of its range; the text names the field.
    """

    classes: tuple[RequestClass, ...] = ()
    zone: int = 0
    """The zone that the balancer runs in."""
    fleet_size: int = 1
    """Number of balancers that send to the same endpoints."""
    max_attempts: int = 1
    hedging_allowed: bool = False
    """Whether a request may have two attempts in flight at the same time."""
    cancellation_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_ns: int = 0
    subscribe_to_endpoints: bool = False
    """Whether the balancer must watch the endpoint list to be sent updates of it."""
    removal_is_binding: bool = True
    """Whether an endpoint that is missing from a full list must not get any more requests."""
    max_poll_interval_ns: int = 0
    """Longest time between two polls of the endpoint list; 0: not configured."""
    initial_capacity: float = 0.1
    """Fraction of its full capacity that an endpoint has right after its start."""
    slow_start_window_ns: int = 30 * NS_PER_S
    """How long after its start an endpoint is warming up."""
    overload_multiple: float = 2.0
    """An endpoint that is warming up fails at this multiple of its capacity at that time."""
    cross_zone_cost: float = 0.0
    timer_resolution_ns: int = 5 * NS_PER_MS
    """How late a timer may fire, and how long after the decision an attempt may be sent."""
    load_report_fields: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    """Fraction of its priority weight that a request over its tenant's quota still has."""

    def __post_init__(self) -> None:
        _validate_numbers(
            self, positive=("fleet_size", "max_attempts", "overload_multiple", "timer_resolution_ns")
        )
        if self.initial_capacity > 1:
            raise ValueError(f"initial_capacity: {self.initial_capacity!r} is above 1")

    def request_class(self, index: int) -> RequestClass:
        """Return the class at a position, :data:`UNKNOWN_CLASS` where there is none."""
        return self.classes[index] if 0 <= index < len(self.classes) else UNKNOWN_CLASS
