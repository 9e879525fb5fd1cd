"""What the dispatcher needs of whatever takes the decisions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lugtally import balancing


class BalancingPolicy(Protocol):
    """The shipped :class:`~lugtally.balancing.Balancer`, or a baseline that the testbed compares it with.

    A policy may also have ``may_start(now_ns, request_id, attempt)``, which returns whether an attempt may still be
    written, and ``ejected_count(now_ns)``, the number of endpoints that it leaves out for now.
    """

    def handle(self, now: int, event: balancing.Event, /) -> list[balancing.Action]:
        """Return what to do about an event at ``now`` (nanoseconds)."""


BalancingPolicyFactory = Callable[[balancing.Settings, int], BalancingPolicy]
"""Builds a policy from its settings and seed."""
