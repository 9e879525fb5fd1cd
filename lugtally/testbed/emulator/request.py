"""A request at an emulated server, and the interface of the connection that takes its response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lugtally.testbed.emulator.server_model import Job
from lugtally.testbed.verification.records import ServerAttempt

PING_PATH, LOAD_REPORT_PATH = "/ping", "/_load"


class ResponseWriter(Protocol):
    """The attributes and methods of a request's connection that are needed to process the request."""

    sidecar: int
    has_table_entry: bool  # in the connection table of the server

    def respond(self, status: int, body: bytes, *, unprocessed: bool = False, write_duration_s: float = 0.0) -> None:
        """Write a complete response."""

    def respond_malformed(self, data: bytes) -> None:
        """Write bytes that are not a valid response."""

    def reset(self) -> None:
        """Reset the connection."""


@dataclass(slots=True, eq=False)
class EmulatedRequest:
    """A completely received request, and its record."""

    connection: ResponseWriter
    attempt: ServerAttempt
    method: str
    path: str
    class_name: str
    time_left_s: float
    is_valid: bool  # has a known class, the method of the class and, if the class requires it, an idempotency key
    job: Job | None = None  # from admission by the model until the request ends there
    resets_instead_of_response: bool = False  # a fault resets the connection instead of the response
    is_recorded: bool = False

    @property
    def is_health_check(self) -> bool:
        """Whether the request asks for the health or load of the server, not for work."""
        return self.path in (PING_PATH, LOAD_REPORT_PATH)
