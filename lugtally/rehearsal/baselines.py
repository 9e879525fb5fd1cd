"""Plain policies to compare with, behind the same facade and the same network code as the shipped decisions.

They are part of the kit and cannot be selected for the daemon: this module is started by the runner alone.  Each
keeps the rules on what may be sent again, and on drains; none watches load, silence or cold starts.
"""

from __future__ import annotations

import os
import sys
from random import Random

from lugtally import api
from lugtally.api import Effect, Group, State

MOST_RETRIES = 3
TRY_SHARE = 0.5  # of the time left that an attempt gets where another may follow
RETRY = "+retry"
PICKS = ("random", "round-robin", "least-in-flight")
NAMES = tuple(pick + again for pick in PICKS for again in ("", RETRY))


class Request:
    """A request that is owed its final answer."""

    __slots__ = ("cls", "deadline", "sent", "ran", "out")

    def __init__(self, cls: api.RequestClass, deadline: int) -> None:
        self.cls = cls
        self.deadline = deadline
        self.sent: list[int] = []  # servers, by attempt
        self.ran: list[tuple[int, int]] = []  # attempts that may have run: server, when sent
        self.out = 0


class Baseline:
    """A policy in the place of :class:`lugtally.decide.Balancer`: events in, actions out."""

    def __init__(self, name: str, settings: api.Settings, seed: int) -> None:
        pick, _, again = name.partition("+")
        if name not in NAMES:
            raise ValueError(f"{name}: no such policy")
        self.pick, self.again = pick, bool(again)
        self.settings = settings
        self.random = Random(seed)
        self.turn = self.random.randrange(1 << 20)
        self.servers: dict[int, api.Server] = {}
        self.flying: dict[int, int] = {}
        self.requests: dict[str, Request] = {}

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """What to do about an event."""
        match event:
            case api.ServerList():
                return self._listed(event)
            case api.Request():
                cls = self.settings.classes[event.cls]
                self.requests[event.id] = request = Request(cls, now + event.time_left_ns)
                return self._send(now, event.id, request)
            case api.Outcome():
                return self._ended(now, event)
            case api.ClientLeft():
                self.requests.pop(event.id, None)
            case api.Timer():
                return [api.Watch()]
        return []

    def _listed(self, event: api.ServerList) -> list[api.Action]:
        if event.kind is api.ListKind.FAILED:
            return [api.Wake(100 * api.MS, "ask")]
        if event.kind is not api.ListKind.CHANGES:
            self.servers = {}
        for server in event.servers:
            self.servers[server.id] = server
        self.servers = {id: server for id, server in self.servers.items() if server.state is not State.GONE}
        return [api.Watch()] if event.kind is api.ListKind.KEPT else []

    def _send(self, now: int, id: str, request: Request) -> list[api.Action]:
        able = [s for s in self.servers.values() if s.state is State.UP]
        if request.ran:
            group = request.cls.group
            first = self.servers.get(request.ran[0][0])
            if group is Group.ZONE:
                able = [s for s in able if first is not None and s.zone == first.zone]
            elif group is Group.CELL:
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
        follows = self.again and len(request.sent) <= MOST_RETRIES and request.cls.effect is not Effect.UNSAFE
        return [api.Send(id, chosen.id, max(api.MS, int(left * TRY_SHARE) if follows else left))]

    def _ended(self, now: int, event: api.Outcome) -> list[api.Action]:
        self.flying[event.server] = self.flying.get(event.server, 1) - 1
        request = self.requests.get(event.id)
        if request is None or event.over:
            self.requests.pop(event.id, None)
            return []
        request.out -= 1
        if event.result not in api.NEVER_RAN:
            request.ran.append((event.server, now - event.took_ns))
        if event.result is api.Result.DECLINED or not self.again or not self._may_repeat(now, request):
            return self._give_up(event.id, request)
        return self._send(now, event.id, request)

    def _may_repeat(self, now: int, request: Request) -> bool:
        if len(request.sent) > MOST_RETRIES or len(request.sent) >= self.settings.max_attempts:
            return False
        if now >= request.deadline - self.settings.tick_ns:
            return False
        if not request.ran or request.cls.effect is Effect.SAFE:
            return True
        if request.cls.effect is Effect.UNSAFE:
            return False
        return now - request.ran[0][1] < request.cls.window_ns - self.settings.tick_ns

    def _give_up(self, id: str, request: Request) -> list[api.Action]:
        self.requests.pop(id, None)
        harmless = not request.ran or request.cls.effect is Effect.SAFE
        return [api.Refuse(id, 0) if harmless else api.Fail(id)]


def main(name: str) -> int:
    """Serve as the daemon does, with this policy deciding."""
    from lugtally.config import sidecar
    from lugtally.service import serve

    return serve.serve(
        sidecar.load(os.environ), "WARNING", decisions=lambda settings, seed: Baseline(name, settings, seed)
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
