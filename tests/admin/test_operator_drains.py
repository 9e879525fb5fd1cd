"""Drains ordered by an operator: what the dispatcher tells the balancing policy of them."""

from __future__ import annotations

from lugtally import balancing
from lugtally.balancing.balancer import Balancer
from lugtally.config.balancing_settings import read_settings
from lugtally.config.endpoint_list import ListedState
from lugtally.dispatch import Dispatcher, ListedEndpoint
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from tests.integration.player import SETTINGS


class RecordingPolicy:
    """A balancing policy that records each endpoint list it receives."""

    def __init__(self) -> None:
        self.updates: list[balancing.EndpointUpdate] = []

    def handle(self, now: int, event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.EndpointUpdate):
            self.updates.append(event)
        return []


def states(policy: RecordingPolicy) -> list[dict[int, balancing.EndpointState]]:
    """Return the state of each endpoint, by id, update by update."""
    return [{endpoint.id: endpoint.state for endpoint in update.endpoints} for update in policy.updates]


def listed(number: int, started_ns: int = 0) -> ListedEndpoint:
    """Return a ready endpoint as the list has it."""
    return ListedEndpoint(number, 0, 0, ListedState.READY, started_ns)


def test_a_server_drained_by_an_operator_drains_whatever_the_list_says() -> None:
    policy = RecordingPolicy()
    dispatcher = Dispatcher(balancing.Settings(), 1, EventLoop(), lambda *_: policy)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [listed(1), listed(2)])
    dispatcher.start_drain(1)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [listed(1), listed(2)])
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.DELTA, [listed(1)])
    assert states(policy)[1:] == [
        {1: balancing.EndpointState.DRAINING},
        {1: balancing.EndpointState.DRAINING, 2: balancing.EndpointState.READY},
        {1: balancing.EndpointState.DRAINING},
    ]
    assert dispatcher.disabled_count() == 1
    assert dispatcher.endpoint_count == 2


def test_a_server_whose_drain_ended_is_cold_from_then_on_whatever_the_list_says() -> None:
    policy, loop = RecordingPolicy(), EventLoop()
    dispatcher = Dispatcher(balancing.Settings(), 1, loop, lambda *_: policy)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [listed(1, started_ns=5)])
    dispatcher.start_drain(1)
    before = loop.now()
    dispatcher.end_drain(1)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [listed(1, started_ns=5)])
    restored, later = policy.updates[-2].endpoints[0], policy.updates[-1].endpoints[0]
    assert restored.state is later.state is balancing.EndpointState.READY
    assert before <= restored.started_ns == later.started_ns <= loop.now()
    assert dispatcher.disabled_count() == 0


def test_a_drain_before_the_first_list_binds_when_the_server_is_listed() -> None:
    policy = RecordingPolicy()
    dispatcher = Dispatcher(balancing.Settings(), 1, EventLoop(), lambda *_: policy)
    dispatcher.start_drain(3)  # read from the file of the previous process
    assert not policy.updates
    assert not dispatcher.was_listed(3)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.CACHED, [listed(3)])
    assert states(policy) == [{3: balancing.EndpointState.DRAINING}]
    assert dispatcher.was_listed(3)


def test_the_balancer_sends_nothing_new_to_a_drained_server() -> None:
    loop = EventLoop()
    dispatcher = Dispatcher(read_settings(SETTINGS), 1, loop)
    balancer = dispatcher._policy
    assert isinstance(balancer, Balancer)
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, [listed(1), listed(2)])
    dispatcher.start_drain(1)
    sends = []
    for number in range(200):
        now = loop.now() + number * NS_PER_MS
        for attempt, action in enumerate(
            action
            for action in balancer.handle(now, balancing.Request(f"r{number}", 0, 0, 2_000 * NS_PER_MS))
            if isinstance(action, balancing.SendAttempt)
        ):
            sends.append(action.endpoint_id)
            balancer.handle(
                now,
                balancing.AttemptFinished(
                    f"r{number}", attempt, action.endpoint_id, balancing.AttemptResult.OK, True, NS_PER_MS, None
                ),
            )
    assert len(sends) >= 200
    assert set(sends) == {2}
    dispatcher.end_drain(1)
    assert balancer.endpoints.usable
    assert {endpoint.id for endpoint in balancer.endpoints.usable} == {1, 2}
