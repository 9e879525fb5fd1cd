"""The pool of connections to endpoints: it opens, limits and reuses connections, and makes attempts on them.

A connection carries one request at a time.  It is reused only if the complete response and nothing after it was read.
"""

from __future__ import annotations

from lugtally.address import Address
from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import READABLE, EventLoop, WakeReason
from lugtally.eventloop.tcp_socket import is_open_without_input
from lugtally.http1 import ForwardedRequest, Message
from lugtally.memory import MemoryBudget, MemoryUse, Reservation, unlimited_budget
from lugtally.units import NS_PER_MS
from lugtally.upstream import attempt
from lugtally.upstream.addresses import EndpointAddresses
from lugtally.upstream.attempt import FinishedAttempt, MayProceed
from lugtally.upstream.connection import UpstreamConnection, open_socket
from lugtally.upstream.errors import AttemptAborted
from lugtally.upstream.idle_connections import IdleConnections
from lugtally.upstream.limits import ConnectionLimits
from lugtally.upstream.load_report import parse_load_report
from lugtally.upstream.streaming import ClaimStream, stream_response

MIN_IDLE_BEFORE_REUSE_NS = 8 * NS_PER_MS
"""How long a connection must be idle, without receiving a byte, before it is reused.

An endpoint may send a duplicate response some milliseconds after the first (up to 3.8 ms later in measurements).  On a
reused connection, the duplicate would be read as the response to the next request.
"""


def _always_proceed() -> bool:
    return True


class UpstreamPool:
    """Manages all connections from this sidecar to endpoints.

    Attributes:
        open_connections: The number of open connections, including idle ones.
    """

    def __init__(
        self,
        loop: EventLoop,
        limits: ConnectionLimits,
        load_report_fields: tuple[str, ...],
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create a pool without connections; ``memory`` is the budget of the process, by default an unlimited one."""
        self._memory = memory or unlimited_budget()
        self._loop = loop
        self._limits = limits
        self._load_report_fields = load_report_fields
        self._addresses = EndpointAddresses()
        self._idle = IdleConnections(loop, self._close)
        # By endpoint: the connection that an attempt reuses once it has been idle for ``MIN_IDLE_BEFORE_REUSE_NS``.
        self._awaiting_reuse: dict[int, UpstreamConnection] = {}
        self.open_connections = 0

    def set_address(self, endpoint_id: int, address: Address, started_ns: int = 0) -> None:
        """Set the address of an endpoint, and when it started; close the idle connections that this makes invalid.

        An endpoint that started earlier and is listed at the same address gets no further connections.
        """
        for invalid_id in self._addresses.set(endpoint_id, address, started_ns):
            self.close_idle_connections(invalid_id)

    def remove(self, endpoint_id: int) -> None:
        """Drop the address of a removed endpoint and close the idle connections to it."""
        self.close_idle_connections(endpoint_id)
        self._addresses.remove(endpoint_id)

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint, including one that an attempt waits to reuse."""
        self._idle.close_all(endpoint_id)
        if (awaited := self._awaiting_reuse.get(endpoint_id)) is not None:
            awaited.is_retired = True

    def close_expired(self) -> None:
        """Close the connections whose idle timeout has expired, before their endpoints do."""
        self._idle.close_idle_since_before(self._loop.now() - self._limits.idle_timeout_ns)

    def execute_attempt(
        self,
        endpoint_id: int,
        request: ForwardedRequest,
        deadline_ns: int,
        claim_stream: ClaimStream | None = None,
        may_proceed: MayProceed = _always_proceed,
    ) -> FinishedAttempt:
        """Make one attempt.  Call this in a separate task; interrupting that task cancels the attempt.

        A response with status 200 and a long, chunked or unbounded body is streamed to the sink that ``claim_stream``
        returns.  A streamed response is returned without a body and with ``streamed`` set.  If there is no sink, the
        attempt is cancelled.
        """
        try:
            connection = self._acquire(endpoint_id, deadline_ns, may_proceed)
            try:
                return self._execute_on(connection, request, deadline_ns, claim_stream, may_proceed)
            finally:
                self._release_after_attempt(endpoint_id, connection)  # also after an exception, as nothing else would
        except AttemptAborted as aborted:
            return FinishedAttempt(aborted.outcome, None)

    def load_report(self, response: Message | None) -> tuple[float, ...] | None:
        """Return the load report of a response; ``None`` if it has none or the settings name no load report fields."""
        if response is None or not self._load_report_fields:
            return None
        return parse_load_report(response, self._load_report_fields)

    def _execute_on(
        self,
        connection: UpstreamConnection,
        request: ForwardedRequest,
        deadline_ns: int,
        claim_stream: ClaimStream | None,
        may_proceed: MayProceed,
    ) -> FinishedAttempt:
        """Make one attempt on a connection.

        Raises:
            AttemptAborted: The attempt ended without a complete response.
        """
        connection.carries_request = True
        attempt.write_request(self._loop, connection, request, deadline_ns, may_proceed)
        response = attempt.read_response(self._loop, connection, deadline_ns, self._memory)
        if response.streamed:
            prefix_memory = Reservation(self._memory, MemoryUse.BUFFERED_STREAMS)
            outcome = stream_response(self._loop, connection, response, claim_stream, deadline_ns, prefix_memory)
        else:
            outcome = attempt.classify_response(response)
        if connection.is_reusable_after(response):
            connection.carries_request = False
            connection.idle_since_ns = self._loop.now()
        return FinishedAttempt(outcome, response)

    # ------------------------------------------------------------ reuse

    def _acquire(self, endpoint_id: int, deadline_ns: int, may_proceed: MayProceed) -> UpstreamConnection:
        """Return an idle or new connection to the endpoint's current address, on which the request may be written now.

        Raises:
            AttemptAborted: No connection was established in time, or the request may not be written.
        """
        while True:
            connection = self._reuse(endpoint_id, deadline_ns) or self._connect(endpoint_id, deadline_ns)
            if self._loop.now() >= deadline_ns:
                self._close(connection)
                raise AttemptAborted(AttemptOutcome.TIMEOUT_BEFORE_SENT)
            if not self._has_current_address(endpoint_id, connection):
                self._close(connection)  # the address changed, or the endpoint was removed, while connecting
                continue
            self._check_may_proceed(endpoint_id, connection, may_proceed)
            # This must be the last check, as bytes that are received after it are read as the response.
            if is_open_without_input(connection.sock):
                return connection
            self._close(connection)
            is_new = not connection.idle_since_ns
            if is_new:  # the endpoint would probably close another new connection, too
                raise AttemptAborted(AttemptOutcome.RESET_BEFORE_SENT)

    def _check_may_proceed(self, endpoint_id: int, connection: UpstreamConnection, may_proceed: MayProceed) -> None:
        """Check that the request may still be written.

        While the connection was being established, the endpoint may have started draining.

        Raises:
            AttemptAborted: The request may not be written.  The connection was returned to the pool.
        """
        allowed = False
        try:
            allowed = may_proceed()
        finally:
            if not allowed:
                self._release(endpoint_id, connection)
        if not allowed:
            raise AttemptAborted(AttemptOutcome.CANCELLED_BEFORE_SENT)

    def _has_current_address(self, endpoint_id: int, connection: UpstreamConnection) -> bool:
        """Return whether the connection was made to the current address of the endpoint."""
        return connection.address == self._addresses.get(endpoint_id)

    def _reuse(self, endpoint_id: int, deadline_ns: int) -> UpstreamConnection | None:
        """Return the most recently used idle connection that may be reused, or ``None``.

        This may wait until a connection has been idle for long enough.
        """
        while True:
            idle_before_ns = self._loop.now() - MIN_IDLE_BEFORE_REUSE_NS
            # At most one attempt waits for each endpoint.  If a second one would have to wait, the request rate needs
            # a new connection.
            may_wait = endpoint_id not in self._awaiting_reuse
            connection = self._idle.pop(endpoint_id, idle_before_ns, or_longest_idle=may_wait)
            if connection is None:
                return None
            if connection.idle_since_ns > idle_before_ns:
                self._wait_until_reusable(endpoint_id, connection, deadline_ns)
            if self._may_reuse(connection):
                return connection
            self._close(connection)

    def _may_reuse(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection that was idle is neither retired nor expired.

        The endpoint may close an expired connection at any time, and a request on it would be reset.
        """
        return not connection.is_retired and (
            connection.idle_since_ns >= self._loop.now() - self._limits.idle_timeout_ns
        )

    def _wait_until_reusable(self, endpoint_id: int, connection: UpstreamConnection, deadline_ns: int) -> None:
        """Wait until the connection has been idle for ``MIN_IDLE_BEFORE_REUSE_NS`` or a byte is received on it.

        Waiting costs less than the work that a new connection would cause at the endpoint.

        Raises:
            AttemptAborted: The attempt was cancelled.
        """
        self._awaiting_reuse[endpoint_id] = connection
        reusable_from_ns = connection.idle_since_ns + MIN_IDLE_BEFORE_REUSE_NS
        reason = self._loop.wait(connection.fd, READABLE, min(deadline_ns, reusable_from_ns))
        del self._awaiting_reuse[endpoint_id]
        if reason is WakeReason.INTERRUPTED:
            if self._may_reuse(connection) and is_open_without_input(connection.sock):
                self._release(endpoint_id, connection)
            else:
                self._close(connection)  # a byte may have been received when the task was interrupted
            raise AttemptAborted(AttemptOutcome.CANCELLED_BEFORE_SENT)

    def _release_after_attempt(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        """After an attempt, return the connection to the pool if it may carry another request, else close it."""
        if connection.carries_request:
            self._close(connection)
        else:
            self._release(endpoint_id, connection)

    def _release(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        """Make the connection idle, or close it if it must not be reused."""
        if connection.is_retired or not self._has_current_address(endpoint_id, connection):
            self._close(connection)
            return
        # A connection on which no request was written keeps its ``idle_since_ns``.
        connection.idle_since_ns = connection.idle_since_ns or self._loop.now()
        self._idle.add(endpoint_id, connection)

    # ------------------------------------------------------------ opening and closing

    def _connect(self, endpoint_id: int, deadline_ns: int) -> UpstreamConnection:
        if self.open_connections >= self._limits.max_connections:
            self._idle.close_longest_idle()  # frees a descriptor for this attempt
            if self.open_connections >= self._limits.max_connections:
                raise AttemptAborted(AttemptOutcome.NO_DESCRIPTOR)
        address = self._addresses.get(endpoint_id)
        if address is None:  # the endpoint was removed, or another one has replaced it at its address
            raise AttemptAborted(AttemptOutcome.CONNECTION_REFUSED)
        sock = open_socket(address)
        self.open_connections += 1
        connection = UpstreamConnection(sock, address, self._limits.max_response_body_bytes, self._memory)
        try:
            connection.connect(self._loop, self._limits.connect_timeout_ns, deadline_ns)
        except BaseException:
            self._close(connection)
            raise
        return connection

    def _close(self, connection: UpstreamConnection) -> None:
        if connection.close():
            self.open_connections -= 1
