"""Replays every recorded exchange with a sidecar process."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.integration.player import Player

EXCHANGES = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.mark.parametrize("path", EXCHANGES, ids=lambda path: path.stem)
def test_recorded_exchange_is_reproduced(path: Path, tmp_path: Path) -> None:
    player = Player(tmp_path)
    try:
        player.play(path.read_text(encoding="utf-8"))
    finally:
        player.end()
