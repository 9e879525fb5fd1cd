"""Helpers for tests of discovery, which shorten the timeouts and start a watch with a cached list of version 1."""

from __future__ import annotations

import pytest

from lugtally.config.endpoint_list import parse_endpoint_list
from lugtally.discovery import timing
from lugtally.units import NS_PER_MS
from tests.fakes import PeerConnection, Sidecar


def start_watch(sidecar: Sidecar) -> None:
    """Start with a cached list of version 1 and request the first call; the scripted balancer requests no other."""
    cached = {"version": 1, "full": True, "servers": [sidecar.endpoint_row("s-a"), sidecar.endpoint_row("s-b")]}
    sidecar.endpoint_watcher.start(parse_endpoint_list(cached, "known"))
    sidecar.endpoint_watcher.watch()


def start_first_call(sidecar: Sidecar) -> PeerConnection:
    """Start a watch and read the request of its first call; return the connection."""
    start_watch(sidecar)
    connection = sidecar.discovery.accept()
    assert "from=1&" in connection.read_head()
    return connection


def wait_for_failed_call(sidecar: Sidecar) -> None:
    """Wait until the balancer has received an update of kind ``failed``."""
    sidecar.wait_until(lambda: sidecar.balancer.endpoint_updates()[-1][0] == "failed")


def update_kinds(sidecar: Sidecar) -> list[str]:
    """Return the kinds of the updates that the balancer received, in order."""
    return [kind for kind, _ in sidecar.balancer.endpoint_updates()]


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the timeouts of discovery."""
    for name, value in (
        ("WATCH_HOLD_MS", 30),
        ("RESPONSE_TIMEOUT_NS", 30 * NS_PER_MS),
        ("CONNECT_TIMEOUT_NS", 200 * NS_PER_MS),
    ):
        monkeypatch.setattr(timing, name, value)
