"""Child processes of a run.

Each child has a session of its own: Ctrl-C in the terminal reaches only the runner, which then ends the children.
"""

from __future__ import annotations

import contextlib
import select
import subprocess
import time
from pathlib import Path
from typing import Any

READY_TIMEOUT_S = 20.0  # for each process
STOP_TIMEOUT_S = 5.0  # for all processes together, after the command ``stop``
MIN_STOP_TIMEOUT_S = 0.1  # for each process, even if the others took all the time


class RunError(Exception):
    """The run could not be started or completed."""


class ChildProcesses:
    """All child processes of a run, in the order of their start.  Their logs are in the folder of the run."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: list[subprocess.Popen[bytes]] = []

    def spawn(self, command: list[str], log_name: str, **options: Any) -> subprocess.Popen[bytes]:
        """Start a child whose standard error is appended to the file ``log_name``; ``options`` are those of Popen."""
        with (self._folder / log_name).open("ab") as stderr:
            child = subprocess.Popen(command, stderr=stderr, start_new_session=True, **options)
        self._children.append(child)
        return child

    def stop(self) -> None:
        """Send ``stop`` to the children that read commands, and kill those that do not end in time."""
        for child in self._children:
            if child.stdin is not None and child.poll() is None:
                with contextlib.suppress(OSError):  # the child has just ended
                    child.stdin.write(b"stop\n")
                    child.stdin.close()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for child in self._children:
            try:
                child.wait(max(MIN_STOP_TIMEOUT_S, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


def await_ready(child: subprocess.Popen[bytes], folder: Path) -> None:
    """Wait until a child prints ``ready``.  Raises RunError."""
    assert child.stdout is not None
    readable, _, _ = select.select([child.stdout], [], [], READY_TIMEOUT_S)
    if not readable or child.stdout.readline().strip() != b"ready":
        raise RunError(f"a testbed process did not become ready; its log is in {folder}")


def send_line(child: subprocess.Popen[bytes], line: str) -> None:
    """Write a line to a child's standard input."""
    assert child.stdin is not None
    child.stdin.write(line.encode() + b"\n")
    child.stdin.flush()
