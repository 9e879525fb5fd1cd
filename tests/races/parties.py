"""The parties round the network code, played by tasks of its own hub: an event is held back until the test lets it go.

A test is one task, ``script``; nothing in it guesses at a time.  What must come is waited for; a step that does not
come within ``PATIENCE_NS`` fails the test.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import ujson

from lugtally import balancing
from lugtally.address import Address
from lugtally.discovery.watcher import EndpointWatcher
from lugtally.dispatch import Dispatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import READABLE, EventLoop, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import ConnectionLimits, UpstreamPool
from tests.integration.player import listener

PATIENCE_NS = 10_000 * NS_PER_MS
CLASSES = (
    balancing.RequestClass(
        "read", balancing.Idempotency.IDEMPOTENT, balancing.DeduplicationScope.ALL, 0, 2 * NS_PER_S, 8 * NS_PER_S
    ),
    balancing.RequestClass(
        "write",
        balancing.Idempotency.IDEMPOTENCY_KEY,
        balancing.DeduplicationScope.ALL,
        4 * NS_PER_S,
        2 * NS_PER_S,
        8 * NS_PER_S,
    ),
    balancing.RequestClass(
        "once", balancing.Idempotency.NON_IDEMPOTENT, balancing.DeduplicationScope.ALL, 0, 2 * NS_PER_S, 8 * NS_PER_S
    ),
)


class Scripted:
    """In the place of the module: it remembers what it was told, and does what ``orders`` says about an event."""

    def __init__(self) -> None:
        self.told: list[balancing.Event] = []
        self.orders: Callable[[balancing.Event], list[balancing.Action]] = lambda _: []
        self.allowed = True

    def handle(self, now: int, event: balancing.Event) -> list[balancing.Action]:
        self.told.append(event)
        return self.orders(event)

    def may_start(self, now: int, id: str, attempt: int) -> bool:
        """What the module says right before the bytes of an attempt go out."""
        return self.allowed

    def lists(self) -> list[tuple[str, dict[int, str]]]:
        """What it was told of the list: the kind, and the states by server."""
        return [
            (e.kind.value, {s.id: s.state.value for s in e.endpoints})
            for e in self.told
            if isinstance(e, balancing.EndpointUpdate)
        ]

    def results(self) -> list[balancing.AttemptResult]:
        """How attempts ended."""
        return [e.result for e in self.told if isinstance(e, balancing.AttemptFinished)]


class Link:
    """The far end of one connection."""

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self.loop, self.sock = loop, sock
        sock.setblocking(False)
        self.got = b""

    def read(self) -> bytes:
        """What has come, waited for; empty where the connection has ended, even by a reset."""
        assert self.loop.wait(self.sock.fileno(), READABLE, self.loop.now() + PATIENCE_NS) is WakeReason.READY, (
            "nothing came"
        )
        try:
            return self.sock.recv(65536)
        except ConnectionResetError:
            return b""

    def read_on(self) -> bool:
        """Wait for more; false where the connection has ended instead."""
        data = self.read()
        self.got += data
        return bool(data)

    def head(self) -> str:
        """The first line of the next message without a body."""
        while b"\r\n\r\n" not in self.got:
            assert self.read_on(), "the connection ended"
        head, _, self.got = self.got.partition(b"\r\n\r\n")
        return head.partition(b"\r\n")[0].decode()

    def all(self) -> bytes:
        """Everything until the connection ends."""
        got = self.got
        while data := self.read():
            got += data
        return got

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def answer(self, body: bytes = b"ok", status: str = "200 OK") -> None:
        self.send(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status.encode(), len(body)) + body)

    def list(self, version: int, full: bool, *rows: dict[str, Any]) -> None:
        """Answer as discovery does, indented."""
        self.answer(ujson.dumps({"version": version, "full": full, "servers": rows}, indent=2).encode())


class Party:
    """Somebody who listens: a pledge server or discovery."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.sock = listener()
        self.sock.setblocking(False)

    @property
    def address(self) -> Address:
        host, port = self.sock.getsockname()
        return Address(host, port)

    def link(self) -> Link:
        """The next connection that comes."""
        assert self.loop.wait(self.sock.fileno(), READABLE, self.loop.now() + PATIENCE_NS) is WakeReason.READY, (
            "nobody came"
        )
        return Link(self.loop, self.sock.accept()[0])

    def idle(self) -> bool:
        """Whether nobody has come, as far as the system knows by now."""
        try:
            self.sock.accept()[0].close()
        except BlockingIOError:
            return True
        return False


class Sidecar:
    """The network code round a scripted module (or the real one), with one party of each kind."""

    def __init__(self, module: Any = None, *, most: int = 64) -> None:
        self.loop = EventLoop()
        self.module = module or Scripted()
        settings = balancing.Settings(CLASSES, max_attempts=4)
        self.dispatcher = Dispatcher(settings, 1, self.loop, lambda *_: self.module)
        self.limits = ConnectionLimits(2000 * NS_PER_MS, 60_000 * NS_PER_MS, 64)
        self.upstream = UpstreamPool(self.loop, self.limits, ())
        self.discovery, self.second = Party(self.loop), Party(self.loop)
        self.server = Party(self.loop)
        self.watch = EndpointWatcher(self.loop, self.dispatcher, self.upstream, self.discovery.address, ("a",))
        self.dispatcher.set_handlers(self.upstream.close_idle_connections, self.watch.watch)
        self.downstream = DownstreamServer(self.loop, self.dispatcher, self.upstream, CLASSES, most)
        self.stopped = False

    def row(self, name: str, state: str = "ready", **more: Any) -> dict[str, Any]:
        """One row of a list; every server is the one that listens here."""
        host, port = self.server.address
        return {"id": name, "addr": f"{host}:{port}", "zone": "a", "cell": 1, "state": state, "started_ms": 0, **more}

    def listen(self) -> Address:
        """Accept clients; returns where."""
        self.downstream.listen(Address("127.0.0.1", 0))
        assert self.downstream._listener is not None
        host, port = self.downstream._listener.getsockname()
        return Address(host, port)

    def client(self, where: Address) -> Link:
        """A new connection of the application's."""
        return Link(self.loop, socket.create_connection(where))

    def until(self, done: Callable[[], bool]) -> None:
        """Let the other tasks go on until something holds."""
        late = self.loop.now() + PATIENCE_NS
        while not done():
            assert self.loop.now() < late, "it never came to that"
            self.loop.sleep(NS_PER_MS)

    def play(self, script: Callable[[], None]) -> None:
        """Run the script as a task until it ends; the hub may stop before, where the sidecar ends itself."""
        failed: list[BaseException] = []

        def body() -> None:
            try:
                script()
            except BaseException as error:
                failed.append(error)
            finally:
                self.stopped = True
                self.loop.stop()

        self.loop.spawn(body)
        self.loop.run(self.dispatcher.run_due_timers)
        for party in (self.discovery, self.second, self.server):
            party.sock.close()
        if failed:
            raise failed[0]
        assert self.stopped, "the hub stopped before the script was over"


def request(path: str, id: str = "r1", *, method: str = "GET", more: str = "", left: str = "5.000") -> bytes:
    """A sound request."""
    return (
        f"{method} /{path} HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\n{more}\r\n"
    ).encode()
