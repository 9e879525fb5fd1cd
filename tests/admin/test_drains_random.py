"""Random sequences of operators' calls at several processes of one name, whose reads and writes may fail."""

from __future__ import annotations

import contextlib
import errno
import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import pytest

from lugtally.admin.drain_file import decode
from tests.admin.processes import ENDPOINTS, Process

SEEDS = range(60)
OPERATION_COUNT = 60
MAX_PROCESSES = 3
FAILURE_PROBABILITY = 0.15
HEALING_ROUNDS = 2
"""After this many reads of each process, none has a change to write that another has not read."""


@dataclass(slots=True)
class LiveProcess:
    """A process, and which of its system calls fail."""

    process: Process
    reads_fail: bool = False
    writes_fail: bool = False


class DrainHistory:
    """Runs random operations, and records what the last call for each endpoint was."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._folder = folder
        self._random = Random(seed)
        self._live = [LiveProcess(Process(folder))]
        self._last_calls: dict[str, bool] = {}
        self._lost_with_process: set[str] = set()
        """Endpoints whose last call was never written, because its process could not write until it was killed."""

    def run(self) -> None:
        operations: list[Callable[[], None]] = [self._call, self._call, self._call, self._reload, self._change_failures]
        operations += [self._start_process, self._kill_process]
        for _ in range(OPERATION_COUNT):
            self._random.choice(operations)()

    def check(self) -> None:
        """Check that all processes, a new one and the drain file have the drains of the last calls."""
        for live in self._live:
            live.reads_fail = live.writes_fail = False
        for _ in range(HEALING_ROUNDS):
            for live in self._live:
                live.process.drains.reload()
        expected = {endpoint for endpoint, is_drained in self._last_calls.items() if is_drained}
        for process in (*(live.process for live in self._live), Process(self._folder)):
            assert process.drained() - self._lost_with_process == expected - self._lost_with_process
        path = self._folder / "lugtally-n1-drains.json"
        in_drain_file = decode(path.read_bytes()) if path.exists() else frozenset()
        assert in_drain_file - self._lost_with_process == expected - self._lost_with_process

    def _call(self) -> None:
        live = self._random.choice(self._live)
        endpoint, is_drained = self._random.choice(ENDPOINTS), self._random.random() < 0.5
        drains = live.process.drains
        with failing_calls(live):
            assert (drains.start_drain if is_drained else drains.end_drain)(endpoint)
        self._last_calls[endpoint] = is_drained
        self._lost_with_process.discard(endpoint)

    def _reload(self) -> None:
        live = self._random.choice(self._live)
        with failing_calls(live):
            live.process.drains.reload()

    def _change_failures(self) -> None:
        live = self._random.choice(self._live)
        live.reads_fail = self._random.random() < FAILURE_PROBABILITY
        live.writes_fail = self._random.random() < FAILURE_PROBABILITY

    def _start_process(self) -> None:
        if len(self._live) < MAX_PROCESSES:
            self._live.append(LiveProcess(Process(self._folder)))

    def _kill_process(self) -> None:
        if len(self._live) > 1:
            killed = self._live.pop(self._random.randrange(len(self._live)))
            self._lost_with_process |= killed.process.drains._unsaved


@contextlib.contextmanager
def failing_calls(live: LiveProcess) -> Iterator[None]:
    """Let the calls of a process fail that are set to fail."""
    with pytest.MonkeyPatch.context() as patch:
        if live.reads_fail:
            patch.setattr(Path, "read_bytes", _fail)
            patch.setattr(Path, "iterdir", _fail)
        if live.writes_fail:
            patch.setattr(os, "replace", _fail)
        yield


def _fail(*_: Any) -> None:
    raise OSError(errno.EIO, os.strerror(errno.EIO))


@pytest.mark.parametrize("seed", SEEDS)
def test_last_call_for_each_endpoint_is_in_force(seed: int, tmp_path: Path) -> None:
    """Guards against a change that another process overwrites, or that an earlier one undoes when it is written."""
    history = DrainHistory(tmp_path, seed)
    history.run()
    history.check()
