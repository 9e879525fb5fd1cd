"""The memory budget of the process: what its buffers and connections may take, and what they take.

The package counts bytes and decides which use gives way first.  It must not know sockets, protocols or the event loop.
"""

from lugtally.memory.budget import MemoryBudget, MemoryUse, Reservation, unlimited_budget
from lugtally.memory.resident import ResidentMemory, read_resident_bytes

__all__ = ["MemoryBudget", "MemoryUse", "Reservation", "ResidentMemory", "read_resident_bytes", "unlimited_budget"]
