"""What config.json becomes."""

from __future__ import annotations

import json
from pathlib import Path

from lugtally.config import sidecar
from lugtally.units import NS_PER_MS
from tests.integration.player import Player


def test_repeats_leave_a_connection_time_to_come_up(tmp_path: Path) -> None:
    """The deduplication window is counted from send to send; the balancer's margin was a tick of the simulator."""
    player = Player(tmp_path)
    (tmp_path / "config.json").write_text(json.dumps(player.config()))
    player.end()
    config = sidecar.load({}, str(tmp_path / "config.json"))
    assert config.settings.timer_resolution_ns == 150 * NS_PER_MS
    assert config.connect_timeout_ns == 150 * NS_PER_MS
    assert config.settings.subscribe_to_endpoints
