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

from lugtally import api, facade
from lugtally.config import sidecar as config
from lugtally.config.server_list import number_of, read_list
from lugtally.decide import Balancer
from lugtally.ending import RESULTS, Ending
from lugtally.hub.scheduler import MS, Hub, Signal, Woken
from lugtally.net.destination import SETTLE_NS, Destinations, Limits, idle_limit
from lugtally.net.front import Front, FrontSocket
from lugtally.net.http1 import Forward, Message
from lugtally.net.server_list import ListWatch
from tests.player import ROOT, Player, listener


def test_every_ending_has_a_result_and_only_unsent_ones_never_ran() -> None:
    never = {ending for ending in Ending if RESULTS[ending] in api.NEVER_RAN}
    assert never == {
        Ending.TURNED_AWAY,
        Ending.REFUSED,
        Ending.CONNECT_SLOW,
        Ending.NO_SOCKET,
        Ending.BROKEN_UNSENT,
        Ending.TIMED_OUT_UNSENT,
        Ending.CANCELLED_UNSENT,
    }


class Scripted:
    """In the place of the module: a request starts two steps; it remembers what it was told."""

    def __init__(self) -> None:
        self.told: list[api.Event] = []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Two steps for a request, and nothing else."""
        self.told.append(event)
        if isinstance(event, api.Request) and event.cls == 0:
            return [api.Send(event.id, 7, MS), api.CloseIdle(9), api.Send(event.id, 8, MS)]
        return []


@pytest.fixture
def scripted(monkeypatch: pytest.MonkeyPatch) -> Iterator[Scripted]:
    module = Scripted()
    monkeypatch.setattr(facade, "Balancer", lambda *_: module)
    yield module


def run(hub: Hub, work: Any, front: facade.Facade) -> None:
    """Run ``work`` as a task until it is done."""

    def body() -> None:
        try:
            work()
        finally:
            hub.stop()  # a failed check must fail the test, not hang it

    hub.spawn(body)
    hub.run(front.tick)


def test_first_served_step_wins_and_the_other_is_cancelled(scripted: Scripted) -> None:
    hub = Hub()
    front = facade.Facade(api.Settings(), 1, hub)
    cancelled: list[int] = []
    closed: list[int] = []
    front.register(closed.append, lambda: None)

    def work() -> None:
        ask = facade.Ask(hub, 0, hub.now() + 5000 * MS, False, cancelled.append)
        first, second = front.pick(ask), front.pick(ask)
        assert isinstance(first, facade.Attempt) and isinstance(second, facade.Attempt)
        front.report(facade.AttemptEnded(ask, 1, Ending.SERVED))
        assert isinstance(front.pick(ask), facade.Over) and cancelled == [0] and closed == [9]
        front.report(facade.AttemptEnded(ask, 0, Ending.CANCELLED))
        front.report(facade.ClientGone(ask))  # too late to mean anything

    run(hub, work, front)
    ends = [(e.result, e.over, e.server) for e in scripted.told if isinstance(e, api.Outcome)]
    assert ends == [(api.Result.OK, True, 8), (api.Result.CANCELLED, True, 7)]
    assert not any(isinstance(e, api.ClientLeft) for e in scripted.told)


def test_a_request_without_a_verdict_fails_at_its_deadline(scripted: Scripted) -> None:
    """A fault in the module must not cost the one final answer."""
    hub = Hub()
    front = facade.Facade(api.Settings(), 1, hub)
    verdicts: list[facade.Verdict] = []
    run(hub, lambda: verdicts.append(front.pick(facade.Ask(hub, 1, hub.now() + 5 * MS, False, lambda _: None))), front)
    assert verdicts == [facade.Failed()]


def test_an_interrupted_task_does_not_block_again() -> None:
    hub = Hub()
    seen: list[Woken] = []

    def victim() -> None:
        seen.extend([hub.sleep(60_000 * MS), hub.sleep(60_000 * MS)])
        hub.stop()

    task = hub.spawn(victim)
    hub.spawn(lambda: hub.interrupt(task))
    hub.run(lambda: None)
    assert seen == [Woken.INTERRUPTED, Woken.INTERRUPTED]


def test_a_task_interrupted_as_it_becomes_ready_is_interrupted() -> None:
    """A step called off just as its connection came up used to write its request all the same."""
    hub = Hub()
    seen: list[Woken] = []
    signal = Signal(hub)

    def victim() -> None:
        seen.append(signal.wait())
        hub.stop()

    def other() -> None:
        signal.set()
        hub.interrupt(task)

    task = hub.spawn(victim)
    hub.spawn(other)
    hub.run(lambda: None)
    assert seen == [Woken.INTERRUPTED]


def test_a_step_is_not_written_after_its_time() -> None:
    hub = Hub()
    server = listener()
    destinations = Destinations(hub, Limits(1000 * MS, 1000 * MS, 9), ())
    destinations.place(1, server.getsockname())
    ends: list[Ending] = []

    def step() -> None:
        ends.append(destinations.run(1, Forward(Message("GET", "/")), hub.now())[0])
        hub.stop()

    hub.spawn(step)
    hub.run(lambda: None)
    server.close()
    assert ends == [Ending.TIMED_OUT_UNSENT] and destinations.open == 0


@pytest.mark.parametrize(
    "event, ending",
    [("reset", Ending.BROKEN_UNSENT), ("interrupt", Ending.CANCELLED_UNSENT), ("time", Ending.TIMED_OUT_UNSENT)],
)
def test_a_request_not_wholly_written_never_ran(event: str, ending: Ending) -> None:
    """Nobody reads a request that is larger than any socket's buffer, until something ends the writing."""
    hub = Hub()
    server = listener()
    destinations = Destinations(hub, Limits(60_000 * MS, 60_000 * MS, 1), ())
    destinations.place(1, server.getsockname())
    forward = Forward(Message("POST", "/", body=bytes(64 * 1024 * 1024)))
    ends: list[Ending] = []

    def step() -> None:
        until = hub.now() + (200 if event == "time" else 60_000) * MS
        ends.append(destinations.run(1, forward, until)[0])
        hub.stop()

    def other() -> None:
        peer, _ = server.accept()
        hub.sleep(50 * MS)
        ends.append(destinations.run(1, forward, hub.now() + MS)[0])
        if event == "interrupt":
            hub.interrupt(task)
        elif event == "reset":
            peer.close()  # over unread bytes: a reset
        hub.sleep(60_000 * MS)
        peer.close()

    task = hub.spawn(step)
    hub.spawn(other)
    hub.run(lambda: None)
    server.close()
    assert ends == [Ending.NO_SOCKET, ending] and destinations.open == 0


def test_repeats_leave_a_connection_time_to_come_up(tmp_path: Path) -> None:
    """The keyed window is counted from send to send; the module's margin was a tick of the simulator."""
    player = Player(tmp_path)
    (tmp_path / "config.json").write_text(json.dumps(player.config()))
    player.end()
    told = config.load({}, str(tmp_path / "config.json"))
    assert told.settings.tick_ns == told.connect_timeout_ns == 150 * MS and told.settings.ask_for_list


def test_a_fault_in_one_task_leaves_the_others_running() -> None:
    hub = Hub()
    hub.spawn(int, "no number")
    hub.spawn(hub.stop)
    hub.run(lambda: None)


def test_a_fault_while_answering_still_gives_one_answer() -> None:
    """It used to close the front socket without a word: the request was taken and lost."""
    hub = Hub()
    front = Front(hub, Any, Any, (), 9)  # type: ignore[arg-type]
    front._answer = lambda *_: 1 / 0  # type: ignore[method-assign,assignment]
    server = listener()
    client = socket.create_connection(server.getsockname())
    ours, _ = server.accept()
    ours.setblocking(False)
    client.sendall(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")

    def serve() -> None:
        try:
            front._serve(FrontSocket(ours, hub))
        finally:
            hub.stop()

    hub.spawn(serve)
    hub.run(lambda: None)
    assert client.recv(4096).startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
    client.close()
    server.close()


def test_start_times_are_converted_once(scripted: Scripted, monkeypatch: pytest.MonkeyPatch) -> None:
    """A step of the wall clock used to look like a restart: a warm server would have turned cold."""
    hub = Hub()
    front = facade.Facade(api.Settings(), 1, hub)
    pool = ListWatch(hub, front, Destinations(hub, Limits(MS, MS, 9), ()), ("127.0.0.1", 9), ("a",))
    lately = hub.wall() // MS - 700
    raw = {
        "version": 1,
        "full": True,
        "servers": [
            {"id": "s-1", "addr": "127.0.0.1:1", "zone": "b", "state": "ready", "started_ms": lately},
            {"id": "s-2", "addr": "127.0.0.1:2", "zone": "a", "state": "draining", "started_ms": 0},
        ],
    }
    run(hub, lambda: pool.start(read_list(raw, "known")), front)
    monkeypatch.setattr(Hub, "wall", staticmethod(lambda: 5))
    pool._take(read_list(raw, "known"), "whole")
    lists = [e.servers for e in scripted.told if isinstance(e, api.ServerList)]
    assert lists[0] == lists[1] and pool.usable == 1
    assert [(s.id, s.zone, s.state) for s in lists[0]] == [
        (number_of("s-1"), 1, api.State.UP),
        (number_of("s-2"), 0, api.State.DRAINING),
    ]
    assert 0 < hub.now() - lists[0][0].started_ns < 60_000 * MS and lists[0][1].started_ns == 0


def test_nothing_is_kept_of_servers_that_are_gone(scripted: Scripted) -> None:
    """On a long day thousands of ids come and go, and an address may return under a new one."""
    hub = Hub()
    front = facade.Facade(api.Settings(), 1, hub)
    destinations = Destinations(hub, Limits(MS, MS, 9), ())
    pool = ListWatch(hub, front, destinations, ("127.0.0.1", 9), ("a",))
    module = Balancer(api.Settings(), 1)
    for n in range(1, 40):
        rows = [
            {"id": f"s-{at}", "addr": "127.0.0.1:1", "zone": "a", "state": state, "started_ms": 1000 * at}
            for at, state in ((n, "ready"), (n - 1, "gone"))
        ]
        kind = "whole" if n % 9 == 0 else "changes"
        pool._take(read_list({"version": n, "servers": rows}, "list"), kind)
        module.handle(n, scripted.told[-1])
    assert [len(table) for table in (pool._known, pool._started, destinations._addresses)] == [1, 1, 1]
    assert len(module.peers) == 1


@pytest.mark.parametrize("gap", [0.0, 0.01])
def test_bytes_behind_an_answer_are_no_answer_to_the_next_request(gap: float) -> None:
    """A second copy that comes a moment after the answer used to be served to whoever asked next."""
    hub = Hub()
    server = listener()
    destinations = Destinations(hub, Limits(1000 * MS, 60_000 * MS, 9), ())
    destinations.place(1, server.getsockname())
    bodies: list[bytes] = []

    def peer() -> None:
        for body in (b"1", b"2"):
            hub.wait(server.fileno(), 1)
            link, _ = server.accept()
            hub.wait(link.fileno(), 1)
            link.recv(4096)
            link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)
            hub.sleep(int(SETTLE_NS / 5))
            link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)

    def step() -> None:
        for _ in range(2):
            answer = destinations.run(1, Forward(Message("GET", "/")), hub.now() + 5000 * MS)[1]
            bodies.append(answer.body if answer is not None else b"")
            hub.sleep(int(gap * 1e9))
        hub.stop()

    hub.spawn(peer)
    hub.spawn(step)
    hub.run(lambda: None)
    server.close()
    assert bodies == [b"1", b"2"]


def test_a_connection_near_its_idle_time_is_not_used_again() -> None:
    """Idle ones were closed once a second only, so that requests crossed the other side's closing."""
    hub = Hub()
    server = listener()
    destinations = Destinations(hub, Limits(1000 * MS, idle_limit(50 * MS), 9), ())
    destinations.place(1, server.getsockname())
    accepted: list[socket.socket] = []
    ends: list[Ending] = []

    def peer() -> None:
        for _ in range(2):
            hub.wait(server.fileno(), 1)
            accepted.append(server.accept()[0])
            hub.wait(accepted[-1].fileno(), 1)
            accepted[-1].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def step() -> None:
        for _ in range(2):
            ends.append(destinations.run(1, Forward(Message("GET", "/")), hub.now() + 5000 * MS)[0])
            hub.sleep(60 * MS)
        hub.stop()

    hub.spawn(peer)
    hub.spawn(step)
    hub.run(lambda: None)
    server.close()
    assert len(accepted) == 2 and ends == [Ending.SERVED] * 2


@pytest.mark.parametrize(
    "text",
    ["", "[]", "{}", '{"queue":"x"}', '{"queue":1e999}', '{"queue":-1}', '{"queue":' + "9" * 400 + "}", "[" * 5000],
)
def test_a_load_report_that_cannot_be_read_is_none(text: str) -> None:
    destinations = Destinations(Hub(), Limits(MS, MS, 9), ("queue",))
    assert destinations.load_of(Message(names={"x-backend-load": text})) is None
    assert destinations.load_of(Message(names={"x-backend-load": '{"queue":2}'})) == (2.0,)


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
        ({"settings": {"grades": [{"slo_ns": "soon"}]}}, "settings: aim_ns"),
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
    hub = Hub()
    signal = Signal(hub)
    woken: list[Woken] = []

    def work() -> None:
        for _ in range(20_000):
            signal.set()
            signal.wait(hub.now() + 8_000 * MS)  # passes at once
            hub.spawn(signal.set)
            assert signal.wait(hub.now() + 8_000 * MS) is Woken.READY
        woken.append(signal.wait(hub.now() + 2 * MS))
        hub.stop()

    hub.spawn(work)
    hub.run(lambda: None)
    assert woken == [Woken.TIMEOUT], "a timer that counts was cleared as well"
    assert len(hub._timers) < 1000


def test_requests_leave_nothing_for_the_collector() -> None:
    """Each request held itself in a ring of 13 objects: memory and pauses grew with the rate."""
    hub = Hub()
    cls = api.RequestClass("campaign-read", api.Effect.SAFE, api.Group.ALL, 0, 2 * api.SECOND, 8 * api.SECOND)
    front_facade = facade.Facade(api.Settings((cls,), max_attempts=4), 1, hub)
    destinations = Destinations(hub, Limits(1000 * MS, 60_000 * MS, 9), ())
    pool = ListWatch(hub, front_facade, destinations, ("127.0.0.1", 9), ("a",))
    front_facade.register(destinations.close_idle, lambda: None)
    front = Front(hub, front_facade, destinations, (cls,), 9)
    front.listen(("127.0.0.1", 0))
    assert front._listener is not None
    where = front._listener.getsockname()
    server = listener()
    host, port = server.getsockname()
    pool.start(
        read_list(
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
        hub.wait(server.fileno(), 1)
        link, _ = server.accept()
        while hub.wait(link.fileno(), 1) is Woken.READY and link.recv(4096):
            link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")

    def ask() -> None:
        with socket.create_connection(where) as link:
            for turn in range(120):
                link.sendall(b"GET /campaign-read HTTP/1.1\r\nX-Correlation-Id: r%d\r\n\r\n" % turn)
                hub.wait(link.fileno(), 1)
                assert b"200 OK" in link.recv(4096)
                if turn == 19:
                    gc.collect()
                    gc.disable()
        left.append(gc.collect())
        hub.stop()

    hub.spawn(serve)
    hub.spawn(ask)
    try:
        hub.run(front_facade.tick)
    finally:
        gc.enable()
        server.close()
    assert left and left[0] < 100, "100 requests"


def test_the_front_tells_the_module_whose_request_it_is(scripted: Scripted) -> None:
    """The account reached no decision: all requests passed for those of the first tenant."""
    hub = Hub()
    middle = facade.Facade(api.Settings(), 1, hub)
    classes = api.RequestClass("first", deadline_ns=50 * MS), api.RequestClass("second", deadline_ns=50 * MS)
    front = Front(hub, middle, Destinations(hub, Limits(MS, MS, 9), ()), classes, 8, (api.Tenant("a"), api.Tenant("b")))
    front.listen(("127.0.0.1", 0))
    assert front._listener is not None
    where = front._listener.getsockname()

    def ask() -> None:
        for at, account in enumerate(("X-Account: b", "X-Account: a", "X-Account: nobody", "X-Other: b")):
            with socket.create_connection(where) as link:
                link.sendall(f"GET /second HTTP/1.1\r\nX-Correlation-Id: r{at}\r\n{account}\r\n\r\n".encode())
                hub.wait(link.fileno(), 1)
                assert b"502" in link.recv(4096)
        hub.stop()

    hub.spawn(ask)
    hub.run(middle.tick)
    assert [e.tenant for e in scripted.told if isinstance(e, api.Request)] == [1, 0, facade.UNKNOWN, facade.UNKNOWN]


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
    hub = Hub()
    front = Front(hub, facade.Facade(config_settings(), 1, hub), Destinations(hub, Limits(MS, MS, 9), ()), (), 8)
    for sock in (socket.socket(), socket.socket(type=socket.SOCK_DGRAM), *socket.socketpair()):
        with sock:
            with pytest.raises(ValueError, match="PROXY_SOCKET_FD: .* no listening TCP socket"):
                front.adopt(sock.fileno())
            os.fstat(sock.fileno())  # a refused descriptor is not closed behind its owner
    with listener() as held:
        front.adopt(held.fileno())
        assert front._listener is not None and front._listener.fileno() == held.fileno()
        front._listener.detach()


def config_settings() -> api.Settings:
    from lugtally.settings import read_settings
    from tests.player import SETTINGS

    return read_settings(SETTINGS)


def test_a_streamed_step_alone_ends_its_request(scripted: Scripted) -> None:
    """Once a step passes its answer on, no other step's answer and no verdict of the module may follow."""
    hub = Hub()
    front = facade.Facade(api.Settings(), 1, hub)
    cancelled: list[int] = []
    verdicts: list[facade.Verdict] = []

    def work() -> None:
        ask = facade.Ask(hub, 0, hub.now() + 5 * MS, False, cancelled.append)
        front.pick(ask), front.pick(ask)
        assert front.claim(ask, 1) and not front.claim(ask, 0) and not front.claim(ask, 1)
        front.report(facade.AttemptEnded(ask, 0, Ending.SERVED))  # the other step's whole answer comes too late
        front._act(hub.now(), api.Fail(ask.id))  # and so does the module's verdict
        hub.sleep(30 * MS)  # past the deadline and the backstop
        assert not ask.over
        front.report(facade.AttemptEnded(ask, 1, Ending.BROKEN))
        verdicts.append(front.pick(ask))

    run(hub, work, front)
    assert verdicts == [facade.Failed()]
    assert [type(e).__name__ for e in scripted.told if isinstance(e, (api.FirstByte, api.Outcome))] == [
        "FirstByte",
        "Outcome",
        "Outcome",
    ]
    assert [e.over for e in scripted.told if isinstance(e, api.Outcome)] == [False, True]
