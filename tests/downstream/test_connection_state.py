"""The table of a connection's state transitions, and the page that shows it as a diagram."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from lugtally.downstream.connection_state import (
    TRANSITIONS,
    ConnectionState,
    InvalidTransitionError,
    TransitionCause,
    next_state,
)

PAGE = Path(__file__).resolve().parents[2] / "docs" / "connections.md"


def test_every_state_but_closed_can_be_closed() -> None:
    for state in ConnectionState:
        if state is ConnectionState.CLOSED:
            assert TRANSITIONS[state] == {}
        else:
            assert next_state(state, TransitionCause.SOCKET_CLOSED) is ConnectionState.CLOSED


def test_every_state_is_reachable_and_every_cause_is_used() -> None:
    reached = {ConnectionState.ACCEPTED}
    for _ in ConnectionState:
        reached |= {target for state in reached for target in TRANSITIONS[state].values()}
    assert reached == set(ConnectionState)
    assert {cause for causes in TRANSITIONS.values() for cause in causes} == set(TransitionCause)


@pytest.mark.parametrize(
    ("state", "cause"),
    [
        (ConnectionState.CLOSED, TransitionCause.SOCKET_CLOSED),
        (ConnectionState.LINGERING, TransitionCause.FIRST_BYTES_RECEIVED),
        (ConnectionState.IDLE, TransitionCause.RESPONSE_STARTED),
        (ConnectionState.DISCARDING, TransitionCause.REQUEST_COMPLETE),
    ],
)
def test_transition_not_in_the_table_raises(state: ConnectionState, cause: TransitionCause) -> None:
    with pytest.raises(InvalidTransitionError, match=f"no transition from {state.name} by {cause.name}") as raised:
        next_state(state, cause)
    assert (raised.value.state, raised.value.cause) == (state, cause)


def test_page_shows_the_table() -> None:
    arrows = re.findall(r"^    (\w+) --> (\w+): (\w+)$", PAGE.read_text(encoding="utf-8"), re.MULTILINE)
    assert sorted(arrows) == sorted(
        (state.name, target.name, cause.name)
        for state, causes in TRANSITIONS.items()
        for cause, target in causes.items()
    )
