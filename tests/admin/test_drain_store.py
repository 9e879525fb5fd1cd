"""The drain file: encoding and decoding, invalid files, failed writes, and changes by another process."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugtally import balancing
from lugtally.admin.drain_store import DrainStore, decode, encode
from lugtally.config.endpoint_list import ListedState, endpoint_id_of
from lugtally.daemon.operator_drains import OperatorDrains
from lugtally.dispatch import Dispatcher, ListedEndpoint
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop


@pytest.fixture
def store(tmp_path: Path) -> DrainStore:
    return DrainStore(str(tmp_path), "n1")


@pytest.fixture
def dispatcher() -> Dispatcher:
    return Dispatcher(balancing.Settings(), 1, EventLoop())


@given(st.sets(st.text(min_size=1, max_size=40), max_size=50))
def test_decode_returns_the_encoded_names(drained: set[str]) -> None:
    assert decode(encode(drained)) == drained


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b'{"format":2,"banned":[]}', b'{"format":1,"banned":[1]}', b'{"format":1}']
)
def test_invalid_file_is_renamed_and_not_used(data: bytes, store: DrainStore) -> None:
    store.path.write_bytes(data)
    assert store.read() is None
    assert not store.path.exists()
    assert store.path.with_suffix(".bad").read_bytes() == data


def test_read_returns_names_only_after_an_external_change(store: DrainStore, tmp_path: Path) -> None:
    other_store = DrainStore(str(tmp_path), "n1")
    assert store.read() is None
    assert store.write({"s-1"})
    assert store.read() is None  # a write of the same store does not count as a change
    assert other_store.read() == {"s-1"}
    assert other_store.write({"s-1", "s-2"})
    assert store.read() == {"s-1", "s-2"}
    assert [path.name for path in tmp_path.iterdir()] == [store.path.name]  # no temporary file is left


def test_failed_write_keeps_the_previous_file(store: DrainStore, tmp_path: Path) -> None:
    assert store.write({"s-1"})
    store.path.with_suffix(f".{os.getpid()}.new").mkdir()  # blocks the path of the temporary file
    assert not store.write({"s-2"})
    assert DrainStore(str(tmp_path), "n1").read() == {"s-1"}
    assert not DrainStore(str(tmp_path / "vanished"), "n1").write({"s-1"})


def test_unreadable_file_is_not_renamed(store: DrainStore, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against drains that are lost because a read fails for a moment."""
    other_store = DrainStore(str(store.path.parent), "n1")
    assert other_store.write({"s-1"})
    with monkeypatch.context() as patch:
        patch.setattr(Path, "read_bytes", _fail)
        assert store.read() is None
    assert store.read() == {"s-1"}


def test_drain_that_cannot_be_written_is_written_later(
    store: DrainStore, dispatcher: Dispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a drain that was confirmed and does not survive a restart because a write failed once."""
    dispatcher.update_endpoints(
        balancing.EndpointUpdateKind.FULL,
        [ListedEndpoint(endpoint_id_of(name), 0, 0, ListedState.READY, 0) for name in ("s-1", "s-2")],
    )
    drains = OperatorDrains(dispatcher, cast(DownstreamServer, None), store)
    with monkeypatch.context() as patch:
        patch.setattr(os, "replace", _fail)
        assert drains.start_drain("s-1")
    assert DrainStore(str(store.path.parent), "n1").write({"s-2"})
    drains.reload()
    assert DrainStore(str(store.path.parent), "n1").read() == {"s-1", "s-2"}


def _fail(*_: object) -> None:
    raise OSError(errno.EIO, os.strerror(errno.EIO))
