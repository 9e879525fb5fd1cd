"""Drains by hand: what the module is told, the file that outlives the process, and the calls that order them."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugtally import api
from lugtally.control.drains import BanFile, decode, encode
from lugtally.decide import Balancer
from lugtally.facade import Facade, Listed, ListNews
from lugtally.hub.scheduler import MS, Hub
from lugtally.settings import read_settings
from tests.player import SETTINGS


class Told:
    """In the place of the module: keeps each list it is told."""

    def __init__(self) -> None:
        self.lists: list[api.ServerList] = []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            self.lists.append(event)
        return []


def states(told: Told) -> list[dict[int, api.State]]:
    return [{server.id: server.state for server in one.servers} for one in told.lists]


def line(number: int, state: str = "ready", started: int = 0) -> Listed:
    return Listed(number, 0, 0, state, started)


def test_a_banned_server_drains_whatever_the_list_says() -> None:
    told = Told()
    facade = Facade(api.Settings(), 1, Hub(), lambda *_: told)
    facade.report(ListNews("whole", [line(1), line(2)]))
    facade.ban(1)
    facade.report(ListNews("whole", [line(1), line(2)]))
    facade.report(ListNews("changes", [line(1)]))
    assert states(told)[1:] == [
        {1: api.State.DRAINING},
        {1: api.State.DRAINING, 2: api.State.UP},
        {1: api.State.DRAINING},
    ]
    assert facade.disabled() == 1 and facade.targets == 2


def test_a_server_back_from_a_ban_is_cold_from_then_on_whatever_the_list_says() -> None:
    told, hub = Told(), Hub()
    facade = Facade(api.Settings(), 1, hub, lambda *_: told)
    facade.report(ListNews("whole", [line(1, started=5)]))
    facade.ban(1)
    before = hub.now()
    facade.unban(1)
    facade.report(ListNews("whole", [line(1, started=5)]))
    back, later = told.lists[-2].servers[0], told.lists[-1].servers[0]
    assert back.state is later.state is api.State.UP
    assert before <= back.started_ns == later.started_ns <= hub.now()
    assert facade.disabled() == 0


def test_a_ban_before_the_list_binds_when_the_server_is_listed() -> None:
    told = Told()
    facade = Facade(api.Settings(), 1, Hub(), lambda *_: told)
    facade.ban(3)  # read from the file of the process before
    assert not told.lists and not facade.listed(3)
    facade.report(ListNews("kept", [line(3)]))
    assert states(told) == [{3: api.State.DRAINING}] and facade.listed(3)


def test_the_module_sends_nothing_new_to_a_banned_server() -> None:
    hub = Hub()
    facade = Facade(read_settings(SETTINGS), 1, hub)
    module = facade._balancer
    assert isinstance(module, Balancer)
    facade.report(ListNews("whole", [line(1), line(2)]))
    facade.ban(1)
    sends = []
    for at in range(200):
        now = hub.now() + at * MS
        for attempt, action in enumerate(
            a for a in module.handle(now, api.Request(f"r{at}", 0, 0, 2_000 * MS)) if isinstance(a, api.Send)
        ):
            sends.append(action.server)
            module.handle(now, api.Outcome(f"r{at}", attempt, action.server, api.Result.OK, True, MS, None))
    assert len(sends) >= 200 and set(sends) == {2}
    facade.unban(1)
    assert module.usable and {p.id for p in module.usable} == {1, 2}


@given(st.sets(st.text(min_size=1, max_size=40), max_size=50))
def test_the_file_gives_back_what_was_written(banned: set[str]) -> None:
    assert decode(encode(banned)) == banned


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b'{"format":2,"banned":[]}', b'{"format":1,"banned":[1]}', b'{"format":1}']
)
def test_a_file_that_cannot_be_used_is_set_aside_with_a_line(data: bytes, tmp_path: Path) -> None:
    file = BanFile(str(tmp_path), "n1")
    file.path.write_bytes(data)
    assert file.read() is None
    assert not file.path.exists() and file.path.with_suffix(".bad").read_bytes() == data


def test_the_file_is_read_again_only_when_another_process_changed_it(tmp_path: Path) -> None:
    mine, other = BanFile(str(tmp_path), "n1"), BanFile(str(tmp_path), "n1")
    assert mine.read() is None
    assert mine.write({"s-1"})
    assert mine.read() is None  # its own writing is no news
    assert other.read() == {"s-1"}
    assert other.write({"s-1", "s-2"})
    assert mine.read() == {"s-1", "s-2"}
    assert [p.name for p in tmp_path.iterdir()] == [mine.path.name]  # nothing half written is left


def test_a_file_that_cannot_be_written_keeps_the_old_one(tmp_path: Path) -> None:
    file = BanFile(str(tmp_path), "n1")
    assert file.write({"s-1"})
    file.path.with_suffix(f".{os.getpid()}.new").mkdir()  # in the way of the new file
    assert not file.write({"s-2"})
    assert BanFile(str(tmp_path), "n1").read() == {"s-1"}
    assert not BanFile(str(tmp_path / "vanished"), "n1").write({"s-1"})
