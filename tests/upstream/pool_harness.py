"""Helpers for tests of the upstream pool: attempts without a dispatcher, and changes while an attempt waits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lugtally.eventloop import READABLE, Task, WakeReason
from lugtally.http1 import ForwardedRequest, Message
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import FinishedAttempt, pool
from tests.fakes import PeerConnection, Sidecar

ENDPOINT = 1
ATTEMPT_TIMEOUT_NS = 8 * NS_PER_S
LONG_IDLE_BEFORE_REUSE_NS = 200 * NS_PER_MS
"""So that an attempt has to wait for a connection even if the test is suspended for a moment before it starts."""
Change = Callable[[], object]


def start_attempt(
    sidecar: Sidecar, results: list[FinishedAttempt], message: Message | None = None, **options: Any
) -> Task:
    """Start an attempt as a task, which appends the finished attempt to ``results``."""

    def run() -> None:
        deadline_ns = sidecar.loop.now() + ATTEMPT_TIMEOUT_NS
        request = ForwardedRequest(message or Message("GET", "/"))
        results.append(sidecar.upstream.execute_attempt(ENDPOINT, request, deadline_ns, **options))

    return sidecar.loop.spawn(run)


def open_idle_connections(sidecar: Sidecar, count: int) -> list[PeerConnection]:
    """Make the pool open connections and leave them idle; return the endpoint's ends, the longest idle first."""
    results: list[FinishedAttempt] = []
    peers = []
    for _ in range(count):
        start_attempt(sidecar, results)
        peers.append(sidecar.server.accept())
        peers[-1].read_head()
    for number, peer in enumerate(peers, 1):
        peer.respond()
        sidecar.wait_until(lambda number=number: len(results) == number)  # type: ignore[misc]
    return peers


def change_at_wait(sidecar: Sidecar, patch: pytest.MonkeyPatch, is_due: Callable[[int], bool], change: Change) -> None:
    """Call ``change`` once: at the start of the first wait for which ``is_due`` returns true for its poll events."""
    loop_wait = sidecar.loop.wait
    changed: list[bool] = []

    def wait(fd: int, poll_events: int, deadline_ns: int | None = None) -> WakeReason:
        if not changed and is_due(poll_events):
            changed.append(True)
            change()
        return loop_wait(fd, poll_events, deadline_ns)

    patch.setattr(sidecar.loop, "wait", wait)


def change_while_awaiting_reuse(sidecar: Sidecar, patch: pytest.MonkeyPatch, change: Change) -> None:
    """Call ``change`` when an attempt starts to wait until its connection may be reused."""
    change_at_wait(sidecar, patch, lambda _: ENDPOINT in sidecar.upstream._awaiting_reuse, change)


def patch_clock(sidecar: Sidecar, patch: pytest.MonkeyPatch) -> Callable[[int], None]:
    """Return a function that advances the clock by some nanoseconds, as if the process had been suspended that long."""
    now = sidecar.loop.now
    advanced_ns: list[int] = []
    patch.setattr(sidecar.loop, "now", lambda: now() + sum(advanced_ns))
    return advanced_ns.append


def change_during_attempt(
    sidecar: Sidecar, patch: pytest.MonkeyPatch, waits_for: str, change: Change, results: list[FinishedAttempt]
) -> PeerConnection:
    """Start an attempt and call ``change`` while it waits; return the endpoint's end of its first connection.

    ``waits_for`` is "reuse" (the attempt waits until an idle connection may be reused) or "connecting" (it waits until
    a new connection is established).
    """
    if waits_for == "reuse":
        patch.setattr(pool, "MIN_IDLE_BEFORE_REUSE_NS", LONG_IDLE_BEFORE_REUSE_NS)
        peer = open_idle_connections(sidecar, 1)[0]
        change_while_awaiting_reuse(sidecar, patch, change)
        start_attempt(sidecar, results)
        return peer
    change_at_wait(sidecar, patch, lambda poll_events: poll_events != READABLE, change)
    start_attempt(sidecar, results)
    return sidecar.server.accept()
