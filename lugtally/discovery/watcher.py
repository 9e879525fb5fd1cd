"""The endpoint watcher: polls discovery and applies each update to the dispatcher and the upstream pool."""

from __future__ import annotations

from loguru import logger

from lugtally.address import Address
from lugtally.balancing import EndpointUpdateKind
from lugtally.config.endpoint_list import EndpointList, EndpointRecord, ListedState
from lugtally.discovery import timing
from lugtally.discovery.client import DiscoveryClient
from lugtally.discovery.start_times import StartTimeConverter
from lugtally.dispatch.dispatcher import Dispatcher
from lugtally.dispatch.endpoint_registry import ListedEndpoint
from lugtally.eventloop import Event, EventLoop, Task
from lugtally.http1 import ProtocolError
from lugtally.upstream import UpstreamPool


class EndpointWatcher:
    """Watches the endpoint list and applies its updates."""

    def __init__(
        self,
        loop: EventLoop,
        dispatcher: Dispatcher,
        upstream: UpstreamPool,
        discovery: Address,
        zones: tuple[str, ...],
    ) -> None:
        self._loop = loop
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._client = DiscoveryClient(loop, discovery, None)
        self._task: Task | None = None
        self._zone_indexes = {name: index for index, name in enumerate(zones)}
        self._start_times = StartTimeConverter(loop)
        self._endpoints: dict[int, ListedEndpoint] = {}

    @property
    def ready_count(self) -> int:
        """The number of endpoints that are listed as ready."""
        return sum(endpoint.state is ListedState.READY for endpoint in self._endpoints.values())

    def start(self, cached_list: EndpointList) -> None:
        """Apply the cached list, then start the task that polls discovery.  Its first poll waits for :meth:`watch`."""
        self._apply_update(cached_list, EndpointUpdateKind.CACHED)
        self._client.version = cached_list.version
        self._task = self._loop.spawn(self._run_watch, self._client)

    def watch(self) -> None:
        """Request the next poll.  The balancer does so for the first poll and, with a backoff, after each failure."""
        self._client.watch_requested.set()

    def move_to(self, address: Address) -> None:
        """Move the watch to the discovery at another address.

        The current list stays valid until the new discovery responds.  The full list is requested, because the
        versions of the new discovery need not continue those of the old one.
        """
        if self._task is not None:
            self._loop.interrupt(self._task)
        self._client = DiscoveryClient(self._loop, address, None)
        self._client.watch_requested.set()  # without delay, because a backoff applies to the old discovery only
        self._task = self._loop.spawn(self._run_watch, self._client)

    # ------------------------------------------------------------ the list

    def _apply_update(self, update: EndpointList, kind: EndpointUpdateKind) -> None:
        if update.rejected:
            self._log_rejected(update)
        # A malformed record must not prevent the others from being applied: its endpoint keeps the previous record.
        listed = [self._endpoints[endpoint_id] for endpoint_id in update.rejected if endpoint_id in self._endpoints]
        for endpoint_id in self._removed_ids(update, kind):
            self._forget(endpoint_id)
        for record in update.records:
            endpoint = self._to_listed_endpoint(record)
            if record.state is not ListedState.REMOVED:
                self._endpoints[record.endpoint_id] = endpoint
                self._upstream.set_address(record.endpoint_id, record.address, endpoint.started_ns)
            listed.append(endpoint)
        self._dispatcher.update_endpoints(kind, listed)

    @staticmethod
    def _log_rejected(update: EndpointList) -> None:
        logger.warning(
            "{count} records of the endpoint list are malformed, the first: {reason}",
            event="discovery.records_rejected",
            count=len(update.rejected),
            reason=next(iter(update.rejected.values())),
        )

    def _removed_ids(self, update: EndpointList, kind: EndpointUpdateKind) -> set[int]:
        """Return the ids of the endpoints that the update removes."""
        removed = {record.endpoint_id for record in update.records if record.state is ListedState.REMOVED}
        if kind is not EndpointUpdateKind.DELTA:  # a full list omits removed endpoints
            listed = {record.endpoint_id for record in update.records}
            removed |= self._endpoints.keys() - listed - update.rejected.keys()
        return removed

    def _forget(self, endpoint_id: int) -> None:
        """Drop all state of an endpoint.  Removed ids are not used again, so their state would never be freed."""
        self._endpoints.pop(endpoint_id, None)
        self._start_times.forget(endpoint_id)
        self._upstream.remove(endpoint_id)

    def _to_listed_endpoint(self, record: EndpointRecord) -> ListedEndpoint:
        zone = self._zone_index(record)
        started_ns = self._start_times.convert(record)
        return ListedEndpoint(record.endpoint_id, zone, record.cell, record.state, started_ns)

    def _zone_index(self, record: EndpointRecord) -> int:
        """Return the index of the record's zone.

        An endpoint without a zone must not share a deduplication scope with others, so it gets a zone of its own.
        """
        if not record.zone:
            return ~record.endpoint_id
        return self._zone_indexes.setdefault(record.zone, len(self._zone_indexes))

    # ------------------------------------------------------------ the watch

    def _run_watch(self, client: DiscoveryClient) -> None:
        """Poll one discovery until the watch moves to another one."""
        while client is self._client:
            client.watch_requested.wait()
            self._poll_until_failure(client)
            client.close()
            if client is self._client:
                # The current list stays valid, and the balancer decides when to poll again.  The new event discards a
                # wake-up from before this failure, as it would skip the backoff.
                client.watch_requested = Event(self._loop)
                self._dispatcher.update_endpoints(EndpointUpdateKind.FAILED)

    def _poll_until_failure(self, client: DiscoveryClient) -> None:
        """Poll until a call fails or the watch moves."""
        try:
            while client is self._client:
                self._poll(client)
        except (OSError, ProtocolError, ValueError) as error:
            logger.info(
                "the watch of the endpoint list failed: {reason}", event="discovery.watch_ended", reason=str(error)
            )
        except Exception:
            # No response may end the task: the endpoint list would never be updated again.
            logger.exception("the watch of the endpoint list raised an exception", event="discovery.failed")

    def _poll(self, client: DiscoveryClient) -> None:
        """Make one call and apply the update that it returns."""
        started_ns = self._loop.now()
        update = client.fetch_update()
        if client is not self._client:
            return  # the watch moved during the call
        previous_version = client.version
        if previous_version is not None and update.version < previous_version and not update.full:
            client.version = None  # discovery restarted its versions: these changes do not apply to the current list
            return
        self._apply_update(update, EndpointUpdateKind.FULL if update.full else EndpointUpdateKind.DELTA)
        client.version = update.version  # after the update is applied, so that it is requested again if that fails
        if update.version == previous_version and self._loop.now() - started_ns < timing.EMPTY_RESPONSE_PAUSE_NS:
            self._loop.sleep(timing.EMPTY_RESPONSE_PAUSE_NS)
