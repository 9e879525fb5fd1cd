"""Tests of the admission controller: the shedding order, when shedding starts and ends, and the measurements."""

from __future__ import annotations

import mmap
import os
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import seed as hypothesis_seed
from hypothesis import strategies as st

from lugtally.balancing import Idempotency, RequestClass
from lugtally.overload.admission import AdmissionController, OverloadLimits, ShedReason
from lugtally.overload.delay_meter import DelayMeter, ResourceUsage
from lugtally.overload.resource_monitor import ResourceLimits, ResourceMonitor
from lugtally.overload.shedding_order import SheddingOrder
from lugtally.units import NS_PER_MS

HYPOTHESIS_SEED = 1  # fixed, because otherwise the examples would change whenever the source of a test does

READ, PLEDGE, RECEIPT = range(3)
CLASSES = (
    RequestClass("campaign-read", Idempotency.IDEMPOTENT, priority_weight=1.0),
    RequestClass("pledge-record", Idempotency.IDEMPOTENCY_KEY, priority_weight=3.0),
    RequestClass("receipt-issue", Idempotency.NON_IDEMPOTENT, priority_weight=2.0),
)
TIME_LEFT_NS = 500 * NS_PER_MS


@pytest.fixture
def admission() -> AdmissionController:
    """Return a controller with the default limits."""
    return AdmissionController(CLASSES, OverloadLimits(), 1, 0)


class CheckedRequests(NamedTuple):
    """When a series of requests ended, and which of them were admitted."""

    end_ns: int
    admitted: list[list[bool]]
    """For each class, whether each of its requests was admitted."""


def send_requests(
    admission: AdmissionController, start_ns: int, duration_ns: int, delay_ns: int, interval_ns: int = NS_PER_MS
) -> CheckedRequests:
    """Check one request of each class per interval, all with the same delay."""
    admitted: list[list[bool]] = [[], [], []]
    now_ns = start_ns
    while now_ns < start_ns + duration_ns:
        for class_index in range(3):
            admitted[class_index].append(admission.check(now_ns, class_index, TIME_LEFT_NS, delay_ns, 0.0) is None)
        now_ns += interval_ns
    return CheckedRequests(now_ns, admitted)


def test_short_delays_shed_nothing(admission: AdmissionController) -> None:
    """A burst that the sidecar can process is no overload, and neither is a single long turn of the event loop."""
    now_ns, admitted = send_requests(admission, 0, 2000 * NS_PER_MS, 4 * NS_PER_MS)
    for _ in range(20):  # single long turns of the event loop, such as those with a garbage collection
        admission.check(now_ns, READ, TIME_LEFT_NS, 40 * NS_PER_MS, 0.0)
        now_ns, more = send_requests(admission, now_ns, 100 * NS_PER_MS, 2 * NS_PER_MS)
        admitted = [earlier + later for earlier, later in zip(admitted, more, strict=True)]
    assert all(all(class_admitted) for class_admitted in admitted)
    assert not admission.is_shedding


def test_standing_delay_sheds_reads_first_and_receipts_last(admission: AdmissionController) -> None:
    normal = send_requests(admission, 0, 100 * NS_PER_MS, 2 * NS_PER_MS)
    delayed = send_requests(admission, normal.end_ns, 600 * NS_PER_MS, 60 * NS_PER_MS)
    admitted_shares = [sum(class_admitted) / len(class_admitted) for class_admitted in delayed.admitted]
    assert admitted_shares[READ] < admitted_shares[PLEDGE] < admitted_shares[RECEIPT] or admitted_shares[READ] < 0.2
    assert admission.is_shedding
    assert admission.shed_counts[ShedReason.DELAY] > 0
    still_delayed = send_requests(admission, delayed.end_ns, 1500 * NS_PER_MS, 60 * NS_PER_MS)
    assert sum(still_delayed.admitted[READ][-200:]) == 0
    assert admission.shed_fraction <= OverloadLimits().max_shed_fraction
    # All requests are admitted again within 1 s after the delay has ended.
    recovering = send_requests(admission, still_delayed.end_ns, 1000 * NS_PER_MS, 0)
    recovered = send_requests(admission, recovering.end_ns, 100 * NS_PER_MS, 0)
    assert all(all(class_admitted) for class_admitted in recovered.admitted)
    assert not admission.is_shedding


def test_request_with_too_little_time_left_is_shed() -> None:
    admission = AdmissionController(CLASSES, OverloadLimits(min_time_left_fraction=0.5), 1, 0)
    assert admission.check(0, RECEIPT, 50 * NS_PER_MS, 5 * NS_PER_MS, 40.0 * NS_PER_MS) is None
    assert admission.check(0, RECEIPT, 50 * NS_PER_MS, 31 * NS_PER_MS, 40.0 * NS_PER_MS) is ShedReason.DEADLINE
    assert admission.check(0, READ, 0, 0, 0.0) is None, "the typical duration is unknown"


def test_high_memory_or_descriptor_use_sheds_every_request(admission: AdmissionController) -> None:
    admission.record_usage(ResourceUsage(0.1, 0.91, 0.1))
    assert admission.check(0, RECEIPT, TIME_LEFT_NS, 0, 0.0) is ShedReason.MEMORY
    assert admission.is_shedding
    admission.record_usage(ResourceUsage(0.1, 0.5, 0.95))
    assert admission.check(0, RECEIPT, TIME_LEFT_NS, 0, 0.0) is ShedReason.DESCRIPTORS
    admission.record_usage(ResourceUsage(0.1, 0.5, 0.5))
    assert admission.check(0, READ, TIME_LEFT_NS, 0, 0.0) is None


def test_snapshot_has_the_keys_of_the_status(admission: AdmissionController) -> None:
    admission.check(0, READ, TIME_LEFT_NS, 0, 0.0)
    assert admission.snapshot() == {
        "refusing": False,
        "share": 0.0,
        "let_in": 1,
        "refused": {"delay": 0, "hopeless": 0, "memory": 0, "descriptors": 0},
        "delay_ms": 0.0,
        "worst_ms": 0.0,
        "cpu": 0.0,
        "memory": 0.0,
        "descriptors": 0.0,
    }


def test_shedding_order_is_configurable() -> None:
    assert SheddingOrder(CLASSES).order == [READ, PLEDGE, RECEIPT]
    assert SheddingOrder(CLASSES, ("pledge-record",)).order == [PLEDGE, READ, RECEIPT]
    with pytest.raises(ValueError, match="'pledges' is an unknown class"):
        SheddingOrder(CLASSES, ("pledges",))


@hypothesis_seed(HYPOTHESIS_SEED)
@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 2), min_size=1, max_size=300), st.floats(0, 1))
def test_class_shed_fractions_add_up_to_the_shed_fraction(class_indices: list[int], shed_fraction: float) -> None:
    order = SheddingOrder(CLASSES)
    for number, class_index in enumerate(class_indices):
        order.record_request(number * 50 * NS_PER_MS, class_index)
    shares = [order._ranges[class_index].high - order._ranges[class_index].low for class_index in range(3)]
    assert sum(shares) == pytest.approx(1.0)
    fractions = [order.class_shed_fraction(class_index, shed_fraction) for class_index in range(3)]
    shed = sum(share * fraction for share, fraction in zip(shares, fractions, strict=True))
    assert shed == pytest.approx(shed_fraction, abs=1e-9)
    in_order = [fractions[class_index] for class_index in order.order]
    assert in_order == sorted(in_order, reverse=True)


def test_retry_after_has_jitter_and_grows_with_shed_fraction() -> None:
    admission = AdmissionController(CLASSES, OverloadLimits(max_retry_after_ns=2000 * NS_PER_MS), 1, 0)
    unloaded = [admission.retry_after_ns() for _ in range(200)]
    admission.shed_fraction = 0.9
    overloaded = [admission.retry_after_ns() for _ in range(200)]
    assert min(unloaded) >= 50 * NS_PER_MS
    assert max(unloaded) <= 150 * NS_PER_MS
    assert len(set(unloaded)) > 150
    assert min(overloaded) > 5 * max(unloaded)
    assert max(overloaded) <= 2000 * NS_PER_MS
    assert AdmissionController(CLASSES, OverloadLimits(), 1, 0).retry_after_ns() == 0, "responses without Retry-After"


def test_shed_fraction_decays_while_idle(admission: AdmissionController) -> None:
    """Regression: an update of an idle controller counted only one empty period, so that later requests were shed."""
    overload = send_requests(admission, 0, 2500 * NS_PER_MS, 60 * NS_PER_MS)
    assert admission.shed_fraction > 0.9
    for tick in range(1, 11):
        admission.update_when_idle(overload.end_ns + tick * 250 * NS_PER_MS)
    assert admission.shed_fraction == 0.0
    assert admission.check(overload.end_ns + 2600 * NS_PER_MS, READ, TIME_LEFT_NS, 0, 0.0) is None


def test_empty_period_has_no_delay() -> None:
    meter = DelayMeter(20 * NS_PER_MS, 0)
    meter.record(5 * NS_PER_MS)
    meter.record(15 * NS_PER_MS)
    assert meter.end_period(19 * NS_PER_MS) is None
    period = meter.end_period(20 * NS_PER_MS)
    assert period is not None
    assert (period.mean_ns, period.min_ns, period.max_ns) == (
        10 * NS_PER_MS,
        5 * NS_PER_MS,
        15 * NS_PER_MS,
    )
    empty = meter.end_period(41 * NS_PER_MS)
    assert empty is not None
    assert empty.mean_ns == 0
    assert empty.count == 0
    assert meter.max_delay_ns == 15 * NS_PER_MS


def test_resource_monitor_reads_this_process() -> None:
    monitor = ResourceMonitor(ResourceLimits(1.0, 1 << 30, 100), lambda: 25)
    first = monitor.resident_bytes()
    block = mmap.mmap(-1, 20 << 20)  # new pages: a bytearray may get memory that earlier tests have freed
    block.write(os.urandom(1 << 20) * 20)
    assert monitor.resident_bytes() - first > 15 << 20
    assert len(block) == 20 << 20
    until = os.times().user + 0.05
    while os.times().user < until:
        pass
    usage = monitor.read()
    assert usage.descriptors_fraction == 0.25
    assert 0.01 < usage.memory_fraction < 0.5
    assert usage.cpu_fraction > 0.2
    monitor.close()
    assert ResourceMonitor(ResourceLimits(1.0, 1, 1), lambda: 0, "/no/such/file").resident_bytes() == 0
