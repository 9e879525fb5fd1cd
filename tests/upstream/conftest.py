"""Fixtures of this folder."""

from __future__ import annotations

import pytest

from tests.fakes import Sidecar
from tests.upstream.pool_harness import ENDPOINT


@pytest.fixture
def sidecar() -> Sidecar:
    """A sidecar whose pool knows the fake server as its one endpoint."""
    sidecar = Sidecar()
    sidecar.upstream.set_address(ENDPOINT, sidecar.server.address)
    return sidecar
