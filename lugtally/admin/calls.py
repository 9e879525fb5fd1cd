"""The calls of the operators' address: from a method and a path to a typed call, and from there to a response.

Free of I/O.  One call a connection; 2xx says yes, 4xx and 5xx say no.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import ujson


class AdminOperation(Enum):
    """What a call wants; the value is the last segment of its path."""

    READY = "ready"
    COUNTERS = "counters"
    OFFLINE = "offline"
    ONLINE = "online"


_READ_PATHS = {"/control/ready": AdminOperation.READY, "/control/counters": AdminOperation.COUNTERS}
_SERVER_PATH = re.compile(r"/control/pledge-servers/([^/?#]{1,256})/(offline|online)")


@dataclass(frozen=True, slots=True)
class AdminCall:
    """One call that is understood; ``server`` is the server's id in the endpoint list, where the call names one."""

    operation: AdminOperation
    server: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """What a caller gets."""

    status: int
    body: bytes
    content_type: str = "text/plain"


class AdminBackend(Protocol):
    """What the calls read and change; the daemon implements it."""

    def is_ready(self) -> bool:
        """Return whether this process is ready to serve."""

    def counters(self) -> dict[str, object]:
        """Return the counters, by the keys of the page."""

    def start_drain(self, server: str) -> bool:
        """Drain the server until :meth:`end_drain`; false where it was never listed."""

    def end_drain(self, server: str) -> bool:
        """End the server's drain; false where it was never listed nor drained."""


def parse_call(method: str, target: str) -> AdminCall | AdminResponse:
    """Return the call, or the response to one that cannot be taken (404 unknown, 405 wrong method)."""
    path = target.partition("?")[0]
    if (operation := _READ_PATHS.get(path)) is not None:
        return AdminCall(operation) if method in ("GET", "HEAD") else _error(405, "GET is wanted")
    if (match := _SERVER_PATH.fullmatch(path)) is not None:
        server, name = match.groups()
        return AdminCall(AdminOperation(name), server) if method == "POST" else _error(405, "POST is wanted")
    return _error(404, "no such call")


def execute_call(call: AdminCall, backend: AdminBackend) -> AdminResponse:
    """Carry a call out and return how it went."""
    match call.operation:
        case AdminOperation.READY:
            return AdminResponse(200, b"ready\n") if backend.is_ready() else _error(503, "not ready")
        case AdminOperation.COUNTERS:
            return AdminResponse(200, ujson.dumps(backend.counters()).encode(), "application/json")
        case AdminOperation.OFFLINE:
            known = backend.start_drain(call.server)
        case AdminOperation.ONLINE:
            known = backend.end_drain(call.server)
    if not known:
        return _error(404, "that pledge server was never listed")
    return AdminResponse(200, f"{call.operation.value}\n".encode())


def _error(status: int, reason: str) -> AdminResponse:
    return AdminResponse(status, f"{reason}\n".encode())
