"""What the exchanges cannot show: the table of endings, two steps at once, bad configuration, the clocks."""

from __future__ import annotations

import gc
import json
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from lugtally import balancing, dispatch
from lugtally.address import Address
from lugtally.balancing.balancer import Balancer
from lugtally.config import sidecar as config
from lugtally.config.endpoint_list import endpoint_id_of, parse_endpoint_list
from lugtally.discovery.watcher import EndpointWatcher
from lugtally.dispatch import dispatcher
from lugtally.dispatch.attempt_outcome import ATTEMPT_RESULTS, AttemptOutcome
from lugtally.downstream.server import DownstreamConnection, DownstreamServer
from lugtally.eventloop import Event, EventLoop, WakeReason
from lugtally.http1 import ForwardedRequest, Message
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import SETTLE_NS, ConnectionLimits, UpstreamPool, safe_idle_timeout_ns
from tests.integration.player import ROOT, Player, listener


def test_every_ending_has_a_result_and_only_unsent_ones_never_ran() -> None:
    never = {ending for ending in AttemptOutcome if ATTEMPT_RESULTS[ending] in balancing.NOT_PROCESSED}
    assert never == {
        AttemptOutcome.REJECTED,
        AttemptOutcome.CONNECTION_REFUSED,
        AttemptOutcome.CONNECT_TIMEOUT,
        AttemptOutcome.NO_DESCRIPTOR,
        AttemptOutcome.RESET_BEFORE_SENT,
        AttemptOutcome.TIMEOUT_BEFORE_SENT,
        AttemptOutcome.CANCELLED_BEFORE_SENT,
    }


class Scripted:
    """In the place of the module: a request starts two steps; it remembers what it was told."""

    def __init__(self) -> None:
        self.told: list[balancing.Event] = []

    def handle(self, now: int, event: balancing.Event) -> list[balancing.Action]:
        """Two steps for a request, and nothing else."""
        self.told.append(event)
        if isinstance(event, balancing.Request) and event.class_index == 0:
            return [
                balancing.SendAttempt(event.id, 7, NS_PER_MS),
                balancing.CloseIdleConnections(9),
                balancing.SendAttempt(event.id, 8, NS_PER_MS),
            ]
        return []


@pytest.fixture
def scripted(monkeypatch: pytest.MonkeyPatch) -> Iterator[Scripted]:
    module = Scripted()
    monkeypatch.setattr(dispatcher, "Balancer", lambda *_: module)
    yield module


def run(loop: EventLoop, work: Any, downstream: dispatch.Dispatcher) -> None:
    """Run ``work`` as a task until it is done."""

    def body() -> None:
        try:
            work()
        finally:
            loop.stop()  # a failed check must fail the test, not hang it

    loop.spawn(body)
    loop.run(downstream.run_due_timers)


def test_first_served_step_wins_and_the_other_is_cancelled(scripted: Scripted) -> None:
    loop = EventLoop()
    downstream = dispatch.Dispatcher(balancing.Settings(), 1, loop)
    cancelled: list[int] = []
    closed: list[int] = []
    downstream.set_handlers(closed.append, lambda: None)

    def work() -> None:
        ask = dispatch.PendingRequest(loop, 0, loop.now() + 5000 * NS_PER_MS, False, cancelled.append)
        first, second = downstream.next_decision(ask), downstream.next_decision(ask)
        assert isinstance(first, dispatch.StartAttempt) and isinstance(second, dispatch.StartAttempt)
        downstream.attempt_finished(ask, 1, AttemptOutcome.SERVED)
        assert isinstance(downstream.next_decision(ask), dispatch.Finished) and cancelled == [0] and closed == [9]
        downstream.attempt_finished(ask, 0, AttemptOutcome.CANCELLED)
        downstream.client_disconnected(ask)  # too late to mean anything

    run(loop, work, downstream)
    ends = [
        (e.result, e.request_finished, e.endpoint_id) for e in scripted.told if isinstance(e, balancing.AttemptFinished)
    ]
    assert ends == [(balancing.AttemptResult.OK, True, 8), (balancing.AttemptResult.CANCELLED, True, 7)]
    assert not any(isinstance(e, balancing.ClientDisconnected) for e in scripted.told)


def test_a_request_without_a_verdict_fails_at_its_deadline(scripted: Scripted) -> None:
    """A fault in the module must not cost the one final answer."""
    loop = EventLoop()
    downstream = dispatch.Dispatcher(balancing.Settings(), 1, loop)
    verdicts: list[dispatch.Decision] = []
    run(
        loop,
        lambda: verdicts.append(
            downstream.next_decision(
                dispatch.PendingRequest(loop, 1, loop.now() + 5 * NS_PER_MS, False, lambda _: None)
            )
        ),
        downstream,
    )
    assert verdicts == [dispatch.Failed()]


def test_an_interrupted_task_does_not_block_again() -> None:
    loop = EventLoop()
    seen: list[WakeReason] = []

    def victim() -> None:
        seen.extend([loop.sleep(60_000 * NS_PER_MS), loop.sleep(60_000 * NS_PER_MS)])
        loop.stop()

    task = loop.spawn(victim)
    loop.spawn(lambda: loop.interrupt(task))
    loop.run(lambda: None)
    assert seen == [WakeReason.INTERRUPTED, WakeReason.INTERRUPTED]


def test_a_task_interrupted_as_it_becomes_ready_is_interrupted() -> None:
    """A step called off just as its connection came up used to write its request all the same."""
    loop = EventLoop()
    seen: list[WakeReason] = []
    signal = Event(loop)

    def victim() -> None:
        seen.append(signal.wait())
        loop.stop()

    def other() -> None:
        signal.set()
        loop.interrupt(task)

    task = loop.spawn(victim)
    loop.spawn(other)
    loop.run(lambda: None)
    assert seen == [WakeReason.INTERRUPTED]


def test_a_step_is_not_written_after_its_time() -> None:
    loop = EventLoop()
    server = listener()
    upstream = UpstreamPool(loop, ConnectionLimits(1000 * NS_PER_MS, 1000 * NS_PER_MS, 9), ())
    upstream.set_address(1, server.getsockname())
    ends: list[AttemptOutcome] = []

    def step() -> None:
        ends.append(upstream.execute_attempt(1, ForwardedRequest(Message("GET", "/")), loop.now())[0])
        loop.stop()

    loop.spawn(step)
    loop.run(lambda: None)
    server.close()
    assert ends == [AttemptOutcome.TIMEOUT_BEFORE_SENT] and upstream.open_connections == 0


@pytest.mark.parametrize(
    "event, ending",
    [
        ("reset", AttemptOutcome.RESET_BEFORE_SENT),
        ("interrupt", AttemptOutcome.CANCELLED_BEFORE_SENT),
        ("time", AttemptOutcome.TIMEOUT_BEFORE_SENT),
    ],
)
def test_a_request_not_wholly_written_never_ran(event: str, ending: AttemptOutcome) -> None:
    """Nobody reads a request that is larger than any socket's buffer, until something ends the writing."""
    loop = EventLoop()
    server = listener()
    upstream = UpstreamPool(loop, ConnectionLimits(60_000 * NS_PER_MS, 60_000 * NS_PER_MS, 1), ())
    upstream.set_address(1, server.getsockname())
    forward = ForwardedRequest(Message("POST", "/", body=bytes(64 * 1024 * 1024)))
    ends: list[AttemptOutcome] = []

    def step() -> None:
        until = loop.now() + (200 if event == "time" else 60_000) * NS_PER_MS
        ends.append(upstream.execute_attempt(1, forward, until)[0])
        loop.stop()

    def other() -> None:
        peer, _ = server.accept()
        loop.sleep(50 * NS_PER_MS)
        ends.append(upstream.execute_attempt(1, forward, loop.now() + NS_PER_MS)[0])
        if event == "interrupt":
            loop.interrupt(task)
        elif event == "reset":
            peer.close()  # over unread bytes: a reset
        loop.sleep(60_000 * NS_PER_MS)
        peer.close()

    task = loop.spawn(step)
    loop.spawn(other)
    loop.run(lambda: None)
    server.close()
    assert ends == [AttemptOutcome.NO_DESCRIPTOR, ending] and upstream.open_connections == 0


def test_repeats_leave_a_connection_time_to_come_up(tmp_path: Path) -> None:
    """The keyed window is counted from send to send; the module's margin was a tick of the simulator."""
    player = Player(tmp_path)
    (tmp_path / "config.json").write_text(json.dumps(player.config()))
    player.end()
    told = config.load({}, str(tmp_path / "config.json"))
    assert (
        told.settings.timer_resolution_ns == told.connect_timeout_ns == 150 * NS_PER_MS
        and told.settings.subscribe_to_endpoints
    )


def test_a_fault_in_one_task_leaves_the_others_running() -> None:
    loop = EventLoop()
    loop.spawn(int, "no number")
    loop.spawn(loop.stop)
    loop.run(lambda: None)


def test_a_fault_while_answering_still_gives_one_answer() -> None:
    """It used to close the front socket without a word: the request was taken and lost."""
    loop = EventLoop()
    downstream = DownstreamServer(loop, Any, Any, (), 9)  # type: ignore[arg-type]
    downstream._respond = lambda *_: 1 / 0  # type: ignore[method-assign,assignment]
    server = listener()
    client = socket.create_connection(server.getsockname())
    ours, _ = server.accept()
    ours.setblocking(False)
    client.sendall(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")

    def serve() -> None:
        try:
            downstream._handle_connection(DownstreamConnection(ours, loop))
        finally:
            loop.stop()

    loop.spawn(serve)
    loop.run(lambda: None)
    assert client.recv(4096).startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
    client.close()
    server.close()


def test_start_times_are_converted_once(scripted: Scripted, monkeypatch: pytest.MonkeyPatch) -> None:
    """A step of the wall clock used to look like a restart: a warm server would have turned cold."""
    loop = EventLoop()
    downstream = dispatch.Dispatcher(balancing.Settings(), 1, loop)
    pool = EndpointWatcher(
        loop,
        downstream,
        UpstreamPool(loop, ConnectionLimits(NS_PER_MS, NS_PER_MS, 9), ()),
        Address("127.0.0.1", 9),
        ("a",),
    )
    lately = loop.wall_clock() // NS_PER_MS - 700
    raw = {
        "version": 1,
        "full": True,
        "servers": [
            {"id": "s-1", "addr": "127.0.0.1:1", "zone": "b", "state": "ready", "started_ms": lately},
            {"id": "s-2", "addr": "127.0.0.1:2", "zone": "a", "state": "draining", "started_ms": 0},
        ],
    }
    run(loop, lambda: pool.start(parse_endpoint_list(raw, "known")), downstream)
    monkeypatch.setattr(EventLoop, "wall_clock", staticmethod(lambda: 5))
    pool._apply_update(parse_endpoint_list(raw, "known"), balancing.EndpointUpdateKind.FULL)
    lists = [e.endpoints for e in scripted.told if isinstance(e, balancing.EndpointUpdate)]
    assert lists[0] == lists[1] and pool.ready_count == 1
    assert [(s.id, s.zone, s.state) for s in lists[0]] == [
        (endpoint_id_of("s-1"), 1, balancing.EndpointState.READY),
        (endpoint_id_of("s-2"), 0, balancing.EndpointState.DRAINING),
    ]
    assert 0 < loop.now() - lists[0][0].started_ns < 60_000 * NS_PER_MS and lists[0][1].started_ns == 0


def test_nothing_is_kept_of_servers_that_are_gone(scripted: Scripted) -> None:
    """On a long day thousands of ids come and go, and an address may return under a new one."""
    loop = EventLoop()
    downstream = dispatch.Dispatcher(balancing.Settings(), 1, loop)
    upstream = UpstreamPool(loop, ConnectionLimits(NS_PER_MS, NS_PER_MS, 9), ())
    pool = EndpointWatcher(loop, downstream, upstream, Address("127.0.0.1", 9), ("a",))
    module = Balancer(balancing.Settings(), 1)
    for n in range(1, 40):
        rows = [
            {"id": f"s-{at}", "addr": "127.0.0.1:1", "zone": "a", "state": state, "started_ms": 1000 * at}
            for at, state in ((n, "ready"), (n - 1, "gone"))
        ]
        kind = balancing.EndpointUpdateKind.FULL if n % 9 == 0 else balancing.EndpointUpdateKind.DELTA
        pool._apply_update(parse_endpoint_list({"version": n, "servers": rows}, "list"), kind)
        module.handle(n, scripted.told[-1])
    assert [len(table) for table in (pool._endpoints, pool._start_times._converted, upstream._addresses)] == [1, 1, 1]
    assert len(module.state.endpoints) == 1


@pytest.mark.parametrize("gap", [0.0, 0.01])
def test_bytes_behind_an_answer_are_no_answer_to_the_next_request(gap: float) -> None:
    """A second copy that comes a moment after the answer used to be served to whoever asked next."""
    loop = EventLoop()
    server = listener()
    upstream = UpstreamPool(loop, ConnectionLimits(1000 * NS_PER_MS, 60_000 * NS_PER_MS, 9), ())
    upstream.set_address(1, server.getsockname())
    bodies: list[bytes] = []

    def peer() -> None:
        for body in (b"1", b"2"):
            loop.wait(server.fileno(), 1)
            link, _ = server.accept()
            loop.wait(link.fileno(), 1)
            link.recv(4096)
            link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)
            loop.sleep(int(SETTLE_NS / 5))
            link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)

    def step() -> None:
        for _ in range(2):
            answer = upstream.execute_attempt(1, ForwardedRequest(Message("GET", "/")), loop.now() + 5000 * NS_PER_MS)[
                1
            ]
            bodies.append(answer.body if answer is not None else b"")
            loop.sleep(int(gap * 1e9))
        loop.stop()

    loop.spawn(peer)
    loop.spawn(step)
    loop.run(lambda: None)
    server.close()
    assert bodies == [b"1", b"2"]


def test_a_connection_near_its_idle_time_is_not_used_again() -> None:
    """Idle ones were closed once a second only, so that requests crossed the other side's closing."""
    loop = EventLoop()
    server = listener()
    upstream = UpstreamPool(loop, ConnectionLimits(1000 * NS_PER_MS, safe_idle_timeout_ns(50 * NS_PER_MS), 9), ())
    upstream.set_address(1, server.getsockname())
    accepted: list[socket.socket] = []
    ends: list[AttemptOutcome] = []

    def peer() -> None:
        for _ in range(2):
            loop.wait(server.fileno(), 1)
            accepted.append(server.accept()[0])
            loop.wait(accepted[-1].fileno(), 1)
            accepted[-1].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def step() -> None:
        for _ in range(2):
            ends.append(
                upstream.execute_attempt(1, ForwardedRequest(Message("GET", "/")), loop.now() + 5000 * NS_PER_MS)[0]
            )
            loop.sleep(60 * NS_PER_MS)
        loop.stop()

    loop.spawn(peer)
    loop.spawn(step)
    loop.run(lambda: None)
    server.close()
    assert len(accepted) == 2 and ends == [AttemptOutcome.SERVED] * 2


@pytest.mark.parametrize(
    "text",
    ["", "[]", "{}", '{"queue":"x"}', '{"queue":1e999}', '{"queue":-1}', '{"queue":' + "9" * 400 + "}", "[" * 5000],
)
def test_a_load_report_that_cannot_be_read_is_none(text: str) -> None:
    upstream = UpstreamPool(EventLoop(), ConnectionLimits(NS_PER_MS, NS_PER_MS, 9), ("queue",))
    assert upstream.load_report(Message(header_map={"x-backend-load": text})) is None
    assert upstream.load_report(Message(header_map={"x-backend-load": '{"queue":2}'})) == (2.0,)


def command_line(folder: Path, change: dict[str, Any], command: str) -> subprocess.CompletedProcess[str]:
    """Run a sub-command that ends by itself, under a changed configuration."""
    player = Player(folder)
    path = folder / "config.json"
    path.write_text(json.dumps({**player.config(), **change}))
    player.end()
    return subprocess.run(
        [sys.executable, "-B", "-m", "lugtally", command],
        cwd=ROOT,
        text=True,
        check=False,
        capture_output=True,
        env={"PROXY_CONFIG": str(path)},
    )


@pytest.mark.parametrize(
    "change, field",
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": "host.example:80"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"settings": {"grades": []}}, "settings.grades"),
        ({"settings": {"grades": [{"effect": "twice"}]}}, "settings: effect"),
        ({"settings": {"grades": [{"slo_ns": "soon"}]}}, "settings: slo_ns"),
        ({"settings": {"grades": [{}], "accounts": ["a"]}}, "settings: accounts"),
        ({"settings": {"grades": [{}], "accounts": [{"quota_per_s": "many"}]}}, "settings: quota_per_s"),
        ({"known": {"version": 1, "servers": [{"id": "s", "state": "ready", "addr": 4}]}}, "known.servers[0].addr"),
        ({"known": {"servers": []}}, "known.version"),
    ],
)
def test_bad_configuration_is_one_line(change: dict[str, Any], field: str, tmp_path: Path) -> None:
    for command in ("check-config", "serve"):
        done = command_line(tmp_path, change, command)
        assert done.returncode == 2 and done.stdout == ""
        assert done.stderr.startswith(f"lugtally: {field}: ") and done.stderr.count("\n") == 1


def test_version_and_a_sound_configuration(tmp_path: Path) -> None:
    for command, text in (("version", "lugtally 0."), ("check-config", "n1: 3 classes, 1 known")):
        done = command_line(tmp_path, {}, command)
        assert done.returncode == 0 and done.stdout.startswith(text)


def test_waits_that_end_early_leave_no_timers() -> None:
    """At thousands of requests a second with deadlines of 8 s, dead timers held 15 MB."""
    loop = EventLoop()
    signal = Event(loop)
    woken: list[WakeReason] = []

    def work() -> None:
        for _ in range(20_000):
            signal.set()
            signal.wait(loop.now() + 8_000 * NS_PER_MS)  # passes at once
            loop.spawn(signal.set)
            assert signal.wait(loop.now() + 8_000 * NS_PER_MS) is WakeReason.READY
        woken.append(signal.wait(loop.now() + 2 * NS_PER_MS))
        loop.stop()

    loop.spawn(work)
    loop.run(lambda: None)
    assert woken == [WakeReason.TIMEOUT], "a timer that counts was cleared as well"
    assert len(loop._timers) < 1000


def test_requests_leave_nothing_for_the_collector() -> None:
    """Each request held itself in a ring of 13 objects: memory and pauses grew with the rate."""
    loop = EventLoop()
    cls = balancing.RequestClass(
        "campaign-read",
        balancing.Idempotency.IDEMPOTENT,
        balancing.DeduplicationScope.ALL,
        0,
        2 * NS_PER_S,
        8 * NS_PER_S,
    )
    front_facade = dispatch.Dispatcher(balancing.Settings((cls,), max_attempts=4), 1, loop)
    upstream = UpstreamPool(loop, ConnectionLimits(1000 * NS_PER_MS, 60_000 * NS_PER_MS, 9), ())
    pool = EndpointWatcher(loop, front_facade, upstream, Address("127.0.0.1", 9), ("a",))
    front_facade.set_handlers(upstream.close_idle_connections, lambda: None)
    downstream = DownstreamServer(loop, front_facade, upstream, (cls,), 9)
    downstream.listen(Address("127.0.0.1", 0))
    assert downstream._listener is not None
    where = downstream._listener.getsockname()
    server = listener()
    host, port = server.getsockname()
    pool.start(
        parse_endpoint_list(
            {
                "version": 1,
                "full": True,
                "servers": [{"id": "s", "addr": f"{host}:{port}", "zone": "a", "state": "ready"}],
            },
            "known",
        )
    )
    left: list[int] = []

    def serve() -> None:
        loop.wait(server.fileno(), 1)
        link, _ = server.accept()
        while loop.wait(link.fileno(), 1) is WakeReason.READY and link.recv(4096):
            link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")

    def ask() -> None:
        with socket.create_connection(where) as link:
            for turn in range(120):
                link.sendall(b"GET /campaign-read HTTP/1.1\r\nX-Correlation-Id: r%d\r\n\r\n" % turn)
                loop.wait(link.fileno(), 1)
                assert b"200 OK" in link.recv(4096)
                if turn == 19:
                    gc.collect()
                    gc.disable()
        left.append(gc.collect())
        loop.stop()

    loop.spawn(serve)
    loop.spawn(ask)
    try:
        loop.run(front_facade.run_due_timers)
    finally:
        gc.enable()
        server.close()
    assert left and left[0] < 100, "100 requests"


def test_the_front_tells_the_module_whose_request_it_is(scripted: Scripted) -> None:
    """The account reached no decision: all requests passed for those of the first tenant."""
    loop = EventLoop()
    middle = dispatch.Dispatcher(balancing.Settings(), 1, loop)
    classes = (
        balancing.RequestClass("first", deadline_ns=50 * NS_PER_MS),
        balancing.RequestClass("second", deadline_ns=50 * NS_PER_MS),
    )
    downstream = DownstreamServer(
        loop,
        middle,
        UpstreamPool(loop, ConnectionLimits(NS_PER_MS, NS_PER_MS, 9), ()),
        classes,
        8,
        (balancing.Tenant("a"), balancing.Tenant("b")),
    )
    downstream.listen(Address("127.0.0.1", 0))
    assert downstream._listener is not None
    where = downstream._listener.getsockname()

    def ask() -> None:
        for at, account in enumerate(("X-Account: b", "X-Account: a", "X-Account: nobody", "X-Other: b")):
            with socket.create_connection(where) as link:
                link.sendall(f"GET /second HTTP/1.1\r\nX-Correlation-Id: r{at}\r\n{account}\r\n\r\n".encode())
                loop.wait(link.fileno(), 1)
                assert b"502" in link.recv(4096)
        loop.stop()

    loop.spawn(ask)
    loop.run(middle.run_due_timers)
    assert [e.tenant_index for e in scripted.told if isinstance(e, balancing.Request)] == [
        1,
        0,
        dispatch.UNKNOWN_TENANT,
        dispatch.UNKNOWN_TENANT,
    ]


@pytest.mark.parametrize("text", ["x", "-1", "7.0", "99"])
def test_a_bad_inherited_descriptor_is_one_line(text: str, tmp_path: Path) -> None:
    player = Player(tmp_path)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(player.config()))
    player.end()
    done = subprocess.run(
        [sys.executable, "-B", "-m", "lugtally", "serve"],
        cwd=ROOT,
        text=True,
        check=False,
        capture_output=True,
        env={"PROXY_CONFIG": str(path), "PROXY_SOCKET_FD": text},
    )
    assert done.returncode == 2 and done.stdout == ""
    assert done.stderr.startswith("lugtally: PROXY_SOCKET_FD: ") and done.stderr.count("\n") == 1


def test_only_a_listening_tcp_socket_is_adopted() -> None:
    loop = EventLoop()
    downstream = DownstreamServer(
        loop,
        dispatch.Dispatcher(config_settings(), 1, loop),
        UpstreamPool(loop, ConnectionLimits(NS_PER_MS, NS_PER_MS, 9), ()),
        (),
        8,
    )
    for sock in (socket.socket(), socket.socket(type=socket.SOCK_DGRAM), *socket.socketpair()):
        with sock:
            with pytest.raises(ValueError, match="PROXY_SOCKET_FD: .* no listening TCP socket"):
                downstream.adopt(sock.fileno())
            os.fstat(sock.fileno())  # a refused descriptor is not closed behind its owner
    with listener() as held:
        downstream.adopt(held.fileno())
        assert downstream._listener is not None and downstream._listener.fileno() == held.fileno()
        downstream._listener.detach()


def config_settings() -> balancing.Settings:
    from lugtally.config.balancing_settings import read_settings
    from tests.integration.player import SETTINGS

    return read_settings(SETTINGS)


def test_a_streamed_step_alone_ends_its_request(scripted: Scripted) -> None:
    """Once a step passes its answer on, no other step's answer and no verdict of the module may follow."""
    loop = EventLoop()
    downstream = dispatch.Dispatcher(balancing.Settings(), 1, loop)
    cancelled: list[int] = []
    verdicts: list[dispatch.Decision] = []

    def work() -> None:
        ask = dispatch.PendingRequest(loop, 0, loop.now() + 5 * NS_PER_MS, False, cancelled.append)
        downstream.next_decision(ask), downstream.next_decision(ask)
        assert (
            downstream.claim_stream(ask, 1)
            and not downstream.claim_stream(ask, 0)
            and not downstream.claim_stream(ask, 1)
        )
        downstream.attempt_finished(ask, 0, AttemptOutcome.SERVED)  # the other step's whole answer comes too late
        downstream._perform(loop.now(), balancing.FailRequest(ask.id))  # and so does the module's verdict
        loop.sleep(30 * NS_PER_MS)  # past the deadline and the backstop
        assert not ask.finished
        downstream.attempt_finished(ask, 1, AttemptOutcome.RESET)
        verdicts.append(downstream.next_decision(ask))

    run(loop, work, downstream)
    assert verdicts == [dispatch.Failed()]
    assert [
        type(e).__name__ for e in scripted.told if isinstance(e, (balancing.ResponseStarted, balancing.AttemptFinished))
    ] == [
        "ResponseStarted",
        "AttemptFinished",
        "AttemptFinished",
    ]
    assert [e.request_finished for e in scripted.told if isinstance(e, balancing.AttemptFinished)] == [False, True]
