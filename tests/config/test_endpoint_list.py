"""Decoding of the endpoint list."""

from __future__ import annotations

import pytest

from lugtally.config.endpoint_list import ListedState, parse_endpoint_list


@pytest.mark.parametrize(
    ("state_name", "state"),
    [
        ("ready", ListedState.READY),
        ("draining", ListedState.DRAINING),
        ("gone", ListedState.REMOVED),
        ("hibernating", ListedState.UNKNOWN),
        ("READY", ListedState.UNKNOWN),
        ("", ListedState.UNKNOWN),
    ],
)
def test_state_name_is_decoded(state_name: str, state: ListedState) -> None:
    raw_record = {"id": "s-1", "addr": "127.0.0.1:1", "state": state_name}
    assert parse_endpoint_list({"version": 1, "servers": [raw_record]}, "list").records[0].state is state


def test_address_is_optional_for_removed_state_only() -> None:
    raw_record = {"id": "s-1", "state": "gone"}
    assert len(parse_endpoint_list({"version": 1, "servers": [raw_record]}, "list").records) == 1
    with pytest.raises(ValueError, match=r"list\.servers\[0\]\.addr"):
        parse_endpoint_list({"version": 1, "servers": [{**raw_record, "state": "hibernating"}]}, "list")
