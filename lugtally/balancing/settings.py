"""What a balancer is configured with: request classes, tenants and limits.  Times are integer nanoseconds.

Every default is the cautious reading of a missing setting.  Classes, tenants and zones are referred to
by their positions.  The wire's keys for these fields are in :mod:`lugtally.config.balancing_settings`.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from math import inf

from lugtally.units import NS_PER_MS, NS_PER_S


class Idempotency(Enum):
    """Whether a request may be repeated once one of its attempts may have run."""

    IDEMPOTENT = "idempotent"
    """It may be repeated and rejected at will."""
    IDEMPOTENCY_KEY = "idempotency_key"
    """It may be repeated only where, and only while, endpoints deduplicate it by its key."""
    NON_IDEMPOTENT = "non_idempotent"
    """It may be repeated or rejected only where it is certain that no attempt ran."""


class DeduplicationScope(Enum):
    """Which endpoints share the record of idempotency keys, and so drop each other's duplicates."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _validate_numbers(owner: object, *, positive: tuple[str, ...] = ()) -> None:
    """Raise a ``ValueError`` that names the first field that is no number, negative, or 0 if ``positive``."""
    for item in fields(owner):  # type: ignore[arg-type]
        value = getattr(owner, item.name)
        is_numeric_field = isinstance(item.default, (int, float)) and not isinstance(item.default, bool)
        if is_numeric_field and not isinstance(value, (int, float)):
            raise ValueError(f"{item.name}: {value!r} is no number")
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        if not value >= 0 or value == inf:
            raise ValueError(f"{item.name}: {value!r} is negative or not a number")
        if item.name in positive and value == 0:
            raise ValueError(f"{item.name}: must be above 0")


@dataclass(slots=True)
class RequestClass:
    """One class of requests.  The defaults suit a request about which nothing is known: it is never repeated.

    Raises:
        ValueError: a field is no number or out of its range; the text names the field.
    """

    name: str = ""
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    deduplication_window_ns: int = 0
    """How long after the first attempt endpoints still recognise a repeat by its key."""
    latency_objective_ns: int = NS_PER_S
    deadline_ns: int = 5 * NS_PER_S
    priority_weight: float = 1.0
    """What a response within the latency objective is worth, relative to other classes."""
    late_priority_weight: float = 0.0
    """The part of that weight that a response after the objective, but before the deadline, still has."""
    stream: bool = False

    def __post_init__(self) -> None:
        if not isinstance(self.idempotency, Idempotency):
            raise ValueError(f"idempotency: {self.idempotency!r} is unknown")
        if not isinstance(self.deduplication_scope, DeduplicationScope):
            raise ValueError(f"deduplication_scope: {self.deduplication_scope!r} is unknown")
        _validate_numbers(self, positive=("latency_objective_ns", "deadline_ns"))


UNKNOWN_CLASS = RequestClass()
"""The class of requests whose class is not configured."""


@dataclass(slots=True)
class Tenant:
    """An account with a quota in requests a second, over all balancers together."""

    name: str = ""
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _validate_numbers(self)


@dataclass(slots=True)
class Settings:
    """The configuration of one balancer.

    Raises:
        ValueError: a field is no number or out of its range; the text names the field.
    """

    classes: tuple[RequestClass, ...] = ()
    zone: int = 0
    """The balancer's own zone."""
    fleet_size: int = 1
    """How many balancers send to the same endpoints."""
    max_attempts: int = 1
    hedging_allowed: bool = False
    """Whether a request may have two attempts in flight at once."""
    cancellation_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_ns: int = 0
    subscribe_to_endpoints: bool = False
    """Whether discovery sends the endpoint list only to a balancer that watches it."""
    removal_is_binding: bool = True
    """Whether an endpoint that is missing from a full list must not be sent to."""
    max_poll_interval_ns: int = 0
    """The longest time between two calls for the endpoint list; 0: not given."""
    initial_capacity: float = 0.1
    """The part of its capacity that an endpoint has right after its start."""
    slow_start_window_ns: int = 30 * NS_PER_S
    """How long after its start an endpoint is warming up."""
    overload_multiple: float = 2.0
    """An endpoint that is warming up fails under this multiple of what it then bears."""
    cross_zone_cost: float = 0.0
    timer_resolution_ns: int = 5 * NS_PER_MS
    """How late a timer may fire, or an attempt leave after its decision."""
    load_report_fields: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    """The part of its priority weight that a request beyond its tenant's quota still has."""

    def __post_init__(self) -> None:
        _validate_numbers(
            self, positive=("fleet_size", "max_attempts", "overload_multiple", "timer_resolution_ns")
        )
        if self.initial_capacity > 1:
            raise ValueError(f"initial_capacity: {self.initial_capacity!r} is above 1")

    def request_class(self, index: int) -> RequestClass:
        """Return the class at a position, :data:`UNKNOWN_CLASS` where there is none."""
        return self.classes[index] if 0 <= index < len(self.classes) else UNKNOWN_CLASS
