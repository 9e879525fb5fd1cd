"""A simulated fleet: many balancers and the testbed's server model, without sockets.

The simulation is deterministic: one heap of events, one random generator and fixed seeds.  The balancers share nothing
but the servers and the endpoint list.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from random import Random

from lugtally import Balancer, balancing
from lugtally.testbed.emulator.server_model import Admission, Job, ServerModel
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.fleet_records import (
    AttemptKey,
    FleetRequest,
    FleetServer,
    FleetSettings,
    RequestOutcome,
    SentAttempt,
)


class Fleet:
    """Simulates sidecars, servers and the events between them."""

    def __init__(self, settings: FleetSettings) -> None:
        self.settings, self.random, self.now_ns = settings, Random(settings.seed), 1000 * NS_PER_S
        self.servers = {number: self._make_server(number) for number in range(1, settings.servers + 1)}
        self.requests: dict[tuple[int, str], FleetRequest] = {}
        self.class_counts: Counter[tuple[RequestOutcome, int]] = Counter()
        self.tenant_counts: Counter[tuple[RequestOutcome, int]] = Counter()
        self.attempt_count = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0  # counts events, requests and restarts; orders events that are due at the same time
        # Traffic is uneven: the busiest sidecar gets several times the mean rate, some get almost none.
        weights = [self.random.gammavariate(1.2, 1.0) for _ in range(settings.sidecars)]
        self.request_rates = [settings.request_rate * weight / sum(weights) for weight in weights]
        self.balancers = [
            Balancer(settings.balancing, settings.seed * 1000 + sidecar) for sidecar in range(settings.sidecars)
        ]
        if settings.load_reports is not None:
            for server in self.servers.values():
                self._refresh_load_report(server)
        for sidecar in range(settings.sidecars):
            self.send_endpoint_list(sidecar, balancing.EndpointUpdateKind.CACHED)
            self._schedule(self._draw_gap_ns(sidecar), lambda sidecar=sidecar: self._add_request(sidecar))  # type: ignore[misc]

    def run(self, duration_ns: int) -> None:
        """Advance the clock by ``duration_ns`` and run the events that become due."""
        until_ns = self.now_ns + duration_ns
        while self._events and self._events[0][0] <= until_ns:
            self.now_ns, _, event = heappop(self._events)
            event()
        self.now_ns = until_ns

    def replace(self, old: list[int], new: list[int]) -> None:
        """Replace servers by cold ones that start now; every sidecar gets the new endpoint list immediately."""
        for number in old:
            del self.servers[number]
        for number in new:
            self.servers[number] = self._make_server(number, self.now_ns)
            if self.settings.load_reports is not None:
                self._refresh_load_report(self.servers[number])
        for sidecar in range(len(self.balancers)):
            self.send_endpoint_list(sidecar, balancing.EndpointUpdateKind.FULL)

    def restart(self, share: float) -> None:
        """Restart a share of the sidecars, the busiest first; they keep only the cached endpoint list."""
        busiest_first = sorted(range(len(self.balancers)), key=lambda sidecar: -self.request_rates[sidecar])
        for sidecar in busiest_first[: round(share * len(busiest_first))]:
            self._sequence += 1
            for request_id in self._unfinished(sidecar):
                self._finish_request(sidecar, request_id, RequestOutcome.LOST)
            self.balancers[sidecar] = Balancer(self.settings.balancing, self._sequence)
            self.send_endpoint_list(sidecar, balancing.EndpointUpdateKind.CACHED)

    def in_flight(self) -> list[int]:
        """Return the number of requests in flight at each server now, by ascending server id."""
        for server in self.servers.values():
            self._advance(server)
        return [self.servers[number].model.in_flight for number in sorted(self.servers)]

    def slow_down_all(self, factor: float) -> None:
        """Make every server slower by ``factor`` (1: not at all), as a slow shared dependency does."""
        for server in self.servers.values():
            self._advance(server)
            server.model.slowdown = factor

    def choked_count(self) -> int:
        """Return how many servers are choked now."""
        return sum(server.model.choke.is_active for server in self.servers.values())

    def send_endpoint_list(self, sidecar: int, kind: balancing.EndpointUpdateKind) -> None:
        """Deliver the endpoint list to one sidecar."""
        self._feed(sidecar, balancing.EndpointUpdate(kind, [server.endpoint for server in self.servers.values()]))

    def _make_server(self, number: int, started_ns: int = 0) -> FleetServer:
        endpoint = balancing.Endpoint(number, zone=number % 2, started_ns=started_ns)
        traits = self.settings.server_traits[number % len(self.settings.server_traits)]
        return FleetServer(endpoint, ServerModel(traits, self.now_ns / NS_PER_S, cold=started_ns > 0))

    def _refresh_load_report(self, server: FleetServer) -> None:
        """Read a server's load now, publish it after the delay, and schedule the next refresh."""
        timing = self.settings.load_reports
        assert timing is not None
        self._advance(server)
        in_flight = float(server.model.in_flight)

        def publish() -> None:
            server.reported_in_flight = in_flight

        self._schedule(int(timing.mean_delay_ns * self.random.uniform(0.5, 1.5)), publish)
        if server.endpoint.id in self.servers:
            interval_ns = int(timing.mean_interval_ns * self.random.uniform(0.5, 1.5))
            self._schedule(interval_ns, lambda: self._refresh_load_report(server))

    def _unfinished(self, sidecar: int) -> list[str]:
        return [
            request_id
            for (other, request_id), request in self.requests.items()
            if other == sidecar and request.outcome is None
        ]

    def _schedule(self, delay_ns: int, event: Callable[[], None]) -> None:
        self._sequence += 1
        heappush(self._events, (self.now_ns + delay_ns, self._sequence, event))

    def _draw_gap_ns(self, sidecar: int) -> int:
        return int(self.random.expovariate(self.request_rates[sidecar]) * NS_PER_S)

    def _add_request(self, sidecar: int) -> None:
        settings = self.settings
        self._schedule(self._draw_gap_ns(sidecar), lambda: self._add_request(sidecar))
        self._sequence += 1
        request_id = f"r{self._sequence}"
        class_index = self.random.choices(range(len(settings.class_shares)), settings.class_shares)[0]
        tenant = 0
        if len(settings.tenant_shares) > 1:
            tenant = self.random.choices(range(len(settings.tenant_shares)), settings.tenant_shares)[0]
        work_s = self.random.gammavariate(0.5, 2) * settings.work_s[class_index]
        request = FleetRequest(class_index, tenant, work_s)
        self.requests[sidecar, request_id] = request
        self._count_outcome(request, RequestOutcome.ARRIVED)
        time_left_ns = settings.balancing.classes[class_index].deadline_ns
        self._feed(sidecar, balancing.Request(request_id, class_index, tenant, time_left_ns))

    def _feed(self, sidecar: int, event: balancing.Event) -> None:
        for action in self.balancers[sidecar].handle(self.now_ns, event):
            if isinstance(action, balancing.SendAttempt):
                self._send(sidecar, action)
            elif isinstance(action, balancing.RejectRequest):
                self._finish_request(sidecar, action.request_id, RequestOutcome.REJECTED)
            elif isinstance(action, balancing.FailRequest):
                self._finish_request(sidecar, action.request_id, RequestOutcome.FAILED)
            elif isinstance(action, balancing.SetTimer):
                fired = balancing.TimerFired(action.timer)
                self._schedule(action.delay_ns, lambda fired=fired: self._feed(sidecar, fired))  # type: ignore[misc]
            elif isinstance(action, balancing.CancelAttempt):
                key = AttemptKey(sidecar, action.request_id, action.attempt)
                self._finish_attempt(key, balancing.AttemptResult.CANCELLED)

    def _send(self, sidecar: int, action: balancing.SendAttempt) -> None:
        request = self.requests[sidecar, action.request_id]
        key = AttemptKey(sidecar, action.request_id, len(request.endpoint_ids))
        request.endpoint_ids.append(action.endpoint_id)
        self.attempt_count += 1
        server = self.servers.get(action.endpoint_id)
        if server is None:
            request.open_attempts[key.attempt] = SentAttempt(self.now_ns, None)
            self._finish_attempt_after(NS_PER_MS, key, balancing.AttemptResult.NO_CONNECTION)
            return
        job = Job(f"{sidecar} {key.request_id} {key.attempt}", request.work_s, sidecar=sidecar)
        request.open_attempts[key.attempt] = SentAttempt(self.now_ns, job)
        server.send_times_ns.append(self.now_ns)
        self._advance(server)
        if server.model.offer(self.now_ns / NS_PER_S, job) is not Admission.ADMITTED:
            self._finish_attempt_after(NS_PER_MS, key, balancing.AttemptResult.REJECTED)
            return
        server.attempts[job] = key
        self._finish_attempt_after(action.timeout_ns, key, balancing.AttemptResult.TIMEOUT)
        self._schedule_wake(server)

    def _advance(self, server: FleetServer) -> None:
        """Advance a server's model to the current time and deliver the responses of finished jobs."""
        for job in server.model.advance(self.now_ns / NS_PER_S):
            if job in server.attempts:  # otherwise it was cancelled at the same time
                self._finish_attempt(server.attempts.pop(job), balancing.AttemptResult.OK)

    def _schedule_wake(self, server: FleetServer) -> None:
        """Schedule the next advance of a server's model for the time when its next job finishes."""
        due_s = server.model.next_due()
        if due_s == inf or server.next_wake_s <= due_s:
            return
        server.next_wake_s = due_s

        def wake() -> None:
            if server.next_wake_s == due_s:
                server.next_wake_s = inf
            self._advance(server)
            self._schedule_wake(server)

        self._schedule(max(0, int((due_s - self.now_ns / NS_PER_S) * NS_PER_S) + 1), wake)

    def _finish_attempt_after(self, delay_ns: int, key: AttemptKey, result: balancing.AttemptResult) -> None:
        self._schedule(delay_ns, lambda: self._finish_attempt(key, result))

    def _finish_attempt(self, key: AttemptKey, result: balancing.AttemptResult) -> None:
        """Finish an attempt that is still open: free its server and give the balancer the result."""
        request = self.requests[key.sidecar, key.request_id]
        if key.attempt not in request.open_attempts:
            return
        sent_ns, job = request.open_attempts.pop(key.attempt)
        endpoint_id = request.endpoint_ids[key.attempt]
        server = self.servers.get(endpoint_id)
        succeeded = result is balancing.AttemptResult.OK
        if not succeeded and server is not None and job in server.attempts:
            del server.attempts[job]
            self._advance(server)
            server.model.cancel(self.now_ns / NS_PER_S, job)
            self._schedule_wake(server)
        is_first_answer = succeeded and request.outcome is None
        report = None
        if server is not None and server.reported_in_flight is not None and succeeded:
            report = (server.reported_in_flight,)
        finished = is_first_answer or request.outcome is not None
        duration_ns = self.now_ns - sent_ns
        event = balancing.AttemptFinished(
            key.request_id, key.attempt, endpoint_id, result, finished, duration_ns, report
        )
        self._feed(key.sidecar, event)
        if is_first_answer:
            objective_ns = self.settings.balancing.classes[request.class_index].latency_objective_ns
            outcome = RequestOutcome.LATE if duration_ns > objective_ns else RequestOutcome.SERVED
            self._finish_request(key.sidecar, key.request_id, outcome)

    def _finish_request(self, sidecar: int, request_id: str, outcome: RequestOutcome) -> None:
        request = self.requests[sidecar, request_id]
        if request.outcome is None:
            request.outcome = outcome
            self._count_outcome(request, outcome)
            for attempt in list(request.open_attempts):
                self._finish_attempt(AttemptKey(sidecar, request_id, attempt), balancing.AttemptResult.CANCELLED)

    def _count_outcome(self, request: FleetRequest, outcome: RequestOutcome) -> None:
        self.class_counts[outcome, request.class_index] += 1
        self.tenant_counts[outcome, request.tenant] += 1
