"""The interface of a balancing policy, as the dispatcher requires it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lugtally import balancing


class BalancingPolicy(Protocol):
    """The shipped :class:`~lugtally.balancing.Balancer`, or a baseline that the testbed compares with it.

    A policy may define two further methods.  ``may_start(now_ns, request_id, attempt)`` returns whether bytes of an
    attempt may be written.  ``ejected_count(now_ns)`` returns the number of endpoints that are currently ejected.
    """

    def handle(self, now_ns: int, event: balancing.Event, /) -> list[balancing.Action]:
        """Return the actions on an event that occurred at ``now_ns``."""


BalancingPolicyFactory = Callable[[balancing.Settings, int], BalancingPolicy]
"""Builds a policy from the settings and a seed."""
