"""Attempts made by a pool alone, and changes forced to come while one of them waits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lugtally.eventloop import Task, WakeReason
from lugtally.http1 import ForwardedRequest, Message
from lugtally.units import NS_PER_S
from lugtally.upstream import AttemptResponse
from tests.races.fakes import PeerConnection, Sidecar

ENDPOINT = 1
ATTEMPT_TIMEOUT_NS = 8 * NS_PER_S
Change = Callable[[], object]


def sidecar_with_endpoint() -> Sidecar:
    """Return a sidecar whose pool knows the fake server as its one endpoint."""
    sidecar = Sidecar()
    sidecar.upstream.set_address(ENDPOINT, sidecar.server.address)
    return sidecar


def start_attempt(
    sidecar: Sidecar, ends: list[AttemptResponse], message: Message | None = None, **options: Any
) -> Task:
    """Start an attempt in a task of its own; its end is added to ``ends``."""

    def run() -> None:
        deadline_ns = sidecar.loop.now() + ATTEMPT_TIMEOUT_NS
        request = ForwardedRequest(message or Message("GET", "/"))
        ends.append(sidecar.upstream.execute_attempt(ENDPOINT, request, deadline_ns, **options))

    return sidecar.loop.spawn(run)


def idle_peers(sidecar: Sidecar, count: int) -> list[PeerConnection]:
    """Fill the pool with idle connections; return their other ends, the longest idle first."""
    ends: list[AttemptResponse] = []
    peers = []
    for _ in range(count):
        start_attempt(sidecar, ends)
        peers.append(sidecar.server.accept())
        peers[-1].read_head()
    for number, peer in enumerate(peers, 1):
        peer.respond()
        sidecar.wait_until(lambda number=number: len(ends) == number)  # type: ignore[misc]
    return peers


def change_at_wait(sidecar: Sidecar, patch: pytest.MonkeyPatch, is_due: Callable[[int], bool], change: Change) -> None:
    """Let ``change`` happen as the next wait begins whose poll events are due."""
    loop_wait = sidecar.loop.wait
    changed: list[bool] = []

    def wait(fd: int, poll_events: int, deadline_ns: int | None = None) -> WakeReason:
        if not changed and is_due(poll_events):
            changed.append(True)
            change()
        return loop_wait(fd, poll_events, deadline_ns)

    patch.setattr(sidecar.loop, "wait", wait)


def change_as_it_settles(sidecar: Sidecar, patch: pytest.MonkeyPatch, change: Change) -> None:
    """Let ``change`` happen as an attempt begins to wait until its connection may be used."""
    change_at_wait(sidecar, patch, lambda _: ENDPOINT in sidecar.upstream._settling, change)


def stoppable_clock(sidecar: Sidecar, patch: pytest.MonkeyPatch) -> Callable[[int], None]:
    """Return a function that lets the clock jump on, as for a process that was stopped for that long."""
    now = sidecar.loop.now
    stopped_ns: list[int] = []
    patch.setattr(sidecar.loop, "now", lambda: now() + sum(stopped_ns))
    return stopped_ns.append
