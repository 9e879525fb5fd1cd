"""Reads how much processor time, memory and descriptors this process uses.  No other module of the package does I/O."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from lugtally.memory import ResidentMemory
from lugtally.memory.resident import STATM_PATH
from lugtally.overload.delay_meter import ResourceUsage


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The configured resource limits of the sidecar."""

    cores: float
    memory_bytes: int
    descriptors: int


class ResourceMonitor:
    """Reads the resources that this process uses.

    ``open_descriptors`` returns the number of open descriptors.  The caller counts them, because listing them takes
    time in proportion to their number.
    """

    def __init__(
        self, limits: ResourceLimits, open_descriptors: Callable[[], int], statm_path: str = STATM_PATH
    ) -> None:
        self._limits = limits
        self._open_descriptors = open_descriptors
        self._resident_memory = ResidentMemory(statm_path)
        self._last_wall_ns, self._last_cpu_ns = time.monotonic_ns(), time.process_time_ns()

    def read(self) -> ResourceUsage:
        """Return the current usage of memory and descriptors, and the usage of processor time since the last call."""
        limits = self._limits
        return ResourceUsage(
            cpu_fraction=self._cpu_fraction(),
            memory_fraction=self.resident_bytes() / limits.memory_bytes,
            descriptors_fraction=self._open_descriptors() / limits.descriptors,
        )

    def _cpu_fraction(self) -> float:
        wall_ns, cpu_ns = time.monotonic_ns(), time.process_time_ns()
        used_cores = (cpu_ns - self._last_cpu_ns) / max(1, wall_ns - self._last_wall_ns)
        self._last_wall_ns, self._last_cpu_ns = wall_ns, cpu_ns
        return used_cores / self._limits.cores

    def resident_bytes(self) -> int:
        """Return the resident memory, or 0 if it cannot be read."""
        return self._resident_memory.read()

    def close(self) -> None:
        """Close the descriptor that the resident memory is read from."""
        self._resident_memory.close()
