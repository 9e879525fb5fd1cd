"""Tasks of the event loop: interruption, faults and timers that are no longer needed."""

from __future__ import annotations

from lugtally.eventloop import Event, EventLoop, WakeReason
from lugtally.units import NS_PER_MS


def test_an_interrupted_task_does_not_block_again() -> None:
    loop = EventLoop()
    reasons: list[WakeReason] = []

    def sleep_twice() -> None:
        reasons.extend([loop.sleep(60_000 * NS_PER_MS), loop.sleep(60_000 * NS_PER_MS)])
        loop.stop()

    task = loop.spawn(sleep_twice)
    loop.spawn(lambda: loop.interrupt(task))
    loop.run(lambda: None)
    assert reasons == [WakeReason.INTERRUPTED, WakeReason.INTERRUPTED]


def test_a_task_interrupted_as_it_becomes_ready_is_interrupted() -> None:
    """An attempt cancelled just as its connection came up used to write its request all the same."""
    loop = EventLoop()
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


def test_a_fault_in_one_task_leaves_the_others_running() -> None:
    loop = EventLoop()
    loop.spawn(int, "no number")
    loop.spawn(loop.stop)
    loop.run(lambda: None)


def test_waits_that_end_early_leave_no_timers() -> None:
    """At thousands of requests a second with deadlines of 8 s, dead timers held 15 MB."""
    loop = EventLoop()
    event = Event(loop)
    reasons: list[WakeReason] = []

    def wait_many_times() -> None:
        for _ in range(20_000):
            event.set()
            event.wait(loop.now() + 8_000 * NS_PER_MS)  # passes at once
            loop.spawn(event.set)
            assert event.wait(loop.now() + 8_000 * NS_PER_MS) is WakeReason.READY
        reasons.append(event.wait(loop.now() + 2 * NS_PER_MS))
        loop.stop()

    loop.spawn(wait_many_times)
    loop.run(lambda: None)
    assert reasons == [WakeReason.TIMEOUT], "a timer that counts was cleared as well"
    assert len(loop._timers) < 1000
