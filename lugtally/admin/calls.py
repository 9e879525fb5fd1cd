"""Admin calls: parses the method and path of a request to a typed call, and executes it.  Performs no I/O.

The status of the response is 2xx if the call succeeded, and 4xx or 5xx otherwise.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import ujson


class AdminOperation(Enum):
    """The operation of a call.  Each value is the last segment of the path."""

    READY = "ready"
    COUNTERS = "counters"
    OFFLINE = "offline"
    ONLINE = "online"


_READ_OPERATIONS = {"/control/ready": AdminOperation.READY, "/control/counters": AdminOperation.COUNTERS}
_DRAIN_PATH = re.compile(r"/control/pledge-servers/([^/?#]{1,256})/(offline|online)")


@dataclass(frozen=True, slots=True)
class AdminCall:
    """A parsed call."""

    operation: AdminOperation
    endpoint_name: str = ""
    """The ``id`` of an endpoint in the endpoint list; empty for an operation that has no endpoint."""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The HTTP response to a call."""

    status: int
    body: bytes
    content_type: str = "text/plain"


class AdminBackend(Protocol):
    """Executes the operations; implemented by the daemon."""

    def is_ready(self) -> bool:
        """Return whether this process accepts requests and is not shutting down."""

    def counters(self) -> dict[str, object]:
        """Return the JSON object of the counters, with its documented keys."""

    def start_drain(self, endpoint_name: str) -> bool:
        """Drain the endpoint until :meth:`end_drain`; return whether it was ever listed."""

    def end_drain(self, endpoint_name: str) -> bool:
        """End the drain of the endpoint; return whether it was ever listed or is drained."""


def parse_call(method: str, target: str) -> AdminCall | AdminResponse:
    """Return the call, or an error response: 404 for an unknown path, 405 for a wrong method."""
    path = target.partition("?")[0]
    if (operation := _READ_OPERATIONS.get(path)) is not None:
        return AdminCall(operation) if method in ("GET", "HEAD") else _error(405, "GET is wanted")
    if (match := _DRAIN_PATH.fullmatch(path)) is not None:
        endpoint_name, operation_name = match.groups()
        if method != "POST":
            return _error(405, "POST is wanted")
        return AdminCall(AdminOperation(operation_name), endpoint_name)
    return _error(404, "no such call")


def execute_call(call: AdminCall, backend: AdminBackend) -> AdminResponse:
    """Execute a call and return its response."""
    match call.operation:
        case AdminOperation.READY:
            return AdminResponse(200, b"ready\n") if backend.is_ready() else _error(503, "not ready")
        case AdminOperation.COUNTERS:
            return AdminResponse(200, ujson.dumps(backend.counters()).encode(), "application/json")
        case AdminOperation.OFFLINE:
            is_known = backend.start_drain(call.endpoint_name)
        case AdminOperation.ONLINE:
            is_known = backend.end_drain(call.endpoint_name)
    if not is_known:
        return _error(404, "that pledge server was never listed")
    return AdminResponse(200, f"{call.operation.value}\n".encode())


def _error(status: int, reason: str) -> AdminResponse:
    return AdminResponse(status, f"{reason}\n".encode())
