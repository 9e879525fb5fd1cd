"""A request at an emulated server, and the connection as the request sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lugtally.testbed.emulator.server_model import Job
from lugtally.testbed.verification.records import ServerAttempt

PING_PATH, LOAD_REPORT_PATH = "/ping", "/_load"


class ResponseWriter(Protocol):
    """The connection on which a request arrived, as far as its response needs it."""

    sidecar: int
    has_table_entry: bool

    def respond(self, status: int, body: bytes, *, unprocessed: bool = False, write_duration_s: float = 0.0) -> None:
        """Write a complete response."""

    def respond_malformed(self, data: bytes) -> None:
        """Write bytes that are no valid response."""

    def reset(self) -> None:
        """Reset the connection."""


@dataclass(slots=True, eq=False)
class EmulatedRequest:
    """A request that arrived completely, and its record."""

    connection: ResponseWriter
    attempt: ServerAttempt
    method: str
    path: str
    class_name: str
    time_left_s: float
    is_valid: bool  # known class, the method of that class, and an idempotency key if the class requires one
    job: Job | None = None  # while the model works on it
    resets_instead_of_response: bool = False  # a fault resets the connection instead of the response
    is_recorded: bool = False

    @property
    def is_health_check(self) -> bool:
        """Whether it asks for the server's health or load, not for work."""
        return self.path in (PING_PATH, LOAD_REPORT_PATH)
