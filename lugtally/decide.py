# Its types, events and actions: lugtally/api.py
"""Every decision of the balancer: retry pacing, the pick, the rules, and the exceptions to the design.

``Balancer.handle(now, event)`` returns the actions to take at ``now``.  There is no clock, no I/O and no
state outside the object; the same events under the same seed give the same actions.
"""

from __future__ import annotations

from bisect import bisect
from heapq import heappop, heappush
from itertools import accumulate
from math import exp, inf
from random import Random

from lugtally import api
from lugtally.api import Effect, Group, ListKind, Result, State

# The design (see docs/design.md).
BASE_NS = 100 * api.MS          # first backoff bound; doubles with each retry
MOST_RETRIES = 3
BUDGET_SHARE = 0.1              # further attempts as a share of the requests of the window
BUDGET_SECONDS = 10
SUBSET_FLOOR = 10
# The exceptions.
SETTLE_NS = 250 * api.MS        # how often weights are drawn up anew
SILENT_AFTER = 3.0              # usual times of a server without a word from it
PATIENCE = 0.5                  # part of the aim after which an attempt without an answer is overdue
WINDOW = 1.8                    # own requests in flight, as a multiple of the crowded state
CHANCE = 3.0                    # deviations of chance in flight that the window leaves room for
RISE = 0.01                     # how fast the usual times may rise, a second
CROWDED = 3.0                   # answer times, against the usual, at which a server holds too much
EJECT_NS = 1 * api.SECOND       # ejection after a failure; doubles with each further one up to four times
IDLE_DEAD = 3                   # silent attempts on unused connections in a row before such are closed first
IDLE_TRIAL = 0.06               # part of the requests that try an unused connection all the same
IDLE_NS = api.SECOND // 2       # a connection unused for longer may have died unseen
EJECT_MOST = 0.5                # share of the members that may be ejected at once
BRISK = 1.4                     # answer times, against the usual, up to which a missing answer is no queue
AMPLE = 10.0                    # an answer within this fraction of the tightest aim is never late
HELD = 3.5                      # requests that all together let a server hold, by its report, at first
ASKED_NS = 5 * api.SECOND       # how fast what was asked for fades
SHARE_NS = 5 * api.SECOND       # how fast what was seen of our share of these fades
EASY = 0.25                     # part of the aim within which an answer shows that servers could hold more
SLOW_TIMES = 3.0                # answer times against the median peer that eject
STRAINED = 0.35                 # part of the answers that may take over half their aim before less is let in
SHALLOW = -3.0                  # logarithm of the least part let in
SPARE = 0.7                     # logarithm of what good answers save up: one bad answer sheds nothing
LAST_PLACES = 0.4               # part of the places that any class may take
COLD_SHARE = 0.4                # part of the told multiple that this balancer uses of its own mean rate


class Peer:
    """What this balancer knows of one server, nearly all of it from its own requests."""

    __slots__ = ("id", "zone", "cell", "state", "started", "rank", "out", "stuck", "heard", "used", "load",
                 "told", "report", "limit", "cut", "slow", "seen", "strikes", "ejected", "tokens", "filled")

    def __init__(self, line: api.Server, rank: float, now: int) -> None:
        self.id = line.id
        self.rank = rank
        self.out: dict[tuple[str, int], int] = {}    # own attempts in flight -> when sent, oldest first
        self.stuck = 0      # how many of these are overdue while later ones are answered soon
        self.relist(line)
        self.renew(now)

    @property
    def busy(self) -> int:
        """Own attempts in flight that it seems to work on."""
        return len(self.out) - self.stuck

    def relist(self, line: api.Server) -> None:
        """Take over what the list says."""
        self.zone, self.cell, self.state = line.zone, line.cell, line.state
        self.started = line.started_ns

    def renew(self, now: int) -> None:
        """A new process: what was learnt of the old one no longer counts."""
        self.heard = now
        self.load = 0.0             # requests that seem to wait there, and as of when
        self.told = 0
        self.report = 0.0           # requests that it holds, from all balancers, as it last reported
        self.used = 0               # when a connection to it last carried an answer
        self.limit = 2.0
        self.cut = 0                # when the limit was last lowered
        self.slow = 1.0             # own answer times as a multiple of the class's mean
        self.seen = 0
        self.strikes = 0            # failures in a row
        self.ejected = 0            # until when
        # Sends that slow start still allows.  A random part of one: in a fleet of hundreds each sends so
        # rarely that a server would be warm before anyone had a whole one.
        self.tokens = self.rank * 1e6 % 1
        self.filled = now


class Flight:
    """An attempt in flight."""

    __slots__ = ("peer", "cls", "sent", "started", "idle", "unused", "overdue", "stuck")

    def __init__(self, peer: Peer, cls: int, sent: int, unused: int) -> None:
        self.peer, self.cls, self.sent, self.started = peer, cls, sent, peer.started
        self.idle = not peer.out    # nothing else of ours was in flight there
        self.unused = unused        # how long its connection had not been used; 0: a fresh one
        self.overdue = False
        self.stuck = False


class Held:
    """A request that is owed its final answer."""

    __slots__ = ("id", "cls", "tenant", "deadline", "servers", "out", "ran_at", "ran_group", "may_have_run",
                 "retries", "waiting", "streaming")

    def __init__(self, event: api.Request, now: int) -> None:
        self.id, self.cls, self.tenant = event.id, event.cls, event.tenant
        self.deadline = now + event.time_left_ns
        self.servers: list[int] = []          # by attempt
        self.out: set[int] = set()            # attempts in flight
        self.may_have_run: dict[int, int] = {}    # attempts that are not proven not to have run -> when sent
        self.ran_at = 0
        self.ran_group = -1
        self.retries = 0
        self.waiting = False
        self.streaming = False


class Balancer:
    """One sidecar's decisions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set = settings
        self.rng = Random(seed)
        self.peers: dict[int, Peer] = {}
        self.usable: list[Peer] = []            # listed as up, by rank
        self.members: list[Peer] = []
        self.table: list[Peer] = []             # members worth drawing, with cumulated weights
        self.sums: list[float] = []
        self.flat: list[float] = []             # the same without the leaning to the own zone
        self.warm = 1                           # members that count as warm
        self.flying = 0.0                       # own requests in flight, smoothed
        self.held: dict[str, Held] = {}
        self.out: dict[tuple[str, int], Flight] = {}
        self.stuck = 0
        self.due: list[tuple[int, str, int]] = []       # heap: when an attempt is overdue, which
        self.wake = 0                           # when the next timer for these comes, 0: none
        self.idle_safe = 0                      # connections unused longer are closed before use; 0: never
        self.idle_dead = 0                      # attempts on unused connections that got no answer, in a row
        self.waiting = 0.0                      # requests that seem to wait at a server, on average
        told = settings.load_fields             # the column of the reports that is used, -1: none
        self.report_column = next((told.index(f) for f in ("inflight", "queue", "util") if f in told), -1)
        self.most = inf                         # requests a server should hold; HELD from the first report on
        self.ours = self.depth = 0.0            # ours in flight, held at a server: times how long, fading
        self.part = self.calm = 0.0             # of their aims that answers take, smoothed; the least of late
        self.level = SPARE                      # logarithm of the part of requests let in
        # (class, tenant; -1: any within its share) -> its worth for its usual time, against the most
        self.dear: dict[tuple[int, int], float] = {}
        self.least = 1.0                        # the smallest of these within shares
        self.asked: dict[tuple[int, int], float] = {}   # first tries by class and tenant, fading
        self.last_outcome = 0
        self.settled = 0
        self.stale = False
        self.watch_tries = 0
        self.second = 0
        self.requests = [0] * BUDGET_SECONDS    # first tries a second, a ring
        self.further = [0] * BUDGET_SECONDS     # further attempts a second
        self.far = 0.1                          # weight of other zones in the draw
        self.default = api.RequestClass()
        self.recent: dict[int, float] = {}      # class -> time of a good answer from servers idle of ours
        self.samples: dict[int, int] = {}
        self.done = 0.0                         # usual times of the answers since the last settling
        self.pace = 0.0                         # the same a nanosecond, smoothed: in flight if none queue
        self.paced = 0                          # settlings that made it
        self.window = 4.0                       # own requests that may be in flight
        self.mean: dict[int, float] = {}        # class -> usual time of a good answer when little is queued
        self.room = 9.0                         # usual times in the tightest aim
        self.crowded = CROWDED     # answer times, against the usual, that show too long a queue
        self.brisk = BRISK
        self.actions: list[api.Action] = []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self.actions = []
        self._roll(now)
        if isinstance(event, api.Request):
            self._on_request(now, event)
        elif isinstance(event, api.Outcome):
            self._on_outcome(now, event)
        elif isinstance(event, api.Timer):
            self._on_timer(now, event.token)
        elif isinstance(event, api.ServerList):
            self._on_list(now, event)
        elif isinstance(event, api.ClientLeft):
            self.held.pop(event.id, None)
        elif isinstance(event, api.FirstByte):
            if (held := self.held.get(event.id)) is not None and event.attempt in held.out:
                held.streaming = True    # it is the client's now: nothing more is sent or answered
                # The server has answered; what is left is the client's pace, no load of the server's.
                flight = self.out.get((event.id, event.attempt))
                self._land(now, event.id, event.attempt, Result.OK, now - flight.sent if flight else 0)
        return self.actions

    # ------------------------------------------------------------ retry

    def _roll(self, now: int) -> None:
        """Move the sliding window of the budget on; constant work, as a gap of a window clears it all."""
        second = now // api.SECOND
        if self.second == 0 or second - self.second >= BUDGET_SECONDS:
            self.requests, self.further = [0] * BUDGET_SECONDS, [0] * BUDGET_SECONDS
            self.second = second
        while self.second < second:
            self.second += 1
            self.requests[self.second % BUDGET_SECONDS] = self.further[self.second % BUDGET_SECONDS] = 0

    def _charge(self, count: int = 1) -> bool:
        """Take one further attempt from the budget.  A quiet balancer may always make one in a window."""
        if sum(self.further) + 1 > max(1.0, BUDGET_SHARE * sum(self.requests)):
            return False
        self.further[self.second % BUDGET_SECONDS] += count
        return True

    def _class(self, number: int) -> api.RequestClass:
        return self.set.classes[number] if 0 <= number < len(self.set.classes) else self.default

    def _on_request(self, now: int, event: api.Request) -> None:
        if event.id in self.held:
            return
        if not event.is_retry:      # marked repeats earn no further repeats
            self.requests[self.second % BUDGET_SECONDS] += 1
            self.asked[event.cls, event.tenant] = self.asked.get((event.cls, event.tenant), 0.0) + 1
        held = self.held[event.id] = Held(event, now)
        if self.stale or now - self.settled >= SETTLE_NS:
            self._settle(now)
        if self.rng.random() < self._let_in(held):
            self._attempt(now, held)
        else:
            self._give_up(held)

    def _attempt(self, now: int, held: Held) -> None:
        """Send the next attempt now or answer now."""
        held.waiting = False
        peer = self._pick(now, held)
        if peer is None:
            self._give_up(held)
        else:
            self._send(now, held, peer)

    def _send(self, now: int, held: Held, peer: Peer) -> None:
        unused = now - peer.used if peer.used and not peer.out else 0
        if self.idle_safe and (held.servers or unused > self.idle_safe and self.rng.random() > IDLE_TRIAL):
            self.actions.append(api.CloseIdle(peer.id))
            unused = 0
        attempt = len(held.servers)
        held.servers.append(peer.id)
        held.out.add(attempt)
        if not held.may_have_run:
            held.ran_at, held.ran_group = now, self._group(held, peer)
        held.may_have_run[attempt] = now
        self.out[held.id, attempt] = Flight(peer, held.cls, now, unused)
        peer.out[held.id, attempt] = now
        if self._is_cold(now, peer):
            peer.tokens -= 1
        self.actions.append(api.Send(held.id, peer.id, max(1, held.deadline - now)))
        heappush(self.due, (now + int(self._class(held.cls).aim_ns * PATIENCE), held.id, attempt))
        self._arm(now)

    def _retry(self, now: int, held: Held) -> None:
        """Capped exponential backoff with full jitter, within the budget; else the final answer at once."""
        left = held.deadline - now
        if self._class(held.cls).effect is Effect.KEYED and held.may_have_run:
            left = min(left, held.ran_at + self._class(held.cls).window_ns - self.set.tick_ns - now)
        delay = int(self.rng.uniform(0, max(0, min(left // 2, BASE_NS << held.retries))))
        enough = left - delay > self.mean.get(held.cls, 0) / 2
        if (not enough or held.retries >= MOST_RETRIES or len(held.servers) >= self.set.max_attempts
                or not self._may_repeat(now, held) or not self._charge()):
            self._give_up(held)
            return
        held.retries += 1
        held.waiting = True
        self.actions.append(api.Wake(delay, "r" + held.id))

    def _give_up(self, held: Held) -> None:
        """The final answer, at once: a refusal with advice where the effect rule allows it."""
        self.held.pop(held.id, None)
        refuse = self._may_refuse(held)
        self.actions.append(api.Refuse(held.id, self._advice(held)) if refuse else api.Fail(held.id))

    def _advice(self, held: Held) -> int:
        """When to come back: about as long as a queue needs to drain, with jitter."""
        if not self.set.advice:
            return 0
        wait = max(BASE_NS, 2 * self.mean.get(held.cls, 0)) * self.rng.uniform(0.5, 1.5)
        return min(int(wait), self.set.max_advice_ns)

    # ------------------------------------------------------------ rules

    def _group(self, held: Held, peer: Peer) -> int:
        """The number of the group that drops duplicates of this request."""
        group = self._class(held.cls).group
        return 0 if group is Group.ALL else peer.zone if group is Group.ZONE else peer.cell

    def _may_repeat(self, now: int, held: Held, moving: bool = False) -> bool:
        """Rules 1 and 2, before a server is chosen: may it have another out (``moving``: instead of one)?"""
        if (held.id not in self.held or held.streaming or now >= held.deadline
                or len(held.servers) >= self.set.max_attempts
                or (held.out and not self.set.second_copies and not moving)):
            return False
        if not held.may_have_run or self._class(held.cls).effect is Effect.SAFE:
            return True
        return (self._class(held.cls).effect is Effect.KEYED
                and now + self.set.tick_ns <= held.ran_at + self._class(held.cls).window_ns)

    def _may_send(self, now: int, held: Held, peer: Peer) -> bool:
        """All four rules for one send; every send passes here."""
        if self._leaving(peer):
            return False
        if held.may_have_run and self._class(held.cls).effect is Effect.KEYED and (
                self._group(held, peer) != held.ran_group):
            return False
        return self._may_repeat(now, held) and (not self._is_cold(now, peer) or self._cold_room(now, peer))

    def _leaving(self, peer: Peer) -> bool:
        return peer.state is State.DRAINING or (peer.state is State.GONE and self.set.gone_binds)

    def may_begin(self, now: int, id: str, attempt: int) -> bool:
        """Rules 2 to 4 once more right before bytes go out: the connection may have come up late.

        Meanwhile the server may have begun to drain, gone or started anew, or a keyed window closed.
        """
        held, flight = self.held.get(id), self.out.get((id, attempt))
        if held is None or flight is None:
            return False
        if self._leaving(flight.peer) or flight.peer.started != flight.started:
            return False
        cls = self._class(held.cls)
        repeat = cls.effect is Effect.KEYED and len(held.may_have_run) > 1
        return not repeat or now <= held.ran_at + cls.window_ns

    def _may_refuse(self, held: Held) -> bool:
        """Rule 2: a refusal promises that asking again does no harm."""
        cls = self._class(held.cls)
        keyed = cls.effect is Effect.KEYED and cls.group is Group.ALL
        return not held.may_have_run or cls.effect is Effect.SAFE or keyed

    def _is_cold(self, now: int, peer: Peer) -> bool:
        return peer.started > 0 and now - peer.started < self.set.warm_within_ns

    def _ramp(self, now: int, peer: Peer) -> float:
        """The part of its capacity that a server surely has by now."""
        if not self._is_cold(now, peer):
            return 1.0
        age = max(0, now - peer.started) / self.set.warm_within_ns
        return self.set.cold_from + (1 - self.set.cold_from) * age

    def _cold_room(self, now: int, peer: Peer) -> bool:
        """Slow start: a bucket filled at a part of the told multiple of our mean rate per member.

        Per member, not per server: most of a large fleet never hears of us.  The rate is that of the whole
        window: a balancer just started sends next to nothing to it.
        """
        rate = sum(self.requests) / (BUDGET_SECONDS * api.SECOND) / self.warm
        grown = (now - peer.filled) * rate * COLD_SHARE * self.set.fall_multiple * self._ramp(now, peer)
        peer.tokens = min(1.5, peer.tokens + grown)
        peer.filled = now
        return peer.tokens >= 1

    # ------------------------------------------------------------ pick

    def _pick(self, now: int, held: Held) -> Peer | None:
        """Two members at random, the one with fewer own requests in flight."""
        head = self._headroom(held)
        best: Peer | None = None
        if len(self.out) - self.stuck >= self.window * head:
            return None
        for turn in range(12 if self.table else 0):
            sums = self.sums if turn < 6 else self.flat
            peer = self.table[bisect(sums, self.rng.random() * sums[-1], 0, len(sums) - 1)]
            if peer is best or peer.busy >= max(1.0, peer.limit * head):
                continue
            if peer.id in held.servers or not self._may_send(now, held, peer):
                continue
            if best is not None:
                # Between equals the clearly faster one; a small lead would starve all but the fastest.
                even = peer.busy == best.busy and (
                    self._expected(now, peer) * 1.25 < self._expected(now, best))
                return peer if even or peer.busy < best.busy else best
            if turn >= 6:
                return peer
            best = peer
        if best is None and held.servers:    # few may take a retry: look at each
            fit = (p for p in self.usable if p.ejected <= now and p.id not in held.servers
                   and p.busy < p.limit and self._may_send(now, held, p))
            best = min(fit, key=lambda p: (p.busy, p.slow), default=None)
        return best

    def _expected(self, now: int, peer: Peer) -> float:
        """How long an answer takes there, in usual times; what was last seen of its queue soon fades."""
        fresh = 1 / (1 + (now - peer.told) / api.SECOND)
        return peer.slow * (1 + self.waiting + (peer.load - self.waiting) * fresh)

    def _headroom(self, held: Held) -> float:
        """Classes of little worth for their work leave the last places to those of more.

        By worth alone short reads were refused as often as work five times as long, of twice their worth.
        """
        return LAST_PLACES + (1 - LAST_PLACES) * (self._worth(held) or 1.0)

    # ------------------------------------------------------------ list

    def _on_list(self, now: int, event: api.ServerList) -> None:
        if event.kind is ListKind.FAILED:
            self.watch_tries = min(self.watch_tries + 1, 5)
            # Never beyond what the settings allow between two calls, or a drain is overlooked in an outage.
            most = min(8 * api.SECOND, api.SECOND << self.watch_tries)
            wait = self.rng.uniform(0.2, 1) * min(most, self.set.ask_within_ns or most)
            self.actions.append(api.Wake(int(wait), "watch"))
            return
        if event.kind is ListKind.KEPT and self.set.ask_for_list:
            self.actions.append(api.Watch())
        self.watch_tries = 0
        told = set()
        for line in event.servers:
            told.add(line.id)
            peer = self.peers.get(line.id)
            if peer is None:
                self.peers[line.id] = Peer(line, self.rng.random(), now)
            else:
                if line.started_ns > peer.started:
                    peer.renew(now)
                peer.relist(line)
        if event.kind is not ListKind.CHANGES:
            for peer in self.peers.values():
                if peer.id not in told and (peer.state is State.UP or self.set.gone_binds):
                    peer.state = State.GONE
        if self.set.gone_binds:     # ids are never used again: on a long day thousands come and go
            self.peers = {id: p for id, p in self.peers.items() if p.state is not State.GONE or p.out}
        usable = [p for p in self.peers.values() if p.state is State.UP]
        if not usable and not self.set.gone_binds:
            usable = [p for p in self.peers.values() if p.state is State.GONE]
        self.usable = sorted(usable, key=lambda p: p.rank)
        self._settle(now)

    def ejected(self, now: int) -> int:
        """How many usable servers are ejected now; for the counters, changes nothing."""
        return sum(p.ejected > now for p in self.usable)

    def _settle(self, now: int) -> None:
        """Draw up the members and the weights of the draw: at each change of the list, and now and then."""
        if self.mean and now - self.settled >= SETTLE_NS:
            self._open(now)
            self.settled = now
        self.stale = False
        # A subset of few servers would crowd under a balancer that carries most of the traffic: it needs as
        # many members as keep it near one request in flight at each second one.
        self.flying += 0.3 * (len(self.out) - self.flying)
        size = max(SUBSET_FLOOR, -(-3 * len(self.usable) // self.set.balancers), int(2 * self.flying))
        self.members = self.usable[:size]
        if self.paced <= 4:
            # After our own restart the pace is unknown and the clients of the pause come all at once.
            self.window = 2.0 * max(4, len(self.members))
        warm = sum(not self._is_cold(now, p) for p in self.members) / max(1, len(self.members))
        self.warm = max(1, round(max(0.5, warm) * len(self.members)))
        self._eject_slow(now)
        fit = [p for p in self.members if p.ejected <= now] or self.members
        self._lean(fit)
        self.table = fit
        for peer in fit:
            if now - peer.heard > 2 * api.SECOND:
                peer.slow += 0.05 * (1 - peer.slow)     # no news: what was seen wears off
        worth = [self._ramp(now, p) / min(8.0, max(0.3, p.slow)) for p in fit]
        self.flat = list(accumulate(worth))
        self.sums = list(accumulate(w if p.zone == self.set.zone else w * self.far
                                    for w, p in zip(worth, fit, strict=True)))

    def _lean(self, fit: list[Peer]) -> None:
        """Prefer the own zone where crossing costs; send more across while near servers answer later.

        It hurts when traffic moves between zones faster than the weight does; the pick then turns to all
        servers as soon as the near ones are full.
        """
        if not self.set.cross_zone_price:
            self.far = 1.0
            return
        near = [p.slow for p in fit if p.zone == self.set.zone]
        far = [p.slow for p in fit if p.zone != self.set.zone]
        if not near or (far and sum(near) / len(near) > 1.3 * sum(far) / len(far)):
            self.far = min(1.0, self.far * 1.1)
        else:
            self.far = max(0.03, self.far * 0.95)

    # ------------------------------------------------------------ judging servers

    def _land(self, now: int, id: str, attempt: int, result: Result, took: int,
              load: tuple[float, ...] | None = None) -> None:
        """An attempt is no longer in flight at its server: learn from how it went."""
        key = (id, attempt)
        flight = self.out.pop(key, None)
        if flight is not None:
            flight.peer.out.pop(key, None)
            flight.peer.stuck -= flight.stuck
            self.stuck -= flight.stuck
            self._weigh(now, flight, result, took)
            self._judge(now, flight, result, took, load)

    def _on_outcome(self, now: int, event: api.Outcome) -> None:
        self._land(now, event.id, event.attempt, event.result, event.took_ns, event.load)
        held = self.held.get(event.id)
        if held is None or event.attempt >= len(held.servers):
            return
        held.out.discard(event.attempt)
        if event.over:
            del self.held[held.id]
            return
        if event.result is Result.DECLINED:     # by any other server as well: no repeat, and no promise
            del self.held[held.id]
            self.actions.append(api.Fail(held.id))
            return
        if event.result in api.NEVER_RAN:
            held.may_have_run.pop(event.attempt, None)
        if held.out or held.waiting:
            return
        self._retry(now, held)

    def _judge(self, now: int, flight: Flight, result: Result, took: int,
               load: tuple[float, ...] | None) -> None:
        """Learn from one outcome: health, speed, and how many may be in flight."""
        peer = flight.peer
        if result in (Result.OK, Result.ERROR, Result.REJECTED, Result.DECLINED):
            peer.heard = peer.used = now
        if result is Result.OK:
            if flight.unused:
                self.idle_dead = 0
                self.idle_safe = self.idle_safe if flight.unused <= self.idle_safe else 0   # old ones live
            if peer.strikes:
                peer.strikes = peer.ejected = 0
                self.stale = True
        elif result is Result.NO_CONNECTION:
            self._eject(now, peer, sure=True)
        elif result is Result.REJECTED:
            self._eject(now, peer, 2, sure=True)
        elif result is Result.ERROR or result is Result.RESET:
            self._eject(now, peer, 2)   # one spoilt answer among good ones says nothing of the server
        if flight.stuck and result is not Result.OK:
            return
        if result in (Result.OK, Result.TIMEOUT):
            mean = self._usual(flight.cls, result, took, flight.idle)
            if result is Result.OK:
                self.done += mean
                self.part += 0.02 * (took / self._class(flight.cls).aim_ns - self.part)
            times = min(max(10.0, 2 * self.crowded), took / max(1.0, mean))
            peer.slow += 0.15 * (times - peer.slow)
            self._note_load(now, peer, times, load)
            peer.seen += 1
            if result is Result.OK and peer.slow < self.crowded:
                if len(peer.out) + 1 >= peer.limit / 2:
                    peer.limit = min(64.0, peer.limit + 1 / peer.limit)
                return
        if result in (Result.OK, Result.TIMEOUT, Result.REJECTED) and now - took >= peer.cut:
            peer.cut = now
            peer.limit = max(1.0, peer.limit * 0.8)

    def _note_load(self, now: int, peer: Peer, times: float, report: tuple[float, ...] | None) -> None:
        """How many seem to wait at the server: its report, held between what our own answer time bears out.

        A server that reports idle while it answers late, or full while it answers at once, lies or is old.
        """
        waiting = max(0.0, times - 1)
        column = self.report_column
        if report is not None and 0 <= column < len(report):
            told = max(0.0, float(report[column]))
            if self.set.load_fields[column] == "util":
                told = min(0.9, told) / (1 - min(0.9, told))
            waiting = min(max(waiting, told), 3 * (waiting + 1))
            peer.report = told
            self.most = HELD if self.most == inf else self.most
        peer.load, peer.told = waiting, now
        self.waiting += 0.05 * (waiting - self.waiting)

    def _weigh(self, now: int, flight: Flight, result: Result, took: int) -> None:
        """Let less in while answers are late or turned away, more while they are not; see ``_let_in``."""
        if flight.stuck:
            return
        if result is Result.OK or result is Result.REJECTED:
            bad = result is Result.REJECTED
        elif result is Result.TIMEOUT or result is Result.CANCELLED:
            bad = True
            if flight.peer.strikes > 1 or flight.unused > IDLE_NS:
                return      # a silent server or a dead connection is at fault, not the fleet
        else:
            return
        aim = self._class(flight.cls).aim_ns
        if not flight.overdue or result is Result.OK:
            step = min(1.0, 2 * (now - self.last_outcome) / aim)
            self.last_outcome = now
            good = STRAINED + 0.25 * max(0.0, -self.level)   # the less is let in, the more each tells
            self.level += step * (STRAINED - 1 if bad or took > aim / 2 else good)
            self.level = min(SPARE, max(SHALLOW, self.level))

    def _let_in(self, held: Held) -> float:
        """The part of a class's requests that is tried at all; the others are refused at once.

        Hundreds of quiet balancers never fill a window: their sum kept whole fleets jammed.  It also meets
        bursts, lost capacity, costly work.  It hurts where less load cures nothing: a class that waits.
        """
        worth = self._worth(held)
        return exp(min(0.0, self.level) * (self.least / worth if worth else 1.0))

    def _usual(self, cls: int, result: Result, took: int, idle: bool) -> float:
        """The usual time of a good answer of a class; a jam must not pass for usual, so it rises slowly."""
        if cls not in self.mean:
            self.mean[cls] = self.recent[cls] = float(took)
        elif idle and result is Result.OK:
            count = self.samples[cls] = self.samples.get(cls, 1) + 1
            self.recent[cls] += max(0.03, 1 / count) * (took - self.recent[cls])
            if count < 20 or self.recent[cls] < self.mean[cls]:
                self.mean[cls] = self.recent[cls]
        return self.mean[cls]

    def _open(self, now: int) -> None:
        """How many requests of ours may be in flight: a multiple of what answers at the usual pace need.

        By Little's law ``pace`` is the number in flight if none queue.  A jam shows here in a second, before
        single servers' answers tell.  It hurts where the fleet is slow as a whole without a queue: the slow
        answers need more in flight than the window then allows.
        """
        span = max(1, now - self.settled)
        self.paced += 1
        self.pace += max(min(1.0, 0.3 * span / SETTLE_NS), 1 / self.paced) * (self.done / span - self.pace)
        self.done = 0.0
        self.level = min(SPARE, self.level + 0.05 * span / api.SECOND)      # so that no silence is for good
        self._price(span)
        for cls, recent in self.recent.items():
            self.mean[cls] = min(max(recent, self.mean[cls]), self.mean[cls] * (1 + RISE * span / api.SECOND))
        self.room = min((self._class(c).aim_ns / max(1.0, m) for c, m in self.mean.items()), default=9.0)
        # Where aims are far, several times the usual is still soon: a busy sidecar's own delay of 5 ms on
        # answers of 2 ms passed for a jam at every server, and the refusals brought the clients back.
        ample = self.room / AMPLE
        self.crowded, self.brisk = max(min(CROWDED, self.room / 2.5), ample), max(BRISK, ample)
        least = max(4.0, 4 * len(self.members) / self.set.balancers)
        if self.paced > 4:
            # Few requests in flight scatter by as much as their number: without room for that, forty quiet
            # balancers refused a quarter of all requests in calm seconds.
            often = WINDOW * max(self.crowded, self.room / 6) * self.pace
            self.window = max(least, often + CHANCE * self.pace ** 0.5)
            self._share(now, span)

    def _price(self, span: int) -> None:
        """What an answer brings for its usual time, by class and tenant; less for a tenant past its share.

        The fleet's traffic of a tenant is our own over our part of what servers hold.  It hurts where one
        keeps to few balancers: these take it for past its share.
        """
        keep = exp(-span / ASKED_NS)
        self.asked = {at: n * keep for at, n in self.asked.items() if n * keep > 0.01}
        ours = self.ours / self.depth / max(1, len(self.usable)) if self.depth else 0.0
        dear = {(cls, -1): self._class(cls).worth / max(1.0, mean) for cls, mean in self.mean.items()}
        most = max(dear.values(), default=0.0) or 1.0
        # Of whole worth alone: by what is past a share, one rare kind would shield all others.
        self.least = min(dear.values(), default=most) / most
        for cls, tenant in self.asked:
            quota = self.set.tenants[tenant].quota_per_s if 0 <= tenant < len(self.set.tenants) else 0.0
            if quota and ours and (cls, -1) in dear:
                seen = sum(n for (_, t), n in self.asked.items() if t == tenant)
                within = min(1.0, quota * ours * ASKED_NS / api.SECOND / seen)
                dear[cls, tenant] = dear[cls, -1] * (within + (1 - within) * self.set.over_share_worth)
        self.dear = {at: d / most for at, d in dear.items()}

    def _worth(self, held: Held) -> float:
        """A request's worth for its usual time, against the most; its class's where no more is known."""
        return self.dear.get((held.cls, held.tenant), self.dear.get((held.cls, -1), 0.0))

    def _share(self, now: int, span: int) -> None:
        """Hold the window to our part of what all servers should hold together, by their reports.

        Our part is what we had in flight against what they reported, over some seconds: it needs no word of
        others, and a limit on requests in flight holds at once where a rate would follow late reports.
        Servers of many cores may hold more: while answers are soon at the limit, it grows.
        """
        known = [p.report for p in self.members if p.told and now - p.told < 2 * api.SECOND]
        if self.most == inf or not known:
            return
        depth = sum(known) / len(known)
        keep = exp(-span / SHARE_NS)
        self.ours = keep * self.ours + len(self.out) * span
        self.depth = keep * self.depth + depth * span
        self.calm = min(self.part, self.calm * (1 + RISE * span / api.SECOND)) if self.calm else self.part
        if depth > 0.7 * self.most:
            easy = self.part < min(EASY, 1.6 * self.calm)
            self.most = max(HELD, self.most * (1 + (0.4 if easy else -0.4) * span / api.SECOND))
        bound = self.most * self.ours / max(1.0, self.depth) + 1.0
        self.window = min(self.window, max(2.0, bound * max(1.0, 0.75 * self.most / max(0.1, depth))))

    def _eject(self, now: int, peer: Peer, least: int = 1, sure: bool = False) -> None:
        """Leave a failing server alone, briefly at first, unless too many are left alone already.

        Meant for dead, erring, silent and unreachable servers.  One failure costs a second; only
        failures in a row shut it out for long.  It hurts when more than half of the servers are dead (some
        attempts then still go there) or when requests fail by their own fault.
        """
        peer.strikes = min(peer.strikes + 1, 3)
        away = sum(p.ejected > now for p in self.members)
        # One that turns all away or accepts nothing has no queue, so the pick favours it: it goes (``sure``)
        # even where slow ones, which still answer, have taken up the half.
        if (peer.strikes < least or peer.ejected > now
                or (not sure and away + 1 > EJECT_MOST * len(self.members))):
            return
        peer.ejected = now + int((EJECT_NS << (peer.strikes - 1)) * self.rng.uniform(0.8, 1.2))
        self.stale = True

    def _eject_slow(self, now: int) -> None:
        """Eject servers far slower than their peers, and rest those that are slow even one at a time.

        A server that turned slow under a crowd recovers only when nearly idle, so all must rest the same one
        at once: they see much the same servers slow, and begin with the lowest id.  It helps against
        a neighbour on the machine, and hurts by up to half of the capacity where no rest cures the slowness.
        """
        known = sorted(p.slow for p in self.members if p.seen >= 8 and p.ejected <= now)
        middle = known[len(known) // 2] if len(known) > 2 else inf
        bound = max(self.brisk, SLOW_TIMES * middle)
        for peer in [p for p in self.members if p.seen >= 8 and p.slow > bound]:
            self._rest(now, peer)
        worn_at = max(CROWDED, self.crowded)
        worn = [p for p in self.members if p.limit <= 1 and p.seen >= 6 and p.slow > worn_at]
        for peer in sorted(worn, key=lambda p: p.id):
            self._rest(now, peer)

    def _rest(self, now: int, peer: Peer) -> None:
        """Leave a slow server alone for long enough to recover."""
        peer.strikes = max(peer.strikes, 2)
        self._eject(now, peer)
        if peer.ejected > now:
            peer.limit, peer.slow, peer.seen = 1.0, 1.2, 0  # or an idle fleet would never try it again

    # ------------------------------------------------------------ timers

    def _on_timer(self, now: int, token: str) -> None:
        if token == "due":
            if now >= self.wake:
                self.wake = 0
                self._sweep(now)
                self._arm(now)
        elif token == "watch":
            self.actions.append(api.Watch())
        elif token[:1] == "r":
            if (held := self.held.get(token[1:])) is not None and held.waiting:
                self._attempt(now, held)

    def _arm(self, now: int) -> None:
        """One timer for the first attempt that may become overdue; none while nothing is in flight."""
        while self.due and self.due[0][1:] not in self.out:
            heappop(self.due)
        if self.due and (not self.wake or self.due[0][0] < self.wake):
            self.wake = self.due[0][0]
            self.actions.append(api.Wake(max(1, self.wake - now), "due"))

    def _sweep(self, now: int) -> None:
        """Deal with attempts that are still unanswered after half of their aim."""
        while self.due and self.due[0][0] <= now:
            _, request, attempt = heappop(self.due)
            flight = self.out.get((request, attempt))
            if flight is None:
                continue
            if flight.peer.heard >= flight.sent and flight.peer.slow < self.brisk:
                # Later requests were answered there, and soon: the answer is lost, or its work is long.
                # Taken for a queue, answers lost by half a fleet cost all of its capacity.  It hurts where
                # long work that is not counted crowds a server, until its other answers come later.
                flight.stuck = True
                flight.peer.stuck += 1
                self.stuck += 1
                continue
            if not flight.overdue:
                self._weigh(now, flight, Result.TIMEOUT, now - flight.sent)
                flight.overdue = True
            usual = self.mean.get(flight.cls, 0.0) * max(1.0, flight.peer.slow)
            silent = flight.sent + int(SILENT_AFTER * usual)
            if flight.peer.heard >= flight.sent:
                continue
            self._suspect_idle(flight)
            if now >= silent or self.idle_safe:
                self._eject(now, flight.peer)
                if self.idle_safe or flight.peer.strikes > 2:
                    self._rescue(now, request, attempt)

    def _suspect_idle(self, flight: Flight) -> None:
        """Connections may die unseen while unused: after two silent ones in a row close those first.

        It also helps after a server died and came back unseen; it hurts by a handshake for each request
        where the servers themselves were silent, until an answer on an old connection proves it wrong.
        """
        if flight.unused > IDLE_NS:
            self.idle_dead += 1
            if self.idle_dead >= IDLE_DEAD:
                self.idle_safe = min(self.idle_safe or flight.unused, max(IDLE_NS, flight.unused // 2))

    def _rescue(self, now: int, request: str, attempt: int) -> None:
        """A second try elsewhere for what waits at a silent server: a copy, or by cancelling the first.

        For servers that died, hang or lose answers; the budget keeps it from feeding a jam.  It wastes the
        work of one that was only held up by a costly request.
        """
        held = self.held.get(request)
        if held is None or len(held.out) != 1 or held.retries >= MOST_RETRIES or self.level < 0:
            return
        if not self.set.second_copies:
            if self.set.may_cancel and self._charge(0) and self._may_repeat(now + BASE_NS, held, True):
                self.actions.append(api.Cancel(request, attempt))
        elif self._may_repeat(now, held):
            other = self._pick(now, held)
            if other is not None and self._charge():
                held.retries += 1
                self._send(now, held, other)
