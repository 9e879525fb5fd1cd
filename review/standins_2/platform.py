"""A stand-in platform: starts sidecars with the ``run`` of the deploy file, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from standins_2.http_messages import read_message

ROOT = Path(__file__).parents[2]
LISTENER_DESCRIPTOR = 7
"""The descriptor at which every process inherits the platform's listening socket."""
START_TIMEOUT_S = 30.0
"""A sidecar that is not ready after this time has failed to start."""
END_TIMEOUT_S = 5.0
NS_PER_MS = 1_000_000


class StartError(Exception):
    """A sidecar did not become ready."""


def reserve_listener_descriptor() -> None:
    """Occupy ``LISTENER_DESCRIPTOR``, so that no stand-in's socket gets it; call this before any of them is opened."""
    null = os.open(os.devnull, os.O_RDONLY)
    if null != LISTENER_DESCRIPTOR:
        os.dup2(null, LISTENER_DESCRIPTOR, inheritable=False)
        os.close(null)


def free_address() -> tuple[str, int]:
    """Return a loopback address with a port that was free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1", sock.getsockname()[1]


def settings(**class_changes: object) -> dict[str, object]:
    """Return the ``settings`` of a small deployment with the classes and times of the brief.

    ``class_changes`` are set in every class.
    """
    read = {"name": "campaign-read", "effect": "idempotent", "gain": 1.0, "late_worth": 0.2}
    pledge = {"name": "pledge-record", "effect": "deduplicated", "gain": 3.0, "late_worth": 0.2}
    receipt = {"name": "receipt-issue", "effect": "at_most_once", "gain": 2.0, "late_worth": 0.3}
    times_ms = {"campaign-read": (300, 800), "pledge-record": (500, 1000), "receipt-issue": (1000, 3000)}
    classes = []
    for request_class in (read, pledge, receipt):
        aim_ms, limit_ms = times_ms[str(request_class["name"])]
        is_keyed = request_class["effect"] == "deduplicated"
        key = {"key_scope": "zone" if is_keyed else "all", "key_ttl_ns": (600 if is_keyed else 5000) * NS_PER_MS}
        times = {"slo_ns": aim_ms * NS_PER_MS, "hard_limit_ns": limit_ms * NS_PER_MS}
        classes.append({**request_class, **key, **times, "stream": False, **class_changes})
    return {
        "grades": classes,
        "ceilings": {
            "cancel": True,
            "connect_timeout_ns": 150 * NS_PER_MS,
            "keepalive_ns": 60_000 * NS_PER_MS,
            "max_retry_after_ns": 2000 * NS_PER_MS,
            "may_probe": True,
            "most_tries": 4,
            "retry_after": True,
            "second_copies": True,
        },
        "clients": {"marks_retry": True},
        "contract": {
            "answer_slack_ns": 20 * NS_PER_MS,
            "ask_within_ns": 10_000 * NS_PER_MS,
            "cold_from": 0.31,
            "drain_grace_ns": 1500 * NS_PER_MS,
            "fall_multiple": 2.5,
            "tip_after_ns": 1000 * NS_PER_MS,
            "warm_within_ns": 7500 * NS_PER_MS,
        },
        "instances": 1,
        "kinds": ["std-2core"],
        "locality": 0,
        "me": 0,
        "membership_mode": "subscribe",
        "prices": {"cross_zone": 0.03},
        "report": {"columns": ["inflight", "queue", "qps"], "how": "probe"},
        "step_ns": 5 * NS_PER_MS,
        "zones": ["a", "b"],
    }


class SidecarName:
    """One sidecar as the platform sees it: a name, a folder, an address for clients, and one process or two.

    Attributes:
        address: The address that clients connect to.
    """

    def __init__(self, folder: Path, discovery: str, known: dict[str, object], **limits: float) -> None:
        """``limits`` replace those of the configuration: ``memory_mb`` and ``sockets``."""
        self.address = free_address()
        self._folder = folder
        self._configuration = {
            "name": "n1",
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "known": known,
            "settings": settings(),
        }
        self._processes: list[SidecarProcess] = []
        self._holds_listener = False

    def hold_listener(self) -> None:
        """Open the clients' listening socket at ``LISTENER_DESCRIPTOR``, as on a day with replaced processes."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(self.address)
            listener.listen(1024)
            os.dup2(listener.fileno(), LISTENER_DESCRIPTOR, inheritable=True)
        self._holds_listener = True

    def start_process(self, **changes: object) -> SidecarProcess:
        """Start one process of this name; ``changes`` replace fields of its configuration."""
        number = len(self._processes) + 1
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        configuration_path = self._folder / f"config-{number}.json"
        operator = free_address()
        configuration = {**self._configuration, "operator": f"{operator[0]}:{operator[1]}", **changes}
        configuration_path.write_text(json.dumps(configuration))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "PROXY_NAME": "n1",
            "PROXY_LISTEN": str(configuration["listen"]),
            "PROXY_DISCOVERY": str(configuration["discovery"]),
            "PROXY_CONFIG": str(configuration_path),
            "PROXY_OPERATOR": str(configuration["operator"]),
        }
        descriptors: tuple[int, ...] = ()
        if self._holds_listener:
            environment["PROXY_SOCKET_FD"] = str(LISTENER_DESCRIPTOR)
            descriptors = (LISTENER_DESCRIPTOR,)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self._folder / f"log-{number}.txt").open("wb") as log:
            started = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=descriptors
            )
        process = SidecarProcess(started, operator)
        self._processes.append(process)
        return process

    def end_all(self) -> None:
        """End all processes of this name that still run."""
        for process in self._processes:
            process.end()


class SidecarProcess:
    """One process that the platform has started.

    Attributes:
        operator_address: The address for its operators.
    """

    def __init__(self, process: subprocess.Popen[bytes], operator_address: tuple[str, int]) -> None:
        self._process = process
        self.operator_address = operator_address

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self._process.pid

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if not self.has_ended:
            self._process.send_signal(number)

    async def wait_until_ready(self) -> None:
        """Wait until the operators' address says that the process is ready.

        Raises:
            StartError: It has ended, or is not ready in time.
        """
        deadline_s = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline_s:
            if self.has_ended:
                raise StartError("the sidecar has ended")
            if await self.operator_call("GET", "/control/ready") == 200:
                return
            await asyncio.sleep(0.02)
        raise StartError("the sidecar is not ready in time")

    async def operator_call(self, method: str, path: str) -> int:
        """Make one call of an operator; return the status of its answer, or 0 if there is none within a second."""
        call = f"{method} {path} HTTP/1.1\r\nHost: operator\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.operator_address)
                writer.write(call.encode())
                answer = await read_message(reader, is_response=True)
                return answer.status if answer is not None else 0
        except (OSError, TimeoutError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        with contextlib.suppress(subprocess.TimeoutExpired):
            self._process.wait(END_TIMEOUT_S)
