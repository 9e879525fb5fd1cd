"""One attempt of a client.

Its request is sent a second time if the sidecar closed an idle connection while the request was being written to it.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from lugtally.testbed.emulator.response_body import is_genuine
from lugtally.testbed.loadgen.connection import STATUS_OK, ClientConnection, Response
from lugtally.testbed.loadgen.connection_pool import ConnectionPool
from lugtally.testbed.loadgen.load_run import LoadRun
from lugtally.testbed.scenario.random_streams import named_uniform
from lugtally.testbed.verification.records import ClientAttempt, ClientOutcome

LATE_RESPONSE_WAIT_S = 0.4  # after the deadline of the client, to distinguish a late response from a missing one
REJECTION_STATUSES = (429, 503)


class AttemptObserver(Protocol):
    """Interface for the end of an attempt: exactly one of the methods is called, and only once."""

    def on_attempt_end(self, record: ClientAttempt) -> None:
        """Handle an attempt that ended before its deadline."""

    def on_attempt_timeout(self, record: ClientAttempt) -> None:
        """Handle an attempt that reached its deadline, at which the client stops waiting."""


class OutgoingAttempt:
    """An attempt in flight, which handles its own response.

    It notifies its observer once, when the attempt ends or the client stops waiting for it.
    """

    __slots__ = (
        "_run",
        "_record",
        "_request_bytes",
        "_observer",
        "_connection",
        "_timer",
        "_is_abandoned",
        "_is_recorded",
    )

    def __init__(self, run: LoadRun, record: ClientAttempt, data: bytes, observer: AttemptObserver) -> None:
        self._run = run
        self._record = record
        self._request_bytes = data
        self._observer = observer
        self._connection: ClientConnection | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_abandoned = False  # the client has stopped waiting
        self._is_recorded = False

    @property
    def _pool(self) -> ConnectionPool:
        return self._run.pools[self._record.sidecar]

    def start(self) -> None:
        """Send the request over an idle or a new connection, and start the timer of the deadline."""
        self._run.pending += 1
        self._pool.acquire(self._send_over)
        time_left_s = max(0.0, self._record.deadline_at - self._run.clock())
        self._timer = asyncio.get_running_loop().call_later(time_left_s, self._on_deadline)

    def _send_over(self, connection: ClientConnection | None) -> None:
        if self._is_recorded or self._is_abandoned:
            if connection is not None:
                self._pool.release(connection)
            self._finish(ClientOutcome.UNREACHABLE)
            return
        if connection is None:
            self._finish(ClientOutcome.UNREACHABLE)
            return
        self._connection = connection
        self._record.sent_at = self._run.clock()
        connection.send(self._request_bytes, self)

    def on_response(self, response: Response) -> None:
        """Record the response and release the connection."""
        self._record.status = response.status
        self._record.retry_after_s = response.retry_after_s
        connection, self._connection = self._connection, None
        assert connection is not None
        self._finish(self._outcome_of(response))
        self._pool.release(connection)

    def _outcome_of(self, response: Response) -> ClientOutcome:
        if response.status == STATUS_OK:
            return ClientOutcome.SERVED if self.is_own_body(response.body) else ClientOutcome.FOREIGN
        if response.status in REJECTION_STATUSES:
            return ClientOutcome.REJECTED
        return ClientOutcome.FAILED

    def on_disconnect(self, received_bytes: bool) -> None:
        """Send the request again if an idle connection was closed, otherwise record that it was dropped."""
        connection, self._connection = self._connection, None
        assert connection is not None
        if not received_bytes and connection.was_used and not self._record.resent and not self._is_abandoned:
            # The sidecar closed the idle connection while the request was being written to it.
            self._record.resent = True
            self._pool.acquire_new(self._send_over)
            return
        self._finish(ClientOutcome.DROPPED)

    def on_duplicate(self) -> None:
        """Mark the record as a duplicate response; write a further record if it is already in the event log."""
        self._record.duplicate_response = True
        if self._is_recorded:
            self._run.event_log.write(
                msgspec.structs.replace(
                    self._record,
                    ended_at=self._run.clock(),
                    outcome=ClientOutcome.DUPLICATE,
                    status=0,
                    resent=False,
                    retry_after_s=-1.0,
                )
            )

    def is_own_body(self, body: bytes) -> bool:
        """Return whether a server created this body for this request."""
        return is_genuine(body, self._run.seed, self._record.request_id)

    def _on_deadline(self) -> None:
        """Stop waiting.  Impatient clients disconnect; others stay connected, so that a late response is recorded."""
        self._is_abandoned = True
        if (
            named_uniform(self._run.seed, "impatient", self._record.request_id)
            < self._run.client_behaviour.impatient_share
        ):
            self._close_connection()
            self._finish(ClientOutcome.CLIENT_LEFT)
        else:
            self._timer = asyncio.get_running_loop().call_later(LATE_RESPONSE_WAIT_S, self._on_late_response_timeout)
        self._observer.on_attempt_timeout(self._record)

    def _on_late_response_timeout(self) -> None:
        self._finish(ClientOutcome.PENDING if self._close_connection() else ClientOutcome.UNREACHABLE)

    def _close_connection(self) -> bool:
        """Close the connection of this attempt; return False if it has none."""
        connection, self._connection = self._connection, None
        if connection is None:
            return False
        connection.close()
        return True

    def _finish(self, outcome: ClientOutcome) -> None:
        """Record the outcome, unless it has been recorded."""
        if self._is_recorded:
            return
        self._is_recorded = True
        if self._timer is not None:
            self._timer.cancel()
        self._record.outcome, self._record.ended_at = outcome, self._run.clock()
        self._run.event_log.write(self._record)
        self._run.pending -= 1
        if not self._is_abandoned:
            self._observer.on_attempt_end(self._record)
