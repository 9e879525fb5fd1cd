"""A wrapper that catches and logs the exceptions of a balancing policy, and reports the failure to its caller."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from lugtally import balancing
from lugtally.dispatch.policy import BalancingPolicy


class GuardedPolicy:
    """Calls a balancing policy and catches its exceptions, so that they do not end the calling task.

    Attributes:
        has_failed: Whether the policy has ever raised an exception.  If so, actions may have been lost, and the policy
            may wait for attempts that were never started.
    """

    __slots__ = ("_ejected_count", "_may_start", "_policy", "has_failed")

    def __init__(self, policy: BalancingPolicy) -> None:
        self._policy = policy
        self._may_start: Callable[[int, str, int], bool] | None = getattr(policy, "may_start", None)
        self._ejected_count: Callable[[int], int] | None = getattr(policy, "ejected_count", None)
        self.has_failed = False

    def handle(self, now_ns: int, event: balancing.Event) -> list[balancing.Action] | None:
        """Return the actions that the policy takes on an event; ``None`` if the policy failed."""
        try:
            return self._policy.handle(now_ns, event)
        except Exception:
            self.has_failed = True
            _log_failure(type(event).__name__)
            return None

    def may_start(self, now_ns: int, request_id: str, number: int) -> bool:
        """Return whether bytes of an attempt may be written; false if the policy failed."""
        if self._may_start is None:
            return True
        try:
            return self._may_start(now_ns, request_id, number)
        except Exception:
            self.has_failed = True
            _log_failure("may_start")
            return False

    def ejected_count(self, now_ns: int) -> int:
        """Return how many endpoints are currently ejected; 0 if the policy does not count them."""
        return 0 if self._ejected_count is None else self._ejected_count(now_ns)


def _log_failure(event_type: str) -> None:
    """Log the exception that is being handled."""
    logger.exception("the balancer failed on {event_type}", event="balancing.failed", event_type=event_type)
