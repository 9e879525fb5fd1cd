"""Checks of a request before anything is done for it."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from lugtally.balancing import Idempotency, RequestClass
from lugtally.http1 import METHODS, Message, ProtocolError
from lugtally.units import NS_PER_S

MAX_TIME_LEFT_S = 3600.0


class ValidatedRequest(NamedTuple):
    """What a sound request says of itself."""

    class_index: int
    time_left_ns: int


class _IndexedClass(NamedTuple):
    class_index: int
    settings: RequestClass


class RequestValidator:
    """Checks requests against the classes of the settings and the requests in progress."""

    def __init__(self, classes: tuple[RequestClass, ...], ids_in_progress: Collection[str]) -> None:
        """``ids_in_progress`` is the caller's own, and holds the correlation IDs at any time."""
        self._classes = {settings.name: _IndexedClass(index, settings) for index, settings in enumerate(classes)}
        self._ids_in_progress = ids_in_progress

    def validate(self, message: Message) -> ValidatedRequest:
        """Return the class and the time left of a request.

        Raises:
            ProtocolError: what is wrong with the request, with the status of its response.
        """
        if message.method not in METHODS:
            raise ProtocolError(405, "the method is not allowed")
        self._check_correlation_id(message.header_map.get("x-correlation-id"))
        request_class = self._find_class(message)
        settings = request_class.settings
        if settings.idempotency is Idempotency.IDEMPOTENCY_KEY and not message.header_map.get("idempotency-key"):
            raise ProtocolError(400, "Idempotency-Key is missing")  # without it, no duplicate would be dropped
        return ValidatedRequest(request_class.class_index, _time_left_ns(message, settings.deadline_ns))

    def time_left_ns(self, message: Message) -> int | None:
        """Return the time left of a request; ``None`` where that is at fault."""
        try:
            return _time_left_ns(message, self._find_class(message).settings.deadline_ns)
        except ProtocolError:
            return None

    def _check_correlation_id(self, correlation_id: str | None) -> None:
        if not correlation_id:
            raise ProtocolError(400, "X-Correlation-Id is missing")
        if correlation_id in self._ids_in_progress:
            # Endpoints tell requests apart by their IDs: this one would disturb the first.
            raise ProtocolError(409, "X-Correlation-Id is that of a request in progress")

    def _find_class(self, message: Message) -> _IndexedClass:
        """Return the class that the header names, or else the first segment of the path."""
        path = message.target.partition("?")[0]
        name = message.header_map.get("x-service-class") or path.lstrip("/").partition("/")[0]
        if name not in self._classes:
            raise ProtocolError(400, "the class is unknown")
        return self._classes[name]


def _time_left_ns(message: Message, default_ns: int) -> int:
    text = message.header_map.get("x-time-left")
    try:
        time_left_ns = default_ns if text is None else int(float(text) * NS_PER_S)
        if not 0 <= time_left_ns <= MAX_TIME_LEFT_S * NS_PER_S:
            raise ValueError
    except (ValueError, OverflowError):
        raise ProtocolError(400, "X-Time-Left is no number of seconds") from None
    return time_left_ns
