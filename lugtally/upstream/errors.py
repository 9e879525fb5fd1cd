"""The exception that ends an attempt early."""

from __future__ import annotations

from lugtally.dispatch.attempt_outcome import AttemptOutcome


class AttemptAborted(Exception):
    """An attempt ended without a complete response.

    Attributes:
        outcome: How the attempt ended.
    """

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__(outcome.name)
        self.outcome = outcome
