"""Helpers for tests of peers that keep their sockets full: the delays that they cause, and how to start them."""

from __future__ import annotations

import gc
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from lugtally.address import Address
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from tests.flooding_clients import Flood
from tests.sidecar_program import ROOT

ANSWER_SLACK_NS = 20 * NS_PER_MS
"""How long after its deadline a request may be answered, by the settings (``contract.answer_slack_ns``)."""
PROCESS_SLACK_NS = 50 * NS_PER_MS
"""How much longer each time limit is for a real process."""
FLOOD_S = 1.0


@dataclass(slots=True)
class LoopDelays:
    """How much processor time the event loop used each time before a task got its turn.

    Processor time instead of elapsed time, so that other processes of the machine do not affect the result.
    """

    loop: EventLoop
    delays_ns: list[int] = field(default_factory=list)
    stopped: bool = False

    def record(self) -> None:
        """Run as a task until ``stopped`` is set."""
        used_ns = time.thread_time_ns()
        while not self.stopped:
            self.loop.sleep(NS_PER_MS)
            previous_ns, used_ns = used_ns, time.thread_time_ns()
            self.delays_ns.append(used_ns - previous_ns)

    def quantile_ns(self, fraction: float) -> int:
        """Return the delay that this fraction of the processor time does not exceed.

        A delay counts by its length, because more requests arrive during a long delay than during a short one.
        """
        remaining_ns = fraction * sum(self.delays_ns)
        for delay_ns in sorted(self.delays_ns):
            remaining_ns -= delay_ns
            if remaining_ns <= 0:
                return delay_ns
        return max(self.delays_ns)

    def assert_within_slack(self) -> None:
        """Check that no task waited for its turn for longer than a response may be late."""
        assert self.quantile_ns(0.999) / NS_PER_MS <= ANSWER_SLACK_NS / NS_PER_MS
        assert max(self.delays_ns) / NS_PER_MS <= (ANSWER_SLACK_NS + PROCESS_SLACK_NS) / NS_PER_MS


@pytest.fixture
def frozen_objects() -> Iterator[None]:
    """Exclude the objects of the test run from garbage collections, as the program does with its own at its start."""
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


def start_flood(address: Address, connections: int, flood: Flood) -> subprocess.Popen[bytes]:
    """Start the flooding clients in a process of their own."""
    arguments = [address.host, str(address.port), str(connections), str(FLOOD_S), flood.value]
    command = [sys.executable, "-m", "tests.flooding_clients", *arguments]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)
