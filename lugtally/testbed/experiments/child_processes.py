"""The child processes of a run, each in a session of its own; none is left behind."""

from __future__ import annotations

import contextlib
import select
import subprocess
import time
from pathlib import Path
from typing import Any

READY_TIMEOUT_S = 20.0  # for each process to come up
STOP_TIMEOUT_S = 5.0  # for all processes together, after the word ``stop``
MIN_WAIT_S = 0.1


class RunError(Exception):
    """The run could not be played."""


class ChildProcesses:
    """All children of a run, by the order of their start; their logs are in its folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: list[subprocess.Popen[bytes]] = []

    def spawn(self, command: list[str], log: str, **options: Any) -> subprocess.Popen[bytes]:
        """Start a child with its standard error in that log."""
        with (self._folder / log).open("ab") as stderr:
            child = subprocess.Popen(command, stderr=stderr, start_new_session=True, **options)
        self._children.append(child)
        return child

    def stop(self) -> None:
        """Tell the children that read words to stop; kill those that are still there after a while."""
        for child in self._children:
            if child.stdin is not None and child.poll() is None:
                with contextlib.suppress(OSError):  # it has ended meanwhile
                    child.stdin.write(b"stop\n")
                    child.stdin.close()
        until = time.monotonic() + STOP_TIMEOUT_S
        for child in self._children:
            try:
                child.wait(max(MIN_WAIT_S, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


def await_ready(child: subprocess.Popen[bytes], folder: Path) -> None:
    """Wait for the word ``ready``.  Raises RunError."""
    assert child.stdout is not None
    readable, _, _ = select.select([child.stdout], [], [], READY_TIMEOUT_S)
    if not readable or child.stdout.readline().strip() != b"ready":
        raise RunError(f"a part of the kit did not come up; its log is in {folder}")


def send_line(child: subprocess.Popen[bytes], line: str) -> None:
    """Pass a line to a child's standard input."""
    assert child.stdin is not None
    child.stdin.write(line.encode() + b"\n")
    child.stdin.flush()
