"""Reads the process's resources: processor time, resident memory, descriptors.  The package's only I/O."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass

from lugtally.overload.delay_meter import ResourceUsage

STATM_READ_BYTES = 128


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What the configuration grants the sidecar."""

    cores: float
    memory_bytes: int
    descriptors: int


class ResourceMonitor:
    """Reads the resources of this process.

    ``open_descriptors`` returns how many are open: to list them costs more, the more there are.
    """

    def __init__(
        self, limits: ResourceLimits, open_descriptors: Callable[[], int], statm_path: str = "/proc/self/statm"
    ) -> None:
        self._limits = limits
        self._open_descriptors = open_descriptors
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        try:
            self._statm_fd: int | None = os.open(statm_path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm_fd = None  # no such file system: memory then counts as free
        self._last_wall_ns, self._last_cpu_ns = time.monotonic_ns(), time.process_time_ns()

    def read(self) -> ResourceUsage:
        """Return the fraction of each resource that is used now; of the cores, since the last call."""
        limits = self._limits
        return ResourceUsage(
            self._cpu_fraction(),
            self.resident_bytes() / limits.memory_bytes,
            self._open_descriptors() / limits.descriptors,
        )

    def _cpu_fraction(self) -> float:
        wall_ns, cpu_ns = time.monotonic_ns(), time.process_time_ns()
        used_cores = (cpu_ns - self._last_cpu_ns) / max(1, wall_ns - self._last_wall_ns)
        self._last_wall_ns, self._last_cpu_ns = wall_ns, cpu_ns
        return used_cores / self._limits.cores

    def resident_bytes(self) -> int:
        """Return the resident memory; 0 where it cannot be read."""
        if self._statm_fd is None:
            return 0
        _, resident_pages, *_ = os.pread(self._statm_fd, STATM_READ_BYTES, 0).split()
        return int(resident_pages) * self._page_bytes

    def close(self) -> None:
        """Close the descriptor that the memory is read from."""
        if self._statm_fd is not None:
            os.close(self._statm_fd)
            self._statm_fd = None
