"""The endpoint updates that the dispatcher sends to the balancing policy for operators' drains."""

from __future__ import annotations

import pytest

from lugtally import balancing
from lugtally.balancing.balancer import Balancer
from lugtally.config.balancing_settings import read_settings
from lugtally.config.endpoint_list import ListedState
from lugtally.dispatch import Dispatcher, ListedEndpoint
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from tests.sidecar_program import SETTINGS


class RecordingPolicy:
    """A balancing policy that records each endpoint update it receives."""

    def __init__(self) -> None:
        self.updates: list[balancing.EndpointUpdate] = []

    def handle(self, now: int, event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.EndpointUpdate):
            self.updates.append(event)
        return []


@pytest.fixture
def policy() -> RecordingPolicy:
    return RecordingPolicy()


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop()


@pytest.fixture
def dispatcher(policy: RecordingPolicy, loop: EventLoop) -> Dispatcher:
    return Dispatcher(balancing.Settings(), 1, loop, lambda *_: policy)


def recorded_states(policy: RecordingPolicy) -> list[dict[int, balancing.EndpointState]]:
    """Return the endpoint states of each update by endpoint id."""
    return [{endpoint.id: endpoint.state for endpoint in update.endpoints} for update in policy.updates]


def ready_endpoint(endpoint_id: int, started_ns: int = 0) -> ListedEndpoint:
    return ListedEndpoint(endpoint_id, 0, 0, ListedState.READY, started_ns)


def test_operator_drain_overrides_the_listed_state(policy: RecordingPolicy, dispatcher: Dispatcher) -> None:
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [ready_endpoint(1), ready_endpoint(2)])
    dispatcher.start_drain(1)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [ready_endpoint(1), ready_endpoint(2)])
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.DELTA, [ready_endpoint(1)])
    assert recorded_states(policy)[1:] == [
        {1: balancing.EndpointState.DRAINING},
        {1: balancing.EndpointState.DRAINING, 2: balancing.EndpointState.READY},
        {1: balancing.EndpointState.DRAINING},
    ]
    assert dispatcher.disabled_count() == 1
    assert dispatcher.endpoint_count == 2


def test_endpoint_warms_up_from_the_end_of_its_operator_drain(
    policy: RecordingPolicy, loop: EventLoop, dispatcher: Dispatcher
) -> None:
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [ready_endpoint(1, started_ns=5)])
    dispatcher.start_drain(1)
    before_ns = loop.now()
    dispatcher.end_drain(1)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [ready_endpoint(1, started_ns=5)])
    after_drain, after_next_list = policy.updates[-2].endpoints[0], policy.updates[-1].endpoints[0]
    assert after_drain.state is after_next_list.state is balancing.EndpointState.READY
    assert before_ns <= after_drain.started_ns == after_next_list.started_ns <= loop.now()
    assert dispatcher.disabled_count() == 0


def test_operator_drain_applies_when_the_endpoint_is_listed(policy: RecordingPolicy, dispatcher: Dispatcher) -> None:
    dispatcher.start_drain(3)  # as when the drain file is read before the first endpoint list
    assert not policy.updates
    assert not dispatcher.was_listed(3)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.CACHED, [ready_endpoint(3)])
    assert recorded_states(policy) == [{3: balancing.EndpointState.DRAINING}]
    assert dispatcher.was_listed(3)


def test_balancer_sends_no_request_to_a_drained_endpoint(loop: EventLoop) -> None:
    dispatcher = Dispatcher(read_settings(SETTINGS), 1, loop)
    balancer = dispatcher._policy
    assert isinstance(balancer, Balancer)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [ready_endpoint(1), ready_endpoint(2)])
    dispatcher.start_drain(1)
    endpoint_ids = []
    for number in range(200):
        now = loop.now() + number * NS_PER_MS
        for attempt, action in enumerate(
            action
            for action in balancer.handle(now, balancing.Request(f"r{number}", 0, 0, 2_000 * NS_PER_MS))
            if isinstance(action, balancing.SendAttempt)
        ):
            endpoint_ids.append(action.endpoint_id)
            balancer.handle(
                now,
                balancing.AttemptFinished(
                    f"r{number}", attempt, action.endpoint_id, balancing.AttemptResult.OK, True, NS_PER_MS, None
                ),
            )
    assert len(endpoint_ids) >= 200
    assert set(endpoint_ids) == {2}
    dispatcher.end_drain(1)
    assert balancer.endpoints.usable
    assert {endpoint.id for endpoint in balancer.endpoints.usable} == {1, 2}
