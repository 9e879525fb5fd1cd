"""Whether a request is let in at all: the share to refuse, moved by the sidecar's own delay.

The rule that won in ``benchmarks/gates.py`` (docs/overload-design.md has the table of all five).  The gate sees a
request's head before anything is done for it, and never again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from lugtally import api
from lugtally.overload.meter import MS, Meter, Period, Reading
from lugtally.overload.order import Order


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the operator may set; times in nanoseconds, shares of what the sidecar was told it may have."""

    target_ns: int = 10 * MS  # own delay that is no trouble
    period_ns: int = 20 * MS  # between two looks
    memory: float = 0.9  # resident memory from which nothing more is let in
    descriptors: float = 0.9
    most: float = 0.97  # refused at most for delay: some must be let in to see that it is over
    needed: float = 0.5  # part of the usual answer time that must be left for a request to be let in
    first: tuple[str, ...] = ()  # classes refused before the others, in that order
    advice_ns: int = 0  # the longest Retry-After; 0: clients are given none


class Why(Enum):
    """Why a request was refused here."""

    DELAY = "own delay"
    HOPELESS = "it cannot be answered in time any more"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


class Gate:
    """One sidecar's admission."""

    def __init__(self, classes: tuple[api.RequestClass, ...], bounds: Bounds, seed: int, now: int) -> None:
        self.bounds = bounds
        self.meter = Meter(bounds.period_ns, now)
        self.order = Order(classes, bounds.first)
        self.cut = 0.0  # share of all requests to refuse for delay
        self.refused: dict[Why, int] = dict.fromkeys(Why, 0)
        self.let_in = 0
        self._random = Random(seed)
        self._old_ns = 0.0  # standing delay of the period before
        self._before_ns = 0.0  # mean delay of the period before

    def ask(self, now: int, cls: int, left_ns: int, delay_ns: int, usual_ns: float) -> Why | None:
        """None where the request of that class may come in, else why not.

        ``left_ns`` is what remains of its time by its own word, counted from its last byte; ``delay_ns`` bounds how
        long it has waited for us since; ``usual_ns`` is how long an answer usually takes.
        """
        meter = self.meter
        meter.note(delay_ns)
        if (period := meter.period(now)) is not None:
            self._look(period)
        self.order.note(now, cls)
        why = self._judge(cls, left_ns, delay_ns, usual_ns)
        if why is None:
            self.let_in += 1
        else:
            self.refused[why] += 1
        return why

    def _judge(self, cls: int, left_ns: int, delay_ns: int, usual_ns: float) -> Why | None:
        reading = self.meter.reading
        if reading.memory_share >= self.bounds.memory:
            return Why.MEMORY
        if reading.descriptors_share >= self.bounds.descriptors:
            return Why.DESCRIPTORS
        if left_ns - delay_ns < self.bounds.needed * usual_ns:
            return Why.HOPELESS
        if self.cut > 0.0:
            part = self.order.refused(cls, self.cut)
            if part > 0.0 and (part >= 1.0 or self._random.random() < part):
                return Why.DELAY
        return None

    def shown(self) -> dict[str, object]:
        """How it is, for people."""
        reading = self.meter.reading
        return {
            "refusing": self.refusing,
            "share": round(self.cut, 4),
            "let_in": self.let_in,
            "refused": {why.name.lower(): count for why, count in self.refused.items()},
            "delay_ms": round(self.meter.delay_ns / MS, 3),
            "worst_ms": round(self.meter.worst_ns / MS, 3),
            "cpu": round(reading.cpu_share, 3),
            "memory": round(reading.memory_share, 3),
            "descriptors": round(reading.descriptors_share, 3),
        }

    @property
    def refusing(self) -> bool:
        """Whether requests are refused for delay or for want of memory or descriptors."""
        reading = self.meter.reading
        return (
            self.cut > 0.0
            or reading.memory_share >= self.bounds.memory
            or reading.descriptors_share >= self.bounds.descriptors
        )

    def advice(self) -> int:
        """When to come back: the longer, the more is refused, and spread so that not all come back at once."""
        longest = self.bounds.advice_ns
        wait = LEAST_ADVICE_NS + self.cut * (longest - LEAST_ADVICE_NS)
        return int(min(longest, max(0.0, wait) * self._random.uniform(0.5, 1.5))) if longest else 0

    def idle(self, now: int) -> None:
        """Called now and then where nothing asks, so that old trouble does not outlive its cause."""
        spans = self.meter.spans(now)
        if (period := self.meter.period(now)) is None:
            return
        self._look(period)
        if not period.count:
            for _ in range(min(spans, MOST_SPANS) - 1):  # each empty one counts, as it would have by itself
                self._look(period)

    def read(self, reading: Reading) -> None:
        """Take over what the machine says of the process."""
        self.meter.read(reading)

    def _look(self, period: Period) -> None:
        """Move the share: PIE's law (RFC 8033, 4.2) on the standing delay, the lesser of two periods' means.

        One long turn, of a collection or of the machine, is over before anything could be done about it.
        """
        target = self.bounds.target_ns
        standing = min(period.mean, self._before_ns)
        self._before_ns = period.mean
        grown = standing - self._old_ns
        if standing < target:
            grown = min(0.0, grown)  # what grows under the target is no trouble yet
        step = 1e-9 * (ALPHA * (standing - target) + BETA * grown)
        scale = 0.25 if self.cut < 0.01 else 0.5 if self.cut < 0.1 else 1.0
        self.cut = min(self.bounds.most, max(0.0, self.cut + min(MOST_STEP, scale * step)))
        if standing < target / 2 and self._old_ns < target / 2:
            self.cut *= FADE
            if self.cut < 0.001:
                self.cut = 0.0
        self._old_ns = standing


LEAST_ADVICE_NS = 100 * MS
MOST_ADVICE_NS = 2000 * MS
ALPHA = 1.25  # of the share, a second of delay beyond the target and period
BETA = 6.25  # of the share, a second of growth
MOST_STEP = 0.1
MOST_SPANS = 200  # of 20 ms; by then nothing is refused any more
FADE = 0.98
