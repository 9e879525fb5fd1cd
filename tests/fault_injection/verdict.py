"""The verdict on a run: the rules, their violations, and the requests that could not be checked."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class Rule(Enum):
    """A rule for each request; the value describes a violation of it."""

    NO_ANSWER = "no complete answer"
    LATE_ANSWER = "the answer arrived after the deadline and the slack"
    SECOND_ANSWER = "bytes of another answer on the connection"
    WRONG_ANSWER = "a complete answer that no endpoint made for this request, and no rejection or failure"
    FORWARDED_AFTER_END = "an attempt started after the answer, the deadline, or 0.1 s after the client disconnected"
    BYTES_AFTER_END = "bytes of an attempt after the answer, the deadline, or 0.1 s after the client disconnected"
    TIME_LEFT_TOO_LARGE = "X-Time-Left at an endpoint exceeded the time that the client had left"
    PROCESS_FAILED = "a sidecar ended by itself or took more memory than its limit"
    STREAM_CLOSED_EARLY = "the sidecar closed the connection of an endpoint that was still writing its response"
    AT_MOST_ONCE_TWICE = "two attempts of a non-idempotent request may have run"


class UncheckedReason(Enum):
    """Why a request, or only its times, could not be checked."""

    SIDECAR_KILLED = "its sidecar was killed"
    AFTER_MALFORMED_REQUEST = "sent after a malformed request on the same connection"
    CROSSED_CLOSE = "sent right before the close of a reused connection"
    PENDING_AT_CLOSE = "sent well before the close of a reused connection; it is unknown whether the sidecar read it"
    TRUNCATED_BY_ENDPOINT = "its endpoint truncated a streamed response"
    NEVER_COMPLETE = "never written completely"
    SCHEDULING_LAG = "the checking process ran late, so its times are not checked"


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule."""

    rule: Rule
    request_id: str
    detail: str


@dataclass(slots=True)
class Verdict:
    """The violations in a run, and the number of requests by result."""

    violations: list[Violation] = field(default_factory=list)
    complete_requests: int = 0
    """The requests that were written completely, including those that could not be checked."""
    served: int = 0
    rejected_or_failed: int = 0
    disconnected: int = 0
    unchecked: Counter[UncheckedReason] = field(default_factory=Counter)
    pending_at_close: list[str] = field(default_factory=list)
    """The ids of the requests counted as ``UncheckedReason.PENDING_AT_CLOSE``, for their timelines."""

    def counts(self) -> dict[Rule, int]:
        """Return the number of violations of each rule."""
        by_rule = Counter(violation.rule for violation in self.violations)
        return {rule: by_rule[rule] for rule in Rule}
