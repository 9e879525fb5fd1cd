"""A balancer with fixed actions, and a function that runs one task with a dispatcher."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lugtally import balancing, dispatch
from lugtally.dispatch import dispatcher as dispatcher_module
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS


class TwoAttemptBalancer:
    """Records each event, and starts two attempts for each request of class 0.  Other requests get no decision."""

    def __init__(self) -> None:
        self.events: list[balancing.Event] = []

    def handle(self, now_ns: int, event: balancing.Event) -> list[balancing.Action]:
        """Return two attempts and another action for a request of class 0, and no action for any other event."""
        self.events.append(event)
        if isinstance(event, balancing.Request) and event.class_index == 0:
            return [
                balancing.SendAttempt(event.id, 7, NS_PER_MS),
                balancing.CloseIdleConnections(9),
                balancing.SendAttempt(event.id, 8, NS_PER_MS),
            ]
        return []


@pytest.fixture
def balancer(monkeypatch: pytest.MonkeyPatch) -> TwoAttemptBalancer:
    """Return the balancer that each dispatcher of the test uses."""
    replacement = TwoAttemptBalancer()
    monkeypatch.setattr(dispatcher_module, "Balancer", lambda *_: replacement)
    return replacement


def run_task(loop: EventLoop, dispatcher: dispatch.Dispatcher, work: Callable[[], object]) -> None:
    """Run ``work`` as a task of ``loop`` until it returns; raise what it raises, including failed assertions."""
    errors: list[BaseException] = []

    def body() -> None:
        try:
            work()
        except BaseException as error:
            errors.append(error)
        finally:
            loop.stop()

    loop.spawn(body)
    loop.run(dispatcher.run_due_timers)
    if errors:
        raise errors[0]
