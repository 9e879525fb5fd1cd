"""The gate by itself: who is refused first, what starts it, what ends it, and what it must leave alone."""

from __future__ import annotations

import os

import pytest
from hypothesis import given, settings
from hypothesis import seed as draws_from
from hypothesis import strategies as st

from lugtally.api import Effect, RequestClass
from lugtally.overload.gate import Bounds, Gate, Why
from lugtally.overload.meter import MS, Meter, Reading
from lugtally.overload.order import Order
from lugtally.overload.probe import Probe, Told

DRAWS = 1  # the examples must not change with the text of a test, as they would by its digest

READ, PLEDGE, RECEIPT = range(3)
CLASSES = (
    RequestClass("campaign-read", Effect.SAFE, worth=1.0),
    RequestClass("pledge-record", Effect.KEYED, worth=3.0),
    RequestClass("receipt-issue", Effect.UNSAFE, worth=2.0),
)
LEFT = 500 * MS


def asked(gate: Gate, start: int, span: int, delay: int, step: int = MS) -> tuple[int, list[list[bool]]]:
    """Ask for each class in turn for a while under a steady delay; returns the end, and what was let in by class."""
    seen: list[list[bool]] = [[], [], []]
    now = start
    while now < start + span:
        for cls in range(3):
            seen[cls].append(gate.ask(now, cls, LEFT, delay, 0.0) is None)
        now += step
    return now, seen


def test_short_delays_refuse_nobody() -> None:
    """A burst that the sidecar can carry is no overload."""
    gate = Gate(CLASSES, Bounds(), 1, 0)
    now, seen = asked(gate, 0, 2000 * MS, 4 * MS)
    for _ in range(20):  # single long turns, as a collection or the machine brings them
        gate.ask(now, READ, LEFT, 40 * MS, 0.0)
        now, more = asked(gate, now, 100 * MS, 2 * MS)
        seen = [a + b for a, b in zip(seen, more, strict=True)]
    assert all(all(part) for part in seen) and not gate.refusing


def test_a_standing_delay_refuses_reads_first_and_receipts_last() -> None:
    gate = Gate(CLASSES, Bounds(), 1, 0)
    now, _ = asked(gate, 0, 100 * MS, 2 * MS)
    now, seen = asked(gate, now, 600 * MS, 60 * MS)
    shares = [sum(part) / len(part) for part in seen]
    assert shares[READ] < shares[PLEDGE] < shares[RECEIPT] or shares[READ] < 0.2
    assert gate.refusing and gate.refused[Why.DELAY] > 0
    now, late = asked(gate, now, 1500 * MS, 60 * MS)
    assert sum(late[READ][-200:]) == 0 and gate.cut <= Bounds().most
    # Once the delay is gone, all are let in again within a second.
    now, after = asked(gate, now, 1000 * MS, 0)
    now, after = asked(gate, now, 100 * MS, 0)
    assert all(all(part) for part in after) and not gate.refusing


def test_what_cannot_be_answered_in_time_any_more_is_refused_at_once() -> None:
    gate = Gate(CLASSES, Bounds(needed=0.5), 1, 0)
    assert gate.ask(0, RECEIPT, 50 * MS, 5 * MS, 40.0 * MS) is None
    assert gate.ask(0, RECEIPT, 50 * MS, 31 * MS, 40.0 * MS) is Why.HOPELESS
    assert gate.ask(0, READ, 0, 0, 0.0) is None, "nothing is known yet of how long an answer takes"


def test_memory_and_descriptors_near_their_limits_let_nothing_in() -> None:
    gate = Gate(CLASSES, Bounds(), 1, 0)
    gate.read(Reading(0.1, 0.91, 0.1))
    assert gate.ask(0, RECEIPT, LEFT, 0, 0.0) is Why.MEMORY and gate.refusing
    gate.read(Reading(0.1, 0.5, 0.95))
    assert gate.ask(0, RECEIPT, LEFT, 0, 0.0) is Why.DESCRIPTORS
    gate.read(Reading(0.1, 0.5, 0.5))
    assert gate.ask(0, READ, LEFT, 0, 0.0) is None


def test_the_order_can_be_named_and_a_wrong_name_is_told() -> None:
    assert Order(CLASSES).order == [READ, PLEDGE, RECEIPT]
    assert Order(CLASSES, ("pledge-record",)).order == [PLEDGE, READ, RECEIPT]
    with pytest.raises(ValueError, match="'pledges' is no class"):
        Order(CLASSES, ("pledges",))


@draws_from(DRAWS)
@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 2), min_size=1, max_size=300), st.floats(0, 1))
def test_the_shares_refused_add_up_to_the_cut(stream: list[int], cut: float) -> None:
    order = Order(CLASSES)
    for at, cls in enumerate(stream):
        order.note(at * 50 * MS, cls)
    widths = [order._bounds[cls][1] - order._bounds[cls][0] for cls in range(3)]
    assert sum(widths) == pytest.approx(1.0)
    assert sum(w * order.refused(cls, cut) for cls, w in enumerate(widths)) == pytest.approx(cut, abs=1e-9)
    parts = [order.refused(cls, cut) for cls in order.order]
    assert parts == sorted(parts, reverse=True)


def test_advice_is_spread_and_grows_with_what_is_refused() -> None:
    gate = Gate(CLASSES, Bounds(advice_ns=2000 * MS), 1, 0)
    calm = [gate.advice() for _ in range(200)]
    gate.cut = 0.9
    busy = [gate.advice() for _ in range(200)]
    assert 50 * MS <= min(calm) and max(calm) <= 150 * MS and len(set(calm)) > 150
    assert min(busy) > 5 * max(calm) and max(busy) <= 2000 * MS
    assert Gate(CLASSES, Bounds(), 1, 0).advice() == 0, "clients that are given none"


def test_old_trouble_does_not_outlive_a_silence() -> None:
    """Looked at four times a second, an idle gate forgot one period a look, and refused whoever came first."""
    gate = Gate(CLASSES, Bounds(), 1, 0)
    now, _ = asked(gate, 0, 2500 * MS, 60 * MS)
    assert gate.cut > 0.9
    for look in range(1, 11):
        gate.idle(now + look * 250 * MS)
    assert gate.cut == 0.0 and gate.ask(now + 2600 * MS, READ, LEFT, 0, 0.0) is None


def test_a_period_without_an_item_had_no_delay() -> None:
    meter = Meter(20 * MS, 0)
    meter.note(5 * MS)
    meter.note(15 * MS)
    assert meter.period(19 * MS) is None
    period = meter.period(20 * MS)
    assert period is not None and (period.mean, period.least, period.most) == (10 * MS, 5 * MS, 15 * MS)
    empty = meter.period(41 * MS)
    assert empty is not None and empty.mean == 0 and empty.count == 0 and meter.worst_ns == 15 * MS


def test_the_probe_reads_this_process() -> None:
    probe = Probe(Told(1.0, 1 << 30, 100), lambda: 25)
    first = probe.resident()
    block = bytearray(os.urandom(1 << 20) * 20)
    assert probe.resident() - first > 15 << 20 and len(block) == 20 << 20
    until = os.times().user + 0.05
    while os.times().user < until:
        pass
    reading = probe.read()
    assert reading.descriptors_share == 0.25 and 0.01 < reading.memory_share < 0.5 and reading.cpu_share > 0.2
    probe.close()
    assert Probe(Told(1.0, 1, 1), lambda: 0, "/no/such/file").resident() == 0
