"""Plain policies to compare with, behind the same facade and the same network code as the shipped decisions.

They are part of the kit and cannot be selected for the daemon: this module is started by the runner alone.  Each
keeps the rules on what may be sent again, and on drains; none watches load, silence or cold starts.
"""

from __future__ import annotations

import os
import sys
from random import Random

from lugtally import balancing
from lugtally.balancing import DeduplicationScope, EndpointState, Idempotency
from lugtally.units import NS_PER_MS

MOST_RETRIES = 3
TRY_SHARE = 0.5  # of the time left that an attempt gets where another may follow
RETRY = "+retry"
PICKS = ("random", "round-robin", "least-in-flight")
NAMES = tuple(pick + again for pick in PICKS for again in ("", RETRY))


class Request:
    """A request that is owed its final answer."""

    __slots__ = ("cls", "deadline", "sent", "ran", "out")

    def __init__(self, cls: balancing.RequestClass, deadline: int) -> None:
        self.cls = cls
        self.deadline = deadline
        self.sent: list[int] = []  # servers, by attempt
        self.ran: list[tuple[int, int]] = []  # attempts that may have run: server, when sent
        self.out = 0


class Baseline:
    """A policy in the place of :class:`lugtally.balancing.balancer.Balancer`: events in, actions out."""

    def __init__(self, name: str, settings: balancing.Settings, seed: int) -> None:
        pick, _, again = name.partition("+")
        if name not in NAMES:
            raise ValueError(f"{name}: no such policy")
        self.pick, self.again = pick, bool(again)
        self.settings = settings
        self.random = Random(seed)
        self.turn = self.random.randrange(1 << 20)
        self.servers: dict[int, balancing.Endpoint] = {}
        self.flying: dict[int, int] = {}
        self.requests: dict[str, Request] = {}

    def handle(self, now: int, event: balancing.Event) -> list[balancing.Action]:
        """What to do about an event."""
        match event:
            case balancing.EndpointUpdate():
                return self._listed(event)
            case balancing.Request():
                cls = self.settings.classes[event.class_index]
                self.requests[event.id] = request = Request(cls, now + event.time_left_ns)
                return self._send(now, event.id, request)
            case balancing.AttemptFinished():
                return self._ended(now, event)
            case balancing.ClientDisconnected():
                self.requests.pop(event.request_id, None)
            case balancing.TimerFired():
                return [balancing.WatchEndpoints()]
        return []

    def _listed(self, event: balancing.EndpointUpdate) -> list[balancing.Action]:
        if event.kind is balancing.EndpointUpdateKind.FAILED:
            return [balancing.SetTimer(100 * NS_PER_MS, "ask")]
        if event.kind is not balancing.EndpointUpdateKind.DELTA:
            self.servers = {}
        for server in event.endpoints:
            self.servers[server.id] = server
        self.servers = {id: server for id, server in self.servers.items() if server.state is not EndpointState.REMOVED}
        return [balancing.WatchEndpoints()] if event.kind is balancing.EndpointUpdateKind.CACHED else []

    def _send(self, now: int, id: str, request: Request) -> list[balancing.Action]:
        able = [s for s in self.servers.values() if s.state is EndpointState.READY]
        if request.ran:
            group = request.cls.deduplication_scope
            first = self.servers.get(request.ran[0][0])
            if group is DeduplicationScope.ZONE:
                able = [s for s in able if first is not None and s.zone == first.zone]
            elif group is DeduplicationScope.CELL:
                able = [s for s in able if first is not None and s.cell == first.cell]
        able = [s for s in able if s.id not in request.sent] or able
        if not able:
            return self._give_up(id, request)
        if self.pick == "random":
            chosen = self.random.choice(able)
        elif self.pick == "round-robin":
            self.turn += 1
            chosen = sorted(able, key=lambda s: s.id)[self.turn % len(able)]
        else:
            least = min(self.flying.get(s.id, 0) for s in able)
            chosen = self.random.choice([s for s in able if self.flying.get(s.id, 0) == least])
        request.sent.append(chosen.id)
        request.out += 1
        self.flying[chosen.id] = self.flying.get(chosen.id, 0) + 1
        left = request.deadline - now
        follows = (
            self.again
            and len(request.sent) <= MOST_RETRIES
            and request.cls.idempotency is not Idempotency.NON_IDEMPOTENT
        )
        return [balancing.SendAttempt(id, chosen.id, max(NS_PER_MS, int(left * TRY_SHARE) if follows else left))]

    def _ended(self, now: int, event: balancing.AttemptFinished) -> list[balancing.Action]:
        self.flying[event.endpoint_id] = self.flying.get(event.endpoint_id, 1) - 1
        request = self.requests.get(event.request_id)
        if request is None or event.request_finished:
            self.requests.pop(event.request_id, None)
            return []
        request.out -= 1
        if event.result not in balancing.NOT_PROCESSED:
            request.ran.append((event.endpoint_id, now - event.duration_ns))
        if event.result is balancing.AttemptResult.DECLINED or not self.again or not self._may_repeat(now, request):
            return self._give_up(event.request_id, request)
        return self._send(now, event.request_id, request)

    def _may_repeat(self, now: int, request: Request) -> bool:
        if len(request.sent) > MOST_RETRIES or len(request.sent) >= self.settings.max_attempts:
            return False
        if now >= request.deadline - self.settings.timer_resolution_ns:
            return False
        if not request.ran or request.cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return now - request.ran[0][1] < request.cls.deduplication_window_ns - self.settings.timer_resolution_ns

    def _give_up(self, id: str, request: Request) -> list[balancing.Action]:
        self.requests.pop(id, None)
        harmless = not request.ran or request.cls.idempotency is Idempotency.IDEMPOTENT
        return [balancing.RejectRequest(id, 0) if harmless else balancing.FailRequest(id)]


def main(name: str) -> int:
    """Serve as the daemon does, with this policy deciding."""
    from lugtally.config.sidecar import load
    from lugtally.daemon.sidecar import serve

    return serve(load(os.environ), "WARNING", policy_factory=lambda settings, seed: Baseline(name, settings, seed))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
