"""Reads how much processor time, memory and descriptors this process uses.  No other module of the package does I/O."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass

from lugtally.overload.delay_meter import ResourceUsage

STATM_READ_BYTES = 128
"""More than the length of ``/proc/self/statm``, which has seven numbers on one line."""


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
        self, limits: ResourceLimits, open_descriptors: Callable[[], int], statm_path: str = "/proc/self/statm"
    ) -> None:
        self._limits = limits
        self._open_descriptors = open_descriptors
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        try:
            self._statm_fd: int | None = os.open(statm_path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm_fd = None  # without procfs, the resident memory counts as 0
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
        if self._statm_fd is None:
            return 0
        _, resident_pages, *_ = os.pread(self._statm_fd, STATM_READ_BYTES, 0).split()
        return int(resident_pages) * self._page_bytes

    def close(self) -> None:
        """Close the descriptor of ``/proc/self/statm``."""
        if self._statm_fd is not None:
            os.close(self._statm_fd)
            self._statm_fd = None
