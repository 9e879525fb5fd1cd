"""Plays one run: starts the stand-ins, the real sidecars and the load tool, and hands their books to the judge.

Every process is a child of this one in a session of its own, and is ended by its id whatever happens here: Ctrl-C
leaves none of them and still gives a report on what was seen so far.
"""

from __future__ import annotations

import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import psutil

from lugtally.testbed.emulator import loopback
from lugtally.testbed.experiments import baselines
from lugtally.testbed.reporting.report import INTERRUPTED, Report, build
from lugtally.testbed.scenario.fault_events import FaultEvent
from lugtally.testbed.scenario.random_streams import stream
from lugtally.testbed.scenario.scenario import EFFECT_SETTINGS, Scenario
from lugtally.testbed.scenario.schedule import Schedule, make_schedule
from lugtally.testbed.scenario.specification import ProcessSpecification
from lugtally.testbed.verification import verifier
from lugtally.testbed.verification.event_log import EventLog, EventLogWriter, read_records
from lugtally.testbed.verification.records import ProcessEvent, ProcessEventKind
from lugtally.testbed.verification.violations import DRAIN_GRACE_S, RESPONSE_SLACK_S

READY_S = 20.0  # for each process to come up
AHEAD_S = 0.4  # between the word ``go`` and the first arrival
STOP_S = 8.0  # for a sidecar to end after SIGTERM, beyond the longest deadline
TURN_S = 0.05
SAMPLE_S = 0.5
MODULE = "module"  # the decisions that the daemon ships

# The processes of a run beside the sidecars, by the name that their files carry.
PROCESS_MODULES = {"world": "lugtally.testbed.emulator.process", "load": "lugtally.testbed.loadgen.generator"}


class RunError(Exception):
    """The run could not be played."""


@dataclass(slots=True)
class Usage:
    """What one sidecar used; summed over its restarts."""

    cpu_s: float = 0.0
    rss_mb: float = 0.0  # the most seen
    ended_cpu_s: float = 0.0


@dataclass(slots=True)
class Sidecar:
    """One sidecar process, and what is to become of it."""

    number: int
    process: subprocess.Popen[bytes] | None = None
    watch: psutil.Process | None = None
    ready: bool = False
    told: str = ""  # kill or term, until it has ended
    back_at: float | None = None  # when it is to be started again
    usage: Usage = field(default_factory=Usage)


def settings(scenario: Scenario, sidecar: int) -> dict[str, Any]:
    """What a sidecar is told of the deployment, in the words of the platform's wire."""
    grades = [
        {
            "name": c.name,
            "effect": EFFECT_SETTINGS[c.effect],
            "gain": c.priority_weight,
            "late_worth": c.late_priority_weight,
            "slo_ns": int(c.latency_objective_ms * 1e6),
            "hard_limit_ns": int(c.deadline_ms * 1e6),
            "key_scope": c.deduplication_scope,
            "key_ttl_ns": int(c.deduplication_window_ms * 1e6),
            "stream": False,
        }
        for c in scenario.classes
    ]
    fleet, zones = scenario.fleet, list(scenario.fleet.zones)
    return {
        "grades": grades,
        "instances": fleet.sidecars,
        "me": sidecar,
        "zones": zones,
        "locality": sidecar % len(zones),
        "kinds": ["std"],
        "membership_mode": "subscribe",
        "step_ns": 5_000_000,
        "ceilings": {
            "most_tries": 4,
            "cancel": True,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_ns": 2_000_000_000,
            "may_probe": True,
            "peers": False,
            "keepalive_ns": int(scenario.network.idle_timeout_s * 1e9),
            "connect_timeout_ns": 150_000_000,
        },
        "contract": {
            "answer_slack_ns": int(RESPONSE_SLACK_S * 1e9),
            "ask_within_ns": int(scenario.discovery.poll_within_s * 1e9),
            "cold_from": fleet.initial_capacity,
            "warm_within_ns": int(fleet.warm_up_s * 1e9),
            "drain_grace_ns": int(DRAIN_GRACE_S * 1e9),
            "fall_multiple": fleet.collapse_multiple,
            "tip_after_ns": int(fleet.collapse_window_s * 1e9),
        },
        "prices": {"cross_zone": 0.03},
        "report": {"how": "probe", "columns": ["inflight", "queue", "qps"]},
    }


@contextmanager
def _undisturbed() -> Iterator[None]:
    """Without the signals that end a run; only the main thread can be told of them at all."""
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    before = {number: signal.signal(number, signal.SIG_IGN) for number in (signal.SIGINT, signal.SIGTERM)}
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


class Run:
    """One scenario under one seed with one policy.  ``watch`` is told the seconds played and what goes on."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        *,
        policy: str = MODULE,
        folder: Path | None = None,
        watch: Callable[[float, str], None] = lambda _seconds, _what: None,
        command: list[str] | None = None,
        operator: Path | None = None,
    ) -> None:
        self.scenario, self.seed, self.policy, self.watch = scenario, seed, policy, watch
        self.schedule: Schedule = make_schedule(scenario, seed)
        self.operator = operator
        self._keep = folder is not None
        self.folder = folder or Path(tempfile.mkdtemp(prefix="lugtally-rehearsal-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.command = command or self._command()
        self.base = time.monotonic()
        self.start = 0.0
        self.sidecars = [Sidecar(at) for at in range(scenario.fleet.sidecars)]
        self._children: list[subprocess.Popen[bytes]] = []
        self._book = EventLogWriter(self.folder / "runner.jsonl")
        self._sampled = 0.0
        self._spinners: dict[int, list[subprocess.Popen[bytes]]] = {}

    def _command(self) -> list[str]:
        if self.policy == MODULE:
            more = ["--operator", str(self.operator.resolve())] if self.operator is not None else []
            return [sys.executable, "-B", "-m", "lugtally", "serve", "--log-level", "WARNING", *more]
        if self.policy not in baselines.NAMES:
            raise RunError(f"{self.policy}: no policy; there are {MODULE}, {', '.join(baselines.NAMES)}")
        return [sys.executable, "-B", "-m", "lugtally.testbed.experiments.baselines", self.policy]

    def clock(self) -> float:
        """Seconds since the base."""
        return time.monotonic() - self.base

    # ------------------------------------------------------------ the whole

    def play(self) -> Report:
        """Play it to the end, or to Ctrl-C, and judge what the books hold."""
        block = loopback.LoopbackBlock()
        cut_short = ""
        try:
            self.block = block.number
            self._play()
        except KeyboardInterrupt:
            cut_short = INTERRUPTED
        finally:
            # From here on a second Ctrl-C must not leave processes behind either.
            with _undisturbed():
                self._end()
                self._book.close()
                block.close()
        log = EventLog(read_records(self.folder / name for name in ("world.jsonl", "load.jsonl", "runner.jsonl")))
        findings = verifier.verify(log, self.schedule, self.start)
        if cut_short:
            findings.void_reasons.insert(0, f"{cut_short} after {max(0.0, self.clock() - self.start):.1f} s")
        report = build(
            self.schedule,
            self.policy,
            findings,
            log,
            self.start,
            [(s.usage.cpu_s, s.usage.rss_mb) for s in self.sidecars],
        )
        if not self._keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        return report

    def _play(self) -> None:
        self.watch(0.0, "starting")
        world = self._part("world")
        self._await_word(world, "ready")
        for sidecar in self.sidecars:
            self._configure(sidecar)
            self._start(sidecar)
        load = self._part("load")
        self._await_word(load, "ready")
        until = self.clock() + READY_S
        while not all(sidecar.ready for sidecar in self.sidecars):
            self._look_at_sidecars()
            if self.clock() > until:
                raise RunError(f"a sidecar was not ready after {READY_S:g} s; its log is in {self.folder}")
            if any(s.process is not None and s.process.poll() is not None for s in self.sidecars):
                raise RunError(f"a sidecar ended before it was ready; its log is in {self.folder}")
            time.sleep(0.02)
        self.start = self.clock() + AHEAD_S
        for part in (world, load):
            self._tell(part, f"go {self.start!r}")
        script = [event for event in self.schedule.events if event.fault.kind.startswith("sidecar-")]
        assert load.stdout is not None
        while True:
            ready, _, _ = select.select([load.stdout], [], [], TURN_S)
            if ready:
                break  # done, or ended
            now = self.clock()
            while script and now >= self.start + script[0].at:
                self._strike(script.pop(0))
            self._look_at_sidecars()
            if world.poll() is not None:
                raise RunError(f"the stand-ins ended; their log is in {self.folder}")
            self.watch(min(self.scenario.length_s, max(0.0, now - self.start)), "playing")
        self.watch(self.scenario.length_s, "stopping")

    def _end(self) -> None:
        """Stop everything: the sidecars as planned, then the rest; none is left behind."""
        self._sample(force=True)
        for child in [child for spinners in self._spinners.values() for child in spinners]:
            child.kill()
        for sidecar in self.sidecars:
            sidecar.back_at = None
            if sidecar.process is not None and sidecar.process.poll() is None and not sidecar.told:
                self._signal(sidecar, "term", signal.SIGTERM)
        longest = max(cls.deadline_ms for cls in self.scenario.classes) / 1000
        until = self.clock() + longest + STOP_S
        while self.clock() < until and any(s.process is not None for s in self.sidecars):
            self._look_at_sidecars()
            time.sleep(0.01)
        for child in self._children:
            if child.stdin is not None and child.poll() is None:
                try:
                    child.stdin.write(b"stop\n")
                    child.stdin.close()
                except OSError:
                    pass  # it has ended meanwhile
        until = time.monotonic() + 5
        for child in self._children:
            try:
                child.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()

    # ------------------------------------------------------------ processes

    def _spawn(self, command: list[str], log: str, **more: Any) -> subprocess.Popen[bytes]:
        with (self.folder / log).open("ab") as stderr:
            child = subprocess.Popen(command, stderr=stderr, start_new_session=True, **more)
        self._children.append(child)
        return child

    def _part(self, name: str) -> subprocess.Popen[bytes]:
        told = ProcessSpecification(self.scenario, self.seed, self.block, self.base, str(self.folder / f"{name}.jsonl"))
        path = self.folder / f"{name}.spec.json"
        path.write_bytes(msgspec.json.encode(told))
        return self._spawn(
            [sys.executable, "-B", "-m", PROCESS_MODULES[name], str(path)],
            f"{name}.log",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def _await_word(self, child: subprocess.Popen[bytes], word: str) -> None:
        assert child.stdout is not None
        ready, _, _ = select.select([child.stdout], [], [], READY_S)
        if not ready or child.stdout.readline().strip() != word.encode():
            raise RunError(f"a part of the kit did not come up; its log is in {self.folder}")

    def _tell(self, child: subprocess.Popen[bytes], line: str) -> None:
        assert child.stdin is not None
        child.stdin.write(line.encode() + b"\n")
        child.stdin.flush()

    def configuration(self, sidecar: Sidecar) -> dict[str, Any]:
        """What that sidecar is told: its config.json."""
        rows = [
            {
                "id": m.name,
                "addr": f"{loopback.server_host(self.block, at, sidecar.number)}:{loopback.PORT}",
                "zone": m.zone,
                "kind": "std",
                "cell": self.scenario.fleet.zones.index(m.zone),
                "state": "ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for at, m in enumerate(self.schedule.machines[: self.scenario.fleet.servers])
        ]
        return {
            "name": f"n{sidecar.number}",
            "listen": f"{loopback.sidecar_host(self.block, sidecar.number)}:{loopback.PORT}",
            "discovery": f"{loopback.discovery_host(self.block, sidecar.number)}:{loopback.PORT}",
            "seed": f"{stream(self.seed, 'sidecar', sidecar.number).integers(2**62):x}",
            "limits": {"cores": 1.0, "memory_mb": self.scenario.memory_mb, "sockets": self.scenario.sockets},
            "known": {"version": 1, "full": True, "servers": rows},
            "settings": settings(self.scenario, sidecar.number),
        }

    def _configure(self, sidecar: Sidecar) -> None:
        path = self.folder / f"sidecar-{sidecar.number}.json"
        path.write_text(json.dumps(self.configuration(sidecar)), encoding="utf-8")

    def _start(self, sidecar: Sidecar) -> None:
        environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        environment["PROXY_CONFIG"] = str(self.folder / f"sidecar-{sidecar.number}.json")
        sidecar.process = self._spawn(
            self.command,
            f"sidecar-{sidecar.number}.log",
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
        )
        sidecar.watch = psutil.Process(sidecar.process.pid)
        if self.scenario.fleet.pinned:
            os.sched_setaffinity(sidecar.process.pid, {self._core(sidecar)})
        sidecar.ready = False

    def _core(self, sidecar: Sidecar) -> int:
        """The core of a pinned sidecar: from the last one down, as the kit's own processes begin at the first."""
        every = sorted(os.sched_getaffinity(0))
        return every[-1 - sidecar.number % len(every)]

    def _starve(self, event: FaultEvent) -> None:
        """Other programs take a share of a sidecar's core: as many that spin as leave it the rest, by fair shares."""
        sidecar = self.sidecars[event.fault.sidecar]
        if not event.begins:
            for child in self._spinners.pop(sidecar.number, []):
                child.kill()
                child.wait()
            return
        count = max(1, round(event.fault.size / (1 - event.fault.size)))
        self._spinners[sidecar.number] = [
            self._spawn([sys.executable, "-c", "while True: pass"], "spin.log") for _ in range(count)
        ]
        for child in self._spinners[sidecar.number]:
            os.sched_setaffinity(child.pid, {self._core(sidecar)})

    def _write(self, sidecar: Sidecar, what: str, status: int = 0) -> None:
        self._book.write(ProcessEvent(self.clock(), sidecar.number, ProcessEventKind(what), status))
        self._book.flush()

    def _strike(self, event: FaultEvent) -> None:
        """A trouble of a sidecar itself."""
        if event.fault.kind == "sidecar-starved":
            self._starve(event)
            return
        sidecar = self.sidecars[event.fault.sidecar]
        if not event.begins or sidecar.process is None or sidecar.told:
            return
        what = event.fault.kind.removeprefix("sidecar-")
        if what == "hup":
            self._signal(sidecar, "hup", signal.SIGHUP)
            return
        sidecar.back_at = self.clock() + event.fault.takes_s
        self._signal(sidecar, what, signal.SIGKILL if what == "kill" else signal.SIGTERM)

    def _signal(self, sidecar: Sidecar, what: str, number: signal.Signals) -> None:
        assert sidecar.process is not None
        self._write(sidecar, what)
        if what != "hup":
            sidecar.told = what
        sidecar.process.send_signal(number)

    def _look_at_sidecars(self) -> None:
        """Note who is ready, who has ended and who is to come back."""
        self._sample()
        for sidecar in self.sidecars:
            if sidecar.process is not None:
                status = sidecar.process.poll()
                if status is not None:
                    sidecar.usage.ended_cpu_s = sidecar.usage.cpu_s
                    sidecar.process, sidecar.watch = None, None
                    self._write(sidecar, "ended", status)
                    sidecar.told = ""
                elif not sidecar.ready and self.healthy(sidecar):
                    sidecar.ready = True
                    self._write(sidecar, "ready")
            elif sidecar.back_at is not None and self.clock() >= sidecar.back_at:
                sidecar.back_at = None
                self._start(sidecar)

    def healthy(self, sidecar: Sidecar) -> bool:
        """Whether it answers that it is ready."""
        try:
            with socket.create_connection(
                (loopback.sidecar_host(self.block, sidecar.number), loopback.PORT), 0.2
            ) as sock:
                sock.settimeout(0.2)
                sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def _sample(self, *, force: bool = False) -> None:
        now = self.clock()
        if not force and now - self._sampled < SAMPLE_S:
            return
        self._sampled = now
        for sidecar in self.sidecars:
            if sidecar.watch is None:
                continue
            try:
                times, memory = sidecar.watch.cpu_times(), sidecar.watch.memory_info()
            except psutil.Error:
                continue  # it has just ended
            usage = sidecar.usage
            usage.cpu_s = usage.ended_cpu_s + times.user + times.system
            usage.rss_mb = max(usage.rss_mb, memory.rss / 2**20)
