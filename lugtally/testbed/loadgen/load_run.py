"""State that the clients of a run share."""

from __future__ import annotations

import time
from pathlib import Path

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.timer_lag import TimerLag
from lugtally.testbed.loadgen.connection_pool import ConnectionPool
from lugtally.testbed.scenario.specification import ProcessSpecification, run_suffix
from lugtally.testbed.verification.event_log import EventLogWriter


class LoadRun:
    """Clock, connection pools, event log and random seed of a run."""

    def __init__(self, specification: ProcessSpecification) -> None:
        scenario = specification.scenario
        self.seed = specification.seed
        self.classes = scenario.classes
        self.client_behaviour = scenario.clients
        self.run_suffix = run_suffix(specification.seed)
        self.event_log = EventLogWriter(Path(specification.event_log_path))
        self.timer_lag = TimerLag("load")  # name of this process in the event log
        self.pools = [
            ConnectionPool(
                loopback.sidecar_host(specification.loopback_block, sidecar), scenario.clients.max_connections
            )
            for sidecar in range(scenario.fleet.sidecars)
        ]
        self.start = 0.0  # when the scenario begins, in seconds since the base time
        self.pending = 0  # attempts that are in flight or wait for a late response, and scheduled retries
        self._base = specification.base

    def clock(self) -> float:
        """Return the seconds since the base time of the run."""
        return time.monotonic() - self._base

    def close(self) -> None:
        """Record the timer lag and close the event log."""
        self.event_log.write(self.timer_lag.report())
        self.event_log.close()
