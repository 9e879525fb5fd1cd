"""Contention for the core of a sidecar, as caused by other programs on the machine."""

from __future__ import annotations

import os
import subprocess
import sys

from lugtally.testbed.experiments.child_processes import ChildProcesses

BUSY_LOOP = "while True: pass"


class CoreContention:
    """Processes that run a busy loop on the cores of sidecars."""

    def __init__(self, children: ChildProcesses) -> None:
        self._children = children
        self._busy_loops: dict[int, list[subprocess.Popen[bytes]]] = {}  # by sidecar

    def start(self, sidecar: int, core: int, share: float) -> None:
        """Start busy loops that together take this share of the core if the kernel schedules all processes fairly."""
        count = max(1, round(share / (1 - share)))
        busy_loops = [self._children.spawn([sys.executable, "-c", BUSY_LOOP], "spin.log") for _ in range(count)]
        self._busy_loops[sidecar] = busy_loops
        for process in busy_loops:
            os.sched_setaffinity(process.pid, {core})

    def stop(self, sidecar: int) -> None:
        """Kill the busy loops on the core of a sidecar."""
        for process in self._busy_loops.pop(sidecar, []):
            process.kill()
            process.wait()

    def kill_all(self) -> None:
        """Kill all busy loops."""
        for busy_loops in self._busy_loops.values():
            for process in busy_loops:
                process.kill()
