"""Stand-ins on sockets: pledge servers, and the network between them and each sidecar.

asyncio with uvloop serves them, and httptools reads HTTP: neither the daemon's hub nor its parser, so that a fault
of those cannot hide by being on both sides.  A server's behaviour is :mod:`model`'s; here are only its bytes.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

import httptools
import msgspec

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.response_body import build_body
from lugtally.testbed.emulator.server_model import Job, Server, Taken
from lugtally.testbed.emulator.timer_lag import TimerLag
from lugtally.testbed.scenario.random_streams import unit
from lugtally.testbed.scenario.schedule import Machine
from lugtally.testbed.verification.records import (
    ColdServerOverloaded,
    HealthCheck,
    LoadSample,
    ServerAttempt,
    ServerOutcome,
    UnknownRequest,
)

LEAST_DELAY_S = 0.0004  # the loop's timers tick in milliseconds: what is shorter is not delayed at all
SPOILT = (
    b"\x00\xffnoise without a head\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nsome of it",
    b"HTTP/1.1 200 OK\r\nX-Endless: " + b"a" * 400,
    b"HTTP/1.1 two hundred\r\n\r\n",
)
PARTS = 6  # of an answer that comes slowly


@dataclass(slots=True)
class Faults:
    """What is wrong with a server or the way to it, beside what the model knows."""

    reset: float = 0.0  # part of the requests whose connection is reset, half of them before any work
    spoilt: float = 0.0  # part of the answers that come spoilt
    errors: float = 0.0  # part of the answers that are a 500
    slow_s: float = 0.0  # over which an answer trickles
    cut: bool = False  # the machine has vanished: nothing comes through, open connections stay silent


@dataclass(slots=True)
class Shared:
    """What all stand-ins of a run have in common."""

    seed: int
    block: int
    clock: Callable[[], float]
    write: Callable[[Any], None]
    timer_lag: TimerLag
    known: Callable[[str], float | None]  # the work of a request by its id; none for a stranger's
    methods: dict[str, str]  # class name -> how it must be asked for
    sidecar_zones: tuple[str, ...]
    same_s: float
    cross_s: float
    trips: float
    noise: float
    probe_s: float
    error_rate: float
    idle_s: float
    keyed: dict[tuple[str, str], tuple[float, str]] = field(default_factory=dict)  # zone, key -> when, id
    key_ttl: dict[str, float] = field(default_factory=dict)  # class name -> seconds
    key_wide: frozenset[str] = frozenset()  # classes whose repeats all servers drop


class Host:
    """A pledge server: a model, the listeners in front of it, and what is wrong with it."""

    def __init__(self, shared: Shared, machine: Machine, place: int, *, cold: bool) -> None:
        self.shared = shared
        self.machine = machine
        self.place = place
        self.faults = Faults()
        self.running = False
        self.made = 0
        self._doors: set[Door] = set()
        self._jobs: dict[Job, Ask] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._due = inf
        self._listeners: dict[int, socket.socket] = {}
        self._fillers: list[socket.socket] = []
        self._noise: dict[str, int] = {}
        self.model = Server(machine.traits, shared.clock(), cold=cold)

    # ------------------------------------------------------------ the process

    def start(self, *, cold: bool) -> None:
        """The process comes up and listens."""
        self.model = Server(self.machine.traits, self.shared.clock(), cold=cold)
        self.running = True
        self.listen()

    def stop(self) -> None:
        """The process ends: its connections are reset, and new ones are refused."""
        self.running = False
        self.unlisten()
        for door in list(self._doors):
            door.reset()
        for ask in list(self._jobs.values()):
            self._settle(ask, ServerOutcome.DISCONNECTED)
        self._jobs.clear()
        self._plan_timer(inf)

    def listen(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        for sidecar in range(len(self.shared.sidecar_zones)):
            if sidecar in self._listeners:
                continue
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind((loopback.server(self.shared.block, self.place, sidecar), loopback.PORT))
            sock.listen(512)
            self._listeners[sidecar] = sock
            loop.add_reader(sock, self._accept, sock, sidecar)

    def unlisten(self) -> None:
        """Refuse connections."""
        for sock in self._listeners.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        self._listeners.clear()
        self._drop_fillers()

    def cut(self) -> None:
        """The machine vanishes: open connections fall silent, new ones never come up."""
        self.faults.cut = True
        self.block_up()

    def mend(self) -> None:
        """It is back.  What was open is dead: the peer learns so by a reset."""
        self.faults.cut = False
        for door in list(self._doors):
            door.reset()
        self.unblock()

    def block_up(self) -> None:
        """Fill each backlog, so that further handshakes are dropped: connections never come up."""
        loop = asyncio.get_running_loop()
        for sock in self._listeners.values():
            loop.remove_reader(sock)
            sock.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(sock.getsockname())
                self._fillers.append(filler)

    def unblock(self) -> None:
        """Accept again; who waited meanwhile is reset or comes up."""
        if not self.running:
            return
        loop = asyncio.get_running_loop()
        self._drop_fillers()
        for sidecar, sock in self._listeners.items():
            sock.listen(512)
            loop.add_reader(sock, self._accept, sock, sidecar)

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _accept(self, listener: socket.socket, sidecar: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(64):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError:
                return  # the peer has gone again
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.made += 1
            loop.create_task(loop.connect_accepted_socket(lambda: Door(self, sidecar), sock))

    def one_way(self, sidecar: int) -> float:
        """Seconds between this server and a sidecar."""
        same = self.shared.sidecar_zones[sidecar] == self.machine.zone
        return self.shared.same_s if same else self.shared.cross_s

    # ------------------------------------------------------------ requests

    def opened(self, door: Door) -> None:
        """A connection has come up."""
        self._doors.add(door)
        self.advance()
        door.counted = self.model.connect()
        self._plan()

    def closed(self, door: Door) -> None:
        """A connection has ended: work for it stops."""
        self._doors.discard(door)
        if door.counted:
            self.model.disconnect()
        self.advance()
        if door.ask is not None and door.ask.job is not None:
            self.model.cancel(self.model.now, door.ask.job)
            self._jobs.pop(door.ask.job, None)
            self._settle(door.ask, ServerOutcome.DISCONNECTED)
        door.ask = None
        self._plan()

    def arrived(self, door: Door, ask: Ask) -> None:
        """A request has come whole over a connection."""
        shared, faults = self.shared, self.faults
        now = self.advance()
        if ask.path in ("/ping", "/_load"):
            if self.model.silent:
                return
            self.model.probe(shared.probe_s)
            shared.write(HealthCheck(now, self.machine.id, door.sidecar))
            door.answer(200, self._report() if ask.path == "/_load" else b"ok")
            self._plan()
            return
        attempt = ask.attempt
        attempt.last_byte_at = now
        work = shared.known(attempt.request_id)
        if work is None or not ask.sound:
            shared.write(
                UnknownRequest(now, self.machine.id, door.sidecar, f"{ask.method} {ask.path} {attempt.request_id!r}")
            )
            door.answer(400 if attempt.request_id else 404, b"")
            return
        turn = self._noise[attempt.request_id] = self._noise.get(attempt.request_id, -1) + 1
        # Of this server, request and attempt alone, whatever came in between.
        draw = unit(shared.seed, "noise", self.machine.id, attempt.request_id, turn)
        attempt.work = work * (1 + shared.noise * (2 * draw - 1) * 1.7)
        # Half of the resets strike before any work, the other half in the place of the answer.
        reset = unit(shared.seed, "reset", self.machine.id, attempt.request_id, turn)
        if reset < faults.reset / 2:
            self._settle(ask, ServerOutcome.RESET)
            door.reset()
            return
        ask.spoil = reset > 1 - faults.reset / 2
        job = Job(attempt.request_id, attempt.work, now + ask.left, door.sidecar)
        taken = self.model.offer(now, job) if door.counted else Taken.FULL
        if self.model.fallen and self.model.fell_at == now:
            self._fell(now)
        if taken is Taken.TAKEN:
            ask.job = job
            self._jobs[job] = ask
        else:
            self._turn_away(ask)
        self._plan()

    def advance(self) -> float:
        """Bring the model to the present; answer what has ended."""
        now = self.shared.clock()
        if not self.running:
            return now
        for job in self.model.advance(now):
            ask = self._jobs.pop(job, None)
            if ask is not None:
                ask.job = None
                if job.expired:
                    self._turn_away(ask)
                else:
                    self._done(ask, job)
        return now

    def changed(self) -> None:
        """Something in the model was set from outside: its next due time is another."""
        self.advance()
        self._plan()

    def _done(self, ask: Ask, job: Job) -> None:
        shared, faults, attempt = self.shared, self.faults, ask.attempt
        now = shared.clock()
        attempt.started_at, attempt.work_done = job.started, job.work
        attempt.had_effect = self._effect(ask)
        attempt.deduplicated = not attempt.had_effect
        draw = unit(shared.seed, "end", self.machine.id, attempt.request_id, attempt.last_byte_at)
        if ask.spoil:
            self._settle(ask, ServerOutcome.RESET)
            ask.door.reset()
        elif draw < shared.error_rate + faults.errors:
            self._settle(ask, ServerOutcome.ERRORED)
            ask.door.answer(500, b"error")
        elif draw > 1 - faults.spoilt:
            self._settle(ask, ServerOutcome.MALFORMED)
            ask.door.spoil(SPOILT[int(draw * 1e9) % len(SPOILT)])
        else:
            attempt.ended_at = now
            self._settle(ask, ServerOutcome.SERVED)
            ask.door.answer(200, build_body(shared.seed, attempt.request_id, self.machine.id), slow=faults.slow_s)

    def _effect(self, ask: Ask) -> bool:
        """Whether this execution counts: a keyed repeat within its time is dropped."""
        ttl = self.shared.key_ttl.get(ask.cls)
        if ttl is None or not ask.attempt.idempotency_key:
            return True
        scope = "" if ask.cls in self.shared.key_wide else self.machine.zone
        seen = self.shared.keyed.get((scope, ask.attempt.idempotency_key))
        if seen is not None and ask.attempt.last_byte_at - seen[0] <= ttl:
            return False
        self.shared.keyed[scope, ask.attempt.idempotency_key] = (ask.attempt.last_byte_at, ask.attempt.request_id)
        return True

    def _turn_away(self, ask: Ask) -> None:
        self._settle(ask, ServerOutcome.REJECTED)
        ask.door.answer(503, b"", unprocessed=True)

    def _settle(self, ask: Ask, outcome: ServerOutcome) -> None:
        """The one entry of an attempt in the books."""
        if ask.settled:
            return
        ask.settled = True
        attempt = ask.attempt
        attempt.outcome, attempt.ended_at = outcome, self.shared.clock()
        if ask.job is not None:
            attempt.started_at, attempt.work_done = ask.job.started, ask.job.work - ask.job.left
        self.shared.write(attempt)

    def _fell(self, now: float) -> None:
        self.shared.write(
            ColdServerOverloaded(
                now,
                self.machine.id,
                self.model.born,
                {str(sidecar): work for sidecar, work in self.model.fell_by.items()},
            )
        )
        for ask in list(self._jobs.values()):
            ask.job = None
            self._settle(ask, ServerOutcome.DISCONNECTED)
        self._jobs.clear()

    def _report(self) -> bytes:
        return msgspec.json.encode({"inflight": len(self.model.running), "queue": len(self.model.waiting), "qps": 0})

    def look(self) -> None:
        """A line on what it holds now."""
        self.shared.write(
            LoadSample(self.shared.clock(), self.machine.id, self.model.held, self.model.connections, self.made)
        )

    # ------------------------------------------------------------ time

    def _plan(self) -> None:
        self._plan_timer(self.model.due() if self.running else inf)

    def _plan_timer(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._due = due
        if due < inf:
            self._timer = asyncio.get_running_loop().call_later(max(0.0, due - self.shared.clock()), self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.shared.timer_lag.add(self.shared.clock() - self._due)
        self.advance()
        self._plan()


@dataclass(slots=True, eq=False)
class Ask:
    """One request on its way through a server."""

    door: Door
    attempt: ServerAttempt
    method: str
    path: str
    cls: str
    left: float
    sound: bool
    job: Job | None = None
    spoil: bool = False
    settled: bool = False


class Door(asyncio.Protocol):
    """One connection to a pledge server: it carries one request at a time."""

    def __init__(self, host: Host, sidecar: int) -> None:
        self.host = host
        self.sidecar = sidecar
        self.ask: Ask | None = None
        self.counted = False
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._first = -1.0
        self._used = False
        self._open = False
        self._url = b""
        self._headers: dict[str, str] = {}
        self._idle: asyncio.TimerHandle | None = None

    # ------------------------------------------------------------ asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = transport
        self._open = True
        if not self.host.running:
            self.reset()
            return
        self.host.opened(self)
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        if self._open:
            self._open = False
            self.host.closed(self)
        if self._idle is not None:
            self._idle.cancel()

    def eof_received(self) -> bool:
        """The sidecar gave up its attempt."""
        return False

    def data_received(self, data: bytes) -> None:
        """Bytes of a request."""
        if self.host.faults.cut:
            return
        if self._first < 0:
            self._first = self.host.shared.clock()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            shared = self.host.shared
            shared.write(UnknownRequest(shared.clock(), self.host.machine.id, self.sidecar, f"unreadable: {error}"))
            self.reset()

    # ------------------------------------------------------------ httptools' side

    def on_message_begin(self) -> None:
        """A head begins."""
        self._url, self._headers = b"", {}

    def on_url(self, url: bytes) -> None:
        """Part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """The last byte has come."""
        shared, headers = self.host.shared, self._headers
        if self.ask is not None:
            shared.write(UnknownRequest(shared.clock(), self.host.machine.id, self.sidecar, "two requests at once"))
            self.reset()
            return
        path = self._url.decode("latin-1").partition("?")[0]
        try:
            left = float(headers.get("x-time-left", "inf"))
        except ValueError:
            left = inf
        attempt = ServerAttempt(
            headers.get("x-correlation-id", ""),
            self.host.machine.id,
            self.host.machine.zone,
            self.sidecar,
            self._first,
            shared.clock(),
            idempotency_key=headers.get("idempotency-key", ""),
            on_new_connection=not self._used,
        )
        method = self._parser.get_method().decode()
        cls = path.lstrip("/").partition("/")[0]
        sound = shared.methods.get(cls) == method and (cls not in shared.key_ttl or bool(attempt.idempotency_key))
        ask = Ask(self, attempt, method, path, cls, left, sound)
        if path not in ("/ping", "/_load"):
            self.ask = ask
        one_way = self.host.one_way(self.sidecar)
        delay = one_way + (2 * one_way * shared.trips if not self._used else 0.0)
        self._first, self._used = -1.0, True
        self._later(delay, self._arrive, ask)

    def _arrive(self, ask: Ask) -> None:
        if self._open and self.host.running and not self.host.faults.cut:
            self.host.arrived(self, ask)

    def _later(self, delay: float, work: Callable[..., None], *values: Any) -> None:
        if delay < LEAST_DELAY_S:
            work(*values)
        else:
            asyncio.get_running_loop().call_later(delay, work, *values)

    # ------------------------------------------------------------ what it sends

    def answer(self, status: int, body: bytes, *, unprocessed: bool = False, slow: float = 0.0) -> None:
        """A whole answer, after the way back."""
        self.ask = None
        mark = "X-Unprocessed: 1\r\n" if unprocessed else ""
        data = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{mark}\r\n".encode() + body
        one_way = self.host.one_way(self.sidecar)
        if slow <= 0:
            self._later(one_way, self._write, data)
            return
        size = -(-len(data) // PARTS)
        for turn in range(PARTS):
            self._later(one_way + turn * slow / PARTS, self._write, data[turn * size : (turn + 1) * size])

    def spoil(self, data: bytes) -> None:
        """Something that is no good answer; the connection stays open and is of no further use."""
        self.ask = None
        self._later(self.host.one_way(self.sidecar), self._write, data)

    def reset(self) -> None:
        """End the connection with a reset."""
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._transport.abort()

    def _write(self, data: bytes) -> None:
        if self._open and not self.host.faults.cut:
            self._transport.write(data)
            self._rest()

    def _rest(self) -> None:
        """A connection that stays idle for long is closed."""
        if self._idle is not None:
            self._idle.cancel()
        self._idle = asyncio.get_running_loop().call_later(self.host.shared.idle_s, self._tired)

    def _tired(self) -> None:
        if self._open and self.ask is None:
            self._transport.close()
