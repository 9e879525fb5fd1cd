"""Decoding of ``config.json``."""

from __future__ import annotations

from pathlib import Path

from lugtally.config import sidecar
from lugtally.units import NS_PER_MS


def test_timer_resolution_is_raised_to_the_connect_timeout(config_path: Path) -> None:
    """Regression: with the simulator's timer resolution, a retry could arrive after the deduplication window."""
    config = sidecar.load_config({}, str(config_path))
    assert config.settings.timer_resolution_ns == 150 * NS_PER_MS
    assert config.connect_timeout_ns == 150 * NS_PER_MS
    assert config.settings.subscribe_to_endpoints
