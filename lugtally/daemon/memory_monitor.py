"""Compares the memory budget with the resident memory, periodically, and logs what takes the memory."""

from __future__ import annotations

from typing import Any

from loguru import logger

from lugtally.eventloop import EventLoop
from lugtally.memory import MemoryBudget, read_resident_bytes
from lugtally.memory.budget import BYTES_PER_MB
from lugtally.units import NS_PER_MS

CHECK_INTERVAL_NS = 100 * NS_PER_MS
LOG_INTERVAL_NS = 10_000 * NS_PER_MS
MIN_WARNING_INTERVAL_NS = 1000 * NS_PER_MS
"""Minimum time between a line and a following warning: the usage may rise and fall quickly."""
LOGGED_USAGES = (0.4, 0.6, 0.8, 0.9)
"""Fractions of the budget above which its usage is logged: the uses of memory give way one after the other there."""


def monitor_memory(loop: EventLoop, budget: MemoryBudget) -> None:
    """Correct the budget and log its usage, periodically and without end."""
    logged_ns = loop.now() - MIN_WARNING_INTERVAL_NS
    logged_level = 0
    while True:
        loop.sleep(CHECK_INTERVAL_NS)
        resident_bytes = read_resident_bytes()
        if resident_bytes:
            budget.correct(resident_bytes)
        level = sum(budget.usage > usage for usage in LOGGED_USAGES)
        if level > logged_level and loop.now() - logged_ns >= MIN_WARNING_INTERVAL_NS:
            logger.warning(_TEXT, event="memory.scarce", **_usage_fields(budget, resident_bytes))
            logged_ns, logged_level = loop.now(), level
        elif loop.now() - logged_ns >= LOG_INTERVAL_NS:
            logger.info(_TEXT, event="memory.usage", **_usage_fields(budget, resident_bytes))
            logged_ns = loop.now()
        logged_level = min(logged_level, level)


_TEXT = (
    "{resident_mb:.1f} MB resident, {used_mb:.2f} of {capacity_mb:.1f} MB of the memory budget used: "
    "{by_use}; refused: {refusals}"
)


def _usage_fields(budget: MemoryBudget, resident_bytes: int) -> dict[str, Any]:
    return {
        "resident_mb": resident_bytes / BYTES_PER_MB,
        "used_mb": budget.used_bytes / BYTES_PER_MB,
        "capacity_mb": budget.capacity_bytes / BYTES_PER_MB,
        "by_use": budget.used_by_name(),
        "refusals": budget.refusals_by_name(),
    }
