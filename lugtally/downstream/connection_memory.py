"""The memory that one client connection takes from the budget of the process."""

from __future__ import annotations

from lugtally.memory import MemoryBudget, MemoryUse, Reservation

CONNECTION_BYTES = 8 * 1024
"""Approximate memory of a connection that buffers nothing: its task, its state and its parser."""
EXCHANGE_BYTES = 12 * 1024
"""Approximate memory of a request in progress beside its message: the task and the state of an attempt."""


class ConnectionMemory:
    """The reservations of one connection, from its accept to its close.

    Attributes:
        budget: The budget of the process.
        request: The request that is received or in progress.
        queue: The requests behind it.
        unsent: The response that is being written, while the client does not read it.
    """

    __slots__ = ("_connection", "_has_exchange", "budget", "queue", "request", "unsent")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.request = Reservation(budget, MemoryUse.REQUESTS)
        self.queue = Reservation(budget, MemoryUse.READ_AHEAD)
        self.unsent = Reservation(budget, MemoryUse.RESPONSES)
        self._connection = Reservation(budget, MemoryUse.CONNECTIONS)
        self._connection.force(CONNECTION_BYTES)
        self._has_exchange = False

    def start_exchange(self) -> bool:
        """Count the memory of a request in progress; return false if the budget cannot grant it."""
        self._has_exchange = self.budget.reserve(MemoryUse.EXCHANGES, EXCHANGE_BYTES)
        return self._has_exchange

    def end_exchange(self) -> None:
        """Give back the memory of a request in progress, if there is one."""
        if self._has_exchange:
            self._has_exchange = False
            self.budget.add(MemoryUse.EXCHANGES, -EXCHANGE_BYTES)

    def release(self) -> None:
        """Give back all of the memory, because the connection is closed."""
        self.end_exchange()
        for reservation in (self._connection, self.request, self.queue, self.unsent):
            reservation.release()
