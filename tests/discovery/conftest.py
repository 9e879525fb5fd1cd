"""Fixtures of this folder."""

from __future__ import annotations

from tests.discovery.discovery_harness import short_timeouts
from tests.dispatch.scripted_balancer import balancer
from tests.fakes import sidecar

__all__ = ["balancer", "short_timeouts", "sidecar"]
