"""Forwarding of endpoint updates from discovery and from operators to the balancer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lugtally import balancing
from lugtally.dispatch import fault_recovery
from lugtally.dispatch.endpoint_registry import EndpointRegistry, ListedEndpoint
from lugtally.eventloop import EventLoop


class EndpointUpdates:
    """Applies updates to the endpoint registry and sends them to the balancer.

    If the balancer fails on an update, the full list is sent to it after a delay.

    Attributes:
        registry: The listed endpoints, and the endpoints that operators drain.
        resend_due_ns: When to send the full list because the balancer failed on an update; ``None`` if it did not.
    """

    def __init__(
        self,
        loop: EventLoop,
        handle_event: Callable[[balancing.Event], bool],
        restart_watch: Callable[[], None],
    ) -> None:
        """Start with an empty registry.

        Args:
            loop: The source of the current time.
            handle_event: Sends an event to the balancer; returns false if the balancer failed on it.
            restart_watch: Restarts the watch of the endpoint list, which a fault of the balancer may have ended.
        """
        self._loop = loop
        self._handle_event = handle_event
        self._restart_watch = restart_watch
        self.registry = EndpointRegistry()
        self.resend_due_ns: int | None = None

    def apply(self, kind: balancing.EndpointUpdateKind, endpoints: Iterable[ListedEndpoint]) -> None:
        """Apply an update of the endpoint list and send it to the balancer."""
        self._send(kind, self.registry.update(kind, endpoints))

    def start_drain(self, endpoint_id: int) -> None:
        """Drain the endpoint at the request of an operator."""
        self._send_changed(self.registry.start_drain(endpoint_id))

    def end_drain(self, endpoint_id: int) -> None:
        """End the drain of the endpoint, which then warms up as after a restart."""
        self._send_changed(self.registry.end_drain(endpoint_id, self._loop.now()))

    def resend(self) -> None:
        """Send the full list because the balancer failed on an update; restart the watch, which may be lost too."""
        self.resend_due_ns = None
        self._restart_watch()
        self._send(balancing.EndpointUpdateKind.FULL, self.registry.all())

    def _send_changed(self, endpoint: balancing.Endpoint | None) -> None:
        if endpoint is not None:
            self._send(balancing.EndpointUpdateKind.DELTA, [endpoint])

    def _send(self, kind: balancing.EndpointUpdateKind, endpoints: list[balancing.Endpoint]) -> None:
        if not self._handle_event(balancing.EndpointUpdate(kind, endpoints)):
            self.resend_due_ns = self._loop.now() + fault_recovery.FAULT_RETRY_NS
