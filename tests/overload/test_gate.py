"""The gate by itself: who is refused first, what starts it, what ends it, and what it must leave alone."""

from __future__ import annotations

import os

import pytest
from hypothesis import given, settings
from hypothesis import seed as draws_from
from hypothesis import strategies as st

from lugtally.balancing import Idempotency, RequestClass
from lugtally.overload.admission import AdmissionController, OverloadLimits, ShedReason
from lugtally.overload.delay_meter import DelayMeter, ResourceUsage
from lugtally.overload.resource_monitor import ResourceLimits, ResourceMonitor
from lugtally.overload.shedding_order import SheddingOrder
from lugtally.units import NS_PER_MS

DRAWS = 1  # the examples must not change with the text of a test, as they would by its digest

READ, PLEDGE, RECEIPT = range(3)
CLASSES = (
    RequestClass("campaign-read", Idempotency.IDEMPOTENT, priority_weight=1.0),
    RequestClass("pledge-record", Idempotency.IDEMPOTENCY_KEY, priority_weight=3.0),
    RequestClass("receipt-issue", Idempotency.NON_IDEMPOTENT, priority_weight=2.0),
)
LEFT = 500 * NS_PER_MS


def send_requests(
    admission: AdmissionController, start: int, duration: int, delay: int, interval: int = NS_PER_MS
) -> tuple[int, list[list[bool]]]:
    """Ask for each class in turn for a while under a steady delay; returns the end, and what was let in by class."""
    seen: list[list[bool]] = [[], [], []]
    now = start
    while now < start + duration:
        for cls in range(3):
            seen[cls].append(admission.check(now, cls, LEFT, delay, 0.0) is None)
        now += interval
    return now, seen


def test_short_delays_refuse_nobody() -> None:
    """A burst that the sidecar can carry is no overload."""
    admission = AdmissionController(CLASSES, OverloadLimits(), 1, 0)
    now, seen = send_requests(admission, 0, 2000 * NS_PER_MS, 4 * NS_PER_MS)
    for _ in range(20):  # single long turns, as a collection or the machine brings them
        admission.check(now, READ, LEFT, 40 * NS_PER_MS, 0.0)
        now, more = send_requests(admission, now, 100 * NS_PER_MS, 2 * NS_PER_MS)
        seen = [a + b for a, b in zip(seen, more, strict=True)]
    assert all(all(admitted) for admitted in seen) and not admission.is_shedding


def test_a_standing_delay_refuses_reads_first_and_receipts_last() -> None:
    admission = AdmissionController(CLASSES, OverloadLimits(), 1, 0)
    now, _ = send_requests(admission, 0, 100 * NS_PER_MS, 2 * NS_PER_MS)
    now, seen = send_requests(admission, now, 600 * NS_PER_MS, 60 * NS_PER_MS)
    shares = [sum(admitted) / len(admitted) for admitted in seen]
    assert shares[READ] < shares[PLEDGE] < shares[RECEIPT] or shares[READ] < 0.2
    assert admission.is_shedding and admission.rejected[ShedReason.DELAY] > 0
    now, late = send_requests(admission, now, 1500 * NS_PER_MS, 60 * NS_PER_MS)
    assert sum(late[READ][-200:]) == 0 and admission.shed_fraction <= OverloadLimits().max_shed_fraction
    # Once the delay is gone, all are let in again within a second.
    now, after = send_requests(admission, now, 1000 * NS_PER_MS, 0)
    now, after = send_requests(admission, now, 100 * NS_PER_MS, 0)
    assert all(all(admitted) for admitted in after) and not admission.is_shedding


def test_what_cannot_be_answered_in_time_any_more_is_refused_at_once() -> None:
    admission = AdmissionController(CLASSES, OverloadLimits(min_time_left_fraction=0.5), 1, 0)
    assert admission.check(0, RECEIPT, 50 * NS_PER_MS, 5 * NS_PER_MS, 40.0 * NS_PER_MS) is None
    assert admission.check(0, RECEIPT, 50 * NS_PER_MS, 31 * NS_PER_MS, 40.0 * NS_PER_MS) is ShedReason.HOPELESS
    assert admission.check(0, READ, 0, 0, 0.0) is None, "nothing is known yet of how long an answer takes"


def test_memory_and_descriptors_near_their_limits_let_nothing_in() -> None:
    admission = AdmissionController(CLASSES, OverloadLimits(), 1, 0)
    admission.read(ResourceUsage(0.1, 0.91, 0.1))
    assert admission.check(0, RECEIPT, LEFT, 0, 0.0) is ShedReason.MEMORY and admission.is_shedding
    admission.read(ResourceUsage(0.1, 0.5, 0.95))
    assert admission.check(0, RECEIPT, LEFT, 0, 0.0) is ShedReason.DESCRIPTORS
    admission.read(ResourceUsage(0.1, 0.5, 0.5))
    assert admission.check(0, READ, LEFT, 0, 0.0) is None


def test_the_order_can_be_named_and_a_wrong_name_is_told() -> None:
    assert SheddingOrder(CLASSES).order == [READ, PLEDGE, RECEIPT]
    assert SheddingOrder(CLASSES, ("pledge-record",)).order == [PLEDGE, READ, RECEIPT]
    with pytest.raises(ValueError, match="'pledges' is no class"):
        SheddingOrder(CLASSES, ("pledges",))


@draws_from(DRAWS)
@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 2), min_size=1, max_size=300), st.floats(0, 1))
def test_the_shares_refused_add_up_to_the_cut(stream: list[int], shed_fraction: float) -> None:
    order = SheddingOrder(CLASSES)
    for at, cls in enumerate(stream):
        order.record_request(at * 50 * NS_PER_MS, cls)
    widths = [order._bounds[cls][1] - order._bounds[cls][0] for cls in range(3)]
    assert sum(widths) == pytest.approx(1.0)
    assert sum(w * order.class_shed_fraction(cls, shed_fraction) for cls, w in enumerate(widths)) == pytest.approx(
        shed_fraction, abs=1e-9
    )
    parts = [order.class_shed_fraction(cls, shed_fraction) for cls in order.order]
    assert parts == sorted(parts, reverse=True)


def test_advice_is_spread_and_grows_with_what_is_refused() -> None:
    admission = AdmissionController(CLASSES, OverloadLimits(max_retry_after_ns=2000 * NS_PER_MS), 1, 0)
    quiet = [admission.retry_after_ns() for _ in range(200)]
    admission.shed_fraction = 0.9
    busy = [admission.retry_after_ns() for _ in range(200)]
    assert 50 * NS_PER_MS <= min(quiet) and max(quiet) <= 150 * NS_PER_MS and len(set(quiet)) > 150
    assert min(busy) > 5 * max(quiet) and max(busy) <= 2000 * NS_PER_MS
    assert AdmissionController(CLASSES, OverloadLimits(), 1, 0).retry_after_ns() == 0, "clients that are given none"


def test_old_trouble_does_not_outlive_a_silence() -> None:
    """Looked at four times a second, an idle gate forgot one period a look, and refused whoever came first."""
    admission = AdmissionController(CLASSES, OverloadLimits(), 1, 0)
    now, _ = send_requests(admission, 0, 2500 * NS_PER_MS, 60 * NS_PER_MS)
    assert admission.shed_fraction > 0.9
    for tick in range(1, 11):
        admission.update_when_idle(now + tick * 250 * NS_PER_MS)
    assert admission.shed_fraction == 0.0 and admission.check(now + 2600 * NS_PER_MS, READ, LEFT, 0, 0.0) is None


def test_a_period_without_an_item_had_no_delay() -> None:
    meter = DelayMeter(20 * NS_PER_MS, 0)
    meter.record(5 * NS_PER_MS)
    meter.record(15 * NS_PER_MS)
    assert meter.end_period(19 * NS_PER_MS) is None
    period = meter.end_period(20 * NS_PER_MS)
    assert period is not None and (period.mean_ns, period.min_ns, period.max_ns) == (
        10 * NS_PER_MS,
        5 * NS_PER_MS,
        15 * NS_PER_MS,
    )
    empty = meter.end_period(41 * NS_PER_MS)
    assert empty is not None and empty.mean_ns == 0 and empty.count == 0 and meter.max_delay_ns == 15 * NS_PER_MS


def test_the_probe_reads_this_process() -> None:
    monitor = ResourceMonitor(ResourceLimits(1.0, 1 << 30, 100), lambda: 25)
    first = monitor.resident_bytes()
    block = bytearray(os.urandom(1 << 20) * 20)
    assert monitor.resident_bytes() - first > 15 << 20 and len(block) == 20 << 20
    until = os.times().user + 0.05
    while os.times().user < until:
        pass
    usage = monitor.read()
    assert usage.descriptors_fraction == 0.25 and 0.01 < usage.memory_fraction < 0.5 and usage.cpu_fraction > 0.2
    monitor.close()
    assert ResourceMonitor(ResourceLimits(1.0, 1, 1), lambda: 0, "/no/such/file").resident_bytes() == 0
