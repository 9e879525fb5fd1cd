"""The balancer as the dispatcher calls it: a fault in it ends no task, and the dispatcher hears of it."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from lugtally import balancing
from lugtally.dispatch.policy import BalancingPolicy


class GuardedPolicy:
    """A balancing policy that may fail."""

    __slots__ = ("_ejected_count", "_may_start", "_policy", "has_failed")

    def __init__(self, policy: BalancingPolicy) -> None:
        self._policy = policy
        self._may_start: Callable[[int, str, int], bool] | None = getattr(policy, "may_start", None)
        self._ejected_count: Callable[[int], int] | None = getattr(policy, "ejected_count", None)
        self.has_failed = False
        """Whether it ever failed: actions may have been lost, and it may wait for attempts that never began."""

    def handle(self, now_ns: int, event: balancing.Event) -> list[balancing.Action] | None:
        """Return what to do about an event; ``None`` where the policy failed on it."""
        try:
            return self._policy.handle(now_ns, event)
        except Exception:
            self.has_failed = True
            event_type = type(event).__name__
            logger.exception("the balancer failed on {event_type}", event="balancing.failed", event_type=event_type)
            return None

    def may_start(self, now_ns: int, request_id: str, number: int) -> bool:
        """Return whether an attempt may still be written; where the policy cannot say, it may not."""
        if self._may_start is None:
            return True
        try:
            return self._may_start(now_ns, request_id, number)
        except Exception:
            self.has_failed = True
            logger.exception("the balancer failed on {event_type}", event="balancing.failed", event_type="may_start")
            return False

    def ejected_count(self, now_ns: int) -> int:
        """Return how many endpoints the policy leaves out for now."""
        return 0 if self._ejected_count is None else self._ejected_count(now_ns)
