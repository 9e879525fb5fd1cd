"""Fixtures of this folder."""

from __future__ import annotations

import pytest

from tests.races.fakes import Sidecar


@pytest.fixture
def sidecar() -> Sidecar:
    """A sidecar with a scripted balancer and a fake server of each kind."""
    return Sidecar()
