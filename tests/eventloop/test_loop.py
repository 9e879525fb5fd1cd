"""The event loop: interrupted tasks, failing tasks, and the timers of finished waits."""

from __future__ import annotations

import time

from lugtally.eventloop import Event, EventLoop, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S

LONG_RUN_NS = 20 * NS_PER_MS


def test_an_interrupted_task_does_not_block_again(loop: EventLoop) -> None:
    reasons: list[WakeReason] = []

    def sleep_twice() -> None:
        reasons.extend([loop.sleep(60_000 * NS_PER_MS), loop.sleep(60_000 * NS_PER_MS)])
        loop.stop()

    task = loop.spawn(sleep_twice)
    loop.spawn(lambda: loop.interrupt(task))
    loop.run(lambda: None)
    assert reasons == [WakeReason.INTERRUPTED, WakeReason.INTERRUPTED]


def test_a_task_interrupted_after_it_was_resumed_is_interrupted(loop: EventLoop) -> None:
    """Regression: an attempt that was cancelled just as its connection was established still wrote its request."""
    reasons: list[WakeReason] = []
    event = Event(loop)

    def wait_for_event() -> None:
        reasons.append(event.wait())
        loop.stop()

    def set_and_interrupt() -> None:
        event.set()
        loop.interrupt(task)

    task = loop.spawn(wait_for_event)
    loop.spawn(set_and_interrupt)
    loop.run(lambda: None)
    assert reasons == [WakeReason.INTERRUPTED]


def test_an_exception_in_one_task_leaves_the_others_running(loop: EventLoop) -> None:
    loop.spawn(int, "no number")
    loop.spawn(loop.stop)
    loop.run(lambda: None)


def test_timers_of_finished_waits_are_removed(loop: EventLoop) -> None:
    """Regression: at thousands of requests per second with deadlines of 8 s, these timers used 15 MB."""
    event = Event(loop)
    reasons: list[WakeReason] = []

    def wait_many_times() -> None:
        for _ in range(20_000):
            event.set()
            event.wait(loop.now() + 8_000 * NS_PER_MS)  # the event is set: returns immediately
            loop.spawn(event.set)
            assert event.wait(loop.now() + 8_000 * NS_PER_MS) is WakeReason.READY
        reasons.append(event.wait(loop.now() + 2 * NS_PER_MS))
        loop.stop()

    loop.spawn(wait_many_times)
    loop.run(lambda: None)
    assert reasons == [WakeReason.TIMEOUT], "the timer of a task that still blocks was removed"
    assert len(loop._timers) < 1000


def test_longest_run_names_task_that_does_not_yield(loop: EventLoop) -> None:
    def run_long() -> None:
        time.sleep(LONG_RUN_NS / NS_PER_S)  # blocks the loop
        loop.sleep(0)
        loop.stop()

    loop.spawn(loop.sleep, 0)
    loop.spawn(run_long)
    loop.run(lambda: None)
    longest_run = loop.reset_longest_run()
    assert longest_run.function.endswith("run_long")
    assert longest_run.duration_ns >= LONG_RUN_NS
    assert loop.reset_longest_run().duration_ns == 0
