"""Fixtures of the tests of client connections."""

from __future__ import annotations

from tests.dispatch.scripted_balancer import balancer
from tests.fakes import sidecar
from tests.flooding import frozen_objects

__all__ = ["balancer", "frozen_objects", "sidecar"]
