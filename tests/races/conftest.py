"""Fixtures of this folder."""

from __future__ import annotations

import pytest

from tests.races.discovery_harness import short_timeouts
from tests.races.fakes import Sidecar

__all__ = ["short_timeouts", "sidecar"]


@pytest.fixture
def sidecar() -> Sidecar:
    """A sidecar with a scripted balancer and a fake server of each kind."""
    return Sidecar()
