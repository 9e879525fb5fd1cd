"""Property tests: the four rules hold for any sequence of events, and no exception is raised."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import seed as hypothesis_seed
from hypothesis import strategies as st

from lugtally import balancing
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.harness import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    BalancerHarness,
    make_endpoints,
    make_settings,
    with_idempotency_key,
)

HYPOTHESIS_SEED = 1  # fixed, because by default hypothesis derives the seed from the source text of the test

CLASSES = (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    with_idempotency_key(balancing.DeduplicationScope.ALL, 400 * NS_PER_MS),
    with_idempotency_key(balancing.DeduplicationScope.ZONE),
    with_idempotency_key(balancing.DeduplicationScope.CELL, 300 * NS_PER_MS),
    replace(IDEMPOTENT, stream=True),
)
RESULTS = list(balancing.AttemptResult)

OPERATION = st.one_of(
    st.tuples(st.just("request"), st.integers(0, len(CLASSES)), st.integers(1, 1200)),
    st.tuples(st.just("request"), st.integers(0, len(CLASSES)), st.integers(1, 1200)),
    st.tuples(st.just("end"), st.integers(0, 200), st.integers(0, len(RESULTS) - 1)),
    st.tuples(st.just("end"), st.integers(0, 200), st.integers(0, len(RESULTS) - 1)),
    st.tuples(st.just("wait"), st.integers(0, 400), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 40), st.integers(0, 5)),
    st.tuples(st.just("disconnect"), st.integers(0, 200), st.just(0)),
    st.tuples(st.just("response"), st.integers(0, 200), st.just(0)),
    st.tuples(st.just("unknown"), st.integers(0, 6), st.just(0)),
)


def run_operations(harness: BalancerHarness, operations: list[tuple[str, int, int]]) -> None:
    """Carry out the drawn operations; the meaning of their two numbers depends on the kind of operation."""
    for number, (kind, first_draw, second_draw) in enumerate(operations):
        open_attempts = [
            (name, index)
            for name, request in harness.requests.items()
            for index, attempt in enumerate(request.attempts)
            if attempt.is_open
        ]
        unanswered = [name for name, request in harness.requests.items() if not request.is_answered]
        if kind == "request":
            harness.send_request(f"r{number}", first_draw, second_draw * NS_PER_MS)
        elif kind == "end" and open_attempts:
            name, index = open_attempts[first_draw % len(open_attempts)]
            harness.finish_attempt(name, index, RESULTS[second_draw])
        elif kind == "wait":
            harness.pass_time(first_draw * NS_PER_MS)
        elif kind == "disconnect" and unanswered:
            harness.feed(balancing.ClientDisconnected(unanswered[first_draw % len(unanswered)]))
        elif kind == "response" and open_attempts:
            name, index = open_attempts[first_draw % len(open_attempts)]
            if not harness.requests[name].is_answered:
                harness.feed(balancing.ResponseStarted(name, index, harness.requests[name].attempts[index].endpoint_id))
        elif kind == "list":
            update_endpoints(harness, first_draw, second_draw)
        elif kind == "unknown":
            deliver_unknown_event(harness, first_draw)


def update_endpoints(harness: BalancerHarness, number: int, kind: int) -> None:
    """Deliver an update of the endpoint list: a failure, a full list, a restart or a change of state."""
    endpoint = balancing.Endpoint(1 + number % 14, zone=number % 3, cell=number % 3)
    if kind == 0:
        update = balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, [])
    elif kind == 1:
        listed = [other for other in make_endpoints(12) if other.id % 5 != number % 5]
        update = balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, listed)
    elif kind == 2:
        restarted = replace(endpoint, started_ns=harness.now_ns - number * NS_PER_MS)
        update = balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [restarted])
    else:
        states = (balancing.EndpointState.DRAINING, balancing.EndpointState.REMOVED, balancing.EndpointState.READY)
        changed = replace(endpoint, state=states[kind - 3])
        update = balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [changed])
    harness.feed(update)


def deliver_unknown_event(harness: BalancerHarness, number: int) -> None:
    """Deliver an event about an unknown request, timer or endpoint: it must cause no attempt and no final answer."""
    events: list[balancing.Event] = [
        balancing.ClientDisconnected("nobody"),
        balancing.TimerFired(balancing.RetryTimer("nobody")),
        balancing.TimerFired(balancing.RetryTimer("")),
        balancing.HealthCheckFinished(99, True),
        balancing.GossipReceived(1, "x"),
        balancing.ResponseStarted("nobody", 0, 1),
        balancing.AttemptFinished("nobody", 3, 77, balancing.AttemptResult.TIMEOUT, False, 5),
    ]
    assert not [
        action
        for action in harness.feed(events[number])
        if isinstance(action, balancing.SendAttempt | balancing.RejectRequest | balancing.FailRequest)
    ]


@hypothesis_seed(HYPOTHESIS_SEED)
@settings(derandomize=True, deadline=None, max_examples=250, database=None, suppress_health_check=list(HealthCheck))
@given(
    st.lists(OPERATION, min_size=5, max_size=60),
    st.booleans(),
    st.booleans(),
    st.integers(1, 6),
    st.integers(0, 14),
    st.integers(0, 9),
)
def test_random_events_keep_the_four_rules(
    operations: list[tuple[str, int, int]],
    hedging_allowed: bool,
    removal_is_binding: bool,
    max_attempts: int,
    endpoint_count: int,
    seed: int,
) -> None:
    balancer_settings = make_settings(
        *CLASSES, hedging_allowed=hedging_allowed, removal_is_binding=removal_is_binding, max_attempts=max_attempts
    )
    harness = BalancerHarness(balancer_settings, seed)
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, make_endpoints(endpoint_count)))
    run_operations(harness, operations)
    harness.run_to_deadlines()


@hypothesis_seed(HYPOTHESIS_SEED)
@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(
    st.lists(st.tuples(st.integers(-3, 9), st.text("+-:0123456789v.x \u0664", max_size=24)), max_size=30),
    st.integers(0, 9),
)
def test_random_gossip_keeps_the_four_rules(messages: list[tuple[int, str]], seed: int) -> None:
    harness = BalancerHarness(make_settings(*CLASSES, fleet_size=3), seed)
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, make_endpoints(9)))
    for number, (peer, text) in enumerate(messages):
        harness.feed(balancing.GossipReceived(peer, text))
        harness.send_request(f"m{number}", number % len(CLASSES))
        harness.pass_time(40 * NS_PER_MS)
    harness.run_to_deadlines()


@hypothesis_seed(HYPOTHESIS_SEED)
@settings(derandomize=True, deadline=None, max_examples=40, database=None, suppress_health_check=list(HealthCheck))
@given(st.lists(OPERATION, min_size=20, max_size=60), st.integers(0, 9))
def test_same_seed_and_events_give_same_actions(operations: list[tuple[str, int, int]], seed: int) -> None:
    runs = []
    for _ in range(2):
        harness = BalancerHarness(make_settings(*CLASSES), seed)
        harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, make_endpoints(9)))
        run_operations(harness, operations)
        runs.append(harness.actions)
    assert runs[0] == runs[1]


@hypothesis_seed(HYPOTHESIS_SEED)
@settings(derandomize=True, deadline=None, max_examples=25, database=None, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 20), st.integers(1, 12), st.integers(2, 25), st.booleans(), st.integers(0, 9))
def test_one_balancer_stays_within_a_cold_servers_capacity(
    age_s: int, cold_count: int, gap_ms: int, restarted: bool, seed: int
) -> None:
    """At full load one balancer sends a cold server at most three times the server's capacity.

    Each of the 12 warm servers gets 1/12 of the traffic and is assumed to be fully loaded by it, so that the limit is
    3 x ramp x the mean rate at a server.
    """
    harness = BalancerHarness(make_settings(IDEMPOTENT), seed)
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, make_endpoints(12)))
    if not restarted:
        send_evenly(harness, 3 * NS_PER_S, gap_ms)
    started_ns = harness.now_ns - age_s * NS_PER_S
    cold_endpoints = [
        replace(endpoint, started_ns=started_ns) for endpoint in make_endpoints(12) if endpoint.id <= cold_count
    ]
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, cold_endpoints))
    start_ns = harness.now_ns
    send_evenly(harness, 4 * NS_PER_S, gap_ms)
    mean_rate = 1000 / gap_ms / 12
    for server in range(1, cold_count + 1):
        send_times = [sent_ns for sent_ns, endpoint_id in harness.sends if endpoint_id == server and sent_ns > start_ns]
        for window_start_ns in send_times:
            sends = sum(window_start_ns <= sent_ns < window_start_ns + 2 * NS_PER_S for sent_ns in send_times)
            ramp = min(1.0, 0.12 + 0.88 * (window_start_ns + 2 * NS_PER_S - started_ns) / (20 * NS_PER_S))
            assert sends <= 2 + 3 * ramp * mean_rate * 2


@hypothesis_seed(HYPOTHESIS_SEED)
@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(st.integers(0, 18), st.booleans(), st.integers(0, 9))
def test_unequal_balancers_stay_within_a_cold_servers_capacity(age_s: int, restarted: bool, seed: int) -> None:
    """Thirty balancers, one of them with half of the traffic, share twelve fully loaded servers.

    The limit applies from the time at which the endpoint list names the cold server: 6 s into the run for an update.
    """
    count, rate = 30, 240.0
    harnesses = [
        BalancerHarness(make_settings(IDEMPOTENT, fleet_size=count), seed * 100 + number) for number in range(count)
    ]
    rates = [rate / 2] + [rate / 2 / (count - 1)] * (count - 1)
    random = Random(seed)
    next_arrivals_s: list[float] = [random.expovariate(each_rate) for each_rate in rates]
    listed_ns = harnesses[0].now_ns + 6 * NS_PER_S
    started_ns = listed_ns - age_s * NS_PER_S
    endpoints = [replace(server, started_ns=started_ns) if server.id == 1 else server for server in make_endpoints(12)]
    for harness in harnesses:
        harness.feed(
            balancing.EndpointUpdate(
                balancing.EndpointUpdateKind.CACHED, endpoints if restarted else make_endpoints(12)
            )
        )
    for tick in range(2000):
        for index, harness in enumerate(harnesses):
            if tick == 1200 and not restarted:
                harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [endpoints[0]]))
            while next_arrivals_s[index] * NS_PER_S < tick * 5 * NS_PER_MS:
                next_arrivals_s[index] += random.expovariate(rates[index])
                name = f"c{len(harness.requests)}"
                if try_send_request(harness, name):
                    harness.finish_attempt(name, 0, balancing.AttemptResult.OK)
            harness.now_ns += 5 * NS_PER_MS
    since_ns = started_ns if restarted else listed_ns
    send_times = sorted(
        at_ns for harness in harnesses for at_ns, endpoint_id in harness.sends if endpoint_id == 1 and at_ns >= since_ns
    )
    for window_start_ns in send_times:
        sends = sum(window_start_ns <= sent_ns < window_start_ns + 2 * NS_PER_S for sent_ns in send_times)
        ramp = min(1.0, 0.12 + 0.88 * max(0, window_start_ns - started_ns) / (20 * NS_PER_S))
        assert sends <= 3 + 3 * ramp * rate / 12 * 2


def send_evenly(harness: BalancerHarness, duration_ns: int, gap_ms: int) -> None:
    """Send requests at a constant rate, each answered 40 ms later."""
    until_ns = harness.now_ns + duration_ns
    pending_responses: list[tuple[int, str]] = []
    number = len(harness.requests)
    while harness.now_ns < until_ns:
        number += 1
        if try_send_request(harness, f"d{number}"):
            pending_responses.append((harness.now_ns + 40 * NS_PER_MS, f"d{number}"))
        harness.pass_time(gap_ms * NS_PER_MS, gap_ms * NS_PER_MS)
        for due_ns, name in list(pending_responses):
            if due_ns <= harness.now_ns:
                pending_responses.remove((due_ns, name))
                if not harness.requests[name].finished:
                    harness.finish_attempt(name, 0, balancing.AttemptResult.OK)


def try_send_request(harness: BalancerHarness, name: str) -> bool:
    """Send a request; return whether the balancer sent an attempt of it."""
    return any(isinstance(action, balancing.SendAttempt) for action in harness.send_request(name))
