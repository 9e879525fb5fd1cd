"""Fixtures of this folder."""

from __future__ import annotations

import pytest

from tests.races.fakes import Sidecar


@pytest.fixture
def sidecar() -> Sidecar:
    """A sidecar round a scripted balancer, with one fake server of each kind."""
    return Sidecar()
