"""The endpoint watcher: start times, removed endpoints and unknown states."""

from __future__ import annotations

import pytest

from lugtally import balancing, dispatch
from lugtally.address import Address
from lugtally.balancing.balancer import Balancer
from lugtally.config.endpoint_list import endpoint_id_of, parse_endpoint_list
from lugtally.discovery.watcher import EndpointWatcher
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import ConnectionLimits, UpstreamPool
from tests.dispatch.scripted_balancer import TwoAttemptBalancer, run_task

DISCOVERY = Address("127.0.0.1", 9)

EMPTY_LIST = {"version": 1, "full": True, "servers": []}


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop()


@pytest.fixture
def dispatcher(loop: EventLoop, balancer: TwoAttemptBalancer) -> dispatch.Dispatcher:
    return dispatch.Dispatcher(balancing.Settings(), 1, loop)


@pytest.fixture
def upstream(loop: EventLoop) -> UpstreamPool:
    return UpstreamPool(loop, ConnectionLimits(NS_PER_MS, NS_PER_MS, 9), ())


@pytest.fixture
def endpoint_watcher(loop: EventLoop, dispatcher: dispatch.Dispatcher, upstream: UpstreamPool) -> EndpointWatcher:
    return EndpointWatcher(loop, dispatcher, upstream, DISCOVERY, ("a",))


def test_wall_clock_change_does_not_change_start_times(
    loop: EventLoop,
    dispatcher: dispatch.Dispatcher,
    endpoint_watcher: EndpointWatcher,
    balancer: TwoAttemptBalancer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: after a step of the wall clock, endpoints seemed to have restarted and warmed up again."""
    started_ms = loop.wall_clock() // NS_PER_MS - 700
    raw_list = {
        "version": 1,
        "full": True,
        "servers": [
            {"id": "s-1", "addr": "127.0.0.1:1", "zone": "b", "state": "ready", "started_ms": started_ms},
            {"id": "s-2", "addr": "127.0.0.1:2", "zone": "a", "state": "draining", "started_ms": 0},
        ],
    }
    run_task(loop, dispatcher, lambda: endpoint_watcher.start(parse_endpoint_list(raw_list, "known")))
    monkeypatch.setattr(EventLoop, "wall_clock", staticmethod(lambda: 5))
    endpoint_watcher._apply_update(parse_endpoint_list(raw_list, "known"), balancing.EndpointUpdateKind.FULL)
    endpoint_lists = [event.endpoints for event in balancer.events if isinstance(event, balancing.EndpointUpdate)]
    assert endpoint_lists[0] == endpoint_lists[1]
    assert endpoint_watcher.ready_count == 1
    assert [(endpoint.id, endpoint.zone, endpoint.state) for endpoint in endpoint_lists[0]] == [
        (endpoint_id_of("s-1"), 1, balancing.EndpointState.READY),
        (endpoint_id_of("s-2"), 0, balancing.EndpointState.DRAINING),
    ]
    assert 0 < loop.now() - endpoint_lists[0][0].started_ns < 60_000 * NS_PER_MS
    assert endpoint_lists[0][1].started_ns == 0


def test_state_of_removed_endpoints_is_dropped(
    endpoint_watcher: EndpointWatcher, upstream: UpstreamPool, balancer: TwoAttemptBalancer
) -> None:
    """Thousands of endpoint ids may be listed in a day, and a new endpoint may have the address of a removed one."""
    real_balancer = Balancer(balancing.Settings(), 1)
    for version in range(1, 40):
        raw_records = [
            {"id": f"s-{number}", "addr": "127.0.0.1:1", "zone": "a", "state": state, "started_ms": 1000 * number}
            for number, state in ((version, "ready"), (version - 1, "gone"))
        ]
        kind = balancing.EndpointUpdateKind.FULL if version % 9 == 0 else balancing.EndpointUpdateKind.DELTA
        endpoint_watcher._apply_update(parse_endpoint_list({"version": version, "servers": raw_records}, "list"), kind)
        real_balancer.handle(version, balancer.events[-1])
    tables_by_endpoint = (endpoint_watcher._endpoints, endpoint_watcher._start_times._converted, upstream._addresses)
    assert [len(table) for table in tables_by_endpoint] == [1, 1, 1]
    assert len(real_balancer.endpoints.by_id) == 1


def test_endpoint_of_unknown_state_is_listed_as_removed(
    endpoint_watcher: EndpointWatcher,
    dispatcher: dispatch.Dispatcher,
    upstream: UpstreamPool,
    balancer: TwoAttemptBalancer,
) -> None:
    endpoint_id = endpoint_id_of("s-1")
    raw_record = {"id": "s-1", "addr": "127.0.0.1:1", "zone": "a", "state": "hibernating", "started_ms": 0}
    update = parse_endpoint_list({"version": 1, "full": True, "servers": [raw_record]}, "list")
    endpoint_watcher._apply_update(update, balancing.EndpointUpdateKind.FULL)
    dispatcher.start_drain(endpoint_id)
    endpoint_lists = [event.endpoints for event in balancer.events if isinstance(event, balancing.EndpointUpdate)]
    assert [endpoint.state for endpoints in endpoint_lists for endpoint in endpoints] == [
        balancing.EndpointState.REMOVED,
        balancing.EndpointState.DRAINING,
    ]
    assert dispatcher.endpoint_count == 1
    assert endpoint_watcher.ready_count == 0
    assert endpoint_id in upstream._addresses


@pytest.mark.parametrize("change_s", [3600, -3600])
def test_endpoint_listed_after_clock_change_is_not_warm(
    change_s: int,
    loop: EventLoop,
    dispatcher: dispatch.Dispatcher,
    endpoint_watcher: EndpointWatcher,
    balancer: TwoAttemptBalancer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an endpoint that started before a step, is listed after it and counts as warm or as future."""
    started_ms = loop.wall_clock() // NS_PER_MS - 700
    run_task(loop, dispatcher, lambda: endpoint_watcher.start(parse_endpoint_list(EMPTY_LIST, "known")))
    wall_clock = loop.wall_clock
    monkeypatch.setattr(EventLoop, "wall_clock", staticmethod(lambda: wall_clock() + change_s * NS_PER_S))
    record = {"id": "s-1", "addr": "127.0.0.1:1", "zone": "a", "state": "ready", "started_ms": started_ms}
    raw_list = {"version": 2, "full": True, "servers": [record]}
    endpoint_watcher._apply_update(parse_endpoint_list(raw_list, "update"), balancing.EndpointUpdateKind.FULL)
    started_ns = [event.endpoints for event in balancer.events if isinstance(event, balancing.EndpointUpdate)][-1][
        0
    ].started_ns
    assert 0 <= loop.now() - started_ns < 1000 * NS_PER_MS
