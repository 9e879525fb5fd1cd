"""Fixtures of the upstream tests."""

from __future__ import annotations

import pytest

from tests.fakes import Sidecar
from tests.upstream.pool_harness import ENDPOINT


@pytest.fixture
def sidecar() -> Sidecar:
    """Return a sidecar whose pool has the fake server as its only endpoint."""
    sidecar = Sidecar()
    sidecar.upstream.set_address(ENDPOINT, sidecar.server.address)
    return sidecar
