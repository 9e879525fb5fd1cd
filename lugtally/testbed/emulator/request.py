"""One request at an emulated server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lugtally.testbed.emulator.server_model import Job
from lugtally.testbed.verification.records import ServerAttempt

if TYPE_CHECKING:
    from lugtally.testbed.emulator.server_connection import ServerConnection

PING_PATH, LOAD_REPORT_PATH = "/ping", "/_load"


@dataclass(slots=True, eq=False)
class EmulatedRequest:
    """A request that arrived completely, and its record."""

    connection: ServerConnection
    attempt: ServerAttempt
    method: str
    path: str
    class_name: str
    time_left_s: float
    is_valid: bool  # of a known class, by its method, with a key where one is required
    job: Job | None = None  # while the model works on it
    resets_at_end: bool = False  # a fault resets the connection in place of the response
    is_recorded: bool = False

    @property
    def is_health_check(self) -> bool:
        """Whether it asks for the server's health or load, not for work."""
        return self.path in (PING_PATH, LOAD_REPORT_PATH)
