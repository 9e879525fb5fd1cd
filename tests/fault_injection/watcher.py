"""Watches the processes of the sidecars, like a platform that kills a process over its memory limit."""

from __future__ import annotations

import asyncio

from tests.fault_injection.clock import now_ns
from tests.fault_injection.records import ProcessFailure, RunRecords, SidecarKill
from tests.fault_injection.sidecar_process import SidecarProcess

WATCH_INTERVAL_S = 0.02


async def watch_processes(sidecars: list[SidecarProcess], records: RunRecords) -> None:
    """Record each sidecar that ends by itself, and kill and record each that exceeds its memory; runs without end."""
    failed: set[int] = set()
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        for sidecar in sidecars:
            if sidecar.number not in failed and (detail := _failure(sidecar)):
                failed.add(sidecar.number)
                records.kills.append(SidecarKill(sidecar.number, now_ns()))
                records.process_failures.append(ProcessFailure(sidecar.number, detail))
                sidecar.kill()


def _failure(sidecar: SidecarProcess) -> str:
    """Return what is wrong with the process, empty if nothing is."""
    if not sidecar.was_started or sidecar.exit_expected:
        return ""
    if not sidecar.is_running:
        return "the process has ended by itself"
    resident_mb = sidecar.resident_mb()
    return f"{resident_mb:.1f} MB, the limit is {sidecar.memory_mb} MB" if resident_mb > sidecar.memory_mb else ""
