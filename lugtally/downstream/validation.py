"""Validates a request before it is submitted to the balancer."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from lugtally.balancing import Idempotency, RequestClass, Tenant
from lugtally.dispatch import UNKNOWN_TENANT
from lugtally.downstream.request_queue import ReceivedRequest
from lugtally.http1 import METHODS, Message, ProtocolError
from lugtally.units import NS_PER_S

MAX_TIME_LEFT_S = 3600.0
"""Largest value of ``X-Time-Left`` that is accepted."""


class ValidatedRequest(NamedTuple):
    """A valid request and the values that its headers declare."""

    message: Message
    arrived_after_ns: int
    """Lower bound of the time at which its last byte arrived; its time left counts from here."""
    time_left_ns: int
    class_index: int
    tenant_index: int
    correlation_id: str
    must_not_run_twice: bool
    """Whether an endpoint must not process another request with the same correlation ID."""


class _IndexedClass(NamedTuple):
    class_index: int
    settings: RequestClass


class RequestValidator:
    """Validates requests against the settings and the requests in progress."""

    def __init__(
        self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...], ids_in_progress: Collection[str]
    ) -> None:
        """``ids_in_progress`` are the correlation IDs of the requests in progress; the caller keeps them up to date."""
        self._classes = {settings.name: _IndexedClass(index, settings) for index, settings in enumerate(classes)}
        self._tenant_indexes = {tenant.name: index for index, tenant in enumerate(tenants)}
        self._ids_in_progress = ids_in_progress

    def validate(self, request: ReceivedRequest) -> ValidatedRequest:
        """Return the request with its class, tenant and time left.

        Raises:
            ProtocolError: the request is invalid; the error carries the status of the response.
        """
        message = request.message
        if message.method not in METHODS:
            raise ProtocolError(405, "the method is not allowed")
        correlation_id = self._correlation_id(message)
        request_class = self._find_class(message)
        settings = request_class.settings
        if settings.idempotency is Idempotency.IDEMPOTENCY_KEY and not message.header_map.get("idempotency-key"):
            raise ProtocolError(400, "Idempotency-Key is missing")  # without it endpoints could not drop duplicates
        return ValidatedRequest(
            message,
            request.arrived_after_ns,
            _time_left_ns(message, settings.deadline_ns),
            request_class.class_index,
            self._tenant_indexes.get(message.header_map.get("x-account", ""), UNKNOWN_TENANT),
            correlation_id,
            settings.idempotency is not Idempotency.IDEMPOTENT,
        )

    def time_left_ns(self, message: Message) -> int | None:
        """Return the time left of a request; ``None`` if the request is invalid."""
        try:
            return _time_left_ns(message, self._find_class(message).settings.deadline_ns)
        except ProtocolError:
            return None

    def class_index(self, message: Message) -> int | None:
        """Return the index of a request's class; ``None`` if the class is unknown."""
        try:
            return self._find_class(message).class_index
        except ProtocolError:
            return None

    def _correlation_id(self, message: Message) -> str:
        correlation_id = message.header_map.get("x-correlation-id")
        if not correlation_id:
            raise ProtocolError(400, "X-Correlation-Id is missing")
        if correlation_id in self._ids_in_progress:
            # Endpoints identify requests by this ID and would confuse the two requests.
            raise ProtocolError(409, "X-Correlation-Id is that of a request in progress")
        return correlation_id

    def _find_class(self, message: Message) -> _IndexedClass:
        """Return the class named by the header, or by the first segment of the path if the header is missing."""
        path = message.target.partition("?")[0]
        name = message.header_map.get("x-service-class") or path.lstrip("/").partition("/")[0]
        if name not in self._classes:
            raise ProtocolError(400, "the class is unknown")
        return self._classes[name]


def _time_left_ns(message: Message, default_ns: int) -> int:
    """Return the value of ``X-Time-Left``, or the default if the header is missing."""
    text = message.header_map.get("x-time-left")
    try:
        time_left_ns = default_ns if text is None else int(float(text) * NS_PER_S)
        if not 0 <= time_left_ns <= MAX_TIME_LEFT_S * NS_PER_S:
            raise ValueError
    except (ValueError, OverflowError):
        raise ProtocolError(400, "X-Time-Left is no number of seconds") from None
    return time_left_ns
