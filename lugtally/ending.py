"""Every way in which an attempt can end, and what each means to the decision module."""

from __future__ import annotations

from enum import Enum

from lugtally.api import Result


class Ending(Enum):
    """How an attempt ended.  ``UNSENT`` ones ended before the request's last byte was written."""

    SERVED = "a whole 200 answer"
    ERRORED = "another answer that does not rule out that the request ran"
    DECLINED = "an answer that the request itself is at fault"
    TURNED_AWAY = "503 or 504, marked as not processed"
    REFUSED = "the connection was refused or could not be made"
    CONNECT_SLOW = "the connection did not come up in time"
    NO_SOCKET = "no descriptor was free for a connection"
    BROKEN_UNSENT = "the connection broke before the last byte was written"
    BROKEN = "the connection broke or ended after that, without a whole answer"
    GARBLED = "what came back is no HTTP answer, or too large a one"
    TIMED_OUT_UNSENT = "time ran out before the last byte was written"
    TIMED_OUT = "time ran out after that"
    CANCELLED_UNSENT = "called off before the last byte was written"
    CANCELLED = "called off after that"


RESULTS: dict[Ending, Result] = {
    Ending.SERVED: Result.OK,
    Ending.ERRORED: Result.ERROR,
    Ending.DECLINED: Result.DECLINED,
    Ending.TURNED_AWAY: Result.REJECTED,
    Ending.REFUSED: Result.NO_CONNECTION,
    Ending.CONNECT_SLOW: Result.NO_CONNECTION,
    Ending.NO_SOCKET: Result.NEVER_SENT,
    Ending.BROKEN_UNSENT: Result.NO_CONNECTION,
    Ending.BROKEN: Result.RESET,
    Ending.GARBLED: Result.RESET,
    Ending.TIMED_OUT_UNSENT: Result.NO_CONNECTION,
    Ending.TIMED_OUT: Result.TIMEOUT,
    Ending.CANCELLED_UNSENT: Result.NEVER_SENT,
    Ending.CANCELLED: Result.CANCELLED,
}


WRITTEN = frozenset(ending for ending in Ending if not ending.name.endswith("_UNSENT")) - {
    Ending.REFUSED,
    Ending.CONNECT_SLOW,
    Ending.NO_SOCKET,
}
"""Endings of steps whose last byte was written: the attempts that the counters call dispatches."""
