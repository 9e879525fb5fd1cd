"""The connections of this sidecar to endpoints: reuse, limits, and attempts over them.

A connection carries one request at a time.  It is used again only where the whole response, and nothing more, has been
read from it.
"""

from __future__ import annotations

from lugtally.address import Address
from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import READABLE, EventLoop, WakeReason
from lugtally.http1 import ForwardedRequest, Message
from lugtally.units import NS_PER_MS
from lugtally.upstream import attempt
from lugtally.upstream.attempt import AttemptResponse, MayProceed
from lugtally.upstream.connection import UpstreamConnection, open_socket
from lugtally.upstream.errors import AttemptAborted
from lugtally.upstream.idle_connections import IdleConnections
from lugtally.upstream.limits import ConnectionLimits
from lugtally.upstream.load_report import parse_load_report
from lugtally.upstream.streaming import ClaimStream, stream_response

SETTLE_NS = 8 * NS_PER_MS
"""How long a connection must have been without a byte before it is used again.

A response may bring more bytes than belong to it, some milliseconds late; on a connection in use they would be read as
the next request's response.  Second responses came up to 3.8 ms late where it was measured.
"""


def _always() -> bool:
    return True


class UpstreamPool:
    """All connections of this sidecar to endpoints.

    Attributes:
        open_connections: How many are open, idle ones included.
    """

    def __init__(self, loop: EventLoop, limits: ConnectionLimits, load_report_fields: tuple[str, ...]) -> None:
        self._loop = loop
        self._limits = limits
        self._load_report_fields = load_report_fields
        self._addresses: dict[int, Address] = {}
        self._idle = IdleConnections(loop, self._close)
        self._settling: dict[int, UpstreamConnection] = {}  # what an attempt waits for, by endpoint
        self.open_connections = 0

    def set_address(self, endpoint_id: int, address: Address) -> None:
        """Set where an endpoint is; idle connections to where it was are closed."""
        if self._addresses.get(endpoint_id) != address:
            self.close_idle_connections(endpoint_id)
            self._addresses[endpoint_id] = address

    def remove(self, endpoint_id: int) -> None:
        """Forget an endpoint that has been removed: over a long day thousands come and go."""
        self.close_idle_connections(endpoint_id)
        self._addresses.pop(endpoint_id, None)

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint; one that settles is closed by the attempt that waits for it."""
        self._idle.close_all(endpoint_id)
        if (settling := self._settling.get(endpoint_id)) is not None:
            settling.is_retired = True

    def close_expired(self) -> None:
        """Close what has been idle for long, before the other side does."""
        self._idle.close_idle_since(self._loop.now() - self._limits.idle_timeout_ns)

    def execute_attempt(
        self,
        endpoint_id: int,
        request: ForwardedRequest,
        deadline_ns: int,
        claim_stream: ClaimStream | None = None,
        may_proceed: MayProceed = _always,
    ) -> AttemptResponse:
        """Make one attempt, in its own task; interrupting the task cancels it.

        A 200 with a long, chunked or unbounded body is passed on as it comes, where ``claim_stream`` gives a sink; its
        response is returned with ``streamed`` set and no body.  Without a sink that attempt is cancelled.
        """
        try:
            connection = self._obtain(endpoint_id, deadline_ns, may_proceed)
            try:
                return self._attempt_over(connection, request, deadline_ns, claim_stream, may_proceed)
            finally:
                self._put_back(endpoint_id, connection)  # whatever happened: nobody else knows of it
        except AttemptAborted as aborted:
            return AttemptResponse(aborted.outcome, None)

    def load_report(self, response: Message | None) -> tuple[float, ...] | None:
        """Return the load report that came with a response, where the settings say that responses carry one."""
        if response is None or not self._load_report_fields:
            return None
        return parse_load_report(response, self._load_report_fields)

    def _attempt_over(
        self,
        connection: UpstreamConnection,
        request: ForwardedRequest,
        deadline_ns: int,
        claim_stream: ClaimStream | None,
        may_proceed: MayProceed,
    ) -> AttemptResponse:
        """Make one attempt over a connection.

        Raises:
            AttemptAborted: It ended without a whole response.
        """
        connection.carries_request = True
        attempt.write_request(self._loop, connection, request, deadline_ns, may_proceed)
        response = attempt.read_response(self._loop, connection, deadline_ns)
        if response.streamed:
            outcome = stream_response(self._loop, connection, response, claim_stream, deadline_ns)
        else:
            outcome = attempt.classify_response(response)
        if connection.is_reusable_after(response):
            connection.carries_request = False
            connection.idle_since_ns = self._loop.now()
        return AttemptResponse(outcome, response)

    # ------------------------------------------------------------ reuse

    def _obtain(self, endpoint_id: int, deadline_ns: int, may_proceed: MayProceed) -> UpstreamConnection:
        """Return a connection to where the endpoint is now, over which the request may go out at once.

        Raises:
            AttemptAborted: There is none in time, or the request may not go out.
        """
        while True:
            connection = self._reuse(endpoint_id, deadline_ns) or self._connect(endpoint_id, deadline_ns)
            if self._loop.now() >= deadline_ns:
                self._close(connection)
                raise AttemptAborted(AttemptOutcome.TIMEOUT_BEFORE_SENT)  # it came up too late to send
            if not self._leads_to(endpoint_id, connection):
                self._close(connection)  # the endpoint moved, or was removed, as it came up
                continue
            self._check_may_proceed(endpoint_id, connection, may_proceed)
            # Last of all, as what comes from now on is read as the response.
            if connection.is_quiet():
                return connection
            self._close(connection)
            if not connection.idle_since_ns:
                raise AttemptAborted(AttemptOutcome.RESET_BEFORE_SENT)  # another new one would end like this one

    def _check_may_proceed(self, endpoint_id: int, connection: UpstreamConnection, may_proceed: MayProceed) -> None:
        """Ask whether the request may go out: as its connection came up, the endpoint may have drained, say.

        Raises:
            AttemptAborted: It may not; the connection is idle again.
        """
        may_go_out = False
        try:
            may_go_out = may_proceed()
        finally:
            if not may_go_out:
                self._release(endpoint_id, connection)
        if not may_go_out:
            raise AttemptAborted(AttemptOutcome.CANCELLED_BEFORE_SENT)

    def _leads_to(self, endpoint_id: int, connection: UpstreamConnection) -> bool:
        """Return whether the connection goes to where the endpoint is now."""
        return connection.address == self._addresses.get(endpoint_id)

    def _reuse(self, endpoint_id: int, deadline_ns: int) -> UpstreamConnection | None:
        """Return the most recently used idle connection that may be used again, if there is one."""
        while True:
            settled_before_ns = self._loop.now() - SETTLE_NS
            # A second attempt would wait as well: this rate of requests needs another connection.
            may_wait = endpoint_id not in self._settling
            connection = self._idle.take(endpoint_id, settled_before_ns, or_unsettled=may_wait)
            if connection is None:
                return None
            if connection.idle_since_ns > settled_before_ns:
                self._wait_until_settled(endpoint_id, connection, deadline_ns)
            if self._may_reuse(connection):
                return connection
            self._close(connection)

    def _may_reuse(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection that was idle may be used, as far as that does not hang on what comes on it.

        Near its idle timeout the other side closes it: a request would end as a reset.
        """
        return not connection.is_retired and (
            connection.idle_since_ns >= self._loop.now() - self._limits.idle_timeout_ns
        )

    def _wait_until_settled(self, endpoint_id: int, connection: UpstreamConnection, deadline_ns: int) -> None:
        """Wait until the connection may be used, or a byte comes on it.

        A new connection would cost the endpoint more work than this costs time.
        """
        self._settling[endpoint_id] = connection
        settled_ns = connection.idle_since_ns + SETTLE_NS
        reason = self._loop.wait(connection.fd, READABLE, min(deadline_ns, settled_ns))
        del self._settling[endpoint_id]
        if reason is WakeReason.INTERRUPTED:
            if self._may_reuse(connection) and connection.is_quiet():
                self._release(endpoint_id, connection)
            else:
                self._close(connection)  # a byte came at the same time, say
            raise AttemptAborted(AttemptOutcome.CANCELLED_BEFORE_SENT)

    def _put_back(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        """Make the connection idle where it may carry another request; else close it."""
        if connection.carries_request:
            self._close(connection)
        else:
            self._release(endpoint_id, connection)

    def _release(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        """Make the connection idle; whatever comes on it meanwhile ends it."""
        if connection.is_retired or not self._leads_to(endpoint_id, connection):
            self._close(connection)  # its like were closed, or the endpoint was removed or has moved meanwhile
            return
        # One that was taken and not used has been idle as long as before.
        connection.idle_since_ns = connection.idle_since_ns or self._loop.now()
        self._idle.add(endpoint_id, connection)

    # ------------------------------------------------------------ opening and closing

    def _connect(self, endpoint_id: int, deadline_ns: int) -> UpstreamConnection:
        if self.open_connections >= self._limits.max_connections:
            self._idle.close_longest_idle()  # so that the attempt is not refused a descriptor
            if self.open_connections >= self._limits.max_connections:
                raise AttemptAborted(AttemptOutcome.NO_DESCRIPTOR)
        address = self._addresses.get(endpoint_id)
        if address is None:
            raise AttemptAborted(AttemptOutcome.CONNECTION_REFUSED)  # removed since the attempt was started
        sock = open_socket(address)
        self.open_connections += 1
        connection = UpstreamConnection(sock, address, self._limits.max_response_body_bytes)
        try:
            connection.connect(self._loop, self._limits.connect_timeout_ns, deadline_ns)
        except BaseException:
            self._close(connection)
            raise
        return connection

    def _close(self, connection: UpstreamConnection) -> None:
        if connection.close():
            self.open_connections -= 1
