"""The error that ends an attempt from inside."""

from __future__ import annotations

from lugtally.dispatch.attempt_outcome import AttemptOutcome


class AttemptAborted(Exception):
    """An attempt ended without a whole response; ``outcome`` says how."""

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__(outcome.name)
        self.outcome = outcome
