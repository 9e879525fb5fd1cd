"""Fixtures of the tests of the event loop."""

from __future__ import annotations

import pytest

from lugtally.eventloop import EventLoop


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop()
