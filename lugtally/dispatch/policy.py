"""The interface that the dispatcher requires of a balancing policy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lugtally import balancing


class BalancingPolicy(Protocol):
    """Chooses endpoints: :class:`~lugtally.balancing.Balancer`, or a baseline that the testbed compares with it.

    A policy may define two more methods.  ``may_start(now_ns, request_id, attempt)`` returns whether bytes of an
    attempt may be written.  ``ejected_count(now_ns)`` returns how many endpoints are currently ejected.
    """

    def handle(self, now_ns: int, event: balancing.Event, /) -> list[balancing.Action]:
        """Return the actions to perform after an event that occurred at ``now_ns``."""


BalancingPolicyFactory = Callable[[balancing.Settings, int], BalancingPolicy]
"""Creates a policy from the settings and a seed for its random numbers."""
