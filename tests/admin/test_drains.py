"""Drains by hand: what the module is told, the file that outlives the process, and the calls that order them."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugtally import balancing
from lugtally.admin.drain_store import DrainStore, decode, encode
from lugtally.balancing.balancer import Balancer
from lugtally.config.balancing_settings import read_settings
from lugtally.dispatch import Dispatcher, ListedEndpoint
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from tests.integration.player import SETTINGS


class RecordingPolicy:
    """In the place of the module: keeps each list it is told."""

    def __init__(self) -> None:
        self.lists: list[balancing.EndpointUpdate] = []

    def handle(self, now: int, event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.EndpointUpdate):
            self.lists.append(event)
        return []


def states(policy: RecordingPolicy) -> list[dict[int, balancing.EndpointState]]:
    return [{server.id: server.state for server in update.endpoints} for update in policy.lists]


def line(number: int, state: str = "ready", started: int = 0) -> ListedEndpoint:
    return ListedEndpoint(number, 0, 0, state, started)


def test_a_banned_server_drains_whatever_the_list_says() -> None:
    policy = RecordingPolicy()
    dispatcher = Dispatcher(balancing.Settings(), 1, EventLoop(), lambda *_: policy)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [line(1), line(2)])
    dispatcher.start_drain(1)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [line(1), line(2)])
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.DELTA, [line(1)])
    assert states(policy)[1:] == [
        {1: balancing.EndpointState.DRAINING},
        {1: balancing.EndpointState.DRAINING, 2: balancing.EndpointState.READY},
        {1: balancing.EndpointState.DRAINING},
    ]
    assert dispatcher.disabled_count() == 1 and dispatcher.endpoint_count == 2


def test_a_server_back_from_a_ban_is_cold_from_then_on_whatever_the_list_says() -> None:
    policy, loop = RecordingPolicy(), EventLoop()
    dispatcher = Dispatcher(balancing.Settings(), 1, loop, lambda *_: policy)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [line(1, started=5)])
    dispatcher.start_drain(1)
    before = loop.now()
    dispatcher.end_drain(1)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [line(1, started=5)])
    back, later = policy.lists[-2].endpoints[0], policy.lists[-1].endpoints[0]
    assert back.state is later.state is balancing.EndpointState.READY
    assert before <= back.started_ns == later.started_ns <= loop.now()
    assert dispatcher.disabled_count() == 0


def test_a_ban_before_the_list_binds_when_the_server_is_listed() -> None:
    policy = RecordingPolicy()
    dispatcher = Dispatcher(balancing.Settings(), 1, EventLoop(), lambda *_: policy)
    dispatcher.start_drain(3)  # read from the file of the process before
    assert not policy.lists and not dispatcher.was_listed(3)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.CACHED, [line(3)])
    assert states(policy) == [{3: balancing.EndpointState.DRAINING}] and dispatcher.was_listed(3)


def test_the_module_sends_nothing_new_to_a_banned_server() -> None:
    loop = EventLoop()
    dispatcher = Dispatcher(read_settings(SETTINGS), 1, loop)
    module = dispatcher._policy
    assert isinstance(module, Balancer)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [line(1), line(2)])
    dispatcher.start_drain(1)
    sends = []
    for at in range(200):
        now = loop.now() + at * NS_PER_MS
        for attempt, action in enumerate(
            a
            for a in module.handle(now, balancing.Request(f"r{at}", 0, 0, 2_000 * NS_PER_MS))
            if isinstance(a, balancing.SendAttempt)
        ):
            sends.append(action.endpoint_id)
            module.handle(
                now,
                balancing.AttemptFinished(
                    f"r{at}", attempt, action.endpoint_id, balancing.AttemptResult.OK, True, NS_PER_MS, None
                ),
            )
    assert len(sends) >= 200 and set(sends) == {2}
    dispatcher.end_drain(1)
    assert module.state.usable and {p.id for p in module.state.usable} == {1, 2}


@given(st.sets(st.text(min_size=1, max_size=40), max_size=50))
def test_the_file_gives_back_what_was_written(banned: set[str]) -> None:
    assert decode(encode(banned)) == banned


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b'{"format":2,"banned":[]}', b'{"format":1,"banned":[1]}', b'{"format":1}']
)
def test_a_file_that_cannot_be_used_is_set_aside_with_a_line(data: bytes, tmp_path: Path) -> None:
    file = DrainStore(str(tmp_path), "n1")
    file.path.write_bytes(data)
    assert file.read() is None
    assert not file.path.exists() and file.path.with_suffix(".bad").read_bytes() == data


def test_the_file_is_read_again_only_when_another_process_changed_it(tmp_path: Path) -> None:
    mine, other = DrainStore(str(tmp_path), "n1"), DrainStore(str(tmp_path), "n1")
    assert mine.read() is None
    assert mine.write({"s-1"})
    assert mine.read() is None  # its own writing is no news
    assert other.read() == {"s-1"}
    assert other.write({"s-1", "s-2"})
    assert mine.read() == {"s-1", "s-2"}
    assert [p.name for p in tmp_path.iterdir()] == [mine.path.name]  # nothing half written is left


def test_a_file_that_cannot_be_written_keeps_the_old_one(tmp_path: Path) -> None:
    file = DrainStore(str(tmp_path), "n1")
    assert file.write({"s-1"})
    file.path.with_suffix(f".{os.getpid()}.new").mkdir()  # in the way of the new file
    assert not file.write({"s-2"})
    assert DrainStore(str(tmp_path), "n1").read() == {"s-1"}
    assert not DrainStore(str(tmp_path / "vanished"), "n1").write({"s-1"})
