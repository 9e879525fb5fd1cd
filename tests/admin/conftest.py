"""Fixtures of the tests of the admin address."""

from __future__ import annotations

from tests.fakes import sidecar
from tests.flooding import frozen_objects

__all__ = ["frozen_objects", "sidecar"]
