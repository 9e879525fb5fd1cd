"""Server model: agreement with queueing theory, and each way in which a server slows down or rejects requests."""

from __future__ import annotations

from math import factorial, inf

import pytest
from hypothesis import given, settings
from hypothesis import seed as hypothesis_seed
from hypothesis import strategies as st

from lugtally.testbed.emulator.server_model import Admission, Job, ServerModel, ServerTraits
from lugtally.testbed.scenario.random_streams import stream

HYPOTHESIS_SEED = 1  # fixed, as hypothesis would otherwise derive a seed from the source text of the test
UNLIMITED = 10**9  # more than any test reaches


def mean_wait(cores: int, utilisation: float, request_count: int) -> float:
    """Return the mean wait in the queue of an M/M/c server, in mean service times, measured over these requests."""
    random = stream(11, "queue", cores, utilisation)
    gaps, works = random.exponential(1 / (utilisation * cores), request_count), random.exponential(1.0, request_count)
    server = ServerModel(
        ServerTraits(
            cores=cores,
            slots=cores,
            max_queue=UNLIMITED,
            congestion_threshold=UNLIMITED,
            choke_threshold=inf,
            drops_expired=False,
        ),
        0.0,
    )
    now, total_wait, ended_count = 0.0, 0.0, 0
    for gap, work in zip(gaps, works, strict=True):
        now += float(gap)
        for job in server.advance(now):
            total_wait, ended_count = total_wait + job.started_at - job.arrived_at, ended_count + 1
        assert server.offer(now, Job("x", float(work))) is Admission.ADMITTED
    for job in server.advance(now + 1e6):
        total_wait, ended_count = total_wait + job.started_at - job.arrived_at, ended_count + 1
    assert ended_count == request_count, "a request was lost"
    return total_wait / request_count


def erlang_c_wait(cores: int, utilisation: float) -> float:
    """Return the same wait, calculated with the Erlang C formula (Kleinrock 1975, 3.5)."""
    offered_load = utilisation * cores
    queueing_term = offered_load**cores / factorial(cores) / (1 - utilisation)
    wait_probability = queueing_term / (
        sum(offered_load**busy / factorial(busy) for busy in range(cores)) + queueing_term
    )
    return wait_probability / (cores * (1 - utilisation))


@pytest.mark.parametrize(
    ("cores", "utilisation", "request_count"),
    [(1, 0.3, 60_000), (1, 0.5, 120_000), (1, 0.7, 250_000), (3, 0.4, 120_000), (3, 0.6, 120_000), (3, 0.75, 200_000)],
)
def test_queue_waits_match_erlang_c(cores: int, utilisation: float, request_count: int) -> None:
    assert mean_wait(cores, utilisation, request_count) == pytest.approx(erlang_c_wait(cores, utilisation), rel=0.03)


def test_full_queue_and_draining_server_reject() -> None:
    server = ServerModel(ServerTraits(cores=1, slots=1, max_queue=1), 0.0)
    assert [server.offer(0.0, Job(str(number), 1.0)) for number in range(3)] == [
        Admission.ADMITTED,
        Admission.ADMITTED,
        Admission.FULL,
    ]
    assert [job.name for job in server.advance(5.0)] == ["0", "1"]
    server.draining = True
    assert server.offer(5.0, Job("late", 1.0)) is Admission.DRAINING


def test_silent_server_admits_all_and_resumes_work() -> None:
    server = ServerModel(ServerTraits(cores=1, slots=1, max_queue=1), 0.0)
    server.silent = server.draining = True
    assert all(server.offer(0.0, Job(str(number), 0.5)) is Admission.ADMITTED for number in range(5))
    assert server.advance(60.0) == []
    assert server.next_due() == inf
    server.silent = False
    server.advance(60.0)
    assert [job.name for job in server.advance(70.0)] == ["0", "1", "2", "3", "4"]


def test_cancelled_and_expired_requests_get_no_work() -> None:
    server = ServerModel(ServerTraits(cores=1, slots=1, max_queue=9), 0.0)
    first, second, third = Job("1", 5.0), Job("2", 1.0, deadline=0.5), Job("3", 1.0)
    for job in (first, second, third):
        server.offer(0.0, job)
    server.advance(1.0)
    server.cancel(1.0, first)
    ended = server.advance(9.0)
    assert first.remaining == pytest.approx(4.0)
    assert first.ended_at < 0
    assert not [job for job in ended if job is first]
    assert third in ended
    assert third.ended_at == pytest.approx(2.0)


def test_cold_server_warms_up_and_collapses_under_overload() -> None:
    traits = ServerTraits(
        cores=2,
        slots=2,
        max_queue=UNLIMITED,
        initial_capacity=0.3,
        warm_up_s=5.0,
        collapse_multiple=2.5,
        collapse_window_s=1.0,
    )
    server = ServerModel(traits, 100.0, cold=True)
    assert server.warm_fraction == pytest.approx(0.3)
    server.advance(102.5)
    assert server.warm_fraction == pytest.approx(0.65)
    for tick in range(20):  # twice its capacity is below the limit of 2.5
        server.advance(102.5 + tick * 0.05)
        server.offer(102.5 + tick * 0.05, Job("x", 2 * server.capacity * 0.05, sidecar=tick % 2))
    assert not server.collapsed
    for tick in range(40):
        now = 103.5 + tick * 0.05
        server.advance(now)
        server.offer(now, Job("x", 4 * server.capacity * 0.05, sidecar=tick % 2))
    assert server.collapsed
    assert set(server.collapse_work_by_sidecar) == {0, 1}
    warm = ServerModel(traits, 0.0)
    for tick in range(200):
        warm.offer(0.001 * tick, Job("x", 1.0))
    assert not warm.collapsed


def test_choke_starts_when_congested_and_ends_when_idle() -> None:
    traits = ServerTraits(
        cores=1,
        slots=1,
        max_queue=UNLIMITED,
        choke_threshold=5,
        choke_onset_s=1.0,
        choke_slowdown=3.0,
        choke_idle_s=2.0,
        congestion_threshold=UNLIMITED,
    )
    server = ServerModel(traits, 0.0)
    for number in range(20):
        server.offer(0.0, Job(str(number), 0.5))
    server.advance(1.5)
    assert server.choke.is_active
    completed_count = len(server.advance(4.5))
    assert completed_count == pytest.approx(3.0 / 3 / 0.5, abs=1), "a choked server is three times slower"
    for job in [*server.queue, *server.in_service]:
        server.cancel(4.5, job)
    server.advance(6.4)
    assert server.choke.is_active
    server.advance(6.7)
    assert not server.choke.is_active


def test_congestion_neighbour_and_full_table_slow_server_down() -> None:
    def duration_s(cause: str) -> float:
        server = ServerModel(
            ServerTraits(
                cores=1, slots=1, congestion_threshold=2, congestion_loss=0.5, full_table_loss=0.25, handshake_work=0.01
            ),
            0.0,
        )
        if cause == "neighbour":
            server.neighbour_share = 0.5
        elif cause == "shared":
            server.slowdown = 2.0
        elif cause == "table":
            server.connections = 68
        server.offer(0.0, Job("one", 1.0))
        if cause == "congestion":
            for number in range(4):
                server.offer(0.0, Job(str(number), 1.0))
        return next(job.ended_at for job in server.advance(100.0) if job.name == "one")

    assert duration_s("") == pytest.approx(1.0)
    assert duration_s("neighbour") == pytest.approx(2.0) == duration_s("shared")
    assert duration_s("table") == pytest.approx(1 / 0.75)
    assert duration_s("congestion") == pytest.approx(1 + 0.5 * 1.5)


def test_connection_table_is_capped_and_handshakes_cost_work() -> None:
    server = ServerModel(ServerTraits(cores=1, slots=1, max_connections=2, handshake_work=0.1), 0.0)
    assert [server.connect(), server.connect(), server.connect()] == [True, True, False]
    server.offer(0.0, Job("x", 1.0))
    (job,) = server.advance(10.0)
    assert job.ended_at == pytest.approx(1.2)
    server.disconnect()
    assert server.connect()


OPERATION = st.tuples(st.floats(0, 0.3), st.floats(0.001, 0.5), st.sampled_from(["offer", "cancel", "slow", "silence"]))


@hypothesis_seed(HYPOTHESIS_SEED)
@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(OPERATION, max_size=60))
def test_no_request_is_lost_or_processed_twice(operations: list[tuple[float, float, str]]) -> None:
    """Each admitted request ends once or is cancelled, and the work done does not exceed the capacity of the cores."""
    server = ServerModel(
        ServerTraits(
            cores=2,
            slots=2,
            max_queue=5,
            congestion_threshold=2,
            choke_threshold=2,
            choke_onset_s=0.2,
            drops_expired=True,
        ),
        0.0,
    )
    now, admitted_jobs, ended_jobs, cancelled_names = 0.0, {}, [], set()
    for number, (gap, work, operation) in enumerate(operations):
        now += gap
        ended_jobs += server.advance(now)
        if operation == "cancel" and server.queue:
            job = server.queue[-1]
            server.cancel(now, job)
            cancelled_names.add(job.name)
        elif operation == "slow":
            server.slowdown = 1 + work
        elif operation == "silence":
            server.silent = not server.silent
        job = Job(str(number), work, deadline=now + 1)
        if server.offer(now, job) is Admission.ADMITTED:
            admitted_jobs[job.name] = job
    server.silent = False
    ended_jobs += server.advance(now + 1e4)
    ended_names = [job.name for job in ended_jobs]
    assert len(ended_names) == len(set(ended_names))
    assert set(ended_names) | cancelled_names == set(admitted_jobs)
    assert not set(ended_names) & cancelled_names
    assert server.work_done <= 2 * server.now + 1e-6
    assert all(job.remaining <= 1e-6 for job in ended_jobs if not job.expired)
