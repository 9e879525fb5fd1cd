"""Stored drains: encoding and decoding, invalid files, failing calls, and changes by another process."""

from __future__ import annotations

import errno
import os
import time
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugtally.admin import drain_store
from lugtally.admin.drain_change import DrainChange, decode_change
from lugtally.admin.drain_file import decode, encode
from lugtally.admin.drain_store import DrainStore
from tests.admin.processes import Process


@pytest.fixture
def store(tmp_path: Path) -> DrainStore:
    return DrainStore(str(tmp_path), "n1")


def change_files(folder: Path) -> list[str]:
    return sorted(path.name for path in (folder / "lugtally-n1-drains").iterdir())


def stored_names(store: DrainStore) -> set[str]:
    stored = store.read()
    assert stored is not None
    return {name for name, change in stored.changes.items() if change.is_drained}


@given(st.text(min_size=1, max_size=256), st.booleans(), st.integers(0, 2**63), st.integers(1, 2**22))
def test_decode_returns_the_encoded_change(name: str, is_drained: bool, order: int, writer: int) -> None:
    change = DrainChange(name, is_drained, order, writer)
    assert decode_change(change.file_name, change.encode()) == change


@given(st.lists(st.tuples(st.integers(0, 2**63), st.integers(1, 2**22)), min_size=2, max_size=9, unique=True))
def test_file_names_have_the_order_of_the_changes(orders: list[tuple[int, int]]) -> None:
    changes = [DrainChange("s-1", True, order, writer) for order, writer in sorted(orders)]
    assert [change.file_name for change in changes] == sorted(change.file_name for change in changes)
    assert all(later.is_after(earlier) for earlier, later in pairwise(changes))


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b'{"format":2,"banned":[]}', b'{"format":1,"banned":[1]}', b'{"format":1}']
)
def test_invalid_file_of_earlier_version_is_renamed_and_not_used(data: bytes, store: DrainStore) -> None:
    path = store.drain_file.path
    path.write_bytes(data)
    stored = store.read()
    assert stored is not None
    assert not stored.in_drain_file
    assert not path.exists()
    assert path.with_suffix(".bad").read_bytes() == data


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b'{"format":2,"endpoint":"s-1","drained":true}',
        b'{"format":1,"endpoint":1,"drained":true}',
        b'{"format":1,"endpoint":"s-1","drained":1}',
    ],
)
def test_invalid_change_is_renamed_and_not_used(data: bytes, store: DrainStore, tmp_path: Path) -> None:
    assert store.write(DrainChange("s-2", True, 1, 1))
    invalid_path = store.folder / DrainChange("s-1", True, 2, 1).file_name
    invalid_path.write_bytes(data)
    assert stored_names(DrainStore(str(tmp_path), "n1")) == {"s-2"}
    assert not invalid_path.exists()
    assert invalid_path.with_suffix(".bad").read_bytes() == data


@given(st.sets(st.text(min_size=1, max_size=40), max_size=50))
def test_decode_returns_the_encoded_names(drained: set[str]) -> None:
    assert decode(encode(frozenset(drained))) == drained


def test_change_is_read_by_other_store(store: DrainStore, tmp_path: Path) -> None:
    other_store = DrainStore(str(tmp_path), "n1")
    assert stored_names(store) == set()
    assert store.write(DrainChange("s-1", True, 1, 1))
    assert stored_names(other_store) == {"s-1"}
    assert other_store.write(DrainChange("s-2", True, 2, 2))
    assert stored_names(store) == {"s-1", "s-2"}
    assert len(change_files(tmp_path)) == 2  # no temporary file is left
    assert stored_names(DrainStore(str(tmp_path), "n2")) == set()


def test_superseded_change_is_removed(store: DrainStore, tmp_path: Path) -> None:
    changes = [DrainChange("s-1", is_drained, order, 1) for order, is_drained in enumerate((True, False, True))]
    for change in reversed(changes):  # also if the earlier change is written later
        assert store.write(change)
    assert stored_names(store) == {"s-1"}
    assert change_files(tmp_path) == [changes[-1].file_name]


def test_failed_write_leaves_the_stored_changes(store: DrainStore, tmp_path: Path) -> None:
    assert store.write(DrainChange("s-1", True, 1, 1))
    failing = DrainChange("s-2", True, 2, 1)
    (store.folder / failing.file_name).with_suffix(
        f".{os.getpid()}.new"
    ).mkdir()  # blocks the path of the temporary file
    assert not store.write(failing)
    assert stored_names(DrainStore(str(tmp_path), "n1")) == {"s-1"}
    assert not DrainStore(str(tmp_path / "vanished"), "n1").write(failing)


@pytest.mark.parametrize("failing_call", ["read_bytes", "iterdir"])
def test_unreadable_store_changes_nothing(failing_call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against drains that are lost because a read fails for a moment."""
    old, new = Process(tmp_path), Process(tmp_path)
    assert old.drains.start_drain("s-1")
    assert new.drained() == {"s-1"}
    (tmp_path / "lugtally-n1-drains.json").write_text('{"format":1,"banned":["s-3"]}')
    assert old.drains.start_drain("s-2")
    with monkeypatch.context() as patch:
        patch.setattr(Path, failing_call, _fail)
        assert new.drained() == {"s-1"}
    assert new.drained() == {"s-1", "s-2", "s-3"}


def test_unreadable_drain_file_is_not_replaced(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against drains of an earlier version that are lost because a read fails as a process starts."""
    (tmp_path / "lugtally-n1-drains.json").write_text('{"format":1,"banned":["s-3"]}')
    with monkeypatch.context() as patch:
        patch.setattr(Path, "read_bytes", _fail)
        process = Process(tmp_path)
        assert process.drains.start_drain("s-1")
    assert process.drained() == Process(tmp_path).drained() == {"s-1", "s-3"}


def test_drain_file_of_rollback_has_all_drains(tmp_path: Path) -> None:
    """Guards against drains that a rollback to a version without stored changes loses."""
    old, new = Process(tmp_path), Process(tmp_path)
    assert old.drains.start_drain("s-1")
    assert new.drains.start_drain("s-2")
    assert old.drains.end_drain("s-1")
    assert new.drains.start_drain("s-3")
    path = tmp_path / "lugtally-n1-drains.json"
    assert decode(path.read_bytes()) == {"s-2", "s-3"}
    path.write_bytes(encode(frozenset({"s-1"})))  # an earlier version replaces the file with what it knew
    assert old.drained() == new.drained() == {"s-2", "s-3"}
    assert decode(path.read_bytes()) == {"s-2", "s-3"}


def test_drain_that_cannot_be_written_is_written_later(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a drain that was confirmed and does not survive a restart because a write failed once."""
    old, new = Process(tmp_path), Process(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(os, "replace", _fail)
        assert old.drains.start_drain("s-1")
        assert old.drained() == {"s-1"}
    assert new.drains.start_drain("s-2")
    assert old.drained() == {"s-1", "s-2"}
    assert Process(tmp_path).drained() == {"s-1", "s-2"}


@pytest.mark.parametrize("last_drains", [True, False])
def test_repeated_write_does_not_undo_a_later_call(
    last_drains: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a repeated write that takes precedence over a later call at the other process."""
    old, new = Process(tmp_path), Process(tmp_path)
    first, last = (
        (old.drains.end_drain, new.drains.start_drain)
        if last_drains
        else (old.drains.start_drain, new.drains.end_drain)
    )
    with monkeypatch.context() as patch:
        patch.setattr(os, "replace", _fail)
        assert first("s-1")
    assert last("s-1")
    expected = {"s-1"} if last_drains else set()
    for process in (old, new, Process(tmp_path)):
        assert process.drained() == expected


def test_stopped_writer_does_not_undo_a_later_call(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that is stopped within a change and completes it after a later call."""
    old, new = Process(tmp_path), Process(tmp_path)
    replace = os.replace

    def make_later_call_first(source: Path, target: Path) -> None:
        monkeypatch.setattr(os, "replace", replace)
        assert new.drains.end_drain("s-1")
        replace(source, target)

    monkeypatch.setattr(os, "replace", make_later_call_first)
    assert old.drains.start_drain("s-1")
    for process in (old, new, Process(tmp_path)):
        assert process.drained() == set()


def test_removed_files_are_written_again(tmp_path: Path) -> None:
    """Guards against drains that are lost because another program empties the temporary folder."""
    old, new = Process(tmp_path), Process(tmp_path)
    assert old.drains.start_drain("s-1")
    assert new.drained() == {"s-1"}
    for path in (tmp_path / "lugtally-n1-drains").iterdir():
        path.unlink()
    (tmp_path / "lugtally-n1-drains").rmdir()
    assert old.drained() == new.drained() == {"s-1"}
    assert Process(tmp_path).drained() == {"s-1"}


def test_expired_ends_and_incomplete_files_are_removed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    old = Process(tmp_path)
    assert old.drains.start_drain("s-1")
    assert old.drains.start_drain("s-2")
    assert old.drains.end_drain("s-2")
    assert old.drains.end_drain("s-3")
    # as an earlier version would, which knows no changes
    (tmp_path / "lugtally-n1-drains.json").write_text('{"format":1,"banned":["s-3"]}')
    (tmp_path / "lugtally-n1-drains" / "1.new").write_bytes(b"{")
    store = DrainStore(str(tmp_path), "n1")
    store.remove_expired()
    assert len(change_files(tmp_path)) == 4
    monkeypatch.setattr(time, "time", lambda: tmp_path.stat().st_mtime + drain_store.EXPIRY_S + 60.0)
    store.remove_expired()
    assert len(change_files(tmp_path)) == 2  # the end for s-3 is needed while the earlier file has its drain
    assert old.drained() == Process(tmp_path).drained() == {"s-1"}


def test_change_after_a_restart_of_the_machine_takes_precedence(tmp_path: Path) -> None:
    """Guards against calls without an effect because the monotonic clock has begun again."""
    assert DrainStore(str(tmp_path), "n1").write(DrainChange("s-1", True, 2**62, 1))
    process = Process(tmp_path)
    assert process.drained() == {"s-1"}
    assert process.drains.end_drain("s-1")
    assert Process(tmp_path).drained() == set()


def test_drained_endpoint_is_known_though_never_listed(tmp_path: Path) -> None:
    old, new = Process(tmp_path), Process(tmp_path, ("s-2",))
    assert not new.drains.start_drain("s-1")
    assert not new.drains.end_drain("s-1")
    assert old.drains.start_drain("s-1")
    assert new.drains.start_drain("s-1")
    assert new.drains.end_drain("s-1")
    assert old.drained() == set()


def _fail(*_: object) -> None:
    raise OSError(errno.EIO, os.strerror(errno.EIO))
