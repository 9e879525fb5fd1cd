"""One request of a client, with the retries of the application."""

from __future__ import annotations

import asyncio

from lugtally.testbed.loadgen.attempt import OutgoingAttempt
from lugtally.testbed.loadgen.load_run import LoadRun
from lugtally.testbed.scenario.arrivals import Arrival
from lugtally.testbed.scenario.random_streams import named_uniform
from lugtally.testbed.scenario.scenario import METHODS
from lugtally.testbed.scenario.specification import request_id
from lugtally.testbed.verification.records import ClientAttempt, ClientOutcome

POST_BODY = b"v" * 200
MIN_RETRY_TIME_LEFT_S = 0.005  # before the deadline; a later retry is not started


class ClientRequest:
    """A request and its attempts.  Times are seconds since the base time of the run."""

    __slots__ = ("_run", "_arrival", "_request_class", "_arrival_index", "_first_id", "_attempts", "_is_served")

    def __init__(self, run: LoadRun, arrival_index: int, arrival: Arrival) -> None:
        self._run = run
        self._arrival = arrival
        self._request_class = run.classes[arrival.class_index]
        self._arrival_index = arrival_index
        self._first_id = request_id(arrival_index, 0, run.run_suffix)
        self._attempts = 0
        self._is_served = False

    def start_attempt(self, intended_at: float) -> None:
        """Send the next attempt, which is scheduled for ``intended_at``."""
        attempt_share = self._run.client_behaviour.attempt_share
        timeout_s = min(self._request_class.deadline_ms / 1000 * attempt_share, self._deadline_at() - intended_at)
        record = ClientAttempt(
            request_id(self._arrival_index, self._attempts, self._run.run_suffix),
            self._first_id,
            self._attempts,
            self._arrival.sidecar,
            self._arrival.class_index,
            intended_at,
            intended_at,
            intended_at + timeout_s,
        )
        self._attempts += 1
        OutgoingAttempt(self._run, record, self._serialize(record), self).start()

    def _deadline_at(self) -> float:
        """Return when the client stops waiting; the deadline applies to all attempts of the request together."""
        return self._run.start + self._arrival.at + self._request_class.deadline_ms / 1000

    def _serialize(self, record: ClientAttempt) -> bytes:
        """Encode the attempt as an HTTP/1.1 request."""
        method = METHODS[self._request_class.effect]
        body = b"" if method == "GET" else POST_BODY
        lines = [
            f"{method} /{self._request_class.name}?n={self._arrival_index} HTTP/1.1",
            "Host: service.internal",
            f"X-Correlation-Id: {record.request_id}",
            f"X-Service-Class: {self._request_class.name}",
            f"X-Time-Left: {record.deadline_at - record.intended_at:.3f}",
        ]
        if record.number:
            lines.append("X-Repeat: 1")
        if self._request_class.effect == "keyed":
            lines.append(f"Idempotency-Key: {self._first_id}{self._run.run_suffix}")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def on_attempt_end(self, record: ClientAttempt) -> None:
        """Schedule a retry of an attempt that was not served, if one is allowed."""
        if record.outcome == ClientOutcome.SERVED:
            self._is_served = True
        was_rejected = record.outcome in (ClientOutcome.REJECTED, ClientOutcome.UNREACHABLE)
        self._schedule_retry(record, was_rejected=was_rejected)

    def on_attempt_timeout(self, record: ClientAttempt) -> None:
        """Schedule a retry of an attempt that timed out, if one is allowed."""
        self._schedule_retry(record, was_rejected=False)

    def _schedule_retry(self, record: ClientAttempt, *, was_rejected: bool) -> None:
        if self._is_served:
            return
        backoff_s = self._backoff_s(record)
        retry_at = self._run.clock() + backoff_s
        if not self._may_retry(was_rejected) or retry_at >= self._deadline_at() - MIN_RETRY_TIME_LEFT_S:
            return
        self._run.pending += 1
        asyncio.get_running_loop().call_later(backoff_s, self._retry, retry_at)

    def _may_retry(self, was_rejected: bool) -> bool:
        """Return whether the application retries after this attempt."""
        if self._attempts > self._run.client_behaviour.retries:
            return False
        return was_rejected or self._is_safe_to_repeat()

    def _is_safe_to_repeat(self) -> bool:
        """Return whether a retry at any server is harmless even if an earlier attempt was executed."""
        if self._request_class.effect == "safe":
            return True
        elapsed_s = self._run.clock() - self._run.start - self._arrival.at
        return (
            self._request_class.effect == "keyed"
            and self._request_class.deduplication_scope == "all"
            and elapsed_s < self._request_class.deduplication_window_ms / 1000
        )

    def _backoff_s(self, record: ClientAttempt) -> float:
        """Return the seconds to wait before a retry.  A share of the clients follows Retry-After."""
        behaviour = self._run.client_behaviour
        backoff_s = behaviour.backoff_ms / 1000
        if (
            record.retry_after_s >= 0
            and named_uniform(self._run.seed, "honour", self._first_id) < behaviour.retry_after_share
        ):
            return max(backoff_s, record.retry_after_s)
        return backoff_s

    def _retry(self, intended_at: float) -> None:
        self._run.pending -= 1
        if not self._is_served:
            self._run.timer_lag.add(self._run.clock() - intended_at)
            self.start_attempt(intended_at)
