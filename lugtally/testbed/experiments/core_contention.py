"""Contention for a sidecar's core by other programs."""

from __future__ import annotations

import os
import subprocess
import sys

from lugtally.testbed.experiments.child_processes import ChildProcesses

BUSY_LOOP = "while True: pass"


class CoreContention:
    """Busy-looping programs, by the sidecar whose core they share."""

    def __init__(self, children: ChildProcesses) -> None:
        self._children = children
        self._spinners: dict[int, list[subprocess.Popen[bytes]]] = {}

    def start(self, sidecar: int, core: int, share: float) -> None:
        """Start as many programs as take this share of the core under fair scheduling."""
        count = max(1, round(share / (1 - share)))
        spinners = [self._children.spawn([sys.executable, "-c", BUSY_LOOP], "spin.log") for _ in range(count)]
        self._spinners[sidecar] = spinners
        for spinner in spinners:
            os.sched_setaffinity(spinner.pid, {core})

    def stop(self, sidecar: int) -> None:
        """End the programs on a sidecar's core."""
        for spinner in self._spinners.pop(sidecar, []):
            spinner.kill()
            spinner.wait()

    def kill_all(self) -> None:
        """Kill all programs."""
        for spinners in self._spinners.values():
            for spinner in spinners:
                spinner.kill()
