"""The states of a downstream connection and the transitions between them.

``docs/connections.md`` has the same table as a diagram.
"""

from __future__ import annotations

import enum


class ConnectionState(enum.IntEnum):
    """What a connection is doing.

    Like :class:`TransitionCause` an ``IntEnum``, because its members are hashed in C and each request looks up several
    transitions.
    """

    ACCEPTED = enum.auto()
    """Accepted; the connection's task has not started to read."""
    AWAITING_FIRST_REQUEST = enum.auto()
    """No byte has been received yet."""
    IDLE = enum.auto()
    """The last response has been sent, and no byte of a further request has been received."""
    READING_REQUEST = enum.auto()
    """Part of a request has been received."""
    PROCESSING = enum.auto()
    """A request is complete, and no byte of its response has been sent."""
    WRITING_RESPONSE = enum.auto()
    """A response is being sent, or has been sent and the next step is not decided yet."""
    LINGERING = enum.auto()
    """The last response has been sent, and the sending side is shut down; waits for the client to close."""
    LINGERING_WITH_UNREAD_INPUT = enum.auto()
    """As ``LINGERING``, but with unread bytes in the socket: closing now would reset the connection."""
    DISCARDING = enum.auto()
    """An invalid or incomplete request gets its error response, and all further input is discarded."""
    CLOSED = enum.auto()
    """The socket is closed."""


class TransitionCause(enum.IntEnum):
    """What moves a connection from one state to the next."""

    READING_STARTED = enum.auto()
    """The connection's task starts to read."""
    FIRST_BYTES_RECEIVED = enum.auto()
    """The first bytes of a request were received."""
    REQUEST_COMPLETE = enum.auto()
    """The last byte of a request was received."""
    REQUEST_INVALID = enum.auto()
    """A request is malformed, or was not complete in time."""
    RESPONSE_STARTED = enum.auto()
    """The first byte of a response is about to be sent."""
    RESPONSE_COMPLETE = enum.auto()
    """A response has been sent, and no byte of a further request has been read."""
    RESPONSE_COMPLETE_INPUT_BUFFERED = enum.auto()
    """A response has been sent, and part of a further request has already been read."""
    RESPONSE_COMPLETE_REQUEST_BUFFERED = enum.auto()
    """A response has been sent, and a further request has already been read completely."""
    LAST_RESPONSE_COMPLETE = enum.auto()
    """A response that announced the close of the connection has been sent."""
    UNREAD_INPUT_FOUND = enum.auto()
    """The client sent bytes after the last request."""
    SOCKET_CLOSED = enum.auto()
    """The connection's task ended, for whatever reason."""


TRANSITIONS: dict[ConnectionState, dict[TransitionCause, ConnectionState]] = {
    ConnectionState.ACCEPTED: {
        TransitionCause.READING_STARTED: ConnectionState.AWAITING_FIRST_REQUEST,
        TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.AWAITING_FIRST_REQUEST: {
        TransitionCause.FIRST_BYTES_RECEIVED: ConnectionState.READING_REQUEST,
        TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.IDLE: {
        TransitionCause.FIRST_BYTES_RECEIVED: ConnectionState.READING_REQUEST,
        TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.READING_REQUEST: {
        TransitionCause.REQUEST_COMPLETE: ConnectionState.PROCESSING,
        TransitionCause.REQUEST_INVALID: ConnectionState.DISCARDING,
        TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.PROCESSING: {
        TransitionCause.RESPONSE_STARTED: ConnectionState.WRITING_RESPONSE,
        TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.WRITING_RESPONSE: {
        # A bug in the sidecar fails a response while it is streamed: an error response follows on the same connection.
        TransitionCause.RESPONSE_STARTED: ConnectionState.WRITING_RESPONSE,
        TransitionCause.RESPONSE_COMPLETE: ConnectionState.IDLE,
        TransitionCause.RESPONSE_COMPLETE_INPUT_BUFFERED: ConnectionState.READING_REQUEST,
        TransitionCause.RESPONSE_COMPLETE_REQUEST_BUFFERED: ConnectionState.PROCESSING,
        TransitionCause.REQUEST_INVALID: ConnectionState.DISCARDING,
        TransitionCause.LAST_RESPONSE_COMPLETE: ConnectionState.LINGERING,
        TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.LINGERING: {
        TransitionCause.UNREAD_INPUT_FOUND: ConnectionState.LINGERING_WITH_UNREAD_INPUT,
        TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.LINGERING_WITH_UNREAD_INPUT: {TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED},
    ConnectionState.DISCARDING: {TransitionCause.SOCKET_CLOSED: ConnectionState.CLOSED},
    ConnectionState.CLOSED: {},
}
"""The allowed transitions of each state."""


class InvalidTransitionError(Exception):
    """A connection was moved in a way that :data:`TRANSITIONS` does not allow, which is a bug in the sidecar."""

    def __init__(self, state: ConnectionState, cause: TransitionCause) -> None:
        super().__init__(f"no transition from {state.name} by {cause.name}")
        self.state = state
        self.cause = cause


def next_state(state: ConnectionState, cause: TransitionCause) -> ConnectionState:
    """Return the state that follows.

    Raises:
        InvalidTransitionError: the table has no such transition.
    """
    try:
        return TRANSITIONS[state][cause]
    except KeyError:
        raise InvalidTransitionError(state, cause) from None
