"""One attempt of a client: sent once, and once more only where the connection was closed while it was being sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from lugtally.testbed.emulator.response_body import is_genuine
from lugtally.testbed.loadgen.connection import STATUS_OK, ClientConnection, ResponseHandlers
from lugtally.testbed.loadgen.load_run import LoadRun
from lugtally.testbed.scenario.random_streams import unit
from lugtally.testbed.verification.records import ClientAttempt, ClientOutcome

OBSERVED_S = 0.4  # beyond a client's deadline, to see whether a response comes late or never
REJECTION_STATUSES = (429, 503)
OnEnd = Callable[[ClientAttempt, bool], None]  # and whether the client stopped waiting


class OutgoingAttempt:
    """An attempt in flight; ``on_end`` is called once, as it ends or as the client stops waiting for it."""

    __slots__ = ("_run", "_record", "_data", "_on_end", "_connection", "_timer", "_is_abandoned", "_is_recorded")

    def __init__(self, run: LoadRun, record: ClientAttempt, data: bytes, on_end: OnEnd) -> None:
        self._run = run
        self._record = record
        self._data = data
        self._on_end = on_end
        self._connection: ClientConnection | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_abandoned = False  # the client has stopped waiting
        self._is_recorded = False

    def start(self) -> None:
        """Send it over an idle connection, or a new one."""
        self._run.pending += 1
        self._run.pools[self._record.sidecar].acquire(self._send_over)
        wait = max(0.0, self._record.deadline_at - self._run.clock())
        self._timer = asyncio.get_running_loop().call_later(wait, self._on_deadline)

    def _send_over(self, connection: ClientConnection | None) -> None:
        if self._is_recorded or self._is_abandoned:
            if connection is not None:
                self._run.pools[self._record.sidecar].release(connection)
            self._finish(ClientOutcome.UNREACHABLE)
            return
        if connection is None:
            self._finish(ClientOutcome.UNREACHABLE)
            return
        self._connection = connection
        self._record.sent_at = self._run.clock()
        connection.send(
            self._data,
            ResponseHandlers(self._on_response, self._on_disconnect, self._on_duplicate, self._is_own_body),
        )

    def _on_response(self, status: int, body: bytes, retry_after_s: float) -> None:
        record = self._record
        record.status, record.retry_after_s = status, retry_after_s
        connection, self._connection = self._connection, None
        assert connection is not None
        outcome = ClientOutcome.FAILED
        if status == STATUS_OK:
            outcome = ClientOutcome.SERVED if self._is_own_body(body) else ClientOutcome.FOREIGN
        elif status in REJECTION_STATUSES:
            outcome = ClientOutcome.REJECTED
        self._finish(outcome)
        self._run.pools[record.sidecar].release(connection)

    def _on_disconnect(self, received_bytes: bool) -> None:
        connection, self._connection = self._connection, None
        assert connection is not None
        if not received_bytes and connection.was_used and not self._record.resent and not self._is_abandoned:
            # An idle connection was closed as this request was written to it: it goes once more, over a new one.
            self._record.resent = True
            self._run.pools[self._record.sidecar].acquire_new(self._send_over)
            return
        self._finish(ClientOutcome.DROPPED)

    def _on_duplicate(self) -> None:
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

    def _is_own_body(self, body: bytes) -> bool:
        return is_genuine(body, self._run.seed, self._record.request_id)

    def _on_deadline(self) -> None:
        """The client stops waiting.  Most connections are watched a little longer, for the verifier."""
        self._is_abandoned = True
        if unit(self._run.seed, "impatient", self._record.request_id) < self._run.client_behaviour.impatient_share:
            self._close_connection()
            self._finish(ClientOutcome.CLIENT_LEFT)
        else:
            self._timer = asyncio.get_running_loop().call_later(OBSERVED_S, self._on_observation_end)
        self._on_end(self._record, True)

    def _on_observation_end(self) -> None:
        self._finish(ClientOutcome.PENDING if self._close_connection() else ClientOutcome.UNREACHABLE)

    def _close_connection(self) -> bool:
        """Close the connection that it was sent over; false where there is none."""
        connection, self._connection = self._connection, None
        if connection is None:
            return False
        connection.close()
        return True

    def _finish(self, outcome: ClientOutcome) -> None:
        """Write the one record of this attempt."""
        if self._is_recorded:
            return
        self._is_recorded = True
        if self._timer is not None:
            self._timer.cancel()
        self._record.outcome, self._record.ended_at = outcome, self._run.clock()
        self._run.event_log.write(self._record)
        self._run.pending -= 1
        if not self._is_abandoned:
            self._on_end(self._record, False)
