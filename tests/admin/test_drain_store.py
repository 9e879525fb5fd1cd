"""The drain file: it outlives the process, and is read again when another process changed it."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugtally.admin.drain_store import DrainStore, decode, encode


@given(st.sets(st.text(min_size=1, max_size=40), max_size=50))
def test_the_file_returns_what_was_written(drained: set[str]) -> None:
    assert decode(encode(drained)) == drained


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b'{"format":2,"banned":[]}', b'{"format":1,"banned":[1]}', b'{"format":1}']
)
def test_an_unreadable_file_is_renamed_and_not_used(data: bytes, tmp_path: Path) -> None:
    store = DrainStore(str(tmp_path), "n1")
    store.path.write_bytes(data)
    assert store.read() is None
    assert not store.path.exists()
    assert store.path.with_suffix(".bad").read_bytes() == data


def test_the_file_is_read_again_only_when_another_process_changed_it(tmp_path: Path) -> None:
    mine, other = DrainStore(str(tmp_path), "n1"), DrainStore(str(tmp_path), "n1")
    assert mine.read() is None
    assert mine.write({"s-1"})
    assert mine.read() is None  # its own write is no change
    assert other.read() == {"s-1"}
    assert other.write({"s-1", "s-2"})
    assert mine.read() == {"s-1", "s-2"}
    assert [path.name for path in tmp_path.iterdir()] == [mine.path.name]  # nothing half written is left


def test_a_file_that_cannot_be_written_keeps_the_old_one(tmp_path: Path) -> None:
    store = DrainStore(str(tmp_path), "n1")
    assert store.write({"s-1"})
    store.path.with_suffix(f".{os.getpid()}.new").mkdir()  # in the way of the new file
    assert not store.write({"s-2"})
    assert DrainStore(str(tmp_path), "n1").read() == {"s-1"}
    assert not DrainStore(str(tmp_path / "vanished"), "n1").write({"s-1"})
