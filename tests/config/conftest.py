"""Fixtures of this folder."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.integration.player import Player


@pytest.fixture
def config_path(tmp_path: Path) -> Iterator[Path]:
    """The path of a valid ``config.json``; its discovery and endpoints are listening sockets until the test ends."""
    player = Player(tmp_path)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(player.config()))
    yield path
    player.end()
