"""Violations of the rules of the platform's protocol, and the limits that these rules set."""

from __future__ import annotations

from enum import IntEnum, StrEnum

from msgspec import Struct

SOCKET_ALLOWANCE_S = 0.05  # added to every limit of the protocol when sockets are used
RESPONSE_SLACK_S = 0.1  # after the client's deadline; ``answer_slack_ns`` in the sidecar's settings
DRAIN_GRACE_S = 1.5  # after the notification; ``drain_grace_ns`` in the sidecar's settings


class Rule(IntEnum):
    """A rule of the platform's protocol, by its number there."""

    RESPONSES = 1
    EFFECTS = 2
    DRAINS = 3
    SLOW_START = 4


class ViolationName(StrEnum):
    """Name of a violation, as written to reports."""

    DROPPED = "dropped"
    LATE = "late"
    DUPLICATE_RESPONSE = "answered-twice"
    FOREIGN_RESPONSE = "foreign-answer"
    NON_IDEMPOTENT_REPEATED = "receipt-sent-again"
    REPEATED_AFTER_WINDOW = "pledge-repeated-late"
    REPEATED_OUT_OF_SCOPE = "pledge-repeated-elsewhere"
    REJECTED_AFTER_RUN = "refused-after-it-may-have-run"
    TWO_EFFECTS = "two-effects"
    SENT_TO_DRAINED = "sent-to-drained"
    COLD_SERVER_OVERLOADED = "cold-server-pushed-over"
    REQUEST_ALTERED = "request-altered"
    SIDECAR_CRASHED = "sidecar-crashed"


class Violation(Struct, rename={"subject": "what", "description": "text"}):
    """A violation of a rule."""

    name: ViolationName
    rule: Rule
    at: float  # seconds since the start of the scenario
    subject: str  # the request, server or sidecar concerned
    description: str  # what happened, and the limit
